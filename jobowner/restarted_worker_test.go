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

// Guards against a task that runs twice: the next incarnation of a worker carries out a start of a term that is
// older than a lease, its answers are lost, and its lease is taken for that of a former owner, which has expired.
func TestStartThatReachesTheNextIncarnationKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 5 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(20 * time.Second)
		next := s.fleet.Add("w0", "zone-0", "rack-0", workerCapacity)
		s.fleet.SetFault(func(worker, call string) testplatform.Fault {
			switch {
			case worker != "w0":
				return testplatform.None
			case call == "stop":
				return testplatform.Silent
			}
			return testplatform.AnswerLost
		})
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, 1, s.fleet.StartCount())
		s.list(next)
		s.addWorker("w1", 0)
		time.Sleep(2 * time.Second)
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		s.requireNoViolations(t)
	})
}
