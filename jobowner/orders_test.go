package jobowner_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// One start, stop or report request to a worker is lost. Guards against a retry only after a second,
// with which an urgent job misses its objective.
func TestLostOrdersAreRetriedQuickly(t *testing.T) {
	for _, call := range []string{"start", "stop", "hold"} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
					if name.Job == "batch" {
						return time.Minute, jobstate.EndDone
					}
					return time.Second, jobstate.EndDone
				}
				s.addWorker("w0", 0)
				s.start("a")
				time.Sleep(time.Second)
				s.submit("batch", "batch", tasks(1, 8))
				time.Sleep(time.Second)
				var lost atomic.Bool
				s.fleet.SetFault(func(_, order string) testplatform.Fault {
					if order == call && lost.CompareAndSwap(false, true) {
						return testplatform.Silent
					}
					return testplatform.None
				})
				s.submit("urgent", "urgent", tasks(1, 8))
				time.Sleep(1500 * time.Millisecond)
				assert.True(t, lost.Load())
				assert.Equal(t, workload.Completed, s.state("urgent"))
				s.requireNoViolations(t)
			})
		})
	}
}

// The only worker is avoided because runs of another job failed there. Guards against a start that is decided all
// the same and then not sent, and against a job that waits until the worker is no longer avoided.
func TestOnlyWorkerIsUsedWhileItIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "bad" {
				return 50 * time.Millisecond, jobstate.EndFailed
			}
			return 200 * time.Millisecond, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("bad", "batch", tasks(1, 1))
		time.Sleep(2500 * time.Millisecond) // its second run has failed
		s.submit("good", "batch", tasks(1, 1))
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, workload.Completed, s.state("good"))
		s.requireNoViolations(t)
	})
}

// Two workers refuse all starts for long, and stops take about as long as such a worker is left alone. Guards against
// a gang that is sent to the same workers each time, because the other members take so long to stop.
func TestGangLeavesWorkersThatRefuseStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 8 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		var mu sync.Mutex
		stopSince := map[string]time.Time{}
		s.fleet.SetFault(func(worker, order string) testplatform.Fault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case order == "start" && (worker == "w0" || worker == "w1"):
				return testplatform.Refused
			case order == "start":
				delete(stopSince, worker)
			case order == "stop" && stopSince[worker].IsZero():
				stopSince[worker] = time.Now()
				return testplatform.Silent
			case order == "stop" && time.Since(stopSince[worker]) < 900*time.Millisecond:
				return testplatform.Silent
			}
			return testplatform.None
		})
		s.start("a")
		time.Sleep(time.Second)
		s.submit("gang", "batch", gang(4, 8))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "gang", 10*time.Second))
		s.requireNoViolations(t)
	})
}

// Workers carry out starts whose answers are lost. Guards against stopping such a run although it
// works; with long-running tasks, more than MaxUnavailable could become unavailable.
func TestStartWithLostAnswerIsConfirmedByReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.fleet.SetFault(func(_, order string) testplatform.Fault {
			if order == "start" {
				return testplatform.AnswerLost
			}
			return testplatform.None
		})
		longRunning := tasks(2, 1)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
		s.submit("lasting", "batch", longRunning)
		s.submit("plain", "batch", tasks(2, 1))
		time.Sleep(5 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, 4, s.fleet.Running())
		assert.Equal(t, workload.Running, s.state("plain"))
		s.requireNoViolations(t)
	})
}

// A worker has been idle for longer than a lease when a run that was planned there is stopped before its record is stored,
// and the stop is not answered. Guards against a worker whose lease counts as expired then and that is never asked for a
// report again: it got no work for an hour (seed 303 of TestFuzzTerms).
func TestIdleWorkerIsAskedAgainAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(testplatform.MaxLease + time.Second)
		a.hangCalls("commit")
		s.isolateWorker("w0")
		s.submit("cancelled", "batch", tasks(1, 1))
		time.Sleep(100 * time.Millisecond)
		s.cancelJob("cancelled")
		time.Sleep(time.Second)
		s.isolateWorker("")
		a.hangCalls()
		s.submit("job", "batch", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 10*time.Second))
		s.requireNoViolations(t)
	})
}
