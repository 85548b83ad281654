package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// headroomShare is the share of the accelerators recently used by urgent jobs that is kept free of less
	// urgent work without checkpoints, since preempting it would discard what it has done, and of work that
	// was preempted before.
	headroomShare = 0.5
	// headroomHalfLife is the time after which past use by urgent jobs counts half.
	headroomHalfLife = 6 * time.Second
	// headroomPriority is the lowest priority number whose jobs must leave the headroom free.
	headroomPriority = 2
	// restartWait is the share of its objective that a preempted unit waits for room beside the headroom.
	restartWait = 0.35
)

// updateUrgentUse updates the decaying peak of the accelerators in use by urgent jobs.
func (p *Policy) updateUrgentUse(inUse int, now time.Time) {
	if !p.urgentUseAt.IsZero() {
		p.urgentUse *= math.Exp2(-now.Sub(p.urgentUseAt).Seconds() / headroomHalfLife.Seconds())
	}
	p.urgentUseAt = now
	p.urgentUse = max(p.urgentUse, float64(inUse))
}

// countAccelerators counts the free accelerators and those in use by urgent jobs.
func (r *round) countAccelerators() {
	urgent := 0
	for _, w := range r.c.Workers {
		for run := range w.Runs {
			if run.Task.Step.Occurrence.Priority() == 0 {
				urgent += run.Task.Step.Spec.Demand.Accelerators
			}
		}
	}
	for _, ws := range r.workers {
		for _, w := range ws {
			r.freeAccelerators += w.Free().Accelerators
		}
	}
	r.updateUrgentUse(urgent, r.now)
}

// leavesHeadroom reports whether enough accelerators stay free after the given number of tasks of the unit
// starts.
func (r *round) leavesHeadroom(u *unit, tasks int) bool {
	need := tasks * u.step.Spec.Demand.Accelerators
	return need == 0 || !r.owesHeadroom(u) || float64(r.freeAccelerators-need) >= headroomShare*r.urgentUse
}

// owesHeadroom reports whether the unit must leave the headroom free. So must a unit that was preempted,
// until it has waited for restartWait: the next urgent job would stop it again.
func (r *round) owesHeadroom(u *unit) bool {
	spec := u.step.Spec
	if u.priority == 0 || spec.LongRunning {
		return false
	}
	if u.priority >= headroomPriority && !spec.Checkpointing {
		return true
	}
	return u.preempted() && !r.waitedFor(u, u.step.WaitingSince, restartWait)
}

// preempted reports whether the last run of a waiting task was preempted.
func (u *unit) preempted() bool {
	return slices.ContainsFunc(u.waiting, func(t *jobstate.Task) bool { return t.Preempted })
}
