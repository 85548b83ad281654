package jobowner_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// A steady stream of ends of batch jobs keeps records of a slow store under way when urgent jobs arrive.
// Guards against an urgent start that waits for the writes of other jobs besides its own.
func TestUrgentStartDoesNotWaitForOtherWrites(t *testing.T) {
	const latency = 100 * time.Millisecond
	const slack = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return time.Second, jobstate.EndDone
		}
		for n := range 8 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		a := s.start("a")
		time.Sleep(2 * time.Second)
		a.client.SetLatency(latency)
		for n := range 100 {
			s.submit(fmt.Sprint("batch-", n), "batch", tasks(1, 1))
			if n%10 == 9 {
				id := fmt.Sprint("urgent-", n)
				s.submit(id, "urgent", tasks(1, 1))
				s.announce(a, id)
				// One write of its record, beside those of other jobs.
				time.Sleep(latency + slack)
				assert.True(t, s.fleet.Started(id), "%s waits for other writes", id)
			}
			time.Sleep(30 * time.Millisecond)
		}
		for n := range 100 {
			assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprint("batch-", n), 10*time.Second))
		}
		s.requireNoViolations(t)
	})
}

// A worker reports ends while a record that they do not concern is being written, and the owner dies
// before the ends are stored. Guards against a worker that discards an end no record holds: the
// successor would run the task again.
func TestEndsAreKeptUntilTheirRecordIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return time.Second + time.Duration(name.Index)*70*time.Millisecond, jobstate.EndDone
		}
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		for round := range 12 {
			name := fmt.Sprint("owner-", round)
			owner := s.start(name)
			time.Sleep(1500 * time.Millisecond)
			owner.client.SetLatency(100 * time.Millisecond)
			for n := range 3 {
				s.submit(fmt.Sprintf("job-%d-%d", round, n), "batch", tasks(8, 1))
			}
			time.Sleep(1150*time.Millisecond + time.Duration(round)*50*time.Millisecond)
			s.kill(name)
			time.Sleep(2 * ownership.OwnerTTL)
		}
		s.start("last")
		for round := range 12 {
			for n := range 3 {
				assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprintf("job-%d-%d", round, n), 20*time.Second))
			}
		}
		s.requireNoViolations(t)
	})
}

// The store resets the connection of each write. Guards against writes that are repeated without a pause: one owner
// would use up the rate at which all instances may write.
func TestResetWritesAreRepeatedWithAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		var commits atomic.Int64
		a.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" {
				commits.Add(1)
				return testplatform.AnswerLost
			}
			return testplatform.None
		})
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(2 * time.Second)
		assert.Positive(t, commits.Load())
		assert.LessOrEqual(t, commits.Load(), int64(200), "one transaction every 10 ms")
		a.hangCalls()
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 5*time.Second))
		s.requireNoViolations(t)
	})
}

// A slow store takes fewer records than change, and new jobs keep arriving. Guards against a job that is never written
// because each new job has been written less often: its next step would not start until the arrivals end.
func TestRecordOfAnOldJobIsWrittenWhileNewJobsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "old" {
				return time.Duration(name.Index+1) * 200 * time.Millisecond, jobstate.EndDone
			}
			return time.Duration(name.Index+1) * 500 * time.Millisecond, jobstate.EndDone
		}
		for n := range 20 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		a := s.start("a")
		time.Sleep(2 * time.Second)
		next := tasks(3, 0)
		next.After = []int{0}
		s.submit("old", "batch", tasks(30, 0), next)
		waited := time.Duration(0)
		for n := range 400 {
			if n == 40 {
				a.client.SetLatencyOf("commit", 240*time.Millisecond) // 60 times slower than usual
			}
			if n >= 40 {
				s.submit(fmt.Sprint("new", n), "batch", tasks(8, 0))
			}
			time.Sleep(50 * time.Millisecond)
			s.currentTerm(a).WithCluster(func(c *jobstate.Cluster) {
				if j := c.Jobs["old"]; j != nil && !j.State.Ended() && j.Occurrences[0].Steps[0].Done() && !s.fleet.HasStarted("old.0.1.0") {
					waited += 50 * time.Millisecond
				}
			})
		}
		assert.True(t, s.fleet.HasStarted("old.0.1.0"))
		assert.Less(t, waited, 3*time.Second)
		s.requireNoViolations(t)
	})
}
