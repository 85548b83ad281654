// Package workload holds the general job model: a job has steps, a step has tasks, and a
// task asks for an amount of a worker's capacity. It also holds the operators'
// configuration as far as it concerns jobs, and the record of a job's progress.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Amount is an amount of a worker's capacity.
type Amount struct {
	MilliCPU     int `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int `json:"m,omitempty"` // mebibytes
	Accelerators int `json:"g,omitempty"` // devices
}

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a less b. Components may become negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliCPU - b.MilliCPU, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Fits reports whether a fits into free in every component.
func (a Amount) Fits(free Amount) bool {
	return a.MilliCPU <= free.MilliCPU && a.MemoryMB <= free.MemoryMB && a.Accelerators <= free.Accelerators
}

// AcceleratorCores is how many cores one accelerator counts as in prices.
const AcceleratorCores = 8

// Cores returns the amount as cores, with accelerators converted.
func (a Amount) Cores() float64 {
	return float64(a.MilliCPU)/1000 + AcceleratorCores*float64(a.Accelerators)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks          int           `json:"n"`
	Demand         Amount        `json:"d"`           // of one task
	Estimate       time.Duration `json:"e,omitempty"` // rough run time of a task
	After          []int         `json:"a,omitempty"` // steps whose tasks must be done first
	Checkpointing  bool          `json:"cp,omitempty"`
	Gang           bool          `json:"ga,omitempty"` // all tasks run together or none
	SameRack       bool          `json:"sr,omitempty"` // slower on more than one rack
	Label          string        `json:"l,omitempty"`  // label that the worker must have
	DataRack       string        `json:"dr,omitempty"` // rack of the data; slower elsewhere
	MaxPerWorker   int           `json:"mw,omitempty"` // 0 for no limit
	Speculative    bool          `json:"sp,omitempty"` // copies may run in parallel
	LongRunning    bool          `json:"lr,omitempty"` // runs until the job is cancelled
	Image          string        `json:"im,omitempty"` // tasks of the same image behave alike
	TailTarget     time.Duration `json:"tt,omitempty"` // of a task that serves users
	Filler         bool          `json:"fi,omitempty"` // uses the processors that others leave
	MaxUnavailable int           `json:"mm,omitempty"` // tasks that planned work may take away at once
}

// Allocation is what a task takes of a worker's capacity. Fillers take no processors.
func (s *Step) Allocation() Amount {
	room := s.Demand
	if s.Filler {
		room.MilliCPU = 0
	}
	return room
}

// String describes what the step asks for, for log lines: "4x8 gang rack" is a gang of four
// tasks with eight accelerators each that belongs in one rack.
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

// Submission is a job as its caller handed it in. It never changes.
type Submission struct {
	ID         string   `json:"id"`
	Queue      Route    `json:"r"` // as it was when the job was accepted
	Workspace  string   `json:"w"`
	Payload    string   `json:"p,omitempty"` // passed on to the workers unread
	Steps      []Step   `json:"s"`
	Schedule   Schedule `json:"sc,omitzero"`
	AcceptedAt int64    `json:"t"` // Unix milliseconds by the clock of the accepting instance
}

// Check returns an error that names the field, the value and the rule that it breaks.
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
	return nil
}

// Bounds of a submission. They keep what one job makes an owner hold in memory small.
const (
	MaxTasks       = 10_000  // of one step
	MaxJobTasks    = 20_000  // of all steps
	MaxOccurrences = 100_000 // of a schedule
	maxAmount      = 1 << 30 // of each component of a task's demand
	maxEstimate    = 365 * 24 * time.Hour
)

func (a Amount) inRange() bool {
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

// OccurrenceCount returns how often the steps run.
func (s *Submission) OccurrenceCount() int {
	return max(1, s.Schedule.Occurrences)
}

// Due returns when occurrence k may start, in Unix milliseconds. It is 0 for a job
// without a schedule.
func (s *Submission) Due(k int) int64 {
	if s.Schedule.Occurrences == 0 {
		return 0
	}
	return s.Schedule.First + int64(k)*s.Schedule.Interval.Milliseconds()
}

// TaskName identifies a task on workers.
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
