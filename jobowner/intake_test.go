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

// termOf returns the newest term of the instance, or nil.
func (s *system) termOf(c *candidate) *jobowner.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.term
}

// announce tells a term of the job, as the instance that stored it does.
func (s *system) announce(c *candidate, id string) {
	raw, _ := s.store.Value(jobowner.JobKey(id))
	s.termOf(c).OnAnnounced(metastore.Change{Item: metastore.Item{Key: jobowner.JobKey(id), Value: raw, Revision: 1}})
}

// Load: urgent jobs while the store drops its history and its watches are silent. Guards
// against jobs that wait for the watch, and against a second job when the watch delivers it.
func TestAnnouncedJobStartsWhileTheWatchIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.silence("watch")
		time.Sleep(3 * time.Second)
		s.submit("job", "urgent", tasks(2, 1))
		s.announce(a, "job")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, 2, s.fleet.StartCount())
		a.silence()
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		assert.Equal(t, 2, s.fleet.StartCount())
		s.requireRules(t)
	})
}

// Guards against a job that is announced again to a new owner which has not read its record
// yet: it would be taken for a new one and run twice.
func TestAnnouncementBeforeTheRecordsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		s.kill("a")
		b := s.start("b")
		b.client.SetFault(func(call string) testplatform.Fault {
			if call == "range" && s.termOf(b) != nil {
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
		s.requireRules(t)
	})
}

// Load: a worker says that it leaves while watches of the store are silent and jobs go on coming,
// announced by the instances that stored them. Guards against work for a worker that has left: the
// owner's list of workers was seconds old and nothing looked at its age.
func TestNoStartOnAStaleListOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		a.silence("watch", "range")
		time.Sleep(time.Second) // the watch that was waiting has ended
		s.list(s.fleet.Drain("w0"))
		for n := range 20 {
			id := fmt.Sprint("job", n)
			s.submit(id, "batch", tasks(1, 1))
			s.announce(a, id)
			time.Sleep(250 * time.Millisecond)
		}
		s.requireRules(t)
		s.addWorker("w1", 0)
		a.silence()
		for n := range 20 {
			assert.Equal(t, workload.Completed, s.settle(t, fmt.Sprint("job", n), 20*time.Second))
		}
		s.requireRules(t)
	})
}
