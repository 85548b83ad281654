package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

// explainSize is how many recent decisions, and how many recent refusals, are kept.
const explainSize = 4096

// Decision is the record of one routing decision for a short request, or of a short
// request or job submission that was refused without an attempt.
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
	Refused    bool          `json:"refused,omitempty"`
	Message    string        `json:"message,omitempty"` // of the refusal
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
		Grant: c.slot.GrantID, FreeSlots: c.slot.FreeSlots, Queued: c.queued, Estimate: c.svc.estimate.get(),
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

// refusalRing keeps the last refusals. They are kept apart from decisions, so that refusals under overload do not
// replace the decisions about requests that were dispatched.
type refusalRing struct {
	mu      sync.Mutex
	entries [explainSize]refusalEntry
	next    int
}

type refusalEntry struct {
	at                     time.Time
	took                   time.Duration
	workspace, id, service string
	kind                   errkind.Kind
	message                string
}

func (r *refusalRing) add(e refusalEntry) {
	r.mu.Lock()
	r.entries[r.next%explainSize] = e
	r.next++
	r.mu.Unlock()
}

// noteRefusal records the error answer to a request or job submission. Requests without a
// valid workspace and id cannot be asked for and are left out.
func (s *Server) noteRefusal(request any, err error) {
	e := refusalEntry{at: time.Now(), kind: kindOf(err)}
	switch c := request.(type) {
	case *call:
		// The records of the attempts hold these errors already.
		if c.reached != nil || c.attempt != "" && e.kind == errkind.UpstreamRefused {
			return
		}
		e.workspace, e.id, e.service, e.took = c.workspace, c.id, c.service, e.at.Sub(c.arrived)
	case *jobCall:
		e.workspace, e.id, e.service, e.took = c.Workspace, c.RequestID, c.Service, e.at.Sub(c.arrived)
	default:
		return
	}
	if !validName(e.workspace) || !validName(e.id) {
		return
	}
	if !validName(e.service) {
		e.service = ""
	}
	e.message = err.Error()
	s.refusals.add(e)
}

// Explain returns the recent decisions and refusals for a request or job, named
// "workspace/request id", oldest first.
func (s *Server) Explain(id string) []Decision {
	found := append(s.explain.find(id), s.refusals.find(id)...)
	slices.SortStableFunc(found, func(a, b Decision) int { return a.At.Compare(b.At) })
	return found
}

func (r *ring) find(id string) (found []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(0, r.next-explainSize); i < r.next; i++ {
		if e := &r.entries[i%explainSize]; names(e.workspace, e.id, id) {
			d := e.Decision
			d.ID = id
			found = append(found, d)
		}
	}
	return found
}

func (r *refusalRing) find(id string) (found []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(0, r.next-explainSize); i < r.next; i++ {
		if e := &r.entries[i%explainSize]; names(e.workspace, e.id, id) {
			found = append(found, Decision{
				At: e.at, ID: id, Service: e.service, Ended: true, Took: e.took, Kind: string(e.kind), Refused: true, Message: e.message,
			})
		}
	}
	return found
}

// names reports whether id is "workspace/request id".
func names(workspace, requestID, id string) bool {
	return len(id) == len(workspace)+1+len(requestID) && workspace+"/"+requestID == id
}
