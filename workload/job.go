// Package workload defines the job model: a job has steps, a step has tasks, and a task demands part
// of a worker's capacity. It also defines the operators' configuration of jobs and the stored record
// of a job's progress.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is a quantity of each kind of resource of a worker.
type Resources struct {
	MilliCPU     int `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int `json:"m,omitempty"` // mebibytes
	Accelerators int `json:"g,omitempty"` // devices
}

// Add returns the sum of a and b.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b. Components may become negative.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.MilliCPU - b.MilliCPU, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Fits reports whether a fits into free in every component.
func (a Resources) Fits(free Resources) bool {
	return a.MilliCPU <= free.MilliCPU && a.MemoryMB <= free.MemoryMB && a.Accelerators <= free.Accelerators
}

// Components returns the amounts of the resources, always in the same order.
func (a Resources) Components() [3]int { return [...]int{a.MilliCPU, a.MemoryMB, a.Accelerators} }

// Exceeds reports whether a component is above the limit, of which a component of 0 sets none.
func (a Resources) Exceeds(limit Resources) bool {
	amounts := a.Components()
	for k, most := range limit.Components() {
		if most > 0 && amounts[k] > most {
			return true
		}
	}
	return false
}

// AcceleratorCores is the number of cores that one accelerator counts for in prices.
const AcceleratorCores = 8

// Cores returns a in cores, with accelerators converted.
func (a Resources) Cores() float64 {
	return float64(a.MilliCPU)/1000 + AcceleratorCores*float64(a.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks          int           `json:"n"`
	Demand         Resources     `json:"d"`           // of one task
	Estimate       time.Duration `json:"e,omitempty"` // estimated run time of a task
	After          []int         `json:"a,omitempty"` // steps whose tasks must be done first
	Checkpointing  bool          `json:"cp,omitempty"`
	Gang           bool          `json:"ga,omitempty"` // all tasks run at the same time or none does
	SameRack       bool          `json:"sr,omitempty"` // tasks run slower if they are spread over racks
	Label          string        `json:"l,omitempty"`  // label that the worker must carry
	DataRack       string        `json:"dr,omitempty"` // rack that holds the data; tasks run slower elsewhere
	MaxPerWorker   int           `json:"mw,omitempty"` // 0 for no limit
	Speculative    bool          `json:"sp,omitempty"` // copies of a task may run in parallel
	LongRunning    bool          `json:"lr,omitempty"` // runs until the job is cancelled
	Image          string        `json:"im,omitempty"` // tasks with the same image behave similarly
	TailTarget     time.Duration `json:"tt,omitempty"` // tail latency target of a serving task
	Filler         bool          `json:"fi,omitempty"` // runs on CPU time that other tasks leave idle
	MaxUnavailable int           `json:"mm,omitempty"` // tasks that upkeep may stop at the same time
}

// Allocation returns the capacity that a task reserves on its worker. Fillers reserve no CPU.
func (s *Step) Allocation() Resources {
	a := s.Demand
	if s.Filler {
		a.MilliCPU = 0
	}
	return a
}

// String returns a summary of the step for log lines: "4x8 gang rack" is a gang of four tasks with
// eight accelerators each that should run in one rack.
func (s *Step) String() string {
	text := strconv.Itoa(s.Tasks) + "x" + strconv.Itoa(s.Demand.Accelerators)
	for _, trait := range []struct {
		has  bool
		name string
	}{
		{s.Gang, "gang"}, {s.SameRack, "rack"}, {s.DataRack != "", "data=" + s.DataRack}, {s.Label != "", "label=" + s.Label},
		{s.Checkpointing, "checkpoints"}, {s.LongRunning, "long"}, {s.Filler, "filler"}, {s.Speculative, "speculative"},
	} {
		if trait.has {
			text += " " + trait.name
		}
	}
	return text
}

// Schedule makes the steps of a job run several times. The zero value runs them once.
type Schedule struct {
	Occurrences int           `json:"n,omitempty"`
	First       int64         `json:"f,omitempty"` // Unix milliseconds
	Interval    time.Duration `json:"i,omitempty"`
}

// Submission is a job as its caller submitted it. It is immutable.
type Submission struct {
	ID         string   `json:"id"`
	Queue      Route    `json:"r"` // configuration of the route when the job was accepted
	Workspace  string   `json:"w"`
	Payload    string   `json:"p,omitempty"` // opaque; passed to the workers
	Steps      []Step   `json:"s"`
	Schedule   Schedule `json:"sc,omitzero"`
	AcceptedAt int64    `json:"t"` // Unix milliseconds on the clock of the accepting instance
}

// Check validates the submission. The error names the field, its value and the rule it violates.
func (s *Submission) Check() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("steps: empty; a job has at least one step")
	}
	tasks := 0
	for n := range s.Steps {
		if err := s.Steps[n].check(n); err != nil {
			return fmt.Errorf("steps[%d]: %w", n, err)
		}
		if tasks += s.Steps[n].Tasks; tasks > MaxJobTasks {
			return fmt.Errorf("steps: more than %d tasks; a job has at most as many", MaxJobTasks)
		}
	}
	if s.Schedule.Occurrences > MaxOccurrences {
		return fmt.Errorf("schedule: %d occurrences; must be at most %d", s.Schedule.Occurrences, MaxOccurrences)
	}
	if s.Schedule.First < 0 || s.Schedule.Interval < 0 {
		return fmt.Errorf("schedule: first at %d ms, then every %v; must not be negative", s.Schedule.First, s.Schedule.Interval)
	}
	if span := s.Schedule.Interval.Milliseconds(); s.Schedule.First > maxDue-int64(s.Schedule.Occurrences)*min(span, maxDue/MaxOccurrences) || span > maxDue/MaxOccurrences {
		return fmt.Errorf("schedule: first at %d ms, then %d times every %v; the last must be before %d ms", s.Schedule.First, s.Schedule.Occurrences, s.Schedule.Interval, maxDue)
	}
	return nil
}

// Limits of a submission. They bound the memory that an owner needs for one job.
const (
	MaxTasks       = 10_000  // per step
	MaxGang        = 5_000   // tasks of a gang, which start together and have to fit into one record
	MaxJobTasks    = 20_000  // over all steps
	MaxOccurrences = 100_000 // per schedule
	maxAmount      = 1 << 30 // per component of a task's demand
	maxEstimate    = 365 * 24 * time.Hour
	maxDue         = int64(1) << 53 // Unix milliseconds of the last occurrence
)

func (a Resources) inRange() bool {
	for _, v := range []int{a.MilliCPU, a.MemoryMB, a.Accelerators} {
		if v < 0 || v > maxAmount {
			return false
		}
	}
	return true
}

func (s *Step) check(n int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("tasks: %d; must be from 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Gang && s.Tasks > MaxGang {
		return fmt.Errorf("tasks: %d of a gang; must be at most %d", s.Tasks, MaxGang)
	}
	if !s.Demand.inRange() {
		return fmt.Errorf("demand: %+v; each must be from 0 to %d", s.Demand, maxAmount)
	}
	if s.Estimate < 0 || s.Estimate > maxEstimate {
		return fmt.Errorf("estimate: %v; must be from 0 to %v", s.Estimate, maxEstimate)
	}
	if s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("target %v, tasks on one worker %d, tasks that may be missed %d; must not be negative", s.TailTarget, s.MaxPerWorker, s.MaxUnavailable)
	}
	for _, a := range s.After {
		if a < 0 || a >= n {
			return fmt.Errorf("after: %d; must name an earlier step", a)
		}
	}
	return nil
}

// OccurrenceCount returns the number of times that the steps run.
func (s *Submission) OccurrenceCount() int {
	return max(1, s.Schedule.Occurrences)
}

// Due returns the earliest start of occurrence k in Unix milliseconds. It is 0 for a job without a
// schedule.
func (s *Submission) Due(k int) int64 {
	if s.Schedule.Occurrences == 0 {
		return 0
	}
	return s.Schedule.First + int64(k)*s.Schedule.Interval.Milliseconds()
}

// TaskName identifies a task in requests to workers and in their reports.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskName) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName parses the form that String returns.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("task name %q: must have 4 parts", text)
	}
	t := TaskName{Job: parts[0]}
	for n, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		v, err := strconv.Atoi(parts[n+1])
		if err != nil || v < 0 {
			return TaskName{}, fmt.Errorf("task name %q: part %d must be a number from 0", text, n+2)
		}
		*field = v
	}
	return t, nil
}

// revocation is what is stored in place of the submission of a job that was cancelled before it was submitted.
const revocation = `{"revoked":true}`

// Revocation returns the value that is stored in place of the submission of a job that was cancelled before it was submitted.
// A submission that is still under way is stored only if nothing else is, and thus never.
func Revocation() []byte { return []byte(revocation) }

// IsRevocation reports whether the stored value is a revocation and not a submission.
func IsRevocation(value []byte) bool { return string(value) == revocation }
