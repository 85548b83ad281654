package jobowner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// newLimitedSystem returns a system with the given workspaces, whose callers have keys of the same names.
func newLimitedSystem(workspaces ...workload.Workspace) *system {
	s := newSystem()
	for n := range workspaces {
		workspaces[n].Keys = []string{workspaces[n].Name}
	}
	config := workload.Config{Version: 1, Routes: s.config.Routes, Workspaces: workspaces}
	for n := range config.Routes {
		config.Routes[n].Host, config.Routes[n].PathPrefix = "host", "/"+config.Routes[n].Name+"/"
	}
	s.config = workload.NewConfig(config)
	s.fleet.Guarantees = map[string]int{}
	return s
}

// overloaded returns the overloads of the workspace as the term answers them.
func overloaded(term *jobowner.Term, workspace string) (list admission.Overloads, ok bool) {
	a, ok := term.Admission()
	for _, o := range a.Overloads {
		if o.Workspace == workspace {
			list = append(list, o)
		}
	}
	return list, ok
}

// submitAs stores and announces a job of the workspace.
func (s *system) submitAs(i *testInstance, workspace, id string, steps ...workload.Step) {
	s.submitJob(&workload.Submission{ID: id, Queue: *s.config.Route("urgent"), Workspace: workspace, Steps: steps, AcceptedAt: time.Now().UnixMilli()})
	s.announce(i, id)
}

// The owner of an overloaded workspace dies, and another instance takes over. Guards against a new owner that answers
// before it knows the workers, that takes the jobs which it has read for jobs that were just accepted, and so refuses
// what the workspace is owed, and against a former owner whose answer lasts.
func TestOwnerChangesDuringOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}}, workload.Workspace{Name: "calm", Weight: 2})
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		a := s.start("a")
		time.Sleep(time.Second)
		list, ok := overloaded(s.currentTerm(a), "hot")
		assert.True(t, ok)
		assert.Empty(t, list)
		for n := range 40 {
			s.submitAs(a, "hot", fmt.Sprint("hot", n), tasks(4, 1))
		}
		s.submitAs(a, "calm", "calm", tasks(4, 1))
		time.Sleep(300 * time.Millisecond)
		former := s.currentTerm(a)
		list, _ = overloaded(former, "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].Wait, 15*time.Second, "160 tasks of 1 s, 8 at a time")
			assert.Greater(t, list[0].RefuseFor, time.Duration(0))
		}
		list, _ = overloaded(former, "calm")
		assert.Empty(t, list)
		assert.Positive(t, metrics.GetOrRegisterGauge("owner.workspace_wait_ms.hot", a.metrics).Value())

		s.kill("a")
		b := s.start("b")
		for s.currentTerm(b) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		for _, ok = s.currentTerm(b).Admission(); !ok; _, ok = s.currentTerm(b).Admission() {
			time.Sleep(10 * time.Millisecond)
		}
		_, ok = overloaded(former, "hot")
		assert.False(t, ok, "the former term has ended")
		assert.Zero(t, metrics.GetOrRegisterGauge("owner.workspace_wait_ms.hot", a.metrics).Value())
		list, _ = overloaded(s.currentTerm(b), "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].Wait, 8*time.Second)
			assert.Zero(t, list[0].RefuseFor, "it has accepted no job yet")
		}
		s.submitAs(b, "hot", "hot40", tasks(4, 1))
		s.submitAs(b, "hot", "hot41", tasks(4, 1))
		list, _ = overloaded(s.currentTerm(b), "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].RefuseFor, time.Duration(0))
		}
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "hot41", time.Minute))
		time.Sleep(500 * time.Millisecond)
		list, ok = overloaded(s.currentTerm(b), "hot")
		assert.True(t, ok)
		assert.Empty(t, list, "the backlog has drained")
		s.requireNoViolations(t)
	})
}

// The store's watch hangs and then delivers ten jobs, accepted 3 s apart, at once. Guards against taking them for more
// than the workspace is owed in a second.
func TestLateJobsAreNotTakenForABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}})
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		term := s.currentTerm(a)
		job := &workload.Submission{Queue: *s.config.Route("urgent"), Workspace: "hot", Steps: []workload.Step{tasks(100, 1)}}
		for n := range 10 {
			job.ID, job.AcceptedAt = fmt.Sprint("late", n), time.Now().Add(-time.Duration(10-n)*3*time.Second).UnixMilli()
			raw, err := json.Marshal(job)
			assert.NoError(t, err)
			term.OnIntake(metastore.Change{Item: metastore.Item{Key: jobowner.JobKey(job.ID), Value: raw, Revision: 1}})
		}
		time.Sleep(300 * time.Millisecond)
		list, _ := overloaded(term, "hot")
		if assert.Len(t, list, 1) {
			assert.Zero(t, list[0].RefuseFor)
		}
	})
}

// Callers of a workspace declare ten times the real run times. Guards against refusals of jobs that would be in time.
func TestBacklogIsMeasuredByRealRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}})
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 100 * time.Millisecond, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submitAs(a, "hot", "first", tasks(20, 1))
		time.Sleep(3 * time.Second)
		for n := range 24 {
			s.submitAs(a, "hot", fmt.Sprint("next", n), tasks(4, 1))
		}
		time.Sleep(300 * time.Millisecond)
		list, ok := overloaded(s.currentTerm(a), "hot")
		assert.True(t, ok)
		assert.Empty(t, list, "96 tasks of 0.1 s, 8 at a time")
	})
}
