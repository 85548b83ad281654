package jobowner

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// loads collects the loads of the workspaces.
type loads struct {
	now     time.Time
	config  *workload.Config
	monitor *admission.Monitor
	list    []admission.Load
	index   map[string]int
	sizes   map[workerSize]struct{} // of the listed workers that have answered
	stuck   []bool                  // memory for addOccurrence: by step, whether it cannot run
}

// workerSize is what the workers of a service have at most.
type workerSize struct {
	service  string
	capacity workload.Resources
}

// reset returns loads without work. Those of an earlier assessment by the same configuration are used again.
func (l *loads) reset(config *workload.Config) *loads {
	if l == nil || l.config != config {
		return &loads{config: config, index: map[string]int{}, sizes: map[workerSize]struct{}{}}
	}
	for n := range l.list {
		load := &l.list[n]
		load.Work, load.Use, load.Waits = load.Work[:0], workload.Resources{}, false
		clear(load.Limits)
	}
	clear(l.sizes)
	return l
}

// serviceLoad returns what the workspaces run and wait for. It is empty if none has a weight or a cap.
func (t *Term) serviceLoad(config *workload.Config, now time.Time) admission.Service {
	l := t.admission.loads.reset(config)
	t.admission.loads = l
	l.now, l.monitor = now, t.admission.monitor
	for n := range config.Workspaces {
		if w := &config.Workspaces[n]; w.Limited() {
			l.of(w.Name)
		}
	}
	var s admission.Service
	if len(l.list) == 0 {
		return s
	}
	for _, w := range t.cluster.Workers {
		for r := range w.Runs {
			l.addRun(r)
		}
		if w.Listed && w.Confirmed && !w.Draining {
			s.Total = s.Total.Add(w.Capacity)
			l.sizes[workerSize{w.Service, w.Capacity}] = struct{}{}
		}
	}
	for _, j := range t.cluster.Jobs {
		if !j.State.Ended() {
			l.addJob(j)
		}
	}
	s.Loads = l.list
	return s
}

// of returns the load of the workspace. It is valid until the next call.
func (l *loads) of(name string) *admission.Load {
	n, ok := l.index[name]
	if !ok {
		n = len(l.list)
		l.index[name] = n
		load := admission.Load{Name: name, Limits: map[int]time.Duration{}}
		if w := l.config.Workspace(name); w != nil {
			load.Weight, load.Cap, load.Guarantee, load.Limited = w.Weight, w.Cap, w.GuaranteedAccelerators, w.Limited()
		}
		l.list = append(l.list, load)
	}
	return &l.list[n]
}

// addJob adds the waiting tasks of the job.
func (l *loads) addJob(j *jobstate.Job) {
	load := l.of(j.Submission.Workspace)
	if !load.Limited {
		if len(load.Work) == 0 {
			load.Work = append(load.Work, admission.Work{}) // only whether there is any is relevant
		}
		return
	}
	if limit, ok := j.Submission.UsefulFor(&j.Route); ok {
		if shortest, known := load.Limits[j.Route.Priority]; !known || limit < shortest {
			load.Limits[j.Route.Priority] = limit
		}
	}
	for _, o := range j.Occurrences {
		if o.Done() {
			continue
		}
		l.addOccurrence(load, o)
	}
}

// addOccurrence adds the waiting tasks that delay new jobs. Those of a step that can never start do not, nor do those
// that wait for such a step or for one that runs until it is cancelled.
func (l *loads) addOccurrence(load *admission.Load, o *jobstate.Occurrence) {
	l.stuck = l.stuck[:0]
	for _, s := range o.Steps {
		waiting := s.Waiting()
		stuck := !s.Done() && s.Spec.LongRunning || waiting > 0 && !(s.Spec.FitsCap(load.Cap) && l.fitsWorker(s))
		for _, a := range s.Spec.After {
			stuck = stuck || l.stuck[a]
		}
		l.stuck = append(l.stuck, stuck)
		if waiting == 0 || stuck || !s.ReadyAt.IsZero() && !lacksRoom(s.WaitReason) {
			continue
		}
		load.Waits = load.Waits || !s.ReadyAt.IsZero()
		l.addWork(load, s, l.waiting(load, s), waiting)
	}
}

// fitsWorker reports whether any listed worker can run a task of the step while it runs nothing else.
func (l *loads) fitsWorker(s *jobstate.Step) bool {
	for size := range l.sizes {
		if size.service == s.Occurrence.Job.Route.Service && s.Spec.Allocation().Fits(size.capacity) {
			return true
		}
	}
	return false
}

// lacksRoom reports whether a ready step waits for room that it will get when other work ends. Steps that wait for
// anything else delay no new job.
func lacksRoom(reason jobstate.WaitReason) bool {
	switch reason {
	case jobstate.WaitUndecided, jobstate.WaitReclaim, jobstate.WaitCap: // the first if a part of the step has started
		return true
	}
	return reason.Scarcity()
}

// waiting returns the work of a task of the step that waits. A step that waits for others is ready now at the earliest.
func (l *loads) waiting(load *admission.Load, s *jobstate.Step) admission.Work {
	readyAt, runTime := s.ReadyAt, s.OrderTime
	if readyAt.IsZero() {
		readyAt = l.now
	}
	if runTime == 0 {
		runTime = s.Spec.Estimate
	}
	deadline, lateness := s.Occurrence.Objective(readyAt, runTime, l.now)
	return admission.Work{Time: l.monitor.Expected(load.Name, s.Spec.Estimate), Deadline: deadline.Sub(l.now), TooLate: lateness == jobstate.TooLate}
}

// addRun adds a run. Without a measured rate, its end is expected by its estimate.
func (l *loads) addRun(r *jobstate.Run) {
	s := r.Task.Step
	j := s.Occurrence.Job
	load := l.of(j.Submission.Workspace)
	load.Use = load.Use.Add(s.Spec.Allocation())
	if !load.Limited || j.State.Ended() || r.Task.Done {
		return
	}
	if r.Phase == jobstate.Stopping { // the task runs again
		l.addWork(load, s, l.waiting(load, s), 1)
		return
	}
	left, measured := r.Remaining(l.now)
	if !measured {
		left = l.monitor.Expected(load.Name, s.Spec.Estimate)
		if !r.StartedAt.IsZero() {
			left = max(0, left-l.now.Sub(r.StartedAt))
		}
	}
	l.addWork(load, s, admission.Work{Time: left, Running: true}, 1)
}

// addWork adds tasks of the step. Those that run until they are cancelled have no expected end, and are left out.
func (l *loads) addWork(load *admission.Load, s *jobstate.Step, work admission.Work, tasks int) {
	if s.Spec.LongRunning {
		return
	}
	a := s.Spec.Allocation()
	work.Priority = s.Occurrence.Job.Route.Priority
	work.Demand = workload.Resources{MilliCPU: tasks * a.MilliCPU, MemoryMB: tasks * a.MemoryMB, Accelerators: tasks * a.Accelerators}
	load.Work = append(load.Work, work)
}
