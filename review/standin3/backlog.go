package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["backlog"] = backlog }

const (
	backlogWorkers = 16
	backlogJobs    = 66 // more than the units alike that a decision tries to place
	lastJob        = "00000000000000f1"
	lastTasks      = 4
	jobInterval    = 380 * time.Millisecond // 2.6 jobs a second, as the site's traffic
)

// failingTask is a lasting task that fails.
type failingTask struct {
	mu   sync.Mutex
	task string
}

func (f *failingTask) set(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.task = task
}

func (f *failingTask) is(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.task == task
}

// spread returns a job of lasting tasks, at most one on a worker.
func spread(tasks int) map[string]any {
	return map[string]any{"Spec": "agent", "Steps": []any{
		map[string]any{"Count": tasks, "Cpu": 500, "MemMb": 256, "LongRunning": true, "AntiAffinity": 1}}}
}

// backlog plays lasting jobs with a task on each worker, of which one leaves. Then a task of a later job fails, which has a task
// on four workers only.
func backlog(s *system, trouble bool) bool {
	failing := &failingTask{}
	s.fleet.lasts = func(task string) bool { return !failing.is(task) }
	s.fleet.work = func(string, int) (time.Duration, string) { return 50 * time.Millisecond, "failed" }
	s.begin(backlogWorkers, 3)
	for n := range backlogJobs {
		if !s.submit(fmt.Sprintf("/replan/%014d%02x", 0, n), spread(backlogWorkers)) {
			s.rec.fail("a job was not accepted")
		}
		time.Sleep(jobInterval)
	}
	if !s.submit("/replan/"+lastJob, spread(lastTasks)) {
		s.rec.fail("the last job was not accepted")
	}
	const want = backlogJobs*backlogWorkers + lastTasks
	if !waitFor(20*time.Second, func() bool { return len(s.fleet.running("")) == want }) {
		s.rec.fail("%d of %d tasks run", len(s.fleet.running("")), want)
	}
	s.rec.say("%d tasks of %d jobs run", want, backlogJobs+1)
	time.Sleep(10 * time.Second) // the store has answered all calls for long
	hosts := s.fleet.running(lastJob)
	if trouble {
		w := s.workerBeside(hosts)
		s.rec.say("worker %s, without a task of the last job, drains and leaves", w.id)
		s.fleet.drain(w, drainTime)
	}
	time.Sleep(contact + 4*time.Second)
	task := s.fleet.taskOn(hosts[0], lastJob)
	s.rec.say("task %s fails", task)
	failing.set(task)
	time.Sleep(300 * time.Millisecond)
	failing.set("")
	time.Sleep(restartTime + 4*time.Second)
	return s.stands(lastJob, lastTasks)
}

// workerBeside returns a worker that is none of the given ones.
func (s *system) workerBeside(hosts []*worker) *worker {
	for _, m := range s.cloud.machines {
		found := false
		for _, w := range hosts {
			found = found || w == m.worker
		}
		if !found {
			return m.worker
		}
	}
	s.rec.fail("each worker has a task of the job")
	return nil
}

// taskOn returns the task of the job on the worker.
func (f *fleet) taskOn(w *worker, job string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range w.runs {
		if strings.HasPrefix(task, job) {
			return task
		}
	}
	return ""
}

// stands watches lasting tasks, and reports whether one of them has no run for longer than the rule allows.
func (s *system) stands(prefix string, tasks int) bool {
	since, longest := time.Now(), time.Duration(0)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(s.fleet.running(prefix)) == tasks {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	s.rec.say("%d of %d tasks %s run; longest time in the calm without one of them: %v; the job is %q", len(s.fleet.running(prefix)), tasks, prefix,
		longest.Round(time.Second/10), s.state("/replan/"+prefix[:len(lastJob)]))
	return longest > standing
}
