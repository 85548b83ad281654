package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// Explanation holds the figures behind the WaitReason of a step.
type Explanation struct {
	Workers          int // of the step's service
	Eligible         int // workers that may run its tasks, whether or not they have room
	Excluded         [jobstate.ExclusionCount]int
	Room             int     // tasks that fit into the free resources of the eligible workers, reserved or not
	FreeAccelerators int     // on workers that accept work
	Headroom         float64 // accelerators that are kept free for urgent jobs
	Rack             *RackExplanation
}

// RackExplanation holds the figures about the rack that a step waits for: the preferred one or, if any single
// rack will do, the largest figures of all racks.
type RackExplanation struct {
	Wait     time.Duration // how long the step waits for it, from WaitingSince on
	Room     int           // tasks that fit into the free resources of its eligible workers
	Capacity int           // tasks that fit into these workers when they are idle
}

// Explain returns the figures for a step with waiting tasks. Its cost is in proportion to the number of
// workers and their runs.
func (p *Policy) Explain(c *jobstate.Cluster, s *jobstate.Step, now time.Time) Explanation {
	r := &round{Policy: p, c: c, now: now}
	j := s.Occurrence.Job
	e := Explanation{Headroom: headroomShare * p.urgentUse}
	var eligible []*jobstate.Worker
	for _, w := range c.Workers {
		excluded := c.Exclusion(w, now)
		if excluded == jobstate.NotExcluded {
			e.FreeAccelerators += w.Free().Accelerators
		}
		if w.Service != j.Route.Service {
			continue
		}
		e.Workers++
		if excluded == jobstate.NotExcluded {
			excluded = stepExclusion(s, w, now)
		}
		if excluded != jobstate.NotExcluded {
			e.Excluded[excluded]++
			continue
		}
		eligible = append(eligible, w)
		e.Room += countIn(s, w.Free(), present(s, w))
	}
	e.Eligible = len(eligible)
	e.Rack = r.explainRack(s, eligible)
	return e
}

// explainRack returns nil for a step without a preference.
func (r *round) explainRack(s *jobstate.Step, eligible []*jobstate.Worker) *RackExplanation {
	preferred := preferredRack(s)
	if preferred == "" && (!s.Spec.Gang || !s.Spec.SameRack) {
		return nil
	}
	j := s.Occurrence.Job
	u := unit{step: s, job: j, priority: j.Route.Priority}
	u.deadline, u.lateness = r.objective(j, s)
	best := RackExplanation{Wait: r.rackWait(&u)}
	for _, k := range byRack(eligible) {
		if preferred != "" && k.name != preferred {
			continue
		}
		room, capacity := 0, 0
		for _, w := range k.workers {
			room += countIn(s, w.Free(), present(s, w))
			capacity += countIn(s, w.Capacity, 0)
		}
		best.Room, best.Capacity = max(best.Room, room), max(best.Capacity, capacity)
	}
	return &best
}
