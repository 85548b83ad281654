package jobowner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against faults of normal operation: steps run in order, gangs start together, and the jobs
// are completed.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), n/2)
		}
		s.start("a")
		s.start("b")
		time.Sleep(time.Second)
		second := tasks(6, 1)
		second.After = []int{0}
		s.submit("chain", "batch", gang(4, 4), second)
		s.submit("single", "urgent", tasks(1, 8))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "chain", 10*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "single", 10*time.Second))
		assert.Equal(t, 11, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against treating the lease of a worker that was idle for longer than a lease as expired: the
// run would be started a second time while the first order is in progress.
func TestStartOnWorkerIdleForLongerThanALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.start("a")
		time.Sleep(40 * time.Second)
		s.submit("late", "batch", tasks(8, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "late", 10*time.Second))
		assert.Equal(t, 8, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against acknowledging reports before all jobs are loaded: ends that the predecessor did not
// receive would be lost, and the tasks started again.
func TestRunsThatEndWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		s.start("a")
		time.Sleep(time.Second)
		for n := range 60 { // more than one page of a range read
			s.submit(fmt.Sprint("job", n), "batch", tasks(1, 0))
		}
		time.Sleep(300 * time.Millisecond)
		s.kill("a")
		time.Sleep(3 * time.Second) // the runs end
		s.start("b")
		for n := range 60 {
			assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprint("job", n), 20*time.Second))
		}
		assert.Equal(t, 60, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against a stop that is never sent, because the job is cancelled before the new owner has
// reached the worker of the run.
func TestCancelBetweenOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("long", "batch", tasks(3, 1))
		time.Sleep(time.Second)
		s.kill("a")
		s.cancelJob("long")
		s.start("b")
		time.Sleep(4 * time.Second)
		assert.Equal(t, workload.Cancelled, s.state("long"))
		assert.Zero(t, s.fleet.Running())
		s.requireNoViolations(t)
	})
}

// Guards against abandoning a start without an answer and without a stop: the order may take effect
// later, and the task would run on two workers.
func TestDelayedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		late := 3
		s.fleet.SetFault(func(worker, call string) testplatform.Fault {
			if call == "start" && late > 0 {
				late--
				return testplatform.Late
			}
			return testplatform.None
		})
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		time.Sleep(5 * time.Second)
		assert.Zero(t, s.fleet.Running())
		s.requireNoViolations(t)
	})
}

// Guards against treating a commit whose answer was lost as a conflict with another owner, and against a
// late repetition that overwrites newer records.
func TestLostAnswersOfTheStore(t *testing.T) {
	for _, fault := range []testplatform.Fault{testplatform.AnswerLost, testplatform.Late, testplatform.Refused} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.addWorker("w0", 0)
				c := s.start("a")
				time.Sleep(time.Second)
				calls := 0
				c.client.SetFault(func(call string) testplatform.Fault {
					if calls++; call == "commit" && calls%2 == 0 {
						return fault
					}
					return testplatform.None
				})
				for n := range 5 {
					s.submit(fmt.Sprint("job", n), "batch", tasks(2, 1))
				}
				for n := range 5 {
					assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprint("job", n), 30*time.Second))
				}
				assert.Equal(t, 10, s.fleet.StartCount())
				s.requireNoViolations(t)
			})
		})
	}
}

// Guards against lost or duplicate runs when a worker restarts under its id: what ran there must be
// started again exactly once.
func TestWorkerRestartsUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 4 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", gang(2, 2))
		time.Sleep(time.Second)
		s.addWorker("w0", 0)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		assert.Equal(t, 4, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against starting the runs of an unreachable worker elsewhere before its lease has expired, and
// against never starting them again.
func TestUnreachableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 30 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		s.isolateWorker("w0")
		s.addWorker("w1", 1)
		time.Sleep(8 * time.Second)
		assert.Equal(t, 2, s.fleet.StartCount(), "the lease has not expired")
		time.Sleep(6 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against losing work in an outage of the store that is shorter than MaxUnconfirmedRenewal plus a
// lease.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		a, b := s.start("a"), s.start("b")
		time.Sleep(time.Second)
		s.submit("job", "batch", gang(4, 2))
		time.Sleep(time.Second)
		down := func(string) testplatform.Fault { return testplatform.Silent }
		a.client.SetFault(down)
		b.client.SetFault(down)
		time.Sleep(9 * time.Second)
		up := func(string) testplatform.Fault { return testplatform.None }
		a.client.SetFault(up)
		b.client.SetFault(up)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		assert.Equal(t, 4, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// Guards against work that waits too long for a worker that left while there was no owner. The bound of
// 14 s is the users' time, after the end of the load, at which the states of the jobs are queried.
func TestWorkerLeavesWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		s.kill("a")
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		s.addWorker("w1", 1)
		time.Sleep(2 * time.Second)
		s.start("b")
		time.Sleep(14 * time.Second)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 40*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against a job that is retried without limit, and against counting the failure of a gang once
// for each member.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, run int) (time.Duration, jobstate.End) {
			if name.Job == "twice" && run > 2 {
				return time.Second, jobstate.EndDone
			}
			return time.Second, jobstate.EndFailed
		}
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.addWorker("w2", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("poison", "batch", tasks(1, 1))
		s.submit("twice", "batch", gang(3, 1))
		assert.Equal(t, workload.Failed, s.waitForEnd(t, "poison", 90*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "twice", 90*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against occurrences of a schedule that start early, are skipped, or wait for each other.
func TestSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submitJob(&workload.Submission{ID: "timed", Queue: *s.config.Load().Route("batch"), Steps: []workload.Step{tasks(1, 1)},
			Schedule: workload.Schedule{Occurrences: 4, First: time.Now().Add(2 * time.Second).UnixMilli(), Interval: time.Second}})
		time.Sleep(1900 * time.Millisecond)
		assert.Zero(t, s.fleet.StartCount())
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, 4, s.fleet.StartCount())
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "timed", 20*time.Second))
		s.requireNoViolations(t)
	})
}

// Guards against a long-running task that is not restarted, or whose failures make its job fail.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(_ workload.TaskName, run int) (time.Duration, jobstate.End) {
			if run < 6 {
				return time.Second, jobstate.EndFailed
			}
			return time.Hour, jobstate.EndDone
		}
		for n := range 8 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		s.start("a")
		time.Sleep(time.Second)
		step := tasks(1, 1)
		step.LongRunning = true
		s.submit("serving", "batch", step)
		time.Sleep(60 * time.Second)
		assert.Equal(t, workload.Running, s.state("serving"))
		assert.Equal(t, 1, s.fleet.Running())
		s.cancelJob("serving")
		assert.Equal(t, workload.Cancelled, s.waitForEnd(t, "serving", 5*time.Second))
		time.Sleep(time.Second)
		assert.Zero(t, s.fleet.Running())
		s.requireNoViolations(t)
	})
}

// Guards against running the task of a completed job again, and against showing the completion before it is stored:
// the job ends during an outage of the store, the worker leaves, and another instance becomes the owner after the
// outage.
func TestCompletedInAnOutageStaysCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(1, 1))
		time.Sleep(500 * time.Millisecond)
		down := func(string) testplatform.Fault { return testplatform.Silent }
		a.client.SetFault(down)
		time.Sleep(time.Second)
		state, _ := a.term.State(context.Background(), "job")
		assert.Equal(t, workload.Running, state, "the completion is not stored")
		s.fleet.RemoveWorker("w0")
		s.store.Remove(workersPrefix + "w0")
		s.addWorker("w1", 0)
		s.start("b")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		assert.Equal(t, 1, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}

// advisor admits one worker for all steps and counts its calls.
type advisor struct {
	mu    sync.Mutex
	good  string
	calls int
	valid time.Duration
}

func (a *advisor) Advise(_ context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	time.Sleep(20 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	tickets := map[string]string{}
	for _, w := range workers {
		if w == a.good {
			tickets[w] = "ticket for " + step
		}
	}
	return tickets, a.valid, nil
}

// Guards against starts without a ticket on queues whose policy excludes workers, and against repeated
// calls while tickets are valid.
func TestAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		a := &advisor{good: "w2", valid: 3 * time.Second}
		s.advisor = a
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		s.start("a")
		time.Sleep(time.Second)
		job := &workload.Submission{ID: "advised", Queue: *s.config.Load().Route("batch"), Steps: []workload.Step{tasks(12, 1)}}
		job.Queue.Name, job.Queue.Advice = "advised", &workload.Advice{Decision: 20 * time.Millisecond, Valid: 3 * time.Second}
		var starts []string
		s.fleet.SetFault(func(worker, call string) testplatform.Fault {
			if call == "start" {
				a.mu.Lock()
				starts = append(starts, worker)
				a.mu.Unlock()
			}
			return testplatform.None
		})
		s.submitJob(job)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "advised", 20*time.Second))
		for _, w := range starts {
			assert.Equal(t, "w2", w)
		}
		assert.Len(t, starts, 12)
		assert.LessOrEqual(t, a.calls, 2)
		s.requireNoViolations(t)
	})
}

// Guards against fillers that keep the tail latency of a serving task above its target.
func TestFillersAreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Hour, jobstate.EndDone }
		s.fleet.Load = func(speedPercents map[string]int) float64 { // the tail latency grows with the speed of the fillers
			sum := 200
			for _, p := range speedPercents {
				sum -= 100 - p
			}
			return 20 + float64(sum)/2
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		serving := tasks(1, 1)
		serving.LongRunning, serving.TailTarget = true, 50*time.Millisecond
		filler := tasks(2, 0)
		filler.Filler = true
		s.submit("serving", "urgent", serving)
		s.submit("filler", "batch", filler)
		time.Sleep(10 * time.Second)
		assert.Less(t, s.fleet.Load(s.fleet.SpeedPercents()), 50.0)
		assert.Len(t, s.fleet.SpeedPercents(), 2)
	})
}
