package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// claim holds nodes inside a guarantee for a queued job while victims release their resources there.
type claim struct {
	job     *state.Job
	nodes   []int
	startAt time.Time
}

// reserveClaim plans the reservation of the claim's nodes until the job can start there.
func (c *cycle) reserveClaim(k claim, reason string) {
	c.claimed[k.job.ID] = true
	c.updateHistogram(k.nodes)
	c.addAction(structs.Action{
		Kind: structs.ActionReserve, Job: k.job.ID, Placements: c.placements(k.nodes), Guaranteed: true, StartAt: k.startAt, Reason: reason,
	})
	c.wakeBy(k.startAt)
}

// renewClaims renews the claims of earlier decisions and starts those whose job fits now, at the
// claimed nodes or elsewhere. The job of a claim that no longer holds is placed from the queue like
// any other.
func (c *cycle) renewClaims() {
	var renewed []claim
	for i := range c.d.Reservations {
		r := &c.d.Reservations[i]
		j := c.d.Jobs[r.Job]
		if !r.Guaranteed || j == nil || j.Status != state.Queued {
			continue
		}
		asg, in := c.fitsGuarantee(j)
		nodes := c.nodesOf(r.Placements)
		if in && len(nodes) == j.Shape.Tasks && c.inOneDomain(j.Shape, nodes) && c.fitsNodes(nodes, j.Shape.Task) && c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, asg) {
			renewed = append(renewed, claim{job: j, nodes: nodes, startAt: r.StartAt})
		}
	}
	for i, k := range renewed {
		if c.startClaim(k, renewed[i+1:]) {
			continue
		}
		c.reserveClaim(k, "claim inside the guarantee of "+k.job.Workspace+": victims are leaving")
	}
}

// inOneDomain reports whether the nodes lie in one domain of the shape's level. The level may have
// changed since the nodes were chosen, as workers joined or left.
func (c *cycle) inOneDomain(s structs.Shape, nodes []int) bool {
	found := false
	c.domains(c.levelOf(s), func(r span) bool {
		found = slices.Min(nodes) >= r.lo && slices.Max(nodes) < r.hi
		return !found
	})
	return found
}

// fitsNodes reports whether the free and releasing resources hold one task per entry of nodes.
func (c *cycle) fitsNodes(nodes []int, task structs.Resources) bool {
	for k, i := range nodes {
		n := &c.nodes[i]
		if !task.Mul(countOf(nodes[:k+1], i)).Fits(n.free.Add(n.releasing)) {
			return false
		}
	}
	return true
}

func countOf(nodes []int, i int) int {
	n := 0
	for _, k := range nodes {
		if k == i {
			n++
		}
	}
	return n
}

// startClaim starts a renewed claim at its nodes if their resources are free, else on other nodes
// with free resources. Resources taken for later claims on the same nodes count as free for this
// one.
func (c *cycle) startClaim(k claim, later []claim) bool {
	task := k.job.Shape.Task
	free := !slices.ContainsFunc(k.nodes, func(i int) bool {
		available := c.nodes[i].free
		for _, o := range later {
			available = available.Add(o.job.Shape.Task.Mul(countOf(o.nodes, i)))
		}
		return !structs.Resources{}.Fits(available)
	})
	nodes := k.nodes
	if !free {
		var ok bool
		nodes, ok = c.place(k.job.Shape, func(n *node) structs.Resources { return n.free })
		if !ok {
			return false
		}
		c.addFreeTasks(k.nodes, task, 1)
		if !c.takeUnreclaimable(k.job.Workspace, task, nodes, nil) {
			c.addFreeTasks(k.nodes, task, -1)
			return false
		}
		c.updateHistogram(k.nodes)
	}
	c.start(k.job, nodes, true, "claim inside the guarantee of "+k.job.Workspace)
	return true
}

// addFreeTasks adds (sign 1) or subtracts (sign -1) the resources of one task at each node.
func (c *cycle) addFreeTasks(nodes []int, task structs.Resources, sign int) {
	for _, i := range nodes {
		c.nodes[i].free = c.nodes[i].free.Add(task.Mul(sign))
	}
}

// dropUnneededVictims removes planned evictions for claims that a later claim of the same decision
// has made unnecessary, the most expensive first.
func (c *cycle) dropUnneededVictims() {
	var dropped []*victim
	var ids []int32
	for i := range c.plan.Actions {
		a := &c.plan.Actions[i]
		if !c.claimed[a.PreemptedFor] {
			continue
		}
		if id := slices.IndexFunc(c.victims, func(v victim) bool { return v.evictedBy(a) }); id >= 0 {
			ids = append(ids, int32(id))
		}
	}
	slices.SortFunc(ids, func(a, b int32) int { return compareVictims(&c.victims[b], &c.victims[a]) })
	for _, id := range ids {
		c.takeVictims([]int32{id}, -1)
		v := &c.victims[id]
		if slices.ContainsFunc(v.nodes, func(i int) bool { return !structs.Resources{}.Fits(c.nodes[i].free.Add(c.nodes[i].releasing)) }) {
			c.takeVictims([]int32{id}, 1)
			continue
		}
		dropped = append(dropped, v)
	}
	c.plan.Actions = slices.DeleteFunc(c.plan.Actions, func(a structs.Action) bool {
		return slices.ContainsFunc(dropped, func(v *victim) bool { return v.evictedBy(&a) })
	})
}

// evictedBy reports whether the action preempts or revokes the victim.
func (v *victim) evictedBy(a *structs.Action) bool {
	if v.job != nil {
		return a.Kind == structs.ActionPreempt && v.job.ID == a.Job
	}
	return a.Kind == structs.ActionRevoke && v.grant.ID == a.GrantID
}
