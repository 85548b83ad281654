package placement

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// maxPolicyWait bounds how long a job of which nothing runs waits for better room than there is. Callers
	// may expect a start within 3 s; the decision, its record and the start order take part of that.
	maxPolicyWait = 1500 * time.Millisecond
	// spareRoom is how many times an overdue unit must fit into the room that is free or becoming free. It
	// leaves room for other units.
	spareRoom = 2
)

// exception says why the policy keeps a unit from a worker.
type exception int

// The exceptions, by how likely a run there is to fail.
const (
	noException exception = iota
	probationException
	avoidedException // avoided, or one of the tasks failed there last
)

// startOverdue starts an overdue unit in any room, also in what the policy keeps for others or on
// workers that it avoids. Of a step that is
// not a gang it starts one task: the others wait for better room. It reports whether it started all waiting
// tasks.
func (r *round) startOverdue(u *unit) bool {
	tasks := r.overdueTasks(u)
	if len(tasks) == 0 {
		return false
	}
	workers := r.candidates(u)
	if u.step.Spec.Gang {
		return r.startInAnyRoom(u, tasks, workers)
	}
	for _, t := range tasks {
		if !r.startInAnyRoom(u, []*jobstate.Task{t}, workers) {
			break
		}
	}
	u.waiting = slices.DeleteFunc(u.waiting, func(t *jobstate.Task) bool { return t.Run != nil })
	return len(u.waiting) == 0
}

// startInAnyRoom starts all of the tasks, if they fit spareRoom times.
func (r *round) startInAnyRoom(u *unit, tasks []*jobstate.Task, workers []*jobstate.Worker) bool {
	if !r.hasSpareRoom(u, workers, len(tasks)) {
		return false
	}
	anyRoom := func(w *jobstate.Worker) workload.Resources { return w.Free().Sub(r.firm[w]) }
	for _, attempt := range []struct {
		exceptions exception
		room       func(*jobstate.Worker) workload.Resources
	}{
		{noException, r.free}, {probationException, r.free}, {probationException, anyRoom}, {avoidedException, anyRoom},
	} {
		accepted := r.upTo(attempt.exceptions, tasks, workers)
		if slots, ok := r.fitOverdue(u, accepted, len(tasks), attempt.room); ok {
			r.startOn(u, tasks, slots)
			return true
		}
	}
	return false
}

// overdueTasks returns the waiting tasks of the unit that must not wait for better room any longer: all tasks
// of a gang or one task of another step if nothing of the job has run for maxPolicyWait, and each long-running
// task that has not run for as long.
func (r *round) overdueTasks(u *unit) []*jobstate.Task {
	if u.step.Spec.LongRunning && !u.step.Spec.Gang {
		var tasks []*jobstate.Task
		for _, t := range u.waiting {
			if r.now.Sub(maxTime(u.step.ReadyAt, t.RanUntil)) >= maxPolicyWait {
				tasks = append(tasks, t)
			}
		}
		return tasks
	}
	if r.now.Sub(maxTime(u.step.ReadyAt, u.job.RanUntil)) < maxPolicyWait || u.job.MayBeRunning() {
		return nil
	}
	if u.step.Spec.Gang {
		return u.waiting
	}
	return u.waiting[:1]
}

// candidates returns the available workers that may run the step's tasks, avoided ones included. If a further
// failure would be the job's end, it excludes workers that are avoided because runs failed there.
func (r *round) candidates(u *unit) []*jobstate.Worker {
	var list []*jobstate.Worker
	last := u.hasLastAttempt()
	for _, w := range r.available[u.job.Route.Service] {
		if last && w.FailStreak > 0 && r.now.Before(w.AvoidUntil) {
			continue
		}
		if r.mayRun(u, w) {
			list = append(list, w)
		}
	}
	return list
}

// hasLastAttempt reports whether the job fails with the next failure of a waiting task.
func (u *unit) hasLastAttempt() bool {
	limit := u.job.Route.MaxAttempts
	if limit == 0 || u.step.Spec.LongRunning {
		return false
	}
	failures := u.step.Failures
	for _, t := range u.waiting {
		failures = max(failures, t.Failures)
	}
	return failures > 0 && failures == limit-1
}

// upTo returns the workers that run the tasks by the given exception or a lesser one.
func (r *round) upTo(limit exception, tasks []*jobstate.Task, workers []*jobstate.Worker) []*jobstate.Worker {
	var list []*jobstate.Worker
	for _, w := range workers {
		if r.exceptionFor(tasks, w) <= limit {
			list = append(list, w)
		}
	}
	return list
}

func (r *round) exceptionFor(tasks []*jobstate.Task, w *jobstate.Worker) exception {
	failed := func(t *jobstate.Task) bool { return t.FailedOn == w.ID }
	switch {
	case !r.c.Accepts(w, r.now) || slices.ContainsFunc(tasks, failed):
		return avoidedException
	case onProbation(w, r.now):
		return probationException
	}
	return noException
}

// hasSpareRoom reports whether the tasks would fit spareRoom times into what is free or becoming free.
func (r *round) hasSpareRoom(u *unit, workers []*jobstate.Worker, tasks int) bool {
	need := spareRoom * tasks
	stopping := r.stoppingOn()
	for _, w := range workers {
		free := w.Free().Sub(r.firm[w]).Add(stopping[w])
		if need -= countUpTo(need, u.step, free, present(u.step, w)); need <= 0 {
			return true
		}
	}
	return false
}

// stoppingOn returns the resources of the runs that were being stopped when it was called first in the round.
func (r *round) stoppingOn() map[*jobstate.Worker]workload.Resources {
	if r.stopping != nil {
		return r.stopping
	}
	r.stopping = map[*jobstate.Worker]workload.Resources{}
	for _, w := range r.c.Workers {
		for run := range w.Runs {
			if run.Phase == jobstate.Stopping {
				r.stopping[w] = r.stopping[w].Add(run.Task.Step.Spec.Allocation())
			}
		}
	}
	return r.stopping
}

// fitOverdue assigns the tasks to workers with room, if possible in the rack of the data, else those of a gang
// in a single rack.
func (r *round) fitOverdue(u *unit, workers []*jobstate.Worker, tasks int, room func(*jobstate.Worker) workload.Resources) ([]slot, bool) {
	spec := u.step.Spec
	var groups [][]*jobstate.Worker
	if spec.SameRack || spec.DataRack != "" {
		racks := byRack(workers)
		groups = append(groups, inRack(racks, spec.DataRack))
		for _, k := range racks {
			if spec.SameRack && k.name != spec.DataRack {
				groups = append(groups, k.workers)
			}
		}
	}
	for _, group := range append(groups, workers) {
		if slots, ok := r.packInto(u, group, tasks, room); ok {
			return slots, true
		}
	}
	return nil, false
}
