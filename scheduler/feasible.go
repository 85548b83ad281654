package scheduler

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Verdict says whether a job can run in a data centre.
type Verdict int

const (
	CanRun           Verdict = iota // fits on the usable workers when they are idle
	WaitsForCapacity                // fits only when lost or unusable workers are back
	NeverRuns
)

// Feasibility is a verdict and, for NeverRuns and WaitsForCapacity, the limit that caused it.
type Feasibility struct {
	Verdict Verdict
	Limit   string
}

// Feasible reports whether the job could run in the data centre if nothing else ran there. It checks the
// limits of the service, of the registered workers and of the declared fleet. Without a declared fleet
// the number of tasks is not limited, because the number of lost workers is unknown.
func Feasible(d *state.DataCentre, j *structs.Job) Feasibility {
	s := j.Shape
	if svc, ok := d.Services[j.Service]; ok && svc.MaxTasks > 0 && s.Tasks > svc.MaxTasks {
		return Feasibility{NeverRuns, fmt.Sprintf("%d tasks exceed max_tasks %d of service %s", s.Tasks, svc.MaxTasks, j.Service)}
	}
	if s.Tasks <= 0 || s.Task.Slots <= 0 {
		return Feasibility{NeverRuns, "a job needs at least one task, and a task at least one slot"}
	}
	fleet := s.Task.CountIn(d.Fleet.Capacity) * d.Fleet.Workers
	largest := d.Fleet.Capacity
	present, usable := 0, 0
	for _, w := range d.SortedWorkers {
		n := s.Task.CountIn(w.Worker.Capacity)
		present += n
		if w.Usable() {
			usable += n
		}
		largest = maxResources(largest, w.Worker.Capacity)
	}
	switch {
	case usable >= s.Tasks:
		return Feasibility{Verdict: CanRun}
	case present == 0 && fleet == 0 && !largest.IsZero():
		return Feasibility{NeverRuns, taskLimit(s.Task, largest)}
	case max(present, fleet) < s.Tasks && d.Fleet.Workers > 0:
		return Feasibility{NeverRuns, fmt.Sprintf("%d tasks exceed the %d that the fleet of %s can hold", s.Tasks, max(present, fleet), d.Name)}
	}
	return Feasibility{WaitsForCapacity, fmt.Sprintf("%d of %d tasks fit on the workers in use", usable, s.Tasks)}
}

func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		Slots:        max(a.Slots, b.Slots),
		Processors:   max(a.Processors, b.Processors),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// taskLimit names the resource in which a task exceeds the largest worker.
func taskLimit(task, largest structs.Resources) string {
	switch {
	case task.Slots > largest.Slots:
		return fmt.Sprintf("%d slots per task exceed the %d of the largest worker", task.Slots, largest.Slots)
	case task.Accelerators > largest.Accelerators:
		return fmt.Sprintf("%d accelerators per task exceed the %d of the largest worker", task.Accelerators, largest.Accelerators)
	case task.MemoryMB > largest.MemoryMB:
		return fmt.Sprintf("%d MB of memory per task exceed the %d of the largest worker", task.MemoryMB, largest.MemoryMB)
	case task.Processors > largest.Processors:
		return fmt.Sprintf("%d processors per task exceed the %d of the largest worker", task.Processors, largest.Processors)
	}
	return "no kind of worker has the task's combination of resources"
}

// feasibleKey identifies jobs with the same feasibility. It is the key of the cache of a decision.
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
