package gateway

import (
	"cmp"
	"slices"
	"time"
)

// Status describes the gateway for operators.
type Status struct {
	Revision uint64          `json:"revision"` // of the manifest that requests are checked against
	InFlight int             `json:"in_flight"`
	Draining bool            `json:"draining"`
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus describes the queue of one service.
type ServiceStatus struct {
	Service             string         `json:"service"`
	Waiting             map[string]int `json:"waiting"`  // by workspace
	Estimate            time.Duration  `json:"estimate"` // time on a worker that requests are dropped by
	Interval            time.Duration  `json:"interval"` // between dispatches of the busy queue
	NeverRunnableReason string         `json:"never,omitempty"`
}

// Status returns the present state.
func (s *Server) Status() Status {
	st := Status{}
	s.inflight.mu.Lock()
	st.InFlight, st.Draining = s.inflight.n, s.inflight.stopped
	s.inflight.mu.Unlock()
	l := s.limits.get(s)
	if l == nil {
		return st
	}
	st.Revision = l.revision.Number
	for name, svc := range l.services {
		waiting, interval := svc.queue.waiting()
		st.Services = append(st.Services, ServiceStatus{
			Service: name, Waiting: waiting, Estimate: svc.estimate.get(), Interval: interval, NeverRunnableReason: svc.never,
		})
	}
	slices.SortFunc(st.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return st
}

// waiting returns the waiting requests by workspace and the pace of the queue.
func (f *fairQueue) waiting() (map[string]int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := make(map[string]int, len(f.heap))
	for _, q := range f.heap {
		n[q.ws.name] = q.len()
	}
	return n, f.interval
}
