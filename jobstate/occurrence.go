package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// AddOccurrence adds occurrence k, with all its steps and tasks, to the job.
func (j *Job) AddOccurrence(k int, now time.Time) *Occurrence {
	o := &Occurrence{Job: j, Number: k}
	for n := range j.Submission.Steps {
		spec := &j.Submission.Steps[n]
		step := &Step{Occurrence: o, Number: n, Spec: spec, Tasks: make([]*Task, spec.Tasks), Tickets: map[string]Ticket{}}
		for i := range step.Tasks {
			step.Tasks[i] = &Task{Step: step, Index: i}
		}
		o.Steps = append(o.Steps, step)
	}
	j.Occurrences = append(j.Occurrences, o)
	o.markReady(now)
	return o
}

// markReady sets ReadyAt of the steps that have become ready.
func (o *Occurrence) markReady(now time.Time) {
	for _, s := range o.Steps {
		if s.ReadyAt.IsZero() && o.Ready(s) {
			s.ReadyAt, s.WaitingSince = now, now
		}
	}
}

// AddDueOccurrences adds the occurrences that are due at wall, in Unix milliseconds, but none while
// as many tasks are open as one occurrence may have at most, workload.MaxJobTasks. It returns when the
// next occurrence is due, or 0 if there is none.
func (j *Job) AddDueOccurrences(wall int64, now time.Time) int64 {
	perOccurrence := 0
	for n := range j.Submission.Steps {
		perOccurrence += j.Submission.Steps[n].Tasks
	}
	for k, open := len(j.Occurrences), j.openTasks(); k < j.Submission.OccurrenceCount(); k, open = k+1, open+perOccurrence {
		if due := j.Submission.Due(k); due > wall || open >= workload.MaxJobTasks {
			return due
		}
		j.AddOccurrence(k, now)
	}
	return 0
}

// openTasks returns the number of tasks of the occurrences that have been added and are not done.
func (j *Job) openTasks() int {
	n := 0
	for _, o := range j.Occurrences {
		if o.Done() {
			continue
		}
		for _, s := range o.Steps {
			n += len(s.Tasks)
		}
	}
	return n
}
