package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// leaseLimit is the longest time that a lease may last on a worker's clock that is 2% slow.
const leaseLimit = testplatform.MaxLease + testplatform.MaxLease/50

// standingLimit is how long a task that can run may wait in calm times before and after the workers restart: 4 s
// of calm, and 3 s in which its job has nothing running.
const standingLimit = 7 * time.Second

// Guards against jobs that stand because all their workers restarted while a request that lets them discard
// ends had no answer: the restarted workers got no work for 12 s.
func TestWorkersGetWorkAfterRestartDuringAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return time.Duration(1+9*(name.Index%2)) * time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(4, 4)) // on each worker, one task ends after 1 s and one after 10 s
		time.Sleep(1500 * time.Millisecond)
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		started := s.fleet.StartCount()
		time.Sleep(standingLimit)
		assert.Greater(t, s.fleet.StartCount(), started)
		s.requireNoViolations(t)
	})
}

// Guards against jobs that stand because each change of owner extends the wait for the lease of a worker that
// vanished: the lease end that a former owner recorded was trusted only 8 s later.
func TestOwnerChangesKeepTheRecordedLeaseEnd(t *testing.T) {
	requireRestartAcrossOwners(t, 3, 4500*time.Millisecond)
}

// Guards against the same wait after terms that are too short to record a lease end: an owner waited 2 s for the
// entry of a worker that its list did not contain.
func TestShortTermsRecordTheLeaseEnd(t *testing.T) {
	requireRestartAcrossOwners(t, 5, 2200*time.Millisecond)
}

// Guards against jobs that stand because a lease end becomes later when it is recorded on the clock of another worker and
// read by a successor: clocks are never fast, and the time at which a report was held back says nothing about its clock.
func TestSuccessorUsesTheRecordedLeaseEndAsItIs(t *testing.T) {
	const tolerance = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		leaseEnds := func(c *testInstance) (at time.Time) {
			s.currentTerm(c).WithCluster(func(c *jobstate.Cluster) {
				assert.True(t, c.Workers["w0"].Unresponsive)
				at = c.Workers["w0"].LeaseEnds
			})
			return at
		}
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(10, 1))
		time.Sleep(3 * time.Second)
		s.isolateWorker("w0")
		time.Sleep(3 * time.Second)
		recorded := leaseEnds(a)
		s.kill("a")
		b := s.start("b")
		time.Sleep(3 * time.Second)
		assert.False(t, leaseEnds(b).Before(recorded))
		assert.LessOrEqual(t, leaseEnds(b).Sub(recorded), tolerance)
	})
}

// Guards against jobs that stand because the wait for the lease of a vanished worker allows a former owner a longer time
// than it has: its ownership lasted until its key expired, OwnerTTL after its last confirmation.
func TestWaitForALeaseOfTheFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		s.addWorker("w1", 0)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		lost := time.Now()
		s.kill("a")
		time.Sleep(time.Until(lost.Add(4300 * time.Millisecond)))
		s.start("b")
		time.Sleep(time.Until(lost.Add(leaseLimit + standingLimit)))
		assert.Equal(t, 4, s.fleet.StartCount(), "when the lease has been over for %v", standingLimit)
		s.requireNoViolations(t)
	})
}

// requireRestartAcrossOwners requires that the tasks of a worker that vanished together with the owner run on
// another worker in time, although the owner changes further times at the given interval.
func requireRestartAcrossOwners(t *testing.T, changes int, interval time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a0")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		s.addWorker("w1", 0)
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		limit := time.Now().Add(leaseLimit + standingLimit)
		for n := range changes {
			s.kill(fmt.Sprint("a", n))
			s.start(fmt.Sprint("a", n+1)) // it becomes the owner 1.5 s later
			time.Sleep(interval)
		}
		time.Sleep(time.Until(limit))
		assert.Equal(t, 4, s.fleet.StartCount(), "when the lease has been over for %v", standingLimit)
		s.requireNoViolations(t)
	})
}
