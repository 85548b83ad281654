package placement

import (
	"math"
	"time"
)

const (
	// headroomShare is how much of the accelerators that urgent jobs used lately is kept free
	// of work that would be thrown away for them.
	headroomShare = 0.5
	// headroomMemory is the time after which use by urgent jobs counts half.
	headroomMemory = 6 * time.Second
	// headroomPriority is the first priority that leaves the headroom free.
	headroomPriority = 2
)

// noteUrgent keeps the level of accelerators that urgent jobs use.
func (p *Policy) noteUrgent(inUse int, now time.Time) {
	if !p.levelAt.IsZero() {
		p.level *= math.Exp2(-now.Sub(p.levelAt).Seconds() / headroomMemory.Seconds())
	}
	p.levelAt = now
	p.level = max(p.level, float64(inUse))
}

// measure counts free accelerators and those that urgent jobs use.
func (r *round) measure() {
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
	r.noteUrgent(urgent, r.now)
}

// leavesHeadroom reports whether the unit may take one more task's accelerators.
func (r *round) leavesHeadroom(u *unit) bool {
	need := u.step.Spec.Demand.Accelerators
	if u.priority < headroomPriority || u.step.Spec.Checkpointing || need == 0 {
		return true
	}
	return float64(r.freeAccelerators-need) >= headroomShare*r.level
}
