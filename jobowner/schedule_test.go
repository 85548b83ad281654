package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// submitScheduled submits a job of the steps whose times began so long ago that all of them are due.
func (s *system) submitScheduled(id, route string, times int, steps ...workload.Step) {
	s.submitJob(&workload.Submission{ID: id, Queue: *s.config.Load().Route(route), Workspace: "team", Payload: "payload of " + id, Steps: steps,
		Schedule:   workload.Schedule{Occurrences: times, First: time.Now().Add(-24 * time.Hour).UnixMilli(), Interval: time.Second},
		AcceptedAt: time.Now().UnixMilli()})
}

// occurrences returns how many occurrences of all jobs the owner holds, and how many of them have nothing running.
func (s *system) occurrences(c *testInstance) (held, idle int) {
	s.currentTerm(c).WithCluster(func(c *jobstate.Cluster) {
		for _, j := range c.Jobs {
			for _, o := range j.Occurrences {
				held++
				active := o.Done()
				for _, step := range o.Steps {
					active = active || step.Active > 0
				}
				if !active {
					idle++
				}
			}
		}
	})
	return held, idle
}

// Scheduled jobs with thousands of times that are due come before ordinary and urgent jobs. Guards against an owner whose
// memory and time of a decision grow with the accepted occurrences, so that it ends or starts nothing (Fault, LOST), and
// against jobs that wait behind them.
func TestDueOccurrencesAreOpenedAsRoomComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		a := s.start("a")
		time.Sleep(time.Second)
		for n := range 4 {
			s.submitScheduled(fmt.Sprint("scheduled", n), "batch", 2000, tasks(1, 8))
		}
		time.Sleep(3 * time.Second)
		running := s.fleet.StartCount()
		assert.GreaterOrEqual(t, running, 8, "the fleet is in use")
		held, idle := s.occurrences(a)
		assert.LessOrEqual(t, idle, 64+4)
		assert.LessOrEqual(t, held, 64+4+4*2)
		s.submit("ordinary", "batch", tasks(1, 1))
		s.submit("urgent", "urgent", tasks(4, 4))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "urgent", 3*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "ordinary", 5*time.Second))
		for n := range 4 {
			s.cancelJob(fmt.Sprint("scheduled", n))
		}
		time.Sleep(2 * time.Second)
		held, _ = s.occurrences(a)
		assert.Zero(t, held, "ended jobs hold no tasks")
		s.requireNoViolations(t)
	})
}

// An urgent queue has thousands of times that lie in the past. Guards against ordinary jobs of a less urgent queue, and urgent jobs
// that come later, which wait behind all of them or whose runs are stopped for them.
func TestOverdueOccurrencesComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return map[bool]time.Duration{true: 3 * time.Second, false: time.Second}[name.Job == "ordinary"], jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		s.start("a")
		time.Sleep(time.Second)
		for n := range 2 {
			s.submitScheduled(fmt.Sprint("scheduled", n), "urgent", 2000, tasks(1, 8))
		}
		time.Sleep(3 * time.Second)
		s.submit("ordinary", "batch", tasks(2, 8))
		time.Sleep(2500 * time.Millisecond)
		s.submit("urgent", "urgent", tasks(2, 4))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "urgent", 3*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "ordinary", 8*time.Second))
		time.Sleep(3 * time.Second)
		assert.GreaterOrEqual(t, s.fleet.StartCount(), 10, "room that is free is used")
		s.requireNoViolations(t)
	})
}

// Guards against a fleet that stands idle although occurrences are due, and against some that never run, when the occurrences
// of another job can never start (LOST).
func TestFreeRoomOpensDueOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 8 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		s.start("a")
		time.Sleep(time.Second)
		for n := range 3 {
			never := tasks(1, 1)
			never.Label = "none"
			s.submitScheduled(fmt.Sprint("never", n), "batch", 1000, never)
		}
		second := tasks(1, 1)
		second.After = []int{0}
		s.submitScheduled("job", "batch", 300, tasks(1, 1), second)
		time.Sleep(1500 * time.Millisecond)
		assert.GreaterOrEqual(t, s.fleet.StartCount(), 64, "all accelerators are in use")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 25*time.Second), "600 tasks of 1 s on 64 accelerators")
		assert.Equal(t, 600, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// The owner changes while a job with many due occurrences is under way. Guards against a record that grows with the
// occurrences that are done until the store does not accept it, and against a next owner that runs some again or leaves some out.
func TestNextOwnerContinuesDueOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		s.start("a")
		time.Sleep(time.Second)
		s.submitScheduled("job", "batch", 400, tasks(1, 1))
		for _, name := range []string{"b", "c", "d"} {
			time.Sleep(6 * time.Second)
			raw, _ := s.store.Value(jobowner.RecordKey("job"))
			assert.Less(t, len(raw), 40_000)
			for old := range s.instances {
				s.kill(old)
			}
			s.start(name)
		}
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", time.Minute))
		for k := range 400 {
			assert.True(t, s.fleet.HasStarted(workload.TaskName{Job: "job", Occurrence: k}.String()))
		}
		s.requireNoViolations(t)
	})
}

// Guards against jobs that count towards the memory of the owner after they have ended, so that it refuses new ones for good.
func TestEndedJobsLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.retention = 20 * time.Second
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		before, _ := s.currentTerm(a).Room()
		wide := s.submit("wide", "batch", tasks(5000, 1))
		s.submitScheduled("scheduled", "batch", 1000, tasks(1, 1))
		time.Sleep(time.Second)
		room, _ := s.currentTerm(a).Room()
		assert.Less(t, room, before-wide.Footprint())
		s.cancelJob("wide")
		s.cancelJob("scheduled")
		time.Sleep(3 * time.Second)
		room, _ = s.currentTerm(a).Room()
		assert.Equal(t, before-2*workload.EndedFootprint, room)
		time.Sleep(25 * time.Second)
		room, _ = s.currentTerm(a).Room()
		assert.Equal(t, before, room)
		s.requireNoViolations(t)
	})
}
