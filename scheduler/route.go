package scheduler

import (
	"cmp"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Summary is the part of a data centre's state that routing uses.
type Summary struct {
	DataCentre       string
	Stage            structs.Stage
	Capacity         structs.Resources // total of the usable workers
	Free             structs.Resources
	Queued           structs.Resources // total demand of queued jobs
	LargestWorker    structs.Resources // capacity of the largest usable worker
	IdleWorkers      int               // usable workers with nothing placed on them
	UnusedGuarantees []state.Guarantee // guarantees, with the Count that no active or queued job uses
}

// Summarize returns the summary of d.
func Summarize(d *state.DataCentre) Summary {
	s := Summary{DataCentre: d.Name, Stage: d.Stage, Capacity: d.Capacity}
	for _, w := range d.SortedWorkers {
		if !w.Usable() {
			continue
		}
		s.Free = s.Free.Add(w.Free)
		if w.Free == w.Worker.Capacity {
			s.IdleWorkers++
		}
		if s.LargestWorker.Fits(w.Worker.Capacity) {
			s.LargestWorker = w.Worker.Capacity
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
			s.UnusedGuarantees = append(s.UnusedGuarantees, g)
		}
	}
	return s
}

// Covers reports whether the job is of the guarantee's workspace and requests one whole guaranteed
// shape.
func Covers(g *state.Guarantee, j *structs.Job) bool {
	return g.Workspace == j.Workspace && isWholeShape(g, j.Shape)
}

// Rank holds the criteria by which CompareRanks chooses a data centre for a job.
type Rank struct {
	DataCentre string        `json:"data_centre"`
	Stage      structs.Stage `json:"stage"`
	Open       bool          `json:"open"`       // the stage allows starts
	Owned      bool          `json:"owned"`      // the data centre has a known owner
	Guaranteed bool          `json:"guaranteed"` // the workspace has an unused guarantee for the shape
	FitsNow    bool          `json:"fits_now"`
	Load       float64       `json:"load"` // dominant share in use by placed and queued jobs and this one
	Home       bool          `json:"home"` // the data centre of the instance that received the job
}

// RankOf returns the rank of a data centre that has an owner. It leaves Home unset.
func RankOf(j *structs.Job, s *Summary) Rank {
	r := Rank{DataCentre: s.DataCentre, Stage: s.Stage, Open: s.Stage.AllowsStarts(), Owned: true, FitsNow: s.fits(j.Shape)}
	for k := range s.UnusedGuarantees {
		r.Guaranteed = r.Guaranteed || Covers(&s.UnusedGuarantees[k], j)
	}
	r.Load = s.Capacity.Sub(s.Free).Add(s.Queued).Add(j.Shape.Total()).DominantShare(s.Capacity)
	return r
}

// fits reports whether the shape fits into the free resources as far as the summary shows. Adjacent
// gangs need enough idle workers.
func (s *Summary) fits(shape structs.Shape) bool {
	if !shape.Total().Fits(s.Free) {
		return false
	}
	perWorker := shape.Task.CountIn(s.LargestWorker)
	return !shape.Adjacent || perWorker > 0 && (shape.Tasks+perWorker-1)/perWorker <= s.IdleWorkers
}

// CompareRanks orders data centres for a job, the best first. The criteria are, in this order:
// starts are allowed, an owner is known, the workspace has an unused guarantee for the shape, the
// job fits now, the lowest load, the data centre is that of the entry instance.
func CompareRanks(a, b Rank) int {
	return cmp.Or(
		trueFirst(a.Open, b.Open), trueFirst(a.Owned, b.Owned), trueFirst(a.Guaranteed, b.Guaranteed),
		trueFirst(a.FitsNow, b.FitsNow), cmp.Compare(a.Load, b.Load), trueFirst(a.Home, b.Home),
	)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Route returns the best data centre for a job by CompareRanks among those that allow starts and
// are large enough. Of equal ones, the first in the list is chosen. It returns false if there is
// none.
func Route(j *structs.Job, summaries []Summary) (string, bool) {
	var best *Rank
	for i := range summaries {
		s := &summaries[i]
		if !s.Stage.AllowsStarts() || !j.Shape.Total().Fits(s.Capacity) || !j.Shape.Task.Fits(s.LargestWorker) {
			continue
		}
		if r := RankOf(j, s); best == nil || CompareRanks(r, *best) < 0 {
			best = &r
		}
	}
	if best == nil {
		return "", false
	}
	return best.DataCentre, true
}
