package testplatform

import (
	"context"
	"maps"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

// Throttle implements workerapi.Client.
func (f *Fleet) Throttle(ctx context.Context, t workerapi.Target, o workerapi.Throttle) error {
	return f.do(ctx, t.ID, "pace", func() error {
		_, err := f.authorize(t, o.Token)
		if err == nil {
			f.speedPercents[o.Task] = o.Percent
		}
		return err
	})
}

// SpeedPercents returns the ordered percentages of full speed by task.
func (f *Fleet) SpeedPercents() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.speedPercents)
}

// checkFillers checks that fillers stop working when the tail latency of a serving task on the same
// worker stays over its target. The caller holds the lock.
func (f *Fleet) checkFillers(w *worker, task string, r *run, tail float64, now time.Time) {
	target := f.jobs[r.name.Job].Steps[r.name.Step].TailTarget
	if target == 0 || tail <= float64(target.Milliseconds()) || !f.hasWorkingFiller(w) {
		r.overTargetSince = time.Time{}
		return
	}
	if r.overTargetSince.IsZero() {
		r.overTargetSince = now
	}
	if now.Sub(r.overTargetSince) > overTargetBound && f.Undisturbed() {
		f.violate("HARM", "%s is over its target for %v while fillers work on the same worker", task, now.Sub(r.overTargetSince))
		r.overTargetSince = now
	}
}

func (f *Fleet) hasWorkingFiller(w *worker) bool {
	for task, r := range w.runs {
		percent, throttled := f.speedPercents[task]
		if f.jobs[r.name.Job].Steps[r.name.Step].Filler && (!throttled || percent > 0) {
			return true
		}
	}
	return false
}
