package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// victim is a running job or a slot grant whose resources can be reclaimed. One of job and grant is set.
type victim struct {
	job   *state.Job
	grant *state.Grant
	cost  float64 // work lost, in seconds of the data centre's whole capacity
	nodes []int   // one per task
	unit  structs.Resources
	units int // units held: the slots of a grant, 1 for a job on each node
	taken bool
}

func (v *victim) resources() structs.Resources { return v.unit.Mul(v.units) }

// grantRevokeLoss is the time counted as lost when a grant is revoked. Its requests finish, so that
// only the capacity unused until the grant expires is lost.
const grantRevokeLoss = time.Second

func grantCost(g *state.Grant, capacity structs.Resources) float64 {
	return g.PerSlot.Mul(g.Slots).DominantShare(capacity) * grantRevokeLoss.Seconds()
}

// workLost returns the work lost by a preemption of the job: the run since its last checkpoint or,
// for a job that can be checkpointed, at most the grace and the restart cost.
func (c *cycle) workLost(j *state.Job) float64 {
	lost := c.now.Sub(j.CheckpointAt)
	if j.Checkpoint {
		lost = min(lost, j.Grace+c.opts.RestartCost)
	}
	return max(lost, 0).Seconds() * j.Shape.Total().DominantShare(c.d.Capacity)
}

// compareVictims orders victims by work lost, the least first. Equal jobs are ordered youngest
// first, grants by ID, and a grant comes before a job.
func compareVictims(a, b *victim) int {
	if n := cmp.Compare(a.cost, b.cost); n != 0 {
		return n
	}
	if a.job != nil && b.job != nil {
		return cmp.Or(b.job.StartedAt.Compare(a.job.StartedAt), cmp.Compare(a.job.ID, b.job.ID))
	}
	if a.grant != nil && b.grant != nil {
		return cmp.Compare(a.grant.ID, b.grant.ID)
	}
	return compareBool(a.job != nil, b.job != nil)
}

func (c *cycle) addVictim(v victim) {
	id := int32(len(c.victims))
	c.victims = append(c.victims, v)
	for k, i := range v.nodes {
		if slices.Contains(v.nodes[:k], i) {
			continue
		}
		at, _ := slices.BinarySearchFunc(c.victimsByNode[i], id, func(a, b int32) int {
			return compareVictims(&c.victims[a], &c.victims[b])
		})
		c.victimsByNode[i] = slices.Insert(c.victimsByNode[i], at, id)
	}
}

// reclaimOption is a set of victims whose eviction frees enough resources for a gang in a domain.
type reclaimOption struct {
	domain  span
	victims []int32
	cost    float64
}

// maxReclaimOptions is the number of domains that a reclaim tries before it uses the nodes on which the
// guarantee is packed.
const maxReclaimOptions = 4

// reclaim claims resources for a job inside its workspace's guarantee and plans the evictions that
// this needs. It changes nothing if it returns false.
func (c *cycle) reclaim(j *state.Job, asg *assignment) bool {
	c.ensurePacked()
	old := c.assignments[j.Workspace]
	s := c.save(&c.buffers.outerSavepoint)
	c.releaseDisplaced(old, asg)
	remaining := &assignment{guarantees: old.guarantees, charged: old.charged, covered: map[string]bool{}}
	for id := range old.covered {
		if asg.covered[id] {
			remaining.covered[id] = true
		}
	}
	c.assignments[j.Workspace] = remaining
	for _, o := range c.reclaimOptions(j.Shape) {
		if c.claimOption(j, asg, o) {
			return true
		}
	}
	if c.claimPacked(j, asg) {
		return true
	}
	c.restore(s)
	c.assignments[j.Workspace] = old
	return false
}

// reclaimOptions lists the domains with the lowest cost for the shape, with their victims.
func (c *cycle) reclaimOptions(shape structs.Shape) []reclaimOption {
	var out []reclaimOption
	c.domains(c.levelOf(shape), func(r span) bool {
		if o, ok := c.victimsFor(shape, r, anyVictim); ok {
			out = append(out, o)
		}
		return true
	})
	slices.SortStableFunc(out, func(a, b reclaimOption) int { return cmp.Compare(a.cost, b.cost) })
	return out[:min(len(out), maxReclaimOptions)]
}

// victimSearch is a greedy search for victims within one domain.
type victimSearch struct {
	c         *cycle
	shape     structs.Shape
	domain    span
	allow     func(*victim) bool
	available []structs.Resources // free, releasing and victims' resources, by node of the domain
	counts    []int
	total     int
	chosen    []int32
	steps     []victimStep // cached results of cheapestStep by node
}

// victimStep is a set of victims on a node whose eviction lets it hold more tasks.
type victimStep struct {
	victims []int32
	cost    float64 // per task gained
	current bool
}

func anyVictim(*victim) bool { return true }

// victimsFor finds a set of victims with low cost whose eviction lets r hold the shape. No victim
// of the set can be left out. Only victims that allow accepts are used.
func (c *cycle) victimsFor(shape structs.Shape, r span, allow func(*victim) bool) (reclaimOption, bool) {
	s := victimSearch{c: c, shape: shape, domain: r, allow: allow}
	s.available = make([]structs.Resources, r.hi-r.lo)
	s.counts = make([]int, r.hi-r.lo)
	s.steps = make([]victimStep, r.hi-r.lo)
	upperBound := 0
	for i := r.lo; i < r.hi; i++ {
		n := &c.nodes[i]
		if !n.usable {
			continue
		}
		s.available[i-r.lo] = n.free.Add(n.releasing)
		s.counts[i-r.lo] = shape.Task.CountIn(s.available[i-r.lo])
		s.total += s.counts[i-r.lo]
		upperBound += shape.Task.CountIn(n.available())
	}
	if upperBound < shape.Tasks {
		return reclaimOption{}, false
	}
	for s.total < shape.Tasks {
		if !s.takeCheapest() {
			return reclaimOption{}, false
		}
	}
	s.prune()
	o := reclaimOption{domain: r, victims: s.chosen}
	for _, id := range s.chosen {
		o.cost += c.victims[id].cost
	}
	return o, true
}

// takeCheapest takes the next victims on the node with the least cost per task gained.
func (s *victimSearch) takeCheapest() bool {
	best := -1
	for k := range s.steps {
		if !s.steps[k].current {
			s.steps[k] = s.cheapestStep(k)
		}
		if len(s.steps[k].victims) > 0 && (best < 0 || s.steps[k].cost < s.steps[best].cost) {
			best = k
		}
	}
	if best < 0 {
		return false
	}
	for _, id := range s.steps[best].victims {
		s.chosen = append(s.chosen, id)
		s.adjust(id, 1)
	}
	return true
}

// adjust adds (sign 1) or subtracts (sign -1) the victim's resources.
func (s *victimSearch) adjust(id int32, sign int) {
	v := &s.c.victims[id]
	for _, i := range v.nodes {
		if i < s.domain.lo || i >= s.domain.hi {
			continue
		}
		k := i - s.domain.lo
		s.available[k] = s.available[k].Add(v.resources().Mul(sign))
		count := s.shape.Task.CountIn(s.available[k])
		s.total += count - s.counts[k]
		s.counts[k] = count
		s.steps[k].current = false
	}
}

// cheapestStep returns the cheapest victims on node k of the domain that together let it hold at least
// one more task. The result has no victims if there are none.
func (s *victimSearch) cheapestStep(k int) victimStep {
	out := victimStep{current: true}
	i := s.domain.lo + k
	if !s.c.nodes[i].usable {
		return out
	}
	available, cost := s.available[k], 0.0
	var ids []int32
	for _, id := range s.c.victimsByNode[i] {
		v := &s.c.victims[id]
		if v.taken || slices.Contains(s.chosen, id) || !s.allow(v) {
			continue
		}
		for _, at := range v.nodes {
			if at == i {
				available = available.Add(v.resources())
			}
		}
		ids, cost = append(ids, id), cost+v.cost
		if gain := min(s.shape.Task.CountIn(available)-s.counts[k], s.shape.Tasks); gain > 0 {
			out.victims, out.cost = ids, cost/float64(gain)
			return out
		}
	}
	return out
}

// prune drops victims that are not needed, the most expensive first.
func (s *victimSearch) prune() {
	order := slices.Clone(s.chosen)
	slices.SortFunc(order, func(a, b int32) int { return compareVictims(&s.c.victims[b], &s.c.victims[a]) })
	for _, id := range order {
		s.adjust(id, -1)
		if s.total < s.shape.Tasks {
			s.adjust(id, 1)
			continue
		}
		s.chosen = slices.DeleteFunc(s.chosen, func(o int32) bool { return o == id })
	}
}

// claimOption claims the domain of an option and plans the eviction of its victims.
func (c *cycle) claimOption(j *state.Job, asg *assignment, o reclaimOption) bool {
	c.takeVictims(o.victims, 1)
	nodes := c.fillReleasing(j.Shape, o.domain)
	if nodes == nil || !c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, asg) {
		c.takeVictims(o.victims, -1)
		return false
	}
	c.commitClaim(j, nodes, o.victims)
	return true
}

// fillReleasing picks nodes of the domain by their free and releasing resources.
func (c *cycle) fillReleasing(s structs.Shape, r span) []int {
	counts := make([]int, len(c.nodes))
	for i := r.lo; i < r.hi; i++ {
		if n := &c.nodes[i]; n.usable {
			counts[i] = min(s.Task.CountIn(n.free.Add(n.releasing)), s.Tasks)
		}
	}
	losses := lossCache{c: c, task: s.Task, losses: map[lossKey]float64{}}
	nodes, _ := c.fillDomain(s, r, counts, &losses)
	return nodes
}

// claimPacked claims nodes on which the workspace's own guarantee is packed, so that the other
// guarantees stay packed. If that fails, it packs again without the resources of jobs that are
// still starting, which cannot be preempted yet.
func (c *cycle) claimPacked(j *state.Job, asg *assignment) bool {
	if c.claimFromPacking(j, asg) {
		return true
	}
	for i := range c.nodes {
		n := &c.nodes[i]
		n.reclaimable = n.reclaimable.Sub(n.starting)
	}
	c.packAll()
	complete := c.unpacked.tasks == 0
	for i := range c.nodes {
		n := &c.nodes[i]
		n.reclaimable = n.reclaimable.Add(n.starting)
	}
	return complete && c.claimFromPacking(j, asg)
}

func (c *cycle) claimFromPacking(j *state.Job, asg *assignment) bool {
	for _, p := range slices.Clone(c.packing) {
		nodes := c.packedNodesFor(j.Shape, &p)
		if p.workspace != j.Workspace || p.slots || nodes == nil {
			continue
		}
		victims, ok := c.victimsAt(nodes, j.Shape.Task)
		if !ok {
			continue
		}
		c.takeVictims(victims, 1)
		if c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, asg) {
			c.commitClaim(j, nodes, victims)
			return true
		}
		c.takeVictims(victims, -1)
	}
	return false
}

// packedNodesFor returns nodes of the packed demand that hold the shape within one of its domains,
// or nil.
func (c *cycle) packedNodesFor(s structs.Shape, p *packedDemand) []int {
	if !s.Task.Fits(p.shape.Task) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(p.nodes))
	for k := 0; k+s.Tasks <= len(sorted); k++ {
		if part := sorted[k : k+s.Tasks]; c.inOneDomain(s, part) {
			return part
		}
	}
	return nil
}

// victimsAt finds victims whose eviction makes room for one task per entry of nodes.
func (c *cycle) victimsAt(nodes []int, task structs.Resources) ([]int32, bool) {
	need, available := map[int]structs.Resources{}, map[int]structs.Resources{}
	for _, i := range nodes {
		need[i] = need[i].Add(task)
		available[i] = c.nodes[i].free.Add(c.nodes[i].releasing)
	}
	var chosen []int32
	for _, i := range nodes {
		for _, id := range c.victimsByNode[i] {
			if need[i].Fits(available[i]) {
				break
			}
			if c.victims[id].taken || slices.Contains(chosen, id) {
				continue
			}
			chosen = append(chosen, id)
			for _, at := range c.victims[id].nodes {
				available[at] = available[at].Add(c.victims[id].resources())
			}
		}
		if !need[i].Fits(available[i]) {
			return nil, false
		}
	}
	return c.pruneVictimsAt(need, available, chosen), true
}

// pruneVictimsAt drops victims that the nodes do not need, the most expensive first.
func (c *cycle) pruneVictimsAt(need, available map[int]structs.Resources, chosen []int32) []int32 {
	order := slices.Clone(chosen)
	slices.SortFunc(order, func(a, b int32) int { return compareVictims(&c.victims[b], &c.victims[a]) })
	for _, id := range order {
		v := &c.victims[id]
		for _, at := range v.nodes {
			available[at] = available[at].Sub(v.resources())
		}
		needed := slices.ContainsFunc(v.nodes, func(at int) bool { return !need[at].Fits(available[at]) })
		if !needed {
			chosen = slices.DeleteFunc(chosen, func(o int32) bool { return o == id })
			continue
		}
		for _, at := range v.nodes {
			available[at] = available[at].Add(v.resources())
		}
	}
	return chosen
}

// takeVictims moves the victims' resources from reclaimable to releasing, or back with sign -1.
func (c *cycle) takeVictims(ids []int32, sign int) {
	for _, id := range ids {
		v := &c.victims[id]
		v.taken = sign > 0
		resources := v.resources().Mul(sign)
		for _, i := range v.nodes {
			n := &c.nodes[i]
			n.reclaimable, n.releasing = n.reclaimable.Sub(resources), n.releasing.Add(resources)
			if v.job != nil && !c.reclaimsQuickly(&v.job.Job) {
				n.slowReclaimable = n.slowReclaimable.Sub(resources)
			}
		}
	}
}

// commitClaim plans the evictions for a claim and reserves its nodes. If the nodes are free, it
// starts the job.
func (c *cycle) commitClaim(j *state.Job, nodes []int, victims []int32) {
	if len(victims) == 0 && !slices.ContainsFunc(nodes, func(i int) bool { return c.nodes[i].overcommitted() }) {
		c.start(j, nodes, true, "inside the guarantee of "+j.Workspace)
		return
	}
	startAt := c.now
	for _, id := range victims {
		startAt = latest(startAt, c.evict(&c.victims[id], j.ID))
	}
	for _, i := range nodes {
		for _, o := range c.d.Active {
			if o.Status == state.Preempting && slices.ContainsFunc(o.Placements, func(p structs.Placement) bool { return p.Worker == c.nodes[i].w.ID }) {
				startAt = latest(startAt, o.StopBy)
			}
		}
	}
	c.reserveClaim(claim{job: j, nodes: nodes, startAt: startAt}, fmt.Sprintf("claim inside the guarantee of %s: room kept while %d victims leave", j.Workspace, len(victims)))
}

// evict plans the preemption or revocation of a victim and returns when its resources are expected
// to be free.
func (c *cycle) evict(v *victim, claimant string) time.Time {
	if v.grant != nil {
		c.addAction(structs.Action{
			Kind: structs.ActionRevoke, GrantID: v.grant.ID, Instance: v.grant.Instance, Worker: v.grant.Worker, Service: v.grant.Service,
			Slots: v.grant.Slots, PreemptedFor: claimant, Reason: "slots reclaimed for " + claimant,
		})
		return v.grant.Expires
	}
	j := v.job
	var grace time.Duration
	if j.Checkpoint {
		grace = j.Grace
	}
	c.addAction(structs.Action{
		Kind: structs.ActionPreempt, Job: j.ID, Checkpoint: j.Checkpoint, Grace: grace, PreemptedFor: claimant,
		Reason: fmt.Sprintf("room of %s reclaimed for %s: running since %s, %.4f capacity seconds lost", j.Shape, claimant, c.now.Sub(j.StartedAt), v.cost),
	})
	return c.now.Add(grace)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
