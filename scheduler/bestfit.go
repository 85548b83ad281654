package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// BestFit places jobs in order of arrival on the workers that they fill best. It is a
// baseline: it has no guarantees, reservations or adjacency.
type BestFit struct{}

// Decide implements Policy.
func (BestFit) Decide(d *state.DataCentre, _ time.Time) structs.Plan {
	var plan structs.Plan
	if !d.Stage.AllowsStarts() {
		return plan
	}
	free := make(map[string]structs.Resources, len(d.Order))
	for _, w := range d.Order {
		if w.Usable() {
			free[w.ID] = w.Free
		}
	}
	for _, j := range d.Queue {
		placements, ok := bestFit(d, free, j.Shape)
		if !ok {
			continue
		}
		for _, p := range placements {
			free[p.Worker] = free[p.Worker].Sub(j.Shape.Task)
		}
		plan.Actions = append(plan.Actions, structs.Action{
			Kind: structs.ActionStart, Job: j.ID, Placements: placements,
			Reason: fmt.Sprintf("best fit: %s on the %d fullest workers with room", j.Shape, len(placements)),
		})
	}
	return plan
}

// bestFit fills the workers with the least room left first.
func bestFit(d *state.DataCentre, free map[string]structs.Resources, s structs.Shape) ([]structs.Placement, bool) {
	workers := make([]*state.Worker, 0, len(d.Order))
	for _, w := range d.Order {
		if s.Task.CountIn(free[w.ID]) > 0 {
			workers = append(workers, w)
		}
	}
	slices.SortStableFunc(workers, func(a, b *state.Worker) int {
		return cmp.Compare(free[a.ID].DominantShare(a.Worker.Capacity), free[b.ID].DominantShare(b.Worker.Capacity))
	})
	placements := make([]structs.Placement, 0, s.Tasks)
	for _, w := range workers {
		for n := s.Task.CountIn(free[w.ID]); n > 0 && len(placements) < s.Tasks; n-- {
			placements = append(placements, structs.Placement{Task: len(placements), Worker: w.ID})
		}
	}
	return placements, len(placements) == s.Tasks
}
