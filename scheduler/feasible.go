package scheduler

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Verdict tells whether a job can run in a data centre.
type Verdict int

// The verdicts.
const (
	CanRun       Verdict = iota // fits on the workers that are present
	RunsWhenBack                // fits only with capacity that is out now
	NeverRuns
)

// Feasibility is a verdict and, for NeverRuns and RunsWhenBack, the limit behind it.
type Feasibility struct {
	Verdict Verdict
	Limit   string
}

// Feasible tells whether the job can run in the data centre when it is idle. The limits
// are those of the service, of the present workers and of the declared fleet. Without a
// declared fleet, the number of tasks is not limited, since lost workers are unknown.
func Feasible(d *state.DataCentre, j *structs.Job) Feasibility {
	s := j.Shape
	if svc, ok := d.Services[j.Service]; ok && svc.MaxTasks > 0 && s.Tasks > svc.MaxTasks {
		return Feasibility{NeverRuns, fmt.Sprintf("%d tasks exceed max_tasks %d of service %s", s.Tasks, svc.MaxTasks, j.Service)}
	}
	if s.Tasks <= 0 || s.Task.Slots <= 0 {
		return Feasibility{NeverRuns, "a job needs at least one task, and a task at least one slot"}
	}
	fleet := s.Task.CountIn(d.Fleet.Capacity) * d.Fleet.Workers
	most := d.Fleet.Capacity
	known, usable := 0, 0
	for _, w := range d.SortedWorkers {
		n := s.Task.CountIn(w.Worker.Capacity)
		known += n
		if w.Usable() {
			usable += n
		}
		most = maximum(most, w.Worker.Capacity)
	}
	switch {
	case usable >= s.Tasks:
		return Feasibility{Verdict: CanRun}
	case known == 0 && fleet == 0 && !most.IsZero():
		return Feasibility{NeverRuns, taskLimit(s.Task, most)}
	case max(known, fleet) < s.Tasks && d.Fleet.Workers > 0:
		return Feasibility{NeverRuns, fmt.Sprintf("%d tasks exceed the %d that the fleet of %s can hold", s.Tasks, max(known, fleet), d.Name)}
	}
	return Feasibility{RunsWhenBack, fmt.Sprintf("%d of %d tasks fit on the workers in use", usable, s.Tasks)}
}

func maximum(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		Slots:        max(a.Slots, b.Slots),
		Processors:   max(a.Processors, b.Processors),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// taskLimit names the component in which a task exceeds every worker.
func taskLimit(task, most structs.Resources) string {
	switch {
	case task.Slots > most.Slots:
		return fmt.Sprintf("%d slots per task exceed the %d of the largest worker", task.Slots, most.Slots)
	case task.Accelerators > most.Accelerators:
		return fmt.Sprintf("%d accelerators per task exceed the %d of the largest worker", task.Accelerators, most.Accelerators)
	case task.MemoryMB > most.MemoryMB:
		return fmt.Sprintf("%d MB of memory per task exceed the %d of the largest worker", task.MemoryMB, most.MemoryMB)
	case task.Processors > most.Processors:
		return fmt.Sprintf("%d processors per task exceed the %d of the largest worker", task.Processors, most.Processors)
	}
	return "no kind of worker has the task's combination of resources"
}

// feasibleKey identifies jobs with the same feasibility.
type feasibleKey struct {
	service string
	shape   structs.Shape
}

func (c *cycle) feasible(j *state.Job) Feasibility {
	key := feasibleKey{j.Service, j.Shape}
	f, ok := c.feasibility[key]
	if !ok {
		f = Feasible(c.d, &j.Job)
		c.feasibility[key] = f
	}
	return f
}
