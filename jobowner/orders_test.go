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

// Load: urgent work while a part of the orders to workers, and of their answers, is lost. Guards
// against a start, a stop or a report that is repeated only after a second, which costs an
// urgent job its objective.
func TestLostOrdersAreRepeatedSoon(t *testing.T) {
	for _, call := range []string{"start", "stop", "hold"} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.fleet.Fate = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
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
				s.requireRules(t)
			})
		})
	}
}

// Load: workers carry starts out and their answers are lost. Guards against stopping a run that
// works because nobody knows of it; for a long-running task that could take too many away.
func TestRunWhoseStartHadNoAnswerIsLookedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.fleet.SetFault(func(_, order string) testplatform.Fault {
			if order == "start" {
				return testplatform.Lost
			}
			return testplatform.None
		})
		lasting := tasks(2, 1)
		lasting.LongRunning, lasting.MaxUnavailable = true, 1
		s.submit("lasting", "batch", lasting)
		s.submit("plain", "batch", tasks(2, 1))
		time.Sleep(5 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, 4, s.fleet.Running())
		assert.Equal(t, workload.Running, s.state("plain"))
		s.requireRules(t)
	})
}
