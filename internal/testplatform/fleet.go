package testplatform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// orderLatency is how long an order takes to a worker and back.
	orderLatency = 2 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// MaxLease is the longest lease of a worker.
	MaxLease = 10 * time.Second
	// cancelBound is how long after a cancellation a task may still be started.
	cancelBound = 3 * time.Second
	// drainBound is how long after its report a draining worker may still be given work.
	drainBound = 2 * time.Second
	// evacuateBound is how long after its evacuation a task may still be started in a data centre.
	evacuateBound = 5 * time.Second
	// reclaimBound is how long after its acceptance an urgent job within the guarantee of its
	// workspace may take to begin.
	reclaimBound = 2700 * time.Millisecond
	// harmBound is how long fillers may keep a serving task over its target.
	harmBound = 4 * time.Second
)

// Fleet is the workers, with the oracle that checks the rules of running tasks. It
// implements workerapi.Client.
type Fleet struct {
	// Fate decides how long a run works and how it ends.
	Fate func(task workload.TaskName, run int) (time.Duration, jobstate.End)

	// Load is the tail, in milliseconds, that every run reports, given the paces that were
	// ordered, by task. nil reports none.
	Load func(paces map[string]int) float64
	// Guarantees are the accelerators that belong to a workspace for its urgent jobs.
	Guarantees map[string]int
	// Calm reports whether the rules that hold only without a disruption near apply.
	Calm func() bool

	faultMu sync.Mutex // calls of the function follow each other
	fault   func(worker, call string) Fault

	mu         sync.Mutex
	workers    map[string]*worker
	jobs       map[string]*workload.Submission
	cancelled  map[string]time.Time
	ended      map[string]bool // tasks of which a run has ended as done
	done       map[string]bool // those whose end has been taken note of
	failures   map[string]int  // by task
	paces      map[string]int
	begun      map[string]bool // jobs of which a task was started
	failedRuns map[string]int  // by task, taken note of or not

	startedTasks map[string]bool
	accepted     map[string]time.Time // urgent jobs that have not been seen to begin in time
	evacuated    map[string]time.Time // data centres, since when

	starts     int
	violations []string
	lives      int64
}

type worker struct {
	entry   workerapi.Entry
	drains  time.Time // since when; zero if it does not
	born    time.Time
	token   uint64
	lease   time.Time
	runs    map[string]*run // by task
	ended   []workerapi.EndedRun
	void    int64          // ends up to this number do not count: the lease ran out before they were taken note of
	refused map[string]int // highest run that was stopped or ended, by task
	number  int64
	changed chan struct{}
}

type run struct {
	number   int
	name     workload.TaskName
	started  time.Time
	atWork   bool
	finish   time.Time
	how      jobstate.End
	restored string

	harmedSince time.Time // since when its tail is over its target beside fillers
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	f := &Fleet{
		Fate:    func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Second, jobstate.EndDone },
		Calm:    func() bool { return true },
		workers: map[string]*worker{}, jobs: map[string]*workload.Submission{}, cancelled: map[string]time.Time{},
		ended: map[string]bool{}, done: map[string]bool{}, failures: map[string]int{}, begun: map[string]bool{}, paces: map[string]int{},
		failedRuns: map[string]int{}, startedTasks: map[string]bool{}, accepted: map[string]time.Time{}, evacuated: map[string]time.Time{},
	}
	f.SetFault(func(string, string) Fault { return None })
	return f
}

// SetFault replaces the function that decides the fate of each order to a worker.
func (f *Fleet) SetFault(fault func(worker, call string) Fault) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.fault = fault
}

func (f *Fleet) fate(worker, call string) Fault {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.fault(worker, call)
}

// Add starts a worker and returns its entry. A worker with the id is replaced by a new life.
func (f *Fleet) Add(id, zone, rack string, room workload.Resources) workerapi.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	entry := workerapi.Entry{
		Worker: workerapi.Target{ID: id, Address: "10.0.0.1:" + id}, Incarnation: f.lives, Service: "service",
		Zone: zone, Rack: rack, Labels: []string{"a", rack}, Capacity: room,
	}
	f.workers[id] = &worker{entry: entry, born: time.Now(), runs: map[string]*run{}, refused: map[string]int{}, changed: make(chan struct{})}
	return entry
}

// Accept tells the oracle of a job that was accepted.
func (f *Fleet) Accept(s *workload.Submission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[s.ID] = s
	if s.Queue.Priority == 0 {
		f.accepted[s.ID] = time.Now()
	}
}

// Cancel tells the oracle of a cancellation that was acknowledged.
func (f *Fleet) Cancel(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelled[id]; !ok {
		f.cancelled[id] = time.Now()
	}
}

// Violations returns the rules that were broken so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Running returns how many runs are on workers.
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

// advance ends what has ended by now. The caller holds the lock.
func (f *Fleet) advance() {
	now := time.Now()
	for _, w := range f.workers {
		if len(w.runs) > 0 && now.After(w.lease) {
			for task := range w.runs {
				f.end(w, task, jobstate.EndLeaseExpired)
			}
		}
	}
	for _, w := range f.workers {
		for task, r := range w.runs {
			f.advanceRun(w, task, r, now)
		}
	}
	f.checkReclaim(now)
}

func (f *Fleet) advanceRun(w *worker, task string, r *run, now time.Time) {
	if w.runs[task] != r {
		return // ended with its gang
	}
	if !r.atWork {
		if members, complete := f.gang(r); complete {
			for _, m := range members {
				m.atWork, m.finish = true, now.Add(time.Until(r.finish))
			}
		} else if now.Sub(r.started) > gangTimeout {
			if f.Calm() {
				f.violate("GANG", "%s run %d ended alone", task, r.number)
			}
			f.end(w, task, jobstate.EndGangIncomplete)
		}
		return
	}
	if now.Before(r.finish) {
		return
	}
	f.end(w, task, r.how)
}

// gang returns the members of the run's gang that are there, and whether all are.
func (f *Fleet) gang(r *run) ([]*run, bool) {
	job := f.jobs[r.name.Job]
	step := job.Steps[r.name.Step]
	var members []*run
	for _, w := range f.workers {
		for _, other := range w.runs {
			if other.number == r.number && other.name.Job == r.name.Job && other.name.Occurrence == r.name.Occurrence && other.name.Step == r.name.Step {
				members = append(members, other)
			}
		}
	}
	return members, len(members) == step.Tasks
}

// end ends a run, and its gang with it. The caller holds the lock.
func (f *Fleet) end(w *worker, task string, how jobstate.End) {
	r := w.runs[task]
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.number++
	w.ended = append(w.ended, workerapi.EndedRun{Sequence: w.number, Task: task, Run: r.number, Outcome: how, Checkpoint: fmt.Sprint("cp-", task, "-", r.number)})
	w.notify()
	switch how {
	case jobstate.EndDone:
		f.ended[task] = true
	case jobstate.EndFailed:
		f.failedRuns[task]++
	}
	if !f.jobs[r.name.Job].Steps[r.name.Step].Gang {
		return
	}
	members := jobstate.EndGangBroken
	if how == jobstate.EndDone {
		members = how
	}
	for _, other := range f.workers {
		for name, m := range other.runs {
			if m.number == r.number && m.name.Job == r.name.Job && m.name.Occurrence == r.name.Occurrence && m.name.Step == r.name.Step {
				f.end(other, name, members)
			}
		}
	}
}

// do carries an order out with its fault.
func (f *Fleet) do(ctx context.Context, id, call string, order func() error) error {
	if !wait.For(ctx, orderLatency) {
		return ctx.Err()
	}
	locked := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advance()
		return order()
	}
	switch f.fate(id, call) {
	case Refused:
		return workerapi.ErrUnhealthy
	case Silent, Isolated:
		<-ctx.Done()
		return ctx.Err()
	case Lost:
		if err := locked(); err != nil {
			return err
		}
		return ErrNoAnswer
	case Late:
		life := f.life(id)
		time.AfterFunc(lateBy, func() {
			if f.life(id) == life { // an order that has arrived ends with the life of its worker
				_ = locked() // nobody waits for this answer
			}
		})
		<-ctx.Done()
		return ctx.Err()
	}
	return locked()
}

func (f *Fleet) life(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return w.entry.Incarnation
	}
	return 0
}

// reach returns the worker that the target names. The caller holds the lock.
func (f *Fleet) reach(t workerapi.Target, token uint64) (*worker, error) {
	w := f.workers[t.ID]
	if w == nil {
		return nil, workerapi.ErrNotReached
	}
	if token < w.token {
		return nil, workerapi.ErrFenced
	}
	w.token = token
	return w, nil
}

// extend renews the lease up to a time on the worker's clock.
func (w *worker) extend(until int64) {
	if time.Now().After(w.lease) {
		w.void = w.number
	}
	left := min(time.Duration(until-w.clock())*time.Millisecond, MaxLease)
	if ends := time.Now().Add(left); ends.After(w.lease) {
		w.lease = ends
	}
}

// Start implements workerapi.Client.
func (f *Fleet) Start(ctx context.Context, t workerapi.Target, o workerapi.Start) (clock int64, err error) {
	err = f.do(ctx, t.ID, "start", func() error {
		w, err := f.reach(t, o.Token)
		if err != nil {
			return err
		}
		clock = w.clock()
		if o.LeaseUntil <= clock {
			return workerapi.ErrLeaseExpired
		}
		w.extend(o.LeaseUntil)
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			return nil
		}
		if o.Run <= w.refused[o.Task] {
			return workerapi.ErrRunEnded
		}
		f.start(w, o)
		return nil
	})
	return clock, err
}

func (f *Fleet) start(w *worker, o workerapi.Start) {
	name, err := workload.ParseTaskName(o.Task)
	if err != nil {
		f.violate("UNASKED", "%v", err)
		return
	}
	f.checkStart(w, name, o)
	duration, how := f.Fate(name, o.Run)
	job := f.jobs[name.Job]
	if job == nil {
		return
	}
	f.starts++
	f.begun[name.Job] = true
	f.startedTasks[o.Task] = true
	r := &run{number: o.Run, name: name, started: time.Now(), how: how, finish: time.Now().Add(duration), restored: o.Checkpoint}
	r.atWork = !job.Steps[name.Step].Gang
	w.runs[o.Task] = r
}

// Stop implements workerapi.Client.
func (f *Fleet) Stop(ctx context.Context, t workerapi.Target, o workerapi.Stop) (clock int64, err error) {
	err = f.do(ctx, t.ID, "stop", func() error {
		w, err := f.reach(t, o.Token)
		if err != nil {
			return err
		}
		clock = w.clock()
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			f.checkStop(w, o.Task)
			f.end(w, o.Task, jobstate.EndStopped)
		}
		w.refused[o.Task] = max(w.refused[o.Task], o.Run)
		return nil
	})
	return clock, err
}

// Throttle implements workerapi.Client.
func (f *Fleet) Throttle(ctx context.Context, t workerapi.Target, o workerapi.Throttle) error {
	return f.do(ctx, t.ID, "pace", func() error {
		_, err := f.reach(t, o.Token)
		if err == nil {
			f.paces[o.Task] = o.Percent
		}
		return err
	})
}

// Paces returns the paces that were ordered, by task.
func (f *Fleet) Paces() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.paces)
}

// pollInterval is how often a waiting report looks for ends.
const pollInterval = 50 * time.Millisecond

// Renew implements workerapi.Client.
func (f *Fleet) Renew(ctx context.Context, t workerapi.Target, o workerapi.Renew) (report workerapi.Report, err error) {
	deadline := time.Now().Add(o.Wait)
	err = f.do(ctx, t.ID, "hold", func() error {
		w, err := f.reach(t, o.Token)
		if err != nil {
			return err
		}
		if o.LeaseUntil != 0 {
			w.extend(o.LeaseUntil)
		}
		f.forget(w, o.AckSequence)
		for len(w.ended) == 0 && time.Now().Before(deadline) {
			f.mu.Unlock()
			alive := wait.For(ctx, pollInterval)
			f.mu.Lock()
			if !alive {
				return ctx.Err()
			}
			if f.workers[t.ID] != w {
				return ErrNoAnswer
			}
			f.advance()
		}
		report = workerapi.Report{Clock: w.clock(), Incarnation: w.entry.Incarnation, Ended: slices.Clone(w.ended)}
		load := 0.0
		if f.Load != nil {
			load = f.Load(f.paces)
		}
		for task, r := range w.runs {
			f.checkHarm(w, task, r, load, time.Now())
			report.Running = append(report.Running, workerapi.RunStatus{Task: task, Run: r.number, Percent: r.percent(), Load: load})
		}
		return nil
	})
	return report, err
}

// percent returns how much of its work the run has done.
func (r *run) percent() float64 {
	if !r.atWork {
		return 0
	}
	return 100 * float64(time.Since(r.started)) / float64(r.finish.Sub(r.started))
}

// forget drops ends that were taken note of and remembers the tasks that are done for good.
func (f *Fleet) forget(w *worker, seen int64) {
	for len(w.ended) > 0 && w.ended[0].Sequence <= seen {
		if w.ended[0].Outcome == jobstate.EndDone && w.ended[0].Sequence > w.void && !f.lasts(w.ended[0].Task) {
			f.done[w.ended[0].Task] = true
		}
		if w.ended[0].Outcome == jobstate.EndFailed {
			f.failures[w.ended[0].Task]++
		}
		w.ended = w.ended[1:]
	}
}

// lasts reports whether the task is to be restarted however it ends.
func (f *Fleet) lasts(task string) bool {
	name, err := workload.ParseTaskName(task)
	return err == nil && f.jobs[name.Job].Steps[name.Step].LongRunning
}
