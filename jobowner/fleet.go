package jobowner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// isUnresponsive reports whether the last requests to the worker failed. A worker that is not listed counts as
// unresponsive once the list has been read, and after firstListingGrace.
func (t *Term) isUnresponsive(w *jobstate.Worker, now time.Time) bool {
	a := t.agents[w.ID]
	if a == nil || a.worker != w {
		return t.listAsOf != (suspend.Stamp{}) || now.Sub(t.startedAt) > firstListingGrace
	}
	return a.failures >= maxFailedReports
}

// unlist excludes the worker from new work until it has an entry again. The caller holds the lock.
func (t *Term) unlist(w *jobstate.Worker) {
	if !w.Listed {
		return
	}
	w.Listed = false
	t.unlistedSince[w] = time.Now()
	events.Info(t.opts.Log, events.WorkerUnlisted, zap.String("worker", w.ID), zap.Bool("draining", w.Draining), zap.Int("runs", len(w.Runs)))
	t.wakeLoop()
}

// checkWorkers drops workers that have left and ends runs whose leases have expired. The caller
// holds the lock.
func (t *Term) checkWorkers(now time.Time) {
	for _, w := range t.cluster.Workers {
		if w.LeaseEnds.IsZero() && len(w.Runs) > 0 {
			w.LeaseEnds = t.initialLeaseEnd(w, now) // it is not listed
		}
		t.askUnlisted(w, now)
		t.applyRecordedLeaseClock(w, now)
		if !w.Unresponsive && t.hasOrderedRuns(w) && t.isUnresponsive(w, now) {
			w.Unresponsive = true
			w.MarkJobsDirty()
		}
		t.updateLeaving(w, now)
		if w.LeaseIsFinal() && len(w.Runs) > 0 && t.needsLeaseClock(w, now) {
			w.RecordedLeaseClock = t.leaseClock(w, now)
			w.MarkJobsDirty()
		}
		if since, ok := t.unlistedSince[w]; ok && t.hasLeft(w, since, now) {
			t.dropWorker(w, "no entry and no answer", now)
			continue
		}
		if len(w.Runs) > 0 && now.After(w.LeaseEnds) && t.hasOrderedRuns(w) {
			events.Warn(t.opts.Log, events.WorkerLeaseExpired, zap.String("worker", w.ID), zap.Int("runs", len(w.Runs)))
			t.learner.observeLost(w, now)
			t.cluster.ExpireRuns(w, now)
			w.Answered = false
			if a := t.agents[w.ID]; a != nil {
				a.signal() // it gets no work before it has answered again
			}
		}
	}
}

// updateLeaving makes the lease of a draining worker final when it lasts until the worker may leave: the worker may be gone
// before the next owner can ask it, and the record then shows how long its runs have to be waited for.
func (t *Term) updateLeaving(w *jobstate.Worker, now time.Time) {
	leaving := w.Draining && len(w.Runs) > 0 && !w.LeaseEnds.Before(w.LeavesAt.Add(leaveSlack))
	if leaving == w.Leaving {
		return
	}
	w.Leaving = leaving
	if !w.Unresponsive {
		w.RecordedLeaseEnds, w.RecordedLeaseClock = 0, nil
	}
	w.MarkJobsDirty()
}

// askUnlisted has reports requested from a worker with runs that only job records mention, once the list has been read
// without it. The worker may be cut off from the store only; without an owner that renews its lease, its runs would end.
func (t *Term) askUnlisted(w *jobstate.Worker, now time.Time) {
	if w.Listed || len(w.Runs) == 0 || w.Address == "" || t.agents[w.ID] != nil || t.listAsOf == (suspend.Stamp{}) {
		return
	}
	t.unlistedSince[w] = now
	t.ensureAgent(w)
}

// hasOrderedRuns reports whether the worker has runs whose start may have been sent.
func (t *Term) hasOrderedRuns(w *jobstate.Worker) bool {
	for r := range w.Runs {
		if r.Phase != jobstate.Planned {
			return true
		}
	}
	return false
}

// hasLeft reports whether a worker without an entry has left: it has no runs, or it was draining, its entry was removed
// within HeartbeatGap of its last heartbeat, and its machine has refused a connection since. A missing entry alone is no
// proof. It also expires when the worker cannot reach the store, and an entry that announces a departure may come from
// another writer. Without that proof its runs continue until their lease expires.
func (t *Term) hasLeft(w *jobstate.Worker, since, now time.Time) bool {
	a := t.agents[w.ID]
	asked := a != nil && a.worker == w
	if asked && a.lastAnswer.After(since) && a.failures == 0 {
		return false
	}
	left := w.Draining && now.After(w.LeavesAt) && w.EntryWrittenAfter.Age(since, t.opts.Suspended()) < t.opts.HeartbeatGap
	if len(w.Runs) > 0 && !(asked && a.refusedAt.After(since)) {
		return false
	}
	if left && t.opts.StoreStable() {
		return true
	}
	if now.Sub(since) < relistGrace {
		return false // an entry that expired in an outage of the store may be written again
	}
	return left || len(w.Runs) == 0
}

// dropWorker removes an incarnation of a worker that has ended, and ends its runs. The caller holds the lock.
func (t *Term) dropWorker(w *jobstate.Worker, reason string, now time.Time) {
	events.Info(t.opts.Log, events.WorkerIncarnationEnded, zap.String("worker", w.ID), zap.Int64("life", w.Incarnation),
		zap.Int("runs", len(w.Runs)), zap.String("reason", reason))
	if a := t.agents[w.ID]; a != nil && a.worker == w {
		a.cancel()
		delete(t.agents, w.ID)
	}
	delete(t.unlistedSince, w)
	delete(t.entries, w.ID)
	t.learner.observeLost(w, now)
	t.cluster.RemoveWorker(w, now)
	if e := t.disputed[w.ID]; e != nil {
		delete(t.disputed, w.ID)
		t.applyEntry(*e, now)
	}
	t.wakeLoop()
}
