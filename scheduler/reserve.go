package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// minLargeShare is the dominant share of a worker from which a job with one task counts as large. A gang
// of several tasks is always large.
const minLargeShare = 0.5

// largeReservation is the reservation of a blocked large job.
type largeReservation struct {
	job     *state.Job
	nodes   []int
	startAt time.Time
	// free is what each node has left at startAt, beside the reserved job, for jobs that run beyond
	// startAt.
	free []structs.Resources
}

func (r *largeReservation) take(nodes []int, task structs.Resources) {
	for _, i := range nodes {
		r.free[i] = r.free[i].Sub(task)
	}
}

// minBackfillGain is the minimum time that a backfilled job runs on reserved resources before it is
// checkpointed for the reservation, as a multiple of its grace and restart cost.
const minBackfillGain = 4

// overlappingReservations returns the bit set of the reservations that a job started now may
// overlap. Those for which the job can be checkpointed at little cost are left out.
func (c *cycle) overlappingReservations(j *state.Job) uint {
	q, set := c.opts.StrictQuantile, uint(0)
	if j.Checkpoint {
		q = c.opts.BackfillQuantile
	}
	for k := range c.reservations {
		r := &c.reservations[k]
		cheap := r.startAt.Sub(c.now) >= minBackfillGain*(j.Grace+c.opts.RestartCost) && c.preemptibleFor(j, r.job)
		if !cheap && c.now.Add(c.remaining(j, q)).After(r.startAt) {
			set |= 1 << k
		}
	}
	return set
}

// limitByReservations limits the available resources of node i to what the reservations in the set leave.
func (c *cycle) limitByReservations(available structs.Resources, i int, set uint) structs.Resources {
	for k := range c.reservations {
		if set&(1<<k) != 0 {
			available = minResources(available, c.reservations[k].free[i])
		}
	}
	return available
}

// allReservations is the bit set of all reservations.
const allReservations = ^uint(0)

// preemptibleFor reports whether a backfilled job may be checkpointed in favour of the reserved job.
func (c *cycle) preemptibleFor(j, reserved *state.Job) bool {
	return j.Checkpoint && !j.Urgent && c.effectiveClass(j) >= c.effectiveClass(reserved) && !j.NoPreemptBefore.After(c.now)
}

// earlierReservation returns the reservation, other than a claim, that an earlier decision made for
// the job.
func (c *cycle) earlierReservation(id string) *state.Reservation {
	for i := range c.d.Reservations {
		if r := &c.d.Reservations[i]; r.Job == id && !r.Guaranteed {
			return r
		}
	}
	return nil
}

// maxForecasts limits the number of blocked jobs for which one decision makes a forecast.
const maxForecasts = 4

// reserveFor makes a reservation for a large job that could not be placed, up to MaxReservations.
// Jobs that were backfilled on the reserved nodes are checkpointed as soon as the job lacks only
// their resources.
func (c *cycle) reserveFor(j *state.Job) {
	if len(c.reservations) >= c.opts.MaxReservations || c.forecasts >= maxForecasts || c.feasible(j).Verdict != CanRun || !c.isLarge(j.Shape) {
		return
	}
	c.forecasts++
	r := c.earlierReservation(j.ID)
	backfilled := c.backfilled(j, r)
	f := c.forecastFor(j, backfilled)
	reason, promised := "", c.now
	if f.fits(nil) {
		if len(backfilled) == 0 || !c.evictBackfilled(j, f, backfilled) {
			return
		}
		reason = fmt.Sprintf("%s is given room by checkpointing backfilled jobs", j.Shape)
	} else if !f.run() || !c.canReserve(j, f.nodes) {
		return
	} else {
		promised = f.at
		reason = fmt.Sprintf("first blocked large job: %s at level %s expects room in %s", j.Shape, f.level, f.at.Sub(c.now))
		if nodes, at, ok := c.defragment(j, f.at); ok {
			f.nodes, f.at = nodes, at
			reason = fmt.Sprintf("%s is given room by moving checkpointable jobs", j.Shape)
		}
	}
	if r != nil && r.StartAt.Before(promised) {
		promised = r.StartAt
	}
	c.reservations = append(c.reservations, largeReservation{job: j, startAt: f.at, free: f.remainder(), nodes: f.nodes})
	c.addAction(structs.Action{
		Kind: structs.ActionReserve, Job: j.ID, Placements: c.placements(f.nodes), StartAt: promised, Reason: reason,
	})
	c.wakeBy(f.at)
}

// backfilled lists the victims that were started on the reserved nodes after the reservation was
// made and may be preempted for it.
func (c *cycle) backfilled(j *state.Job, r *state.Reservation) []int32 {
	if r == nil {
		return nil
	}
	reserved := c.nodesOf(r.Placements)
	var out []int32
	for id := range c.victims {
		v := &c.victims[id]
		if v.job == nil || v.taken || !v.job.StartedAt.After(r.Since) || !c.preemptibleFor(v.job, j) {
			continue
		}
		if slices.ContainsFunc(v.nodes, func(i int) bool { return slices.Contains(reserved, i) }) {
			out = append(out, int32(id))
		}
	}
	return out
}

// evictBackfilled plans the preemption of the backfilled jobs whose resources the reserved job needs.
func (c *cycle) evictBackfilled(j *state.Job, f *forecast, backfilled []int32) bool {
	best, found := reclaimOption{}, false
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
	f.nodes = c.fillReleasing(j.Shape, best.domain)
	return true
}

// evictAll plans the eviction of the victims and returns when the last of their resources are
// expected to be free.
func (c *cycle) evictAll(victims []int32, claimant string) time.Time {
	at := c.now
	c.takeVictims(victims, 1)
	for _, id := range victims {
		at = latest(at, c.evict(&c.victims[id], claimant))
	}
	return at
}

// canReserve reports whether every unmet guarantee would stay packed with the job at the nodes. A
// job that cannot be reclaimed may not start there otherwise, so a reservation would drain the
// nodes in vain.
func (c *cycle) canReserve(j *state.Job, nodes []int) bool {
	if j.Reclaimable() {
		return true
	}
	c.ensurePacked()
	s := c.save(&c.buffers.outerSavepoint)
	ok := c.takeUnreclaimable(j.Workspace, j.Shape.Task, nodes, nil)
	c.restore(s)
	return ok
}

func (c *cycle) isLarge(s structs.Shape) bool {
	if s.Tasks > 1 {
		return true
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			return s.Task.DominantShare(n.w.Worker.Capacity) >= minLargeShare
		}
	}
	return false
}

// expectedRelease is the expected release of a job's or grant's resources.
type expectedRelease struct {
	at    time.Time
	id    string
	task  structs.Resources
	nodes []int
}

// forecast computes when a gang fits, from the expected releases of active jobs and grants.
type forecast struct {
	c          *cycle
	job        *state.Job
	level      level
	free       []structs.Resources
	counts     []int
	rackTotals []int // tasks by rack
	total      int
	at         time.Time
	nodes      []int
	counted    map[string]bool // jobs whose resources are counted as free from the start
}

// forecastFor starts a forecast with the free resources and those of the backfilled victims.
func (c *cycle) forecastFor(j *state.Job, backfilled []int32) *forecast {
	f := &forecast{
		c: c, job: j, level: c.levelOf(j.Shape), at: c.now, counted: map[string]bool{},
		free: make([]structs.Resources, len(c.nodes)), counts: make([]int, len(c.nodes)), rackTotals: make([]int, len(c.racks)),
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			f.free[i] = n.free
		}
	}
	// Resources of earlier reservations are unavailable until the end of the reserved jobs.
	for k := range c.reservations {
		for _, i := range c.reservations[k].nodes {
			f.free[i] = f.free[i].Sub(c.reservations[k].job.Shape.Task)
		}
	}
	for _, id := range backfilled {
		v := &c.victims[id]
		f.counted[v.job.ID] = true
		for _, i := range v.nodes {
			f.free[i] = f.free[i].Add(v.resources())
		}
	}
	for i := range c.nodes {
		f.recount(i)
	}
	return f
}

func (f *forecast) recount(i int) {
	n := f.job.Shape.Task.CountIn(f.free[i])
	diff := n - f.counts[i]
	f.counts[i] = n
	f.rackTotals[f.c.nodes[i].rack] += diff
	f.total += diff
}

// run advances the forecast until the gang fits. It returns false if the gang never fits, or fits
// now, in which case something other than free resources blocks the job.
func (f *forecast) run() bool {
	if f.fits(nil) {
		return false
	}
	releases := f.c.expectedReleases()
	for k := range releases {
		e := &releases[k]
		if f.counted[e.id] {
			continue
		}
		for _, i := range e.nodes {
			f.free[i] = f.free[i].Add(e.task)
			f.recount(i)
		}
		if f.fits(e.nodes) {
			f.at = latest(f.c.now, e.at)
			return true
		}
	}
	return false
}

// fits looks for a domain that holds the gang and picks its nodes. With changed set, it checks only
// the domains that contain one of the changed nodes.
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
		if f.domainTotal(r) >= need {
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

func (f *forecast) domainTotal(r span) int {
	switch f.level {
	case levelWorker:
		return f.counts[r.lo]
	case levelDataCentre:
		return f.total
	}
	first, last := f.c.nodes[r.lo].rack, f.c.nodes[r.hi-1].rack
	if first == last {
		return f.rackTotals[first]
	}
	return f.rackTotals[first] + f.rackTotals[last]
}

// pick chooses the nodes of the domain that hold the most tasks.
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

// remainder returns the resources that are free at the time of the forecast, less those of the gang.
func (f *forecast) remainder() []structs.Resources {
	for _, i := range f.nodes {
		f.free[i] = f.free[i].Sub(f.job.Shape.Task)
	}
	return f.free
}

// expectedReleases returns the expected releases, the earliest first.
func (c *cycle) expectedReleases() []expectedRelease {
	if c.releases == nil || c.releasesForStarts != len(c.plannedStarts) {
		c.releases, c.releasesForStarts = c.listExpectedReleases(), len(c.plannedStarts)
	}
	return c.releases
}

func (c *cycle) listExpectedReleases() []expectedRelease {
	out := make([]expectedRelease, 0, len(c.d.Active)+len(c.grants)+len(c.plannedStarts))
	for _, j := range c.d.Active {
		e := expectedRelease{id: j.ID, task: j.Shape.Task, nodes: c.nodesOf(j.Placements)}
		if j.Status == state.Preempting || j.Cancelled {
			e.at = j.StopBy
		} else {
			e.at = c.expectedEnd(j, medianQuantile)
		}
		out = append(out, e)
	}
	for _, s := range c.plannedStarts {
		out = append(out, expectedRelease{id: s.job.ID, task: s.job.Shape.Task, nodes: s.nodes, at: c.now.Add(c.remaining(s.job, medianQuantile))})
	}
	for _, g := range c.grants {
		if i, ok := c.index[g.Worker]; ok && g.Revoking {
			out = append(out, expectedRelease{id: g.ID, task: g.PerSlot.Mul(g.Slots), nodes: []int{i}, at: g.Expires})
		}
	}
	slices.SortFunc(out, func(a, b expectedRelease) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
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

// minMoveGain is the minimum gain of a defragmentation as a multiple of the work that its moves
// lose. It is also the minimum remaining run time of a moved job as a multiple of its grace and
// restart cost.
const minMoveGain = 2

// defragment preempts up to MaxDefragMoves checkpointable jobs that fit elsewhere in favour of the
// reserved job, if the gain exceeds minMoveGain times the cost. It returns the nodes and when they
// are free.
func (c *cycle) defragment(j *state.Job, expected time.Time) ([]int, time.Time, bool) {
	if c.anyPreempting() {
		return nil, time.Time{}, false
	}
	best := reclaimOption{}
	c.domains(c.levelOf(j.Shape), func(r span) bool {
		o, ok := c.victimsFor(j.Shape, r, func(v *victim) bool { return v.job != nil && c.cheapToMove(v.job) })
		if ok && len(o.victims) > 0 && (best.victims == nil || o.cost < best.cost) {
			best = o
		}
		return true
	})
	if best.victims == nil || len(best.victims) > c.opts.MaxDefragMoves {
		return nil, time.Time{}, false
	}
	at := c.now
	for _, id := range best.victims {
		at = latest(at, c.now.Add(c.victims[id].job.Grace))
	}
	gain := expected.Sub(at).Seconds() * j.Shape.Total().DominantShare(c.d.Capacity)
	if gain <= minMoveGain*best.cost || !c.fitElsewhere(best, j) {
		return nil, time.Time{}, false
	}
	c.evictAll(best.victims, j.ID)
	return c.fillReleasing(j.Shape, best.domain), at, true
}

// anyPreempting reports whether a job is being preempted. Only one defragmentation runs at a time.
func (c *cycle) anyPreempting() bool {
	return slices.ContainsFunc(c.d.Active, func(o *state.Job) bool { return o.Status == state.Preempting })
}

// cheapToMove reports whether moving the job costs little: it can be checkpointed, is not urgent,
// was never preempted and still has to run long enough.
func (c *cycle) cheapToMove(o *state.Job) bool {
	return o.Checkpoint && c.opts.MaxDefragMoves > 0 && !o.Urgent && o.Preemptions == 0 && c.expectedEnd(o, medianQuantile).Sub(c.now) > minMoveGain*(o.Grace+c.opts.RestartCost)
}

// fitElsewhere reports whether the victims fit into free resources outside the domain. A victim as
// large as the reserved job is not moved.
func (c *cycle) fitElsewhere(o reclaimOption, j *state.Job) bool {
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
