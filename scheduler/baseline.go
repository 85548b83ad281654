package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// FirstFit places jobs in order of arrival on the first workers with enough free resources. It is a
// baseline for comparison: it ignores guarantees, reservations and adjacency.
type FirstFit struct{}

// Decide implements Policy.
func (FirstFit) Decide(d *state.DataCentre, _ time.Time) structs.Plan {
	return planInArrivalOrder(d, "first fit", func(freeByWorker, structs.Shape) []*state.Worker { return d.SortedWorkers })
}

// BestFit places jobs in order of arrival on the workers with the least free resources that still hold
// a task. It is a baseline for comparison: it ignores guarantees, reservations and adjacency.
type BestFit struct{}

// Decide implements Policy.
func (BestFit) Decide(d *state.DataCentre, _ time.Time) structs.Plan {
	return planInArrivalOrder(d, "best fit", func(free freeByWorker, s structs.Shape) []*state.Worker { return fullestFirst(d, free, s) })
}

// freeByWorker holds the free resources of each usable worker, less the starts planned so far.
type freeByWorker map[string]structs.Resources

// planInArrivalOrder starts the jobs that fit, in order of arrival. The function workers returns the
// workers to use for a shape, in the order in which they are filled.
func planInArrivalOrder(d *state.DataCentre, name string, workers func(freeByWorker, structs.Shape) []*state.Worker) structs.Plan {
	var plan structs.Plan
	if !d.Stage.AllowsStarts() {
		return plan
	}
	free := make(freeByWorker, len(d.SortedWorkers))
	for _, w := range d.SortedWorkers {
		if w.Usable() {
			free[w.ID] = w.Free
		}
	}
	for _, j := range d.Queue {
		placements, ok := fillWorkers(workers(free, j.Shape), free, j.Shape)
		if !ok {
			continue
		}
		for _, p := range placements {
			free[p.Worker] = free[p.Worker].Sub(j.Shape.Task)
		}
		plan.Actions = append(plan.Actions, structs.Action{
			Kind: structs.ActionStart, Job: j.ID, Placements: placements,
			Reason: fmt.Sprintf("%s: %s on %d workers with room", name, j.Shape, len(placements)),
		})
	}
	return plan
}

// fillWorkers puts as many tasks on each worker as fit, in the given order. It reports whether all fit.
func fillWorkers(workers []*state.Worker, free freeByWorker, s structs.Shape) ([]structs.Placement, bool) {
	placements := make([]structs.Placement, 0, s.Tasks)
	for _, w := range workers {
		for n := s.Task.CountIn(free[w.ID]); n > 0 && len(placements) < s.Tasks; n-- {
			placements = append(placements, structs.Placement{Task: len(placements), Worker: w.ID})
		}
	}
	return placements, len(placements) == s.Tasks
}

// fullestFirst returns the workers on which a task fits, those with the least free resources first.
func fullestFirst(d *state.DataCentre, free freeByWorker, s structs.Shape) []*state.Worker {
	workers := make([]*state.Worker, 0, len(d.SortedWorkers))
	for _, w := range d.SortedWorkers {
		if s.Task.CountIn(free[w.ID]) > 0 {
			workers = append(workers, w)
		}
	}
	slices.SortStableFunc(workers, func(a, b *state.Worker) int {
		return cmp.Compare(free[a.ID].DominantShare(a.Worker.Capacity), free[b.ID].DominantShare(b.Worker.Capacity))
	})
	return workers
}
