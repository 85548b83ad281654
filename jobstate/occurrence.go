package jobstate

import (
	"slices"
	"time"
)

// addOccurrence adds occurrence k, with all its steps and tasks, to the job. late is how long it has been due.
func (j *Job) addOccurrence(k int, late time.Duration, now time.Time) *Occurrence {
	o := &Occurrence{Job: j, Number: k, Late: late, Overdue: j.isOverdue(k, late), Steps: make([]*Step, 0, len(j.Submission.Steps))}
	for n := range j.Submission.Steps {
		spec := &j.Submission.Steps[n]
		step := &Step{Occurrence: o, Number: n, Spec: spec, Tasks: make([]*Task, spec.Tasks), Tickets: map[string]Ticket{}}
		tasks := make([]Task, spec.Tasks)
		for i := range tasks {
			tasks[i].Step, tasks[i].Index = step, i
			step.Tasks[i] = &tasks[i]
		}
		o.Steps = append(o.Steps, step)
	}
	j.Occurrences = append(j.Occurrences, o)
	j.NextOccurrence = k + 1
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

// NextDue returns when the next occurrence that is not open yet is due, in Unix milliseconds, and false if there is none.
func (j *Job) NextDue() (due int64, ok bool) {
	if j.State.Ended() || j.NextOccurrence >= j.Submission.OccurrenceCount() {
		return 0, false
	}
	return j.Submission.Due(j.NextOccurrence), true
}

// OpenNext opens the next occurrence, with all its steps and tasks, if it is due at wall, in Unix milliseconds. It reports
// whether it did.
func (j *Job) OpenNext(wall int64, now time.Time) bool {
	due, ok := j.NextDue()
	if !ok || due > wall {
		return false
	}
	j.addOccurrence(j.NextOccurrence, j.overdueBy(j.NextOccurrence, wall), now)
	return true
}

// overdueBy returns for how long occurrence k has been due at wall. It is 0 for a job without a schedule, and for the first
// occurrence, which counts from the job's acceptance.
func (j *Job) overdueBy(k int, wall int64) time.Duration {
	due := j.Submission.Due(k)
	if k == 0 || due <= 0 || wall <= due {
		return 0
	}
	return time.Duration(min(wall-due, maxLateMs)) * time.Millisecond
}

// maxLateMs limits how late an occurrence counts, in milliseconds.
const maxLateMs = int64(365 * 24 * time.Hour / time.Millisecond)

// Idle returns how many open occurrences have nothing running.
func (j *Job) Idle() int {
	n := 0
	for _, o := range j.Occurrences {
		if !o.Done() && !o.active() {
			n++
		}
	}
	return n
}

// OccurrenceTasks returns how many tasks an occurrence of the job has.
func (j *Job) OccurrenceTasks() int {
	n := 0
	for k := range j.Submission.Steps {
		n += j.Submission.Steps[k].Tasks
	}
	return n
}

func (o *Occurrence) active() bool {
	return slices.ContainsFunc(o.Steps, func(s *Step) bool { return s.Active > 0 })
}

// ReleaseDone releases the occurrences of a job with several that are done, and keeps their numbers only. Their runs that
// have not ended yet are not affected.
func (j *Job) ReleaseDone() {
	if j.Submission.OccurrenceCount() == 1 || !slices.ContainsFunc(j.Occurrences, (*Occurrence).Done) {
		return
	}
	var open []*Occurrence // a new slice: a caller may be iterating over the present one
	for _, o := range j.Occurrences {
		if o.Done() {
			j.Finished.Add(o.Number)
			continue
		}
		open = append(open, o)
	}
	j.Occurrences = open
}

// Release releases what an ended job no longer needs once its record is stored and none of its runs is left.
func (j *Job) Release() {
	j.Occurrences = nil
	slim := *j.Submission
	slim.Payload, slim.Steps = "", nil
	j.Submission = &slim
	j.Released = true
}

// occurrence returns the open occurrence with the number, or nil.
func (j *Job) occurrence(k int) *Occurrence {
	n, ok := slices.BinarySearchFunc(j.Occurrences, k, func(o *Occurrence, k int) int { return o.Number - k })
	if !ok {
		return nil
	}
	return j.Occurrences[n]
}

// allDone reports whether all occurrences of the job are done.
func (j *Job) allDone() bool {
	done := j.Finished.Len()
	for _, o := range j.Occurrences {
		if o.Done() {
			done++
		}
	}
	return done == j.Submission.OccurrenceCount()
}

// restoreFinished records an occurrence that a stored record shows as done.
func (j *Job) restoreFinished(k int) {
	j.Finished.Add(k)
	j.NextOccurrence = max(j.NextOccurrence, k+1)
}
