package jobowner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

// OnWorker applies an entry of the platform's list of workers.
func (t *Term) OnWorker(e workerapi.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	w := t.cluster.Worker(e.Worker.ID, e.Incarnation, now)
	if w.Life != e.Incarnation {
		return // an older life
	}
	w.SeenAt = t.listedAt // it was written later than that
	if known := t.entries[w.ID]; known != nil && w.Listed && known.Equal(&e) {
		return // a heartbeat
	}
	t.entries[w.ID] = &e
	t.dropSameAddress(w, e, now)
	first := !w.Listed
	w.Address, w.Service, w.Zone, w.Rack = e.Worker.Address, e.Service, e.Zone, e.Rack
	w.Labels, w.Capacity = e.Labels, e.Capacity
	w.Listed = true
	if e.Draining && (!w.Draining || e.DrainTime > 0) {
		w.LeavesAt = now.Add(e.DrainTime)
	}
	w.Draining = e.Draining
	delete(t.missing, w)
	if first {
		events.Info(t.o.Log, events.WorkerListed, zap.String("worker", w.ID), zap.Int64("life", w.Life),
			zap.String("zone", w.Zone), zap.Bool("draining", w.Draining))
	}
	a := t.ensureAgent(w)
	if a.clockAt.IsZero() && w.LeaseEnds.IsZero() {
		w.LeaseEnds = t.unheardEnds(w, now)
	}
	a.nudge()
	t.kick()
}

// unheardLease is how long after the start of the term a worker that has not been heard may
// still run what a former owner ordered.
func (t *Term) unheardLease() time.Duration {
	return predecessorHold + t.longestLease()
}

// unheardEnds returns when the lease of a worker that has not been heard in this term has surely
// run out: after the longest lease that the predecessor may have renewed or, if a record says that
// the worker did not answer a former owner, when that owner's lease has. Clocks may differ.
func (t *Term) unheardEnds(w *jobstate.Worker, now time.Time) time.Time {
	ends := t.began.Add(t.unheardLease())
	if w.RecordedEnds == 0 {
		return ends
	}
	left := time.Duration(w.RecordedEnds-t.o.Wall().UnixMilli()) * time.Millisecond
	if recorded := now.Add(left + clockMargin); recorded.Before(ends) {
		return recorded
	}
	return ends
}

// isSilent reports whether the worker has not answered this owner for a while.
func (t *Term) isSilent(w *jobstate.Worker, now time.Time) bool {
	a := t.agents[w.ID]
	if a == nil || a.worker != w {
		return now.Sub(t.began) > unlistedGrace
	}
	return a.failures >= silentAfter
}

// longestLease is how long a lease that a worker has just taken in may last by this
// process's clock.
func (t *Term) longestLease() time.Duration {
	return t.o.MaxLease + time.Duration(clockDrift*float64(t.o.MaxLease)) + leaseMargin
}

// dropSameAddress drops a worker that another one has replaced at its address.
func (t *Term) dropSameAddress(w *jobstate.Worker, e workerapi.Entry, now time.Time) {
	if e.Worker.Address == "" {
		return
	}
	if t.addresses == nil {
		t.indexAddresses()
	}
	other := t.addresses[e.Worker.Address]
	if other != nil && other != w {
		if other.Life >= e.Incarnation {
			return
		}
		if t.cluster.Workers[other.ID] == other && other.Address == e.Worker.Address {
			t.dropWorker(other, "replaced at its address by "+w.ID, now)
		}
	}
	t.addresses[e.Worker.Address] = w
}

// indexAddresses notes the addresses of the workers that are known from records, all of which have
// been read before the first worker is listed.
func (t *Term) indexAddresses() {
	t.addresses = map[string]*jobstate.Worker{}
	for _, w := range t.cluster.Workers {
		if known := t.addresses[w.Address]; w.Address != "" && (known == nil || known.Life < w.Life) {
			t.addresses[w.Address] = w
		}
	}
}

// OnWorkerGone notes that the worker's entry has been removed.
func (t *Term) OnWorkerGone(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.cluster.Workers[id]
	if w == nil || !w.Listed {
		return
	}
	w.Listed = false
	t.missing[w] = time.Now()
	events.Info(t.o.Log, events.WorkerUnlisted, zap.String("worker", w.ID), zap.Bool("draining", w.Draining), zap.Int("runs", len(w.Runs)))
	t.kick()
}

// checkWorkers drops workers that are gone and ends runs whose leases have run out. The
// caller holds the lock.
func (t *Term) checkWorkers(now time.Time) {
	for _, w := range t.cluster.Workers {
		if w.LeaseEnds.IsZero() && len(w.Runs) > 0 {
			w.LeaseEnds = t.unheardEnds(w, now) // known from records only
		}
		if !w.Silent && t.mayRun(w) && t.isSilent(w, now) {
			w.Silent = true
			w.MarkRuns()
		}
		if since, ok := t.missing[w]; ok && t.gone(w, since, now) {
			t.dropWorker(w, "no entry and no answer", now)
			continue
		}
		if len(w.Runs) > 0 && now.After(w.LeaseEnds) && t.mayRun(w) {
			events.Warn(t.o.Log, events.WorkerLeaseExpired, zap.String("worker", w.ID), zap.Int("runs", len(w.Runs)))
			t.cluster.Lapse(w, now)
			w.Heard = false
		}
	}
}

// mayRun reports whether the worker has runs other than planned ones.
func (t *Term) mayRun(w *jobstate.Worker) bool {
	for r := range w.Runs {
		if r.Phase != jobstate.Planned {
			return true
		}
	}
	return false
}

// gone reports whether a worker without an entry has surely left: it runs nothing, or it said that it
// leaves and its entry was removed soon after its last heartbeat. An entry is also removed when its
// worker has been silent for a while, and what runs on such a worker goes on until its lease ends.
func (t *Term) gone(w *jobstate.Worker, since, now time.Time) bool {
	a := t.agents[w.ID]
	answers := a != nil && a.lastHeard.After(since) && a.failures == 0
	if answers {
		return false
	}
	left := w.Draining && now.After(w.LeavesAt) && w.SeenAt.Age(since, t.o.Suspended()) < t.o.HeartbeatGap
	if left && t.o.StoreCalm() {
		return true
	}
	if now.Sub(since) < missingGrace {
		return false // entries that lapsed in an outage of the store may come back
	}
	return left || len(w.Runs) == 0
}

// dropWorker forgets a life of a worker that is over. The caller holds the lock.
func (t *Term) dropWorker(w *jobstate.Worker, reason string, now time.Time) {
	events.Info(t.o.Log, events.WorkerIncarnationEnded, zap.String("worker", w.ID), zap.Int64("life", w.Life),
		zap.Int("runs", len(w.Runs)), zap.String("reason", reason))
	if a := t.agents[w.ID]; a != nil && a.worker == w {
		a.cancel()
		delete(t.agents, w.ID)
	}
	delete(t.missing, w)
	delete(t.entries, w.ID)
	t.cluster.Drop(w, now)
	t.kick()
}
