package workload

import "fmt"

// CapError says that a gang or a single task is larger than its workspace's cap, so that it can never run.
type CapError struct {
	Workspace string
	Resource  string // the first one that exceeds the cap
	Step      int
	Gang      bool
	Need, Cap int
}

func (e *CapError) Error() string {
	what := "a task"
	if e.Gang {
		what = "the gang"
	}
	return fmt.Sprintf("steps[%d]: %s needs %d %s at a time; the cap of workspace %q is %d", e.Step, what, e.Need, e.Resource, e.Workspace, e.Cap)
}

// CheckCap returns a *CapError if a step of the submission can never run under the workspace's cap. A step that is
// not a gang runs as many tasks at a time as the cap leaves, so only one of its tasks has to fit.
func (w *Workspace) CheckCap(s *Submission) error {
	if w.Cap == (Resources{}) {
		return nil
	}
	for n := range s.Steps {
		if resource, need, limit := s.Steps[n].exceeds(w.Cap); resource != "" {
			return &CapError{Workspace: w.Name, Resource: resource, Step: n, Gang: s.Steps[n].Gang, Need: need, Cap: limit}
		}
	}
	return nil
}

// FitsCap reports whether the step can run under the cap while nothing else runs.
func (s *Step) FitsCap(limit Resources) bool {
	resource, _, _ := s.exceeds(limit)
	return resource == ""
}

// exceeds returns the first resource of which the step's smallest startable part needs more than the cap allows, or
// "". Demands and numbers of tasks are limited by Submission.Check, so that the products do not overflow.
func (s *Step) exceeds(limit Resources) (resource string, need, most int) {
	a, tasks := s.Allocation(), 1
	if s.Gang {
		tasks = s.Tasks
	}
	for _, r := range []struct {
		name      string
		need, cap int
	}{
		{"thousandths of a core", a.MilliCPU, limit.MilliCPU},
		{"MB of memory", a.MemoryMB, limit.MemoryMB},
		{"accelerators", a.Accelerators, limit.Accelerators},
	} {
		if r.cap > 0 && tasks*r.need > r.cap {
			return r.name, tasks * r.need, r.cap
		}
	}
	return "", 0, 0
}
