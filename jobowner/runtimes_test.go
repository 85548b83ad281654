package jobowner_test

import (
	"errors"
	"fmt"
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
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// expected returns what the stored summary says about steps like the given one, and whether there is a summary.
func (s *system) expected(t *testing.T, route string, step workload.Step) (runtimes.Expectation, bool) {
	t.Helper()
	raw, ok := s.store.Value(jobowner.RunTimesKey)
	if !ok {
		return runtimes.Expectation{}, false
	}
	m := runtimes.NewModel()
	require.NoError(t, m.Restore(raw))
	return m.Expect(runtimes.Query{Route: route, Workspace: "team", Declared: step.Estimate,
		Shape: runtimes.Shape{Tasks: step.Tasks, Demand: step.Demand, Gang: step.Gang}}), true
}

// runJobs submits jobs with a step and waits until each has ended.
func (s *system) runJobs(t *testing.T, prefix string, n int, route string, step workload.Step) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint(prefix, i)
		s.submit(id, route, step)
		require.Equal(t, workload.Completed, s.waitForEnd(t, id, 20*time.Second))
	}
}

// Jobs declare 1 s and take 3 s. Guards against run times that include the delay of reports, members of a gang and tasks
// of a step that count as jobs of their own, and a new owner that starts from nothing.
func TestRunTimesAreLearnedAndSurviveTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.uses = placement.Uses{Order: true}
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), 0)
		}
		s.start("a")
		time.Sleep(time.Second)
		s.runJobs(t, "gang", 6, "urgent", gang(4, 1))
		s.runJobs(t, "tasks", 6, "batch", tasks(4, 1))
		time.Sleep(6 * time.Second)
		for route, step := range map[string]workload.Step{"urgent": gang(4, 1), "batch": tasks(4, 1)} {
			e, ok := s.expected(t, route, step)
			require.True(t, ok)
			assert.InDelta(t, 6, e.Samples, 1.2, route)
			assert.True(t, e.Learned, route)
			assert.InDelta(t, 3, e.Median.Seconds(), 0.6, route)
		}
		s.kill("a")
		s.start("b")
		time.Sleep(3 * time.Second)
		s.runJobs(t, "more", 1, "batch", tasks(4, 1))
		time.Sleep(6 * time.Second)
		e, _ := s.expected(t, "urgent", gang(4, 1))
		assert.InDelta(t, 6, e.Samples, 1.2, "known from the former owner")
		e, _ = s.expected(t, "batch", tasks(4, 1))
		assert.Greater(t, e.Samples, 6.0)
		s.requireNoViolations(t)
	})
}

// Guards against more than one write of the summary in 5 s while jobs end all the time, against writes while nothing
// ends, against any write or log line when learned run times have no use, and against a log line for each run that ends.
func TestSummaryIsWrittenSeldom(t *testing.T) {
	for _, uses := range []placement.Uses{{}, {Rack: true}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSystem()
			defer s.stop()
			s.uses = uses
			core, lines := observer.New(zap.InfoLevel)
			s.log = zap.New(core)
			s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 2 * time.Second, jobstate.EndDone }
			s.addWorker("w0", 0)
			s.addWorker("w1", 0)
			s.start("a")
			time.Sleep(time.Second)
			for n := range 40 {
				s.submit(fmt.Sprint("job", n), "batch", tasks(4, 1))
			}
			var written []time.Time
			last := uint64(0)
			for range 600 {
				if now := s.summaryRevision(t); now != last {
					last = now
					written = append(written, time.Now())
				}
				time.Sleep(50 * time.Millisecond)
			}
			if !uses.Any() {
				assert.Empty(t, written)
				assert.Zero(t, lines.FilterField(events.Field(events.RunTimeObserved)).Len())
				return
			}
			require.GreaterOrEqual(t, len(written), 2)
			for n := 1; n < len(written); n++ {
				assert.GreaterOrEqual(t, written[n].Sub(written[n-1]), 4900*time.Millisecond)
			}
			require.Equal(t, workload.Completed, s.state("job39"))
			logged := lines.FilterField(events.Field(events.RunTimeObserved)).Len()
			assert.Positive(t, logged)
			assert.LessOrEqual(t, logged, 2*32, "160 runs ended in 32 s")
			before := s.summaryRevision(t)
			time.Sleep(30 * time.Second)
			assert.Equal(t, before, s.summaryRevision(t), "nothing has ended since")
		})
	}
}

// summaryRevision returns the revision of the stored summary, or 0 if there is none.
func (s *system) summaryRevision(t *testing.T) uint64 {
	t.Helper()
	item, err := s.store.NewClient().Get(t.Context(), jobowner.RunTimesKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return 0
	}
	require.NoError(t, err)
	return item.Revision
}

// Guards against an owner that does not start, or never stores what it learns, after a damaged summary.
func TestUnreadableSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.uses = placement.Uses{Order: true, Loss: true, Leave: true, Straggler: true, Rack: true}
		core, lines := observer.New(zap.InfoLevel)
		s.log = zap.New(core)
		s.store.Put(jobowner.RunTimesKey, []byte(`{"Version":2,"Keys":[{`))
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.runJobs(t, "job", 8, "batch", tasks(1, 1))
		time.Sleep(6 * time.Second)
		e, ok := s.expected(t, "batch", tasks(1, 1))
		require.True(t, ok)
		assert.Greater(t, e.Samples, 3.0)
		assert.Equal(t, 1, lines.FilterField(events.Field(events.RunTimesNotKept)).Len())
		s.requireNoViolations(t)
	})
}

// The store answers no write of the owner for 12 s while jobs end. Guards against summaries that wait for the store and
// are written one after the other when it is back.
func TestSummariesDoNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.uses = placement.Uses{Order: true}
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 2 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		c := s.start("a")
		time.Sleep(time.Second)
		for n := range 20 {
			s.submit(fmt.Sprint("job", n), "batch", tasks(4, 1))
		}
		time.Sleep(6 * time.Second)
		c.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" {
				return testplatform.Silent
			}
			return testplatform.None
		})
		time.Sleep(12 * time.Second)
		c.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
		changes, last := 0, s.summaryRevision(t)
		for range 96 {
			time.Sleep(50 * time.Millisecond)
			if now := s.summaryRevision(t); now != last {
				changes, last = changes+1, now
			}
		}
		assert.LessOrEqual(t, changes, 1, "in 4.8 s")
		s.requireNoViolations(t)
	})
}

// A worker is cut off, and its runs end with its lease. Guards against runs that are lost without a trace in what is
// learned: a single task counts as one that did not end, and so does a gang, once.
func TestRunsLostWithTheirLeaseCountAsCensored(t *testing.T) {
	for name, step := range map[string]workload.Step{"task": tasks(1, 1), "gang": gang(4, 1)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				defer s.stop()
				s.uses = placement.Uses{Order: true}
				s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return time.Minute, jobstate.EndDone }
				s.addWorker("w0", 0)
				c := s.start("a")
				time.Sleep(time.Second)
				s.submit("job", "urgent", step)
				time.Sleep(4 * time.Second)
				s.isolateWorker("w0")
				time.Sleep(30 * time.Second)
				assert.EqualValues(t, 1, metrics.GetOrRegisterCounter("owner.run_time_censored", c.metrics).Count())
			})
		})
	}
}
