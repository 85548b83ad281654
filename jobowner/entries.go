package jobowner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

// An entry of the platform's list may come from another writer, also under the key of a worker or with a worker's address.
// It can add a worker, exclude one from new work and have one asked. That an incarnation has ended is shown by what answers
// at its address, or by the end of its lease.

// OnWorker applies a new or changed entry of the platform's list of workers.
func (t *Term) OnWorker(e workerapi.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.namesService(e.Service) {
		t.park(e)
		t.excludeUntilListed(e.Worker.ID)
		return
	}
	delete(t.parked, e.Worker.ID)
	t.applyEntry(e, time.Now())
}

// maxParked limits the entries that are kept until a configuration names their service. Others are applied when their
// workers write them again.
const maxParked = 1024

// park keeps an entry until a configuration names its service. The caller holds the lock.
func (t *Term) park(e workerapi.Entry) {
	_, known := t.parked[e.Worker.ID]
	if !known && len(t.parked) >= maxParked {
		return
	}
	t.parked[e.Worker.ID] = e
	if !known {
		events.Warn(t.opts.Log, events.EntryOfNoService, zap.String("worker", e.Worker.ID), zap.String("service", e.Service))
	}
}

// OnWorkerRemoved applies the removal of the worker's entry.
func (t *Term) OnWorkerRemoved(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parked, id)
	delete(t.disputed, id)
	if w := t.cluster.Workers[id]; w != nil {
		t.unlist(w)
	}
}

// OnWorkerUnreadable applies an entry that names no worker.
func (t *Term) OnWorkerUnreadable(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parked, id)
	t.excludeUntilListed(id)
}

// excludeUntilListed excludes the worker from new work, because the entry under its key is not its own. The time of that
// entry says nothing about the worker. The caller holds the lock.
func (t *Term) excludeUntilListed(id string) {
	delete(t.disputed, id)
	if w := t.cluster.Workers[id]; w != nil {
		t.unlist(w)
		w.EntryWrittenAfter = suspend.Stamp{}
	}
}

// namesService reports whether a configuration that this term has seen, or an accepted job, names the service. Without a
// configuration every service counts as named. The caller holds the lock.
func (t *Term) namesService(service string) bool {
	config := t.opts.Config()
	if config != t.servicesOf && config != nil {
		t.servicesOf = config
		for n := range config.Services {
			t.services[config.Services[n].Name] = true
		}
		for n := range config.Routes {
			t.services[config.Routes[n].Service] = true
		}
	}
	return config == nil || t.services[service]
}

// applyParkedEntries applies the entries whose service is named by now. The caller holds the lock.
func (t *Term) applyParkedEntries(now time.Time) {
	for id, e := range t.parked {
		if t.namesService(e.Service) {
			delete(t.parked, id)
			t.applyEntry(e, now)
		}
	}
}

// applyEntry applies an entry whose service is named. The caller holds the lock.
func (t *Term) applyEntry(e workerapi.Entry, now time.Time) {
	w := t.cluster.Workers[e.Worker.ID]
	if w != nil && !w.Confirmed && !t.describes(w, &e) {
		t.dropWorker(w, "another entry before it answered", now)
		w = nil
	}
	if w == nil {
		w = t.ensureWorker(e.Worker.ID, e.Incarnation, now)
	}
	if !t.describes(w, &e) {
		t.dispute(w, e, now)
		return
	}
	delete(t.disputed, w.ID)
	t.list(w, e, now)
}

// describes reports whether the entry may be that of the incarnation: what stays the same for its life does not differ
// from what is known of it.
func (t *Term) describes(w *jobstate.Worker, e *workerapi.Entry) bool {
	if w.Incarnation != e.Incarnation || w.Address != "" && w.Address != e.Worker.Address {
		return false
	}
	known := t.entries[w.ID]
	return known == nil || sameLife(known, e)
}

// sameLife reports whether the entries agree in what does not change while a worker lives.
func sameLife(a, b *workerapi.Entry) bool {
	return a.Worker == b.Worker && a.Incarnation == b.Incarnation && a.Service == b.Service && a.DataCentre == b.DataCentre &&
		a.Rack == b.Rack && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// list applies an entry of the incarnation. The caller holds the lock.
func (t *Term) list(w *jobstate.Worker, e workerapi.Entry, now time.Time) {
	w.EntryWrittenAfter = t.listAsOf // the entry was written later
	if previous := t.entries[w.ID]; previous != nil && w.Listed && previous.Equal(&e) {
		return // a heartbeat
	}
	t.entries[w.ID] = &e
	first := !w.Listed
	w.Address, w.Service, w.DataCentre, w.Rack = e.Worker.Address, e.Service, e.DataCentre, e.Rack
	w.Labels, w.Capacity = e.Labels, e.Capacity
	w.Listed = true
	if e.Draining && (!w.Draining || e.DrainTime > 0) {
		w.LeavesAt = now.Add(e.DrainTime)
	}
	w.Draining = e.Draining
	delete(t.unlistedSince, w)
	if first {
		events.Info(t.opts.Log, events.WorkerListed, zap.String("worker", w.ID), zap.Int64("life", w.Incarnation),
			zap.String("zone", w.DataCentre), zap.Bool("draining", w.Draining))
	}
	a := t.ensureAgent(w)
	if a.clockAt.IsZero() && w.LeaseEnds.IsZero() {
		w.LeaseEnds = t.initialLeaseEnd(w, now)
	}
	a.signal()
	t.wakeLoop()
}

// dispute handles an entry that describes another incarnation than the one that has answered. Until the worker's address
// has answered, or the worker writes its entry again, the worker gets no new work. The caller holds the lock.
func (t *Term) dispute(w *jobstate.Worker, e workerapi.Entry, now time.Time) {
	former := t.disputed[w.ID]
	if former != nil && e.Incarnation == w.Incarnation && e.Worker.Address == w.Address && sameLife(former, &e) {
		// Written repeatedly, so that the entry known before was not the worker's.
		delete(t.disputed, w.ID)
		delete(t.entries, w.ID)
		t.list(w, e, now)
		return
	}
	if former == nil || !sameLife(former, &e) {
		events.Warn(t.opts.Log, events.EntryDisputed, zap.String("worker", w.ID), zap.Int64("life", w.Incarnation), zap.Int("runs", len(w.Runs)),
			zap.String("address", w.Address), zap.Int64("entry_life", e.Incarnation), zap.String("entry_address", e.Worker.Address))
	}
	t.excludeUntilListed(w.ID)
	t.disputed[w.ID] = &e
	if w.Address == "" {
		return // no address to ask; its runs wait for the end of their lease
	}
	if t.agents[w.ID] == nil {
		t.unlistedSince[w] = now
	}
	a := t.ensureAgent(w)
	if a.asking {
		return
	}
	a.asking = true
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		_ = t.opts.Guard.Do("question to "+w.ID, func() { a.askIncarnation(e) })
		t.mu.Lock()
		defer t.mu.Unlock()
		a.asking = false
	}()
}

// askIncarnation requests a report from the worker's address and, if the entry has another one, from that.
func (a *agent) askIncarnation(e workerapi.Entry) {
	a.ask(a.lockedTarget(), false)
	if target := a.lockedTarget(); target != e.Worker {
		a.ask(e.Worker, true)
	}
}

func (a *agent) lockedTarget() workerapi.Target {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.target()
}

// ask requests a report at once, without renewing the lease, and applies it. An answer at another address than the known one
// counts only if it is of another incarnation.
func (a *agent) ask(target workerapi.Target, elsewhere bool) {
	t := a.t
	t.mu.Lock()
	order, sent := workerapi.Renew{Token: a.token()}, time.Now()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, immediateReportTimeout+t.lagAllowance())
	report, err := t.opts.Workers.Renew(ctx, target, order)
	cancel()
	if err != nil && !elsewhere && errors.Is(err, workerapi.ErrWorkerRestarted) {
		a.reportFailed(err)
	}
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] != a {
		return
	}
	if !elsewhere {
		a.apply(report, sent)
	} else if report.Incarnation != 0 && report.Incarnation != a.worker.Incarnation {
		t.replaceIncarnation(a.worker, report.Incarnation, target.Address, time.Now())
	}
}

// takeAddress ends the worker that answered at the worker's address before. It returns false if that is the same process under
// another ID: the entry of this one is not its own, and it is dropped. The caller holds the lock.
func (t *Term) takeAddress(w *jobstate.Worker, now time.Time) bool {
	if w.Address == "" {
		return true
	}
	if t.addresses == nil {
		t.indexAddresses()
	}
	other := t.addresses[w.Address]
	if other == nil || other == w || t.cluster.Workers[other.ID] != other || other.Address != w.Address {
		t.addresses[w.Address] = w
		return true
	}
	if w.Incarnation != 0 && w.Incarnation == other.Incarnation && (other.Listed || len(other.Runs) > 0) {
		t.dropWorker(w, "its process is that of "+other.ID, now)
		return false
	}
	t.addresses[w.Address] = w
	t.dropWorker(other, "replaced at its address by "+w.ID, now)
	return true
}

// indexAddresses indexes the workers from job records by address. All records have been read before the first worker is
// asked.
func (t *Term) indexAddresses() {
	t.addresses = map[string]*jobstate.Worker{}
	for _, w := range t.cluster.Workers {
		if other := t.addresses[w.Address]; w.Confirmed && w.Address != "" && (other == nil || other.Incarnation < w.Incarnation) {
			t.addresses[w.Address] = w
		}
	}
}
