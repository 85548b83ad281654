package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// victim is a running job or a slot grant whose room can be reclaimed.
type victim struct {
	job   *state.Job
	grant *state.Grant
	cost  float64 // work lost, in capacity seconds
	nodes []int   // one per task
	size  structs.Resources
	count int // times size on each node
	taken bool
}

func (v *victim) room() structs.Resources { return v.size.Mul(v.count) }

// grantLoss is the work counted as lost when a grant is revoked: its requests finish, and
// only the room stays unused until the grant expires.
const grantLoss = time.Second

func grantCost(g *state.Grant, capacity structs.Resources) float64 {
	return g.PerSlot.Mul(g.Slots).DominantShare(capacity) * grantLoss.Seconds()
}

// workLost is the work that a preemption of the job loses: the checkpoint and the restart,
// or the whole run since the last checkpoint.
func (c *cycle) workLost(j *state.Job) float64 {
	lost := c.now.Sub(j.CheckpointAt)
	if j.Checkpoint {
		lost = min(lost, j.Grace+c.opts.RestartCost)
	}
	return max(lost, 0).Seconds() * j.Shape.Total().DominantShare(c.d.Capacity)
}

// compareVictims orders by least work lost, youngest first among equals.
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
		at, _ := slices.BinarySearchFunc(c.on[i], id, func(a, b int32) int {
			return compareVictims(&c.victims[a], &c.victims[b])
		})
		c.on[i] = slices.Insert(c.on[i], at, id)
	}
}

// option is a set of victims whose leaving makes room for a gang in a domain.
type option struct {
	domain  span
	victims []int32
	cost    float64
}

// maxOptions is how many domains a reclaim tries before it uses the room that the
// packing keeps for the guarantee.
const maxOptions = 4

// reclaim claims room for a job inside its workspace's guarantee and plans the
// preemptions that it needs.
func (c *cycle) reclaim(j *state.Job, m *match) bool {
	c.ensurePacked()
	old := c.matches[j.Workspace]
	s := c.save(&c.buffers.outer)
	c.displace(old, m)
	rest := &match{lines: old.lines, charged: old.charged, jobs: map[string]bool{}}
	for id := range old.jobs {
		if m.jobs[id] {
			rest.jobs[id] = true
		}
	}
	c.matches[j.Workspace] = rest
	for _, o := range c.options(j.Shape) {
		if c.claimOption(j, m, o) {
			return true
		}
	}
	if c.claimKept(j, m) {
		return true
	}
	c.restore(s)
	c.matches[j.Workspace] = old
	return false
}

// options lists the cheapest domains for the shape with their victims.
func (c *cycle) options(shape structs.Shape) []option {
	var out []option
	c.domains(c.levelOf(shape), func(r span) bool {
		if o, ok := c.victimsFor(shape, r, anyVictim); ok {
			out = append(out, o)
		}
		return true
	})
	slices.SortStableFunc(out, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return out[:min(len(out), maxOptions)]
}

// search looks for victims within one domain.
type search struct {
	c      *cycle
	shape  structs.Shape
	r      span
	allow  func(*victim) bool
	room   []structs.Resources // by node of the domain
	counts []int
	sum    int
	chosen []int32
	steps  []step // cheapest next victims by node
}

// step is a set of victims on a node that lets it hold more tasks.
type step struct {
	victims []int32
	cost    float64 // per task gained
	fresh   bool
}

func anyVictim(*victim) bool { return true }

// victimsFor finds a minimal set of cheap victims that makes room for the shape in r.
func (c *cycle) victimsFor(shape structs.Shape, r span, allow func(*victim) bool) (option, bool) {
	s := search{c: c, shape: shape, r: r, allow: allow}
	s.room = make([]structs.Resources, r.hi-r.lo)
	s.counts = make([]int, r.hi-r.lo)
	s.steps = make([]step, r.hi-r.lo)
	most := 0
	for i := r.lo; i < r.hi; i++ {
		n := &c.nodes[i]
		if !n.usable {
			continue
		}
		s.room[i-r.lo] = n.free.Add(n.leaving)
		s.counts[i-r.lo] = shape.Task.CountIn(s.room[i-r.lo])
		s.sum += s.counts[i-r.lo]
		most += shape.Task.CountIn(n.room())
	}
	if most < shape.Tasks {
		return option{}, false
	}
	for s.sum < shape.Tasks {
		if !s.advance() {
			return option{}, false
		}
	}
	s.prune()
	o := option{domain: r, victims: s.chosen}
	for _, id := range s.chosen {
		o.cost += c.victims[id].cost
	}
	return o, true
}

// advance takes the victims of the node that gains a task at the least cost.
func (s *search) advance() bool {
	best := -1
	for k := range s.steps {
		if !s.steps[k].fresh {
			s.steps[k] = s.stepAt(k)
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
		s.change(id, 1)
	}
	return true
}

// change adds (sign 1) or removes (sign -1) the victim's room.
func (s *search) change(id int32, sign int) {
	v := &s.c.victims[id]
	for _, i := range v.nodes {
		if i < s.r.lo || i >= s.r.hi {
			continue
		}
		k := i - s.r.lo
		s.room[k] = s.room[k].Add(v.room().Mul(sign))
		count := s.shape.Task.CountIn(s.room[k])
		s.sum += count - s.counts[k]
		s.counts[k] = count
		s.steps[k].fresh = false
	}
}

func (s *search) stepAt(k int) step {
	out := step{fresh: true}
	i := s.r.lo + k
	if !s.c.nodes[i].usable {
		return out
	}
	room, cost := s.room[k], 0.0
	var ids []int32
	for _, id := range s.c.on[i] {
		v := &s.c.victims[id]
		if v.taken || slices.Contains(s.chosen, id) || !s.allow(v) {
			continue
		}
		for _, at := range v.nodes {
			if at == i {
				room = room.Add(v.room())
			}
		}
		ids, cost = append(ids, id), cost+v.cost
		if gain := min(s.shape.Task.CountIn(room)-s.counts[k], s.shape.Tasks); gain > 0 {
			out.victims, out.cost = ids, cost/float64(gain)
			return out
		}
	}
	return out
}

// prune returns victims that are not needed, the most expensive first.
func (s *search) prune() {
	order := slices.Clone(s.chosen)
	slices.SortFunc(order, func(a, b int32) int { return compareVictims(&s.c.victims[b], &s.c.victims[a]) })
	for _, id := range order {
		s.change(id, -1)
		if s.sum < s.shape.Tasks {
			s.change(id, 1)
			continue
		}
		s.chosen = slices.DeleteFunc(s.chosen, func(o int32) bool { return o == id })
	}
}

// claimOption claims the room of an option.
func (c *cycle) claimOption(j *state.Job, m *match, o option) bool {
	c.takeVictims(o.victims, 1)
	nodes := c.fillLeaving(j.Shape, o.domain)
	if nodes == nil || !c.takeFixed(j.Workspace, j.Shape.Task, nodes, m) {
		c.takeVictims(o.victims, -1)
		return false
	}
	c.commitClaim(j, nodes, o.victims)
	return true
}

// fillLeaving picks nodes of the domain by their free and leaving room.
func (c *cycle) fillLeaving(s structs.Shape, r span) []int {
	counts := make([]int, len(c.nodes))
	for i := r.lo; i < r.hi; i++ {
		if n := &c.nodes[i]; n.usable {
			counts[i] = min(s.Task.CountIn(n.free.Add(n.leaving)), s.Tasks)
		}
	}
	losses := lossCache{c: c, task: s.Task, known: map[lossKey]float64{}}
	nodes, _ := c.fillDomain(s, r, counts, &losses)
	return nodes
}

// claimKept claims the room that the packing keeps for the workspace's own guarantee.
// That room leaves the other guarantees packed. If the packing relies on jobs that are
// still starting, it is tried again without their room.
func (c *cycle) claimKept(j *state.Job, m *match) bool {
	if c.claimPieces(j, m) {
		return true
	}
	for i := range c.nodes {
		n := &c.nodes[i]
		n.lent = n.lent.Sub(n.starting)
	}
	c.packAll()
	complete := c.unpacked.tasks == 0
	for i := range c.nodes {
		n := &c.nodes[i]
		n.lent = n.lent.Add(n.starting)
	}
	return complete && c.claimPieces(j, m)
}

func (c *cycle) claimPieces(j *state.Job, m *match) bool {
	for _, p := range slices.Clone(c.pieces) {
		nodes := c.partFor(j.Shape, &p)
		if p.ws != j.Workspace || p.slots || nodes == nil {
			continue
		}
		victims, ok := c.victimsAt(nodes, j.Shape.Task)
		if !ok {
			continue
		}
		c.takeVictims(victims, 1)
		if c.takeFixed(j.Workspace, j.Shape.Task, nodes, m) {
			c.commitClaim(j, nodes, victims)
			return true
		}
		c.takeVictims(victims, -1)
	}
	return false
}

// partFor returns nodes of the piece that hold the shape within one of its domains.
func (c *cycle) partFor(s structs.Shape, p *piece) []int {
	if !s.Task.Fits(p.shape.Task) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(p.nodes))
	for k := 0; k+s.Tasks <= len(sorted); k++ {
		if part := sorted[k : k+s.Tasks]; c.within(s, part) {
			return part
		}
	}
	return nil
}

// victimsAt finds victims that make room for one task at each of the nodes.
func (c *cycle) victimsAt(nodes []int, task structs.Resources) ([]int32, bool) {
	need, room := map[int]structs.Resources{}, map[int]structs.Resources{}
	for _, i := range nodes {
		need[i] = need[i].Add(task)
		room[i] = c.nodes[i].free.Add(c.nodes[i].leaving)
	}
	var chosen []int32
	for _, i := range nodes {
		for _, id := range c.on[i] {
			if need[i].Fits(room[i]) {
				break
			}
			if c.victims[id].taken || slices.Contains(chosen, id) {
				continue
			}
			chosen = append(chosen, id)
			for _, at := range c.victims[id].nodes {
				room[at] = room[at].Add(c.victims[id].room())
			}
		}
		if !need[i].Fits(room[i]) {
			return nil, false
		}
	}
	return c.neededAt(need, room, chosen), true
}

// neededAt drops victims without which the nodes have room, the most expensive first.
func (c *cycle) neededAt(need, room map[int]structs.Resources, chosen []int32) []int32 {
	order := slices.Clone(chosen)
	slices.SortFunc(order, func(a, b int32) int { return compareVictims(&c.victims[b], &c.victims[a]) })
	for _, id := range order {
		v := &c.victims[id]
		for _, at := range v.nodes {
			room[at] = room[at].Sub(v.room())
		}
		short := slices.ContainsFunc(v.nodes, func(at int) bool { return !need[at].Fits(room[at]) })
		if !short {
			chosen = slices.DeleteFunc(chosen, func(o int32) bool { return o == id })
			continue
		}
		for _, at := range v.nodes {
			room[at] = room[at].Add(v.room())
		}
	}
	return chosen
}

// takeVictims moves the victims' room from lent to leaving, or back with sign -1.
func (c *cycle) takeVictims(ids []int32, sign int) {
	for _, id := range ids {
		v := &c.victims[id]
		v.taken = sign > 0
		room := v.room().Mul(sign)
		for _, i := range v.nodes {
			n := &c.nodes[i]
			n.lent, n.leaving = n.lent.Sub(room), n.leaving.Add(room)
			if v.job != nil && !c.quick(&v.job.Job) {
				n.slow = n.slow.Sub(room)
			}
		}
	}
}

// commitClaim plans the preemptions of a claim and keeps its room.
func (c *cycle) commitClaim(j *state.Job, nodes []int, victims []int32) {
	if len(victims) == 0 && !slices.ContainsFunc(nodes, func(i int) bool { return c.nodes[i].overdrawn() }) {
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
	c.holdClaim(claim{job: j, nodes: nodes, startAt: startAt}, fmt.Sprintf("claim inside the guarantee of %s: room kept while %d victims leave", j.Workspace, len(victims)))
}

// evict plans the preemption of a victim and returns when its room comes free.
func (c *cycle) evict(v *victim, claimant string) time.Time {
	if v.grant != nil {
		c.act(structs.Action{
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
	c.act(structs.Action{
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
