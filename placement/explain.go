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
	Room             int           // tasks that fit into the free resources of the eligible workers, reserved or not
	FreeAccelerators int           // on workers that accept work
	Headroom         float64       // accelerators that are kept free for urgent jobs
	RackWait         time.Duration // how long the step waits for its preferred rack
}

// Explain returns the figures for a step with waiting tasks. Its cost is in proportion to the number of
// workers and their runs.
func (p *Policy) Explain(c *jobstate.Cluster, s *jobstate.Step, now time.Time) Explanation {
	r := &round{Policy: p, c: c, now: now}
	j := s.Occurrence.Job
	u := unit{step: s, job: j, priority: j.Route.Priority}
	u.deadline, u.lateness = r.objective(j, s)
	e := Explanation{Headroom: headroomShare * p.urgentUse, RackWait: r.rackWait(&u)}
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
		e.Eligible++
		e.Room += countIn(s, w.Free(), present(s, w))
	}
	return e
}
