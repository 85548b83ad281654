package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// reclaimPause is how long a step waits for the runs that were stopped for it before
	// others are stopped too. It covers a stop that is slow to be confirmed.
	reclaimPause = 900 * time.Millisecond
	// spreadAfter is when an urgent gang gives up waiting for one rack.
	spreadAfter = 400 * time.Millisecond
	// restoreCost is the work, in core-seconds, that stopping a run with checkpoints costs.
	restoreCost = 10
)

// makeRoom stops runs of less urgent jobs for the unit, and reserves their workers for it.
func (r *round) makeRoom(u *unit, workers []*jobstate.Worker) {
	if u.priority > 0 {
		return
	}
	targets := r.reclaim(u, workers)
	if targets == nil {
		r.plan.Blocks = append(r.plan.Blocks, Block{u.step, "no room that could be reclaimed"})
		return
	}
	room := u.step.Spec.Room()
	for _, t := range targets {
		sum := r.reserved[t.worker]
		for range t.count {
			sum = sum.Add(room)
		}
		r.reserved[t.worker] = sum
	}
}

// target is room on one worker and what must be stopped for it.
type target struct {
	slot
	victims []*jobstate.Run
	cost    float64
}

// reclaim chooses workers for the waiting tasks and stops what is in their way.
func (r *round) reclaim(u *unit, workers []*jobstate.Worker) []target {
	targets := r.cheapest(u, workers)
	if targets == nil {
		return nil
	}
	if r.now.Sub(u.step.Reclaimed) < reclaimPause {
		return targets
	}
	for _, t := range targets {
		for _, victim := range t.victims {
			r.preempt(victim, u)
		}
	}
	u.step.Reclaimed = r.now
	return targets
}

// preempt stops the run, and the whole gang if it belongs to one.
func (r *round) preempt(run *jobstate.Run, u *unit) {
	for _, member := range gangOf(run) {
		if member.Phase == jobstate.Stopping {
			continue
		}
		member.Phase = jobstate.Stopping
		member.StopReason = "room for " + u.job.Submission.ID
		r.plan.Stops = append(r.plan.Stops, member)
	}
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
func (r *round) cheapest(u *unit, workers []*jobstate.Worker) []target {
	if u.step.Spec.Gang && u.step.Spec.SameRack && r.now.Sub(u.step.ReadyAt) < spreadAfter {
		var best []target
		bestCost := 0.0
		racks := byRack(workers)
		for _, rack := range sortedKeys(racks) {
			targets, cost := r.targets(u, racks[rack])
			if targets != nil && (best == nil || cost < bestCost) {
				best, bestCost = targets, cost
			}
		}
		if best != nil {
			return best
		}
	}
	targets, _ := r.targets(u, workers)
	return targets
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
	free := r.free(w)
	for run := range w.Runs {
		if stopped[run] || run.Phase == jobstate.Stopping {
			free = free.Add(run.Task.Step.Spec.Room())
		}
	}
	var need workload.Amount
	for range next.count {
		need = need.Add(u.step.Spec.Room())
	}
	if need.Fits(free) {
		return &next
	}
	for _, v := range r.victims(u, w, stopped) {
		free = free.Add(v.run.Task.Step.Spec.Room())
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
	var list []victim
	for run := range w.Runs {
		if stopped[run] || run.Phase == jobstate.Stopping || run.Phase == jobstate.Planned || run.Task.Run != run {
			continue
		}
		if run.Task.Step.Occurrence.Job.Route.Priority <= u.priority {
			continue
		}
		list = append(list, victim{run, r.lossOf(run)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.run.Task.Name().String(), b.run.Task.Name().String()))
	})
	return list
}

// lossOf returns the core-seconds that stopping the run, with its gang, throws away.
func (r *round) lossOf(run *jobstate.Run) float64 {
	loss := 0.0
	for _, member := range gangOf(run) {
		spec := member.Task.Step.Spec
		if spec.Checkpointing {
			loss += restoreCost
			continue
		}
		loss += r.now.Sub(member.Since).Seconds() * spec.Demand.Cores()
	}
	return loss
}
