package scheduler

import (
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// node is the working state of a worker within one decision.
type node struct {
	w      *state.Worker
	index  int  // index into cycle.nodes
	rack   int  // index into cycle.racks
	usable bool // new work may be placed here
	// free is what a start may take now. Claims and starts of this decision are deducted.
	free structs.Resources
	// releasing is held by preempted or cancelled jobs and by revoked grants until they end.
	releasing structs.Resources
	// reclaimable is held by grants and by preemptible jobs outside guarantees.
	reclaimable structs.Resources
	// starting is the part of reclaimable held by jobs that are not running yet and by grants of this
	// decision. It cannot be reclaimed at once.
	starting structs.Resources
	// earmarked is what the packing of the unmet demands uses.
	earmarked structs.Resources
	// slowReclaimable is the part of reclaimable that takes longer than MaxQuickGrace to reclaim.
	// earmarkedSlots is the part of earmarked for the minimum slots of services, which must not
	// depend on slowReclaimable.
	slowReclaimable, earmarkedSlots structs.Resources
}

// available returns the resources into which guarantees can be packed.
func (n *node) available() structs.Resources {
	return n.free.Add(n.releasing).Add(n.reclaimable)
}

// overcommitted reports whether claims on the node wait for releasing resources.
func (n *node) overcommitted() bool {
	return !structs.Resources{}.Fits(n.free)
}

// unearmarked returns the available resources that no unmet demand is packed into.
func (n *node) unearmarked() structs.Resources {
	return n.available().Sub(n.earmarked)
}

// quickUnearmarked returns the resources into which further minimum slots of services can be packed.
func (n *node) quickUnearmarked() structs.Resources {
	return n.available().Sub(n.slowReclaimable).Sub(n.earmarkedSlots)
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
	// levels caches the results of levelOf.
	levels map[structs.Shape]level
	// futureShapes is the histogram of shapes for which placements try to preserve capacity.
	futureShapes []futureShape

	guaranteedWorkspaces  []string               // workspaces with guarantees, in manifest order
	services              []structs.Service      // by name
	assignments           map[string]*assignment // by workspace
	guaranteesByWorkspace map[string][]*state.Guarantee
	buffers               *buffers
	packing               []packedDemand
	unpacked              unpacked
	packedOnce            bool

	victims                 []victim
	victimsByNode           [][]int32       // indexes into victims by node, the cheapest first
	claimed                 map[string]bool // queued jobs with a claim
	failedPlacements        map[placementKey]bool
	started                 map[string]bool
	startedOutsideGuarantee map[string]structs.Resources // by workspace, in this decision
	plannedStarts           []plannedStart
	feasibility             map[feasibleKey]Feasibility
	repacks                 int
	exactSteps              int // backtracking steps of packExact so far
	forecasts               int
	releases                []expectedRelease // cache of expectedReleases
	// releasesForStarts is the number of planned starts for which the cache is valid.
	releasesForStarts int
	reservations      []largeReservation // of blocked large jobs
	rampLeft          structs.Resources
	grants            []*state.Grant       // by ID
	ramping           bool                 // the data centre is returning, and starts are limited to rampLeft
	holders           map[string][]*holder // by service
	hasMinSlots       bool                 // at least one service has minimum slots
}

// buffers holds the largest allocations of a decision: the nodes and two savepoints.
type buffers struct{ nodes, outerSavepoint, innerSavepoint []node }

// bufferPool reuses buffers between decisions. They are cleared after each decision.
var bufferPool = sync.Pool{New: func() any { return &buffers{} }}

// take returns a zeroed slice of n nodes.
func (b *buffers) take(n int) []node {
	if cap(b.nodes) < n {
		b.nodes = make([]node, n)
	}
	b.nodes = b.nodes[:n]
	clear(b.nodes)
	return b.nodes
}

// releaseBuffers clears the buffers of the decision and returns them to the pool.
func (c *cycle) releaseBuffers() {
	b := c.buffers
	clear(b.nodes)
	clear(b.outerSavepoint)
	clear(b.innerSavepoint)
	bufferPool.Put(b)
}

func newCycle(opts Options, d *state.DataCentre, now time.Time) *cycle {
	b := bufferPool.Get().(*buffers)
	c := &cycle{
		opts: opts, d: d, now: now,
		buffers:                 b,
		nodes:                   b.take(len(d.SortedWorkers)),
		index:                   make(map[string]int, len(d.SortedWorkers)),
		levels:                  map[structs.Shape]level{},
		assignments:             map[string]*assignment{},
		claimed:                 map[string]bool{},
		failedPlacements:        map[placementKey]bool{},
		startedOutsideGuarantee: map[string]structs.Resources{},
		started:                 map[string]bool{},
		feasibility:             map[feasibleKey]Feasibility{},
	}
	for i, w := range d.SortedWorkers {
		n := &c.nodes[i]
		n.w, n.index, n.usable = w, i, w.Usable()
		for _, h := range w.Holds {
			if h.Until.After(now) {
				n.usable = false
				c.wakeBy(h.Until)
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

// decide makes the plan of the decision.
func (c *cycle) decide() {
	c.readGrants()
	if !c.d.Stage.AllowsStarts() {
		c.planDrain()
		return
	}
	c.readActive()
	c.startRamp()
	c.revokeUnusable()
	c.futureShapes = c.shapeHistogram()
	c.renewClaims()
	queue := c.orderQueue()
	urgent := 0
	for urgent < len(queue) && queue[urgent].rank == rankUrgent {
		urgent++
	}
	c.placeQueue(queue[:urgent])
	c.grantMinimum()
	c.placeQueue(queue[urgent:])
	c.dropUnneededVictims()
	c.grantDemands()
	c.unchargeDisplaced()
}

// unchargeDisplaced uncharges the active jobs that their workspace's guarantee no longer covers,
// because of other jobs or a change of the guarantee. They continue as work outside the guarantee.
func (c *cycle) unchargeDisplaced() {
	for _, j := range c.d.Active {
		if j.Guaranteed && j.Status != state.Preempting && !j.Cancelled && !c.charged(j) {
			c.addAction(structs.Action{Kind: structs.ActionUncharge, Job: j.ID, Reason: "no place left in the guarantee of " + j.Workspace})
		}
	}
}

// addAction appends an action to the plan.
func (c *cycle) addAction(a structs.Action) {
	c.plan.Actions = append(c.plan.Actions, a)
}

// wakeBy requests the next decision at t at the latest.
func (c *cycle) wakeBy(t time.Time) {
	if t.After(c.now) && (c.plan.NextDecisionAt.IsZero() || t.Before(c.plan.NextDecisionAt)) {
		c.plan.NextDecisionAt = t
	}
}

// readActive records the resources of active jobs and grants as releasing or reclaimable, and lists
// victims.
func (c *cycle) readActive() {
	c.victimsByNode = make([][]int32, len(c.nodes))
	c.readGuarantees()
	for _, j := range c.d.Active {
		switch {
		case j.Status == state.Preempting || j.Cancelled:
			c.forEachNode(j.Placements, func(n *node) { n.releasing = n.releasing.Add(j.Shape.Task) })
			if j.Status == state.Preempting {
				c.wakeBy(j.StopBy)
			}
		case c.canReclaim(j):
			c.addReclaimable(j)
		}
	}
	for _, g := range c.grants {
		i, ok := c.index[g.Worker]
		if !ok || !c.nodes[i].usable {
			continue
		}
		size := g.PerSlot.Mul(g.Slots)
		if g.Revoking {
			c.nodes[i].releasing = c.nodes[i].releasing.Add(size)
			c.wakeBy(g.Expires)
			continue
		}
		c.nodes[i].reclaimable = c.nodes[i].reclaimable.Add(size)
		c.addVictim(victim{grant: g, cost: grantCost(g, c.d.Capacity), nodes: []int{i}, unit: g.PerSlot, units: g.Slots})
	}
}

// canReclaim reports whether the active job may be preempted in favour of a guarantee: it is
// reclaimable, not charged to a guarantee and not in the cooldown after an earlier preemption.
func (c *cycle) canReclaim(j *state.Job) bool {
	if !j.Reclaimable() || c.charged(j) {
		return false
	}
	if j.NoPreemptBefore.After(c.now) {
		c.wakeBy(j.NoPreemptBefore)
		return false
	}
	return true
}

// addReclaimable counts the resources of an active job as reclaimable. Only a running job becomes a
// victim. A starting job cannot be preempted yet, but will be running within seconds.
func (c *cycle) addReclaimable(j *state.Job) {
	slow := !c.reclaimsQuickly(&j.Job)
	c.forEachNode(j.Placements, func(n *node) {
		n.reclaimable = n.reclaimable.Add(j.Shape.Task)
		if slow {
			n.slowReclaimable = n.slowReclaimable.Add(j.Shape.Task)
		}
	})
	if j.Status != state.Running {
		c.forEachNode(j.Placements, func(n *node) { n.starting = n.starting.Add(j.Shape.Task) })
		return
	}
	v := victim{job: j, cost: c.workLost(j), unit: j.Shape.Task, units: 1}
	for _, p := range j.Placements {
		if i, ok := c.index[p.Worker]; ok && c.nodes[i].usable {
			v.nodes = append(v.nodes, i)
		}
	}
	c.addVictim(v)
}

func (c *cycle) forEachNode(placements []structs.Placement, f func(*node)) {
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

// reclaimsQuickly reports whether a reclaimable job's resources can be reclaimed within MaxQuickGrace.
func (c *cycle) reclaimsQuickly(j *structs.Job) bool {
	return !j.Checkpoint || j.Grace <= c.opts.MaxQuickGrace
}
