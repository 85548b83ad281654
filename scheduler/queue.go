package scheduler

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// failKey identifies placements that fail together: within one decision the free room
// only shrinks, so that a shape that has failed need not be tried again.
type placementKey struct {
	shape     structs.Shape
	workspace string // for work inside a guarantee
	mode      startMode
}

// mode tells what room a start outside a guarantee may use.
type startMode struct {
	unreclaimable bool // cannot be reclaimed: must leave every unmet guarantee packed
	slowReclaim   bool // takes longer to reclaim than the minimum slots of services allow
	overlaps      uint // the reservations that it may run into
}

// placeQueue starts, claims, reserves and refuses queued jobs in their order.
func (c *cycle) placeQueue(queue []entry) {
	for ; len(queue) > 0; queue = queue[1:] {
		for c.requeueFirst(queue) {
		}
		e := queue[0]
		j := e.job
		if c.claimed[j.ID] || c.started[j.ID] {
			continue
		}
		if c.refuse(j) || e.rank != rankUrgent && c.exceedsRamp(j) {
			continue
		}
		if e.guaranteed && c.startInGuarantee(j) || c.startOutsideGuarantee(j) {
			continue
		}
		c.reserveFor(j)
	}
}

// startInGuarantee starts or claims room for a job inside its workspace's guarantee.
func (c *cycle) startInGuarantee(j *state.Job) bool {
	key := placementKey{shape: j.Shape, workspace: j.Workspace, mode: startMode{unreclaimable: !j.Reclaimable(), slowReclaim: j.Urgent, overlaps: uint(j.Class)}}
	if c.failedPlacements[key] {
		return false
	}
	m, in := c.fitsGuarantee(j)
	if in && (c.startGuaranteed(j, m) || c.reclaim(j, m)) {
		return true
	}
	c.failedPlacements[key] = true
	return false
}

// startGuaranteed starts a job on free room, charged to its workspace's guarantee.
func (c *cycle) startGuaranteed(j *state.Job, m *assignment) bool {
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return n.free })
	if !ok {
		return false
	}
	if !c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, m) {
		c.ensurePacked()
		nodes, ok = c.place(j.Shape, func(n *node) structs.Resources { return minResources(n.free, n.unearmarked()) })
		if !ok || !c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, m) {
			return false
		}
	}
	c.start(j, nodes, true, "inside the guarantee of "+j.Workspace)
	return true
}

// startLent starts a job on free room outside any guarantee.
func (c *cycle) startOutsideGuarantee(j *state.Job) bool {
	if j.NoPreemptBefore.After(c.now) {
		c.wakeBy(j.NoPreemptBefore) // from then on it may be lent room
	}
	md := startMode{
		unreclaimable: !j.Reclaimable() || j.NoPreemptBefore.After(c.now),
		slowReclaim:   c.hasMinSlots && !c.reclaimsQuickly(&j.Job),
		overlaps:      c.overlappingReservations(j),
	}
	key := placementKey{shape: j.Shape, mode: md}
	if c.failedPlacements[key] {
		return false
	}
	if md.unreclaimable || md.slowReclaim {
		c.ensurePacked()
	}
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return c.startRoom(n, md) })
	if ok && md.unreclaimable {
		ok = c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, nil)
	} else if ok {
		for _, i := range nodes {
			n := &c.nodes[i]
			n.takeReclaimable(j.Shape.Task)
			if !c.reclaimsQuickly(&j.Job) {
				n.slowReclaimable = n.slowReclaimable.Add(j.Shape.Task)
			}
		}
	}
	if !ok {
		c.failedPlacements[key] = true
		return false
	}
	for k := range c.reservations {
		if md.overlaps&(1<<k) != 0 {
			c.reservations[k].take(nodes, j.Shape.Task)
		}
	}
	c.startedOutsideGuarantee[j.Workspace] = c.startedOutsideGuarantee[j.Workspace].Add(j.Shape.Total())
	c.start(j, nodes, false, md.reason())
	return true
}

// lend moves free room to a start of this decision that can be reclaimed later.
func (n *node) takeReclaimable(task structs.Resources) {
	n.free, n.reclaimable, n.starting = n.free.Sub(task), n.reclaimable.Add(task), n.starting.Add(task)
}

// usableRoom is the room of a node that a start of the mode may take.
func (c *cycle) startRoom(n *node, md startMode) structs.Resources {
	room := n.free
	if md.unreclaimable {
		room = minResources(room, n.unearmarked())
	}
	if md.slowReclaim {
		room = minResources(room, n.quickUnearmarked())
	}
	return c.limitByReservations(room, n.at, md.overlaps)
}

func (m startMode) reason() string {
	switch {
	case m.unreclaimable && m.overlaps != 0:
		return "room that neither a guarantee nor the reservation needs"
	case m.unreclaimable:
		return "room that no guarantee needs"
	case m.overlaps != 0:
		return "lent room beside the reservation"
	}
	return "lent room"
}

func minResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		Slots:        min(a.Slots, b.Slots),
		Processors:   min(a.Processors, b.Processors),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// begun is a start of this decision.
type plannedStart struct {
	job   *state.Job
	nodes []int
}

// start plans the start of the job on nodes whose room is taken already.
func (c *cycle) start(j *state.Job, nodes []int, guaranteed bool, grounds string) {
	c.started[j.ID] = true
	c.plannedStarts = append(c.plannedStarts, plannedStart{j, nodes})
	c.updateHistogram(nodes)
	c.rampLeft = c.rampLeft.Sub(j.Shape.Total())
	c.addAction(structs.Action{
		Kind: structs.ActionStart, Job: j.ID, Placements: c.placements(nodes), Guaranteed: guaranteed,
		Reason: fmt.Sprintf("%s: %s at level %s, class %d, waited %s", grounds, j.Shape, c.levelOf(j.Shape), j.Class, c.now.Sub(j.QueuedAt)),
	})
}

// refuse refuses a job that can never run in the data centre.
func (c *cycle) refuse(j *state.Job) bool {
	f := c.feasible(j)
	if f.Verdict != NeverRuns {
		return false
	}
	c.addAction(structs.Action{Kind: structs.ActionRefuse, Job: j.ID, Reason: "can never run: " + f.Limit})
	return true
}
