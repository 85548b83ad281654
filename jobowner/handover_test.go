package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// A data centre with the owner loses power, and other workers start at the addresses of its workers.
// Guards against a new owner that waits for the leases of the replaced workers, which only job records
// mention.
func TestNewOwnerDetectsReplacedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 3 * time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.fleet.StartCount())
		s.kill("a")
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		s.list(s.fleet.Replace("w0", "w1", "zone-0", "rack-0", workerCapacity))
		s.start("b")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		s.requireNoViolations(t)
	})
}

// The owner changes every 7 s after a worker has left for good. Guards against each new owner waiting
// for the worker's lease from the beginning, so that its tasks are never restarted.
func TestOwnerChangesDoNotExtendALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.fleet.StartCount())
		s.addWorker("w1", 0)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		for _, name := range []string{"a", "b", "c", "d"} {
			s.kill(name)
			s.start(string(name[0] + 1))
			time.Sleep(7 * time.Second)
		}
		assert.Equal(t, 4, s.fleet.StartCount(), "28 s after the worker left")
		s.requireNoViolations(t)
	})
}

// Guards against a stale lease end in a job record, after the worker has answered again and its lease
// was renewed: the next owner would start the tasks a second time.
func TestRecoveredWorkerKeepsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.addWorker("w2", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 8))
		time.Sleep(time.Second)
		s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
			if worker != "w2" {
				return testplatform.Silent
			}
			return testplatform.None
		})
		time.Sleep(4 * time.Second) // its job's record marks it as unresponsive
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		time.Sleep(20 * time.Second)
		s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
			if worker != "w2" {
				return testplatform.Silent // once more, and the owner is killed
			}
			return testplatform.None
		})
		s.kill("a")
		s.start("b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1, s.fleet.StartCount())
		time.Sleep(15 * time.Second)
		s.requireNoViolations(t)
	})
}

// A new owner reads many job records from a slow store. Guards against a read of all pages that never fits into
// its timeout and is started over without end, so that no accepted job starts in this term.
func TestNewOwnerReadsRecordsFromASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		for n := range 100 {
			s.submit(fmt.Sprintf("old-%03d", n), "batch", tasks(1, 0))
		}
		time.Sleep(10 * time.Second)
		s.kill("a")
		s.submit("new", "batch", tasks(1, 1))
		b := s.start("b")
		b.client.SetLatencyOf("range", 300*time.Millisecond)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "new", 10*time.Second))
		s.requireNoViolations(t)
	})
}

// The store answers the owner's renewals and none of its reads, and answers the other instance. Guards against an
// owner that never loads its jobs and keeps the ownership, so that no accepted job starts.
func TestOwnerThatCannotReadHandsOver(t *testing.T) {
	for _, fault := range []testplatform.Fault{testplatform.Silent, testplatform.Refused} {
		synctest.Test(t, func(t *testing.T) {
			s := newSystem()
			defer s.stop()
			s.addWorker("w0", 0)
			a := s.start("a")
			a.client.SetFault(func(call string) testplatform.Fault {
				if call == "range" && s.currentTerm(a) != nil {
					return fault
				}
				return testplatform.None
			})
			time.Sleep(time.Second)
			s.submit("job", "batch", tasks(1, 1))
			s.start("b")
			assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
			s.requireNoViolations(t)
		})
	}
}
