package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// largeShare is the part of a worker from which on a job counts as large.
const largeShare = 0.5

// shadow is the reservation of a blocked large job.
type shadow struct {
	job     *state.Job
	nodes   []int
	startAt time.Time
	// free is the room of each node at startAt that the reservation leaves to jobs that
	// run beyond it.
	free []structs.Resources
}

func (s *shadow) take(nodes []int, task structs.Resources) {
	for _, i := range nodes {
		s.free[i] = s.free[i].Sub(task)
	}
}

// lendGain is how many times the cost of its checkpoint and restart a job must be able to
// run on reserved room before the reservation starts.
const lendGain = 4

// runsInto returns the reservations, as a set of bits, that a job which starts now may
// still run into, unless it can be checkpointed in their favour then at little cost.
func (c *cycle) runsInto(j *state.Job) uint {
	q, set := c.opts.StrictQuantile, uint(0)
	if j.Checkpoint {
		q = c.opts.BackfillQuantile
	}
	for k := range c.shadows {
		s := &c.shadows[k]
		cheap := s.startAt.Sub(c.now) >= lendGain*(j.Grace+c.opts.RestartCost) && c.yields(j, s.job)
		if !cheap && c.now.Add(c.remaining(j, q)).After(s.startAt) {
			set |= 1 << k
		}
	}
	return set
}

// beside limits the room of node i to what the reservations in the set leave.
func (c *cycle) beside(room structs.Resources, i int, set uint) structs.Resources {
	for k := range c.shadows {
		if set&(1<<k) != 0 {
			room = least(room, c.shadows[k].free[i])
		}
	}
	return room
}

// allShadows is the set of all reservations.
const allShadows = ^uint(0)

// yields reports whether a backfilled job may be checkpointed in favour of the reserved
// one.
func (c *cycle) yields(j, reserved *state.Job) bool {
	return j.Checkpoint && !j.Urgent && c.rank(j) >= c.rank(reserved) && !j.NoPreemptBefore.After(c.now)
}

// reservation returns the reservation that an earlier decision made for the job.
func (c *cycle) reservation(id string) *state.Reservation {
	for i := range c.d.Reservations {
		if r := &c.d.Reservations[i]; r.Job == id && !r.Guaranteed {
			return r
		}
	}
	return nil
}

// maxForecasts bounds the blocked jobs that one decision looks at for a reservation.
const maxForecasts = 4

// blocked gives the first large job that found no room a reservation. Jobs that were
// backfilled on its room are checkpointed as soon as nothing else is in the way.
func (c *cycle) blocked(j *state.Job) {
	if len(c.shadows) >= c.opts.MaxReservations || c.forecasts >= maxForecasts || c.feasible(j).Verdict != CanRun || !c.large(j.Shape) {
		return
	}
	c.forecasts++
	r := c.reservation(j.ID)
	backfilled := c.backfilled(j, r)
	f := c.forecastFor(j, backfilled)
	reason, promised := "", c.now
	if f.fits(nil) {
		if len(backfilled) == 0 || !c.evictBackfilled(j, f, backfilled) {
			return
		}
		reason = fmt.Sprintf("%s is given room by checkpointing backfilled jobs", j.Shape)
	} else if !f.run() || !c.mayHold(j, f.nodes) {
		return
	} else {
		promised = f.at
		reason = fmt.Sprintf("first blocked large job: %s at level %s expects room in %s", j.Shape, f.level, f.at.Sub(c.now))
		if nodes, at, ok := c.moveFor(j, f.at); ok {
			f.nodes, f.at = nodes, at
			reason = fmt.Sprintf("%s is given room by moving checkpointable jobs", j.Shape)
		}
	}
	if r != nil && r.StartAt.Before(promised) {
		promised = r.StartAt
	}
	c.shadows = append(c.shadows, shadow{job: j, startAt: f.at, free: f.left(), nodes: f.nodes})
	c.act(structs.Action{
		Kind: structs.ActionReserve, Job: j.ID, Placements: c.placements(f.nodes), StartAt: promised, Reason: reason,
	})
	c.wake(f.at)
}

// backfilled lists the victims that were started on the room of the reservation since it
// was made and yield to it.
func (c *cycle) backfilled(j *state.Job, r *state.Reservation) []int32 {
	if r == nil {
		return nil
	}
	reserved := c.nodesOf(r.Placements)
	var out []int32
	for id := range c.victims {
		v := &c.victims[id]
		if v.job == nil || v.taken || !v.job.StartedAt.After(r.Since) || !c.yields(v.job, j) {
			continue
		}
		if slices.ContainsFunc(v.nodes, func(i int) bool { return slices.Contains(reserved, i) }) {
			out = append(out, int32(id))
		}
	}
	return out
}

// evictBackfilled preempts the backfilled jobs that the reserved job needs to start.
func (c *cycle) evictBackfilled(j *state.Job, f *forecast, backfilled []int32) bool {
	best, found := option{}, false
	c.domains(f.level, func(r span) bool {
		o, ok := c.victimsFor(j.Shape, r, func(v *victim) bool {
			return slices.ContainsFunc(backfilled, func(id int32) bool { return v == &c.victims[id] })
		})
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
		return true
	})
	if !found || len(best.victims) == 0 {
		return false
	}
	f.at = c.evictAll(best.victims, j.ID)
	f.nodes = c.fillLeaving(j.Shape, best.domain)
	return true
}

// evictAll plans the preemption of the victims and returns when the last has left.
func (c *cycle) evictAll(victims []int32, claimant string) time.Time {
	at := c.now
	c.takeVictims(victims, 1)
	for _, id := range victims {
		at = latest(at, c.evict(&c.victims[id], claimant))
	}
	return at
}

// mayHold reports whether the job would leave every unmet guarantee packed at the nodes. A
// job that cannot be reclaimed and would not must not drain them in vain.
func (c *cycle) mayHold(j *state.Job, nodes []int) bool {
	if j.Reclaimable() {
		return true
	}
	c.ensurePacked()
	s := c.save(&c.buffers.outer)
	ok := c.takeFixed(j.Workspace, j.Shape.Task, nodes, nil)
	c.restore(s)
	return ok
}

func (c *cycle) large(s structs.Shape) bool {
	if s.Tasks > 1 {
		return true
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			return s.Task.DominantShare(n.w.Worker.Capacity) >= largeShare
		}
	}
	return false
}

// ending is room that is expected to come free.
type ending struct {
	at    time.Time
	id    string
	task  structs.Resources
	nodes []int
}

// forecast finds when a gang fits, by the expected ends of the active jobs.
type forecast struct {
	c      *cycle
	job    *state.Job
	level  level
	room   []structs.Resources
	counts []int
	sums   []int // by rack
	total  int
	at     time.Time
	nodes  []int
	known  map[string]bool // jobs whose room is counted from the beginning
}

// forecastFor starts a forecast from the free room and that of the backfilled victims.
func (c *cycle) forecastFor(j *state.Job, backfilled []int32) *forecast {
	f := &forecast{
		c: c, job: j, level: c.levelOf(j.Shape), at: c.now, known: map[string]bool{},
		room: make([]structs.Resources, len(c.nodes)), counts: make([]int, len(c.nodes)), sums: make([]int, len(c.racks)),
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			f.room[i] = n.free
		}
	}
	// Room of earlier reservations is out of reach until their jobs have ended.
	for k := range c.shadows {
		for _, i := range c.shadows[k].nodes {
			f.room[i] = f.room[i].Sub(c.shadows[k].job.Shape.Task)
		}
	}
	for _, id := range backfilled {
		v := &c.victims[id]
		f.known[v.job.ID] = true
		for _, i := range v.nodes {
			f.room[i] = f.room[i].Add(v.room())
		}
	}
	for i := range c.nodes {
		f.recount(i)
	}
	return f
}

func (f *forecast) recount(i int) {
	n := f.job.Shape.Task.CountIn(f.room[i])
	diff := n - f.counts[i]
	f.counts[i] = n
	f.sums[f.c.nodes[i].rack] += diff
	f.total += diff
}

// run advances the forecast until the gang fits. It returns false if it fits now, so
// that something else than room blocks the job, or never.
func (f *forecast) run() bool {
	if f.fits(nil) {
		return false
	}
	ends := f.c.endings()
	for k := range ends {
		e := &ends[k]
		if f.known[e.id] {
			continue
		}
		for _, i := range e.nodes {
			f.room[i] = f.room[i].Add(e.task)
			f.recount(i)
		}
		if f.fits(e.nodes) {
			f.at = latest(f.c.now, e.at)
			return true
		}
	}
	return false
}

// fits looks for a domain that holds the gang: among all domains, or those that contain
// one of the changed nodes.
func (f *forecast) fits(changed []int) bool {
	need := f.job.Shape.Tasks
	if f.total < need {
		return false
	}
	found := span{}
	f.c.domains(f.level, func(r span) bool {
		if changed != nil && !slices.ContainsFunc(changed, func(i int) bool { return i >= r.lo && i < r.hi }) {
			return true
		}
		if f.sum(r) >= need {
			found = r
		}
		return found.hi == 0
	})
	if found.hi == 0 {
		return false
	}
	f.pick(found)
	return true
}

func (f *forecast) sum(r span) int {
	switch f.level {
	case levelWorker:
		return f.counts[r.lo]
	case levelDataCentre:
		return f.total
	}
	first, last := f.c.nodes[r.lo].rack, f.c.nodes[r.hi-1].rack
	if first == last {
		return f.sums[first]
	}
	return f.sums[first] + f.sums[last]
}

// pick fills the emptiest nodes of the domain.
func (f *forecast) pick(r span) {
	order := make([]int, 0, r.hi-r.lo)
	for i := r.lo; i < r.hi; i++ {
		if f.counts[i] > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(f.counts[b], f.counts[a]) })
	f.nodes = f.nodes[:0]
	for _, i := range order {
		for n := min(f.counts[i], f.job.Shape.Tasks-len(f.nodes)); n > 0; n-- {
			f.nodes = append(f.nodes, i)
		}
	}
}

// left is the room at the time of the forecast without the gang.
func (f *forecast) left() []structs.Resources {
	for _, i := range f.nodes {
		f.room[i] = f.room[i].Sub(f.job.Shape.Task)
	}
	return f.room
}

// endings lists the room that comes free, soonest first.
func (c *cycle) endings() []ending {
	if c.ends == nil || c.endsBegun != len(c.begun) {
		c.ends, c.endsBegun = c.listEndings(), len(c.begun)
	}
	return c.ends
}

func (c *cycle) listEndings() []ending {
	out := make([]ending, 0, len(c.d.Active)+len(c.grants)+len(c.begun))
	for _, j := range c.d.Active {
		e := ending{id: j.ID, task: j.Shape.Task, nodes: c.nodesOf(j.Placements)}
		if j.Status == state.Preempting || j.Cancelled {
			e.at = j.StopBy
		} else {
			e.at = c.endOf(j, medianQuantile)
		}
		out = append(out, e)
	}
	for _, b := range c.begun {
		out = append(out, ending{id: b.job.ID, task: b.job.Shape.Task, nodes: b.nodes, at: c.now.Add(c.remaining(b.job, medianQuantile))})
	}
	for _, g := range c.grants {
		if i, ok := c.index[g.Worker]; ok && g.Revoking {
			out = append(out, ending{id: g.ID, task: g.PerSlot.Mul(g.Slots), nodes: []int{i}, at: g.Expires})
		}
	}
	slices.SortFunc(out, func(a, b ending) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	return out
}

func (c *cycle) nodesOf(placements []structs.Placement) []int {
	out := make([]int, 0, len(placements))
	for _, p := range placements {
		if i, ok := c.index[p.Worker]; ok && c.nodes[i].usable {
			out = append(out, i)
		}
	}
	return out
}

// moveGain is how many times the work lost by moves the gain must be.
const moveGain = 2

// moveFor preempts a few checkpointable jobs that fit elsewhere in favour of the reserved
// job, if it gains more than the moves cost. It returns the room and when it is free.
func (c *cycle) moveFor(j *state.Job, expected time.Time) ([]int, time.Time, bool) {
	if c.moving() {
		return nil, time.Time{}, false
	}
	best := option{}
	c.domains(c.levelOf(j.Shape), func(r span) bool {
		o, ok := c.victimsFor(j.Shape, r, func(v *victim) bool { return v.job != nil && c.movable(v.job) })
		if ok && len(o.victims) > 0 && (best.victims == nil || o.cost < best.cost) {
			best = o
		}
		return true
	})
	if best.victims == nil || len(best.victims) > c.opts.MaxMoves {
		return nil, time.Time{}, false
	}
	at := c.now
	for _, id := range best.victims {
		at = latest(at, c.now.Add(c.victims[id].job.Grace))
	}
	gain := expected.Sub(at).Seconds() * j.Shape.Total().DominantShare(c.d.Capacity)
	if gain <= moveGain*best.cost || !c.fitElsewhere(best, j) {
		return nil, time.Time{}, false
	}
	c.evictAll(best.victims, j.ID)
	return c.fillLeaving(j.Shape, best.domain), at, true
}

// moving reports whether jobs are leaving already; one defragmentation runs at a time.
func (c *cycle) moving() bool {
	return slices.ContainsFunc(c.d.Active, func(o *state.Job) bool { return o.Status == state.Preempting })
}

// movable reports whether a move of the job costs little: it is short of its end and has
// not been preempted before.
func (c *cycle) movable(o *state.Job) bool {
	return o.Checkpoint && c.opts.MaxMoves > 0 && !o.Urgent && o.Preemptions == 0 && c.endOf(o, medianQuantile).Sub(c.now) > moveGain*(o.Grace+c.opts.RestartCost)
}

// fitElsewhere reports whether the victims fit on free room outside the domain.
func (c *cycle) fitElsewhere(o option, j *state.Job) bool {
	used := make([]structs.Resources, len(c.nodes))
	for _, id := range o.victims {
		v := &c.victims[id]
		nodes, ok := c.place(v.job.Shape, func(n *node) structs.Resources {
			i := c.index[n.w.ID]
			if i >= o.domain.lo && i < o.domain.hi {
				return structs.Resources{}
			}
			return n.free.Sub(used[i])
		})
		if !ok || v.job.Shape.Tasks >= j.Shape.Tasks*v.job.Shape.Task.CountIn(j.Shape.Task) {
			return false
		}
		for _, i := range nodes {
			used[i] = used[i].Add(v.job.Shape.Task)
		}
	}
	return true
}
