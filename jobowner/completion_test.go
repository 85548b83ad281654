package jobowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against a completion that callers are shown before it is stored, by an owner without access to the store or by
// a successor that learns of the completion from it: the successor shows it as soon as it has stored it, and runs
// nothing again.
func TestSuccessorShowsCompletionOnceStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(500 * time.Millisecond)
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(time.Second)
		state, _ := a.term.State(context.Background(), "job")
		assert.Equal(t, workload.Running, state)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		s.addWorker("w1", 1)
		b := s.start("b")
		b.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" && s.currentTerm(b) != nil {
				return testplatform.Refused
			}
			return testplatform.None
		})
		for s.currentTerm(b) == nil || !s.currentTerm(b).HasJob("job") {
			time.Sleep(10 * time.Millisecond)
		}
		state, _ = s.currentTerm(b).State(context.Background(), "job")
		assert.Equal(t, workload.Running, state, "not stored yet")
		b.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
		time.Sleep(200 * time.Millisecond)
		state, _ = s.currentTerm(b).State(context.Background(), "job")
		assert.Equal(t, workload.Completed, state)
		assert.Equal(t, workload.Completed, s.state("job"), "in the store")
		assert.Equal(t, 1, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against tasks that start again after callers have seen their job as completed: the owner shows the end in
// an outage of the store, and loses power with the worker that holds the only other copy of it.
func TestCompletionInAnOutageSurvivesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(500 * time.Millisecond)
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(time.Second)
		state, _ := s.currentTerm(a).State(context.Background(), "job")
		s.fleet.CheckReportedState("job", state)
		s.kill("a")
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		s.addWorker("w1", 1)
		s.start("b")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		s.requireNoViolations(t)
	})
}
