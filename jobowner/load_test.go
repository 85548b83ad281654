package jobowner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against a term that leaves no line about the jobs and runs it took over, so that a job that its
// owner lacks looks like one that it keeps waiting.
func TestLoadedJobsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		lines := s.observe()
		s.fleet.Outcome = func(task workload.TaskName, _ int) (time.Duration, jobstate.End) {
			return map[string]time.Duration{"short": time.Second, "long": time.Minute}[task.Job], jobstate.EndDone
		}
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("short", "batch", tasks(1, 1))
		s.submit("long", "batch", tasks(3, 1))
		require.Equal(t, workload.Completed, s.waitForEnd(t, "short", 5*time.Second))
		s.kill("a")
		s.submit("new", "batch", tasks(1, 1))
		s.start("b")
		time.Sleep(5 * time.Second)
		line := eventFields(lines, events.TermLoaded)[1]
		assert.EqualValues(t, 3, line["jobs"])
		assert.EqualValues(t, 2, line["open"])
		assert.EqualValues(t, 3, line["runs"])
		assert.EqualValues(t, 2, line["records"])
		assert.EqualValues(t, 0, line["records_left"])
		assert.Empty(t, eventFields(lines, events.TermNotLoaded))
	})
}

// The intake cannot be read at the start of a term. Guards against an owner without jobs that leaves no line,
// and against announcements that it ignores unnoticed.
func TestTermWithoutItsJobsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		lines := s.observe()
		s.addWorker("w0", 0)
		a := s.start("a")
		var ranges atomic.Int64
		a.client.SetFault(func(call string) testplatform.Fault {
			if call == "range" && s.currentTerm(a) != nil && ranges.Add(1) > 1 { // the first one reads the records
				return testplatform.Silent
			}
			return testplatform.None
		})
		time.Sleep(7 * time.Second)
		s.submit("job", "urgent", tasks(1, 1))
		s.announce(a, "job")
		assert.Len(t, eventFields(lines, events.TermNotLoaded), 2, "after 2 and 4 s")
		assert.Empty(t, eventFields(lines, events.TermLoaded))
		assert.EqualValues(t, 1, metrics.GetOrRegisterCounter("owner.announcements_ignored", a.metrics).Count())
	})
}

// Guards against an owner that receives no new jobs from the store and leaves no line, and against a job of
// which the log does not tell how it reached its owner.
func TestStaleIntakeIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		lines := s.observe()
		s.addWorker("w0", 0)
		s.submit("loaded", "urgent", tasks(1, 1))
		a := s.start("a")
		time.Sleep(2 * time.Second)
		a.hangCalls("watch")
		time.Sleep(6 * time.Second)
		s.submit("watched", "urgent", tasks(1, 1))
		s.submit("announced", "urgent", tasks(1, 1))
		s.announce(a, "announced")
		time.Sleep(time.Second)
		a.hangCalls()
		time.Sleep(4 * time.Second)
		var stale []any
		for _, line := range eventFields(lines, events.IntakeStale) {
			stale = append(stale, line["stale"])
		}
		assert.Equal(t, []any{true, false}, stale)
		sources := map[string]any{}
		for _, line := range eventFields(lines, events.JobTakenOver) {
			sources[line["job"].(string)] = line["source"]
			if line["job"] == "watched" {
				assert.GreaterOrEqual(t, line["accepted_ago"], time.Second)
			}
		}
		assert.Equal(t, map[string]any{"loaded": "load", "watched": "watch", "announced": "announcement"}, sources)
	})
}
