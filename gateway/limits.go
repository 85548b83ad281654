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
	jobFieldBytes    = 16 << 10
)

// workspaceLimits is the state of a workspace. It outlives changes of the manifest.
type workspaceLimits struct {
	name    string
	weight  atomic.Int64
	maxWait atomic.Int64 // requests that may wait
	waiting atomic.Int64
	rate    atomic.Pointer[rate.Limiter] // nil for no limit
}

// serviceLimits is a service of the manifest in force with the state that outlives it.
type serviceLimits struct {
	structs.Service
	timeout   time.Duration
	maxBody   int64
	maxAnswer int64
	never     string // why no data centre could ever run the service, if so
	*serviceState
}

// serviceState outlives changes of the manifest.
type serviceState struct {
	queue    *fairQueue
	estimate *estimate
	budget   *retryBudget
}

// limits is the manifest in force, indexed for requests.
type limits struct {
	revision   structs.Revision
	instances  int
	maxJobBody int64 // of a job's submission
	workspaces map[string]*workspaceLimits
	services   map[string]*serviceLimits
}

// limitsCache keeps the index of the newest manifest.
type limitsCache struct {
	current atomic.Pointer[limits]
	mu      sync.Mutex
}

// get returns the limits of the manifest in force, or nil when none is known.
func (c *limitsCache) get(s *Server) *limits {
	r, ok := s.opts.Manifest.Current()
	if !ok {
		return nil
	}
	instances := max(1, s.opts.Instances())
	l := c.current.Load()
	if l.covers(r.Number, instances) {
		return l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l = c.current.Load(); l.covers(r.Number, instances) {
		return l
	}
	if l != nil && l.revision.Number > r.Number {
		r = l.revision
	}
	l = index(l, r, instances)
	c.current.Store(l)
	return l
}

// covers reports whether the limits hold for a revision and a number of instances.
func (l *limits) covers(number uint64, instances int) bool {
	return l != nil && l.revision.Number >= number && l.instances == instances
}

// index builds the limits of a revision and keeps the state of what both revisions name.
func index(old *limits, r structs.Revision, instances int) *limits {
	l := &limits{
		revision: r, instances: instances,
		workspaces: map[string]*workspaceLimits{}, services: map[string]*serviceLimits{},
	}
	for _, w := range r.Manifest.Workspaces {
		ws := &workspaceLimits{name: w.Name}
		if old != nil && old.workspaces[w.Name] != nil {
			ws = old.workspaces[w.Name]
		}
		ws.set(w, l.instances)
		l.workspaces[w.Name] = ws
	}
	for _, svc := range r.Manifest.Services {
		sl := &serviceLimits{
			Service: svc, timeout: orDefault(time.Duration(svc.Timeout), defaultTimeout),
			maxBody: orDefault(svc.MaxBody, defaultMaxBody), maxAnswer: orDefault(svc.MaxAnswer, defaultMaxAnswer),
			never: neverRunnable(&r.Manifest, structs.Shape{Tasks: 1, Task: svc.SlotShape}),
		}
		if old != nil && old.services[svc.Name] != nil {
			sl.serviceState = old.services[svc.Name].serviceState
		} else {
			sl.serviceState = &serviceState{queue: newFairQueue(), estimate: &estimate{}, budget: newRetryBudget()}
		}
		l.services[svc.Name] = sl
		// The payload is in base64, beside the job's other fields.
		l.maxJobBody = max(l.maxJobBody, 2*sl.maxBody+jobFieldBytes)
	}
	return l
}

// set applies the manifest's limits. The instances share the workspace's rate.
func (w *workspaceLimits) set(m structs.Workspace, instances int) {
	w.weight.Store(int64(max(1, m.Weight)))
	w.maxWait.Store(int64(orDefault(m.MaxQueued, defaultMaxQueued)))
	if m.RatePerSec <= 0 {
		w.rate.Store(nil)
		return
	}
	share := rate.Limit(m.RatePerSec / float64(instances))
	// The load balancer spreads requests unevenly within a second.
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

// neverRunnable returns why no data centre of the manifest could ever run the shape, or
// the empty string. Data centres that are out count, since they return.
func neverRunnable(m *structs.Manifest, shape structs.Shape) string {
	if len(m.DataCentres) == 0 {
		return "the manifest has no data centre"
	}
	reason := ""
	for i := range m.DataCentres {
		dc := &m.DataCentres[i]
		reason = tooLarge(dc, shape)
		if reason == "" {
			return ""
		}
	}
	return reason
}

// tooLarge returns the limit of the data centre's fleet that the shape breaks.
func tooLarge(dc *structs.DataCentre, shape structs.Shape) string {
	perWorker := shape.Task.CountIn(dc.Fleet.Capacity)
	if shape.Task.IsZero() {
		return ""
	}
	if perWorker == 0 {
		return fmt.Sprintf("a task of %s is larger than a worker of data centre %s", shape, dc.Name)
	}
	if most := perWorker * dc.Fleet.Workers; shape.Tasks > most {
		return fmt.Sprintf("data centre %s holds at most %d of the %d tasks", dc.Name, most, shape.Tasks)
	}
	return ""
}
