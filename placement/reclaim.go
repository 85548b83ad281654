package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// reclaimMargin is how much longer than StopTimeout a step waits for the runs that were stopped for it
	// before other runs are stopped too.
	reclaimMargin = 300 * time.Millisecond
	// reclaimInterval is the least time between two searches for resources that a step could reclaim. A
	// search examines every run of less urgent jobs.
	reclaimInterval = 50 * time.Millisecond
	// batchReclaimInterval is the least time between two rounds of stops for a step that is not urgent. Units
	// scheduled first may take the room of a round; stopping more at once would only feed them.
	batchReclaimInterval = 2 * time.Second
	// reservationDelay is how long a step that is not urgent waits before resources are reserved for it.
	reservationDelay = time.Second
	// maxReservations bounds the non-urgent steps with reserved resources, because these are idle until all
	// of them have become free.
	maxReservations = 2
	// urgentLossShare and batchLossShare bound the work that may be discarded to start a step, as a
	// multiple of the step's own work.
	urgentLossShare = 5
	batchLossShare  = 0.15
	// spreadAfter is how long an urgent gang with SameRack looks for resources in a single rack only.
	spreadAfter = 1200 * time.Millisecond
	// restoreCost is the cost, in core-seconds, of stopping a checkpointing run.
	restoreCost = 10
	// unsavedWorkDelay is the share of its objective that a step that is not urgent waits before runs without
	// checkpoints are stopped for it: until then it can still meet the objective when runs end by themselves.
	unsavedWorkDelay = 0.35
	// endsSoon is the remaining time of a run that is waited for instead of stopping it. A stop takes about as
	// long.
	endsSoon = 250 * time.Millisecond
)

// reserveOrReclaim chooses and reserves resources for a unit that does not fit. It stops the runs of less
// urgent jobs that use them unless this would discard more work than lossLimit allows. It returns why the
// unit waits.
func (r *round) reserveOrReclaim(u *unit, workers []*jobstate.Worker) jobstate.WaitReason {
	if r.now.Sub(u.step.ReclaimedAt) < r.stopBound() && r.reservationHolds(u.step) {
		r.reserve(u)
		return jobstate.WaitReclaim
	}
	if u.priority > 0 && r.now.Sub(u.step.ReadyAt) < reservationDelay {
		return jobstate.WaitNoRoom
	}
	if u.priority > 0 && r.reservations >= maxReservations {
		return jobstate.WaitReservations
	}
	if r.now.Sub(u.step.ReclaimFailedAt) < reclaimInterval {
		r.keepReservation(u)
		return u.step.WaitReason // that of the search
	}
	if u.priority > 0 && r.now.Sub(u.step.ReclaimedAt) < batchReclaimInterval {
		r.keepReservation(u)
		return jobstate.WaitReclaim
	}
	targets, loss := r.cheapest(u, workers)
	if targets == nil {
		u.step.ReclaimFailedAt = r.now
		u.step.Reserved = nil
		r.plan.Blocks = append(r.plan.Blocks, Block{u.step, "not enough room that is free or can be reclaimed"})
		return jobstate.WaitNoRoom
	}
	u.step.Reserved = u.step.Reserved[:0]
	for _, t := range targets {
		u.step.Reserved = append(u.step.Reserved, jobstate.Reservation{Worker: t.worker, Tasks: t.count})
	}
	if u.priority > 0 {
		r.reservations++
	}
	if loss > r.lossLimit(u) || !r.mayStop(u, targets) {
		u.step.ReclaimFailedAt = r.now
		r.reserve(u)
		r.plan.Blocks = append(r.plan.Blocks, Block{u.step, "room is reserved; stopping the runs in it would discard too much work"})
		return jobstate.WaitLossLimit
	}
	before := len(r.plan.Stops)
	for _, t := range targets {
		for _, victim := range t.victims {
			r.preempt(victim, u)
		}
	}
	u.step.ReclaimedAt = r.now
	r.reserve(u)
	if stopped := len(r.plan.Stops) - before; stopped > 0 {
		r.plan.Reclaims = append(r.plan.Reclaims, Reclaim{Step: u.step, Waited: r.now.Sub(u.step.ReadyAt), Runs: stopped, Discarded: loss, Limit: r.lossLimit(u)})
	}
	return jobstate.WaitReclaim
}

// preempt stops the run, with its gang, for the unit.
func (r *round) preempt(run *jobstate.Run, u *unit) {
	r.stop(run, "preempted for job "+u.job.Submission.ID)
	for _, member := range gangOf(run) {
		member.Task.Preempted = true
	}
}

// keepReservation reserves again the resources that were chosen for the unit earlier, until they become
// free.
func (r *round) keepReservation(u *unit) {
	if len(u.step.Reserved) == 0 {
		return
	}
	r.reserve(u)
	if u.priority > 0 {
		r.reservations++
	}
}

// stopBound is the longest that a stop takes if neither the order nor its answer is lost.
func (r *round) stopBound() time.Duration { return r.opts.StopTimeout + reclaimMargin }

// reservationHolds reports whether the step's reserved resources are still free or becoming free. A unit
// that was scheduled first may have taken them.
func (r *round) reservationHolds(s *jobstate.Step) bool {
	for _, p := range s.Reserved {
		if !r.c.Accepts(p.Worker, r.now) || !allocationFor(s, p.Tasks).Fits(r.freeAfterStops(p.Worker, nil)) {
			return false
		}
	}
	return true
}

// freeAfterStops returns the resources on the worker that will be free once the runs that are being
// stopped, those in stopped, and those that end soon by themselves have ended. Overdue stops do not count: their order or answer was lost, so the
// time that they still take is unknown.
func (r *round) freeAfterStops(w *jobstate.Worker, stopped map[*jobstate.Run]bool) workload.Resources {
	free := r.free(w)
	for run := range w.Runs {
		stopping := run.Phase == jobstate.Stopping && r.now.Sub(run.StopRequestedAt) < r.stopBound()
		if stopping || stopped[run] || r.willEndSoon(run) {
			free = free.Add(run.Task.Step.Spec.Allocation())
		}
	}
	return free
}

// willEndSoon reports whether the run ends within endsSoon at its current rate.
func (r *round) willEndSoon(run *jobstate.Run) bool {
	left, ok := run.Remaining(r.now)
	return ok && run.Phase == jobstate.Running && left > 0 && left < endsSoon
}

// allocationFor returns the resources that the number of tasks of the step takes.
func allocationFor(s *jobstate.Step, tasks int) workload.Resources {
	var need workload.Resources
	for range tasks {
		need = need.Add(s.Spec.Allocation())
	}
	return need
}

// reserve keeps the unit's reserved resources from units that are scheduled later in this round. Not even overdue
// ones get them if the unit is within its guarantee, or while runs are being stopped for it.
func (r *round) reserve(u *unit) {
	firm := u.guaranteed || r.now.Sub(u.step.ReclaimedAt) < r.stopBound()
	for _, p := range u.step.Reserved {
		room := allocationFor(u.step, p.Tasks)
		r.reserved[p.Worker] = r.reserved[p.Worker].Add(room)
		if firm {
			r.firm[p.Worker] = r.firm[p.Worker].Add(room)
		}
	}
}

// lossLimit returns how much work, in core-seconds, may be discarded to start the unit.
func (r *round) lossLimit(u *unit) float64 {
	if u.guaranteed {
		return math.Inf(1)
	}
	spec := u.step.Spec
	work := float64(len(u.waiting)) * r.runTime(u.step, r.opts.Uses.Loss).Seconds() * spec.Demand.Cores()
	if u.priority == 0 {
		return urgentLossShare * work
	}
	return batchLossShare * work
}

// target is a number of tasks on one worker and the runs that must be stopped to free resources for them.
type target struct {
	slot
	victims []*jobstate.Run
	cost    float64
}

func gangOf(run *jobstate.Run) []*jobstate.Run {
	step := run.Task.Step
	if !step.Spec.Gang {
		return []*jobstate.Run{run}
	}
	var members []*jobstate.Run
	for _, t := range step.Tasks {
		if t.Run != nil {
			members = append(members, t.Run)
		}
	}
	return members
}

// cheapest returns the targets for all waiting tasks and their total cost, or nil if there are not
// enough resources. For a gang with SameRack it prefers a single rack, an urgent one only until
// spreadAfter.
func (r *round) cheapest(u *unit, workers []*jobstate.Worker) ([]target, float64) {
	if u.step.Spec.Gang && u.step.Spec.SameRack && (u.priority > 0 || r.now.Sub(u.step.WaitingSince) < spreadAfter) {
		var best []target
		bestCost := 0.0
		for _, k := range r.racksOf(u, workers) {
			targets, cost := r.targets(u, k.workers)
			if targets != nil && (best == nil || cost < bestCost) {
				best, bestCost = targets, cost
			}
		}
		if best != nil {
			return best, bestCost
		}
	}
	return r.targets(u, workers)
}

// targets chooses a worker for one waiting task after another, each time the one with the least cost.
func (r *round) targets(u *unit, workers []*jobstate.Worker) ([]target, float64) {
	chosen := map[*jobstate.Worker]*target{}
	stopped := map[*jobstate.Run]bool{}
	total := 0.0
	for range u.waiting {
		var best *target
		for _, w := range workers {
			t := r.extend(u, w, chosen[w], stopped)
			if t != nil && (best == nil || cheaper(t, best)) {
				best = t
			}
		}
		if best == nil {
			return nil, 0
		}
		total += best.cost
		chosen[best.worker] = best
		for _, v := range best.victims {
			for _, member := range gangOf(v) {
				stopped[member] = true
			}
		}
	}
	list := make([]target, 0, len(chosen))
	for _, t := range chosen {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	return list, total
}

func cheaper(a, b *target) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	fa, fb := a.worker.Free(), b.worker.Free()
	if fa.Accelerators != fb.Accelerators {
		return fa.Accelerators < fb.Accelerators
	}
	return a.worker.ID < b.worker.ID
}

// extend returns the worker's target, which may be nil, with one more task, or nil if that is not possible.
// The cost of the result is that of the additional task only.
func (r *round) extend(u *unit, w *jobstate.Worker, have *target, stopped map[*jobstate.Run]bool) *target {
	next := target{slot: slot{worker: w, count: 1}}
	if have != nil {
		next.count = have.count + 1
		next.victims = slices.Clone(have.victims)
	}
	if limit := u.step.Spec.MaxPerWorker; limit > 0 && next.count+present(u.step, w) > limit {
		return nil
	}
	free := r.freeAfterStops(w, stopped)
	need := allocationFor(u.step, next.count)
	if need.Fits(free) {
		return &next
	}
	for _, v := range r.victims(u, w, stopped) {
		free = free.Add(v.run.Task.Step.Spec.Allocation())
		next.victims = append(next.victims, v.run)
		next.cost += v.cost
		if need.Fits(free) {
			return &next
		}
	}
	return nil
}

type victim struct {
	run  *jobstate.Run
	cost float64
}

// victims returns the runs on the worker that may be preempted for the unit, cheapest first.
func (r *round) victims(u *unit, w *jobstate.Worker, stopped map[*jobstate.Run]bool) []victim {
	all, known := r.preemptibleOn[w]
	if !known {
		all = r.preemptible(w)
		r.preemptibleOn[w] = all
	}
	var list []victim
	for _, v := range all {
		run := v.run
		if stopped[run] || run.Phase == jobstate.Stopping || run.Task.Step.Occurrence.Priority() <= u.priority {
			continue
		}
		list = append(list, v)
	}
	return list
}

// mayStop reports whether the unit may stop the victims of the targets now. A unit that is not urgent
// stops runs without checkpoints only after unsavedWorkDelay.
func (r *round) mayStop(u *unit, targets []target) bool {
	if u.priority == 0 || r.waitedFor(u, u.step.ReadyAt, unsavedWorkDelay) {
		return true
	}
	for _, t := range targets {
		for _, victim := range t.victims {
			if !victim.Task.Step.Spec.Checkpointing {
				return false
			}
		}
	}
	return true
}

// waitedFor reports whether the given share of the unit's objective has passed since the given time.
func (r *round) waitedFor(u *unit, since time.Time, share float64) bool {
	objective := u.deadline.Sub(u.step.ReadyAt)
	return r.now.Sub(since) >= time.Duration(share*float64(objective))
}

// preemptible returns the runs on the worker that may be stopped for more urgent ones, cheapest first.
// Long-running tasks are excluded because they serve users of their own.
func (r *round) preemptible(w *jobstate.Worker) []victim {
	var list []victim
	for run := range w.Runs {
		if !r.mayPreempt(run) {
			continue
		}
		list = append(list, victim{run, r.lossOf(run)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		if d := cmp.Compare(a.cost, b.cost); d != 0 {
			return d
		}
		return cmp.Compare(a.run.Task.Name().String(), b.run.Task.Name().String())
	})
	return list
}

// mayPreempt reports whether the run may be stopped for a more urgent one.
func (r *round) mayPreempt(run *jobstate.Run) bool {
	if run.Phase == jobstate.Stopping || run.Phase == jobstate.Planned || run.Task.Run != run || run.Task.Step.Spec.LongRunning {
		return false
	}
	return !r.willEndSoon(run) && !r.endsBeforeStop(run)
}

// lossOf returns the cost, in core-seconds, of stopping the run with its gang: the work that is discarded,
// multiplied by the run number, so that the same job is not preempted again and again.
func (r *round) lossOf(run *jobstate.Run) float64 {
	loss := 0.0
	attempt := 1.0
	for _, member := range gangOf(run) {
		spec := member.Task.Step.Spec
		attempt = max(attempt, float64(member.Number))
		if spec.Checkpointing {
			loss += restoreCost
			continue
		}
		loss += r.now.Sub(member.PlannedAt).Seconds() * spec.Demand.Cores()
	}
	return loss * attempt
}
