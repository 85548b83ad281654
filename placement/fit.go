package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// patience is the share of a step's objective that it waits for a place where it is not
// slowed down, before it takes a slow one. It waits no longer than that place saves.
const patience = 0.35

// impatient reports whether the unit takes a place where it runs FarFactor times as long.
func (r *round) impatient(u *unit) bool {
	wait := patience * float64(u.deadline.Sub(u.step.ReadyAt))
	saved := (r.o.FarFactor - 1) * float64(u.step.Spec.Estimate)
	return r.now.Sub(u.step.WaitsSince) >= time.Duration(min(wait, saved))
}

// fitGang finds places for all waiting tasks of the gang.
func (r *round) fitGang(u *unit, workers []*jobstate.Worker) ([]slot, bool) {
	if !r.roomForAll(u, workers) {
		return nil, false
	}
	spec := u.step.Spec
	if !spec.SameRack && spec.DataRack == "" {
		return r.pack(u, workers)
	}
	if slots, ok := r.bestRack(u, workers); ok {
		return slots, true
	}
	if !r.impatient(u) {
		return nil, false
	}
	return r.pack(u, workers)
}

// roomForAll reports whether all waiting tasks fit on the workers, wherever they are.
func (r *round) roomForAll(u *unit, workers []*jobstate.Worker) bool {
	need := len(u.waiting)
	for _, w := range workers {
		if need -= countIn(u.step, r.free(w), present(u.step, w)); need <= 0 {
			return true
		}
	}
	return false
}

// bestRack returns places in the rack that is left with the least room. A rack with the
// data goes first; without SameRack only that one counts.
func (r *round) bestRack(u *unit, workers []*jobstate.Worker) ([]slot, bool) {
	spec := u.step.Spec
	racks := r.racksOf(u, workers)
	if spec.DataRack != "" {
		if slots, ok := r.pack(u, inRack(racks, spec.DataRack)); ok {
			return slots, true
		}
		if !r.impatient(u) {
			return nil, false
		}
	}
	if !spec.SameRack {
		return nil, false
	}
	var best []slot
	bestRoom := 0
	for _, k := range racks {
		slots, ok := r.pack(u, k.workers)
		if !ok {
			continue
		}
		room := 0
		for _, w := range k.workers {
			room += r.free(w).Accelerators
		}
		if best == nil || room < bestRoom {
			best, bestRoom = slots, room
		}
	}
	return best, best != nil
}

// rack is the workers of one rack, in the order of their ids.
type rack struct {
	name    string
	workers []*jobstate.Worker
}

// racksOf groups the workers, which are eligible for the unit, by rack, in the order of names.
func (r *round) racksOf(u *unit, workers []*jobstate.Worker) []rack {
	service := u.job.Route.Service
	if len(workers) < len(r.workers[service]) {
		return byRack(workers)
	}
	if r.racks[service] == nil {
		r.racks[service] = byRack(workers)
	}
	return r.racks[service]
}

func byRack(workers []*jobstate.Worker) []rack {
	place := map[string]int{}
	var racks []rack
	for _, w := range workers {
		n, known := place[w.Rack]
		if !known {
			n = len(racks)
			place[w.Rack] = n
			racks = append(racks, rack{name: w.Rack})
		}
		racks[n].workers = append(racks[n].workers, w)
	}
	slices.SortFunc(racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })
	return racks
}

// inRack returns the workers of the rack with the name.
func inRack(racks []rack, name string) []*jobstate.Worker {
	for _, k := range racks {
		if k.name == name {
			return k.workers
		}
	}
	return nil
}

// pack finds places for all waiting tasks, on the workers with the least room first.
func (r *round) pack(u *unit, workers []*jobstate.Worker) ([]slot, bool) {
	type candidate struct {
		slot
		left workload.Amount
	}
	if !r.roomForAll(u, workers) {
		return nil, false
	}
	candidates := make([]candidate, 0, len(workers))
	for _, w := range workers {
		free := r.free(w)
		n := countIn(u.step, free, present(u.step, w))
		if n == 0 {
			continue
		}
		candidates = append(candidates, candidate{slot{w, n}, free})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.left.Accelerators, b.left.Accelerators),
			cmp.Compare(a.left.MilliCPU, b.left.MilliCPU),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	need := len(u.waiting)
	var slots []slot
	for _, c := range candidates {
		n := min(need, c.count)
		slots = append(slots, slot{c.worker, n})
		if need -= n; need == 0 {
			break
		}
	}
	return slots, true
}

// best returns the worker for one task of a step that is not a gang, or nil.
func (r *round) best(u *unit, t *jobstate.Task, workers []*jobstate.Worker) *jobstate.Worker {
	spec := u.step.Spec
	room := spec.Allocation()
	preferred := preferredRack(u.step)
	near := preferred == "" || r.impatient(u)
	var best *jobstate.Worker
	var bestKey [4]int
	for _, w := range workers {
		free := r.free(w)
		if !room.Fits(free) || countIn(u.step, free, present(u.step, w)) == 0 {
			continue
		}
		far := 0
		if preferred != "" && w.Rack != preferred {
			if !near {
				continue
			}
			far = 1
		}
		failed := 0
		if t.FailedOn == w.ID {
			failed = 1
		}
		key := [4]int{failed, far, free.Accelerators, free.MilliCPU}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = w, key
		}
	}
	return best
}

// preferredRack returns the rack of the data, or that of the step's other tasks if they
// belong in one rack.
func preferredRack(s *jobstate.Step) string {
	if s.Spec.DataRack != "" {
		return s.Spec.DataRack
	}
	if !s.Spec.SameRack {
		return ""
	}
	for _, t := range s.Tasks {
		if t.Run != nil {
			return t.Run.Worker.Rack
		}
	}
	return ""
}
