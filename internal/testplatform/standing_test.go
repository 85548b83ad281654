package testplatform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// standingBounds is how long a job may stand after the start of calm times, with the interval of the checks.
const standingBounds = calmBefore + standingBound + 200*time.Millisecond

var halfWorker = workload.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 4}

// newStandingHarness has one job of two steps, each task of which takes most of a worker and runs for a minute.
func newStandingHarness(t *testing.T) *harness {
	o := &harness{t, NewFleet()}
	o.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
	o.fleet.Add("w0", "z", "r", halfWorker)
	o.fleet.Add("w1", "z", "r", halfWorker)
	first := workload.Step{Tasks: 2, Demand: workload.Resources{Accelerators: 3}}
	second := workload.Step{Tasks: 1, Demand: workload.Resources{Accelerators: 1}, After: []int{0}}
	o.submit("job", first, second)
	return o
}

func (o *harness) submit(id string, steps ...workload.Step) {
	o.fleet.RecordSubmission(&workload.Submission{ID: id, Payload: "p", Steps: steps, Queue: workload.Route{MaxAttempts: 1}})
}

func (o *harness) stop(worker, task string) {
	o.t.Helper()
	_, err := o.fleet.Stop(context.Background(), workerapi.Target{ID: worker}, workerapi.Stop{Task: task, Run: 1, Token: 1})
	require.NoError(o.t, err)
}

// vanish removes a worker with a run of each task of the job, and adds another one.
func (o *harness) vanish(worker string) {
	o.fleet.RecordedOn = func(workload.TaskName) string { return worker }
	o.start(worker, "job.0.0.0", 1)
	o.fleet.RemoveWorker(worker)
	o.fleet.Add("w2", "z", "r", halfWorker)
}

// watch looks for standing jobs for the given time, in which the leases are renewed.
func (o *harness) watch(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, worker := range []string{"w0", "w1"} {
			_, _ = o.fleet.Renew(context.Background(), workerapi.Target{ID: worker}, workerapi.Renew{Token: 1, LeaseUntil: 90_000}) // fails if it is gone
		}
		o.fleet.CheckStanding()
	}
}

// Guards against an oracle that does not detect standing jobs.
func TestOracleSeesStandingJobs(t *testing.T) {
	for name, act := range map[string]func(o *harness){
		"nothing was started": func(*harness) {},
		"the run has ended": func(o *harness) {
			o.start("w0", "job.0.0.0", 1)
			o.watch(time.Second)
			o.stop("w0", "job.0.0.0")
		},
		"the second step is due": func(o *harness) {
			o.start("w0", "job.0.0.0", 1)
			o.start("w1", "job.0.0.1", 1)
			o.watch(time.Minute)
		},
		"the worker was replaced": func(o *harness) {
			o.start("w1", "job.0.0.0", 1)
			o.fleet.Replace("w1", "w2", "z", "r", halfWorker)
		},
		"the lease at a vanished worker has expired": func(o *harness) {
			o.vanish("w1")
			o.watch(MaxLease + MaxLease/50 + calmBefore)
		},
		"a long-running task does not run": func(o *harness) {
			o.start("w0", "job.0.0.0", 1)
			o.submit("long", workload.Step{Tasks: 2, LongRunning: true})
			o.start("w0", "long.0.0.0", 1)
		},
		"a job that fits its cap alone waits too long": func(o *harness) {
			o.fleet.SetCap("", workload.Resources{Accelerators: 3})
			o.watch(capStandingBound)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newStandingHarness(t)
				act(o)
				o.watch(standingBounds)
				require.NotEmpty(t, o.fleet.Violations())
				assert.Contains(t, o.fleet.Violations()[0], "LOST: ")
			})
		})
	}
}

// Guards against an oracle that takes a job for standing which may wait.
func TestOracleAllowsWaitingJobs(t *testing.T) {
	for name, act := range map[string]func(o *harness){
		"a task runs":             func(o *harness) { o.start("w0", "job.0.0.0", 1) },
		"the job is cancelled":    func(o *harness) { o.fleet.RecordCancellation("job") },
		"callers see it as ended": func(o *harness) { o.fleet.Ended = func(string) bool { return true } },
		"there is room only once": func(o *harness) { o.fleet.Drain("w1") },
		"the workspace may be at its cap": func(o *harness) {
			o.fleet.SetCap("", workload.Resources{Accelerators: 3})
		},
		"a task is larger than the cap": func(o *harness) {
			o.fleet.SetCap("", workload.Resources{Accelerators: 2})
			o.watch(capStandingBound)
		},
		"workers are evacuated": func(o *harness) { o.fleet.SetEvacuated("z", true) },
		"a fault lasts":         func(o *harness) { o.fleet.CalmSince = func() time.Time { return time.Time{} } },
		"a fault has just ended": func(o *harness) {
			o.watch(2 * time.Second)
			ended := time.Now()
			o.fleet.CalmSince = func() time.Time { return ended }
			o.watch(standingBounds - 500*time.Millisecond)
			o.start("w0", "job.0.0.0", 1)
		},
		"a worker has vanished": func(o *harness) {
			o.vanish("w1")
		},
		"a long-running task has just ended": func(o *harness) {
			o.start("w0", "job.0.0.0", 1)
			o.submit("long", workload.Step{Tasks: 1, LongRunning: true})
			o.start("w0", "long.0.0.0", 1)
			o.watch(calmBefore)
			o.stop("w0", "long.0.0.0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newStandingHarness(t)
				act(o)
				o.watch(standingBounds)
				assert.Empty(t, o.fleet.Violations())
			})
		})
	}
}

// Guards against an oracle that takes a filler for running although it was ordered not to work.
func TestOracleSeesStandingFillers(t *testing.T) {
	for name, c := range map[string]struct {
		percent int
		tail    float64
		stands  bool
	}{"stopped beside a relaxed task": {0, 5, true}, "stopped beside a strained task": {0, 50, false}, "slow": {10, 5, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &harness{t, NewFleet()}
				o.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Hour, jobstate.EndDone }
				o.fleet.Load = func(map[string]int) float64 { return c.tail }
				o.fleet.Add("w0", "z", "r", halfWorker)
				o.fleet.Add("w1", "z", "r", halfWorker)
				o.submit("serving", workload.Step{Tasks: 1, LongRunning: true, TailTarget: 50 * time.Millisecond})
				o.submit("filler", workload.Step{Tasks: 1, Filler: true})
				o.start("w0", "serving.0.0.0", 1)
				o.start("w0", "filler.0.0.0", 1)
				require.NoError(t, o.fleet.Throttle(context.Background(), workerapi.Target{ID: "w0"}, workerapi.Throttle{Task: "filler.0.0.0", Run: 1, Percent: c.percent, Token: 1}))
				o.watch(standingBounds)
				assert.Equal(t, c.stands, len(o.fleet.Violations()) > 0, o.fleet.Violations())
			})
		})
	}
}
