// Package jobowner runs the jobs of a domain during one term of ownership: it follows the
// accepted jobs and the workers, lets the policy decide, writes each decision to the store
// before it gives the order, and keeps the leases of the workers.
package jobowner

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
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
	Guard   *contain.Guard // contains panics of rounds, reports and orders

	Token      uint64              // fencing token of the term
	Fence      metastore.Condition // holds as long as the term is not over
	Config     func() *workload.Config
	InTouch    func() bool // whether the ownership was confirmed recently enough to renew leases
	Wall       func() time.Time
	MaxLease   time.Duration // longest lease of a worker
	Placement  placement.Options
	KeepEnded  time.Duration // how long an ended job stays known
	StoreBound time.Duration // longest wait for one answer of the store
	// StoreCalm reports whether the store has answered all calls for a while, so that no entry has
	// lapsed in an outage.
	StoreCalm func() bool
	// HeartbeatGap is how long after its last heartbeat the removal of a worker's entry shows that it
	// has left; later it may only have been silent.
	HeartbeatGap time.Duration
	// Suspended returns for how long the machine has been suspended; nil to ask the machine.
	Suspended  func() time.Duration
	MaxListAge time.Duration // how old the list of workers may be when work is given to them; 0 for any age

	// Bound returns how long to wait for the answer to a write that is tried for the nth time.
	Bound func(attempt int) time.Duration
	// Outage reports whether the store answers no instance.
	Outage func() bool
	// Completed returns jobs that a former owner has seen completed and could not store.
	Completed func(context.Context) []string
}

// Timing of a term.
const (
	// decisionInterval is the least time between two decisions; what arrives meanwhile is
	// decided and written together, which keeps the writes to the store few.
	decisionInterval = 10 * time.Millisecond
	// pauseFactor is how many times as long as a decision took the loop pauses after it, so that
	// decisions leave most of the processor to orders, reports and callers.
	pauseFactor = 3
	// maxDecisionPause bounds that pause.
	maxDecisionPause = 100 * time.Millisecond
	// checkInterval is the least time between two checks of all workers and ended jobs.
	checkInterval = 50 * time.Millisecond
	// idleInterval is the longest time between two decisions.
	idleInterval = 250 * time.Millisecond
	// clockDrift is by how much a worker's clock may be slow.
	clockDrift = 0.02
	// leaseMargin is added to each estimate of when a lease has run out.
	leaseMargin = 250 * time.Millisecond
	// predecessorHold is how long after the start of a term a former owner that is cut off
	// from the store may still renew leases: its last confirmation is older than the start by
	// the time in which its own lease ran out.
	predecessorHold = RenewWithout - time.Second
	// RenewWithout is how long an owner renews leases of workers without being confirmed by
	// the store. It bridges an outage of the store together with the length of the lease.
	RenewWithout = 3500 * time.Millisecond
	// clockMargin is by how much the times of day of two instances may differ when each of them
	// has jumped by some seconds.
	clockMargin = 8 * time.Second
	// unlistedGrace is how long after the start of a term a worker that is known from records
	// only may take to be listed.
	unlistedGrace = 2 * time.Second
	// missingGrace is how long a worker without an entry may be between two entries: entries
	// that lapsed in an outage of the store are back within two seconds of its return.
	missingGrace = 2500 * time.Millisecond
)

// Term is one term of ownership.
type Term struct {
	o      Options
	policy *placement.Policy
	began  time.Time

	mu        sync.Mutex
	cluster   *jobstate.Cluster
	agents    map[string]*agent
	missing   map[*jobstate.Worker]time.Time // since when a worker has no entry
	entries   map[string]*workerapi.Entry    // the newest of each listed worker, by id
	addresses map[string]*jobstate.Worker    // which worker was at an address last; nil before the first entry
	records   map[string]storedRecord        // read at the start, of jobs that are not known yet
	early     map[string]bool                // cancelled before the job was known
	finished  map[string]bool                // completed, as a former owner has seen
	checkedAt time.Time
	listedAt  suspend.Stamp // as of which the list of workers is known
	stale     bool          // the list is too old to give work
	nextDue   int64         // Unix milliseconds of the next occurrence; 0 for none
	fenced    bool

	asks     chan *jobstate.Step // that wait for advice
	looks    chan struct{}       // one for each first look at a worker that is under way
	loaded   chan struct{}       // closed when all jobs are known
	loadOnce sync.Once

	shown  chan struct{} // closed and replaced when an end of a job is shown
	wake   chan struct{}
	ctx    context.Context // ends with the term
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	decisions metrics.Histogram // microseconds, as the next two
	commits   metrics.Histogram
	startWait metrics.Histogram
	started   metrics.Counter
	stopped   metrics.Counter
}

type storedRecord struct {
	record   *workload.Record
	revision uint64
}

// histogramSamples is how many values a histogram keeps.
const histogramSamples = 512

func histogram(name string, registry metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, registry, metrics.NewUniformSample(histogramSamples))
}

// New returns a term that Run begins.
func New(o Options) *Term {
	if o.Suspended == nil {
		o.Suspended = suspend.Total
	}
	return &Term{
		o: o, policy: placement.New(o.Placement), cluster: jobstate.New(),
		agents: map[string]*agent{}, missing: map[*jobstate.Worker]time.Time{},
		entries: map[string]*workerapi.Entry{},
		records: map[string]storedRecord{}, early: map[string]bool{}, finished: map[string]bool{},
		looks:     make(chan struct{}, maxFirstLooks),
		asks:      make(chan *jobstate.Step, maxAdviceQueue),
		loaded:    make(chan struct{}),
		shown:     make(chan struct{}),
		wake:      make(chan struct{}, 1),
		decisions: histogram("owner.decision_us", o.Metrics),
		commits:   histogram("owner.commit_us", o.Metrics),
		startWait: histogram("owner.ready_to_started_us", o.Metrics),
		started:   metrics.GetOrRegisterCounter("owner.runs_started", o.Metrics),
		stopped:   metrics.GetOrRegisterCounter("owner.runs_stopped", o.Metrics),
	}
}

// Run reads the stored progress and decides until ctx ends or the term is over. jobs
// follows the intake and calls Loaded; workers follows the platform's list of workers and is
// started once all jobs are known, because a report of a worker is only understood then. All
// calls have returned when Run returns.
func (t *Term) Run(ctx context.Context, jobs, workers func(context.Context)) error {
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.cancel()
	ctx = t.ctx
	t.began = time.Now()
	if err := t.load(ctx); err != nil {
		return err
	}
	t.follow(ctx, jobs)
	select {
	case <-ctx.Done():
	case <-t.loaded:
		t.follow(ctx, workers)
		t.follow(ctx, t.advise)
		t.loop(ctx)
	}
	t.cancel()
	t.tasks.Wait()
	return nil
}

func (t *Term) follow(ctx context.Context, f func(context.Context)) {
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		t.o.Guard.Loop(ctx, "loop of the term", f)
	}()
}

// load reads the records of all jobs. They do not change any more: every write of a former
// owner has the condition that its term is not over.
func (t *Term) load(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, 2*t.o.StoreBound)
		items, _, err := metastore.RangeAll(call, t.o.Store, RecordPrefix)
		cancel()
		if err == nil {
			t.keepRecords(items, t.o.Completed(ctx))
			return nil
		}
		t.o.Log.Warn("records not read", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryPause):
		}
	}
}

func (t *Term) keepRecords(items []metastore.Item, finished []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range finished {
		t.finished[id] = true
	}
	for _, item := range items {
		id := item.Key[len(RecordPrefix):]
		record, err := workload.DecodeRecord(item.Value)
		if err != nil {
			t.o.Log.Error("job record unreadable", zap.String("job", id), zap.Error(err))
			continue
		}
		t.records[id] = storedRecord{record, item.Revision}
	}
}

// kick makes the loop decide soon.
func (t *Term) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// over ends the term: another owner has a higher token.
func (t *Term) over(reason string) {
	t.mu.Lock()
	first := !t.fenced
	t.fenced = true
	t.mu.Unlock()
	if first {
		events.Warn(t.o.Log, events.TermEnded, zap.Uint64("token", t.o.Token), zap.String("reason", reason))
	}
	t.cancel()
}

// Cluster calls f with the state, which f must not keep.
func (t *Term) Cluster(f func(*jobstate.Cluster)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.cluster)
}

// Loaded notes that all jobs that were accepted before the term are known.
func (t *Term) Loaded(time.Time) {
	t.loadOnce.Do(func() { close(t.loaded) })
}

// WorkersSynced notes that everything is known that workers had written until then.
func (t *Term) WorkersSynced(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = suspend.NewStamp(asOf, t.o.Suspended())
	if t.stale {
		t.kick()
	}
}

// checkList notes whether the list of workers is too old to give work: a worker may have said
// meanwhile that it leaves. The caller holds the lock.
func (t *Term) checkList(now time.Time) {
	age := t.listedAt.Age(now, t.o.Suspended())
	stale := t.o.MaxListAge > 0 && age > t.o.MaxListAge
	t.cluster.ListStale = stale
	if stale == t.stale || t.listedAt == (suspend.Stamp{}) {
		return
	}
	t.stale = stale
	events.Info(t.o.Log, events.WorkerListStale, zap.Bool("stale", stale), zap.Duration("age", age), zap.Duration("limit", t.o.MaxListAge))
}

// Evacuate sets whether the data centre gets no new work.
func (t *Term) Evacuate(dataCentre string, evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if evacuated {
		t.cluster.Evacuated[dataCentre] = true
	} else {
		delete(t.cluster.Evacuated, dataCentre)
	}
	t.kick()
}
