package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// currentTerm returns the newest term of the instance, or nil.
func (s *system) currentTerm(c *testInstance) *jobowner.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.term
}

// announce sends the job to the instance's term, as the instance that stored the job does.
func (s *system) announce(c *testInstance, id string) {
	raw, _ := s.store.Value(jobowner.JobKey(id))
	s.currentTerm(c).OnAnnounced(metastore.Change{Item: metastore.Item{Key: jobowner.JobKey(id), Value: raw, Revision: 1}})
}

// Watches of the store do not answer while urgent jobs arrive. Guards against announced jobs that wait
// for the watch, and against a duplicate job when the watch delivers it.
func TestAnnouncedJobStartsWhileTheWatchHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.hangCalls("watch")
		time.Sleep(3 * time.Second)
		s.submit("job", "urgent", tasks(2, 1))
		s.announce(a, "job")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, 2, s.fleet.StartCount())
		a.hangCalls()
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against an announcement to a new owner that has not read the job's record yet: a completed job
// would be added as new and run twice.
func TestAnnouncementBeforeTheRecordsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		s.kill("a")
		b := s.start("b")
		b.client.SetFault(func(call string) testplatform.Fault {
			if call == "range" && s.currentTerm(b) != nil {
				return testplatform.Refused
			}
			return testplatform.None
		})
		time.Sleep(3 * time.Second)
		s.announce(b, "job")
		time.Sleep(time.Second)
		b.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
		time.Sleep(5 * time.Second)
		assert.Equal(t, workload.Completed, s.state("job"))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A worker starts to drain while watches of the store do not answer and announced jobs keep arriving.
// Guards against starts on a worker that has left, because the owner's list of workers is seconds old
// and its age is not checked.
func TestNoStartOnAStaleListOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.hangCalls("watch", "range")
		time.Sleep(time.Second) // the pending watch has returned
		s.list(s.fleet.Drain("w0"))
		for n := range 20 {
			id := fmt.Sprint("job", n)
			s.submit(id, "batch", tasks(1, 1))
			s.announce(a, id)
			time.Sleep(250 * time.Millisecond)
		}
		s.requireNoViolations(t)
		s.addWorker("w1", 0)
		a.hangCalls()
		for n := range 20 {
			assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprint("job", n), 20*time.Second))
		}
		s.requireNoViolations(t)
	})
}

// Each read of a page of the list of workers takes long, and its workers write their heartbeats. Guards against a list
// that stays older than its limit without end, because its pages do not fit into one timeout: nothing is started.
func TestJobsStartWithASlowListOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 30 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		a := s.start("a")
		time.Sleep(time.Second)
		a.client.SetLatencyOf("range", 650*time.Millisecond)
		a.client.SetLatencyOf("watch", 650*time.Millisecond)
		for n := range 40 {
			id := fmt.Sprint("w", n%30)
			raw, _ := s.store.Value(workersPrefix + id)
			s.store.Put(workersPrefix+id, raw)
			time.Sleep(100 * time.Millisecond)
		}
		s.submit("job", "batch", tasks(1, 1))
		s.announce(a, "job")
		time.Sleep(3 * time.Second)
		assert.Equal(t, 1, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A job is accepted while the owner's reads of the store are not answered, nobody announces it, and the store drops its
// history. Guards against a job that waits for the next owner after the store answers again.
func TestJobAcceptedWhileTheOwnerCannotRead(t *testing.T) {
	for _, compact := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSystem()
			defer s.stop()
			s.addWorker("w0", 0)
			a := s.start("a")
			time.Sleep(time.Second)
			a.hangCalls("watch", "range")
			time.Sleep(4 * time.Second)
			s.submit("job", "batch", tasks(1, 1))
			time.Sleep(6 * time.Second)
			if compact {
				s.store.Compact()
			}
			a.hangCalls()
			time.Sleep(3 * time.Second)
			assert.Equal(t, 1, s.fleet.StartCount())
			s.requireNoViolations(t)
		})
	}
}
