package testplatform

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// quotaMemory is how long after a change of a cap the former one may still be in force.
	quotaMemory = 3 * time.Second
	// quotaMargin is the share of the cap that the use may reach, besides one task more, by the users' rule: an owner
	// cannot see in time all that runs. It is allowed only with Fleet.QuotaMargin.
	quotaMargin = 1.1
)

// capChange is a cap of a workspace and when it was set.
type capChange struct {
	at  time.Time
	cap workload.Resources
}

// SetCap sets the cap of the workspace. A component of 0 sets no limit.
func (f *Fleet) SetCap(workspace string, limit workload.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caps == nil {
		f.caps = map[string][]capChange{}
	}
	if changes := f.caps[workspace]; len(changes) > 0 && changes[len(changes)-1].cap == limit {
		return
	}
	f.caps[workspace] = append(f.caps[workspace], capChange{time.Now(), limit})
}

// highestCap returns the highest cap of the workspace in the last quotaMemory, by component.
func (f *Fleet) highestCap(workspace string, now time.Time) workload.Resources {
	changes := f.caps[workspace]
	if len(changes) == 0 {
		return workload.Resources{}
	}
	highest := changes[len(changes)-1].cap
	higher := func(a, b int) int {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	for n := len(changes) - 2; n >= 0 && now.Sub(changes[n+1].at) < quotaMemory; n-- {
		c := changes[n].cap
		highest = workload.Resources{MilliCPU: higher(highest.MilliCPU, c.MilliCPU), MemoryMB: higher(highest.MemoryMB, c.MemoryMB),
			Accelerators: higher(highest.Accelerators, c.Accelerators)}
	}
	return highest
}

// usedBy returns what the workspace has running on the workers that are up.
func (f *Fleet) usedBy(workspace string) (used workload.Resources) {
	for _, w := range f.workers {
		for _, r := range w.runs {
			if job := f.jobs[r.name.Job]; job.Workspace == workspace {
				used = used.Add(job.Steps[r.name.Step].Allocation())
			}
		}
	}
	return used
}

// Used returns what the workspace has running.
func (f *Fleet) Used(workspace string) workload.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	return f.usedBy(workspace)
}

// withMargin returns the most that the users' rule allows at the limit to a start that needs the given resources.
func withMargin(limit, need workload.Resources) workload.Resources {
	most := func(limit, need int) int {
		if limit == 0 {
			return 0
		}
		return int(quotaMargin*float64(limit)) + need
	}
	return workload.Resources{MilliCPU: most(limit.MilliCPU, need.MilliCPU), MemoryMB: most(limit.MemoryMB, need.MemoryMB),
		Accelerators: most(limit.Accelerators, need.Accelerators)}
}

// checkQuota checks that a start leaves the workspace within its cap, of which the highest in quotaMemory counts. The
// caller holds the lock.
func (f *Fleet) checkQuota(job *workload.Submission, need workload.Resources, task string) {
	limit := f.highestCap(job.Workspace, time.Now())
	if limit == (workload.Resources{}) {
		return
	}
	used := f.usedBy(job.Workspace).Add(need)
	bound := limit
	if f.QuotaMargin {
		bound = withMargin(limit, need)
	}
	if used.Exceeds(bound) {
		f.violate("QUOTA", "%s raises the use of %s to %+v of %+v", task, job.Workspace, used, limit)
	}
}

// capMayHold reports whether the unfinished jobs of the workspace, with what runs, need more than its present cap, so that
// a task may have to wait for it.
func (f *Fleet) capMayHold(workspace string) bool {
	changes := f.caps[workspace]
	if len(changes) == 0 {
		return false
	}
	limit := changes[len(changes)-1].cap
	var need workload.Resources
	for id, job := range f.jobs {
		if job.Workspace != workspace || f.standing.finished[id] {
			continue
		}
		for n := range job.Steps {
			need = need.Add(times(job.Steps[n].Tasks*job.OccurrenceCount(), job.Steps[n].Allocation()))
		}
	}
	return need.Exceeds(limit)
}

// fitsCapAlone reports whether a task of the step, or its gang, fits into the present cap of its workspace beside the
// workspace's long-running tasks, which do not end by themselves.
func (f *Fleet) fitsCapAlone(workspace string, step *workload.Step) bool {
	changes := f.caps[workspace]
	need := step.Allocation()
	if step.Gang {
		need = times(step.Tasks, need)
	}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if job := f.jobs[r.name.Job]; job.Workspace == workspace && job.Steps[r.name.Step].LongRunning {
				need = need.Add(job.Steps[r.name.Step].Allocation())
			}
		}
	}
	return len(changes) > 0 && !need.Exceeds(changes[len(changes)-1].cap)
}

func times(n int, a workload.Resources) workload.Resources {
	return workload.Resources{MilliCPU: n * a.MilliCPU, MemoryMB: n * a.MemoryMB, Accelerators: n * a.Accelerators}
}
