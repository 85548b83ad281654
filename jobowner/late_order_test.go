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
