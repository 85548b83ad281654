package scheduler

import (
	"cmp"

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
	Whole      int               // workers that are wholly free
	Unused     []state.Guarantee // guarantees with the count that no job takes or waits for
}

// Summarize returns the summary of a data centre.
func Summarize(d *state.DataCentre) Summary {
	s := Summary{DataCentre: d.Name, Stage: d.Stage, Capacity: d.Capacity}
	for _, w := range d.SortedWorkers {
		if !w.Usable() {
			continue
		}
		s.Free = s.Free.Add(w.Free)
		if w.Free == w.Worker.Capacity {
			s.Whole++
		}
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

// Rank is what the choice of a data centre for a job rests on.
type Rank struct {
	DataCentre string        `json:"data_centre"`
	Stage      structs.Stage `json:"stage"`
	Open       bool          `json:"open"`       // the stage allows starts
	Owned      bool          `json:"owned"`      // an owner is known
	Guaranteed bool          `json:"guaranteed"` // the workspace has an unused guarantee for the shape
	FitsNow    bool          `json:"fits_now"`
	Load       float64       `json:"load"` // share of the capacity that placed and waiting work takes with the job
	Home       bool          `json:"home"` // the data centre of the entry instance
}

// RankOf returns the rank of a data centre that has an owner.
func RankOf(j *structs.Job, s *Summary) Rank {
	r := Rank{DataCentre: s.DataCentre, Stage: s.Stage, Open: s.Stage.AllowsStarts(), Owned: true, FitsNow: s.fits(j.Shape)}
	for k := range s.Unused {
		r.Guaranteed = r.Guaranteed || Covers(&s.Unused[k], j)
	}
	r.Load = s.Capacity.Sub(s.Free).Add(s.Queued).Add(j.Shape.Total()).DominantShare(s.Capacity)
	return r
}

// fits reports whether the shape seems to fit into the free room. Adjacent gangs count
// on workers that are wholly free.
func (s *Summary) fits(shape structs.Shape) bool {
	if !shape.Total().Fits(s.Free) {
		return false
	}
	perWorker := shape.Task.CountIn(s.Worker)
	return !shape.Adjacent || perWorker > 0 && (shape.Tasks+perWorker-1)/perWorker <= s.Whole
}

// CompareRanks orders data centres for a job, the best first: those that allow starts, those
// with an owner, those where the workspace has an unused guarantee for the shape, those where
// it fits now, the least load, the entry instance's own.
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

// Route chooses the data centre for a job by CompareRanks among those that allow starts and
// are large enough. Ties go to the earlier summary. It reports false when there is none.
func Route(j *structs.Job, summaries []Summary) (string, bool) {
	var best *Rank
	for i := range summaries {
		s := &summaries[i]
		if !s.Stage.AllowsStarts() || !j.Shape.Total().Fits(s.Capacity) || !j.Shape.Task.Fits(s.Worker) {
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
