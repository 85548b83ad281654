package gateway

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	defaultTimeout   = 30 * time.Second
	defaultMaxBody   = 1 << 20
	defaultMaxAnswer = 4 << 20
	defaultMaxQueued = 1000
	jobEnvelopeBytes = 16 << 10
)

// workspaceLimits holds the limits and the state of a workspace. It is kept across manifest revisions.
type workspaceLimits struct {
	name      string
	weight    atomic.Int64
	maxQueued atomic.Int64                 // limit for waiting
	waiting   atomic.Int64                 // queued requests
	rate      atomic.Pointer[rate.Limiter] // nil if unlimited
}

// serviceLimits is a service of the current manifest, together with its state.
type serviceLimits struct {
	structs.Service
	timeout             time.Duration
	maxBody             int64
	maxAnswer           int64
	neverRunnableReason string // why no data centre could run the service; empty if one could
	*serviceState
}

// serviceState is the state of a service that is kept across manifest revisions.
type serviceState struct {
	queue    *fairQueue
	estimate *latencyEstimate
	budget   *retryBudget
}

// limits is the current manifest, indexed for lookups by requests.
type limits struct {
	revision   structs.Revision
	instances  int
	maxJobBody int64 // limit for the body of a job submission
	workspaces map[string]*workspaceLimits
	services   map[string]*serviceLimits
}

// limitsCache caches the limits of the newest manifest revision.
type limitsCache struct {
	current atomic.Pointer[limits]
	mu      sync.Mutex
}

// get returns the limits of the current manifest, or nil if no manifest has been loaded yet.
func (c *limitsCache) get(s *Server) *limits {
	r, ok := s.opts.Manifest.Current()
	if !ok {
		return nil
	}
	instances := max(1, s.opts.Instances())
	l := c.current.Load()
	if l.isCurrent(r.Number, instances) {
		return l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l = c.current.Load(); l.isCurrent(r.Number, instances) {
		return l
	}
	if l != nil && l.revision.Number > r.Number {
		r = l.revision
	}
	l = buildLimits(l, r, instances)
	c.current.Store(l)
	return l
}

// isCurrent reports whether the limits can be used for the given revision and number of instances.
func (l *limits) isCurrent(number uint64, instances int) bool {
	return l != nil && l.revision.Number >= number && l.instances == instances
}

// buildLimits builds the limits of a revision. It reuses the state of workspaces and services that are
// also in the old limits.
func buildLimits(old *limits, r structs.Revision, instances int) *limits {
	l := &limits{
		revision: r, instances: instances,
		workspaces: map[string]*workspaceLimits{}, services: map[string]*serviceLimits{},
	}
	for _, w := range r.Manifest.Workspaces {
		ws := &workspaceLimits{name: w.Name}
		if old != nil && old.workspaces[w.Name] != nil {
			ws = old.workspaces[w.Name]
		}
		ws.apply(w, l.instances)
		l.workspaces[w.Name] = ws
	}
	for _, svc := range r.Manifest.Services {
		sl := &serviceLimits{
			Service: svc, timeout: orDefault(time.Duration(svc.Timeout), defaultTimeout),
			maxBody: orDefault(svc.MaxBody, defaultMaxBody), maxAnswer: orDefault(svc.MaxAnswer, defaultMaxAnswer),
			neverRunnableReason: neverRunnableReason(&r.Manifest, structs.Shape{Tasks: 1, Task: svc.SlotShape}),
		}
		if old != nil && old.services[svc.Name] != nil {
			sl.serviceState = old.services[svc.Name].serviceState
		} else {
			sl.serviceState = &serviceState{queue: newFairQueue(), estimate: &latencyEstimate{}, budget: newRetryBudget()}
		}
		l.services[svc.Name] = sl
		// Twice the limit leaves room for the payload in base64; jobEnvelopeBytes is for the job's other
		// fields.
		l.maxJobBody = max(l.maxJobBody, 2*sl.maxBody+jobEnvelopeBytes)
	}
	return l
}

// apply sets the limits of the manifest. The workspace's rate is divided equally between the instances.
func (w *workspaceLimits) apply(m structs.Workspace, instances int) {
	w.weight.Store(int64(max(1, m.Weight)))
	w.maxQueued.Store(int64(orDefault(m.MaxQueued, defaultMaxQueued)))
	if m.RatePerSec <= 0 {
		w.rate.Store(nil)
		return
	}
	share := rate.Limit(m.RatePerSec / float64(instances))
	// The burst is one second of requests, since the load balancer distributes them unevenly within a
	// second.
	burst := max(1, int(math.Ceil(float64(share))))
	if l := w.rate.Load(); l != nil {
		l.SetLimit(share)
		l.SetBurst(burst)
		return
	}
	w.rate.Store(rate.NewLimiter(share, burst))
}

func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// neverRunnableReason returns why no data centre of the manifest could run the shape, or the empty
// string if one could. Data centres that are out of service are included, since they may return.
func neverRunnableReason(m *structs.Manifest, shape structs.Shape) string {
	if len(m.DataCentres) == 0 {
		return "the manifest has no data centre"
	}
	reason := ""
	for i := range m.DataCentres {
		dc := &m.DataCentres[i]
		reason = tooLargeReason(dc, shape)
		if reason == "" {
			return ""
		}
	}
	return reason
}

// tooLargeReason returns why the shape does not fit in the data centre's whole fleet, or the empty
// string if it does.
func tooLargeReason(dc *structs.DataCentre, shape structs.Shape) string {
	perWorker := shape.Task.CountIn(dc.Fleet.Capacity)
	if shape.Task.IsZero() {
		return ""
	}
	if perWorker == 0 {
		return fmt.Sprintf("a task of %s is larger than a worker of data centre %s", shape, dc.Name)
	}
	if maxTasks := perWorker * dc.Fleet.Workers; shape.Tasks > maxTasks {
		return fmt.Sprintf("data centre %s holds at most %d of the %d tasks", dc.Name, maxTasks, shape.Tasks)
	}
	return ""
}
