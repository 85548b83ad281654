package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// leaveNoticeDelay is the longest time between a worker's announcement that it leaves and the decision
// that takes it into account.
const leaveNoticeDelay = 500 * time.Millisecond

// stopOnLeaving stops runs that are not expected to end before their worker leaves. A run without
// checkpoints stops at once, so that it restarts elsewhere with less work lost. A checkpointing run
// loses nothing by a stop, so it works on until the last moment at which the stop still completes.
func (r *round) stopOnLeaving() {
	for _, w := range r.c.Workers {
		if !w.Draining || w.LeavesAt.IsZero() {
			continue
		}
		for run := range w.Runs {
			if r.mustStopOnLeaving(run, w) {
				r.stop(run, "its worker is leaving")
			}
		}
	}
}

// mustStopOnLeaving reports whether the run is to be stopped now because its worker leaves. After the
// announced time it is not: a worker that is still there may let its runs end.
func (r *round) mustStopOnLeaving(run *jobstate.Run, w *jobstate.Worker) bool {
	spec := run.Task.Step.Spec
	if run.Phase == jobstate.Stopping || run.Phase == jobstate.Planned || run.Task.Run != run || spec.LongRunning {
		return false
	}
	if !r.now.Before(w.LeavesAt) || !r.now.Add(r.remaining(run)).After(w.LeavesAt) {
		return false
	}
	if spec.Checkpointing {
		return r.now.Add(r.stopBound() + leaveNoticeDelay).After(w.LeavesAt)
	}
	return true
}

// remaining returns the expected time to the end of the run, from its rate if that was measured, else
// from the run time of its task.
func (r *round) remaining(run *jobstate.Run) time.Duration {
	if left, ok := run.Remaining(r.now); ok {
		return left
	}
	start := run.StartedAt
	if start.IsZero() {
		start = run.PlannedAt
	}
	if r.learned(run.Task.Step, r.opts.Uses.Leave) {
		return r.remainingByExpectation(run, r.now.Sub(start))
	}
	return max(0, run.Task.Step.Spec.Estimate-r.now.Sub(start))
}
