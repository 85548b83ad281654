package scheduler

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// placementKey identifies placement attempts with the same outcome. Free resources only shrink within a
// decision, so a failed shape is not tried again.
type placementKey struct {
	shape     structs.Shape
	workspace string // only set for jobs inside a guarantee
	mode      startMode
}

// startMode restricts the resources that a start outside a guarantee may use.
type startMode struct {
	unreclaimable bool // the job cannot be reclaimed, so every unmet guarantee must stay packed
	slowReclaim   bool // reclaiming takes longer than the minimum slots of services allow
	overlaps      uint // bit set of the reservations that the job may overlap
}

// placeQueue plans starts, claims, reservations and refusals for the queued jobs, in order.
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

// startInGuarantee starts a job inside its workspace's guarantee, or claims resources for it.
func (c *cycle) startInGuarantee(j *state.Job) bool {
	// The fields of the mode serve only as a key here: slowReclaim is set for urgent jobs, and overlaps
	// is the class.
	key := placementKey{shape: j.Shape, workspace: j.Workspace, mode: startMode{unreclaimable: !j.Reclaimable(), slowReclaim: j.Urgent, overlaps: uint(j.Class)}}
	if c.failedPlacements[key] {
		return false
	}
	asg, in := c.fitsGuarantee(j)
	if in && (c.startGuaranteed(j, asg) || c.reclaim(j, asg)) {
		return true
	}
	c.failedPlacements[key] = true
	return false
}

// startGuaranteed starts a job on free resources and charges it to its workspace's guarantee.
func (c *cycle) startGuaranteed(j *state.Job, asg *assignment) bool {
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return n.free })
	if !ok {
		return false
	}
	if !c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, asg) {
		c.ensurePacked()
		nodes, ok = c.place(j.Shape, func(n *node) structs.Resources { return minResources(n.free, n.unearmarked()) })
		if !ok || !c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, asg) {
			return false
		}
	}
	c.start(j, nodes, true, "inside the guarantee of "+j.Workspace)
	return true
}

// startOutsideGuarantee starts a job on free resources that is not charged to a guarantee.
func (c *cycle) startOutsideGuarantee(j *state.Job) bool {
	if j.NoPreemptBefore.After(c.now) {
		c.wakeBy(j.NoPreemptBefore) // from then on it can start as reclaimable
	}
	mode := startMode{
		unreclaimable: !j.Reclaimable() || j.NoPreemptBefore.After(c.now),
		slowReclaim:   c.hasMinSlots && !c.reclaimsQuickly(&j.Job),
		overlaps:      c.overlappingReservations(j),
	}
	key := placementKey{shape: j.Shape, mode: mode}
	if c.failedPlacements[key] {
		return false
	}
	if mode.unreclaimable || mode.slowReclaim {
		c.ensurePacked()
	}
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return c.startResources(n, mode) })
	if ok && mode.unreclaimable {
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
		if mode.overlaps&(1<<k) != 0 {
			c.reservations[k].take(nodes, j.Shape.Task)
		}
	}
	c.startedOutsideGuarantee[j.Workspace] = c.startedOutsideGuarantee[j.Workspace].Add(j.Shape.Total())
	c.start(j, nodes, false, mode.reason())
	return true
}

// takeReclaimable takes free resources for a start of this decision that can be reclaimed later.
func (n *node) takeReclaimable(task structs.Resources) {
	n.free, n.reclaimable, n.starting = n.free.Sub(task), n.reclaimable.Add(task), n.starting.Add(task)
}

// startResources returns the resources of a node that a start in the given mode may take.
func (c *cycle) startResources(n *node, mode startMode) structs.Resources {
	available := n.free
	if mode.unreclaimable {
		available = minResources(available, n.unearmarked())
	}
	if mode.slowReclaim {
		available = minResources(available, n.quickUnearmarked())
	}
	return c.limitByReservations(available, n.index, mode.overlaps)
}

// reason returns the reason that the plan records for a start. Lent room is room that can be reclaimed.
func (mode startMode) reason() string {
	switch {
	case mode.unreclaimable && mode.overlaps != 0:
		return "room that neither a guarantee nor the reservation needs"
	case mode.unreclaimable:
		return "room that no guarantee needs"
	case mode.overlaps != 0:
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

// plannedStart is a start of this decision.
type plannedStart struct {
	job   *state.Job
	nodes []int
}

// start plans the start of the job on nodes whose resources have already been taken.
func (c *cycle) start(j *state.Job, nodes []int, guaranteed bool, basis string) {
	c.started[j.ID] = true
	c.plannedStarts = append(c.plannedStarts, plannedStart{j, nodes})
	c.updateHistogram(nodes)
	c.rampLeft = c.rampLeft.Sub(j.Shape.Total())
	c.addAction(structs.Action{
		Kind: structs.ActionStart, Job: j.ID, Placements: c.placements(nodes), Guaranteed: guaranteed,
		Reason: fmt.Sprintf("%s: %s at level %s, class %d, waited %s", basis, j.Shape, c.levelOf(j.Shape), j.Class, c.now.Sub(j.QueuedAt)),
	})
}

// refuse plans the refusal of a job that can never run in the data centre. It reports whether it did.
func (c *cycle) refuse(j *state.Job) bool {
	f := c.feasible(j)
	if f.Verdict != NeverRuns {
		return false
	}
	c.addAction(structs.Action{Kind: structs.ActionRefuse, Job: j.ID, Reason: "can never run: " + f.Limit})
	return true
}
