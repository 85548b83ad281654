package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Load: a data centre loses power and the owner with it; its workers come back as others at
// their addresses. Guards against a new owner that waits for the leases of workers that it
// knows from records only, although they have been replaced.
func TestNewOwnerSeesThatAWorkerWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 3 * time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.fleet.StartCount())
		s.kill("a")
		s.fleet.Leave("w0")
		s.store.Remove(workersPrefix + "w0")
		entry := s.fleet.Add("w1", "zone-0", "rack-0", room)
		entry.Worker.Address = "10.0.0.1:w0"
		s.list(entry)
		s.start("b")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		s.requireRules(t)
	})
}

// Load: the owner changes every few seconds after some workers left for good. Guards against tasks
// that wait for their leases anew under each owner, for as long as owners change.
func TestChangesOfOwnerDoNotProlongALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.fleet.StartCount())
		s.addWorker("w1", 0)
		s.fleet.Leave("w0")
		s.store.Remove(workersPrefix + "w0")
		for _, name := range []string{"a", "b", "c", "d"} {
			s.kill(name)
			s.start(string(name[0] + 1))
			time.Sleep(7 * time.Second)
		}
		assert.Equal(t, 4, s.fleet.StartCount(), "28 s after the workers left")
		s.requireRules(t)
	})
}

// Guards against a record that says when the lease of a worker runs out after the worker has
// answered again and its lease was renewed: the next owner would start the tasks a second time.
func TestWorkerThatAnswersAgainKeepsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
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
		time.Sleep(4 * time.Second) // it is noted as silent
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		time.Sleep(20 * time.Second)
		s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
			if worker != "w2" {
				return testplatform.Silent // again, and the owner dies
			}
			return testplatform.None
		})
		s.kill("a")
		s.start("b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1, s.fleet.StartCount())
		time.Sleep(15 * time.Second)
		s.requireRules(t)
	})
}
