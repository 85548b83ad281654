package jobowner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// A worker restarts under its id, and a report request to its former incarnation is carried out 3 s late by
// the new one. Its number of ends that may be discarded belongs to the former incarnation. Guards against an
// end of a new run that is discarded unread: the owner would take the run for lapsed and start the task
// again after it was done (seed 830 of TestFuzzTerms).
func TestLateReportRequestOfAFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return 2500 * time.Millisecond, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("first", "batch", tasks(4, 1)) // the ends 1 to 4 of the first incarnation
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "first", 10*time.Second))
		s.submit("second", "batch", tasks(1, 1)) // keeps reports going
		time.Sleep(time.Second)
		restart := time.Now()
		var late atomic.Int32
		s.fleet.SetFault(func(_, call string) testplatform.Fault {
			since := time.Since(restart)
			switch {
			case call != "hold":
				return testplatform.None
			case late.Add(1) == 1:
				return testplatform.Late
			case since > 1200*time.Millisecond && since < 3400*time.Millisecond:
				return testplatform.Silent // the new run ends in this time
			}
			return testplatform.None
		})
		second := s.fleet.Add("w0", "zone-0", "rack-0", workerCapacity)
		time.Sleep(200 * time.Millisecond) // the next report request meets the second incarnation
		s.list(second)
		time.Sleep(20 * time.Second)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "second", 30*time.Second))
		assert.Positive(t, late.Load())
		s.requireNoViolations(t)
	})
}

// The answer to a report request that acknowledges ends is lost, the worker restarts under its id, and the new
// incarnation carries out late what was sent to the former one: a start and, after the run has ended, a further
// request. Guards against repeated acknowledgements, which discard the end unread: the task would run again after
// it was done (seed 1705 of TestFuzzTerms).
func TestUnansweredAcknowledgementIsNotRepeatedBlindly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "first" {
				return time.Second, jobstate.EndDone
			}
			return 300 * time.Millisecond, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("first", "batch", tasks(2, 1)) // as many as start at once on a worker, so that one report has their ends
		time.Sleep(900 * time.Millisecond)      // the request that returns the ends is in progress
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.Late })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "first", time.Second))
		time.Sleep(500 * time.Millisecond)
		s.submit("second", "batch", tasks(1, 1))
		time.Sleep(500 * time.Millisecond)
		next := s.fleet.Add("w0", "zone-0", "rack-0", workerCapacity)
		time.Sleep(time.Second)
		s.list(next)
		time.Sleep(2500 * time.Millisecond)
		assert.True(t, s.fleet.Started("second"))
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "second", 20*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against an end that is never acknowledged because the answer to its acknowledgement was lost and the worker
// has no runs that require further reports.
func TestUnansweredAcknowledgementIsRepeatedOnceTheWorkerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(900 * time.Millisecond) // the request that returns the end is in progress
		s.isolateWorker("w0")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", time.Second))
		time.Sleep(3 * time.Second)
		assert.Equal(t, 1, s.fleet.UnacknowledgedEnds("w0"))
		s.isolateWorker("")
		time.Sleep(2 * time.Second)
		assert.Zero(t, s.fleet.UnacknowledgedEnds("w0"))
	})
}
