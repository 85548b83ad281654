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
		return upkeep.Load{Idle: true} // all runs that a worker may have stand in the records
	}
	l := upkeep.Load{Idle: len(w.Runs) == 0 && len(w.Strays) == 0, Draining: w.Draining}
	for r := range w.Runs {
		spec := r.Task.Step.Spec
		if !spec.Checkpointing {
			l.Unsaved += time.Since(r.Since).Seconds() * spec.Demand.Cores()
		}
		l.Blocked = l.Blocked || !missable(r.Task.Step, w)
	}
	return l
}

// missable reports whether all tasks of the step on the worker may be away at once, besides those
// that are away already.
func missable(s *jobstate.Step, w *jobstate.Worker) bool {
	if !s.Spec.LongRunning || s.Spec.MaxUnavailable == 0 || s.Occurrence.Job.State.Ended() {
		return true
	}
	away := 0
	for _, t := range s.Tasks {
		if r := t.Run; r == nil || r.Phase != jobstate.Running || r.Percent < 100 || r.Worker == w {
			away++
		}
	}
	return away <= s.Spec.MaxUnavailable
}

// Reserve implements upkeep.Workers.
func (t *Term) Reserve(id string, reserved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.cluster.Workers[id]; w != nil {
		w.Reserved = reserved
		t.kick()
	}
}

// Vacate implements upkeep.Workers. The other members of a gang are stopped with the one there.
func (t *Term) Vacate(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.cluster.Workers[id]
	if w == nil {
		return
	}
	now := time.Now()
	for r := range w.Runs {
		if r.Phase == jobstate.Ordered || r.Phase == jobstate.Running {
			r.Stop("upkeep of its machine", now)
		}
	}
	t.kick()
}

// Ended implements upkeep.Workers.
func (t *Term) Ended(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.cluster.Workers[id]; w != nil {
		t.dropWorker(w, "its machine went down for its upkeep", time.Now())
	}
}

// Over ends the term on behalf of a controller that met a higher token.
func (t *Term) Over(reason string) { t.over(reason) }
