package testplatform

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// harness sends valid and invalid orders to a fleet of two workers.
type harness struct {
	t     *testing.T
	fleet *Fleet
}

func newHarness(t *testing.T) *harness {
	f := NewFleet()
	for _, id := range []string{"w0", "w1"} {
		f.Add(id, "z", "r", workload.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 4})
	}
	one := workload.Step{Tasks: 3, Demand: workload.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 2}}
	second := one
	second.After = []int{0}
	gang := one
	gang.Gang = true
	queue := workload.Route{MaxAttempts: 1, Priority: 1}
	labelled, apart, serving, filler := one, one, one, one
	labelled.Label, apart.MaxPerWorker = "b", 1
	serving.LongRunning, serving.MaxUnavailable, serving.TailTarget = true, 1, 20*time.Millisecond
	serving.Demand.Accelerators, filler.Demand.Accelerators, filler.Filler = 1, 1, true
	urgent := workload.Route{MaxAttempts: 1}
	f.Guarantees = map[string]int{"guaranteed": 8}
	for id, step := range map[string]workload.Step{"labelled": labelled, "apart": apart, "serving": serving, "filler": filler} {
		f.RecordSubmission(&workload.Submission{ID: id, Payload: "p", Steps: []workload.Step{step}, Queue: queue})
	}
	f.RecordSubmission(&workload.Submission{ID: "urgent", Workspace: "other", Payload: "p", Steps: []workload.Step{one}, Queue: urgent})
	f.RecordSubmission(&workload.Submission{ID: "plain", Payload: "p", Steps: []workload.Step{one, second}, Queue: queue})
	short := one
	short.Tasks = 1
	f.RecordSubmission(&workload.Submission{ID: "short", Payload: "p", Steps: []workload.Step{short}, Queue: queue})
	f.RecordSubmission(&workload.Submission{ID: "gang", Payload: "p", Steps: []workload.Step{gang}, Queue: queue})
	f.RecordSubmission(&workload.Submission{ID: "timed", Payload: "p", Steps: []workload.Step{one}, Queue: queue,
		Schedule: workload.Schedule{Occurrences: 2, First: time.Now().Add(time.Minute).UnixMilli(), Interval: time.Minute}})
	return &harness{t, f}
}

func (o *harness) start(worker, task string, run int) {
	o.t.Helper()
	_, err := o.fleet.Start(context.Background(), workerapi.Target{ID: worker}, workerapi.Start{Task: task, Run: run, Payload: "p", LeaseUntil: 60_000, Token: 1})
	require.NoError(o.t, err)
}

// capTwoTasks starts two of the tasks of a workspace, as many as its cap allows.
func (o *harness) capTwoTasks() {
	o.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
	tasks := workload.Step{Tasks: 6, Demand: workload.Resources{MilliCPU: 100, Accelerators: 2}}
	o.fleet.RecordSubmission(&workload.Submission{ID: "capped", Workspace: "limited", Payload: "p", Steps: []workload.Step{tasks}, Queue: workload.Route{MaxAttempts: 1}})
	o.fleet.SetCap("limited", workload.Resources{Accelerators: 4})
	o.start("w0", "capped.0.0.0", 1)
	o.start("w0", "capped.0.0.1", 1)
	require.Empty(o.t, o.fleet.Violations())
}

// acknowledge acknowledges all ended runs of the worker.
func (o *harness) acknowledge(worker string) {
	report, err := o.fleet.Renew(context.Background(), workerapi.Target{ID: worker}, workerapi.Renew{Token: 1, LeaseUntil: 60_000})
	require.NoError(o.t, err)
	last := int64(0)
	for _, e := range report.Ended {
		last = e.Sequence
	}
	_, err = o.fleet.Renew(context.Background(), workerapi.Target{ID: worker}, workerapi.Renew{Token: 1, AckSequence: last, LeaseUntil: 60_000})
	require.NoError(o.t, err)
}

// Guards against an oracle that counts an end as acknowledged although the lease expired before, because the
// acknowledgement did not renew it.
func TestOracleVoidsEndsWhenTheLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newHarness(t)
		o.start("w0", "plain.0.0.0", 1)
		time.Sleep(MaxLease + time.Second)
		_, err := o.fleet.Renew(context.Background(), workerapi.Target{ID: "w0"}, workerapi.Renew{Token: 1, AckSequence: 1})
		require.NoError(t, err)
		o.start("w1", "plain.0.0.0", 2)
		assert.Empty(t, o.fleet.Violations())
	})
}

// Guards against an oracle that does not detect violations: each case breaks one rule.
func TestOracleSeesEachBrokenRule(t *testing.T) {
	for rule, violate := range map[string]func(o *harness){
		"": func(o *harness) { // no violation
			o.start("w0", "plain.0.0.0", 1)
			o.start("w0", "plain.0.0.1", 1)
			time.Sleep(1100 * time.Millisecond)
			o.acknowledge("w0")
		},
		"TWICE": func(o *harness) {
			o.start("w0", "plain.0.0.0", 1)
			o.start("w1", "plain.0.0.0", 2)
		},
		"TWICE: plain.0.0.0 run 2 after": func(o *harness) {
			o.start("w0", "plain.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			o.acknowledge("w0")
			o.start("w1", "plain.0.0.0", 2)
		},
		"TWICE: short.0.0.0 run 2 starts": func(o *harness) {
			o.start("w0", "short.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			o.fleet.CheckReportedState("short", workload.Completed)
			time.Sleep(completedBound + time.Millisecond)
			o.start("w1", "short.0.0.0", 2)
		},
		"LIMIT": func(o *harness) {
			for _, task := range []string{"plain.0.0.0", "plain.0.0.1", "plain.0.0.2"} {
				o.start("w0", task, 1)
			}
		},
		"QUOTA": func(o *harness) {
			o.capTwoTasks()
			o.start("w1", "capped.0.0.2", 1)
		},
		"QUOTA: capped.0.0.3 raises the use of limited to": func(o *harness) { // 6 are 4.4 and less than a task; 8 are more
			o.fleet.QuotaMargin = true
			o.capTwoTasks()
			o.start("w1", "capped.0.0.2", 1)
			require.Empty(o.t, o.fleet.Violations())
			o.start("w1", "capped.0.0.3", 1)
		},
		"QUOTA: capped.0.0.3 raises": func(o *harness) { // the former cap counts for 3 s
			o.fleet.SetCap("limited", workload.Resources{Accelerators: 6})
			o.capTwoTasks()
			o.start("w1", "capped.0.0.2", 1)
			require.Empty(o.t, o.fleet.Violations())
			time.Sleep(quotaMemory)
			o.start("w1", "capped.0.0.3", 1)
		},
		"ORDER: plain": func(o *harness) { o.start("w0", "plain.0.1.0", 1) },
		"ORDER: timed": func(o *harness) { o.start("w0", "timed.1.0.0", 1) },
		"BUDGET": func(o *harness) {
			o.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Second, jobstate.EndFailed }
			o.start("w0", "plain.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			o.acknowledge("w0")
			o.start("w1", "plain.0.0.0", 2)
		},
		"GANG": func(o *harness) {
			o.start("w0", "gang.0.0.0", 1)
			time.Sleep(gangTimeout + time.Second)
			o.acknowledge("w0")
		},
		"UNASKED: plain.0.0.7": func(o *harness) { o.start("w0", "plain.0.0.7", 1) },
		"UNASKED: nobody":      func(o *harness) { o.start("w0", "nobody.0.0.0", 1) },
		"UNASKED: plain.0.0.0": func(o *harness) {
			o.fleet.RecordCancellation("plain")
			time.Sleep(cancelBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"ROUTE: labelled": func(o *harness) { o.start("w0", "labelled.0.0.0", 1) },
		"ROUTE: apart.0.0.1": func(o *harness) {
			o.start("w0", "apart.0.0.0", 1)
			o.start("w0", "apart.0.0.1", 1)
		},
		"DRAIN": func(o *harness) {
			o.fleet.Drain("w0")
			time.Sleep(drainBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"EVAC": func(o *harness) {
			o.fleet.SetEvacuated("z", true)
			time.Sleep(evacuateBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"RECLAIM": func(o *harness) {
			o.fleet.RecordSubmission(&workload.Submission{ID: "guaranteed", Workspace: "guaranteed", Payload: "p",
				Steps: []workload.Step{{Tasks: 2, Demand: workload.Resources{Accelerators: 4}}}})
			o.start("w0", "guaranteed.0.0.0", 1)
			time.Sleep(reclaimBound + time.Second)
			o.acknowledge("w1")
		},
		"AVAIL": func(o *harness) {
			o.start("w0", "serving.0.0.0", 1)
			o.start("w1", "serving.0.0.1", 1) // the third task is not running
			_, err := o.fleet.Stop(context.Background(), workerapi.Target{ID: "w0"}, workerapi.Stop{Task: "serving.0.0.0", Run: 1, Token: 1})
			require.NoError(o.t, err)
		},
		"HARM": func(o *harness) {
			o.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
			o.fleet.Load = func(map[string]int) float64 { return 30 }
			o.start("w0", "serving.0.0.0", 1)
			o.start("w0", "filler.0.0.0", 1)
			for range 6 {
				o.acknowledge("w0")
				time.Sleep(time.Second)
			}
		},
		"MIXED":                                func(o *harness) { o.fleet.CheckReportedState("plain", workload.Completed) },
		"MIXED: nobody":                        func(o *harness) { o.fleet.CheckReportedState("nobody", workload.Queued) },
		"LOST: plain is reported as failed":    func(o *harness) { o.fleet.CheckReportedState("plain", workload.Failed) },
		"LOST: plain is reported as cancelled": func(o *harness) { o.fleet.CheckReportedState("plain", workload.Cancelled) },
	} {
		t.Run(rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newHarness(t)
				violate(o)
				violations := o.fleet.Violations()
				if rule == "" {
					assert.Empty(t, violations)
					return
				}
				require.NotEmpty(t, violations)
				assert.True(t, strings.HasPrefix(violations[len(violations)-1], rule), "%q", violations)
			})
		})
	}
}
