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

// statusTimeout bounds how long a status waits for a busy applier.
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
	Jobs           map[string]int    `json:"jobs"` // by status
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
	Ejected int               `json:"ejected"` // ejections in a row
}

// GuaranteeStatus tells whether a workspace's guarantees here are honoured. They are unmet
// while the workspace has queued work although it uses less than it is guaranteed.
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
	c.each(func(w *DataCentreOwner) { list = append(list, w.status()) })
	return list
}

// Summaries describes every data centre that this instance owns, for its peers.
func (c *Controller) Summaries() []*peer.Summary {
	var list []*peer.Summary
	c.each(func(w *DataCentreOwner) {
		if w.ready && !w.stopping && !w.fenced.Load() {
			list = append(list, w.summary())
		}
	})
	return list
}

// Summary describes one data centre for the peers, or is nil when this instance does not
// own it or still recovers it.
func (c *Controller) Summary(dataCentre string) *peer.Summary {
	for _, s := range c.Summaries() {
		if s.DataCentre == dataCentre {
			return s
		}
	}
	return nil
}

// each runs f in the applier of every owner. An owner that is busy for too long is left out.
func (c *Controller) each(f func(w *DataCentreOwner)) {
	c.mu.Lock()
	owners := make([]*DataCentreOwner, 0, len(c.owners))
	for _, dc := range sortedKeys(c.owners) {
		owners = append(owners, c.owners[dc])
	}
	c.mu.Unlock()
	for _, w := range owners {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		_ = w.ask(ctx, func() { f(w) })
		cancel()
	}
}

func (o *DataCentreOwner) status() Status {
	s := Status{
		DataCentre: o.dc, Token: o.token, Fenced: o.fenced.Load(), Recovering: !o.ready,
		Stage: o.d.Stage, Revision: o.d.Revision, Decisions: o.version, Jobs: map[string]int{},
		Grants: len(o.d.Grants), PendingRecords: o.records.pending(), StoreDown: o.records.isDown(),
		Guarantees: o.guarantees(),
	}
	for _, j := range o.jobs {
		s.Jobs[string(j.status)]++
	}
	for _, g := range o.d.Grants {
		s.GrantedSlots += g.Slots
	}
	for _, w := range o.d.SortedWorkers {
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
	case !w.answered || w.silent >= silentRenewals:
		return "silent"
	case w.leaving || w.info.Leaving:
		return "leaving"
	}
	return "ready"
}

func (o *DataCentreOwner) guarantees() []GuaranteeStatus {
	sums := map[string]structs.Resources{}
	for _, g := range o.d.Guarantees {
		sums[g.Workspace] = sums[g.Workspace].Add(g.Shape.Total().Mul(g.Count))
	}
	list := make([]GuaranteeStatus, 0, len(sums))
	for _, name := range sortedKeys(sums) {
		g := GuaranteeStatus{Workspace: name, Guaranteed: sums[name], Used: o.d.GuaranteedUsed[name], Met: true}
		left := g.Guaranteed.Sub(g.Used)
		for _, j := range o.d.Queue {
			if j.Workspace == name {
				g.Queued++
				g.Met = g.Met && !j.Shape.Total().Fits(left)
			}
		}
		list = append(list, g)
	}
	return list
}

// summary describes free room, waiting jobs and unused guarantees to the peers.
func (o *DataCentreOwner) summary() *peer.Summary {
	view := scheduler.Summarize(o.d)
	s := &peer.Summary{
		DataCentre: o.dc, Token: o.token, Owner: o.o.Instance, Version: o.version, Queued: int32(len(o.d.Queue)),
		FreeSlots: int32(max(view.Free.Slots, 0)), FreeAccelerators: int32(max(view.Free.Accelerators, 0)), LargestGang: int32(view.Whole),
		Revision: o.d.Revision, UnusedGuarantees: o.unusedGuarantees(view.Unused),
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
