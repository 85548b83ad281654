package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
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
	Cap              *CapExplanation // only for a step that waits for its workspace's cap
}

// RackExplanation holds the figures about the rack that a step waits for: the preferred one or, if any single
// rack will do, the largest figures of all racks.
type RackExplanation struct {
	Wait     time.Duration // how long the step waits for it, from WaitingSince on
	Room     int           // tasks that fit into the free resources of its eligible workers
	Capacity int           // tasks that fit into these workers when they are idle
}

// CapExplanation holds the figures about the cap that a step waits for.
type CapExplanation struct {
	Workspace string
	Used, Cap workload.Resources
	Need      workload.Resources // of the waiting tasks of a gang, or of one task of another step
	TooSmall  bool               // the cap is smaller than Need: the step cannot start before it is raised
}

// Explain returns the figures for a step with waiting tasks. Its cost is in proportion to the number of
// workers and their runs.
func (p *Policy) Explain(c *jobstate.Cluster, s *jobstate.Step, workspace func(string) *workload.Workspace, now time.Time) Explanation {
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
	if s.WaitReason == jobstate.WaitCap {
		e.Cap = p.explainCap(c, s, workspace, now)
	}
	return e
}

// explainRack returns nil for a step without a preference.
func (r *round) explainRack(s *jobstate.Step, eligible []*jobstate.Worker) *RackExplanation {
	preferred := preferredRack(s)
	if preferred == "" && (!s.Spec.Gang || !s.Spec.SameRack) {
		return nil
	}
	j := s.Occurrence.Job
	u := unit{step: s, job: j, priority: s.Occurrence.Priority()}
	u.deadline, u.lateness = r.objective(s)
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

// explainCap returns nil if the workspace has no cap any more.
func (p *Policy) explainCap(c *jobstate.Cluster, s *jobstate.Step, workspace func(string) *workload.Workspace, now time.Time) *CapExplanation {
	name := s.Occurrence.Job.Submission.Workspace
	use, known := p.Use(c, workspace, now)[name]
	if !known {
		return nil
	}
	need := 1
	if s.Spec.Gang {
		need = s.Waiting()
	}
	limit := use.Workspace.Cap
	none := workload.Resources{}
	return &CapExplanation{Workspace: name, Used: use.Used, Cap: limit, Need: allocationFor(s, need), TooSmall: capRoom(s, limit, none, none, need) < need}
}
