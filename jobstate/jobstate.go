// Package jobstate holds the state of all jobs, runs and workers of an owner's domain in
// memory. It is plain data with the transitions that keep it consistent; it performs no
// I/O, takes time as an argument and is not safe for concurrent use.
package jobstate

import (
	"strconv"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Phase is how far a run has come.
type Phase int

// The phases of a run.
const (
	Planned  Phase = iota // decided, not yet in the store; nothing was ordered
	Ordered               // in the store; the worker may have been told
	Running               // the worker has confirmed it
	Stopping              // a stop is wanted
)

// End is how a run ended.
type End string

// The ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // through the task's own fault or the worker's
	EndStopped End = "stopped" // on an order
	EndLapsed  End = "lapsed"  // the worker's lease ran out, or the worker is gone
	EndBroken  End = "broken"  // another member of the gang ended
	EndAlone   End = "alone"   // the other members of the gang did not come
	EndVoid    End = "void"    // never started and never will
)

// Run is one start of a task on a worker.
type Run struct {
	Task       *Task
	Number     int
	Worker     *Worker
	Phase      Phase
	Since      time.Time // of the decision
	StartedAt  time.Time // when the worker confirmed it
	Percent    float64   // of its work
	Rate       float64   // percent a second over the newest interval; valid if Rated
	Stalled    bool      // no percent was done over the newest interval
	Rated      bool
	rateFrom   float64 // percent at the start of the interval that is being measured
	rateSince  time.Time
	Load       float64 // tail in milliseconds of a serving task, cores in use of another
	StopReason string
	StopSince  time.Time // since when the stop is wanted
	Sent       bool      // this owner has ordered the start
	Doubtful   bool      // the next life of its worker may have got the order, or may still
	StopSent   bool      // the stop is being ordered, or has been
	Rejected   time.Time // since when the worker will not start it any more; zero if it may
	Pace       int       // percent that was ordered; 100 without an order
}

// Stop notes that the run is to be stopped.
func (r *Run) Stop(reason string, now time.Time) {
	r.Phase = Stopping
	r.StopReason = reason
	r.StopSince = now
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      int
	LastRun    int
	Failures   int
	Checkpoint string
	Done       bool
	Run        *Run
	FailedOn   string // id of the worker of the last failed run
	Lagged     bool   // a run was taken away because it was slow: the task may be long itself
}

// Name returns the task's name on workers.
func (t *Task) Name() workload.TaskName {
	o := t.Step.Occurrence
	return workload.TaskName{Job: o.Job.Submission.ID, Occurrence: o.Number, Step: t.Step.Number, Index: t.Index}
}

// Step is a step of an occurrence.
type Step struct {
	Occurrence *Occurrence
	Number     int
	Spec       *workload.Step
	Tasks      []*Task
	DoneTasks  int
	Active     int // tasks with a run
	Failures   int // of a gang
	failedRun  int // newest run number that was counted in Failures
	Checkpoint string
	ReadyAt    time.Time         // when its tasks could first start; zero while it waits for other steps
	WaitsSince time.Time         // ReadyAt, or when the newest run ended that has to be repeated
	NotBefore  time.Time         // no start before, after a failed start
	Reclaimed  time.Time         // when runs were last preempted for it
	Promised   []Promise         // room that was chosen for it then
	Tickets    map[string]Ticket // by worker; of queues that need advice
	Asking     bool              // advice is being asked for
	Measured   bool              // the rate of a run has been measured since the runs were compared
	NoRoomAt   time.Time         // when no room that is worth its price was found last
}

// Ticket is what is known of a worker for a step of a queue that needs advice.
type Ticket struct {
	Value   string
	Good    bool // the worker may run the step; this does not change
	Life    int64
	Expires time.Time
}

// Admits reports whether the queue's policy lets the worker run the step now.
func (s *Step) Admits(w *Worker, now time.Time) bool {
	if s.Occurrence.Job.Route.Advice == nil {
		return true
	}
	ticket, ok := s.Tickets[w.ID]
	return ok && ticket.Good && ticket.Life == w.Life && now.Add(ticketMargin).Before(ticket.Expires)
}

// ticketMargin is how long before its end a ticket is not used any more: a start takes that
// long to arrive.
const ticketMargin = 300 * time.Millisecond

// Name returns the step's name: JOB.OCCURRENCE.STEP.
func (s *Step) Name() string {
	return s.Occurrence.Job.Submission.ID + "." + strconv.Itoa(s.Occurrence.Number) + "." + strconv.Itoa(s.Number)
}

// Promise is room on a worker for a number of tasks of a step.
type Promise struct {
	Worker *Worker
	Tasks  int
}

// Done reports whether all tasks are done.
func (s *Step) Done() bool { return s.DoneTasks == len(s.Tasks) }

// Waiting returns the tasks that are neither done nor have a run.
func (s *Step) Waiting() int { return len(s.Tasks) - s.DoneTasks - s.Active }

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	Job    *Job
	Number int
	Steps  []*Step
	done   int
}

// Done reports whether all steps are done.
func (o *Occurrence) Done() bool { return o.done == len(o.Steps) }

// Ready reports whether all steps that the step waits for are done.
func (o *Occurrence) Ready(s *Step) bool {
	for _, n := range s.Spec.After {
		if !o.Steps[n].Done() {
			return false
		}
	}
	return true
}

// Job is an accepted job.
type Job struct {
	Submission *workload.Submission
	Route      workload.Route
	State      workload.State
	Shown      workload.State // the newest state that is in the store
	Started    bool           // a task has started at least once
	ArrivedAt  time.Time      // at this owner
	EndedAt    time.Time
	Revision   uint64 // of the stored record; 0 before the first write
	Sequence   uint64 // of the stored record
	Dirty      bool   // the record differs from the stored one
	Fragile    bool   // an end that is not stored was reported by a worker that may leave

	Occurrences []*Occurrence // those that are due, by number
}

// Worker is one life of a worker.
type Worker struct {
	ID       string
	Life     int64 // start of the worker, Unix milliseconds
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity workload.Amount
	Used     workload.Amount

	Listed     bool // its entry is in the store
	Draining   bool
	Reserved   bool          // its machine is next for its upkeep
	Heard      bool          // it has answered this owner
	Suspect    time.Time     // gets no new work before
	SeenAt     suspend.Stamp // before its newest entry was written
	ReportedAt time.Time     // when its newest report was asked for
	LeaseEnds  time.Time     // at the latest by this process's clock, if the worker is not heard again
	LeavesAt   time.Time     // a draining worker stays at least until then

	// A worker that does not answer is noted in the records of its runs, so that the next owner
	// need not wait for a whole lease again. While a record may say so, no lease is renewed.
	Silent       bool
	SilentStored bool  // a record may say so
	RecordedEnds int64 // end of its lease as a former owner has stored it, Unix milliseconds; 0 if it has not

	Runs map[*Run]struct{}

	Strays map[string]workload.Amount // tasks there that no run of this state accounts for

	FailStreak int // failed runs in a row
	LagStreak  int // runs in a row that were taken away because they lagged
}

// Free returns the room that is left.
func (w *Worker) Free() workload.Amount { return w.Capacity.Sub(w.Used) }

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Open adds occurrence k of the job.
func (j *Job) Open(k int, now time.Time) *Occurrence {
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
	o.refresh(now)
	return o
}

// refresh notes when steps became ready.
func (o *Occurrence) refresh(now time.Time) {
	for _, s := range o.Steps {
		if s.ReadyAt.IsZero() && o.Ready(s) {
			s.ReadyAt, s.WaitsSince = now, now
		}
	}
}

// OpenDue opens the occurrences that are due at the time of day. It returns when the next
// one is due, or 0.
func (j *Job) OpenDue(wall int64, now time.Time) int64 {
	each := 0
	for n := range j.Submission.Steps {
		each += j.Submission.Steps[n].Tasks
	}
	for k, open := len(j.Occurrences), j.openTasks(); k < j.Submission.OccurrenceCount(); k, open = k+1, open+each {
		if due := j.Submission.Due(k); due > wall || open >= workload.MaxJobTasks {
			return due
		}
		j.Open(k, now)
	}
	return 0
}

// openTasks returns the tasks of the occurrences that have been opened and are not done. As many as
// one occurrence may have at most are open at a time; further ones wait.
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

// Place plans a run of the task on the worker.
func (c *Cluster) Place(t *Task, w *Worker, number int, now time.Time) *Run {
	r := &Run{Task: t, Number: number, Worker: w, Phase: Planned, Since: now, Pace: 100}
	t.Run = r
	t.LastRun = number
	t.Step.Active++
	t.Step.Occurrence.Job.Dirty = true
	w.Runs[r] = struct{}{}
	w.Used = w.Used.Add(t.Step.Spec.Allocation())
	return r
}

// NextRun returns the number that the next run of the task must have. Members of a gang
// share it.
func (s *Step) NextRun(t *Task) int {
	if !s.Spec.Gang {
		return t.LastRun + 1
	}
	last := 0
	for _, t := range s.Tasks {
		last = max(last, t.LastRun)
	}
	return last + 1
}

// StartFrom returns the checkpoint that a start of the task carries.
func (s *Step) StartFrom(t *Task) string {
	if s.Spec.Gang {
		return s.Checkpoint
	}
	return t.Checkpoint
}

// NoteCheckpoint keeps the newest checkpoint of the task.
func (t *Task) NoteCheckpoint(value string) {
	if value == "" {
		return
	}
	if t.Step.Spec.Gang {
		t.Step.Checkpoint = value
		return
	}
	t.Checkpoint = value
}

// Confirm notes that the worker runs the run.
func (r *Run) Confirm(now time.Time) {
	if r.StartedAt.IsZero() {
		r.StartedAt = now
	}
	if r.Phase == Planned || r.Phase == Ordered {
		r.Phase = Running
	}
	r.Doubtful = false
	j := r.Task.Step.Occurrence.Job
	j.Started = true
	if j.State == workload.Queued {
		j.State = workload.Running
		j.Dirty = true
	}
}

// release takes the run off its worker.
func (c *Cluster) release(r *Run) {
	delete(r.Worker.Runs, r)
	r.Worker.Used = r.Worker.Used.Sub(r.Task.Step.Spec.Allocation())
	if r.Task.Run == r {
		r.Task.Run = nil
		r.Task.Step.Active--
	}
}

// End notes that a run ended and what follows for its job.
func (c *Cluster) End(r *Run, how End, checkpoint string, now time.Time) {
	t, s := r.Task, r.Task.Step
	j := s.Occurrence.Job
	c.release(r)
	j.Dirty = true
	j.Fragile = j.Fragile || r.Worker.Draining || !r.Worker.Listed
	t.NoteCheckpoint(checkpoint)
	if how != EndDone {
		s.WaitsSince = now
	}
	switch how {
	case EndDone:
		if s.Spec.LongRunning {
			return
		}
		s.finish(t, now)
	case EndFailed:
		t.FailedOn = r.Worker.ID
		s.fail(t, r.Number)
		if !s.Spec.LongRunning && j.Route.MaxAttempts > 0 && max(s.Failures, t.Failures) >= j.Route.MaxAttempts {
			j.end(workload.Failed, now)
		}
	}
	j.refresh(now)
}

func (s *Step) finish(t *Task, now time.Time) {
	if s.Done() {
		return // each member of a gang reports the end
	}
	tasks := []*Task{t}
	if s.Spec.Gang {
		tasks = s.Tasks
	}
	for _, t := range tasks {
		if t.Done {
			continue
		}
		t.Done = true
		s.DoneTasks++
		if t.Run != nil {
			s.Active--
			t.Run = nil // its run is kept with the worker until it is listed as ended
		}
	}
	if s.Done() {
		s.Occurrence.done++
		s.Occurrence.refresh(now)
	}
}

func (s *Step) fail(t *Task, number int) {
	if !s.Spec.Gang {
		t.Failures++
		return
	}
	if number > s.failedRun {
		s.failedRun = number
		s.Failures++
	}
}

func (j *Job) refresh(now time.Time) {
	if j.State.Ended() {
		return
	}
	done := 0
	for _, o := range j.Occurrences {
		if o.Done() {
			done++
		}
	}
	if done == j.Submission.OccurrenceCount() {
		j.end(workload.Completed, now)
	}
}

// MayEnd reports whether nothing but the ends of runs is missing for the job to end.
func (j *Job) MayEnd() bool {
	if j.State != workload.Running || len(j.Occurrences) < j.Submission.OccurrenceCount() {
		return false
	}
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if !s.Done() && (s.Waiting() > 0 || s.Spec.LongRunning) {
				return false
			}
		}
	}
	return true
}

func (j *Job) end(state workload.State, now time.Time) {
	if j.State.Ended() {
		return
	}
	j.State = state
	j.EndedAt = now
	j.Dirty = true
}

// Cancel ends the job unless it has ended. Its runs must be stopped.
func (j *Job) Cancel(now time.Time) { j.end(workload.Cancelled, now) }

// Complete ends the job as completed, on the word of a former owner.
func (j *Job) Complete(now time.Time) { j.end(workload.Completed, now) }

// Runs returns the runs of the job that may exist.
func (j *Job) Runs() []*Run {
	var runs []*Run
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				if t.Run != nil {
					runs = append(runs, t.Run)
				}
			}
		}
	}
	return runs
}

// Queue returns the name of the route that the job was submitted to.
func (j *Job) Queue() string { return j.Submission.Queue.Name }
