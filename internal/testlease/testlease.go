// Package testlease provides a fake owner of a data centre that grants the slots of its workers, for
// the tests of packages that lease slots.
package testlease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Owner implements slots.Leaser for one data centre. Each grant has one slot; a worker's
// grants do not exceed its capacity. Grants do not expire.
type Owner struct {
	mu        sync.Mutex
	Workers   []structs.Worker
	TTL       int64 // milliseconds
	Token     uint64
	Down      bool                     // calls fail
	Revoked   map[string]bool          // workers whose grants are revoked
	grants    map[string][]*peer.Grant // by instance and service
	used      map[string]int           // by worker
	lastGrant int
	calls     int
}

// NewOwner returns an owner of the given workers, with a lease time of 3 s.
func NewOwner(workers ...structs.Worker) *Owner {
	return &Owner{Workers: workers, TTL: 3000, Token: 1, grants: map[string][]*peer.Grant{}, used: map[string]int{}}
}

// Set calls f with the owner locked, so that a test can change its fields.
func (o *Owner) Set(f func(*Owner)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

// Used returns the granted slots of each worker, and the number of calls of LeaseSlots.
func (o *Owner) Used() (used map[string]int, calls int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	used = make(map[string]int, len(o.used))
	for w, n := range o.used {
		used[w] = n
	}
	return used, o.calls
}

// LeaseSlots implements slots.Leaser.
func (o *Owner) LeaseSlots(_ context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	if o.Down {
		return nil, errors.New("owner does not answer")
	}
	if len(o.Workers) > 0 && r.DataCentre != o.Workers[0].DataCentre {
		return &peer.LeaseSlotsReply{ErrorKind: string(errkind.OwnerUnavailable)}, nil
	}
	key := r.Instance + "/" + r.Service
	kept := slices.DeleteFunc(o.grants[key], func(g *peer.Grant) bool {
		if slices.Contains(r.GiveBack, g.Id) {
			o.used[g.Worker]--
			return true
		}
		return false
	})
	for len(kept) < int(r.Wanted) {
		w := o.mostFreeWorker()
		if w == nil {
			break
		}
		o.lastGrant++
		o.used[w.ID]++
		kept = append(kept, &peer.Grant{Id: fmt.Sprintf("g%d", o.lastGrant), Worker: w.ID, Address: w.Address, Slots: 1})
	}
	o.grants[key] = kept
	reply := &peer.LeaseSlotsReply{Token: o.Token}
	for _, g := range kept {
		reply.Grants = append(reply.Grants, &peer.Grant{Id: g.Id, Worker: g.Worker, Address: g.Address, Slots: 1, TtlMs: o.TTL, Revoked: o.Revoked[g.Worker]})
	}
	return reply, nil
}

// mostFreeWorker returns the worker with the most free slots among those whose grants are not revoked, or
// nil if none has a free slot.
func (o *Owner) mostFreeWorker() *structs.Worker {
	var best *structs.Worker
	for i := range o.Workers {
		w := &o.Workers[i]
		free := w.Capacity.Slots - o.used[w.ID]
		if free > 0 && !o.Revoked[w.ID] && (best == nil || free > best.Capacity.Slots-o.used[best.ID]) {
			best = w
		}
	}
	return best
}
