package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

// ringSize is the number of recent decisions, and also of recent refusals, that are kept.
const ringSize = 4096

// Decision is the record of one routing decision, that is, of one attempt of a short request, or of a
// short request or job submission that was refused without an attempt.
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
	Kind       string        `json:"kind,omitempty"` // error kind, if any
	Refused    bool          `json:"refused,omitempty"`
	Message    string        `json:"message,omitempty"` // error message of a refusal
}

// decisionRing is a ring buffer of the most recent decisions.
type decisionRing struct {
	mu      sync.Mutex
	entries [ringSize]decisionEntry
	next    int
}

type decisionEntry struct {
	workspace, id string
	Decision
}

func (r *decisionRing) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.entries[r.next%ringSize]
	r.next++
	e.workspace, e.id = c.workspace, c.id
	e.Decision = Decision{
		At: time.Now(), Service: c.service, Attempt: c.attempt, Worker: c.slot.Worker, DataCentre: c.slot.DataCentre,
		Grant: c.slot.GrantID, FreeSlots: c.slot.FreeSlots, Queued: c.queued, Estimate: c.svc.estimate.get(),
		// Copied because the slice may point into the call, which the ring must not keep alive.
		Tried: append([]string(nil), c.triedWorkers...),
	}
	c.decisionSeq = r.next - 1
}

// finish records the outcome of the call's attempt, unless its entry has been overwritten by a newer
// decision.
func (r *decisionRing) finish(c *call, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.entries[c.decisionSeq%ringSize]
	if e.Attempt != c.attempt {
		return
	}
	e.Ended, e.Took = true, took
	if err != nil {
		e.Kind = string(kindOf(err))
	}
}

// refusalRing is a ring buffer of the most recent refusals. It is separate from decisionRing so that
// refusals under overload do not evict the decisions for dispatched requests.
type refusalRing struct {
	mu      sync.Mutex
	entries [ringSize]refusalEntry
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
	r.entries[r.next%ringSize] = e
	r.next++
	r.mu.Unlock()
}

// recordRefusal records the error response to a request or job submission. Requests without a valid
// workspace and id are skipped, since they cannot be looked up.
func (s *Server) recordRefusal(request any, err error) {
	e := refusalEntry{at: time.Now(), kind: kindOf(err)}
	switch c := request.(type) {
	case *call:
		// These errors are already recorded with the attempts.
		if c.mayHaveRunErr != nil || c.attempt != "" && e.kind == errkind.UpstreamRefused {
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

// Explain returns the recent decisions and refusals for the request or job with the given
// "workspace/request id", oldest first.
func (s *Server) Explain(id string) []Decision {
	found := append(s.decisions.find(id), s.refusals.find(id)...)
	slices.SortStableFunc(found, func(a, b Decision) int { return a.At.Compare(b.At) })
	return found
}

func (r *decisionRing) find(id string) (found []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(0, r.next-ringSize); i < r.next; i++ {
		if e := &r.entries[i%ringSize]; matchesID(e.workspace, e.id, id) {
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
	for i := max(0, r.next-ringSize); i < r.next; i++ {
		if e := &r.entries[i%ringSize]; matchesID(e.workspace, e.id, id) {
			found = append(found, Decision{
				At: e.at, ID: id, Service: e.service, Ended: true, Took: e.took, Kind: string(e.kind), Refused: true, Message: e.message,
			})
		}
	}
	return found
}

// matchesID reports whether id equals "workspace/requestID", without an allocation.
func matchesID(workspace, requestID, id string) bool {
	return len(id) == len(workspace)+1+len(requestID) && workspace+"/"+requestID == id
}
