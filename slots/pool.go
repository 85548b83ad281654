package slots

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
)

const (
	renewEvery = time.Second
	// askSpacing bounds lease calls of one service to one data centre on misses. It
	// doubles while the owner has no more slots to give.
	askSpacing = 20 * time.Millisecond
	askTimeout = 800 * time.Millisecond
	// waitPoll covers changes that nothing announces, such as a stage that opens.
	waitPoll = 50 * time.Millisecond
	// expiryMargin is the least validity of a grant at a dispatch: it covers the time
	// until the worker has checked the attempt.
	expiryMargin = 300 * time.Millisecond
	// demandDecay is applied to the peak demand at each renewal.
	demandDecay = 0.7
	// demandFloor is the decayed demand below which all slots are given back.
	demandFloor = 0.3
	// reserveShare is the share of slots kept above the demand, at least one.
	reserveShare = 0.1
)

var errGrantEnded = errkind.New(errkind.UpstreamRefused, "the slot grant ended before the dispatch")

// Leaser calls the owner of the data centre that the request names.
type Leaser interface {
	LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error)
}

// Options configures a Pool.
type Options struct {
	Instance string // id of this instance
	Leaser   Leaser
	// DataCentres returns the data centres to lease from, the preferred one first.
	DataCentres func() []string
	// MayStart returns nil while work may start in the data centre. It must be cheap.
	MayStart func(dataCentre string) error
	Log      *zap.Logger
	Metrics  metrics.Registry
}

// Pool holds slot grants. Each service has its own lock.
type Pool struct {
	opts     Options
	calls    sync.WaitGroup
	ctx      context.Context // of lease calls
	cancel   context.CancelFunc
	services sync.Map // name → *service

	healthMu sync.Mutex // guards the fields below and each worker's health
	workers  map[string]*worker
	ejected  int

	leaseCalls, leaseErrors, misses metrics.Counter
}

// New returns a pool without grants.
func New(o Options) *Pool {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	p := &Pool{
		opts: o, workers: map[string]*worker{},
		leaseCalls:  metrics.GetOrRegisterCounter("slots.lease_calls", o.Metrics),
		leaseErrors: metrics.GetOrRegisterCounter("slots.lease_errors", o.Metrics),
		misses:      metrics.GetOrRegisterCounter("slots.misses", o.Metrics),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Run renews grants until the context ends. It then gives idle grants back and waits for
// lease calls on their way.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.cancel()
			p.calls.Wait()
			p.returnAll()
			return nil
		case <-tick.C:
			p.renew()
		}
	}
}

func (p *Pool) renew() {
	p.services.Range(func(_, v any) bool {
		s := v.(*service)
		s.decay(time.Now())
		p.askAll(s, true)
		return true
	})
	p.refreshWorkers(time.Now())
}

func (p *Pool) service(name string) *service {
	if v, ok := p.services.Load(name); ok {
		return v.(*service)
	}
	v, _ := p.services.LoadOrStore(name, newService(name))
	return v.(*service)
}

// TryAcquire returns a usable slot, or nil. A miss asks the owners for more.
func (p *Pool) TryAcquire(w Requirements) *Slot {
	s := p.service(w.Service)
	slot, _ := p.take(s, w)
	if slot == nil {
		p.misses.Inc(1)
		p.ask(s)
	}
	return slot
}

// Acquire waits for a usable slot until the context ends, which gives an error of kind
// NoCapacity. It returns at once when work may start in no data centre.
func (p *Pool) Acquire(ctx context.Context, w Requirements) (*Slot, error) {
	s := p.service(w.Service)
	s.addBlocked(1)
	defer s.addBlocked(-1)
	for {
		changed := s.watch()
		slot, err := p.take(s, w)
		if slot != nil || err != nil {
			return slot, err
		}
		p.ask(s)
		timer := time.NewTimer(waitPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, errkind.Wrap(errkind.NoCapacity, ctx.Err(), "no slot of service %s became free", w.Service)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// SetWaiting tells the pool how many requests of the service wait for a slot.
func (p *Pool) SetWaiting(name string, n int) {
	s := p.service(name)
	s.mu.Lock()
	s.queued = n
	s.notePeak()
	s.mu.Unlock()
}

// take chooses a slot. The error is set when work may start in no data centre.
func (p *Pool) take(s *service, w Requirements) (*Slot, error) {
	now := time.Now()
	stages := stageCheck{mayStart: p.opts.MayStart}
	s.mu.Lock()
	best, probe, free := s.chooseProbing(now, w, &stages)
	if best == nil {
		s.mu.Unlock()
		return nil, p.startable(&stages)
	}
	best.used++
	s.inUse++
	s.notePeak()
	slot := &Slot{
		Worker: best.worker.id, Address: best.address, DataCentre: best.dataCentre, GrantID: best.id,
		Token: best.token, FreeSlots: free - 1, pool: p, svc: s, grant: best, probe: probe,
	}
	s.mu.Unlock()
	return slot, nil
}

// startable returns an error when work may start in no data centre.
func (p *Pool) startable(stages *stageCheck) error {
	var last error
	for _, dc := range p.opts.DataCentres() {
		if err := stages.check(dc); err != nil {
			last = err
			continue
		}
		return nil
	}
	if last != nil && errkind.Of(last) == errkind.StaleManifest {
		return last
	}
	return nil
}

// stageCheck asks MayStart once per data centre and decision.
type stageCheck struct {
	mayStart func(string) error
	names    [8]string
	errs     [8]error
	n        int
}

func (c *stageCheck) check(dataCentre string) error {
	for i := range c.n {
		if c.names[i] == dataCentre {
			return c.errs[i]
		}
	}
	err := c.mayStart(dataCentre)
	if c.n < len(c.names) {
		c.names[c.n], c.errs[c.n] = dataCentre, err
		c.n++
	}
	return err
}

// Status describes the pool for operators.
func (p *Pool) Status() Status {
	var st Status
	p.services.Range(func(_, v any) bool {
		st.Services = append(st.Services, v.(*service).status(time.Now()))
		return true
	})
	slices.SortFunc(st.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	for _, w := range p.workers {
		st.Workers = append(st.Workers, WorkerStatus{
			Worker: w.id, Leaving: w.leaving(time.Now()), Ejected: w.state.Load() != healthy,
			Failures: w.failures, Attempts: w.attempts,
		})
	}
	slices.SortFunc(st.Workers, func(a, b WorkerStatus) int { return strings.Compare(a.Worker, b.Worker) })
	return st
}
