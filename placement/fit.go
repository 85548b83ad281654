package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// rackWaitShare is the share of a step's objective that it waits for free resources in its preferred rack
// before it accepts another one. The wait is also limited to the run time that the preferred rack saves.
const rackWaitShare = 0.35

// acceptsOtherRack reports whether the unit has waited long enough to accept workers outside its
// preferred rack, where it runs FarFactor times as long, or has nothing to wait for.
func (r *round) acceptsOtherRack(u *unit) bool {
	return r.now.Sub(u.step.WaitingSince) >= r.rackWait(u) || !r.rackMayFit(u)
}

// rackMayFit reports whether the unit could run in its preferred rack or, for a gang without one, in any single
// rack, if everything else there ended. Workers that are only avoided count: they are back soon.
func (r *round) rackMayFit(u *unit) bool {
	preferred, need := preferredRack(u.step), 1
	if u.step.Spec.Gang {
		need = len(u.waiting)
	}
	room := map[string]int{}
	for _, w := range r.c.SortedWorkers() {
		if w.Service != u.job.Route.Service || preferred != "" && w.Rack != preferred {
			continue
		}
		if !w.HasLabel(u.step.Spec.Label) || !r.c.Available(w, r.now) {
			continue
		}
		if room[w.Rack] += countIn(u.step, w.Capacity, 0); room[w.Rack] >= need {
			return true
		}
	}
	return false
}

// rackWait returns how long the unit waits for its preferred rack. Outside it the unit would hold its resources
// FarFactor times as long. Where room is kept and other units wait for it, the unit waits for as long as it can still
// meet its objective in the rack.
func (r *round) rackWait(u *unit) time.Duration {
	objective := u.deadline.Sub(u.step.ReadyAt)
	expected := r.runTime(u.step, r.opts.Uses.Rack)
	saved := time.Duration((r.opts.FarFactor - 1) * float64(expected))
	wait := min(time.Duration(rackWaitShare*float64(objective)), saved)
	if !r.keepsRoom() || !r.contended[u.job.Route.Service] {
		return wait
	}
	return max(wait, min(saved, objective-expected))
}

// fitGang assigns all waiting tasks of the gang to workers. It returns nil and the reason if they have to
// wait.
func (r *round) fitGang(u *unit, workers []*jobstate.Worker) ([]slot, jobstate.WaitReason) {
	if !r.allFit(u, workers) {
		return nil, jobstate.WaitNoRoom
	}
	spec := u.step.Spec
	if spec.SameRack || spec.DataRack != "" {
		if slots, ok := r.bestRack(u, workers); ok {
			return slots, jobstate.WaitUndecided
		}
		if !r.acceptsOtherRack(u) {
			return nil, jobstate.WaitPreferredRack
		}
	}
	slots, _ := r.pack(u, workers)
	return slots, jobstate.WaitUndecided
}

// allFit reports whether all waiting tasks fit on the workers, in any racks.
func (r *round) allFit(u *unit, workers []*jobstate.Worker) bool {
	need := len(u.waiting)
	for _, w := range workers {
		if need -= countIn(u.step, r.free(w), present(u.step, w)); need <= 0 {
			return true
		}
	}
	return false
}

// bestRack assigns the gang to one rack: the rack of its data if the gang fits there, else, for a gang
// with SameRack that accepts another rack, the one with the fewest free accelerators among those where it
// fits.
func (r *round) bestRack(u *unit, workers []*jobstate.Worker) ([]slot, bool) {
	spec := u.step.Spec
	racks := r.racksOf(u, workers)
	if spec.DataRack != "" {
		if slots, ok := r.pack(u, inRack(racks, spec.DataRack)); ok {
			return slots, true
		}
		if !r.acceptsOtherRack(u) {
			return nil, false
		}
	}
	if !spec.SameRack {
		return nil, false
	}
	var best []slot
	leastFree := 0
	claimed := r.claimedBy(u.priority)
	for _, k := range racks {
		slots, ok := r.pack(u, k.workers)
		if !ok {
			continue
		}
		free := 0
		for _, w := range k.workers {
			if claimed != nil {
				free += r.unclaimed(w, claimed)
				continue
			}
			free += r.free(w).Accelerators
		}
		if best == nil || free < leastFree {
			best, leastFree = slots, free
		}
	}
	return best, best != nil
}

// rack holds the workers of one rack, ordered by id.
type rack struct {
	name    string
	workers []*jobstate.Worker
}

// racksOf groups the workers eligible for the unit by rack, ordered by name. If all workers of the
// service are eligible, the groups are computed once per round.
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
	index := map[string]int{}
	var racks []rack
	for _, w := range workers {
		n, known := index[w.Rack]
		if !known {
			n = len(racks)
			index[w.Rack] = n
			racks = append(racks, rack{name: w.Rack})
		}
		racks[n].workers = append(racks[n].workers, w)
	}
	slices.SortFunc(racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })
	return racks
}

// inRack returns the workers of the named rack, or nil.
func inRack(racks []rack, name string) []*jobstate.Worker {
	for _, k := range racks {
		if k.name == name {
			return k.workers
		}
	}
	return nil
}

// pack assigns all waiting tasks, filling the workers with the least free resources first (best fit).
func (r *round) pack(u *unit, workers []*jobstate.Worker) ([]slot, bool) {
	if !r.allFit(u, workers) {
		return nil, false
	}
	return r.packInto(u, workers, len(u.waiting), r.free)
}

// packInto assigns the number of tasks of the unit to the workers, whose free resources room returns. Workers of which
// runs that the unit may not preempt already use the most come first.
func (r *round) packInto(u *unit, workers []*jobstate.Worker, need int, room func(*jobstate.Worker) workload.Resources) ([]slot, bool) {
	type candidate struct {
		slot
		left      workload.Resources
		unclaimed int // percent
	}
	claimed := r.claimedBy(u.priority)
	candidates := make([]candidate, 0, len(workers))
	for _, w := range workers {
		free := room(w)
		n := countIn(u.step, free, present(u.step, w))
		if n == 0 {
			continue
		}
		candidates = append(candidates, candidate{slot{w, n}, free, r.unclaimed(w, claimed)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.unclaimed, b.unclaimed),
			cmp.Compare(a.left.Accelerators, b.left.Accelerators),
			cmp.Compare(a.left.MilliCPU, b.left.MilliCPU),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var slots []slot
	for _, c := range candidates {
		n := min(need, c.count)
		slots = append(slots, slot{c.worker, n})
		if need -= n; need == 0 {
			return slots, true
		}
	}
	return nil, false
}

// bestWorker returns the worker for one task of a step that is not a gang, or nil and the reason. It
// prefers workers other than the one where the task failed last, then the preferred rack, then the least
// free resources.
func (r *round) bestWorker(u *unit, t *jobstate.Task, workers []*jobstate.Worker) (*jobstate.Worker, jobstate.WaitReason) {
	spec := u.step.Spec
	allocation := spec.Allocation()
	preferred := preferredRack(u.step)
	anyRack := preferred == "" || r.acceptsOtherRack(u)
	var best *jobstate.Worker
	var bestKey [5]int
	claimed := r.claimedBy(u.priority)
	wait, kept := jobstate.WaitNoRoom, false
	for _, w := range workers {
		free := r.free(w)
		if !allocation.Fits(free) || countIn(u.step, free, present(u.step, w)) == 0 {
			continue
		}
		if r.breaksRoom(u, w, free) {
			kept = true
			continue
		}
		outside := 0
		if preferred != "" && w.Rack != preferred {
			if !anyRack {
				wait = jobstate.WaitPreferredRack
				continue
			}
			outside = 1
		}
		failed := 0
		if t.FailedOn == w.ID {
			failed = 1
		}
		key := [5]int{failed, outside, r.unclaimed(w, claimed), free.Accelerators, free.MilliCPU}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = w, key
		}
	}
	switch {
	case best != nil:
		wait = jobstate.WaitUndecided
	case kept:
		wait = jobstate.WaitRoomForGang
	}
	return best, wait
}

// preferredRack returns the rack of the step's data or, for a step with SameRack, the rack of its tasks
// that have a run. It is empty if there is no preference.
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
