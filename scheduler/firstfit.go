package scheduler

import (
	"fmt"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// FirstFit places jobs in order of arrival on the first workers with room. It is a
// baseline: it has no guarantees, reservations or adjacency.
type FirstFit struct{}

// Decide implements Policy.
func (FirstFit) Decide(d *state.DataCentre, _ time.Time) structs.Plan {
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
		placements, ok := firstFit(d, free, j.Shape)
		if !ok {
			continue
		}
		for _, p := range placements {
			free[p.Worker] = free[p.Worker].Sub(j.Shape.Task)
		}
		plan.Actions = append(plan.Actions, structs.Action{
			Kind: structs.ActionStart, Job: j.ID, Placements: placements,
			Reason: fmt.Sprintf("first fit: %s on %d workers with room", j.Shape, len(placements)),
		})
	}
	return plan
}

func firstFit(d *state.DataCentre, free map[string]structs.Resources, s structs.Shape) ([]structs.Placement, bool) {
	placements := make([]structs.Placement, 0, s.Tasks)
	for _, w := range d.Order {
		for n := s.Task.CountIn(free[w.ID]); n > 0 && len(placements) < s.Tasks; n-- {
			placements = append(placements, structs.Placement{Task: len(placements), Worker: w.ID})
		}
	}
	return placements, len(placements) == s.Tasks
}
