package ingress

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

// minLogInterval is the shortest time between two lines of an event of a gate.
const minLogInterval = time.Second

// report counts refusals and closed connections by reason.
type report struct {
	name     string
	log      *zap.Logger
	registry metrics.Registry

	mu    sync.Mutex
	lines map[events.ID]*line
}

// line collects what happened since the last line of an event.
type line struct {
	loggedAt time.Time
	counts   map[string]int
}

func newReport(name string, log *zap.Logger, registry metrics.Registry) *report {
	return &report{name: name, log: log, registry: registry, lines: map[events.ID]*line{}}
}

func (r *report) gauge(name string, value func() int64) {
	r.registry.GetOrRegister("ingress."+r.name+"."+name, metrics.NewFunctionalGauge(value))
}

func (r *report) refused(reason string) { r.count(events.CallerRefused, "refused", reason) }
func (r *report) closed(reason string)  { r.count(events.ConnectionClosed, "closed", reason) }

func (r *report) count(id events.ID, kind, reason string) {
	metrics.GetOrRegisterCounter("ingress."+r.name+"."+kind+"."+reason, r.registry).Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lines[id]
	if l == nil {
		l = &line{counts: map[string]int{}}
		r.lines[id] = l
	}
	l.counts[reason]++
	if time.Since(l.loggedAt) < minLogInterval {
		return
	}
	events.Warn(r.log, id, zap.String("listener", r.name), zap.Any("counts", l.counts))
	l.loggedAt, l.counts = time.Now(), map[string]int{}
}
