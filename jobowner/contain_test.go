package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against an unexpected error in a decision that ends the process of the owner, and against
// work that is lost or run again because of it.
func TestDecisionThatFailsEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(3, 1))
		time.Sleep(100 * time.Millisecond)
		s.faulty.Store(true)
		s.submit("next", "urgent", tasks(2, 1))
		time.Sleep(500 * time.Millisecond)
		s.faulty.Store(false)
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		assert.Equal(t, workload.Completed, s.settle(t, "next", 10*time.Second))
		assert.Equal(t, 5, s.fleet.StartCount())
		s.requireRules(t)
	})
}

// Load: the owner's machine is suspended for some seconds, in which a worker says that it leaves, and
// goes on where it was. Guards against work for that worker and against a renewed lease, on a list and
// a confirmation that look fresh because the clock stood still.
func TestSuspendedOwnerActsOnNothingOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.silence("watch", "range", "keepalive") // the connections did not outlive the suspension
		time.Sleep(700 * time.Millisecond)       // the watch that was waiting has ended
		s.list(s.fleet.Drain("w0"))
		s.slept.Add(int64(5 * time.Second))
		s.submit("job", "urgent", tasks(1, 1))
		s.announce(a, "job")
		time.Sleep(500 * time.Millisecond)
		assert.Zero(t, s.fleet.StartCount())
		assert.False(t, a.elector.ConfirmedWithin(jobowner.MaxUnconfirmedRenewal))
		a.silence()
		s.addWorker("w1", 0)
		assert.Equal(t, workload.Completed, s.settle(t, "job", 20*time.Second))
		s.requireRules(t)
	})
}
