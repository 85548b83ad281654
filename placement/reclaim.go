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
	// reclaimSlack is how much longer than a stop takes a step waits for the runs that were
	// stopped for it before others are stopped too.
	reclaimSlack = 300 * time.Millisecond
	// reclaimInterval is the least time between two searches for room that a step could reclaim,
	// which look at every run of less urgent jobs.
	reclaimInterval = 50 * time.Millisecond
	// batchPatience is how long a step that is not urgent waits before room is reserved.
	batchPatience = time.Second
	// maxReservations bounds the steps that are not urgent and have room reserved: reserved
	// room stands idle until it is complete.
	maxReservations = 2
	// urgentLossShare and batchLossShare bound the work that is thrown away for a step, as a
	// multiple of its own.
	urgentLossShare = 5
	batchLossShare  = 0.15
	// spreadAfter is when an urgent gang gives up waiting for one rack.
	spreadAfter = 1200 * time.Millisecond
	// restoreCost is the work, in core-seconds, that stopping a run with checkpoints costs.
	restoreCost = 10
)

// makeRoom chooses room for a unit that does not fit and reserves it. It stops runs of less
// urgent jobs in that room if that is worth it.
func (r *round) makeRoom(u *unit, workers []*jobstate.Worker) {
	if r.now.Sub(u.step.Reclaimed) < r.stopBound() && r.promiseHolds(u.step) {
		r.reserve(u.step)
		return
	}
	if u.priority > 0 && (r.now.Sub(u.step.ReadyAt) < batchPatience || r.reservations >= maxReservations) {
		return
	}
	if r.now.Sub(u.step.NoRoomAt) < reclaimInterval {
		r.keepReservation(u)
		return
	}
	targets, loss := r.cheapest(u, workers)
	if targets == nil {
		u.step.NoRoomAt = r.now
		u.step.Promised = nil
		r.plan.Blocks = append(r.plan.Blocks, Block{u.step, "no room that could be reclaimed"})
		return
	}
	u.step.Promised = u.step.Promised[:0]
	for _, t := range targets {
		u.step.Promised = append(u.step.Promised, jobstate.Promise{Worker: t.worker, Tasks: t.count})
	}
	r.reserve(u.step)
	if u.priority > 0 {
		r.reservations++
	}
	if loss > lossLimit(u) {
		u.step.NoRoomAt = r.now
		r.plan.Blocks = append(r.plan.Blocks, Block{u.step, "room is reserved; stopping what runs there would cost too much"})
		return
	}
	for _, t := range targets {
		for _, victim := range t.victims {
			r.stop(victim, "room for "+u.job.Submission.ID)
		}
	}
	u.step.Reclaimed = r.now
}

// keepReservation keeps the room that was chosen for a unit that waits for it to become free.
func (r *round) keepReservation(u *unit) {
	if len(u.step.Promised) == 0 {
		return
	}
	r.reserve(u.step)
	if u.priority > 0 {
		r.reservations++
	}
}

// stopBound is how long a stop takes at most when no order and no answer is lost.
func (r *round) stopBound() time.Duration { return r.o.StopTimeout + reclaimSlack }

// promiseHolds reports whether the promised room is still free or becoming free. A unit that
// goes first may have taken it.
func (r *round) promiseHolds(s *jobstate.Step) bool {
	for _, p := range s.Promised {
		if !r.c.Accepts(p.Worker, r.now) || !roomFor(s, p.Tasks).Fits(r.freeing(p.Worker, nil)) {
			return false
		}
	}
	return true
}

// freeing returns the room on the worker that is free or will be once the runs that are being
// stopped, and those in stopped, have ended. A stop that is overdue does not count: its order or
// its answer was lost, and nobody knows how long it takes.
func (r *round) freeing(w *jobstate.Worker, stopped map[*jobstate.Run]bool) workload.Amount {
	free := r.free(w)
	for run := range w.Runs {
		if stopped[run] || run.Phase == jobstate.Stopping && r.now.Sub(run.StopSince) < r.stopBound() {
			free = free.Add(run.Task.Step.Spec.Allocation())
		}
	}
	return free
}

// roomFor returns the room that a number of tasks of the step takes.
func roomFor(s *jobstate.Step, tasks int) workload.Amount {
	var need workload.Amount
	for range tasks {
		need = need.Add(s.Spec.Allocation())
	}
	return need
}

// reserve keeps the promised room from units that come later in this round.
func (r *round) reserve(s *jobstate.Step) {
	for _, p := range s.Promised {
		r.reserved[p.Worker] = r.reserved[p.Worker].Add(roomFor(s, p.Tasks))
	}
}

// lossLimit returns how much work, in core-seconds, may be thrown away for the unit.
func lossLimit(u *unit) float64 {
	if u.guaranteed {
		return math.Inf(1)
	}
	spec := u.step.Spec
	work := float64(len(u.waiting)) * spec.Estimate.Seconds() * spec.Demand.Cores()
	if u.priority == 0 {
		return urgentLossShare * work
	}
	return batchLossShare * work
}

// target is room on one worker and what must be stopped for it.
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

// cheapest returns targets for all waiting tasks: in one rack if that is possible and
// wanted, else anywhere.
func (r *round) cheapest(u *unit, workers []*jobstate.Worker) ([]target, float64) {
	if u.step.Spec.Gang && u.step.Spec.SameRack && (u.priority > 0 || r.now.Sub(u.step.WaitsSince) < spreadAfter) {
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

// targets chooses, one task at a time, the worker where room costs the least.
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

// extend returns a target with one task more on the worker, or nil. cost is that of the
// additional task only.
func (r *round) extend(u *unit, w *jobstate.Worker, have *target, stopped map[*jobstate.Run]bool) *target {
	next := target{slot: slot{worker: w, count: 1}}
	if have != nil {
		next.count = have.count + 1
		next.victims = slices.Clone(have.victims)
	}
	if limit := u.step.Spec.MaxPerWorker; limit > 0 && next.count+present(u.step, w) > limit {
		return nil
	}
	free := r.freeing(w, stopped)
	need := roomFor(u.step, next.count)
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

// victims returns the runs on the worker that may be stopped for the unit, cheapest first.
func (r *round) victims(u *unit, w *jobstate.Worker, stopped map[*jobstate.Run]bool) []victim {
	all, known := r.losses[w]
	if !known {
		all = r.lossesOn(w)
		r.losses[w] = all
	}
	var list []victim
	for _, v := range all {
		run := v.run
		if stopped[run] || run.Phase == jobstate.Stopping || run.Task.Step.Occurrence.Job.Route.Priority <= u.priority {
			continue
		}
		list = append(list, v)
	}
	return list
}

// lossesOn returns the runs on the worker that may be stopped for more urgent ones, cheapest
// first. What serves users of its own is not taken away.
func (r *round) lossesOn(w *jobstate.Worker) []victim {
	var list []victim
	for run := range w.Runs {
		if run.Phase == jobstate.Stopping || run.Phase == jobstate.Planned || run.Task.Run != run || run.Task.Step.Spec.LongRunning {
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

// lossOf returns the core-seconds that stopping the run, with its gang, throws away. It
// counts more for what was stopped before, so that the same job is not hit again and again.
func (r *round) lossOf(run *jobstate.Run) float64 {
	loss := 0.0
	again := 1.0
	for _, member := range gangOf(run) {
		spec := member.Task.Step.Spec
		again = max(again, float64(member.Number))
		if spec.Checkpointing {
			loss += restoreCost
			continue
		}
		loss += r.now.Sub(member.Since).Seconds() * spec.Demand.Cores()
	}
	return loss * again
}
