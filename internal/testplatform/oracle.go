package testplatform

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// checkStart checks the rules for a start that the worker carries out. The caller holds the
// lock.
func (f *Fleet) checkStart(w *worker, name workload.TaskName, o workerapi.Start) {
	job := f.jobs[name.Job]
	if job == nil || name.Step >= len(job.Steps) || name.Index >= job.Steps[name.Step].Tasks || name.Occurrence >= job.OccurrenceCount() {
		f.violate("UNASKED", "%s was not submitted", o.Task)
		return
	}
	if at, ok := f.cancelled[name.Job]; ok && time.Since(at) > cancelBound && f.Calm() {
		f.violate("UNASKED", "%s was cancelled %v ago", o.Task, time.Since(at))
	}
	if o.Payload != job.Payload {
		f.violate("UNASKED", "%s has another payload", o.Task)
	}
	f.checkTwice(w, o)
	f.checkRoom(w, job.Steps[name.Step].Allocation(), o.Task)
	f.checkPlace(w, job, name)
	f.checkOrder(job, name)
	if limit := job.Queue.MaxAttempts; f.failures[o.Task] >= limit && !job.Steps[name.Step].LongRunning {
		f.violate("BUDGET", "%s has failed %d times of %d", o.Task, f.failures[o.Task], limit)
	}
	if since := time.Since(w.drains); !w.drains.IsZero() && since > drainBound && f.Calm() {
		f.violate("DRAIN", "%s started on %s, which has drained for %v", o.Task, w.entry.Worker.ID, since)
	}
}

func (f *Fleet) checkTwice(w *worker, o workerapi.Start) {
	if f.done[o.Task] {
		f.violate("TWICE", "%s run %d after its end was taken note of", o.Task, o.Run)
	}
	for _, other := range f.workers {
		if r := other.runs[o.Task]; r != nil && other != w {
			f.violate("TWICE", "%s run %d on %s beside run %d on %s", o.Task, o.Run, w.entry.Worker.ID, r.number, other.entry.Worker.ID)
		}
	}
}

func (f *Fleet) checkRoom(w *worker, need workload.Resources, task string) {
	used := need
	for _, r := range w.runs {
		used = used.Add(f.jobs[r.name.Job].Steps[r.name.Step].Allocation())
	}
	if !used.Fits(w.entry.Capacity) {
		f.violate("LIMIT", "%s brings %s to %+v of %+v", task, w.entry.Worker.ID, used, w.entry.Capacity)
	}
}

// checkPlace checks whether the worker may run the task.
func (f *Fleet) checkPlace(w *worker, job *workload.Submission, name workload.TaskName) {
	step := &job.Steps[name.Step]
	if step.Label != "" && !slices.Contains(w.entry.Labels, step.Label) {
		f.violate("ROUTE", "%s on %s, which has no label %s", name, w.entry.Worker.ID, step.Label)
	}
	if job.Queue.Service != "" && job.Queue.Service != w.entry.Service {
		f.violate("ROUTE", "%s on %s of service %s", name, w.entry.Worker.ID, w.entry.Service)
	}
	beside := 0
	for _, r := range w.runs {
		if r.name.Job == name.Job && r.name.Occurrence == name.Occurrence && r.name.Step == name.Step && r.name.Index != name.Index {
			beside++
		}
	}
	if step.MaxPerWorker > 0 && beside >= step.MaxPerWorker {
		f.violate("ROUTE", "%s on %s beside %d others of its step", name, w.entry.Worker.ID, beside)
	}
	if at, out := f.evacuated[w.entry.Zone]; out && time.Since(at) > evacuateBound {
		f.violate("EVAC", "%s in %s, evacuated %v ago", name, w.entry.Zone, time.Since(at))
	}
}

// checkReclaim checks, once for each urgent job, that it has begun in time if its workspace needs
// no more than its guarantee. The caller holds the lock.
func (f *Fleet) checkReclaim(now time.Time) {
	for id, at := range f.accepted {
		if now.Sub(at) < reclaimBound {
			continue
		}
		delete(f.accepted, id)
		job := f.jobs[id]
		if !f.Calm() || !f.owed(id) || f.needOf(job.Workspace) > f.Guarantees[job.Workspace] {
			continue
		}
		for i := range job.Steps[0].Tasks {
			if task := (workload.TaskName{Job: id, Index: i}).String(); !f.startedTasks[task] {
				f.violate("RECLAIM", "%s has not begun %v after its acceptance", task, now.Sub(at))
			}
		}
	}
}

// needOf returns the accelerators that the urgent jobs of the workspace need.
func (f *Fleet) needOf(workspace string) int {
	need := 0
	for id, job := range f.jobs {
		if job.Workspace != workspace || !f.owed(id) {
			continue
		}
		for _, s := range job.Steps {
			need += s.Tasks * s.Demand.Accelerators
		}
	}
	return need
}

// owed reports whether the job is an urgent one of a workspace with a guarantee, and neither done
// nor cancelled.
func (f *Fleet) owed(id string) bool {
	job := f.jobs[id]
	_, cancelled := f.cancelled[id]
	return job.Queue.Priority == 0 && f.Guarantees[job.Workspace] > 0 && !cancelled && !f.doneLocked(id)
}

// checkStop checks that a stop leaves enough tasks of a long-running step at work. The caller
// holds the lock.
func (f *Fleet) checkStop(w *worker, task string) {
	r := w.runs[task]
	job := f.jobs[r.name.Job]
	step := &job.Steps[r.name.Step]
	if _, cancelled := f.cancelled[r.name.Job]; !step.LongRunning || step.MaxUnavailable == 0 || !w.drains.IsZero() || cancelled || !r.atWork {
		return
	}
	away := 0
	for i := range step.Tasks {
		other := r.name
		other.Index = i
		if i != r.name.Index && !f.atWork(other.String()) {
			away++
		}
	}
	if away >= step.MaxUnavailable {
		f.violate("AVAIL", "%s is stopped while %d others are away of %d that may be", task, away, step.MaxUnavailable)
	}
}

func (f *Fleet) atWork(task string) bool {
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil && r.atWork {
			return true
		}
	}
	return false
}

// checkHarm checks that fillers give way when the tail of a serving task beside them is over its
// target. The caller holds the lock.
func (f *Fleet) checkHarm(w *worker, task string, r *run, tail float64, now time.Time) {
	target := f.jobs[r.name.Job].Steps[r.name.Step].TailTarget
	if target == 0 || tail <= float64(target.Milliseconds()) || !f.fillerAtWork(w) {
		r.harmedSince = time.Time{}
		return
	}
	if r.harmedSince.IsZero() {
		r.harmedSince = now
	}
	if now.Sub(r.harmedSince) > harmBound && f.Calm() {
		f.violate("HARM", "%s is over its target for %v beside fillers at work", task, now.Sub(r.harmedSince))
		r.harmedSince = now
	}
}

func (f *Fleet) fillerAtWork(w *worker) bool {
	for task, r := range w.runs {
		pace, paced := f.paces[task]
		if f.jobs[r.name.Job].Steps[r.name.Step].Filler && (!paced || pace > 0) {
			return true
		}
	}
	return false
}

// Evacuate tells the oracle that operators took the data centre out, or back.
func (f *Fleet) Evacuate(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuated, zone)
	if out {
		f.evacuated[zone] = time.Now()
	}
}

// CheckShown checks a state that callers have seen of the job.
func (f *Fleet) CheckShown(id string, state workload.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cancelled := f.cancelled[id]
	switch {
	case f.jobs[id] == nil:
		f.violate("MIXED", "%s is shown as %s and was not submitted", id, state)
	case state == workload.Completed && !f.doneLocked(id):
		f.violate("MIXED", "%s is shown as completed before all tasks have ended", id)
	case state == workload.Cancelled && !cancelled:
		f.violate("LOST", "%s is shown as cancelled and nobody cancelled it", id)
	case state == workload.Failed && !f.hasFailed(id):
		f.violate("LOST", "%s is shown as failed without so many failed runs", id)
	}
}

// hasFailed reports whether a task of the job has failed as often as its queue allows.
func (f *Fleet) hasFailed(id string) bool {
	total := map[string]int{} // gangs count their failures together
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

func (f *Fleet) checkOrder(job *workload.Submission, name workload.TaskName) {
	if due := job.Due(name.Occurrence); due > time.Now().UnixMilli() {
		f.violate("ORDER", "%s starts %d ms early", name, due-time.Now().UnixMilli())
	}
	for _, before := range job.Steps[name.Step].After {
		for i := range job.Steps[before].Tasks {
			earlier := workload.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: before, Index: i}
			if !f.endedDone(earlier, job.Steps[before].Gang) {
				f.violate("ORDER", "%s before %s is done", name, earlier)
			}
		}
	}
}

// endedDone reports whether the task, or any member of its gang, has ended as done.
func (f *Fleet) endedDone(name workload.TaskName, gang bool) bool {
	match := func(task string) bool {
		n, err := workload.ParseTaskName(task)
		if err != nil {
			return false
		}
		if gang {
			n.Index = name.Index
		}
		return n == name
	}
	for task := range f.ended {
		if match(task) {
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
	w.drains = time.Now()
	entry := w.entry
	entry.Draining = true
	entry.DrainTime = 2 * time.Second
	return entry
}

// Leave removes the worker with all that runs on it.
func (f *Fleet) Leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, id)
}

// Done reports whether all tasks of the job have ended as done.
func (f *Fleet) Done(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneLocked(id)
}

func (f *Fleet) doneLocked(id string) bool {
	job := f.jobs[id]
	if job == nil {
		return false
	}
	for n, step := range job.Steps {
		for i := range step.Tasks {
			if !f.endedDone(workload.TaskName{Job: id, Step: n, Index: i}, step.Gang) {
				return false
			}
		}
	}
	return true
}

// Started reports whether a task of the job was ever started.
func (f *Fleet) Started(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[id]
}

// StartCount returns how many runs were started.
func (f *Fleet) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}
