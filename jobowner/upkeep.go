package jobowner

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
)

var _ upkeep.Workers = (*Term)(nil)

// Load implements upkeep.Workers.
func (t *Term) Load(id string) upkeep.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.cluster.Workers[id]
	if w == nil {
		return upkeep.Load{Idle: true} // the job records name the worker of every run
	}
	l := upkeep.Load{Incarnation: w.Incarnation, Idle: len(w.Runs) == 0 && len(w.Untracked) == 0, Draining: w.Draining}
	for r := range w.Runs {
		spec := r.Task.Step.Spec
		if !spec.Checkpointing {
			l.UnsavedCoreSeconds += time.Since(r.PlannedAt).Seconds() * spec.Demand.Cores()
		}
		l.Blocked = l.Blocked || !withinMaxUnavailable(r.Task.Step, w)
	}
	return l
}

// withinMaxUnavailable reports whether the step tolerates the loss of all its tasks on the worker, besides
// its tasks that are unavailable already.
func withinMaxUnavailable(s *jobstate.Step, w *jobstate.Worker) bool {
	if !s.Spec.LongRunning || s.Spec.MaxUnavailable == 0 || s.Occurrence.Job.State.Ended() {
		return true
	}
	unavailable := 0
	for _, t := range s.Tasks {
		if r := t.Run; r == nil || r.Phase != jobstate.Running || r.Percent < 100 || r.Worker == w {
			unavailable++
		}
	}
	return unavailable <= s.Spec.MaxUnavailable
}

// Reserve implements upkeep.Workers.
func (t *Term) Reserve(id string, reserved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.cluster.Workers[id]; w != nil {
		w.UpkeepPending = reserved
		t.wakeLoop()
	}
}

// StopRuns implements upkeep.Workers. A gang with a member on the worker is stopped as a whole.
func (t *Term) StopRuns(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.cluster.Workers[id]
	if w == nil {
		return
	}
	now := time.Now()
	for r := range w.Runs {
		if r.Phase == jobstate.Ordered || r.Phase == jobstate.Running {
			r.RequestStop("upkeep of its machine", now)
		}
	}
	t.wakeLoop()
}

// WorkerEnded implements upkeep.Workers.
func (t *Term) WorkerEnded(ended upkeep.WorkerIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.cluster.Workers[ended.ID]; w != nil && w.Incarnation <= ended.Number {
		t.dropWorker(w, "its machine went down for upkeep", time.Now())
	}
}

// Terminate ends the term on behalf of a caller that detected a newer owner.
func (t *Term) Terminate(reason string) { t.terminate(reason) }
