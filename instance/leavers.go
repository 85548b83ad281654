package instance

import (
	"context"
	"time"
)

// notifyTimeout bounds the notice of a transferred job.
const notifyTimeout = 2 * time.Second

// leavers keeps the slot pool informed of workers that the platform lists as leaving.
type leavers struct{}

// loop returns the background work: it reads the list once per pollInterval.
func (leavers) loop(i *Instance) func(context.Context) {
	return every(pollInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pollInterval)
		defer cancel()
		workers, err := i.platform.Workers(ctx)
		if err != nil {
			return // the last list stays in force; workers also refuse by themselves
		}
		var leaving []string
		for _, w := range workers {
			if w.Leaving {
				leaving = append(leaving, w.ID)
			}
		}
		i.pool.SetLeaving(leaving)
	})
}

// publishSummaries hands the summaries of the owned data centres to the membership.
func (i *Instance) publishSummaries(ctx context.Context) {
	every(pollInterval, func(context.Context) {
		for _, s := range i.owners.Summaries() {
			i.members.SetSummary(s)
		}
	})(ctx)
}

// every returns a loop that calls f at once and then at each interval.
func every(interval time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}
}
