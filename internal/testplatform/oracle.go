package testplatform

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// checkStart checks the rules for a start that the worker executes. The caller holds the lock.
func (f *Fleet) checkStart(w *worker, name workload.TaskName, o workerapi.Start) {
	job := f.jobs[name.Job]
	if job == nil || name.Step >= len(job.Steps) || name.Index >= job.Steps[name.Step].Tasks || name.Occurrence >= job.OccurrenceCount() {
		f.violate("UNASKED", "%s is not a task of a submitted job", o.Task)
		return
	}
	if at, ok := f.cancelled[name.Job]; ok && time.Since(at) > cancelBound && f.Undisturbed() {
		f.violate("UNASKED", "%s was cancelled %v ago", o.Task, time.Since(at))
	}
	if o.Payload != job.Payload {
		f.violate("UNASKED", "%s has a payload other than the submitted one", o.Task)
	}
	f.checkDuplicate(w, name, o)
	f.checkQuota(job, job.Steps[name.Step].Allocation(), o.Task)
	f.checkCapacity(w, job.Steps[name.Step].Allocation(), o.Task)
	f.checkPlacement(w, job, name)
	f.checkDependencies(job, name)
	if limit := job.Queue.MaxAttempts; f.ackedFailures[o.Task] >= limit && !job.Steps[name.Step].LongRunning {
		f.violate("BUDGET", "%s has failed %d times of %d", o.Task, f.ackedFailures[o.Task], limit)
	}
	if since := time.Since(w.drainingSince); !w.drainingSince.IsZero() && since > drainBound && f.Undisturbed() {
		f.violate("DRAIN", "%s started on %s, which has drained for %v", o.Task, w.entry.Worker.ID, since)
	}
}

func (f *Fleet) checkDuplicate(w *worker, name workload.TaskName, o workerapi.Start) {
	if f.ackedDone[o.Task] {
		f.violate("TWICE", "%s run %d after the end of the task as done was acknowledged", o.Task, o.Run)
	}
	if at, reported := f.reportedCompleted[name.Job]; reported && time.Since(at) > completedBound {
		f.violate("TWICE", "%s run %d starts %v after its job was reported as completed", o.Task, o.Run, time.Since(at))
	}
	for _, other := range f.workers {
		if r := other.runs[o.Task]; r != nil && other != w {
			f.violate("TWICE", "%s run %d on %s while run %d is on %s", o.Task, o.Run, w.entry.Worker.ID, r.number, other.entry.Worker.ID)
		}
	}
}

func (f *Fleet) checkCapacity(w *worker, need workload.Resources, task string) {
	used := need
	for _, r := range w.runs {
		used = used.Add(f.jobs[r.name.Job].Steps[r.name.Step].Allocation())
	}
	if !used.Fits(w.entry.Capacity) {
		f.violate("LIMIT", "%s raises the use of %s to %+v of %+v", task, w.entry.Worker.ID, used, w.entry.Capacity)
	}
}

// checkPlacement checks the label, the service, the tasks per worker and the data centre of a start.
func (f *Fleet) checkPlacement(w *worker, job *workload.Submission, name workload.TaskName) {
	step := &job.Steps[name.Step]
	if step.Label != "" && !slices.Contains(w.entry.Labels, step.Label) {
		f.violate("ROUTE", "%s on %s, which has no label %s", name, w.entry.Worker.ID, step.Label)
	}
	if job.Queue.Service != "" && job.Queue.Service != w.entry.Service {
		f.violate("ROUTE", "%s on %s of service %s", name, w.entry.Worker.ID, w.entry.Service)
	}
	siblings := 0
	for _, r := range w.runs {
		if r.name.Job == name.Job && r.name.Occurrence == name.Occurrence && r.name.Step == name.Step && r.name.Index != name.Index {
			siblings++
		}
	}
	if step.MaxPerWorker > 0 && siblings >= step.MaxPerWorker {
		f.violate("ROUTE", "%s on %s, which has %d other tasks of its step", name, w.entry.Worker.ID, siblings)
	}
	if at, out := f.evacuated[w.entry.DataCentre]; out && time.Since(at) > evacuateBound {
		f.violate("EVAC", "%s in %s, evacuated %v ago", name, w.entry.DataCentre, time.Since(at))
	}
}

// checkReclaim checks once for each urgent job that all tasks of its first step have started within
// reclaimBound, if the urgent jobs of its workspace need no more than the guarantee. The caller holds
// the lock.
func (f *Fleet) checkReclaim(now time.Time) {
	for id, at := range f.urgentUnchecked {
		if now.Sub(at) < reclaimBound {
			continue
		}
		delete(f.urgentUnchecked, id)
		job := f.jobs[id]
		if !f.Undisturbed() || !f.countsForGuarantee(id) || f.urgentDemand(job.Workspace) > f.Guarantees[job.Workspace] {
			continue
		}
		for i := range job.Steps[0].Tasks {
			if task := (workload.TaskName{Job: id, Index: i}).String(); !f.startedTasks[task] {
				f.violate("RECLAIM", "%s has not started %v after the acceptance of its job", task, now.Sub(at))
			}
		}
	}
}

// urgentDemand returns the number of accelerators that the urgent jobs of the workspace need.
func (f *Fleet) urgentDemand(workspace string) int {
	need := 0
	for id, job := range f.jobs {
		if job.Workspace != workspace || !f.countsForGuarantee(id) {
			continue
		}
		for _, s := range job.Steps {
			need += s.Tasks * s.Demand.Accelerators
		}
	}
	return need
}

// countsForGuarantee reports whether the job is urgent, belongs to a workspace with a guarantee, and is
// neither done nor cancelled.
func (f *Fleet) countsForGuarantee(id string) bool {
	job := f.jobs[id]
	_, cancelled := f.cancelled[id]
	return job.Queue.Priority == 0 && f.Guarantees[job.Workspace] > 0 && !cancelled && !f.jobDone(id)
}

// checkAvailability checks that a stop leaves at most MaxUnavailable tasks of a long-running step not
// working, unless the job is cancelled or the worker drains. A MaxUnavailable of 0 sets no limit. The
// caller holds the lock.
func (f *Fleet) checkAvailability(w *worker, task string) {
	r := w.runs[task]
	job := f.jobs[r.name.Job]
	step := &job.Steps[r.name.Step]
	if _, cancelled := f.cancelled[r.name.Job]; !step.LongRunning || step.MaxUnavailable == 0 || !w.drainingSince.IsZero() || cancelled || !r.working {
		return
	}
	unavailable := 0
	for i := range step.Tasks {
		other := r.name
		other.Index = i
		if i != r.name.Index && !f.hasWorkingRun(other.String()) {
			unavailable++
		}
	}
	if unavailable >= step.MaxUnavailable {
		f.violate("AVAIL", "%s is stopped while %d other tasks do not work, of %d allowed", task, unavailable, step.MaxUnavailable)
	}
}

func (f *Fleet) hasWorkingRun(task string) bool {
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil && r.working {
			return true
		}
	}
	return false
}

// SetEvacuated records that operators took the data centre out of service, or put it back.
func (f *Fleet) SetEvacuated(dataCentre string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuated, dataCentre)
	if out {
		f.evacuated[dataCentre] = time.Now()
	}
}

// CheckReportedState checks a job state that a caller received. No task of a job that was reported as completed
// may start later.
func (f *Fleet) CheckReportedState(id string, state workload.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cancelled := f.cancelled[id]
	if _, known := f.reportedCompleted[id]; state == workload.Completed && !known {
		f.reportedCompleted[id] = time.Now()
	}
	switch {
	case f.jobs[id] == nil:
		f.violate("MIXED", "%s is reported as %s, but was not submitted", id, state)
	case state == workload.Completed && !f.jobDone(id):
		f.violate("MIXED", "%s is reported as completed before all tasks have ended as done", id)
	case state == workload.Cancelled && !cancelled:
		f.violate("LOST", "%s is reported as cancelled, but no cancellation was recorded", id)
	case state == workload.Failed && !f.hasFailed(id):
		f.violate("LOST", "%s is reported as failed, but no task has failed as often as its queue allows", id)
	}
}

// hasFailed reports whether a task of the job has failed as often as its queue allows.
func (f *Fleet) hasFailed(id string) bool {
	total := map[string]int{} // failed runs by task; those of a gang are added up
	for task, n := range f.failedRuns {
		name, err := workload.ParseTaskName(task)
		if err != nil || name.Job != id {
			continue
		}
		if f.jobs[id].Steps[name.Step].Gang {
			name.Index = 0
		}
		if total[name.String()] += n; total[name.String()] >= f.jobs[id].Queue.MaxAttempts {
			return true
		}
	}
	return false
}

func (f *Fleet) checkDependencies(job *workload.Submission, name workload.TaskName) {
	if due := job.Due(name.Occurrence); due > time.Now().UnixMilli() {
		f.violate("ORDER", "%s starts %d ms early", name, due-time.Now().UnixMilli())
	}
	for _, before := range job.Steps[name.Step].After {
		for i := range job.Steps[before].Tasks {
			earlier := workload.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: before, Index: i}
			if !f.taskDone(earlier, job.Steps[before].Gang) {
				f.violate("ORDER", "%s starts before %s is done", name, earlier)
			}
		}
	}
}

// taskDone reports whether the task, or a member of its gang if it is part of one, has ended as done.
func (f *Fleet) taskDone(name workload.TaskName, gang bool) bool {
	if !gang {
		return f.doneTasks[name.String()]
	}
	for i := range f.jobs[name.Job].Steps[name.Step].Tasks {
		if name.Index = i; f.doneTasks[name.String()] {
			return true
		}
	}
	return false
}

// Drain marks the worker as draining and returns its entry.
func (f *Fleet) Drain(id string) workerapi.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.drainingSince = time.Now()
	entry := w.entry
	entry.Draining = true
	entry.DrainTime = drainTime
	return entry
}

// Undrain marks the worker as ready again.
func (f *Fleet) Undrain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].drainingSince = time.Time{}
}

// RemoveWorker removes the worker with all runs on it.
func (f *Fleet) RemoveWorker(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	lease := f.MaxLease
	if !w.drainingSince.IsZero() {
		lease = 0 // it has announced that it leaves
	}
	f.standing.runsLost(w, lease)
	f.discardRuns(id)
	delete(f.workers, id)
}

// Replace removes a worker with all runs on it, and starts one with another ID at its address.
func (f *Fleet) Replace(former, id, dataCentre, rack string, capacity workload.Resources) workerapi.Entry {
	f.mu.Lock()
	f.addresses[id] = f.addresses[former]
	if w := f.workers[former]; w != nil {
		f.discardRuns(former)
		f.standing.runsLost(w, 0)
	}
	delete(f.workers, former)
	delete(f.standing.leases, former)
	f.mu.Unlock()
	return f.Add(id, dataCentre, rack, capacity)
}

// Done reports whether all tasks of the job have ended as done.
func (f *Fleet) Done(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobDone(id)
}

func (f *Fleet) jobDone(id string) bool {
	job := f.jobs[id]
	if job == nil {
		return false
	}
	for k := range job.OccurrenceCount() {
		for n, step := range job.Steps {
			for i := range step.Tasks {
				if !f.taskDone(workload.TaskName{Job: id, Occurrence: k, Step: n, Index: i}, step.Gang) {
					return false
				}
			}
		}
	}
	return true
}

// Started reports whether a task of the job was ever started.
func (f *Fleet) Started(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[id]
}

// StartCount returns the number of started runs.
func (f *Fleet) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// HasStarted reports whether a run of the task was started.
func (f *Fleet) HasStarted(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedTasks[task]
}

// UnacknowledgedEnds returns how many ends of runs the worker keeps because no request has acknowledged them.
func (f *Fleet) UnacknowledgedEnds(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers[worker].ended)
}
