package owner

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// statusTimeout bounds how long a status request waits for a busy event loop.
const statusTimeout = time.Second

// Status describes one data centre to operators.
type Status struct {
	DataCentre     string            `json:"data_centre"`
	Token          uint64            `json:"token"`
	Fenced         bool              `json:"fenced"`
	Recovering     bool              `json:"recovering"`
	Stage          structs.Stage     `json:"stage"`
	Revision       uint64            `json:"revision"`
	Decisions      uint64            `json:"decisions"`
	Jobs           map[string]int    `json:"jobs"` // number of jobs by status
	Workers        []WorkerStatus    `json:"workers"`
	Guarantees     []GuaranteeStatus `json:"guarantees"`
	Grants         int               `json:"grants"`
	GrantedSlots   int               `json:"granted_slots"`
	PendingRecords int               `json:"pending_records"`
	StoreDown      bool              `json:"store_down"`
}

// WorkerStatus describes one worker to operators.
type WorkerStatus struct {
	ID      string            `json:"id"`
	State   string            `json:"state"` // ready, silent, ejected, leaving, unlisted
	Free    structs.Resources `json:"free"`
	Tasks   int               `json:"tasks"`
	Holds   int               `json:"holds"`
	Ejected int               `json:"ejected"` // ejections since the last success
}

// GuaranteeStatus shows whether a workspace's guarantees in this data centre are met. They are
// unmet while a queued job of the workspace would fit into the unused part of its guarantees.
type GuaranteeStatus struct {
	Workspace  string            `json:"workspace"`
	Guaranteed structs.Resources `json:"guaranteed"`
	Used       structs.Resources `json:"used"` // charged to the guarantees
	Queued     int               `json:"queued"`
	Met        bool              `json:"met"`
}

// Status describes every data centre that this instance owns.
func (c *Controller) Status() []Status {
	var list []Status
	c.forEachOwner(func(owner *DataCentreOwner) { list = append(list, owner.status()) })
	return list
}

// Summaries describes every data centre that this instance owns, for its peers.
func (c *Controller) Summaries() []*peer.Summary {
	var list []*peer.Summary
	c.forEachOwner(func(owner *DataCentreOwner) {
		if owner.ready && !owner.stopping && !owner.fenced.Load() {
			list = append(list, owner.summary())
		}
	})
	return list
}

// Summary describes one data centre for its peers. It returns nil if this instance does not own
// the data centre, or its owner is recovering, standing down or fenced.
func (c *Controller) Summary(dataCentre string) *peer.Summary {
	for _, s := range c.Summaries() {
		if s.DataCentre == dataCentre {
			return s
		}
	}
	return nil
}

// forEachOwner runs f in the event loop of every owner. It skips an owner that is busy for longer
// than statusTimeout.
func (c *Controller) forEachOwner(f func(owner *DataCentreOwner)) {
	c.mu.Lock()
	owners := make([]*DataCentreOwner, 0, len(c.owners))
	for _, dc := range sortedKeys(c.owners) {
		owners = append(owners, c.owners[dc])
	}
	c.mu.Unlock()
	for _, owner := range owners {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		_ = owner.call(ctx, func() { f(owner) })
		cancel()
	}
}

func (o *DataCentreOwner) status() Status {
	s := Status{
		DataCentre: o.dc, Token: o.token, Fenced: o.fenced.Load(), Recovering: !o.ready,
		Stage: o.state.Stage, Revision: o.state.Revision, Decisions: o.version, Jobs: map[string]int{},
		Grants: len(o.state.Grants), PendingRecords: o.records.pending(), StoreDown: o.records.isDown(),
		Guarantees: o.guarantees(),
	}
	for _, j := range o.jobs {
		s.Jobs[string(j.status)]++
	}
	for _, g := range o.state.Grants {
		s.GrantedSlots += g.Slots
	}
	for _, w := range o.state.SortedWorkers {
		s.Workers = append(s.Workers, WorkerStatus{
			ID: w.ID, State: o.workers[w.ID].state(), Free: w.Free, Tasks: len(w.Tasks), Holds: len(w.Holds), Ejected: o.workers[w.ID].ejections,
		})
	}
	return s
}

func (w *worker) state() string {
	switch {
	case w.unlisted:
		return "unlisted"
	case w.ejected:
		return "ejected"
	case !w.answered || w.failedRenewals >= failedRenewalLimit:
		return "silent"
	case w.leaving || w.info.Leaving:
		return "leaving"
	}
	return "ready"
}

func (o *DataCentreOwner) guarantees() []GuaranteeStatus {
	sums := map[string]structs.Resources{}
	for _, g := range o.state.Guarantees {
		sums[g.Workspace] = sums[g.Workspace].Add(g.Shape.Total().Mul(g.Count))
	}
	list := make([]GuaranteeStatus, 0, len(sums))
	for _, name := range sortedKeys(sums) {
		g := GuaranteeStatus{Workspace: name, Guaranteed: sums[name], Used: o.state.GuaranteedUsed[name], Met: true}
		remaining := g.Guaranteed.Sub(g.Used)
		for _, j := range o.state.Queue {
			if j.Workspace == name {
				g.Queued++
				g.Met = g.Met && !j.Shape.Total().Fits(remaining)
			}
		}
		list = append(list, g)
	}
	return list
}

// summary describes free capacity, waiting jobs and unused guarantees to the peers.
func (o *DataCentreOwner) summary() *peer.Summary {
	view := scheduler.Summarize(o.state)
	s := &peer.Summary{
		DataCentre: o.dc, Token: o.token, Owner: o.opts.Instance, Version: o.version, Queued: int32(len(o.state.Queue)),
		FreeSlots: int32(max(view.Free.Slots, 0)), FreeAccelerators: int32(max(view.Free.Accelerators, 0)), LargestGang: int32(view.IdleWorkers),
		Revision: o.state.Revision, UnusedGuarantees: o.unusedGuarantees(view.UnusedGuarantees),
	}
	for _, j := range o.jobs {
		if j.status == jobParked {
			s.Queued++
			view.Queued = view.Queued.Add(j.rec.Job.Shape.Total())
		}
	}
	s.QueuedSlots, s.QueuedAccelerators = int32(view.Queued.Slots), int32(view.Queued.Accelerators)
	return s
}

// unusedGuarantees sets the bit of each workspace of the manifest that has an unused guarantee.
func (o *DataCentreOwner) unusedGuarantees(unused []state.Guarantee) []byte {
	bits := make([]byte, (len(o.workspaces)+7)/8)
	for i, w := range o.workspaces {
		if slices.ContainsFunc(unused, func(g state.Guarantee) bool { return g.Workspace == w.Name }) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}
