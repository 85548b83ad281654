package gateway

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of the gateway, as shown to operators.
type Status struct {
	Revision uint64          `json:"revision"` // of the current manifest
	InFlight int             `json:"in_flight"`
	Draining bool            `json:"draining"`
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus is the state of one service and its queue.
type ServiceStatus struct {
	Service             string         `json:"service"`
	Waiting             map[string]int `json:"waiting"`  // queued requests by workspace
	Estimate            time.Duration  `json:"estimate"` // estimated execution time, compared with deadlines
	Interval            time.Duration  `json:"interval"` // moving average of the time between dispatches
	NeverRunnableReason string         `json:"never,omitempty"`
}

// Status returns the current state of the gateway.
func (s *Server) Status() Status {
	st := Status{}
	s.inflight.mu.Lock()
	st.InFlight, st.Draining = s.inflight.count, s.inflight.isDraining
	s.inflight.mu.Unlock()
	l := s.limits.get(s)
	if l == nil {
		return st
	}
	st.Revision = l.revision.Number
	for name, svc := range l.services {
		waiting, interval := svc.queue.snapshot()
		st.Services = append(st.Services, ServiceStatus{
			Service: name, Waiting: waiting, Estimate: svc.estimate.get(), Interval: interval, NeverRunnableReason: svc.neverRunnableReason,
		})
	}
	slices.SortFunc(st.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return st
}

// snapshot returns the number of queued requests by workspace and the average dispatch interval.
func (f *fairQueue) snapshot() (map[string]int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := make(map[string]int, len(f.heap))
	for _, q := range f.heap {
		n[q.ws.name] = q.len()
	}
	return n, f.dispatchInterval
}
