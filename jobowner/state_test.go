package jobowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Load: callers that ask in the moment in which the last task ends, and come back a quarter of a
// second later. Guards against an answer that was true a few milliseconds before the report of
// the end and its write to the store, against one that is held when nothing is about to end, and
// against an end that is shown before it is stored.
func TestStateWaitsForAnEndThatIsNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(task workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if task.Job == "long" {
				return time.Minute, jobstate.EndDone
			}
			return time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		term := s.termOf(a)
		ask := func(id string) (workload.State, time.Duration) {
			began := time.Now()
			state, known := term.State(context.Background(), id)
			assert.True(t, known)
			return state, time.Since(began)
		}
		s.submit("short", "urgent", tasks(1, 8))
		s.submit("waits", "batch", tasks(1, 8))
		time.Sleep(980 * time.Millisecond)
		state, _ := ask("short")
		assert.Equal(t, workload.Completed, state)
		assert.Equal(t, workload.Completed, s.state("short"), "in the store")

		s.settle(t, "waits", 5*time.Second)
		s.submit("long", "batch", tasks(1, 8))
		s.submit("queued", "batch", tasks(1, 8))
		time.Sleep(500 * time.Millisecond)
		state, held := ask("long")
		assert.Equal(t, workload.Running, state)
		assert.LessOrEqual(t, held, 100*time.Millisecond)
		state, held = ask("queued")
		assert.Equal(t, workload.Queued, state)
		assert.Zero(t, held, "nothing of it runs")

		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Refused })
		s.submit("other", "batch", tasks(1, 0))
		s.announce(a, "other")
		time.Sleep(1020 * time.Millisecond)
		state, _ = ask("other")
		assert.Equal(t, workload.Queued, state, "not stored, not shown")
	})
}

// Load: a store that answers 70 times slower than usual. Guards against "running" for a job whose
// end the owner knows and is about to store.
func TestStateWaitsForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(1, 8))
		time.Sleep(500 * time.Millisecond)
		a.client.Slow(280 * time.Millisecond)
		time.Sleep(530 * time.Millisecond) // the task has ended
		state, _ := s.termOf(a).State(context.Background(), "job")
		assert.Equal(t, workload.Completed, state)
		assert.Equal(t, workload.Completed, s.state("job"))
	})
}
