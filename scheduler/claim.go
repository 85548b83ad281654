package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// claim is room inside a guarantee that a job waits for while victims leave.
type claim struct {
	job     *state.Job
	nodes   []int
	startAt time.Time
}

// holdClaim keeps the nodes for the job until it can start there.
func (c *cycle) holdClaim(k claim, reason string) {
	c.claimed[k.job.ID] = true
	c.refresh(k.nodes)
	c.act(structs.Action{
		Kind: structs.ActionReserve, Job: k.job.ID, Placements: c.placements(k.nodes), Guaranteed: true, StartAt: k.startAt, Reason: reason,
	})
	c.wake(k.startAt)
}

// keepClaims keeps the room of the claims of earlier decisions and starts those whose
// room is free, there or elsewhere. A claim whose room was lost goes back to the queue.
func (c *cycle) keepClaims() {
	var kept []claim
	for i := range c.d.Reservations {
		r := &c.d.Reservations[i]
		j := c.d.Jobs[r.Job]
		if !r.Guaranteed || j == nil || j.Status != state.Queued {
			continue
		}
		m, in := c.fitsGuarantee(j)
		nodes := c.nodesOf(r.Placements)
		if in && len(nodes) == j.Shape.Tasks && c.within(j.Shape, nodes) && c.holds(nodes, j.Shape.Task) && c.takeFixed(j.Workspace, j.Shape.Task, nodes, m) {
			kept = append(kept, claim{job: j, nodes: nodes, startAt: r.StartAt})
		}
	}
	for i, k := range kept {
		if c.startClaim(k, kept[i+1:]) {
			continue
		}
		c.holdClaim(k, "claim inside the guarantee of "+k.job.Workspace+": victims are leaving")
	}
}

// within reports whether the nodes lie in one domain of the shape's level, which changes
// as workers join and leave.
func (c *cycle) within(s structs.Shape, nodes []int) bool {
	found := false
	c.domains(c.levelOf(s), func(r span) bool {
		found = slices.Min(nodes) >= r.lo && slices.Max(nodes) < r.hi
		return !found
	})
	return found
}

// holds reports whether free and leaving room holds one task at each node.
func (c *cycle) holds(nodes []int, task structs.Resources) bool {
	for k, i := range nodes {
		n := &c.nodes[i]
		if !task.Mul(count(nodes[:k+1], i)).Fits(n.free.Add(n.leaving)) {
			return false
		}
	}
	return true
}

func count(nodes []int, i int) int {
	n := 0
	for _, k := range nodes {
		if k == i {
			n++
		}
	}
	return n
}

// startClaim starts a kept claim at its nodes if their room has come free, or on other
// free room. Later claims on the same nodes wait longer.
func (c *cycle) startClaim(k claim, later []claim) bool {
	task := k.job.Shape.Task
	free := !slices.ContainsFunc(k.nodes, func(i int) bool {
		room := c.nodes[i].free
		for _, o := range later {
			room = room.Add(o.job.Shape.Task.Mul(count(o.nodes, i)))
		}
		return !structs.Resources{}.Fits(room)
	})
	nodes := k.nodes
	if !free {
		var ok bool
		nodes, ok = c.place(k.job.Shape, func(n *node) structs.Resources { return n.free })
		if !ok {
			return false
		}
		c.addFree(k.nodes, task, 1)
		if !c.takeFixed(k.job.Workspace, task, nodes, nil) {
			c.addFree(k.nodes, task, -1)
			return false
		}
		c.refresh(k.nodes)
	}
	c.start(k.job, nodes, true, "claim inside the guarantee of "+k.job.Workspace)
	return true
}

// addFree adds (sign 1) or takes (sign -1) one task's room at each node.
func (c *cycle) addFree(nodes []int, task structs.Resources, sign int) {
	for _, i := range nodes {
		c.nodes[i].free = c.nodes[i].free.Add(task.Mul(sign))
	}
}

// trimVictims takes back preemptions for claims that a later claim of the same decision
// has made superfluous, the most expensive first.
func (c *cycle) trimVictims() {
	var spared []*victim
	var ids []int32
	for i := range c.plan.Actions {
		a := &c.plan.Actions[i]
		if !c.claimed[a.PreemptedFor] {
			continue
		}
		if id := slices.IndexFunc(c.victims, func(v victim) bool { return v.leftBy(a) }); id >= 0 {
			ids = append(ids, int32(id))
		}
	}
	slices.SortFunc(ids, func(a, b int32) int { return compareVictims(&c.victims[b], &c.victims[a]) })
	for _, id := range ids {
		c.takeVictims([]int32{id}, -1)
		v := &c.victims[id]
		if slices.ContainsFunc(v.nodes, func(i int) bool { return !structs.Resources{}.Fits(c.nodes[i].free.Add(c.nodes[i].leaving)) }) {
			c.takeVictims([]int32{id}, 1)
			continue
		}
		spared = append(spared, v)
	}
	c.plan.Actions = slices.DeleteFunc(c.plan.Actions, func(a structs.Action) bool {
		return slices.ContainsFunc(spared, func(v *victim) bool { return v.leftBy(&a) })
	})
}

// leftBy reports whether the action preempts or revokes the victim.
func (v *victim) leftBy(a *structs.Action) bool {
	if v.job != nil {
		return a.Kind == structs.ActionPreempt && v.job.ID == a.Job
	}
	return a.Kind == structs.ActionRevoke && v.grant.ID == a.GrantID
}
