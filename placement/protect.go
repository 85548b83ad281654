package placement

import (
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxProtectedShapes bounds the shapes that each placement of less urgent work is checked against.
const maxProtectedShapes = 4

// protectedShape is the demand of the tasks of gangs that wait for room.
type protectedShape struct {
	step     *jobstate.Step
	priority int
}

// protect keeps room for the tasks of a gang that waits for room from units that are less urgent: on a full service, room
// for a gang never comes together while single tasks take each part of it that becomes free.
func (r *round) protect(u *unit) {
	if !r.keepsRoom() {
		return
	}
	for n := range r.protected {
		p := &r.protected[n]
		if p.priority == u.priority && p.step.Spec.Allocation() == u.step.Spec.Allocation() && p.step.Spec.Label == u.step.Spec.Label {
			return
		}
	}
	if len(r.protected) < maxProtectedShapes {
		r.protected = append(r.protected, protectedShape{u.step, u.priority})
	}
}

// breaksRoom reports whether a task of the unit on the worker, of which free is free, takes room from a gang that is more
// urgent and waits.
func (r *round) breaksRoom(u *unit, w *jobstate.Worker, free workload.Resources) bool {
	after := free.Sub(u.step.Spec.Allocation())
	for n := range r.protected {
		p := &r.protected[n]
		if p.priority < u.priority && countIn(p.step, after, 0) < countIn(p.step, free, 0) && stepExclusion(p.step, w, r.now) == jobstate.NotExcluded {
			return true
		}
	}
	return false
}
