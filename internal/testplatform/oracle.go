package testplatform

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// checkStart checks the rules for a start that the worker carries out. The caller holds the
// lock.
func (f *Fleet) checkStart(w *worker, name workload.TaskName, o workerapi.Start) {
	job := f.jobs[name.Job]
	if job == nil || name.Step >= len(job.Steps) || name.Index >= job.Steps[name.Step].Tasks || name.Occurrence >= job.Times() {
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
	f.checkRoom(w, job.Steps[name.Step].Room(), o.Task)
	f.checkOrder(job, name)
	if limit := job.Queue.MaxAttempts; f.failures[o.Task] >= limit && !job.Steps[name.Step].LongRunning {
		f.violate("BUDGET", "%s has failed %d times of %d", o.Task, f.failures[o.Task], limit)
	}
	if !w.entry.Draining {
		return
	}
	f.violate("DRAIN", "%s started on %s, which drains", o.Task, w.entry.Worker.ID)
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

func (f *Fleet) checkRoom(w *worker, need workload.Amount, task string) {
	used := need
	for _, r := range w.runs {
		used = used.Add(f.jobs[r.name.Job].Steps[r.name.Step].Room())
	}
	if !used.Fits(w.entry.Capacity) {
		f.violate("LIMIT", "%s brings %s to %+v of %+v", task, w.entry.Worker.ID, used, w.entry.Capacity)
	}
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
	entry := f.workers[id].entry
	entry.Draining = true
	entry.Leaves = 2 * time.Second
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
