package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Load: a data centre loses power and the owner with it; its workers come back as others at
// their addresses. Guards against a new owner that waits for the leases of workers that it
// knows from records only, although they have been replaced.
func TestNewOwnerSeesThatAWorkerWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 3 * time.Second, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.fleet.StartCount())
		s.kill("a")
		s.fleet.Leave("w0")
		s.store.Remove(workersPrefix + "w0")
		entry := s.fleet.Add("w1", "zone-0", "rack-0", room)
		entry.Worker.Address = "10.0.0.1:w0"
		s.list(entry)
		s.start("b")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		s.requireRules(t)
	})
}
