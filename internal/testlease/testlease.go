// Package testlease holds a data centre's owner that grants the slots of its workers,
// for the tests of packages that lease slots.
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

// Owner grants one slot per grant, up to the capacity of each worker. It implements
// slots.Leaser for one data centre. Grants do not end by time.
type Owner struct {
	mu      sync.Mutex
	Workers []structs.Worker
	TTL     int64 // milliseconds
	Token   uint64
	Down    bool
	Revoked map[string]bool          // workers whose grants are revoked
	granted map[string][]*peer.Grant // by instance and service
	used    map[string]int           // by worker
	next    int
	calls   int
}

// NewOwner returns an owner of the workers.
func NewOwner(workers ...structs.Worker) *Owner {
	return &Owner{Workers: workers, TTL: 3000, Token: 1, granted: map[string][]*peer.Grant{}, used: map[string]int{}}
}

// Set changes the owner under its lock.
func (o *Owner) Set(f func(*Owner)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

// Used returns the granted slots of each worker, and the number of calls.
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
	kept := slices.DeleteFunc(o.granted[key], func(g *peer.Grant) bool {
		if slices.Contains(r.GiveBack, g.Id) {
			o.used[g.Worker]--
			return true
		}
		return false
	})
	for len(kept) < int(r.Wanted) {
		w := o.freeWorker()
		if w == nil {
			break
		}
		o.next++
		o.used[w.ID]++
		kept = append(kept, &peer.Grant{Id: fmt.Sprintf("g%d", o.next), Worker: w.ID, Address: w.Address, Slots: 1})
	}
	o.granted[key] = kept
	reply := &peer.LeaseSlotsReply{Token: o.Token}
	for _, g := range kept {
		reply.Grants = append(reply.Grants, &peer.Grant{Id: g.Id, Worker: g.Worker, Address: g.Address, Slots: 1, TtlMs: o.TTL, Revoked: o.Revoked[g.Worker]})
	}
	return reply, nil
}

// freeWorker returns the worker with the most free slots whose grants are not revoked.
func (o *Owner) freeWorker() *structs.Worker {
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
