package placement

import (
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxProtectedShapes bounds the shapes that each placement of less urgent work is checked against.
const maxProtectedShapes = 4

// protectedShape is the demand of the tasks of a gang that waits for room.
type protectedShape struct {
	step     *jobstate.Step
	service  string
	priority int
	rack     string // in which the gang waits for room; empty for any
}

// protect keeps room for the tasks of a gang that waits for the given reason from units that are less urgent: on a full
// service, room for a gang never comes together while single tasks take each part of it that becomes free. No room is
// kept for a gang that is of no more use, or that the workers could not run even if they were idle.
func (r *round) protect(u *unit, wait jobstate.WaitReason) {
	if !r.keepsRoom() || u.lateness > 1 || len(r.protected) == maxProtectedShapes {
		return
	}
	shape := protectedShape{u.step, u.job.Route.Service, u.priority, ""}
	switch wait {
	case jobstate.WaitNoRoom:
	case jobstate.WaitPreferredRack:
		shape.rack = preferredRack(u.step)
	default:
		return
	}
	for n := range r.protected {
		if r.protected[n].covers(&shape) {
			return
		}
	}
	if r.couldRun(u) {
		r.protected = append(r.protected, shape)
	}
}

// covers reports whether the shape keeps all the room that o would keep.
func (p *protectedShape) covers(o *protectedShape) bool {
	a, b := p.step.Spec, o.step.Spec
	return p.service == o.service && p.priority <= o.priority && (p.rack == "" || p.rack == o.rack) &&
		a.Allocation() == b.Allocation() && a.Label == b.Label && p.step.Occurrence.Job.Route.Advice == nil
}

// breaksRoom reports whether a task of the unit on the worker, of which free is free, takes room from a gang that is more
// urgent and waits. Long-running tasks serve users of their own and do not wait for gangs.
func (r *round) breaksRoom(u *unit, w *jobstate.Worker, free workload.Resources) bool {
	if len(r.protected) == 0 || u.step.Spec.LongRunning {
		return false
	}
	after := free.Sub(u.step.Spec.Allocation())
	for n := range r.protected {
		p := &r.protected[n]
		if p.priority >= u.priority || p.service != w.Service || p.rack != "" && p.rack != w.Rack {
			continue
		}
		if countIn(p.step, after, 0) < countIn(p.step, free, 0) && stepExclusion(p.step, w, r.now) == jobstate.NotExcluded {
			return true
		}
	}
	return false
}
