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
	renewInterval = time.Second
	// minMissInterval is the minimum interval between lease calls caused by misses, per service and
	// data centre. The interval doubles, up to renewInterval, while the owner grants too few slots.
	minMissInterval  = 20 * time.Millisecond
	leaseCallTimeout = 800 * time.Millisecond
	// acquirePollInterval is for changes that are not signalled, such as a stage that opens.
	acquirePollInterval = 50 * time.Millisecond
	// expiryMargin is the minimum remaining validity of a grant at dispatch. It covers the time until
	// the worker has checked the grant.
	expiryMargin = 300 * time.Millisecond
	// demandDecayFactor multiplies the peak demand at each renewal.
	demandDecayFactor = 0.7
	// minDemand is the decayed peak demand below which all slots are returned.
	minDemand = 0.3
	// headroomShare is the fraction of slots requested above the demand, at least one slot.
	headroomShare = 0.1
)

var errGrantNotUsable = errkind.New(errkind.UpstreamRefused, "the slot grant ended before the dispatch")

// Leaser sends lease requests to the owner of the data centre that the request names.
type Leaser interface {
	LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error)
}

// Options configures a Pool.
type Options struct {
	Instance string // id of this instance
	Leaser   Leaser
	// DataCentres returns the data centres to lease from, in order of preference.
	DataCentres func() []string
	// MayStart returns nil while work may start in the data centre. It must be fast: it is called for
	// every request, under a lock.
	MayStart func(dataCentre string) error
	Log      *zap.Logger
	Metrics  metrics.Registry
}

// Pool manages the slot grants of an instance. Each service has its own lock.
type Pool struct {
	opts         Options
	pendingCalls sync.WaitGroup
	ctx          context.Context // of lease calls
	cancel       context.CancelFunc
	services     sync.Map // name → *service

	healthMu sync.Mutex // guards the fields below and each worker's health
	workers  map[string]*workerHealth
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
		opts: o, workers: map[string]*workerHealth{},
		leaseCalls:  metrics.GetOrRegisterCounter("slots.lease_calls", o.Metrics),
		leaseErrors: metrics.GetOrRegisterCounter("slots.lease_errors", o.Metrics),
		misses:      metrics.GetOrRegisterCounter("slots.misses", o.Metrics),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Run renews grants until the context is cancelled. It then waits for pending lease calls and
// returns idle grants.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.cancel()
			p.pendingCalls.Wait()
			p.returnIdleGrants()
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
		p.requestFromDataCentres(s, true)
		return true
	})
	p.decayAndExpireWorkers(time.Now())
}

func (p *Pool) service(name string) *service {
	if v, ok := p.services.Load(name); ok {
		return v.(*service)
	}
	v, _ := p.services.LoadOrStore(name, newService(name))
	return v.(*service)
}

// TryAcquire returns a usable slot, or nil if there is none. A miss requests more slots from the owners.
func (p *Pool) TryAcquire(req Requirements) *Slot {
	s := p.service(req.Service)
	slot, _ := p.tryTake(s, req)
	if slot == nil {
		p.misses.Inc(1)
		p.requestSlots(s)
	}
	return slot
}

// Acquire waits for a usable slot. It returns an error of kind NoCapacity when the context ends, and
// an error of kind StaleManifest at once if the manifest is too old for starts in any data centre.
func (p *Pool) Acquire(ctx context.Context, req Requirements) (*Slot, error) {
	s := p.service(req.Service)
	s.addWaiters(1)
	defer s.addWaiters(-1)
	for {
		changed := s.changeSignal()
		slot, err := p.tryTake(s, req)
		if slot != nil || err != nil {
			return slot, err
		}
		p.requestSlots(s)
		timer := time.NewTimer(acquirePollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, errkind.Wrap(errkind.NoCapacity, ctx.Err(), "no slot of service %s became free", req.Service)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// SetWaiting sets the number of queued requests of a service. They count as demand.
func (p *Pool) SetWaiting(name string, n int) {
	s := p.service(name)
	s.mu.Lock()
	s.queued = n
	s.updateRecentPeak()
	s.mu.Unlock()
}

// tryTake takes a free slot and returns nil if there is none, with the error of checkStartAllowed.
func (p *Pool) tryTake(s *service, req Requirements) (*Slot, error) {
	now := time.Now()
	stages := stageCache{mayStart: p.opts.MayStart}
	s.mu.Lock()
	best, probe, free := s.chooseWithProbe(now, req, &stages)
	if best == nil {
		s.mu.Unlock()
		return nil, p.checkStartAllowed(&stages)
	}
	best.used++
	s.inUse++
	s.updateRecentPeak()
	slot := &Slot{
		Worker: best.worker.id, Address: best.address, DataCentre: best.dataCentre, GrantID: best.id,
		Token: best.token, FreeSlots: free - 1, pool: p, svc: s, grant: best, probe: probe,
	}
	s.mu.Unlock()
	return slot, nil
}

// checkStartAllowed returns an error if starts are forbidden in every data centre because of a stale
// manifest.
func (p *Pool) checkStartAllowed(stages *stageCache) error {
	var lastErr error
	for _, dc := range p.opts.DataCentres() {
		if err := stages.check(dc); err != nil {
			lastErr = err
			continue
		}
		return nil
	}
	if lastErr != nil && errkind.Of(lastErr) == errkind.StaleManifest {
		return lastErr
	}
	return nil
}

// stageCache calls MayStart once per data centre for one choice of a slot.
type stageCache struct {
	mayStart func(string) error
	names    [8]string
	errs     [8]error
	n        int
}

func (c *stageCache) check(dataCentre string) error {
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
