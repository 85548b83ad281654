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

// orders gives orders to a fleet of two workers, right and wrong ones.
type orders struct {
	t     *testing.T
	fleet *Fleet
}

func newOrders(t *testing.T) *orders {
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
	f.Guarantees = map[string]int{"owed": 8}
	for id, step := range map[string]workload.Step{"labelled": labelled, "apart": apart, "serving": serving, "filler": filler} {
		f.Accept(&workload.Submission{ID: id, Payload: "p", Steps: []workload.Step{step}, Queue: queue})
	}
	f.Accept(&workload.Submission{ID: "urgent", Workspace: "other", Payload: "p", Steps: []workload.Step{one}, Queue: urgent})
	f.Accept(&workload.Submission{ID: "plain", Payload: "p", Steps: []workload.Step{one, second}, Queue: queue})
	f.Accept(&workload.Submission{ID: "gang", Payload: "p", Steps: []workload.Step{gang}, Queue: queue})
	f.Accept(&workload.Submission{ID: "timed", Payload: "p", Steps: []workload.Step{one}, Queue: queue,
		Schedule: workload.Schedule{Occurrences: 2, First: time.Now().Add(time.Minute).UnixMilli(), Interval: time.Minute}})
	return &orders{t, f}
}

func (o *orders) start(worker, task string, run int) {
	o.t.Helper()
	_, err := o.fleet.Start(context.Background(), workerapi.Target{ID: worker}, workerapi.Start{Task: task, Run: run, Payload: "p", LeaseUntil: 60_000, Token: 1})
	require.NoError(o.t, err)
}

// hold takes note of all ends of the worker.
func (o *orders) hold(worker string) {
	report, err := o.fleet.Renew(context.Background(), workerapi.Target{ID: worker}, workerapi.Renew{Token: 1, LeaseUntil: 60_000})
	require.NoError(o.t, err)
	seen := int64(0)
	for _, e := range report.Ended {
		seen = e.Sequence
	}
	_, err = o.fleet.Renew(context.Background(), workerapi.Target{ID: worker}, workerapi.Renew{Token: 1, AckSequence: seen, LeaseUntil: 60_000})
	require.NoError(o.t, err)
}

// Guards against an oracle that cannot fail: each rule is broken once on purpose.
func TestOracleSeesEachBrokenRule(t *testing.T) {
	for rule, broken := range map[string]func(o *orders){
		"": func(o *orders) { // nothing is broken
			o.start("w0", "plain.0.0.0", 1)
			o.start("w0", "plain.0.0.1", 1)
			time.Sleep(1100 * time.Millisecond)
			o.hold("w0")
		},
		"TWICE": func(o *orders) {
			o.start("w0", "plain.0.0.0", 1)
			o.start("w1", "plain.0.0.0", 2)
		},
		"TWICE: plain.0.0.0 run 2 after": func(o *orders) {
			o.start("w0", "plain.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			o.hold("w0")
			o.start("w1", "plain.0.0.0", 2)
		},
		"LIMIT": func(o *orders) {
			for _, task := range []string{"plain.0.0.0", "plain.0.0.1", "plain.0.0.2"} {
				o.start("w0", task, 1)
			}
		},
		"ORDER: plain": func(o *orders) { o.start("w0", "plain.0.1.0", 1) },
		"ORDER: timed": func(o *orders) { o.start("w0", "timed.1.0.0", 1) },
		"BUDGET": func(o *orders) {
			o.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Second, jobstate.EndFailed }
			o.start("w0", "plain.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			o.hold("w0")
			o.start("w1", "plain.0.0.0", 2)
		},
		"GANG": func(o *orders) {
			o.start("w0", "gang.0.0.0", 1)
			time.Sleep(gangTimeout + time.Second)
			o.hold("w0")
		},
		"UNASKED: plain.0.0.7": func(o *orders) { o.start("w0", "plain.0.0.7", 1) },
		"UNASKED: nobody":      func(o *orders) { o.start("w0", "nobody.0.0.0", 1) },
		"UNASKED: plain.0.0.0": func(o *orders) {
			o.fleet.Cancel("plain")
			time.Sleep(cancelBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"ROUTE: labelled": func(o *orders) { o.start("w0", "labelled.0.0.0", 1) },
		"ROUTE: apart.0.0.1": func(o *orders) {
			o.start("w0", "apart.0.0.0", 1)
			o.start("w0", "apart.0.0.1", 1)
		},
		"DRAIN": func(o *orders) {
			o.fleet.Drain("w0")
			time.Sleep(drainBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"EVAC": func(o *orders) {
			o.fleet.Evacuate("z", true)
			time.Sleep(evacuateBound + time.Second)
			o.start("w0", "plain.0.0.0", 1)
		},
		"RECLAIM": func(o *orders) {
			o.fleet.Accept(&workload.Submission{ID: "owed", Workspace: "owed", Payload: "p",
				Steps: []workload.Step{{Tasks: 2, Demand: workload.Resources{Accelerators: 4}}}})
			o.start("w0", "owed.0.0.0", 1)
			time.Sleep(reclaimBound + time.Second)
			o.hold("w1")
		},
		"AVAIL": func(o *orders) {
			o.start("w0", "serving.0.0.0", 1)
			o.start("w1", "serving.0.0.1", 1) // the third is away
			_, err := o.fleet.Stop(context.Background(), workerapi.Target{ID: "w0"}, workerapi.Stop{Task: "serving.0.0.0", Run: 1, Token: 1})
			require.NoError(o.t, err)
		},
		"HARM": func(o *orders) {
			o.fleet.Fate = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
			o.fleet.Load = func(map[string]int) float64 { return 30 }
			o.start("w0", "serving.0.0.0", 1)
			o.start("w0", "filler.0.0.0", 1)
			for range 6 {
				o.hold("w0")
				time.Sleep(time.Second)
			}
		},
		"MIXED":                             func(o *orders) { o.fleet.CheckShown("plain", workload.Completed) },
		"MIXED: nobody":                     func(o *orders) { o.fleet.CheckShown("nobody", workload.Queued) },
		"LOST: plain is shown as failed":    func(o *orders) { o.fleet.CheckShown("plain", workload.Failed) },
		"LOST: plain is shown as cancelled": func(o *orders) { o.fleet.CheckShown("plain", workload.Cancelled) },
	} {
		t.Run(rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOrders(t)
				broken(o)
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
