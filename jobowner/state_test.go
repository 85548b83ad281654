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

// Callers query the state at the moment when the last task ends, and poll again only 250 ms later.
// Guards against an answer from a few milliseconds before the end is reported and stored, against a
// delayed answer when no end is imminent, and against showing an end before it is stored.
func TestStateWaitsForImminentEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(task workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if task.Job == "long" {
				return time.Minute, jobstate.EndDone
			}
			return time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		term := s.currentTerm(a)
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

		s.waitForEnd(t, "waits", 5*time.Second)
		s.submit("long", "batch", tasks(1, 8))
		s.submit("queued", "batch", tasks(1, 8))
		time.Sleep(500 * time.Millisecond)
		state, held := ask("long")
		assert.Equal(t, workload.Running, state)
		assert.LessOrEqual(t, held, 100*time.Millisecond)
		state, held = ask("queued")
		assert.Equal(t, workload.Queued, state)
		assert.Zero(t, held, "it has no runs")

		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Refused })
		s.submit("other", "batch", tasks(1, 0))
		s.announce(a, "other")
		time.Sleep(1020 * time.Millisecond)
		state, _ = ask("other")
		assert.Equal(t, workload.Queued, state, "not shown before it is stored")
	})
}

// The store answers 70 times slower than usual. Guards against "running" as the state of a job whose
// end the owner has received and is about to store.
func TestStateWaitsForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(1, 8))
		time.Sleep(500 * time.Millisecond)
		a.client.SetLatency(280 * time.Millisecond)
		time.Sleep(530 * time.Millisecond) // the task has ended
		state, _ := s.currentTerm(a).State(context.Background(), "job")
		assert.Equal(t, workload.Completed, state)
		assert.Equal(t, workload.Completed, s.state("job"))
	})
}
