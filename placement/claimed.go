package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// slowStop is the StopTimeout from which on room is kept for gangs by packing. Where runs stop sooner, room that is made
// by preemption comes in time, and packing by free resources alone leaves more to choose from.
const slowStop = 500 * time.Millisecond

// keepsRoom reports whether placements keep room for gangs that wait or may come.
func (r *round) keepsRoom() bool { return r.opts.StopTimeout >= slowStop }

// claimedBy returns, by worker, the resources of the runs that a unit of the given priority may not preempt: those of
// jobs that are as urgent or more so.
// Packing them onto few workers keeps the others whole for gangs, for which room is made by preemption. It returns
// nil if no room is kept.
func (r *round) claimedBy(priority int) map[*jobstate.Worker]workload.Resources {
	if !r.keepsRoom() {
		return nil
	}
	if claimed, known := r.claimed[priority]; known {
		return claimed
	}
	claimed := map[*jobstate.Worker]workload.Resources{}
	for _, w := range r.c.Workers {
		var sum workload.Resources
		for run := range w.Runs {
			if run.Task.Step.Occurrence.Priority() <= priority {
				sum = sum.Add(run.Task.Step.Spec.Allocation())
			}
		}
		if sum != (workload.Resources{}) {
			claimed[w] = sum
		}
	}
	if r.claimed == nil {
		r.claimed = map[int]map[*jobstate.Worker]workload.Resources{}
	}
	r.claimed[priority] = claimed
	return claimed
}

// addClaim updates the results of claimedBy after a run was planned.
func (r *round) addClaim(u *unit, w *jobstate.Worker) {
	for priority, claimed := range r.claimed {
		if u.priority <= priority {
			claimed[w] = claimed[w].Add(u.step.Spec.Allocation())
		}
	}
}

// unclaimed returns unclaimedShare with the claims of units of the priority, or 0 for all workers if no room is kept.
func (r *round) unclaimed(w *jobstate.Worker, claimed map[*jobstate.Worker]workload.Resources) int {
	if claimed == nil {
		return 0
	}
	return unclaimedShare(w, claimed[w])
}

// unclaimedShare returns how much of the worker is left beside the claimed resources, by its scarcest resource, in
// percent of its capacity.
func unclaimedShare(w *jobstate.Worker, claimed workload.Resources) int {
	share := 100
	limit := func(used, capacity int) {
		if capacity > 0 {
			share = min(share, 100*(capacity-used)/capacity)
		}
	}
	limit(claimed.MilliCPU, w.Capacity.MilliCPU)
	limit(claimed.MemoryMB, w.Capacity.MemoryMB)
	limit(claimed.Accelerators, w.Capacity.Accelerators)
	return share
}

// contendedServices returns the services on which units lack room. Room that is kept for a gang does not count: the gang
// would prolong its own wait for a rack.
func contendedServices(units []unit) map[string]bool {
	contended := map[string]bool{}
	for n := range units {
		s := units[n].step
		if s.Waiting() > 0 && s.WaitReason.Scarcity() && s.WaitReason != jobstate.WaitRoomForGang {
			contended[units[n].job.Route.Service] = true
		}
	}
	return contended
}
