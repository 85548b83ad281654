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

// DataCentreOwner schedules the jobs of one data centre under one fencing token. Only the event
// loop accesses its state; other goroutines submit functions to the loop with post and call.
type DataCentreOwner struct {
	workspaces  []structs.Workspace // in manifest order
	offloadedAt time.Time           // time of the last scheduler.Offload call
	opts        *Options
	dc          string
	token       uint64
	log         *zap.Logger

	events        chan func()
	records       *records
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	pendingStarts sync.WaitGroup // starts in flight
	fenced        atomic.Bool    // a worker has rejected the token as stale

	state          *state.DataCentre
	jobs           map[string]*job
	workers        map[string]*worker
	endedRecords   []endedRecord // records of ended jobs, deleted after recordRetention
	ready          bool          // recovery has loaded the job records: decisions may be made
	stopping       bool          // standing down: no further decisions
	changed        bool          // the state has changed since the last decision
	nextDecisionAt time.Time     // requested by the policy or after a refused start; zero for none
	// decidedAt is the time of the last decision.
	decidedAt     time.Time
	afterDecision []func() // run after the next decision
	version       uint64   // counts decisions

	lastDemand map[demandKey]time.Time // time of the last request for each demand

	startRefusalLogged bool // the current refusal by the start gate has been logged
}

type endedRecord struct {
	id    string
	rev   uint64
	ended time.Time
}

func newOwner(parent context.Context, opts *Options, limiter *rate.Limiter, dc string, token uint64) *DataCentreOwner {
	owner := &DataCentreOwner{
		opts: opts, dc: dc, token: token,
		log:     opts.Log.With(zap.String("data_centre", dc), zap.Uint64("token", token)),
		events:  make(chan func(), eventQueueLength),
		records: newRecords(opts, limiter, dc, token),
		state:   state.New(dc), jobs: map[string]*job{}, workers: map[string]*worker{}, lastDemand: map[demandKey]time.Time{},
	}
	owner.ctx, owner.cancel = context.WithCancel(parent)
	owner.records.fenced = &owner.fenced
	owner.records.onSuperseded = func(id string, kv remote.KV) { owner.post(func() { owner.recordSuperseded(id, kv) }) }
	owner.records.onStored = func(id string) { owner.post(func() { owner.recordStored(id) }) }
	owner.records.onDelayed = func(pending int, err error) {
		owner.post(func() {
			events.Warn(owner.log, events.RecordWriteDelayed, zap.Int("pending", pending), zap.Error(err))
		})
	}
	return owner
}

// run starts the owner's goroutines.
func (o *DataCentreOwner) run() {
	events.Info(o.log, events.OwnerElected, zap.String("instance", o.opts.Instance))
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

// post queues f for the event loop. It returns false when the owner has been halted.
func (o *DataCentreOwner) post(f func()) bool {
	select {
	case <-o.ctx.Done():
		return false
	case o.events <- f:
		return true
	}
}

// call runs f in the event loop and waits until it returns.
func (o *DataCentreOwner) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "owner of %s is busy", o.dc)
	case <-o.ctx.Done():
		return o.notOwnerError()
	case o.events <- func() { f(); close(done) }:
	}
	select {
	case <-done:
		return nil
	case <-o.ctx.Done():
		return o.notOwnerError()
	}
}

func (o *DataCentreOwner) notOwnerError() error {
	return errkind.New(errkind.OwnerUnavailable, "this instance does not own data centre %s any more", o.dc)
}

// loop is the event loop. It makes at most one decision after each batch of functions or tick.
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
		for _, f := range o.afterDecision {
			f()
		}
		o.afterDecision = o.afterDecision[:0]
	}
}

// drain runs the functions that are already queued, so that one decision covers a burst of events.
func (o *DataCentreOwner) drain() {
	for range eventQueueLength {
		select {
		case f := <-o.events:
			f()
		default:
			return
		}
	}
}

// apply changes the state. A rejected event indicates a bug in this package and is logged.
func (o *DataCentreOwner) apply(e state.Event) bool {
	if err := o.state.Apply(e); err != nil {
		o.log.Error("data centre state rejected an event", zap.Error(err))
		metrics.GetOrRegisterCounter("owner.refused_events", o.opts.Metrics).Inc(1)
		return false
	}
	o.changed = true
	return true
}

// tick performs the work that depends only on time.
func (o *DataCentreOwner) tick(now time.Time) {
	if o.holdOrGrantExpired(now) {
		o.apply(state.HoldsExpired{Now: now})
	}
	if !o.nextDecisionAt.IsZero() && !o.nextDecisionAt.After(now) || len(o.state.Queue) > 0 && now.Sub(o.decidedAt) >= decideInterval {
		o.changed = true
	}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		switch {
		case j.status == jobParked && o.parkExpired(j, now):
			o.enqueue(j, now)
		case j.status == jobRunning:
			o.checkLeases(j, now)
		case j.lastReported != nil:
			o.reportSuccess(j)
		case !j.live() && now.Sub(j.endedAt) > endedJobRetention:
			o.dropEnded(j)
		}
	}
	o.probeWorkers(now)
	o.expireDemands(now)
}

// holdOrGrantExpired reports whether a hold or a grant has expired.
func (o *DataCentreOwner) holdOrGrantExpired(now time.Time) bool {
	for _, w := range o.state.SortedWorkers {
		for _, h := range w.Holds {
			if !h.Until.After(now) {
				return true
			}
		}
	}
	for _, g := range o.state.Grants {
		if !g.Expires.After(now) {
			return true
		}
	}
	return false
}

// decide requests a plan from the policy and executes it.
func (o *DataCentreOwner) decide(now time.Time) {
	if !o.ready || o.stopping || !o.changed || o.fenced.Load() {
		return
	}
	o.changed, o.decidedAt = false, now
	plan := o.opts.Policy.Decide(o.state, now)
	o.nextDecisionAt = plan.NextDecisionAt
	if o.opts.Destinations != nil && len(o.state.Queue) > 0 && now.Sub(o.offloadedAt) >= scheduler.OffloadInterval {
		o.offloadedAt = now
		plan.Actions = append(plan.Actions, scheduler.Offload(o.state, &plan, o.opts.Destinations.Summaries(), now)...)
	}
	plan.Actions = o.executableActions(plan.Actions)
	if len(plan.Actions) == 0 && len(o.state.Reservations) == 0 {
		return
	}
	o.version++
	revoked := o.revokingGrants()
	if err := o.state.Apply(state.PlanAccepted{Plan: plan, Now: now}); err != nil {
		o.log.Error("data centre state rejected a plan", zap.Error(err))
		return
	}
	for i := range plan.Actions {
		o.execute(&plan.Actions[i], revoked, now)
	}
}

// executableActions returns the actions that can be executed now. It reuses the slice.
func (o *DataCentreOwner) executableActions(actions []structs.Action) []structs.Action {
	kept := actions[:0]
	for i := range actions {
		if o.canExecute(&actions[i]) {
			kept = append(kept, actions[i])
		}
	}
	return kept
}

// canExecute reports whether an action can be executed now. A start that the gate refuses stays
// queued, and the next tick triggers another decision.
func (o *DataCentreOwner) canExecute(a *structs.Action) bool {
	j := o.jobs[a.Job]
	switch a.Kind {
	case structs.ActionStart:
		if j == nil || j.status != jobQueued {
			return false
		}
		if err := o.opts.Gate.MayStart(o.dc); err != nil {
			o.nextDecisionAt = time.Now().Add(tickInterval)
			if !o.startRefusalLogged {
				o.startRefusalLogged = true
				events.Info(o.log, events.JobStartFailed, zap.String("job", a.Job), zap.String("reason", "no start allowed: "+err.Error()))
			}
			return false
		}
		o.startRefusalLogged = false
	case structs.ActionPreempt:
		return j != nil && j.status == jobRunning
	case structs.ActionTransfer:
		return j != nil && j.status == jobQueued && o.chooseDestination(a, &j.rec.Job)
	case structs.ActionRefuse:
		return j != nil && j.status == jobQueued
	}
	return true
}

// chooseDestination sets the data centre of a transfer if the policy, which has the state of one
// data centre only, did not name it. Without a destination the job stays in this queue.
func (o *DataCentreOwner) chooseDestination(a *structs.Action, j *structs.Job) bool {
	if a.DataCentre == "" && o.opts.Destinations != nil {
		if to, ok := o.opts.Destinations.Destination(j, o.dc); ok {
			a.DataCentre = to
		}
	}
	return a.DataCentre != "" && a.DataCentre != o.dc
}

// execute carries out an action that the state has accepted.
func (o *DataCentreOwner) execute(a *structs.Action, revoked map[string]bool, now time.Time) {
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

// logDecision logs a decision once and stores it in the job's decision record for Explain.
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
	o.recordDecision(j, string(a.Kind), a.Reason, *a, now)
	if a.Kind == structs.ActionReserve && len(j.decisions) == before && before < maxDecisions {
		return
	}
	events.Info(o.log, events.PlacementDecided, zap.String("kind", string(a.Kind)), zap.String("job", a.Job),
		zap.Int("attempt", o.currentAttempt(j)), zap.String("shape", j.rec.Job.Shape.String()), zap.Any("placements", a.Placements), zap.String("to", a.DataCentre),
		zap.String("for", a.PreemptedFor), zap.Bool("guaranteed", a.Guaranteed), zap.Uint64("revision", o.state.Revision),
		zap.Int("queued", len(o.state.Queue)), zap.Int("active", len(o.state.Active)), zap.String("reason", a.Reason))
}

// currentAttempt returns the attempt that a decision refers to. The state increments it before the
// job record does.
func (o *DataCentreOwner) currentAttempt(j *job) int {
	if s := o.state.Job(j.id()); s != nil {
		return s.Attempt
	}
	return j.rec.Attempt
}

// recordDecision adds an entry to a job's decision record.
func (o *DataCentreOwner) recordDecision(j *job, kind, reason string, a structs.Action, now time.Time) {
	j.addDecision(Decision{At: now, Kind: kind, Reason: reason, Action: a})
}

// revokingGrants returns the ids of the grants that are already being revoked.
func (o *DataCentreOwner) revokingGrants() map[string]bool {
	ids := map[string]bool{}
	for id, g := range o.state.Grants {
		if g.Revoking {
			ids[id] = true
		}
	}
	return ids
}

// checkStaleToken fences this owner if a worker rejected its token as stale: a newer owner exists.
func (o *DataCentreOwner) checkStaleToken(worker string, err error) {
	if errors.Is(err, remote.ErrStaleToken) && !o.fenced.Swap(true) {
		events.Warn(o.log, events.WorkerRefusedToken, zap.String("worker", worker), zap.Error(err))
	}
}

// standDown ends the owner so that its successor can adopt the running jobs: it makes no further
// decisions, waits for starts in flight, and renews the workers' leases a last time.
func (o *DataCentreOwner) standDown() {
	_ = o.call(context.Background(), func() { o.stopping = true })
	finished := make(chan struct{})
	go func() {
		o.pendingStarts.Wait()
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
	events.Info(o.log, events.OwnerStoodDown, zap.String("instance", o.opts.Instance), zap.Int("pending_records", o.records.pending()))
	o.halt()
}

// halt cancels all goroutines of the owner and waits for them.
func (o *DataCentreOwner) halt() {
	o.cancel()
	o.wg.Wait()
}
