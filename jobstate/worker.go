package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Worker returns the life of the worker with the id, creating one that is not listed if
// none is known. A known life that is older is dropped, with all its runs.
func (c *Cluster) Worker(id string, life int64, now time.Time) *Worker {
	w := c.Workers[id]
	if w != nil && (w.Life == life || life < w.Life) {
		return w
	}
	next := &Worker{ID: id, Life: life, Runs: map[*Run]struct{}{}, Strays: map[string]workload.Amount{}}
	if w != nil {
		c.handDoubtsOn(w, next, now)
		c.Drop(w, now)
	}
	c.Workers[id] = next
	c.byID = nil
	return next
}

// handDoubtsOn moves runs that the next life of their worker may have started: orders name
// the id, and one that was under way may reach the next life. A run that this owner ordered
// is to be stopped there before its task starts again; one that a former owner ordered is
// settled by the first report, because the worker takes no older token after it.
func (c *Cluster) handDoubtsOn(w, next *Worker, now time.Time) {
	for r := range w.Runs {
		if r.Phase == Planned || (!r.StartedAt.IsZero() && !r.StartedAt.After(w.ReportedAt)) {
			continue
		}
		room := r.Task.Step.Spec.Allocation()
		delete(w.Runs, r)
		w.Used = w.Used.Sub(room)
		next.Runs[r] = struct{}{}
		next.Used = next.Used.Add(room)
		r.Worker = next
		if !r.Sent {
			continue
		}
		if r.Task.Step.Spec.LongRunning && r.Phase != Stopping {
			// It is not stopped unless the next life turns out not to run it: it may serve already.
			r.Phase, r.StartedAt, r.Doubtful = Ordered, time.Time{}, true
			continue
		}
		r.Stop("may have been started by the next life of the worker", now)
		r.StopSent = false
		r.Rejected = time.Time{}
	}
}

// Drop removes a life of a worker. Its runs have surely ended.
func (c *Cluster) Drop(w *Worker, now time.Time) {
	for r := range w.Runs {
		c.End(r, EndLapsed, "", now)
	}
	if c.Workers[w.ID] == w {
		delete(c.Workers, w.ID)
		c.byID = nil
	}
}

// Lapse ends all runs of a worker whose lease has surely run out.
func (c *Cluster) Lapse(w *Worker, now time.Time) {
	for r := range w.Runs {
		if r.Phase != Planned {
			c.End(r, EndLapsed, "", now)
		}
	}
}

// MarkRuns makes the records of the jobs that have runs on the worker be written again.
func (w *Worker) MarkRuns() {
	for r := range w.Runs {
		r.Task.Step.Occurrence.Job.Dirty = true
	}
}

// AddStray accounts for a task on the worker that no run of this state stands for.
func (w *Worker) AddStray(task string, room workload.Amount) {
	if _, known := w.Strays[task]; known {
		return
	}
	w.Strays[task] = room
	w.Used = w.Used.Add(room)
}

// RemoveStray gives the room of a stray task back.
func (w *Worker) RemoveStray(task string) {
	if room, known := w.Strays[task]; known {
		delete(w.Strays, task)
		w.Used = w.Used.Sub(room)
	}
}
