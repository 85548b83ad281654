package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// EnsureWorker returns the newest incarnation of the worker with the id. If there is none, or only one older
// than the given incarnation, it adds the given one as not listed. The older one is removed, and its runs end
// unless the new one may have started them.
func (c *Cluster) EnsureWorker(id string, incarnation int64, now time.Time) *Worker {
	w := c.Workers[id]
	if w != nil && incarnation <= w.Incarnation {
		return w
	}
	return c.ReplaceWorker(w, id, incarnation, now)
}

// ReplaceWorker adds an incarnation of the worker with the id as not listed, and returns it. It removes the former one
// unless that is nil, and ends its runs unless the added one may have started them. The order of the two numbers does not
// matter: a wall clock may have been set back between the two starts.
func (c *Cluster) ReplaceWorker(former *Worker, id string, incarnation int64, now time.Time) *Worker {
	next := &Worker{ID: id, Incarnation: incarnation, Epoch: c.incarnations[id], Runs: map[*Run]struct{}{}, Untracked: map[string]workload.Resources{}}
	c.incarnations[id]++
	if former != nil {
		c.transferUncertainRuns(former, next, now)
		c.RemoveWorker(former, now)
	}
	c.Workers[id] = next
	c.sorted = nil
	return next
}

// transferUncertainRuns moves the runs that the next incarnation of their worker may have started: start
// orders are addressed to the worker id, so an order that was in transit may have reached the next
// incarnation. A run whose start this owner sent must be stopped there before its task can start again. A run
// that a former owner ordered is resolved by the first report, because the worker rejects older fencing
// tokens after it.
func (c *Cluster) transferUncertainRuns(w, next *Worker, now time.Time) {
	for r := range w.Runs {
		if r.Phase == Planned || (!r.StartedAt.IsZero() && !r.StartedAt.After(w.ReportedAt)) {
			continue
		}
		allocation := r.Task.Step.Spec.Allocation()
		delete(w.Runs, r)
		w.Used = w.Used.Sub(allocation)
		next.Runs[r] = struct{}{}
		next.Used = next.Used.Add(allocation)
		r.Worker = next
		r.resetRate()
		if !r.StartSent {
			continue
		}
		if r.Task.Step.Spec.LongRunning && r.Phase != Stopping {
			// It may be serving users already, so it is stopped only if the next incarnation does not report it.
			r.Phase, r.StartedAt, r.StartUncertain = Ordered, time.Time{}, true
			continue
		}
		r.RequestStop("the restarted worker may have started it", now)
		r.StopSent = false
		r.CannotStartSince = time.Time{}
	}
}

// RemoveWorker removes an incarnation of a worker and ends its runs, which can no longer be running.
func (c *Cluster) RemoveWorker(w *Worker, now time.Time) {
	for r := range w.Runs {
		c.End(r, EndLeaseExpired, "", now)
	}
	if c.Workers[w.ID] == w {
		delete(c.Workers, w.ID)
		c.sorted = nil
	}
}

// ExpireRuns ends all runs of a worker, except planned ones, after its lease has expired, including the
// allowance for clock differences.
func (c *Cluster) ExpireRuns(w *Worker, now time.Time) {
	for r := range w.Runs {
		if r.Phase != Planned {
			c.End(r, EndLeaseExpired, "", now)
		}
	}
}

// MarkJobsDirty marks the jobs with runs on the worker, so that their records are written again.
func (w *Worker) MarkJobsDirty() {
	for r := range w.Runs {
		r.Task.Step.Occurrence.Job.Dirty = true
	}
}

// AddUntracked accounts for the resources of a task on the worker that matches no entry of Runs.
func (w *Worker) AddUntracked(task string, allocation workload.Resources) {
	if _, known := w.Untracked[task]; known {
		return
	}
	w.Untracked[task] = allocation
	w.Used = w.Used.Add(allocation)
}

// RemoveUntracked frees the resources of a task added by AddUntracked.
func (w *Worker) RemoveUntracked(task string) {
	if allocation, known := w.Untracked[task]; known {
		delete(w.Untracked, task)
		w.Used = w.Used.Sub(allocation)
	}
}
