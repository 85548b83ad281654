package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Load: a worker says that it leaves, serves on for many seconds, and is cut off meanwhile, so that its
// entry lapses. Guards against its tasks that start again elsewhere while they go on there: the missing
// entry was taken for proof that the worker had left.
func TestSilentWorkerThatLeavesKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 30 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		job := tasks(2, 1)
		job.Estimate = 0 // nobody knows how long it takes
		s.submit("job", "batch", job)
		time.Sleep(time.Second)
		s.list(s.fleet.Drain("w0"))
		s.addWorker("w1", 1)
		time.Sleep(500 * time.Millisecond)
		s.silenceWorker("w0")
		time.Sleep(4500 * time.Millisecond)
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(4 * time.Second)
		assert.Equal(t, 2, s.fleet.StartCount(), "the lease has not run out")
		assert.Equal(t, workload.Completed, s.settle(t, "job", 60*time.Second))
		s.requireRules(t)
	})
}

// Load: workers are replaced one after the other, each with work that does not end in time. Guards against
// tasks that wait for seconds although their worker has surely left.
func TestWorkOfAWorkerThatLeftStartsAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.calmStore.Store(true)
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 8 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		job := tasks(2, 1)
		job.Estimate = 0 // nobody knows how long it takes
		s.submit("job", "batch", job)
		time.Sleep(time.Second)
		s.list(s.fleet.Drain("w0"))
		s.addWorker("w1", 1)
		time.Sleep(2500 * time.Millisecond)
		s.fleet.Leave("w0")
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.settle(t, "job", 20*time.Second))
		s.requireRules(t)
	})
}

// Load: a worker starts again under its id, and the orders to start long-running tasks reach its next
// life before its entry shows it. Guards against tasks that serve already and are all stopped at once,
// more than may be missed, because the former life was meant.
func TestLongRunningTasksOfTheNextLifeGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Hour, jobstate.EndDone }
		next := s.fleet.Add("w0", "zone-0", "rack-0", room)
		lasting := tasks(4, 1)
		lasting.LongRunning, lasting.MaxUnavailable = true, 1
		s.submit("job", "batch", lasting)
		time.Sleep(400 * time.Millisecond)
		s.list(next)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, 4, s.fleet.Running())
		s.requireRules(t)
	})
}
