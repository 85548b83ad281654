package scheduler

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// failKey identifies placements that fail together: within one decision the free room
// only shrinks, so that a shape that has failed need not be tried again.
type failKey struct {
	shape structs.Shape
	ws    string // for work inside a guarantee
	mode  mode
}

// mode tells what room a start outside a guarantee may use.
type mode struct {
	fixed bool // cannot be reclaimed: must leave every unmet guarantee packed
	slow  bool // takes longer to reclaim than the minimum slots of services allow
	long  uint // the reservations that it may run into
}

// placeQueue starts, claims, reserves and refuses queued jobs in their order.
func (c *cycle) placeQueue(queue []entry) {
	for ; len(queue) > 0; queue = queue[1:] {
		for c.postpone(queue) {
		}
		e := queue[0]
		j := e.job
		if c.claimed[j.ID] || c.started[j.ID] {
			continue
		}
		if c.refuse(j) || e.rank != rankUrgent && c.overRamp(j) {
			continue
		}
		if e.guaranteed && c.startInGuarantee(j) || c.startLent(j) {
			continue
		}
		c.blocked(j)
	}
}

// startInGuarantee starts or claims room for a job inside its workspace's guarantee.
func (c *cycle) startInGuarantee(j *state.Job) bool {
	key := failKey{shape: j.Shape, ws: j.Workspace, mode: mode{fixed: !j.Reclaimable(), slow: j.Urgent, long: uint(j.Class)}}
	if c.failed[key] {
		return false
	}
	m, in := c.fitsGuarantee(j)
	if in && (c.startGuaranteed(j, m) || c.reclaim(j, m)) {
		return true
	}
	c.failed[key] = true
	return false
}

// startGuaranteed starts a job on free room, charged to its workspace's guarantee.
func (c *cycle) startGuaranteed(j *state.Job, m *match) bool {
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return n.free })
	if !ok {
		return false
	}
	if !c.takeFixed(j.Workspace, j.Shape.Task, nodes, m) {
		c.ensurePacked()
		nodes, ok = c.place(j.Shape, func(n *node) structs.Resources { return least(n.free, n.spare()) })
		if !ok || !c.takeFixed(j.Workspace, j.Shape.Task, nodes, m) {
			return false
		}
	}
	c.start(j, nodes, true, "inside the guarantee of "+j.Workspace)
	return true
}

// startLent starts a job on free room outside any guarantee.
func (c *cycle) startLent(j *state.Job) bool {
	if j.NoPreemptBefore.After(c.now) {
		c.wake(j.NoPreemptBefore) // from then on it may be lent room
	}
	md := mode{
		fixed: !j.Reclaimable() || j.NoPreemptBefore.After(c.now),
		slow:  c.minSlots && !c.quick(&j.Job),
		long:  c.runsInto(j),
	}
	key := failKey{shape: j.Shape, mode: md}
	if c.failed[key] {
		return false
	}
	if md.fixed || md.slow {
		c.ensurePacked()
	}
	nodes, ok := c.place(j.Shape, func(n *node) structs.Resources { return c.usableRoom(n, md) })
	if ok && md.fixed {
		ok = c.takeFixed(j.Workspace, j.Shape.Task, nodes, nil)
	} else if ok {
		for _, i := range nodes {
			n := &c.nodes[i]
			n.lend(j.Shape.Task)
			if !c.quick(&j.Job) {
				n.slow = n.slow.Add(j.Shape.Task)
			}
		}
	}
	if !ok {
		c.failed[key] = true
		return false
	}
	for k := range c.shadows {
		if md.long&(1<<k) != 0 {
			c.shadows[k].take(nodes, j.Shape.Task)
		}
	}
	c.lentNow[j.Workspace] = c.lentNow[j.Workspace].Add(j.Shape.Total())
	c.start(j, nodes, false, md.reason())
	return true
}

// lend moves free room to a start of this decision that can be reclaimed later.
func (n *node) lend(task structs.Resources) {
	n.free, n.lent, n.starting = n.free.Sub(task), n.lent.Add(task), n.starting.Add(task)
}

// usableRoom is the room of a node that a start of the mode may take.
func (c *cycle) usableRoom(n *node, md mode) structs.Resources {
	room := n.free
	if md.fixed {
		room = least(room, n.spare())
	}
	if md.slow {
		room = least(room, n.quickSpare())
	}
	return c.beside(room, n.at, md.long)
}

func (m mode) reason() string {
	switch {
	case m.fixed && m.long != 0:
		return "room that neither a guarantee nor the reservation needs"
	case m.fixed:
		return "room that no guarantee needs"
	case m.long != 0:
		return "lent room beside the reservation"
	}
	return "lent room"
}

func least(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		Slots:        min(a.Slots, b.Slots),
		Processors:   min(a.Processors, b.Processors),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// begun is a start of this decision.
type begun struct {
	job   *state.Job
	nodes []int
}

// start plans the start of the job on nodes whose room is taken already.
func (c *cycle) start(j *state.Job, nodes []int, guaranteed bool, why string) {
	c.started[j.ID] = true
	c.begun = append(c.begun, begun{j, nodes})
	c.refresh(nodes)
	c.ramp = c.ramp.Sub(j.Shape.Total())
	c.act(structs.Action{
		Kind: structs.ActionStart, Job: j.ID, Placements: c.placements(nodes), Guaranteed: guaranteed,
		Reason: fmt.Sprintf("%s: %s at level %s, class %d, waited %s", why, j.Shape, c.levelOf(j.Shape), j.Class, c.now.Sub(j.QueuedAt)),
	})
}

// refuse refuses a job that can never run in the data centre.
func (c *cycle) refuse(j *state.Job) bool {
	f := c.feasible(j)
	if f.Verdict != NeverRuns {
		return false
	}
	c.act(structs.Action{Kind: structs.ActionRefuse, Job: j.ID, Reason: "can never run: " + f.Limit})
	return true
}
