package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against a panic in a decision that ends the owner's process, and against work that is lost or
// repeated because of it.
func TestPanicInDecisionEndsOnlyTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(3, 1))
		time.Sleep(100 * time.Millisecond)
		s.configPanics.Store(true)
		s.submit("next", "urgent", tasks(2, 1))
		time.Sleep(500 * time.Millisecond)
		s.configPanics.Store(false)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "next", 10*time.Second))
		assert.Equal(t, 5, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Applying a submission panics once. Guards against a change that is dropped for the rest of the term, so that the
// accepted job never starts.
func TestSubmissionIsAppliedAgainAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.configPanics.Store(true)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(20 * time.Millisecond)
		s.configPanics.Store(false)
		term := s.currentTerm(a)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		assert.Same(t, term, s.currentTerm(a))
		s.requireNoViolations(t)
	})
}

// The owner's machine is suspended for 5 s while a worker starts to drain. Guards against work for that
// worker and against a renewed lease: the list of workers and the confirmation of the ownership seem
// fresh, because the monotonic clock stands still during a suspension.
func TestSuspendedOwnerUsesNoStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.hangCalls("watch", "range", "keepalive") // the connections broke during the suspension
		time.Sleep(700 * time.Millisecond)         // the pending watch has returned
		s.list(s.fleet.Drain("w0"))
		s.suspendedFor.Add(int64(5 * time.Second))
		s.submit("job", "urgent", tasks(1, 1))
		s.announce(a, "job")
		time.Sleep(500 * time.Millisecond)
		assert.Zero(t, s.fleet.StartCount())
		assert.False(t, a.elector.ConfirmedWithin(jobowner.MaxUnconfirmedRenewal))
		a.hangCalls()
		s.addWorker("w1", 0)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		s.requireNoViolations(t)
	})
}
