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

// shadow is the reservation of the first blocked large job.
type shadow struct {
	job     *state.Job
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

// runsInto reports whether a job that starts now may still run when the reservation
// starts.
func (c *cycle) runsInto(j *state.Job) bool {
	if c.shadow == nil {
		return false
	}
	q := c.opts.StrictQuantile
	if j.Checkpoint {
		q = c.opts.BackfillQuantile
	}
	return c.now.Add(c.remaining(j, q)).After(c.shadow.startAt)
}

// reservation returns the reservation that an earlier decision made for the job.
func (c *cycle) reservation(id string) *state.Reservation {
	for i := range c.d.Reservations {
		if r := &c.d.Reservations[i]; r.Job == id && !r.Claim {
			return r
		}
	}
	return nil
}

// blocked gives the first large job that found no room a reservation.
func (c *cycle) blocked(j *state.Job) {
	if c.shadow != nil || c.feasible(j).Verdict != CanRun || !c.large(j.Shape) {
		return
	}
	f := c.forecastFor(j)
	if !f.run() {
		return
	}
	r := c.reservation(j.ID)
	promised := f.at
	if r != nil && r.StartAt.Before(promised) {
		promised = r.StartAt
	}
	reason := fmt.Sprintf("first blocked large job: %s at level %s expects room in %s", j.Shape, f.level, f.at.Sub(c.now))
	if nodes, at, ok := c.moveFor(j, f.at, promised); ok {
		f.pin(nodes, at)
		reason = fmt.Sprintf("%s is given room by moving checkpointable jobs", j.Shape)
	}
	c.shadow = &shadow{job: j, startAt: f.at, free: f.left()}
	c.act(structs.Action{
		Kind: structs.ActionReserve, Job: j.ID, Placements: c.placements(f.nodes), StartAt: promised, Reason: reason,
	})
	c.wake(f.at)
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
}

func (c *cycle) forecastFor(j *state.Job) *forecast {
	f := &forecast{
		c: c, job: j, level: c.levelOf(j.Shape), at: c.now,
		room: make([]structs.Resources, len(c.nodes)), counts: make([]int, len(c.nodes)), sums: make([]int, len(c.racks)),
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			f.room[i] = n.free
			f.recount(i)
		}
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

// pin replaces the forecast by nodes whose room comes free at a known time.
func (f *forecast) pin(nodes []int, at time.Time) {
	f.nodes, f.at = nodes, at
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

// moveFor preempts jobs in favour of the reserved job: backfilled jobs that overran the
// promised start, or a few checkpointable jobs that fit elsewhere, if the waiting job
// gains more than the moves cost. It returns the room and when it is free.
func (c *cycle) moveFor(j *state.Job, expected, promised time.Time) ([]int, time.Time, bool) {
	overdue := !promised.After(c.now)
	allow := func(v *victim) bool {
		return v.job != nil && v.job.Checkpoint && (overdue && c.overran(v.job, j) || c.movable(v.job))
	}
	if c.moving() {
		return nil, time.Time{}, false
	}
	best := option{}
	c.domains(c.levelOf(j.Shape), func(r span) bool {
		if o, ok := c.victimsFor(j.Shape, r, allow); ok && len(o.victims) > 0 && (best.victims == nil || o.cost < best.cost) {
			best = o
		}
		return true
	})
	if best.victims == nil {
		return nil, time.Time{}, false
	}
	at := c.now
	moves := 0
	for _, id := range best.victims {
		v := &c.victims[id]
		at = latest(at, c.now.Add(v.job.Grace))
		if !overdue || !c.overran(v.job, j) {
			moves++
		}
	}
	gain := expected.Sub(at).Seconds() * j.Shape.Total().DominantShare(c.d.Capacity)
	if moves > 0 && (moves > c.opts.MaxMoves || gain <= moveGain*best.cost || !c.fitElsewhere(best, j)) || gain <= 0 {
		return nil, time.Time{}, false
	}
	c.takeVictims(best.victims, 1)
	nodes := c.fillLeaving(j.Shape, best.domain)
	for _, id := range best.victims {
		c.evict(&c.victims[id], j.ID)
	}
	return nodes, at, true
}

// moving reports whether jobs are leaving already; one defragmentation runs at a time.
func (c *cycle) moving() bool {
	return slices.ContainsFunc(c.d.Active, func(o *state.Job) bool { return o.Status == state.Preempting })
}

// overran reports whether the active job was backfilled before the reserved job and has
// run longer than the backfill assumed.
func (c *cycle) overran(o, reserved *state.Job) bool {
	if !o.StartedAt.After(reserved.QueuedAt) {
		return false
	}
	whole := c.d.RunTimes.Quantile(o.Service, o.Workspace, o.Declared, c.opts.BackfillQuantile)
	return !c.now.Before(o.StartedAt.Add(max(whole-o.Progress, minRunTime)))
}

// movable reports whether a move of the job costs little: it is short of its end and has
// not been preempted before.
func (c *cycle) movable(o *state.Job) bool {
	return c.opts.MaxMoves > 0 && !o.Urgent && o.Preemptions == 0 && c.endOf(o, medianQuantile).Sub(c.now) > moveGain*(o.Grace+c.opts.RestartCost)
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
