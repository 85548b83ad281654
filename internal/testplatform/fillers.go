package testplatform

import (
	"context"
	"maps"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
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

// relaxedShare is the share of its target below which the tail latency of a serving task lets the fillers beside it work.
const relaxedShare = 0.5

// fillerStands reports whether the run is that of a filler which was ordered not to work, although no serving task beside it is
// strained. The caller holds the lock.
func (f *Fleet) fillerStands(w *worker, task string, r *run) bool {
	percent, throttled := f.speedPercents[task]
	if !f.stepOf(r).Filler || !throttled || percent > 0 {
		return false
	}
	for _, other := range w.runs {
		target := f.stepOf(other).TailTarget
		if target > 0 && f.Load != nil && f.Load(f.speedPercents) >= relaxedShare*float64(target.Milliseconds()) {
			return false
		}
	}
	return true
}

func (f *Fleet) stepOf(r *run) *workload.Step { return &f.jobs[r.name.Job].Steps[r.name.Step] }
