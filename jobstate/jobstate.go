// Package jobstate holds the in-memory state of all jobs, runs and workers of an owner's domain, and the
// transitions that keep it consistent. It performs no I/O, takes the time as an argument and is not safe
// for concurrent use.
package jobstate

import (
	"strconv"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Phase is the stage of a run's life cycle.
type Phase int

// The phases of a run.
const (
	Planned  Phase = iota // decided, but not yet stored; no start has been sent
	Ordered               // stored; the start may have been sent to the worker
	Running               // the worker has confirmed the start
	Stopping              // to be stopped, or being stopped
)

func (p Phase) String() string {
	return [...]string{"planned", "ordered", "running", "stopping"}[p]
}

// End is the way in which a run ended.
type End string

// The ends of a run.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"  // by a fault of the task or of the worker
	EndStopped        End = "stopped" // by a stop order
	EndLeaseExpired   End = "lapsed"  // the worker's lease expired, or the worker or the run on it is gone
	EndGangBroken     End = "broken"  // another member of the gang ended
	EndGangIncomplete End = "alone"   // other members of the gang did not start in time
	EndNeverStarted   End = "void"    // the run was never started and cannot start any more
)

// Run is one attempt to run a task on a worker.
type Run struct {
	Task             *Task
	Number           int
	Worker           *Worker
	Phase            Phase
	PlannedAt        time.Time // when the run was decided
	OnAvoided        bool      // its worker was avoided then, and there was no other
	StartedAt        time.Time // when the worker confirmed the start; zero before
	StartAnswered    bool      // the worker answered its only start order, which was sent at StartSentAt, at StartedAt
	StartSentAt      time.Time // valid if StartAnswered
	StartClock       int64     // the worker's clock in that answer, milliseconds; valid if StartAnswered
	Resumed          bool      // it started from a checkpoint
	Percent          float64   // share of its work that is done
	Rate             float64   // percent a second over the last measured interval; valid if HasRate
	Stalled          bool      // almost no progress over the last measured interval
	HasRate          bool
	intervalPercent  float64   // Percent at the start of the current interval
	intervalClock    int64     // the worker's clock at the start of the current interval, milliseconds
	intervalStart    time.Time // when the report of that clock was processed
	intervalBegun    bool
	lastClock        int64   // the worker's clock in the newest report of the run, milliseconds; 0 without one
	Load             float64 // tail latency in milliseconds of a serving task; cores in use by another task
	StopReason       string
	StopRequestedAt  time.Time // when the stop was requested
	StartSent        bool      // this owner has sent the start order, or is about to
	StartWaits       bool      // the start order has not been sent yet
	StartUncertain   bool      // a newer incarnation of the worker may have received the start order or still may
	StopSent         bool      // the stop order is being sent, or has been
	CannotStartSince time.Time // when the worker confirmed a stop, after which it does not start the run; zero before
	SpeedPercent     int       // share of full speed that was ordered by a throttle order, in percent; 100 without one
	Throttle         Throttle  // whether the worker lets the run work at that speed
}

// Throttle is what is known of the orders on the speed of a run.
type Throttle struct {
	Unconfirmed bool      // the worker has not confirmed the last order
	Inherited   bool      // a former owner may have given an order, and this one has not confirmed one yet
	InProgress  bool      // an order is being sent
	ConfirmedAt time.Time // when the last confirmed order was sent
	LateUntil   time.Time // until then, an order without an answer may be executed
}

// Uncertain reports whether the worker may let the run work at another speed than was ordered last.
func (t Throttle) Uncertain() bool {
	return t.Unconfirmed || t.Inherited || t.ConfirmedAt.Before(t.LateUntil)
}

// FullSpeed reports whether the run is known to work at full speed.
func (r *Run) FullSpeed() bool { return r.SpeedPercent == 100 && !r.Throttle.Uncertain() }

// RequestStop puts the run into the phase Stopping.
func (r *Run) RequestStop(reason string, now time.Time) {
	r.Phase = Stopping
	r.StopReason = reason
	r.StopRequestedAt = now
}

// Task is one task of a step.
type Task struct {
	Step        *Step
	Index       int
	LastRun     int // number of the newest run; 0 before the first
	Failures    int
	Checkpoint  string
	Done        bool
	Run         *Run
	FailedOn    string    // id of the worker where a run failed last
	Preempted   bool      // its last run was stopped for a more urgent job
	RanUntil    time.Time // when the last of its runs ended that had started; zero before
	StoppedSlow bool      // a run was stopped as slow; that is done only once, because the task itself may be long
}

// Name returns the name that identifies the task to workers.
func (t *Task) Name() workload.TaskName {
	o := t.Step.Occurrence
	return workload.TaskName{Job: o.Job.Submission.ID, Occurrence: o.Number, Step: t.Step.Number, Index: t.Index}
}

// Step is a step of an occurrence.
type Step struct {
	Occurrence   *Occurrence
	Number       int
	Spec         *workload.Step
	Tasks        []*Task
	DoneTasks    int
	Active       int // tasks with a run
	Failures     int // of a gang; the tasks of other steps count their own
	failedRun    int // highest run number counted in Failures: each member of a gang reports the failure
	Checkpoint   string
	ReadyAt      time.Time // when its tasks could first start; zero while it waits for other steps
	WaitingSince time.Time // ReadyAt, or when the last run ended that had started and has to be repeated
	NotBefore    time.Time // earliest next start, after a refused start or a failed call for advice
	ReclaimedAt  time.Time // when runs were last preempted for it
	// CapReclaimedAt is when runs of its own workspace were last preempted for it because of the cap, and
	// CapReclaimFailedAt when the last search found none.
	CapReclaimedAt, CapReclaimFailedAt time.Time

	Reserved        []Reservation     // resources that were chosen for it
	Tickets         map[string]Ticket // by worker id; only for queues that need advice
	AdvicePending   bool              // a request for advice is queued or in progress
	RateCheckDue    bool              // a rate was measured since the rates of the runs were last compared
	ReclaimFailedAt time.Time         // when the last search found no resources worth reclaiming
	Expected        time.Duration     // learned run time of its tasks, for the intervals of rates; 0 for the declared one
	OrderTime       time.Duration     // run time of its tasks by which the newest decision ordered it
	WaitReason      WaitReason        // why the newest decision did not start its waiting tasks; valid if it has any
	WaitReports     int               // log lines about the current wait
}

// Ticket is the advice for one worker, for a step of a queue that needs advice.
type Ticket struct {
	Value       string
	Allowed     bool // whether the worker may run the step; never changes
	Incarnation int64
	Expires     time.Time
}

// Admits reports whether the queue's policy currently allows the worker to run the step.
func (s *Step) Admits(w *Worker, now time.Time) bool {
	if s.Occurrence.Job.Route.Advice == nil {
		return true
	}
	ticket, ok := s.Tickets[w.ID]
	return ok && ticket.Allowed && ticket.Incarnation == w.Incarnation && now.Add(ticketMargin).Before(ticket.Expires)
}

// Denies reports whether the queue's policy has refused to let the worker run the step.
func (s *Step) Denies(w *Worker) bool {
	ticket, ok := s.Tickets[w.ID]
	return ok && !ticket.Allowed && ticket.Incarnation == w.Incarnation
}

// ticketMargin is how long before its expiry a ticket is no longer used. It covers the time that a start
// order takes to arrive.
const ticketMargin = 300 * time.Millisecond

// Name returns the step's name: JOB.OCCURRENCE.STEP.
func (s *Step) Name() string {
	return s.Occurrence.Job.Submission.ID + "." + strconv.Itoa(s.Occurrence.Number) + "." + strconv.Itoa(s.Number)
}

// Reservation holds resources of a worker for a number of tasks of a step.
type Reservation struct {
	Worker *Worker
	Tasks  int
}

func (s *Step) Done() bool { return s.DoneTasks == len(s.Tasks) }

// Waiting returns the number of tasks that are not done and have no run.
func (s *Step) Waiting() int { return len(s.Tasks) - s.DoneTasks - s.Active }

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Job     *Job
	Number  int
	Late    time.Duration // how long it had been due when it was opened
	Overdue bool          // it was of no use in time any more then
	Steps   []*Step
	done    int // steps that are done
}

func (o *Occurrence) Done() bool { return o.done == len(o.Steps) }

// Ready reports whether all steps that the step depends on are done.
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
	Submission     *workload.Submission
	Route          workload.Route
	State          workload.State
	StoredState    workload.State // the state in the newest stored record
	Started        bool           // at least one task has started
	ArrivedAt      time.Time      // when this owner added the job
	EndedAt        time.Time
	RanUntil       time.Time // when the last of its runs ended that had started
	Revision       uint64    // store revision of the record; 0 before the first write
	Sequence       uint64    // sequence number in the stored record
	Dirty          bool      // the record differs from the stored one and from the one that is being written
	UnwrittenSince time.Time // when it was first found to differ; zero if it does not
	Writing        bool      // a record is being written
	WritingFrom    time.Time // when its write began; valid while Writing
	RejectedUntil  time.Time // the store did not accept the record, which is not written before; zero if it did
	// StoredUnresponsive and WritingUnresponsive hold the workers that the newest stored record, and the newest one
	// whose write has begun, show as unresponsive.
	StoredUnresponsive, WritingUnresponsive map[*Worker]bool

	// Occurrences holds the open occurrences, by number. Those that are done stay until ReleaseDone.
	Occurrences    []*Occurrence
	Finished       workload.Ranges // numbers of the occurrences that are done and have been released
	NextOccurrence int             // number of the next occurrence to open

	unrecordedStarts int   // runs that were planned since the newest record
	Released         bool  // Release was called
	RecordBytes      int   // size of the newest record
	Footprint        int64 // memory that it counts for, in bytes
	OpenWindow       int   // how many occurrences with nothing running may be open at a time
}

// Worker is one incarnation of a worker: the lifetime of one worker process. A restarted worker keeps its id
// and has a higher Incarnation.
type Worker struct {
	ID          string
	Incarnation int64 // start of the process, Unix milliseconds
	Address     string
	Service     string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    workload.Resources
	Used        workload.Resources

	Confirmed         bool // this incarnation has answered at Address, to this owner or to a former one
	Listed            bool // it has an entry in the store
	Draining          bool
	UpkeepPending     bool          // its machine is the next one to be taken down for upkeep
	Answered          bool          // it has answered this owner, and its lease has not expired since
	AvoidUntil        time.Time     // it gets no new work before this time, because runs failed or were slow there
	BlockedUntil      time.Time     // it must get no new work before this time: it did not answer, refused a start, or may carry out a late order
	EntryWrittenAfter suspend.Stamp // a time before its newest entry was written
	ReportedAt        time.Time     // when its newest report was requested
	LeaseEnds         time.Time     // latest possible end of its lease, by this process's clock, unless it is renewed
	LeavesAt          time.Time     // a draining worker stays at least until this time

	// For a worker that does not answer, or that is about to leave, the end of its lease is stored in the records
	// of its runs, so that the next owner need not wait for a full lease again. While such a record may exist, the
	// lease is not renewed, because the stored end must remain valid.
	Unresponsive       bool
	Leaving            bool  // it drains, and its lease lasts until it may leave
	UnresponsiveStored bool  // a stored record may contain the end of its lease
	RecordedLeaseEnds  int64 // end of its lease as stored, Unix milliseconds; 0 if none is stored
	// RecordedLeaseClock is the same end on the clock of another worker, which does not depend on the wall
	// clocks of instances; nil if none is stored.
	RecordedLeaseClock *workload.ClockReading

	// Epoch is the number of earlier incarnations with the same id since the start of the term.
	Epoch uint64

	Runs map[*Run]struct{}

	Untracked map[string]workload.Resources // resources of the tasks on the worker that match no entry of Runs, by task name

	FailStreak      int // consecutive failed runs
	RefusalStreak   int // consecutive times at which it refused starts or was not reached
	StragglerStreak int // consecutive runs that were stopped as stragglers
}

// LeaseIsFinal reports whether the lease is not renewed and its end belongs into the records of the worker's runs.
func (w *Worker) LeaseIsFinal() bool { return w.Unresponsive || w.Leaving }

func (w *Worker) Free() workload.Resources { return w.Capacity.Sub(w.Used) }

// HasLabel reports whether the worker has the label. Every worker has the empty label.
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

// Place adds a planned run of the task on the worker and reserves its resources there.
func (c *Cluster) Place(t *Task, w *Worker, number int, now time.Time) *Run {
	r := &Run{Task: t, Number: number, Worker: w, Phase: Planned, PlannedAt: now, SpeedPercent: 100, Resumed: t.Step.StartCheckpoint(t) != ""}
	t.Run = r
	t.LastRun = number
	t.Preempted = false
	t.Step.Active++
	j := t.Step.Occurrence.Job
	j.Dirty = true
	j.unrecordedStarts++
	w.Runs[r] = struct{}{}
	w.Used = w.Used.Add(t.Step.Spec.Allocation())
	return r
}

// NextRunNumber returns the number of the next run of the task. All members of a gang have the same run number,
// and t is not used for them.
func (s *Step) NextRunNumber(t *Task) int {
	if !s.Spec.Gang {
		return t.LastRun + 1
	}
	last := 0
	for _, t := range s.Tasks {
		last = max(last, t.LastRun)
	}
	return last + 1
}

// StartCheckpoint returns the checkpoint from which the next run of the task starts.
func (s *Step) StartCheckpoint(t *Task) string {
	if s.Spec.Gang {
		return s.Checkpoint
	}
	return t.Checkpoint
}

// SetCheckpoint sets the newest checkpoint of the task or, for a gang, of the step. An empty value is
// ignored.
func (t *Task) SetCheckpoint(value string) {
	if value == "" {
		return
	}
	if t.Step.Spec.Gang {
		t.Step.Checkpoint = value
		return
	}
	t.Checkpoint = value
}

// Confirm records that the worker has started the run.
func (r *Run) Confirm(now time.Time) {
	if r.StartedAt.IsZero() {
		r.StartedAt = now
	}
	if r.Phase == Planned || r.Phase == Ordered {
		r.Phase = Running
	}
	r.StartUncertain = false
	j := r.Task.Step.Occurrence.Job
	j.Started = true
	if j.State == workload.Queued {
		j.State = workload.Running
		j.Dirty = true
	}
}

// release removes the run from its worker and frees its resources.
func (c *Cluster) release(r *Run) {
	delete(r.Worker.Runs, r)
	r.Worker.Used = r.Worker.Used.Sub(r.Task.Step.Spec.Allocation())
	if r.Task.Run == r {
		r.Task.Run = nil
		r.Task.Step.Active--
	}
}

// End removes a run that has ended and applies the effects on its task, step and job.
func (c *Cluster) End(r *Run, outcome End, checkpoint string, now time.Time) {
	t, s := r.Task, r.Task.Step
	j := s.Occurrence.Job
	c.release(r)
	j.Dirty = true
	t.SetCheckpoint(checkpoint)
	if outcome != EndDone && outcome != EndNeverStarted {
		s.WaitingSince = now
	}
	if !r.StartedAt.IsZero() {
		t.RanUntil, j.RanUntil = now, now
	}
	switch outcome {
	case EndDone:
		if s.Spec.LongRunning {
			return
		}
		s.completeTask(t, now)
	case EndFailed:
		t.FailedOn = r.Worker.ID
		s.countFailure(t, r.Number)
		if !s.Spec.LongRunning && j.Route.MaxAttempts > 0 && max(s.Failures, t.Failures) >= j.Route.MaxAttempts {
			j.end(workload.Failed, now)
		}
	}
	j.completeIfDone(now)
}

func (s *Step) completeTask(t *Task, now time.Time) {
	if s.Done() {
		return // another member of the gang has reported the end
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
			t.Run = nil // the run stays in Worker.Runs until the worker reports its end
		}
	}
	if s.Done() {
		s.Occurrence.done++
		s.Occurrence.markReady(now)
	}
}

func (s *Step) countFailure(t *Task, number int) {
	if !s.Spec.Gang {
		t.Failures++
		return
	}
	if number > s.failedRun {
		s.failedRun = number
		s.Failures++
	}
}

func (j *Job) completeIfDone(now time.Time) {
	if j.State.Ended() {
		return
	}
	if j.allDone() {
		j.end(workload.Completed, now)
	}
}

// AwaitsOnlyRuns reports whether the job ends as soon as its current runs have ended as done: it has no
// further occurrences, waiting tasks or long-running steps.
func (j *Job) AwaitsOnlyRuns() bool {
	if j.State != workload.Running || j.NextOccurrence < j.Submission.OccurrenceCount() {
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

// Cancel ends the job as cancelled unless it has ended. The caller must stop its runs.
func (j *Job) Cancel(now time.Time) { j.end(workload.Cancelled, now) }

// Complete ends the job as completed unless it has ended. It is for jobs that a former owner reported as
// completed.
func (j *Job) Complete(now time.Time) { j.end(workload.Completed, now) }
