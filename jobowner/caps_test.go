package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const capOfTest = 8

// newCappedSystem returns a system with three workers and a workspace with a cap, the runs of which take 1.5 s.
func newCappedSystem() *system {
	s := newSystem()
	s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) {
		return 1500 * time.Millisecond, jobstate.EndDone
	}
	for _, id := range []string{"w0", "w1", "w2"} {
		s.addWorker(id, 0)
	}
	s.setCapped(capOfTest)
	return s
}

func (s *system) setCapped(accelerators int) {
	s.configure(workload.Workspace{Name: "capped", GuaranteedAccelerators: 4, Weight: 1, Cap: workload.Resources{Accelerators: accelerators}})
}

// watchCap returns a function that ends the watch and returns the most that the workspace had running.
func (s *system) watchCap() func() int {
	done, most := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, s.fleet.Used("capped").Accelerators)
			select {
			case <-done:
				most <- highest
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-most
	}
}

// Load: 24 tasks of a workspace whose cap is 8, and a gang of its guarantee. The answer to one kind of call is lost, late or
// missing for 1.2 s, or the owner is killed meanwhile and another one takes over. Guards against a run that does not count
// while its state is unknown, so that the workspace exceeds its cap, and against tasks that are lost.
func TestCapHoldsThroughLostAnswersAndOwnerChanges(t *testing.T) {
	for _, call := range []string{"commit", "start", "stop", "report"} {
		for name, fault := range map[string]testplatform.Fault{"answer lost": testplatform.AnswerLost, "late": testplatform.Late, "silent": testplatform.Silent, "refused": testplatform.Refused} {
			for _, kill := range []bool{false, true} {
				t.Run(call+" "+name+map[bool]string{true: ", owner killed"}[kill], func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testCapUnderFault(t, call, fault, kill) })
				})
			}
		}
	}
}

func testCapUnderFault(t *testing.T, call string, fault testplatform.Fault, kill bool) {
	s := newCappedSystem()
	defer s.stop()
	s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
	a := s.start("a")
	time.Sleep(time.Second)
	most := s.watchCap()
	s.submitFor("capped", "wide", "batch", tasks(24, 1))
	time.Sleep(2 * time.Second) // the gang of the guarantee preempts a part of the first wave
	faulty := func(c string) testplatform.Fault {
		if c == call {
			return fault
		}
		return testplatform.None
	}
	s.fleet.SetFault(func(_, c string) testplatform.Fault { return faulty(c) })
	a.client.SetFault(faulty)
	s.submitFor("capped", "owed", "urgent", gang(2, 2))
	time.Sleep(300 * time.Millisecond)
	if kill {
		s.kill("a")
		s.start("b")
	}
	time.Sleep(900 * time.Millisecond)
	s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
	if !kill {
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
	}
	assert.Equal(t, workload.Completed, s.waitForEnd(t, "owed", 30*time.Second))
	assert.Equal(t, workload.Completed, s.waitForEnd(t, "wide", 60*time.Second))
	assert.LessOrEqual(t, most(), capOfTest)
	s.requireNoViolations(t)
}

// Load: tasks of a workspace at its cap run on a worker that does not answer, and the owner changes. Guards against a new
// owner that does not count the runs that only job records show, before the lease of their worker has ended.
func TestNewOwnerCountsRunsOnASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCappedSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 8 * time.Second, jobstate.EndDone }
		s.start("a")
		time.Sleep(time.Second)
		most := s.watchCap()
		s.submitFor("capped", "wide", "batch", tasks(24, 1))
		time.Sleep(time.Second)
		s.isolateWorker("w0")
		s.kill("a")
		s.start("b")
		time.Sleep(6 * time.Second)
		assert.Equal(t, 8, s.fleet.StartCount())
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "wide", 60*time.Second))
		assert.Equal(t, capOfTest, most())
		s.requireNoViolations(t)
	})
}

// Load: the batch work of a workspace fills its cap when a gang within its guarantee arrives. Guards against a gang that
// starts later than the users' limit allows (RECLAIM).
func TestGuaranteedGangStartsInTimeAtItsCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCappedSystem()
		defer s.stop()
		s.fleet.Guarantees["capped"] = 4
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.start("a")
		time.Sleep(time.Second)
		s.submitFor("capped", "wide", "batch", tasks(24, 1))
		time.Sleep(time.Second)
		most := s.watchCap()
		s.submitFor("capped", "owed", "urgent", gang(2, 2))
		time.Sleep(4 * time.Second)
		assert.True(t, s.fleet.HasStarted("owed.0.0.1"))
		assert.Equal(t, 8, most())
		s.requireNoViolations(t)
	})
}

// Load: the cap is lowered while the records of planned runs are being written for 4 s. Guards against starts above the new
// cap by a decision that was made under the former one, and against stops of what runs.
func TestCapLoweredWhileRecordsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCappedSystem()
		defer s.stop()
		a := s.start("a")
		time.Sleep(time.Second)
		s.submitFor("capped", "first", "batch", tasks(2, 1))
		time.Sleep(time.Second)
		a.hangCalls("commit")
		s.submitFor("capped", "wide", "batch", tasks(6, 1))
		s.submitFor("capped", "gang", "batch", gang(2, 1))
		time.Sleep(200 * time.Millisecond)
		s.setCapped(3)
		time.Sleep(4 * time.Second)
		a.hangCalls()
		most := s.watchCap()
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "wide", 30*time.Second))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "gang", 30*time.Second))
		assert.Equal(t, 3, most())
		s.requireNoViolations(t)
	})
}

// Load: a workspace sends three times its cap, and then leaves the configuration. Guards against a wait that is reported as
// an ordinary lack of room or not at all, against a line for each job, and against metrics that stay after the workspace.
func TestWorkspaceAtItsCapIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCappedSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 10 * time.Second, jobstate.EndDone }
		lines := s.observe()
		a := s.start("a")
		time.Sleep(time.Second)
		for _, id := range []string{"one", "two", "three"} {
			s.submitFor("capped", id, "batch", tasks(8, 1))
		}
		time.Sleep(6 * time.Second)
		assert.EqualValues(t, 100, a.gauge("owner.workspace_cap_percent.capped"))
		assert.EqualValues(t, 2, a.gauge("owner.workspace_steps_at_cap.capped"))
		assert.EqualValues(t, 333_333, a.gauge("owner.workspace_share_ppm.capped"))
		assert.EqualValues(t, 2, a.gauge("owner.steps_waiting.workspace_cap"))
		began := eventFields(lines, events.WorkspaceAtCap)
		require.Len(t, began, 1)
		assert.Equal(t, true, began[0]["waits"])
		assert.Equal(t, "capped", began[0]["workspace"])
		waits := eventFields(lines, events.StepWaiting)
		require.NotEmpty(t, waits)
		assert.Equal(t, "workspace_cap", waits[0]["reason"])
		assert.Equal(t, workload.Resources{Accelerators: capOfTest}, waits[0]["cap"])
		assert.Equal(t, workload.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}, waits[0]["need"])
		s.waitForEnd(t, "three", time.Minute)
		time.Sleep(3 * time.Second)
		ended := eventFields(lines, events.WorkspaceAtCap)
		require.Len(t, ended, 2)
		assert.Equal(t, false, ended[1]["waits"])
		s.configure(workload.Workspace{Name: "capped"})
		time.Sleep(time.Second)
		a.metrics.Each(func(name string, _ any) { assert.NotContains(t, name, ".capped") })
		s.requireNoViolations(t)
	})
}

// An instance that has just restarted becomes the owner before it has read the configuration. Guards against starts of a
// workspace without its cap.
func TestOwnerWithoutConfigurationStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCappedSystem()
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
		s.submitFor("capped", "wide", "batch", tasks(24, 1))
		config := s.config.Swap(nil)
		s.start("a")
		time.Sleep(3 * time.Second)
		assert.Zero(t, s.fleet.Used("capped").Accelerators)
		s.config.Store(config)
		time.Sleep(2 * time.Second)
		assert.Equal(t, capOfTest, s.fleet.Used("capped").Accelerators)
	})
}
