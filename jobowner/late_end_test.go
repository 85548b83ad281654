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

// A task ends as done on a worker that is cut off until its lease has expired, and starts again elsewhere. Guards against an
// owner that acknowledges the end when it arrives and goes on running the task, or starts it once more.
func TestLateEndAsDoneCompletesTheTask(t *testing.T) {
	for name, step := range map[string]workload.Step{"tasks": tasks(2, 1), "gang": gang(2, 1)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.fleet.Outcome = func(_ workload.TaskName, run int) (time.Duration, jobstate.End) {
					if run == 1 {
						return 3 * time.Second, jobstate.EndDone
					}
					return time.Minute, jobstate.EndDone
				}
				s.addWorker("w0", 0)
				s.start("a")
				time.Sleep(time.Second)
				s.submit("job", "batch", step)
				time.Sleep(time.Second)
				s.isolateWorker("w0")
				s.addWorker("w1", 1)
				time.Sleep(3 * time.Second)
				assert.Zero(t, s.fleet.Running(), "done, with the lease still held")
				time.Sleep(12 * time.Second)
				assert.Equal(t, 4, s.fleet.StartCount(), "started again after the lease")
				s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
				assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 3*time.Second))
				time.Sleep(time.Second)
				assert.Zero(t, s.fleet.Running(), "the second runs are stopped")
				assert.Equal(t, 4, s.fleet.StartCount())
				assert.Zero(t, s.fleet.UnacknowledgedEnds("w0"))
				s.requireNoViolations(t)
			})
		})
	}
}

// The same end arrives while the second run is planned and its record is not stored. Guards against a start of a task that is
// done.
func TestLateEndAsDoneCancelsAPlannedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(time.Second)
		s.isolateWorker("w0")
		time.Sleep(3 * time.Second)
		assert.Zero(t, s.fleet.Running(), "done, with the lease still held")
		time.Sleep(7 * time.Second)
		s.addWorker("w1", 1)
		planned := func() (found bool) {
			s.currentTerm(a).WithCluster(func(c *jobstate.Cluster) {
				for _, r := range c.Jobs["job"].Runs() {
					found = found || r.Phase == jobstate.Planned
				}
			})
			return found
		}
		a.client.SetLatency(200 * time.Millisecond)
		for !planned() {
			time.Sleep(10 * time.Millisecond)
		}
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		time.Sleep(time.Second)
		assert.Equal(t, 1, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}
