package instance

import (
	"context"
	"time"
)

const (
	// notifyTimeout limits the notification of an owner about a transferred job.
	notifyTimeout = 2 * time.Second
	// summaryInterval is the time between two updates of the summaries of the owned data centres.
	summaryInterval = time.Second
)

// publishSummaries passes the summaries of the owned data centres to the membership controller, which
// sends them to peers, and updates the number of live instances.
func (i *Instance) publishSummaries(ctx context.Context) {
	t := time.NewTicker(summaryInterval)
	defer t.Stop()
	for {
		i.countInstances()
		for _, s := range i.owners.Summaries() {
			i.members.SetSummary(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
