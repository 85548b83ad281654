// Package slots manages the slot grants that an instance has leased from the owners of the data
// centres, and tracks the health of the workers that the grants are for.
package slots

import (
	"time"
)

// Requirements describes the slot that a request needs.
type Requirements struct {
	Service         string
	ExcludedWorkers []string // workers to which earlier attempts of the request were sent
	Idempotent      bool     // the request may probe an ejected worker
}

// Result is the result of an attempt on a slot.
type Result int

// The values of Result.
const (
	Succeeded     Result = iota
	Unused               // the slot was not used
	Refused              // the worker refused the grant before starting the attempt
	Leaving              // the worker refused because it is leaving
	Failed               // the attempt ran and failed
	Unreachable          // no connection to the worker
	NoValidAnswer        // no answer, or an answer that does not belong to the attempt
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Result Result
	// FailedOn names a worker on which an earlier attempt of the same request failed.
	// A request that fails on two workers counts as a failure of neither.
	FailedOn string
}

// Slot is a slot of a worker, acquired for one attempt.
type Slot struct {
	Worker     string
	Address    string
	DataCentre string
	GrantID    string
	Token      uint64
	FreeSlots  int // other usable slots of the service when this one was chosen

	pool  *Pool
	svc   *service
	grant *grant
	probe bool // the attempt probes an ejected worker
}

// CheckUsable returns an error if work may not start in the slot's data centre, the worker is leaving
// or the grant expires within expiryMargin. Callers check it immediately before a dispatch.
func (s *Slot) CheckUsable() error {
	if err := s.pool.opts.MayStart(s.DataCentre); err != nil {
		return err
	}
	s.svc.mu.Lock()
	defer s.svc.mu.Unlock()
	if now := time.Now(); !s.grant.valid(now) || s.grant.worker.leaving(now) {
		return errGrantNotUsable
	}
	return nil
}

// Done releases the slot and records the outcome of the attempt. It must be called exactly once.
func (s *Slot) Done(o Outcome) {
	w := s.grant.worker
	s.pool.recordOutcome(w, o, s.probe, time.Now())
	s.svc.release(s.grant, o.Result)
	if o.Result == Refused {
		s.pool.requestSlots(s.svc)
	}
}

// ServiceStatus describes the grants of one service.
type ServiceStatus struct {
	Service string        `json:"service"`
	InUse   int           `json:"in_use"`
	Waiting int           `json:"waiting"`
	Demand  int           `json:"demand"`
	Grants  []GrantStatus `json:"grants"`
}

// GrantStatus describes one grant.
type GrantStatus struct {
	ID         string        `json:"id"`
	Worker     string        `json:"worker"`
	DataCentre string        `json:"data_centre"`
	Slots      int           `json:"slots"`
	Used       int           `json:"used"`
	ExpiresIn  time.Duration `json:"expires_in"`
	Revoked    bool          `json:"revoked"`
}

// WorkerStatus describes the health of one worker.
type WorkerStatus struct {
	Worker   string  `json:"worker"`
	Leaving  bool    `json:"leaving"`
	Ejected  bool    `json:"ejected"`
	Failures float64 `json:"failures"` // decayed count
	Attempts float64 `json:"attempts"` // decayed count
}

// Status describes the pool.
type Status struct {
	Services []ServiceStatus `json:"services"`
	Workers  []WorkerStatus  `json:"workers"`
}
