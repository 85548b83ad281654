package instance

import (
	"context"
	"time"
)

const (
	// notifyTimeout bounds the notice of a transferred job.
	notifyTimeout = 2 * time.Second
	// summaryInterval is how often the summaries of the owned data centres are renewed.
	summaryInterval = time.Second
)

// publishSummaries hands the summaries of the owned data centres to the membership, and counts
// the live instances.
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
