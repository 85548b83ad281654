package testplatform

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// standingBound is how long a job may have nothing running although one of its tasks can run.
	standingBound = 3 * time.Second
	// capStandingBound is how long a job may have nothing running if its workspace may be at its cap, and one of its tasks,
	// or its gang, fits into the cap alone. Tests send less work to a cap than it admits in half of that time.
	capStandingBound = 90 * time.Second
	// calmBefore is how long no fault must have disturbed the system before that time.
	calmBefore = 4 * time.Second
	// restartGrace is the time after the last run of a long-running task in which it may be without one.
	restartGrace = 6 * time.Second
)

// standing records what CheckStanding needs to know about the past.
type standing struct {
	since    map[string]time.Time // since when a job, or a long-running task, stands
	ended    map[string]time.Time // end of the last run, by job and by task
	finished map[string]bool      // jobs that callers see as ended
	// leases holds until when a worker that vanished may seem to run the tasks recorded on it: it cannot be told
	// from a worker that is cut off.
	leases map[string]time.Time
}

func newStanding() standing {
	return standing{since: map[string]time.Time{}, ended: map[string]time.Time{}, finished: map[string]bool{}, leases: map[string]time.Time{}}
}

// runEnded records the end of a run.
func (s *standing) runEnded(name workload.TaskName, now time.Time) {
	s.ended[name.Job], s.ended[name.String()] = now, now
}

// runsLost records the end of all runs of a worker that crashed or left. The tasks recorded on it may have to wait
// until its lease has expired on a clock that is 2% slow; a lease of 0 means that another worker has replaced it.
func (s *standing) runsLost(w *worker, lease time.Duration) {
	now := time.Now()
	for _, r := range w.runs {
		s.runEnded(r.name, now)
	}
	if lease > 0 {
		s.leases[w.entry.Worker.ID] = now.Add(lease + lease/50)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// survey is what CheckStanding finds on the workers, so that it searches them once.
type survey struct {
	jobs   map[string]bool // jobs with a run
	tasks  map[string]bool // tasks with a run
	used   float64         // largest share of a resource of all workers that is in use
	listed map[string]bool // tasks of which a worker lists an end as done that counts and is not acknowledged
}

func (f *Fleet) survey() *survey {
	v := &survey{jobs: map[string]bool{}, tasks: map[string]bool{}, listed: map[string]bool{}}
	var used, capacity workload.Resources
	for _, w := range f.workers {
		capacity = capacity.Add(w.entry.Capacity)
		for task, r := range w.runs {
			if !f.fillerStands(w, task, r) {
				v.jobs[r.name.Job], v.tasks[task] = true, true
			}
			used = used.Add(f.jobs[r.name.Job].Steps[r.name.Step].Allocation())
		}
		for _, e := range w.ended {
			if e.Outcome == jobstate.EndDone && e.Sequence > w.voidUpTo {
				v.listed[e.Task] = true
			}
		}
	}
	share := func(a, b int) float64 { return float64(a) / max(1, float64(b)) }
	v.used = max(share(used.MilliCPU, capacity.MilliCPU), share(used.MemoryMB, capacity.MemoryMB), share(used.Accelerators, capacity.Accelerators))
	return v
}

// CheckStanding checks that no accepted job has had nothing running for standingBound although it was calm,
// all steps before one of its tasks were done and there was room for it twice over. If its workspace may be at its cap, the
// bound is capStandingBound. For a long-running step it checks each task, from restartGrace after its last run. Tests call it many times a second.
func (f *Fleet) CheckStanding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	v := f.survey()
	for id, job := range f.jobs {
		if f.finished(id) || !f.Accepted(id) {
			continue
		}
		waiting, atCap := f.checkWaiting(v, job), ""
		if v.jobs[id] || f.StandingUnder > 0 && v.used >= f.StandingUnder {
			waiting = ""
		}
		if f.capMayHold(job.Workspace) {
			waiting, atCap = "", waiting
		}
		f.checkStandingSince(v, id, waiting, f.standing.ended[id], standingBound)
		f.checkStandingSince(v, id+" at the cap", atCap, f.standing.ended[id], capStandingBound)
	}
}

// finished reports whether the job is cancelled or callers see it as ended.
func (f *Fleet) finished(id string) bool {
	_, cancelled := f.cancelled[id]
	if !f.standing.finished[id] && (cancelled || f.Ended(id)) {
		f.standing.finished[id] = true
	}
	return f.standing.finished[id]
}

// checkWaiting checks each waiting task of the job's long-running steps and returns the first other task that
// can run, or "".
func (f *Fleet) checkWaiting(v *survey, job *workload.Submission) (waiting string) {
	atCap := f.capMayHold(job.Workspace)
	for k := range job.OccurrenceCount() {
		if job.Due(k) > time.Now().UnixMilli() {
			break
		}
		for n := range job.Steps {
			step := &job.Steps[n]
			if !step.LongRunning && (v.jobs[job.ID] || waiting != "") {
				continue
			}
			mayStart := !atCap || !step.LongRunning && f.fitsCapAlone(job.Workspace, step)
			room := mayStart && f.turnHasCome(v, job, k, step) && f.hasRoom(job, workload.TaskName{Job: job.ID, Occurrence: k, Step: n})
			for i := range step.Tasks {
				name := workload.TaskName{Job: job.ID, Occurrence: k, Step: n, Index: i}
				task := ""
				if room && !v.tasks[name.String()] && !f.endStands(v, name, step.Gang) && !f.held(name, step) {
					task = name.String()
				}
				if step.LongRunning {
					f.checkStandingSince(v, name.String(), task, f.standing.ended[name.String()].Add(restartGrace), standingBound)
				} else if waiting == "" {
					waiting = task
				}
			}
		}
	}
	return waiting
}

// checkStandingSince updates since when the job or task with the key stands, and checks how long that is.
// waiting is the task that can run, or "" if there is none. Times before earliest do not count.
func (f *Fleet) checkStandingSince(v *survey, key, waiting string, earliest time.Time, bound time.Duration) {
	s := &f.standing
	calm := f.CalmSince()
	now := time.Now()
	if waiting == "" || calm.IsZero() {
		delete(s.since, key)
		return
	}
	if s.since[key].IsZero() {
		s.since[key] = now
	}
	since := later(later(s.since[key], earliest), calm.Add(calmBefore))
	if now.Sub(since) > bound {
		f.violate("LOST", "%s has nothing running although %s can run, for %v, with %.0f%% of the capacity in use", key, waiting, now.Sub(s.since[key]), 100*v.used)
		s.since[key] = now
	}
}

// turnHasCome reports whether all tasks of the steps before this one are done.
func (f *Fleet) turnHasCome(v *survey, job *workload.Submission, occurrence int, step *workload.Step) bool {
	for _, before := range step.After {
		for i := range job.Steps[before].Tasks {
			earlier := workload.TaskName{Job: job.ID, Occurrence: occurrence, Step: before, Index: i}
			if !f.endStands(v, earlier, job.Steps[before].Gang) {
				return false
			}
		}
	}
	return true
}

// held reports whether the task, or a member of its gang, is recorded on a worker that vanished and whose lease
// ended less than calmBefore ago.
func (f *Fleet) held(name workload.TaskName, step *workload.Step) bool {
	first, last := name.Index, name.Index
	if step.Gang {
		first, last = 0, step.Tasks-1
	}
	for name.Index = first; name.Index <= last; name.Index++ {
		expires, vanished := f.standing.leases[f.RecordedOn(name)]
		if vanished && time.Since(expires) < calmBefore {
			return true
		}
	}
	return false
}

// endStands reports whether the task, or a member of its gang, has ended as done on a worker that is still
// up, or with an acknowledged end.
func (f *Fleet) endStands(v *survey, name workload.TaskName, gang bool) bool {
	if f.longRunning(name.String()) {
		return false
	}
	first, last := name.Index, name.Index
	if gang {
		first, last = 0, f.jobs[name.Job].Steps[name.Step].Tasks-1
	}
	for name.Index = first; name.Index <= last; name.Index++ {
		task := name.String()
		if f.ackedDone[task] || v.listed[task] {
			return true
		}
	}
	return false
}

func (w *worker) count(match func(workload.TaskName) bool) (n int) {
	for _, r := range w.runs {
		if match(r.name) {
			n++
		}
	}
	return n
}

// hasRoom reports whether there is room twice over for a task of the step, or for its gang, on workers that may
// run it.
func (f *Fleet) hasRoom(job *workload.Submission, name workload.TaskName) bool {
	step := &job.Steps[name.Step]
	need := 2
	if step.Gang {
		need = 2 * step.Tasks
	}
	for _, w := range f.workers {
		_, evacuated := f.evacuated[w.entry.DataCentre]
		fitting := step.Label == "" || slices.Contains(w.entry.Labels, step.Label)
		fitting = fitting && (job.Queue.Service == "" || job.Queue.Service == w.entry.Service)
		if evacuated || !fitting || !w.drainingSince.IsZero() {
			continue
		}
		siblings := w.count(func(n workload.TaskName) bool {
			return n.Job == name.Job && n.Occurrence == name.Occurrence && n.Step == name.Step
		})
		if need -= f.roomOn(w, step, siblings); need <= 0 {
			return true
		}
	}
	return false
}

// roomOn returns how many more tasks of the step fit on the worker, which has siblings of them.
func (f *Fleet) roomOn(w *worker, step *workload.Step, siblings int) (n int) {
	limit := 2 * step.Tasks
	if step.MaxPerWorker > 0 {
		limit = min(limit, step.MaxPerWorker-siblings)
	}
	free := w.entry.Capacity
	for _, r := range w.runs {
		free = free.Sub(f.jobs[r.name.Job].Steps[r.name.Step].Allocation())
	}
	for ; n < limit && step.Allocation().Fits(free); n++ {
		free = free.Sub(step.Allocation())
	}
	return n
}

// longRunning reports whether the task belongs to a long-running step, which restarts it after any end.
func (f *Fleet) longRunning(task string) bool {
	name, err := workload.ParseTaskName(task)
	return err == nil && f.jobs[name.Job].Steps[name.Step].LongRunning
}
