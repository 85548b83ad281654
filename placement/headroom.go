package placement

import (
	"math"
	"time"
)

const (
	// headroomShare is the share of the accelerators recently used by urgent jobs that is kept free of
	// less urgent work without checkpoints: preempting such work would discard what it has done.
	headroomShare = 0.5
	// headroomHalfLife is the time after which past use by urgent jobs counts half.
	headroomHalfLife = 6 * time.Second
	// headroomPriority is the lowest priority number whose jobs must leave the headroom free.
	headroomPriority = 2
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
			if run.Task.Step.Occurrence.Job.Route.Priority == 0 {
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

// leavesHeadroom reports whether enough accelerators stay free after one more task of the unit starts.
func (r *round) leavesHeadroom(u *unit) bool {
	need := u.step.Spec.Demand.Accelerators
	if u.priority < headroomPriority || u.step.Spec.Checkpointing || need == 0 {
		return true
	}
	return float64(r.freeAccelerators-need) >= headroomShare*r.urgentUse
}
