package gateway

import (
	"sync"
	"time"
)

// explainSize is how many recent decisions are kept.
const explainSize = 4096

// Decision is the record of one routing decision for a short request.
type Decision struct {
	At         time.Time     `json:"at"`
	ID         string        `json:"id"` // "workspace/request id"
	Service    string        `json:"service"`
	Attempt    string        `json:"attempt"`
	Worker     string        `json:"worker"`
	DataCentre string        `json:"data_centre"`
	Grant      string        `json:"grant"`
	FreeSlots  int           `json:"free_slots"`
	Queued     time.Duration `json:"queued"`
	Estimate   time.Duration `json:"estimate"`
	Tried      []string      `json:"tried,omitempty"`
	Ended      bool          `json:"ended"`
	Took       time.Duration `json:"took,omitempty"`
	Kind       string        `json:"kind,omitempty"` // of the error, if any
}

// ring keeps the last decisions.
type ring struct {
	mu      sync.Mutex
	entries [explainSize]ringEntry
	next    int
}

type ringEntry struct {
	workspace, id string
	Decision
}

func (r *ring) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.entries[r.next%explainSize]
	r.next++
	e.workspace, e.id = c.workspace, c.id
	e.Decision = Decision{
		At: time.Now(), Service: c.service, Attempt: c.attempt, Worker: c.slot.Worker, DataCentre: c.slot.DataCentre,
		Grant: c.slot.GrantID, FreeSlots: c.slot.Free, Queued: c.queued, Estimate: c.svc.estimate.get(),
		// A copy, since the list may be part of the call, which the ring must not keep.
		Tried: append([]string(nil), c.tried...),
	}
	c.record = r.next - 1
}

// finish notes the end of the call's attempt, unless newer decisions have replaced it.
func (r *ring) finish(c *call, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.entries[c.record%explainSize]
	if e.Attempt != c.attempt {
		return
	}
	e.Ended, e.Took = true, took
	if err != nil {
		e.Kind = string(kindOf(err))
	}
}

// Explain returns the recent decisions for a request, named "workspace/request id",
// oldest first.
func (s *Server) Explain(id string) []Decision {
	r := &s.explain
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := max(0, r.next-explainSize); i < r.next; i++ {
		e := &r.entries[i%explainSize]
		if len(id) == len(e.workspace)+1+len(e.id) && e.workspace+"/"+e.id == id {
			d := e.Decision
			d.ID = id
			found = append(found, d)
		}
	}
	return found
}
