package scheduler

import (
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// node is a worker as one decision sees it.
type node struct {
	w      *state.Worker
	at     int  // index into cycle.nodes
	rack   int  // index into cycle.racks
	usable bool // new work may be placed here
	// free is the room that a start may take now: less claims and starts of this decision.
	free structs.Resources
	// leaving is the room of preempted jobs and revoked grants that has not come free.
	leaving structs.Resources
	// lent is the room that can be reclaimed: jobs outside guarantees, and grants.
	lent structs.Resources
	// starting is the part of lent whose jobs are not running yet, and of grants of this
	// decision. It cannot be reclaimed at once.
	starting structs.Resources
	// kept is the room that the unmet guarantees are packed into.
	kept structs.Resources
	// slow is the part of lent that takes longer than QuickGrace to reclaim; keptSlots is
	// the part of kept for the minimum slots of services, which must not need it.
	slow, keptSlots structs.Resources
}

// room is what guarantees can be packed into.
func (n *node) room() structs.Resources {
	return n.free.Add(n.leaving).Add(n.lent)
}

// overdrawn reports whether claims on the node wait for room that is leaving.
func (n *node) overdrawn() bool {
	return !structs.Resources{}.Fits(n.free)
}

// spare is the room that no unmet guarantee needs.
func (n *node) spare() structs.Resources {
	return n.room().Sub(n.kept)
}

// quickSpare is the room for the minimum slots of services.
func (n *node) quickSpare() structs.Resources {
	return n.room().Sub(n.slow).Sub(n.keptSlots)
}

// cycle is the working state of one decision.
type cycle struct {
	opts  Options
	d     *state.DataCentre
	now   time.Time
	plan  structs.Plan
	nodes []node
	index map[string]int
	racks []span
	pairs []span
	// levels caches the adjacency level of shapes.
	levels map[structs.Shape]level
	// future is the histogram of shapes that placements try to keep possible.
	future []futureShape

	guaranteed  []string          // workspaces with guarantees, in the manifest's order
	services    []structs.Service // by name
	matches     map[string]*match // by workspace
	byWorkspace map[string][]*state.Guarantee
	buffers     *buffers
	pieces      []piece
	unpacked    unpacked
	packed      bool

	victims     []victim
	on          [][]int32       // victims by node
	claimed     map[string]bool // queued jobs that hold a claim
	failed      map[failKey]bool
	started     map[string]bool
	lentNow     map[string]structs.Resources // by workspace, started outside guarantees in this decision
	begun       []begun
	feasibility map[feasibleKey]Feasibility
	repacks     int
	steps       int // of exact packings
	forecasts   int
	ends        []ending // cache of endings for endsBegun starts of this decision
	endsBegun   int
	shadows     []shadow // reservations of blocked large jobs
	ramp        structs.Resources
	grants      []*state.Grant       // by id
	ramping     bool                 // the data centre returns and is filled in steps; ramp is the room left
	holders     map[string][]*holder // by service
	minSlots    bool                 // some service keeps minimum slots
}

// buffers are the largest allocations of a decision: the nodes and two savepoints.
type buffers struct{ nodes, outer, inner []node }

// bufferPool reuses buffers between decisions; they carry no content over.
var bufferPool = sync.Pool{New: func() any { return &buffers{} }}

// take returns a cleared slice of n nodes.
func (b *buffers) take(n int) []node {
	if cap(b.nodes) < n {
		b.nodes = make([]node, n)
	}
	b.nodes = b.nodes[:n]
	clear(b.nodes)
	return b.nodes
}

// done returns the buffers of the decision.
func (c *cycle) done() {
	b := c.buffers
	clear(b.nodes)
	clear(b.outer)
	clear(b.inner)
	bufferPool.Put(b)
}

func newCycle(opts Options, d *state.DataCentre, now time.Time) *cycle {
	b := bufferPool.Get().(*buffers)
	c := &cycle{
		opts: opts, d: d, now: now,
		buffers:     b,
		nodes:       b.take(len(d.SortedWorkers)),
		index:       make(map[string]int, len(d.SortedWorkers)),
		levels:      map[structs.Shape]level{},
		matches:     map[string]*match{},
		claimed:     map[string]bool{},
		failed:      map[failKey]bool{},
		lentNow:     map[string]structs.Resources{},
		started:     map[string]bool{},
		feasibility: map[feasibleKey]Feasibility{},
	}
	for i, w := range d.SortedWorkers {
		n := &c.nodes[i]
		n.w, n.at, n.usable = w, i, w.Usable()
		for _, h := range w.Holds {
			if h.Until.After(now) {
				n.usable = false
				c.wake(h.Until)
			}
		}
		if n.usable {
			n.free = w.Free
		}
		c.index[w.ID] = i
	}
	c.buildDomains()
	return c
}

// decide runs the steps of a decision in order.
func (c *cycle) decide() {
	c.readGrants()
	if !c.d.Stage.AllowsStarts() {
		c.withdraw()
		return
	}
	c.readActive()
	c.startRamp()
	c.revokeUnusable()
	c.future = c.histogram()
	c.keepClaims()
	queue := c.order()
	urgent := 0
	for urgent < len(queue) && queue[urgent].rank == rankUrgent {
		urgent++
	}
	c.placeQueue(queue[:urgent])
	c.grantMinimum()
	c.placeQueue(queue[urgent:])
	c.trimVictims()
	c.grantDemands()
	c.uncharge()
}

// uncharge plans that jobs which lost their place in their workspace's guarantee, to
// other jobs or to a change of the guarantee, run on as lent work.
func (c *cycle) uncharge() {
	for _, j := range c.d.Active {
		if j.Guaranteed && j.Status != state.Preempting && !j.Cancelled && !c.charged(j) {
			c.act(structs.Action{Kind: structs.ActionUncharge, Job: j.ID, Reason: "no place left in the guarantee of " + j.Workspace})
		}
	}
}

// act appends an action to the plan.
func (c *cycle) act(a structs.Action) {
	c.plan.Actions = append(c.plan.Actions, a)
}

// wake asks for a decision at t at the latest.
func (c *cycle) wake(t time.Time) {
	if t.After(c.now) && (c.plan.NextDecisionAt.IsZero() || t.Before(c.plan.NextDecisionAt)) {
		c.plan.NextDecisionAt = t
	}
}

// readActive sorts the room of active jobs and grants into leaving, lent and fixed.
func (c *cycle) readActive() {
	c.on = make([][]int32, len(c.nodes))
	c.readGuarantees()
	for _, j := range c.d.Active {
		switch {
		case j.Status == state.Preempting || j.Cancelled:
			c.eachNode(j.Placements, func(n *node) { n.leaving = n.leaving.Add(j.Shape.Task) })
			if j.Status == state.Preempting {
				c.wake(j.StopBy)
			}
		case c.lentJob(j):
			c.lend(j)
		}
	}
	for _, g := range c.grants {
		i, ok := c.index[g.Worker]
		if !ok || !c.nodes[i].usable {
			continue
		}
		size := g.PerSlot.Mul(g.Slots)
		if g.Revoking {
			c.nodes[i].leaving = c.nodes[i].leaving.Add(size)
			c.wake(g.Expires)
			continue
		}
		c.nodes[i].lent = c.nodes[i].lent.Add(size)
		c.addVictim(victim{grant: g, cost: grantCost(g, c.d.Capacity), nodes: []int{i}, size: g.PerSlot, count: g.Slots})
	}
}

// lentJob reports whether the active job's room can be reclaimed.
func (c *cycle) lentJob(j *state.Job) bool {
	if !j.Reclaimable() || c.charged(j) {
		return false
	}
	if j.NoPreemptBefore.After(c.now) {
		c.wake(j.NoPreemptBefore)
		return false
	}
	return true
}

// lend counts the room of an active job as reclaimable. Only a running job can be
// preempted at once; one that is starting runs within seconds.
func (c *cycle) lend(j *state.Job) {
	slow := !c.quick(&j.Job)
	c.eachNode(j.Placements, func(n *node) {
		n.lent = n.lent.Add(j.Shape.Task)
		if slow {
			n.slow = n.slow.Add(j.Shape.Task)
		}
	})
	if j.Status != state.Running {
		c.eachNode(j.Placements, func(n *node) { n.starting = n.starting.Add(j.Shape.Task) })
		return
	}
	v := victim{job: j, cost: c.workLost(j), size: j.Shape.Task, count: 1}
	for _, p := range j.Placements {
		if i, ok := c.index[p.Worker]; ok && c.nodes[i].usable {
			v.nodes = append(v.nodes, i)
		}
	}
	c.addVictim(v)
}

func (c *cycle) eachNode(placements []structs.Placement, f func(*node)) {
	for _, p := range placements {
		if i, ok := c.index[p.Worker]; ok && c.nodes[i].usable {
			f(&c.nodes[i])
		}
	}
}

func (c *cycle) placements(nodes []int) []structs.Placement {
	out := make([]structs.Placement, len(nodes))
	for t, i := range nodes {
		out[t] = structs.Placement{Task: t, Worker: c.nodes[i].w.ID}
	}
	return out
}

// quick reports whether a lent job's room can be had within QuickGrace.
func (c *cycle) quick(j *structs.Job) bool {
	return !j.Checkpoint || j.Grace <= c.opts.QuickGrace
}
