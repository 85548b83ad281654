package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// observe makes instances that are started later write the returned log.
func (s *system) observe() *observer.ObservedLogs {
	core, lines := observer.New(zap.InfoLevel)
	s.log = zap.New(core)
	return lines
}

// eventFields returns the fields of all lines of the event.
func eventFields(lines *observer.ObservedLogs, id events.ID) []map[string]any {
	var list []map[string]any
	for _, line := range lines.FilterField(events.Field(id)).All() {
		list = append(list, line.ContextMap())
	}
	return list
}

// reasonsOf returns the reasons of the wait lines about the job, in their order.
func reasonsOf(lines *observer.ObservedLogs, job string) []string {
	var reasons []string
	for _, fields := range eventFields(lines, events.StepWaiting) {
		if fields["job"] == job {
			reasons = append(reasons, fields["reason"].(string))
		}
	}
	return reasons
}

// gauge returns the value of the instance's gauge.
func (c *testInstance) gauge(name string) int64 {
	return metrics.GetOrRegisterGauge(name, c.metrics).Value()
}

// Guards against a step that stands and leaves no line that names its cause, against lines for a step that
// starts at once, and against a line in each decision.
func TestStepThatWaitsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		lines := s.observe()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("starts", "urgent", tasks(1, 1))
		labelled := tasks(2, 1)
		labelled.Label = "missing"
		s.submit("waits", "batch", labelled)
		time.Sleep(10 * time.Second)
		assert.Empty(t, reasonsOf(lines, "starts"))
		assert.Equal(t, []string{"no_worker_eligible", "no_worker_eligible", "no_worker_eligible"}, reasonsOf(lines, "waits"), "after 2, 4 and 8 s")
		line := eventFields(lines, events.StepWaiting)[0]
		assert.EqualValues(t, 2, line["waiting"])
		assert.EqualValues(t, 0, line["eligible"])
		assert.Equal(t, map[string]any{"label": int64(1)}, line["excluded"])
		assert.InDelta(t, 2*time.Second, line["waited"], float64(500*time.Millisecond))
	})
}

// Guards against a wait for a write of the store and one for a worker that look alike in the log.
func TestWaitsOfRunsAreLogged(t *testing.T) {
	for reason, breakIt := range map[jobstate.WaitReason]func(*system, *testInstance){
		jobstate.WaitRecordWrite: func(_ *system, a *testInstance) { a.hangCalls("commit") },
		jobstate.WaitStop:        func(s *system, _ *testInstance) { s.isolateWorker("w0") },
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSystem()
			defer s.stop()
			lines := s.observe()
			s.addWorker("w0", 0)
			a := s.start("a")
			time.Sleep(time.Second)
			breakIt(s, a)
			s.submit("job", "urgent", tasks(1, 1))
			time.Sleep(6 * time.Second)
			require.Contains(t, reasonsOf(lines, "job"), reason.String())
		})
	}
}

// A worker stops answering and the owner dies. Guards against a task that its new owner takes for still
// running, with no line that says so and for how long the lease lasts.
func TestWaitForAFormerRunIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		lines := s.observe()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.addWorker("w1", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", gang(2, 8))
		time.Sleep(time.Second)
		require.Equal(t, 2, s.fleet.StartCount())
		s.isolateWorker("w0")
		s.kill("a")
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.Silent })
		s.start("b")
		time.Sleep(8 * time.Second)
		require.Contains(t, reasonsOf(lines, "job"), jobstate.WaitFormerRun.String())
		line := eventFields(lines, events.StepWaiting)[0]
		run := line["oldest_run"].(map[string]any)
		assert.Equal(t, "ordered", run["phase"])
		assert.Equal(t, false, run["start_sent"])
		assert.Positive(t, run["lease_left"])
	})
}

// Guards against steps that stand and are missing in the metrics, and against the counts of a former owner
// that stay.
func TestWaitingStepsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		labelled := tasks(2, 1)
		labelled.Label = "missing"
		s.submit("waits", "batch", labelled)
		time.Sleep(time.Second)
		assert.Zero(t, a.gauge("owner.steps_waiting.no_worker_eligible"))
		time.Sleep(2 * time.Second)
		assert.EqualValues(t, 1, a.gauge("owner.steps_waiting.no_worker_eligible"))
		assert.InDelta(t, 3000, a.gauge("owner.longest_wait_ms"), 500)
		s.kill("a")
		assert.Zero(t, a.gauge("owner.steps_waiting.no_worker_eligible"))
		assert.Zero(t, a.gauge("owner.longest_wait_ms"))
	})
}
