package testplatform

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// orderLatency is how long a call to a worker takes.
	orderLatency = 2 * time.Millisecond
	// drainTime is how long a draining worker announces to stay.
	drainTime = 2 * time.Second
	// gangTimeout is how long a run of a gang waits for the other members to start.
	gangTimeout = 3 * time.Second
	// MaxLease is the default of Fleet.MaxLease.
	MaxLease = 10 * time.Second
	// cancelBound is how long after the acknowledged cancellation of its job a task may still be started.
	cancelBound = 3 * time.Second
	// drainBound is how long after it reported that it drains a worker may still be given tasks.
	drainBound = 2 * time.Second
	// evacuateBound is how long after its evacuation tasks may still be started in a data centre.
	evacuateBound = 5 * time.Second
	// reclaimBound is the time after its acceptance by which an urgent job must have started if the
	// urgent jobs of its workspace need no more than the guarantee.
	reclaimBound = 2700 * time.Millisecond
	// completedBound is how long after its job was reported as completed a task may still be started.
	completedBound = time.Second
	// overTargetBound is how long the tail latency of a serving task may stay over its target while
	// fillers work on the same worker.
	overTargetBound = 4 * time.Second
)

// Fleet is a set of workers with an oracle that checks the rules for running tasks. It implements
// workerapi.Client.
type Fleet struct {
	// Outcome returns how long a run works and how it ends.
	Outcome func(task workload.TaskName, run int) (time.Duration, jobstate.End)

	// Failing reports whether all runs that start on the worker fail. If it is nil, none does.
	Failing func(worker string) bool
	// Load returns the tail latency in milliseconds that every run reports. speedPercents holds the
	// ordered percentages of full speed by task. If Load is nil, runs report 0.
	Load func(speedPercents map[string]int) float64
	// QuotaMargin allows the margin of the users' rule on caps. Without it the bound is the cap itself.
	QuotaMargin bool
	// Guarantees holds the number of accelerators guaranteed to the urgent jobs of each workspace.
	Guarantees map[string]int
	// AdvanceInterval is the minimum time between two checks of all workers for runs that have ended, for
	// large fleets; 0 checks at each call. A call always checks the worker that it is sent to.
	AdvanceInterval time.Duration
	// Undisturbed reports whether the last fault ended long enough ago that its effects are over. Some
	// rules apply only then.
	Undisturbed func() bool
	// StandingUnder is the share of the capacity in use from which jobs may stand, as by the users' rule; 0 for no limit.
	StandingUnder float64
	// CalmSince returns when the last fault ended, or the zero time during a fault.
	CalmSince func() time.Time
	// Ended reports whether callers see the job as ended, and Accepted whether its submission was acknowledged.
	Ended, Accepted func(job string) bool
	// MaxLease is the maximum duration of a worker's lease.
	MaxLease time.Duration
	// MaxReportedEnds limits the ends that a report lists, oldest first; 0 for no limit.
	MaxReportedEnds int
	// RecordedOn returns the worker on which the job's record shows a run of the task, or "".
	RecordedOn func(task workload.TaskName) string

	faultMu sync.Mutex // held during calls of fault, so that they do not overlap
	fault   func(worker, call string) Fault

	mu            sync.Mutex
	workers       map[string]*worker
	jobs          map[string]*workload.Submission
	cancelled     map[string]time.Time
	doneTasks     map[string]bool // tasks with a run that has ended as done
	ackedDone     map[string]bool // tasks whose end as done the owner has acknowledged
	ackedFailures map[string]int  // failed runs that the owner has acknowledged, by task
	speedPercents map[string]int
	gangs         map[workload.TaskName]map[*run]bool // runs of gangs that are on workers, by gangName
	advancedAt    time.Time                           // when all workers were last checked
	startedJobs   map[string]bool                     // jobs with a task that was started
	failedRuns    map[string]int                      // all failed runs, by task

	reportedCompleted map[string]time.Time // when callers were first told that a job is completed

	startedTasks    map[string]bool
	urgentUnchecked map[string]time.Time // submission times of urgent jobs that checkReclaim has not checked
	evacuated       map[string]time.Time // evacuated data centres and when they were evacuated

	starts          int
	violations      []string
	lastIncarnation int64             // of the last worker that was added
	addresses       map[string]string // by worker id
	caps            map[string][]capChange
	standing        standing
}

type worker struct {
	entry         workerapi.Entry
	drainingSince time.Time // zero if the worker does not drain
	born          time.Time
	token         uint64
	lease         time.Time
	runs          map[string]*run // by task
	ended         []workerapi.EndedRun
	voidUpTo      int64          // ended runs up to this number do not count: the lease expired before they were acknowledged
	lastClosed    map[string]int // highest stopped or ended run by task; starts up to it are refused
	number        int64          // of the last ended run
	changed       chan struct{}  // closed when a run ends
}

type run struct {
	number   int
	name     workload.TaskName
	started  time.Time
	working  bool
	finish   time.Time
	outcome  jobstate.End
	restored string

	overTargetSince time.Time // since when fillers have worked beside it while it was over its target
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	f := &Fleet{
		Outcome:     func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Second, jobstate.EndDone },
		Undisturbed: func() bool { return true },
		workers:     map[string]*worker{}, jobs: map[string]*workload.Submission{}, cancelled: map[string]time.Time{},
		doneTasks: map[string]bool{}, ackedDone: map[string]bool{}, ackedFailures: map[string]int{}, startedJobs: map[string]bool{}, speedPercents: map[string]int{},
		gangs: map[workload.TaskName]map[*run]bool{}, failedRuns: map[string]int{}, reportedCompleted: map[string]time.Time{}, startedTasks: map[string]bool{}, urgentUnchecked: map[string]time.Time{}, evacuated: map[string]time.Time{},
	}
	created := time.Now()
	f.addresses = map[string]string{}
	f.standing, f.CalmSince, f.Ended = newStanding(), func() time.Time { return created }, f.jobDone
	f.Accepted, f.MaxLease = func(string) bool { return true }, MaxLease
	f.RecordedOn = func(workload.TaskName) string { return "" }
	f.SetFault(func(string, string) Fault { return None })
	return f
}

// SetFault replaces the function that chooses the fault of each call to a worker.
func (f *Fleet) SetFault(fault func(worker, call string) Fault) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.fault = fault
}

func (f *Fleet) nextFault(worker, call string) Fault {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.fault(worker, call)
}

// Add starts a worker and returns its entry. It replaces a worker with the same ID, as a restart does.
func (f *Fleet) Add(id, dataCentre, rack string, capacity workload.Resources) workerapi.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastIncarnation++
	if f.addresses[id] == "" {
		f.addresses[id] = "10.0.0.1:" + id
	}
	entry := workerapi.Entry{
		Worker: workerapi.Target{ID: id, Address: f.addresses[id]}, Incarnation: f.lastIncarnation, Service: "service",
		DataCentre: dataCentre, Rack: rack, Labels: []string{"a", rack}, Capacity: capacity,
	}
	if former := f.workers[id]; former != nil {
		f.standing.runsLost(former, 0)
	}
	delete(f.standing.leases, id)
	f.discardRuns(id)
	f.workers[id] = &worker{entry: entry, born: time.Now(), runs: map[string]*run{}, lastClosed: map[string]int{}, changed: make(chan struct{})}
	return entry
}

// SetNextIncarnation sets the incarnation of the next worker that is added. Those of later ones follow.
func (f *Fleet) SetNextIncarnation(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastIncarnation = n - 1
}

// Entry returns the worker's entry, and false if there is no such worker.
func (f *Fleet) Entry(id string) (workerapi.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return workerapi.Entry{}, false
	}
	entry := w.entry
	if !w.drainingSince.IsZero() {
		entry.Draining, entry.DrainTime = true, drainTime
	}
	return entry, true
}

// RecordSubmission adds a job to those whose tasks may be started.
func (f *Fleet) RecordSubmission(s *workload.Submission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[s.ID] = s
	if s.Queue.Priority == 0 {
		f.urgentUnchecked[s.ID] = time.Now()
	}
}

// RecordCancellation records when the cancellation of a job was acknowledged.
func (f *Fleet) RecordCancellation(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelled[id]; !ok {
		f.cancelled[id] = time.Now()
	}
}

// Violations returns the violations of rules that have been recorded so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Running returns the number of runs on all workers.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

func (f *Fleet) violate(rule, format string, args ...any) {
	f.violations = append(f.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance ends runs whose lease, gang timeout or work is over, and starts the work of complete gangs. The
// caller holds the lock.
func (f *Fleet) advance() {
	now := time.Now()
	f.advancedAt = now
	for _, w := range f.workers {
		f.expireLease(w, now)
	}
	for _, w := range f.workers {
		f.advanceWorker(w, now)
	}
	f.checkReclaim(now)
}

// advanceFor is advance for a call to one worker. It checks the others at most once in AdvanceInterval.
func (f *Fleet) advanceFor(id string) {
	now := time.Now()
	if now.Sub(f.advancedAt) >= f.AdvanceInterval {
		f.advance()
	} else if w := f.workers[id]; w != nil {
		f.expireLease(w, now)
		f.advanceWorker(w, now)
	}
}

func (f *Fleet) expireLease(w *worker, now time.Time) {
	if len(w.runs) > 0 && now.After(w.lease) {
		for task := range w.runs {
			f.end(w, task, jobstate.EndLeaseExpired)
		}
	}
	if now.After(w.lease) {
		w.voidUpTo = w.number
	}
}

func (f *Fleet) advanceWorker(w *worker, now time.Time) {
	for task, r := range w.runs {
		f.advanceRun(w, task, r, now)
	}
}

func (f *Fleet) advanceRun(w *worker, task string, r *run, now time.Time) {
	if w.runs[task] != r {
		return // ended together with its gang
	}
	if !r.working {
		if members, complete := f.gang(r); complete {
			for _, m := range members {
				m.working, m.finish = true, now.Add(time.Until(r.finish))
			}
		} else if now.Sub(r.started) > gangTimeout {
			if f.Undisturbed() {
				f.violate("GANG", "%s run %d ended because its gang was incomplete", task, r.number)
			}
			f.end(w, task, jobstate.EndGangIncomplete)
		}
		return
	}
	if now.Before(r.finish) {
		return
	}
	f.end(w, task, r.outcome)
}

// gangName returns the name of the first member of the run's gang, as a key of Fleet.gangs.
func (r *run) gangName() workload.TaskName {
	name := r.name
	name.Index = 0
	return name
}

// gang returns the started members of the run's gang, and whether all members have started.
func (f *Fleet) gang(r *run) ([]*run, bool) {
	var members []*run
	for other := range f.gangs[r.gangName()] {
		if other.number == r.number {
			members = append(members, other)
		}
	}
	return members, len(members) == f.jobs[r.name.Job].Steps[r.name.Step].Tasks
}

// discardRuns removes the runs of a worker that stops without an end of them.
func (f *Fleet) discardRuns(id string) {
	if w := f.workers[id]; w != nil {
		for _, r := range w.runs {
			f.leaveGang(r)
		}
	}
}

func (f *Fleet) leaveGang(r *run) {
	members := f.gangs[r.gangName()]
	delete(members, r)
	if len(members) == 0 {
		delete(f.gangs, r.gangName())
	}
}

// end ends a run and the other runs of its gang. The caller holds the lock.
func (f *Fleet) end(w *worker, task string, outcome jobstate.End) {
	r := w.runs[task]
	delete(w.runs, task)
	f.standing.runEnded(r.name, time.Now())
	f.leaveGang(r)
	w.lastClosed[task] = max(w.lastClosed[task], r.number)
	w.number++
	w.ended = append(w.ended, workerapi.EndedRun{Sequence: w.number, Task: task, Run: r.number, Outcome: outcome, Checkpoint: fmt.Sprint("cp-", task, "-", r.number)})
	w.notify()
	switch outcome {
	case jobstate.EndDone:
		f.doneTasks[task] = true
	case jobstate.EndFailed:
		f.failedRuns[task]++
	}
	if !f.jobs[r.name.Job].Steps[r.name.Step].Gang {
		return
	}
	memberEnd := jobstate.EndGangBroken
	if outcome == jobstate.EndDone {
		memberEnd = outcome
	}
	for _, other := range f.workers {
		for name, m := range other.runs {
			if m.number == r.number && m.name.Job == r.name.Job && m.name.Occurrence == r.name.Occurrence && m.name.Step == r.name.Step {
				f.end(other, name, memberEnd)
			}
		}
	}
}
