package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// newsDelay is how old the word of a worker that it leaves may be when it is taken in.
const newsDelay = 500 * time.Millisecond

// emptyLeaving stops runs on workers that leave before they can end: at once, so that they start
// again elsewhere and less is thrown away, or, if they checkpoint, as late as the stop can still be
// carried out, because they lose nothing and work on until then.
func (r *round) emptyLeaving() {
	for _, w := range r.c.Workers {
		if !w.Draining || w.LeavesAt.IsZero() {
			continue
		}
		for run := range w.Runs {
			if r.mustLeave(run, w) {
				r.stop(run, "its worker leaves")
			}
		}
	}
}

// mustLeave reports whether the run is to be stopped now because its worker leaves. A worker that
// stays longer than it said may let its runs end.
func (r *round) mustLeave(run *jobstate.Run, w *jobstate.Worker) bool {
	spec := run.Task.Step.Spec
	if run.Phase == jobstate.Stopping || run.Phase == jobstate.Planned || run.Task.Run != run || spec.LongRunning {
		return false
	}
	if !r.now.Before(w.LeavesAt) || !r.now.Add(r.timeLeft(run)).After(w.LeavesAt) {
		return false
	}
	if spec.Checkpointing {
		return r.now.Add(r.stopBound() + newsDelay).After(w.LeavesAt)
	}
	return true
}

// timeLeft returns how long the run is expected to work on: by its rate if that was measured, else
// by the estimate of its task.
func (r *round) timeLeft(run *jobstate.Run) time.Duration {
	if left, ok := run.Remaining(r.now); ok {
		return left
	}
	began := run.StartedAt
	if began.IsZero() {
		began = run.PlannedAt
	}
	return max(0, run.Task.Step.Spec.Estimate-r.now.Sub(began))
}
