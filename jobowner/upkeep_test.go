package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// A machine goes down for upkeep while long-running tasks serve. Guards against more unavailable tasks
// than MaxUnavailable, against new work on a reserved machine, and against waiting for runs after their
// machine has gone down.
func TestMachineUpkeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 10 * time.Minute, jobstate.EndFailed
		}
		for _, id := range []string{"w0", "w1", "w2"} {
			s.addWorker(id, 0)
		}
		a := s.start("a")
		time.Sleep(time.Second)
		longRunning := tasks(2, 8)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
		s.submit("lasting", "batch", longRunning)
		time.Sleep(20 * time.Second)
		term := s.currentTerm(a)
		var idle string
		var busy []string
		for _, id := range []string{"w0", "w1", "w2"} {
			l := term.Load(id)
			if l.Idle {
				idle = id
				continue
			}
			busy = append(busy, id)
			assert.True(t, l.Blocked, "the other task is not fully serving yet")
		}
		assert.NotEmpty(t, idle)

		term.Reserve(idle, true)
		s.submit("new", "batch", tasks(1, 8))
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, workload.Queued, s.state("new"))
		term.Reserve(idle, false)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, workload.Running, s.state("new"))

		runs := s.fleet.StartCount()
		s.fleet.RemoveWorker(busy[0])
		term.WorkerEnded(upkeep.WorkerIncarnation{ID: busy[0], Number: term.Load(busy[0]).Incarnation})
		s.addWorker("w9", 0)
		time.Sleep(time.Second)
		assert.Equal(t, runs+1, s.fleet.StartCount(), "it starts again elsewhere at once")
		s.requireNoViolations(t)
	})
}

// A worker restarts under its id before the answer to the upkeep order of its former incarnation is processed. Guards
// against dropping the new incarnation, whose run would start elsewhere while it goes on.
func TestEndOfAFormerIncarnationKeepsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		former := s.currentTerm(a).Load("w0").Incarnation
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
		s.submit("job", "urgent", tasks(2, 8))
		time.Sleep(time.Second)
		s.currentTerm(a).WorkerEnded(upkeep.WorkerIncarnation{ID: "w0", Number: former})
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}
