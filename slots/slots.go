// Package slots holds the slot grants that an entry instance has leased from the
// owners of the data centres, and the health of the workers behind them.
package slots

import (
	"time"
)

// Requirements states what a request needs of a slot.
type Requirements struct {
	Service         string
	ExcludedWorkers []string // workers that earlier attempts of the request were sent to
	Idempotent      bool     // the request may probe an ejected worker
}

// Result is how an attempt on a slot ended.
type Result int

// The results of an attempt.
const (
	Succeeded     Result = iota
	Unused               // the slot was not used
	Refused              // the worker refused the grant before starting the attempt
	Leaving              // the worker refused because it is leaving
	Failed               // the attempt ran and failed
	Unreachable          // no connection to the worker
	NoValidAnswer        // no answer, or an answer that is not the attempt's own
)

// Outcome reports an attempt to the pool.
type Outcome struct {
	Result Result
	// FailedOn names a worker on which an earlier attempt of the same request failed.
	// A request that fails on two workers is held against neither of them.
	FailedOn string
}

// Slot is one slot of a worker that the holder may use for one attempt.
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
	probe bool // the attempt decides whether an ejected worker returns
}

// CheckUsable returns nil while the slot's grant is valid with a margin and work may start
// in its data centre. It is asked immediately before a dispatch.
func (s *Slot) CheckUsable() error {
	if err := s.pool.opts.MayStart(s.DataCentre); err != nil {
		return err
	}
	s.svc.mu.Lock()
	defer s.svc.mu.Unlock()
	if now := time.Now(); !s.grant.valid(now) || s.grant.worker.leaving(now) {
		return errGrantEnded
	}
	return nil
}

// Done gives the slot back and reports the attempt. It must be called exactly once.
func (s *Slot) Done(o Outcome) {
	w := s.grant.worker
	s.pool.record(w, o, s.probe, time.Now())
	s.svc.giveBack(s.grant, o.Result)
	if o.Result == Refused {
		s.pool.ask(s.svc)
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
