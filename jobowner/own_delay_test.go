package jobowner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxStanding is how long an accepted job may have nothing running in calm times with room for it twice over.
const maxStanding = 3 * time.Second

// All workers are avoided after failures, and the queue needs advice. Guards against steps for which avoided workers
// are never named to the advice service, so that the job waits for the end of the avoidance.
func TestAvoidedWorkersAreNamedForAdviceIfThereAreNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.advisor = &advisorOf{admitted: map[string]bool{"w0": true, "w1": true}}
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		term := a.term
		s.mu.Unlock()
		term.WithCluster(func(c *jobstate.Cluster) {
			for _, w := range c.Workers {
				w.FailStreak, w.AvoidUntil = 4, time.Now().Add(16*time.Second)
			}
		})
		job := &workload.Submission{ID: "job", Queue: *s.config.Load().Route("batch"), Steps: []workload.Step{tasks(1, 1)}}
		job.Queue.Name, job.Queue.Advice = "advised", &workload.Advice{Decision: 20 * time.Millisecond, Valid: time.Minute}
		s.submitJob(job)
		submitted := time.Now()
		for s.fleet.StartCount() == 0 && time.Since(submitted) < 30*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Less(t, time.Since(submitted), maxStanding)
	})
}

// The workers of a rack have lost power, and the owner lags. Guards against orders to workers that do not answer, which
// are repeated, that use up the limit of orders in progress, so that an urgent start for other workers waits.
func TestSilentWorkersDoNotDelayOrdersOfALaggingOwner(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(fmt.Sprint("lag ", lag), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.ownLag = lag
				for n := range 48 {
					s.addWorker(fmt.Sprintf("w%02d", n), n/40)
				}
				s.start("a")
				time.Sleep(4 * time.Second)
				s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
					if worker < "w40" {
						return testplatform.Silent
					}
					return testplatform.None
				})
				silent := tasks(40*8, 1)
				silent.Label = "rack-0"
				s.submit("silent", "batch", silent)
				time.Sleep(4 * time.Second)
				urgent := tasks(1, 1)
				urgent.Label = "rack-1"
				s.submit("urgent", "urgent", urgent)
				submitted := time.Now()
				for s.fleet.StartCount() == 0 && time.Since(submitted) < 30*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				assert.Less(t, time.Since(submitted), maxStanding)
			})
		})
	}
}

// Many workers do not answer a new owner when others are listed. Guards against first reports of these that wait for the
// former, so that no job can start.
func TestSilentWorkersDoNotDelayFirstReportsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 300 {
			s.addWorker(fmt.Sprintf("w%03d", n), 0)
		}
		s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
			if strings.HasPrefix(worker, "w") {
				return testplatform.Silent
			}
			return testplatform.None
		})
		s.submit("job", "urgent", tasks(1, 1))
		s.start("a")
		time.Sleep(500 * time.Millisecond)
		s.addWorker("x0", 1)
		s.addWorker("x1", 1)
		listed := time.Now()
		for s.fleet.StartCount() == 0 && time.Since(listed) < 30*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Less(t, time.Since(listed), maxStanding)
	})
}

// delayedReports delays the answers to some reports on their way to the owner, as its own lag does.
type delayedReports struct {
	workerapi.Client
	delay func(workerapi.Report) time.Duration
}

func (d delayedReports) Renew(ctx context.Context, target workerapi.Target, o workerapi.Renew) (workerapi.Report, error) {
	report, err := d.Client.Renew(ctx, target, o)
	if err == nil {
		time.Sleep(d.delay(report))
	}
	return report, err
}

// A report that follows the previous one at once, because another run ended, is processed 1.1 s late by the owner.
// Guards against a rate that is measured by the time of processing, so that the owner takes its own delay for a slow
// worker, stops the run and avoids the worker.
func TestDelayOfTheOwnerDoesNotMakeAWorkerSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "long" {
				return 8 * time.Second, jobstate.EndDone
			}
			return time.Duration(300+50*name.Index) * time.Millisecond, jobstate.EndDone
		}
		var ends, late atomic.Int64
		s.wrapWorkers = func(c workerapi.Client) workerapi.Client {
			return delayedReports{c, func(r workerapi.Report) time.Duration {
				for _, e := range r.Ended {
					if strings.HasPrefix(e.Task, "short") && ends.Add(1) == 2 {
						late.Add(1)
						return 1100 * time.Millisecond
					}
				}
				return 0
			}}
		}
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		long := tasks(4, 5)
		long.Estimate = 8 * time.Second
		s.submit("long", "batch", long)
		time.Sleep(3 * time.Second)
		s.submit("short", "batch", tasks(2, 1))
		time.Sleep(3 * time.Second)
		assert.EqualValues(t, 1, late.Load())
		assert.Equal(t, 6, s.fleet.StartCount(), "no run is stopped and started again")
		s.mu.Lock()
		term := s.instances["a"].term
		s.mu.Unlock()
		term.WithCluster(func(c *jobstate.Cluster) {
			for _, w := range c.Workers {
				assert.Zero(t, w.AvoidUntil, "%s is not avoided", w.ID)
			}
		})
	})
}

// delayedStarts delays starts on their way out of the owner, as its own lag does. A start whose timeout has passed by
// then is not sent.
type delayedStarts struct {
	workerapi.Client
	delay time.Duration
}

func (d delayedStarts) Start(ctx context.Context, target workerapi.Target, o workerapi.Start) (int64, error) {
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(d.delay):
		return d.Client.Start(ctx, target, o)
	}
}

// The owner lags, and a worker begins to drain while a start for it waits in the owner. Guards against a start that is
// sent after DrainMs, because its timeout is longer than the time that the age of the list of workers leaves for it.
func TestStartOfALaggingOwnerIsNotSentToADrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.ownLag = 500 * time.Millisecond
		s.wrapWorkers = func(c workerapi.Client) workerapi.Client {
			return delayedStarts{c, 2100 * time.Millisecond}
		}
		s.fleet.Undisturbed = func() bool { return true }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(3 * time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(50 * time.Millisecond)
		s.list(s.fleet.Drain("w0"))
		time.Sleep(3 * time.Second)
		s.requireNoViolations(t)
	})
}
