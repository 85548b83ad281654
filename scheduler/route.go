package scheduler

import (
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Summary is what routing needs to know of a data centre.
type Summary struct {
	DataCentre string
	Stage      structs.Stage
	Capacity   structs.Resources // of usable workers
	Free       structs.Resources
	Queued     structs.Resources // what waiting jobs ask for
	Worker     structs.Resources // the largest worker
	Unused     []state.Guarantee // guarantees with the count that no job takes or waits for
}

// Summarize returns the summary of a data centre.
func Summarize(d *state.DataCentre) Summary {
	s := Summary{DataCentre: d.Name, Stage: d.Stage, Capacity: d.Capacity}
	for _, w := range d.Order {
		if !w.Usable() {
			continue
		}
		s.Free = s.Free.Add(w.Free)
		if s.Worker.Fits(w.Worker.Capacity) {
			s.Worker = w.Worker.Capacity
		}
	}
	for _, j := range d.Queue {
		s.Queued = s.Queued.Add(j.Shape.Total())
	}
	for _, g := range d.Guarantees {
		for _, jobs := range [][]*state.Job{d.Active, d.Queue} {
			for _, j := range jobs {
				if Covers(&g, &j.Job) {
					g.Count--
				}
			}
		}
		if g.Count > 0 {
			s.Unused = append(s.Unused, g)
		}
	}
	return s
}

// Covers reports whether the job asks for one whole shape of the guarantee.
func Covers(g *state.Guarantee, j *structs.Job) bool {
	return g.Workspace == j.Workspace && fills(g, j.Shape)
}

// Route chooses the data centre for a job among those that allow starts and are large
// enough: first where the job's workspace has an unused guarantee for the shape, then
// where placed and waiting work take the smallest share of the capacity. Ties go to
// the earlier summary. It reports false when there is no such data centre.
func Route(j *structs.Job, summaries []Summary) (string, bool) {
	best, found, bestUnused, bestLoad := "", false, false, 0.0
	for i := range summaries {
		s := &summaries[i]
		total := j.Shape.Total()
		if !s.Stage.AllowsStarts() || !total.Fits(s.Capacity) || !j.Shape.Task.Fits(s.Worker) {
			continue
		}
		unused := false
		for k := range s.Unused {
			unused = unused || Covers(&s.Unused[k], j)
		}
		load := s.Capacity.Sub(s.Free).Add(s.Queued).Add(total).DominantShare(s.Capacity)
		if !found || (unused && !bestUnused) || (unused == bestUnused && load < bestLoad) {
			best, found, bestUnused, bestLoad = s.DataCentre, true, unused, load
		}
	}
	return best, found
}
