package jobowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// 100 tasks of 1 s wait under a cap of 8 accelerators. Guards against refusals because of tasks that cannot start
// when others end, and against a backlog that leaves out those that can.
func TestOnlyWorkThatCanStartCounts(t *testing.T) {
	big := workload.Step{Tasks: 1, Demand: workload.Resources{Accelerators: 9}, Estimate: time.Second}
	step := func(after ...int) workload.Step {
		return workload.Step{Tasks: 100, Demand: workload.Resources{Accelerators: 1}, Estimate: time.Second, After: after}
	}
	long, tooMuchMemory, large := step(), step(), step()
	long.Tasks, long.LongRunning, tooMuchMemory.Demand.MemoryMB, large.Demand.Accelerators = 1, true, 1000, 2
	for name, c := range map[string]struct {
		steps  []workload.Step
		reason jobstate.WaitReason
		want   int // accelerators of the backlog
	}{
		"no room":                      {[]workload.Step{step()}, jobstate.WaitNoRoom, 100},
		"cap":                          {[]workload.Step{step()}, jobstate.WaitCap, 100},
		"reclaim":                      {[]workload.Step{step()}, jobstate.WaitReclaim, 100},
		"a part has started":           {[]workload.Step{step()}, jobstate.WaitUndecided, 100},
		"reserved by others":           {[]workload.Step{step()}, jobstate.WaitReservations, 100},
		"after a step that waits":      {[]workload.Step{step(), step(0)}, jobstate.WaitCap, 200},
		"no eligible worker":           {[]workload.Step{step()}, jobstate.WaitNoWorkerEligible, 0},
		"advice":                       {[]workload.Step{step()}, jobstate.WaitAdvice, 0},
		"retry delay":                  {[]workload.Step{step()}, jobstate.WaitRetryDelay, 0},
		"list of workers is stale":     {[]workload.Step{step()}, jobstate.WaitWorkerListStale, 0},
		"larger than the cap":          {[]workload.Step{big}, jobstate.WaitCap, 0},
		"after one larger than cap":    {[]workload.Step{big, step(0), step(1)}, jobstate.WaitCap, 0},
		"after a long-running one":     {[]workload.Step{long, step(0), step(1)}, jobstate.WaitCap, 0},
		"beside a long-running one":    {[]workload.Step{long, step()}, jobstate.WaitCap, 100},
		"larger than all workers":      {[]workload.Step{tooMuchMemory}, jobstate.WaitCap, 0},
		"after one larger than all":    {[]workload.Step{tooMuchMemory, step(0)}, jobstate.WaitCap, 0},
		"as large as the worker holds": {[]workload.Step{large}, jobstate.WaitCap, 200},
	} {
		term := waitingTerm()
		clear(term.cluster.Jobs)
		for _, w := range term.cluster.Workers {
			w.Capacity = workload.Resources{MemoryMB: 999, Accelerators: 9}
		}
		config := workload.NewConfig(workload.Config{Workspaces: []workload.Workspace{{Name: "w", Cap: workload.Resources{Accelerators: 8}}}})
		now := time.Now()
		j := term.cluster.AddJob(&workload.Submission{ID: "job", Workspace: "w", Queue: workload.Route{Service: "service", TargetLatency: time.Hour}, Steps: c.steps}, now)
		j.OpenNext(now.UnixMilli(), now)
		for _, s := range j.Occurrences[0].Steps {
			s.WaitReason = c.reason
		}
		sum := 0
		load := term.serviceLoad(config, now).Loads[0]
		for _, work := range load.Work {
			sum += work.Demand.Accelerators
		}
		assert.Equal(t, c.want, sum, name)
		assert.Equal(t, c.want > 0, load.Waits, name)
	}
}

// A decision takes long. Guards against answers to 40 instances that wait for it, and against an assessment that is
// answered by a suspended owner, or by a term that has ended.
func TestAdmissionIsAnsweredDuringADecision(t *testing.T) {
	term := waitingTerm()
	suspended := time.Duration(0)
	term.opts.Suspended, term.cancel = func() time.Duration { return suspended }, func() {}
	config := workload.NewConfig(workload.Config{Workspaces: []workload.Workspace{{Name: "w", Weight: 1}}})
	term.opts.Config = func() *workload.Config { return config }
	term.listAsOf = suspend.NewStamp(time.Now(), 0)
	_, ok := term.Admission()
	assert.False(t, ok)
	term.updateAdmission(time.Now())
	term.mu.Lock()
	_, ok = term.Admission()
	term.mu.Unlock()
	assert.True(t, ok)
	suspended = maxAdmissionAge
	_, ok = term.Admission()
	assert.False(t, ok)
	suspended = 0
	term.terminate("test")
	term.updateAdmission(time.Now().Add(time.Minute))
	_, ok = term.Admission()
	assert.False(t, ok)
}

// Guards against assessments by a slow owner that hold the lock for more than 2% of the time, and against an answer that
// is silent between two of them although they are usual, or that is used for longer than 5 s.
func TestAssessmentsOfASlowOwner(t *testing.T) {
	for took, want := range map[time.Duration]struct{ interval, age time.Duration }{
		time.Millisecond:       {250 * time.Millisecond, time.Second},
		10 * time.Millisecond:  {500 * time.Millisecond, time.Second},
		40 * time.Millisecond:  {2 * time.Second, 4 * time.Second},
		time.Second:            {50 * time.Second, 5 * time.Second},
		200 * time.Microsecond: {250 * time.Millisecond, time.Second},
	} {
		interval := assessmentInterval(took)
		assert.Equal(t, want.interval, interval)
		assert.Equal(t, want.age, assessmentAge(interval))
	}
}

// A hundred workspaces become overloaded at once. Guards against a log line for each, and against lines that are left
// out without a trace.
func TestSuppressedOverloadLogs(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	term := waitingTerm()
	term.opts.Log = zap.New(core)
	term.logOverloads(make([]admission.Change, 100))
	assert.Equal(t, maxOverloadLogs, logs.Len())
	assert.EqualValues(t, 92, logs.All()[maxOverloadLogs-1].ContextMap()["suppressed"])
	assert.EqualValues(t, 0, logs.All()[0].ContextMap()["suppressed"])
}
