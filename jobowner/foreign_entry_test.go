package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// laterLife is an incarnation that no worker of a test has.
const laterLife = 1 << 40

// foreignEntries are entries of another writer, by what they say. own and other are entries of sound workers.
var foreignEntries = map[string]func(own, other workerapi.Entry) workerapi.Entry{
	"new key, address of a worker, unnamed service": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Worker.ID, own.Service, own.Incarnation = "probe", "unnamed", laterLife
		return own
	},
	"new key, address of a worker": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Worker.ID, own.Incarnation = "probe", laterLife
		return own
	},
	"new key, alias of a worker": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Worker.ID = testplatform.AliasOf(own.Worker.ID)
		return own
	},
	"new key, alias of a worker, later incarnation": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Worker.ID, own.Incarnation = testplatform.AliasOf(own.Worker.ID), laterLife
		return own
	},
	"key of a worker, later incarnation": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Incarnation = laterLife
		return own
	},
	"key of a worker, no incarnation": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Incarnation = 0
		return own
	},
	"key of a worker, later incarnation, address of another worker": func(own, other workerapi.Entry) workerapi.Entry {
		own.Incarnation, own.Worker.Address = laterLife, other.Worker.Address
		return own
	},
	"key of a worker, address of another worker": func(own, other workerapi.Entry) workerapi.Entry {
		own.Worker.Address = other.Worker.Address
		return own
	},
	"key of a worker, address without a listener": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Worker.Address = "10.0.0.9:1"
		return own
	},
	"key of a worker, other capacity": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Capacity.Accelerators *= 4
		return own
	},
	"key of a worker, draining and gone by now": func(own, _ workerapi.Entry) workerapi.Entry {
		own.Draining = true
		return own
	},
}

// Another writer stores an entry under the key of a sound worker, or with its address, which is removed or replaced by the
// worker's next heartbeat. Guards against taking the runs of the worker for gone, so that their tasks start twice (TWICE),
// against a lost worker (LOST), and against starts over its capacity (LIMIT).
func TestEntryOfAnotherWriterEndsNoRun(t *testing.T) {
	for name, foreign := range foreignEntries {
		for _, then := range []string{"heartbeat", "removed", "next owner"} {
			t.Run(name+", "+then, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playForeignEntry(t, foreign, then) })
			})
		}
	}
}

func playForeignEntry(t *testing.T, foreign func(own, other workerapi.Entry) workerapi.Entry, then string) {
	s := newSystem()
	defer s.stop()
	s.storeStable.Store(true)
	s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 8 * time.Second, jobstate.EndDone }
	s.addWorker("w0", 0)
	s.addWorker("w1", 1)
	s.start("a")
	time.Sleep(time.Second)
	s.submit("job", "batch", tasks(4, 4)) // both workers are full
	time.Sleep(time.Second)
	own, _ := s.fleet.Entry("w0")
	other, _ := s.fleet.Entry("w1")
	entry := foreign(own, other)
	s.list(entry)
	time.Sleep(700 * time.Millisecond)
	switch then {
	case "removed":
		s.store.Remove(workersPrefix + entry.Worker.ID)
		time.Sleep(700 * time.Millisecond)
	case "next owner": // it knows the workers from job records only
		s.kill("a")
		s.start("b")
		time.Sleep(4 * time.Second)
	}
	s.list(own) // its next heartbeat
	s.submit("next", "batch", tasks(4, 4))
	time.Sleep(time.Second)
	s.list(own)
	assert.Equal(t, 4, s.fleet.StartCount(), "all runs go on")
	assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 10*time.Second))
	assert.Equal(t, workload.Completed, s.waitForEnd(t, "next", 12*time.Second), "the worker gets work again")
	assert.Equal(t, 8, s.fleet.StartCount())
	s.requireNoViolations(t)
}

// An entry of another writer is there before the worker's own, or before the owner's term. Guards against a worker that never
// gets work, and against reports that are all ignored as those of an earlier incarnation (LOST).
func TestWorkerIsUsedAfterAForeignEntryCameFirst(t *testing.T) {
	for name, foreign := range foreignEntries {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				own := s.fleet.Add("w0", "zone-0", "rack-0", workerCapacity)
				other := s.fleet.Add("w1", "zone-1", "rack-1", workerCapacity)
				s.list(other)
				s.list(foreign(own, other))
				s.start("a")
				time.Sleep(time.Second)
				for range 2 { // heartbeats, which differ in more than Seq only for the reader of another entry
					s.list(own)
					time.Sleep(time.Second)
				}
				s.submit("job", "batch", tasks(4, 4))
				assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 1600*time.Millisecond), "both workers are used")
				s.requireNoViolations(t)
			})
		})
	}
}

// The entry of a restarted worker is read before anything has answered, and its clock was set back, so that its incarnation
// is the lower number. Guards against runs that wait for the end of a lease although the new incarnation answers (LOST).
func TestRestartedWorkerWithAnEarlierClockIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.SetNextIncarnation(100)
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 4))
		time.Sleep(200 * time.Millisecond)
		s.fleet.SetNextIncarnation(50)
		s.addWorker("w0", 0)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 4*time.Second))
		assert.Equal(t, 4, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// A worker's service is named by a later configuration than the entry. Guards against an entry that is lost because it was
// read first.
func TestEntryIsAppliedOnceItsServiceIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		config := s.config.Load()
		s.config.Store(workload.NewConfig(workload.Config{Version: config.Version - 1}))
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.config.Store(config)
		s.currentTerm(a).OnConfig()
		s.submit("job", "batch", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 4*time.Second))
		s.requireNoViolations(t)
	})
}

// A worker drains with long-running tasks, which are not moved, and its entry is removed. Guards against taking a missing
// answer for its end (TWICE), and against tasks that wait for its lease although its machine refuses connections (LOST).
func TestDrainedWorkerHasLeftOnceItsMachineRefusesConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		gone   bool
		starts int
	}{{"no answer", false, 2}, {"refused", true, 4}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.storeStable.Store(true)
				s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Hour, jobstate.EndDone }
				s.addWorker("w0", 0)
				s.start("a")
				time.Sleep(time.Second)
				job := tasks(2, 1)
				job.LongRunning = true
				s.submit("job", "batch", job)
				time.Sleep(time.Second)
				s.list(s.fleet.Drain("w0"))
				s.addWorker("w1", 1)
				time.Sleep(2500 * time.Millisecond)
				if c.gone {
					s.fleet.RemoveWorker("w0")
				} else {
					s.isolateWorker("w0")
				}
				s.store.Remove(workersPrefix + "w0")
				time.Sleep(1200 * time.Millisecond)
				assert.Equal(t, c.starts, s.fleet.StartCount())
				s.requireNoViolations(t)
			})
		})
	}
}
