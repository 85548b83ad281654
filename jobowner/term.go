// Package jobowner runs the jobs of a domain during one term of ownership. It watches the
// accepted jobs and the workers, has the placement policy plan the runs, writes each decision to
// the store before it sends the order to a worker, and renews the leases of the workers.
package jobowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/link"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Options configures a Term.
type Options struct {
	Store   metastore.Store
	Workers workerapi.Client
	Advisor workerapi.Advisor // may be nil if no queue needs advice
	Log     *zap.Logger
	Metrics metrics.Registry
	Guard   *contain.Guard // recovers from panics in decisions, reports and orders

	Token              uint64              // fencing token of the term
	Fence              metastore.Condition // holds until the term ends
	Config             func() *workload.Config
	OwnershipConfirmed func() bool // whether the ownership was confirmed recently enough to renew leases
	WallClock          func() time.Time
	MaxLease           time.Duration // longest lease of a worker
	Placement          placement.Options
	EndedRetention     time.Duration // retention of ended jobs, in memory and in the store
	StoreTimeout       time.Duration // for one call of the store
	// StoreStable reports whether the store has recently answered all calls, so that no worker entry
	// has expired because of an outage.
	StoreStable func() bool
	// HeartbeatGap is how long after a worker's last heartbeat the removal of its entry shows that
	// it has left. A later removal may mean that the entry expired without heartbeats.
	HeartbeatGap time.Duration
	// Suspended returns the machine's total time in suspension; nil reads it from the system.
	Suspended func() time.Duration
	// Lag returns how long calls of this process wait for its own CPU and its own link; nil for a process in which
	// none waits.
	Lag        func() time.Duration
	MaxBacklog int64         // memory for accepted jobs, in bytes, as their footprints count it
	Link       *link.Meter   // over which this process sends; nil if its speed is not known
	MaxListAge time.Duration // maximum age of the list of workers for new orders; 0 for no limit

	// WriteTimeout returns the timeout of the nth attempt of a write, from 1.
	WriteTimeout func(attempt int) time.Duration
	// Unstored returns what former owners have observed and could not store.
	Unstored func(context.Context) Unstored
}

// Timing of a term.
const (
	// decisionInterval is the minimum time between two decisions. Changes that arrive meanwhile
	// are decided and written together, which saves writes to the store.
	decisionInterval = 10 * time.Millisecond
	// pauseFactor times the duration of a decision is the pause after it, so that decisions leave
	// most of the CPU to orders, reports and callers.
	pauseFactor = 3
	// maxDecisionPause limits that pause.
	maxDecisionPause = 100 * time.Millisecond
	// checkInterval is the minimum time between two checks of all workers and ended jobs.
	checkInterval = 50 * time.Millisecond
	// idleInterval is the maximum time between two decisions.
	idleInterval = 250 * time.Millisecond
	// clockDrift is the fraction by which a worker's clock may run slow.
	clockDrift = 0.02
	// leaseMargin is added to each estimate of when a lease has expired.
	leaseMargin = 250 * time.Millisecond
	// predecessorRenewal is how long after the start of a term a former owner without access to
	// the store may still renew leases. The key of the former owner had to expire before this term, so its
	// last confirmation is older than the start by ownership.OwnerTTL, less 0.1 s for different clocks.
	predecessorRenewal = MaxUnconfirmedRenewal - ownership.OwnerTTL + 100*time.Millisecond
	// MaxUnconfirmedRenewal is how long an owner renews the leases of workers without confirmation
	// by the store. Runs survive an outage of the store for this time plus the length of a lease.
	MaxUnconfirmedRenewal = 3500 * time.Millisecond
	// wallClockMargin is how far the wall clocks of two instances may differ; each of them may have
	// jumped by some seconds.
	wallClockMargin = 8 * time.Second
	// firstListingGrace is how long after the start of a term a worker that only job records mention
	// may take to appear in the list of workers before it counts as unresponsive.
	firstListingGrace = 2 * time.Second
	// leaveSlack is how much longer than the time that a draining worker announced its lease must last before it is no
	// longer renewed: the worker may stay a little longer.
	leaveSlack = 2 * time.Second
	// relistGrace is the minimum time a worker stays in the state after its entry was removed, unless it
	// was draining and the store was stable. Entries that expired in an outage of the store are written
	// again within two seconds of its return.
	relistGrace = 2500 * time.Millisecond
)

// Term is one term of ownership.
type Term struct {
	opts      Options
	policy    *placement.Policy
	learner   *learner
	startedAt time.Time

	mu               sync.Mutex
	cluster          *jobstate.Cluster
	agents           map[string]*agent
	unlistedSince    map[*jobstate.Worker]time.Time // when the worker's entry was removed
	entries          map[string]*workerapi.Entry    // newest entry of each listed worker, by id
	parked           map[string]workerapi.Entry     // entries whose service no configuration names, by id
	disputed         map[string]*workerapi.Entry    // newest entry under the id that describes another incarnation than the known one
	services         map[string]bool                // named by a configuration or an accepted job
	servicesOf       *workload.Config               // newest configuration in services
	addresses        map[string]*jobstate.Worker    // newest worker that answered at each address; nil before the first answer
	records          map[string]storedRecord        // read at the start, of jobs that are not loaded yet
	revoked          map[string]revocation          // by job
	revokedCheckedAt time.Time
	removingRevoked  bool
	pendingCancels   map[string]bool                 // jobs whose cancellation arrived before their submission
	formerCompleted  map[string]bool                 // jobs whose completion a former owner observed and could not store
	formerEnds       map[string][]workerapi.EndedRun // the same for ends of runs, by job, until the job is loaded
	unstoredEnds     map[*jobstate.Job][]unstoredEnd // ends of runs that are not in the store yet, in the order of their arrival
	checkedAt        time.Time
	waitsCheckedAt   time.Time
	intakeAsOf       time.Time // all jobs accepted before are loaded
	intakeStale      bool      // intakeAsOf is older than maxIntakeAge
	loading          loadReport
	listAsOf         suspend.Stamp              // the list of workers includes all entries written before
	lagging          bool                       // the lag was reported and has not ended
	listStale        bool                       // the list is older than MaxListAge
	backlog          atomic.Int64               // footprint of all jobs, in bytes
	scheduled        map[*jobstate.Job]struct{} // jobs with occurrences that are not open yet
	nextDue          int64                      // Unix milliseconds of the next occurrence that is not due yet; 0 for none
	writes           int                        // transactions in progress
	pendingAck       *ackPoint                  // ends that may be discarded after certain writes; nil for none
	ended            bool
	admission        admissionState

	adviceQueue  chan *jobstate.Step // steps that wait for advice
	orders       *orderGate
	silentOrders *orderGate // orders to workers that have left a call without an answer
	firstReports *callGate
	loaded       chan struct{} // closed when all jobs are loaded
	loadOnce     sync.Once

	endsStored chan struct{} // closed and replaced when the end of a job has been stored
	wake       chan struct{}
	ctx        context.Context // ends with the term
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	caps                 *capMonitor
	capConfig            *workload.Config // which caps follows
	waitGauges           waitGauges
	intakeAge            metrics.Gauge     // milliseconds
	lagGauge             metrics.Gauge     // milliseconds
	linkGauge            metrics.Gauge     // milliseconds
	ordersGauge          metrics.Gauge     // orders in progress
	backlogGauge         metrics.Gauge     // bytes
	idleOccurrences      metrics.Gauge     // open occurrences of scheduled jobs with nothing running
	announcementsIgnored metrics.Counter   // before all jobs were loaded
	decisions            metrics.Histogram // the histograms are in microseconds
	commits              metrics.Histogram
	startWait            metrics.Histogram
	started              metrics.Counter
	stopped              metrics.Counter
	preempted            metrics.Counter
	discarded            metrics.Counter // core-seconds
}

// storedRecord is a record as it was read. It is decoded when its job is loaded, because the records of all jobs together
// take much more memory decoded.
type storedRecord struct {
	value    []byte
	revision uint64
}

// histogramSamples is the reservoir size of a histogram.
const histogramSamples = 512

func histogram(name string, registry metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, registry, metrics.NewUniformSample(histogramSamples))
}

// New returns a term. Run starts it.
func New(o Options) *Term {
	l := newLearner(o.Placement.FarFactor, o.Placement.Uses.Any(), o.Metrics)
	if o.Placement.RunTimes == nil && o.Placement.Uses.Any() {
		o.Placement.RunTimes = l
	}
	if o.Suspended == nil {
		o.Suspended = suspend.Total
	}
	if o.Lag == nil {
		o.Lag = func() time.Duration { return 0 }
	}
	t := &Term{
		opts: o, policy: placement.New(o.Placement), learner: l, cluster: jobstate.New(),
		agents: map[string]*agent{}, unlistedSince: map[*jobstate.Worker]time.Time{},
		entries: map[string]*workerapi.Entry{}, parked: map[string]workerapi.Entry{}, disputed: map[string]*workerapi.Entry{}, services: map[string]bool{},
		records: map[string]storedRecord{}, pendingCancels: map[string]bool{}, revoked: map[string]revocation{}, formerCompleted: map[string]bool{},
		formerEnds: map[string][]workerapi.EndedRun{}, unstoredEnds: map[*jobstate.Job][]unstoredEnd{},
		scheduled:   map[*jobstate.Job]struct{}{},
		adviceQueue: make(chan *jobstate.Step, maxAdviceQueue),
		loaded:      make(chan struct{}),
		endsStored:  make(chan struct{}),
		wake:        make(chan struct{}, 1),
		admission:   newAdmissionState(),
		waitGauges:  newWaitGauges(o.Metrics),
		caps:        newCapMonitor(o.Metrics),
		intakeAge:   metrics.GetOrRegisterGauge("owner.intake_age_ms", o.Metrics),
		lagGauge:    metrics.GetOrRegisterGauge("owner.lag_ms", o.Metrics),
		linkGauge:   metrics.GetOrRegisterGauge("owner.link_queue_ms", o.Metrics),
		ordersGauge: metrics.GetOrRegisterGauge("owner.orders_in_progress", o.Metrics),

		backlogGauge:    metrics.GetOrRegisterGauge("owner.backlog_bytes", o.Metrics),
		idleOccurrences: metrics.GetOrRegisterGauge("owner.idle_occurrences", o.Metrics),

		announcementsIgnored: metrics.GetOrRegisterCounter("owner.announcements_ignored", o.Metrics),

		decisions: histogram("owner.decision_us", o.Metrics),
		commits:   histogram("owner.commit_us", o.Metrics),
		startWait: histogram("owner.ready_to_started_us", o.Metrics),
		started:   metrics.GetOrRegisterCounter("owner.runs_started", o.Metrics),
		stopped:   metrics.GetOrRegisterCounter("owner.runs_stopped", o.Metrics),
		preempted: metrics.GetOrRegisterCounter("owner.runs_preempted", o.Metrics),
		discarded: metrics.GetOrRegisterCounter("owner.preempted_core_seconds", o.Metrics),
	}
	orderSlot := func() time.Duration { return orderSlotTime + t.lagAllowance() }
	t.orders = newOrderGate(maxOrders, false, o.Link, orderSlot)
	t.silentOrders = newOrderGate(maxSilentOrders, true, o.Link, orderSlot)
	t.firstReports = newCallGate(maxFirstReports, func() time.Duration { return firstReportSlotTime + t.lagAllowance() })
	return t
}

// Run loads the job records and makes decisions until ctx or the term ends. jobs watches the intake
// and calls Loaded. workers watches the platform's list of workers; it starts once all jobs are
// loaded, because the runs in a worker's report can only be matched then. All goroutines of the
// term have returned when Run returns.
func (t *Term) Run(ctx context.Context, jobs, workers func(context.Context)) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	ctx = t.ctx
	t.startedAt = time.Now()
	defer t.tasks.Wait()
	defer t.cancel()
	t.goGuarded(ctx, t.limitLoadTime)
	if !t.load(ctx) {
		return
	}
	if t.opts.Placement.Uses.Any() {
		t.goGuarded(ctx, t.keepRunTimes)
	}
	t.goGuarded(ctx, jobs)
	if t.awaitLoaded(ctx) {
		t.goGuarded(ctx, workers)
		t.goGuarded(ctx, t.advise)
		t.loop(ctx)
		t.resetGauges()
	}
}

// goGuarded runs f in a goroutine of the term and restarts it after a panic.
func (t *Term) goGuarded(ctx context.Context, f func(context.Context)) {
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		t.opts.Guard.Loop(ctx, "term loop", f)
	}()
}

// load reads the records of all jobs, and returns false if ctx ends before. Former owners cannot change the
// records any more, because every write of an owner is conditional on its own term.
func (t *Term) load(ctx context.Context) bool {
	records := metastore.NewRangeReader(t.opts.Store, RecordPrefix)
	for {
		items, _, err := records.Read(ctx)
		if err == nil {
			read := time.Now()
			former := t.opts.Unstored(ctx)
			t.loading = loadReport{records: len(items), completed: len(former.Completed), ends: len(former.Ends),
				recordsTook: read.Sub(t.startedAt), completedTook: time.Since(read)}
			t.indexRecords(items, former)
			return true
		}
		t.opts.Log.Warn("cannot read job records; retrying", zap.Error(err))
		if !wait.For(ctx, retryDelay) {
			return false
		}
	}
}

func (t *Term) indexRecords(items []metastore.Item, former Unstored) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range former.Completed {
		t.formerCompleted[id] = true
	}
	t.indexFormerEnds(former.Ends)
	for _, item := range items {
		id := item.Key[len(RecordPrefix):]
		t.records[id] = storedRecord{item.Value, item.Revision}
	}
}

// wakeLoop triggers the next decision.
func (t *Term) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// terminate ends the term, because another owner has taken over or the state may be inconsistent.
func (t *Term) terminate(reason string) {
	t.mu.Lock()
	first := !t.ended
	t.ended = true
	t.admission.published.Store(nil)
	t.mu.Unlock()
	if first {
		events.Warn(t.opts.Log, events.TermEnded, zap.Uint64("token", t.opts.Token), zap.String("reason", reason))
	}
	t.cancel()
}

// WithCluster calls f with the state while it holds the lock. f must not retain the state.
func (t *Term) WithCluster(f func(*jobstate.Cluster)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.cluster)
}

// Loaded records that all jobs accepted before asOf are loaded.
func (t *Term) Loaded(asOf time.Time) {
	t.mu.Lock()
	t.intakeAsOf = asOf
	t.mu.Unlock()
	t.loadOnce.Do(func() { close(t.loaded) })
}

// WorkersSynced records that the list of workers includes all entries written before asOf.
func (t *Term) WorkersSynced(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listAsOf = suspend.NewStamp(asOf, t.opts.Suspended())
	if t.listStale {
		t.wakeLoop()
	}
}

// checkListAge stops new orders while the list of workers is older than MaxListAge: a worker may
// have started to drain since. The caller holds the lock.
func (t *Term) checkListAge(now time.Time) {
	age := t.listAsOf.Age(now, t.opts.Suspended())
	stale := t.opts.MaxListAge > 0 && age > t.opts.MaxListAge
	t.cluster.WorkerListStale = stale
	if stale == t.listStale || t.listAsOf == (suspend.Stamp{}) {
		return
	}
	t.listStale = stale
	events.Info(t.opts.Log, events.WorkerListStale, zap.Bool("stale", stale), zap.Duration("age", age), zap.Duration("limit", t.opts.MaxListAge))
}

// Evacuate sets whether the data centre is excluded from new work.
func (t *Term) Evacuate(dataCentre string, evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if evacuated {
		t.cluster.Evacuated[dataCentre] = true
	} else {
		delete(t.cluster.Evacuated, dataCentre)
	}
	t.wakeLoop()
}
