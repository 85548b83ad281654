package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// A draining worker keeps running its tasks for many seconds and becomes unreachable, so that its entry
// expires. Guards against treating the missing entry as proof that the worker has left: its tasks would
// start elsewhere while they still run there.
func TestUnreachableDrainingWorkerKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 30 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		job := tasks(2, 1)
		job.Estimate = 0 // unknown duration
		s.submit("job", "batch", job)
		time.Sleep(time.Second)
		s.isolateWorker("w0") // at once: the stops of runs that cannot end in time do not reach it
		s.list(s.fleet.Drain("w0"))
		s.addWorker("w1", 1)
		time.Sleep(5 * time.Second)
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(4 * time.Second)
		assert.Equal(t, 2, s.fleet.StartCount(), "the lease has not expired")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 60*time.Second))
		s.requireNoViolations(t)
	})
}

// A draining worker is replaced before its work has ended. Guards against tasks that wait for seconds
// although their worker is known to have left.
func TestRunsOfADepartedWorkerRestartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.storeStable.Store(true)
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 8 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		job := tasks(2, 1)
		job.Estimate = 0 // unknown duration
		s.submit("job", "batch", job)
		time.Sleep(time.Second)
		s.list(s.fleet.Drain("w0"))
		s.addWorker("w1", 1)
		time.Sleep(2500 * time.Millisecond)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		s.requireNoViolations(t)
	})
}

// A worker restarts under its id, and starts of long-running tasks reach the new process before its
// entry is updated. Guards against stopping all these tasks at once, more than MaxUnavailable, because the
// orders were meant for the previous process.
func TestLongRunningTasksContinueAfterWorkerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Hour, jobstate.EndDone }
		next := s.fleet.Add("w0", "zone-0", "rack-0", workerCapacity)
		longRunning := tasks(4, 1)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
		s.submit("job", "batch", longRunning)
		time.Sleep(400 * time.Millisecond)
		s.list(next)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, 4, s.fleet.Running())
		s.requireNoViolations(t)
	})
}

// Draining workers finish their tasks during an outage of the store, and leave. Guards against a job that has nothing
// running for seconds because the next owner waits for the leases of these workers, and against running their tasks
// again, although the former owner has received the ends.
func TestEndsReceivedInAnOutageReachTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 6 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		second := tasks(1, 1)
		second.After = []int{0}
		s.submit("job", "batch", tasks(2, 1), second)
		time.Sleep(2500 * time.Millisecond)
		entry := s.fleet.Drain("w0")
		entry.DrainTime = 5 * time.Second
		s.list(entry)
		time.Sleep(2500 * time.Millisecond)
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(3 * time.Second)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(1500 * time.Millisecond)
		s.addWorker("w1", 1)
		s.start("b")
		time.Sleep(3 * time.Second)
		assert.Equal(t, 3, s.fleet.StartCount(), "the second step has started")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		assert.Equal(t, 3, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A worker that runs a task is cut off from the store, so that its entry expires, and the owner changes. Guards against a
// new owner that does not ask the worker because it is not listed: the run would lose its lease and be started elsewhere.
func TestUnlistedWorkerKeepsItsRunsUnderANewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		s.store.Remove(workersPrefix + "w0")
		s.addWorker("w1", 1)
		s.kill("a")
		s.start("b")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A draining worker is lost during an outage of the store with its run unfinished, and the owner too. Guards against a next
// owner that waits for the longest lease that its predecessor may have granted.
func TestNextOwnerKnowsTheLeaseOfADrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 5 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 8))
		time.Sleep(1500 * time.Millisecond)
		s.addWorker("w1", 1)
		entry := s.fleet.Drain("w0")
		entry.DrainTime = 5 * time.Second
		s.list(entry)
		drained := time.Now()
		time.Sleep(time.Second)
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(time.Second)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		time.Sleep(4 * time.Second)
		s.kill("a")
		s.start("b")
		time.Sleep(time.Until(drained.Add(11 * time.Second)))
		assert.Equal(t, 2, s.fleet.StartCount(), "11 s after the last renewal")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against runs that lose their lease on a worker that announces that it will stay for long.
func TestLeasesAreRenewedInALongDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 25 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		entry := s.fleet.Drain("w0")
		entry.DrainTime = 30 * time.Second
		s.list(entry)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A drain is withdrawn after the end of the lease was recorded for it. Guards against a worker that gets no work, or whose
// leases are not renewed, because a record may still show that end.
func TestLeasesAreRenewedAfterADrainIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "second" {
				return 25 * time.Second, jobstate.EndDone
			}
			return 5 * time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("first", "batch", tasks(1, 1))
		time.Sleep(time.Second)
		entry := s.fleet.Drain("w0")
		entry.DrainTime = 5 * time.Second
		s.list(entry)
		time.Sleep(time.Second)
		s.undrain(entry)
		s.submit("second", "batch", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "second", 40*time.Second))
		assert.Equal(t, workload.Completed, s.state("first"))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// undrain lists a worker as ready again.
func (s *system) undrain(entry workerapi.Entry) {
	s.fleet.Undrain(entry.Worker.ID)
	entry.Draining, entry.DrainTime = false, 0
	s.list(entry)
}

// Another writer overwrites the entry of a draining worker with something unreadable. Guards against taking this for the
// departure of the worker: its run would start elsewhere while it goes on.
func TestUnreadableEntryIsNoDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.storeStable.Store(true)
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 6 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 8))
		time.Sleep(2 * time.Second)
		s.addWorker("w1", 1)
		entry := s.fleet.Drain("w0")
		entry.DrainTime = 4500 * time.Millisecond
		s.list(entry)
		for range 3 { // heartbeats
			time.Sleep(900 * time.Millisecond)
			s.list(entry)
		}
		s.isolateWorker("w0")
		time.Sleep(1200 * time.Millisecond)
		s.store.Put(workersPrefix+"w0", []byte("{"))
		time.Sleep(time.Second)
		assert.Equal(t, 1, s.fleet.StartCount())
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		s.requireNoViolations(t)
	})
}
