package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// DataCentreOwner places the work of one data centre under one fencing token. All its
// state belongs to the applier goroutine; other goroutines reach it through post and ask.
type DataCentreOwner struct {
	workspaces  []structs.Workspace // of the manifest, in its order
	offloadedAt time.Time           // last round of scheduler.Offload
	o           *Options
	dc          string
	token       uint64
	log         *zap.Logger

	events  chan func()
	records *records
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	starts  sync.WaitGroup // starts in flight
	fenced  atomic.Bool    // a worker has seen a newer owner

	d        *state.DataCentre
	jobs     map[string]*job
	workers  map[string]*worker
	expired  []endedRecord // records to delete, by time of their end
	ready    bool          // recovery has come far enough to decide
	stopping bool          // stands down: no more decisions
	changed  bool          // the state has changed since the last decision
	wakeAt   time.Time
	// decidedAt is the time of the last decision.
	decidedAt time.Time
	after     []func() // run after the next decision
	version   uint64   // counts decisions

	demandSeen map[demandKey]time.Time // when each demand for slots was last stated

	guarded bool // a refusal of the gate was logged
}

type endedRecord struct {
	id    string
	rev   uint64
	ended time.Time
}

func newOwner(parent context.Context, o *Options, limiter *rate.Limiter, dc string, token uint64) *DataCentreOwner {
	w := &DataCentreOwner{
		o: o, dc: dc, token: token,
		log:     o.Log.With(zap.String("data_centre", dc), zap.Uint64("token", token)),
		events:  make(chan func(), queueLength),
		records: newRecords(o, limiter, dc, token),
		d:       state.New(dc), jobs: map[string]*job{}, workers: map[string]*worker{}, demandSeen: map[demandKey]time.Time{},
	}
	w.ctx, w.cancel = context.WithCancel(parent)
	w.records.fenced = &w.fenced
	w.records.taken = func(id string, kv remote.KV) { w.post(func() { w.recordTaken(id, kv) }) }
	w.records.settled = func(id string) { w.post(func() { w.recordSettled(id) }) }
	w.records.delayed = func(pending int, err error) {
		w.post(func() {
			events.Warn(w.log, events.RecordWriteDelayed, zap.Int("pending", pending), zap.Error(err))
		})
	}
	return w
}

// run starts the owner's goroutines.
func (o *DataCentreOwner) run() {
	events.Info(o.log, events.OwnerElected, zap.String("instance", o.o.Instance))
	o.goRun(o.loop)
	for range recordWriters {
		o.goRun(func() { o.records.run(o.ctx) })
	}
	o.goRun(o.recover)
}

func (o *DataCentreOwner) goRun(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// post hands f to the applier. It reports false when the owner has ended.
func (o *DataCentreOwner) post(f func()) bool {
	select {
	case <-o.ctx.Done():
		return false
	case o.events <- f:
		return true
	}
}

// ask runs f in the applier and waits for it.
func (o *DataCentreOwner) ask(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "owner of %s is busy", o.dc)
	case <-o.ctx.Done():
		return o.gone()
	case o.events <- func() { f(); close(done) }:
	}
	select {
	case <-done:
		return nil
	case <-o.ctx.Done():
		return o.gone()
	}
}

func (o *DataCentreOwner) gone() error {
	return errkind.New(errkind.OwnerUnavailable, "this instance does not own data centre %s any more", o.dc)
}

// loop is the applier.
func (o *DataCentreOwner) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.events:
			f()
			o.drain()
		case <-ticker.C:
			o.tick(time.Now())
		}
		o.decide(time.Now())
		for _, f := range o.after {
			f()
		}
		o.after = o.after[:0]
	}
}

// drain applies what else has arrived, so that one decision covers a burst.
func (o *DataCentreOwner) drain() {
	for range queueLength {
		select {
		case f := <-o.events:
			f()
		default:
			return
		}
	}
}

// apply changes the state. A refused event is a fault of this package and is logged.
func (o *DataCentreOwner) apply(e state.Event) bool {
	if err := o.d.Apply(e); err != nil {
		o.log.Error("state refused an event", zap.Error(err))
		metrics.GetOrRegisterCounter("owner.refused_events", o.o.Metrics).Inc(1)
		return false
	}
	o.changed = true
	return true
}

// tick does what depends only on time.
func (o *DataCentreOwner) tick(now time.Time) {
	if o.holdsDue(now) {
		o.apply(state.HoldsExpired{Now: now})
	}
	if !o.wakeAt.IsZero() && !o.wakeAt.After(now) || len(o.d.Queue) > 0 && now.Sub(o.decidedAt) >= decideInterval {
		o.changed = true
	}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		switch {
		case j.status == jobParked && o.parkOver(j, now):
			o.unpark(j, now)
		case j.status == jobRunning:
			o.checkLeases(j, now)
		case j.before != nil:
			o.reportSuccess(j)
		case !j.live() && now.Sub(j.endedAt) > endedKept:
			o.dropEnded(j)
		}
	}
	o.probeWorkers(now)
	o.dropDemands(now)
}

// holdsDue reports whether a hold or a grant has ended.
func (o *DataCentreOwner) holdsDue(now time.Time) bool {
	for _, w := range o.d.SortedWorkers {
		for _, h := range w.Holds {
			if !h.Until.After(now) {
				return true
			}
		}
	}
	for _, g := range o.d.Grants {
		if !g.Expires.After(now) {
			return true
		}
	}
	return false
}

// decide asks the policy for a plan and carries it out.
func (o *DataCentreOwner) decide(now time.Time) {
	if !o.ready || o.stopping || !o.changed || o.fenced.Load() {
		return
	}
	o.changed, o.decidedAt = false, now
	plan := o.o.Policy.Decide(o.d, now)
	o.wakeAt = plan.NextDecisionAt
	if o.o.Destinations != nil && len(o.d.Queue) > 0 && now.Sub(o.offloadedAt) >= scheduler.OffloadInterval {
		o.offloadedAt = now
		plan.Actions = append(plan.Actions, scheduler.Offload(o.d, &plan, o.o.Destinations.Rooms(), now)...)
	}
	plan.Actions = o.admitted(plan.Actions)
	if len(plan.Actions) == 0 && len(o.d.Reservations) == 0 {
		return
	}
	o.version++
	revoked := o.revoking()
	if err := o.d.Apply(state.PlanAccepted{Plan: plan, Now: now}); err != nil {
		o.log.Error("state refused a plan", zap.Error(err))
		return
	}
	for i := range plan.Actions {
		o.carryOut(&plan.Actions[i], revoked, now)
	}
}

// admitted returns the actions that can be carried out now.
func (o *DataCentreOwner) admitted(actions []structs.Action) []structs.Action {
	kept := actions[:0]
	for i := range actions {
		if o.admits(&actions[i]) {
			kept = append(kept, actions[i])
		}
	}
	return kept
}

// admits reports whether an action can be carried out now. Starts wait while the gate
// refuses them; the next tick decides again.
func (o *DataCentreOwner) admits(a *structs.Action) bool {
	j := o.jobs[a.Job]
	switch a.Kind {
	case structs.ActionStart:
		if j == nil || j.status != jobQueued {
			return false
		}
		if err := o.o.Gate.MayStart(o.dc); err != nil {
			o.wakeAt = time.Now().Add(tickInterval)
			if !o.guarded {
				o.guarded = true
				events.Info(o.log, events.JobStartFailed, zap.String("job", a.Job), zap.String("reason", "no start allowed: "+err.Error()))
			}
			return false
		}
		o.guarded = false
	case structs.ActionPreempt:
		return j != nil && j.status == jobRunning
	case structs.ActionTransfer:
		return j != nil && j.status == jobQueued && o.chooseDestination(a, &j.rec.Job)
	case structs.ActionRefuse:
		return j != nil && j.status == jobQueued
	}
	return true
}

// chooseDestination completes a transfer whose data centre the policy, which sees only its
// own, has left open. Without a destination the job stays queued here.
func (o *DataCentreOwner) chooseDestination(a *structs.Action, j *structs.Job) bool {
	if a.DataCentre == "" && o.o.Destinations != nil {
		if to, ok := o.o.Destinations.Destination(j, o.dc); ok {
			a.DataCentre = to
		}
	}
	return a.DataCentre != "" && a.DataCentre != o.dc
}

// carryOut starts an accepted action.
func (o *DataCentreOwner) carryOut(a *structs.Action, revoked map[string]bool, now time.Time) {
	j := o.jobs[a.Job]
	o.logDecision(j, a, revoked, now)
	switch a.Kind {
	case structs.ActionStart:
		o.start(j, a.Placements, now)
	case structs.ActionPreempt:
		o.preempt(j, a, now)
	case structs.ActionRefuse:
		o.end(j, structs.OutcomeNotRun, a.Reason, now)
	case structs.ActionTransfer:
		o.transfer(j, a.DataCentre)
	case structs.ActionUncharge:
		j.rec.Guaranteed = false
	}
}

// logDecision writes the decision's one log event and keeps it for Explain.
func (o *DataCentreOwner) logDecision(j *job, a *structs.Action, revoked map[string]bool, now time.Time) {
	if a.Kind == structs.ActionGrant || a.Kind == structs.ActionRevoke {
		if a.Kind == structs.ActionRevoke && revoked[a.GrantID] {
			return
		}
		events.Info(o.log, events.SlotsGranted, zap.String("kind", string(a.Kind)), zap.String("instance", a.Instance),
			zap.String("service", a.Service), zap.String("worker", a.Worker), zap.Int("slots", a.Slots),
			zap.String("grant", a.GrantID), zap.String("reason", a.Reason))
		return
	}
	if j == nil {
		return
	}
	before := len(j.decisions)
	o.note(j, string(a.Kind), a.Reason, *a, now)
	if a.Kind == structs.ActionReserve && len(j.decisions) == before && before < maxDecisions {
		return
	}
	events.Info(o.log, events.PlacementDecided, zap.String("kind", string(a.Kind)), zap.String("job", a.Job),
		zap.Int("attempt", o.attemptOf(j)), zap.String("shape", j.rec.Job.Shape.String()), zap.Any("placements", a.Placements), zap.String("to", a.DataCentre),
		zap.String("for", a.PreemptedFor), zap.Bool("guaranteed", a.Guaranteed), zap.Uint64("revision", o.d.Revision),
		zap.Int("queued", len(o.d.Queue)), zap.Int("active", len(o.d.Active)), zap.String("reason", a.Reason))
}

// attemptOf returns the attempt that a decision is about: the state has counted it already.
func (o *DataCentreOwner) attemptOf(j *job) int {
	if s := o.d.Job(j.id()); s != nil {
		return s.Attempt
	}
	return j.rec.Attempt
}

// note adds to a job's decision record.
func (o *DataCentreOwner) note(j *job, kind, reason string, a structs.Action, now time.Time) {
	j.addDecision(Decision{At: now, Kind: kind, Reason: reason, Action: a})
}

// revoking returns the grants whose revocation was already decided.
func (o *DataCentreOwner) revoking() map[string]bool {
	ids := map[string]bool{}
	for id, g := range o.d.Grants {
		if g.Revoking {
			ids[id] = true
		}
	}
	return ids
}

// workerRefused handles a stale token: a newer owner exists, and this one must not act.
func (o *DataCentreOwner) workerRefused(worker string, err error) {
	if errors.Is(err, remote.ErrStaleToken) && !o.fenced.Swap(true) {
		events.Warn(o.log, events.WorkerRefusedToken, zap.String("worker", worker), zap.Error(err))
	}
}

// standDown ends the owner so that its successor can adopt what runs: no more decisions,
// starts in flight finish, and the workers' leases are renewed a last time.
func (o *DataCentreOwner) standDown() {
	_ = o.ask(context.Background(), func() { o.stopping = true })
	finished := make(chan struct{})
	go func() {
		o.starts.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(2 * ReservationTTL):
	}
	o.renewAll()
	for deadline := time.Now().Add(storeTimeout); o.records.pending() > 0 && !o.records.isDown() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	events.Info(o.log, events.OwnerStoodDown, zap.String("instance", o.o.Instance), zap.Int("pending_records", o.records.pending()))
	o.halt()
}

// halt ends every goroutine of the owner at once.
func (o *DataCentreOwner) halt() {
	o.cancel()
	o.wg.Wait()
}
