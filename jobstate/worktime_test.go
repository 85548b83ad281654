package jobstate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// workingRun returns a run that began to work at 1000 ms of its worker's clock.
func workingRun(estimate time.Duration) *jobstate.Run {
	now := time.Unix(1000, 0)
	c := jobstate.New()
	j := c.AddJob(&workload.Submission{ID: "j", Steps: []workload.Step{{Tasks: 1, Estimate: estimate}}}, now)
	j.OpenNext(now.UnixMilli(), now)
	r := c.Place(j.Occurrences[0].Steps[0].Tasks[0], c.EnsureWorker("w", 1, now), 1, now)
	r.StartAnswered, r.StartSentAt, r.StartClock = true, now, 1000
	r.Confirm(now)
	return r
}

type progress struct {
	clock   int64
	percent float64
}

// Guards against run times by this process's clock, which include late reports, and against run times beyond what the
// reports allow when the reported progress falls or jumps.
func TestWorkTime(t *testing.T) {
	for name, c := range map[string]struct {
		reports     []progress
		end         int64
		least, most time.Duration
		ok          bool
	}{
		"steady progress":           {[]progress{{2000, 20}, {3000, 40}, {5000, 80}}, 6500, 5 * time.Second, 5 * time.Second, true},
		"progress that falls":       {[]progress{{2000, 60}, {3000, 10}, {5000, 5}}, 5500, 4 * time.Second, 4500 * time.Millisecond, true},
		"progress that jumps":       {[]progress{{2000, 1}, {3000, 1}, {5000, 99}}, 5500, 4 * time.Second, 4500 * time.Millisecond, true},
		"progress beyond all":       {[]progress{{2000, 1e9}, {5000, -1e9}}, 5500, 4 * time.Second, 4500 * time.Millisecond, true},
		"no report, short interval": {nil, 1500, 0, 0, false},
		"reports far apart":         {[]progress{{1100, 1}}, 9000, 0, 0, false},
		"clock that falls":          {[]progress{{2000, 20}}, 1500, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := workingRun(4 * time.Second)
			for _, p := range c.reports {
				r.Observe(p.percent, p.clock, time.Unix(1000, 0).Add(time.Duration(p.clock)*time.Millisecond))
			}
			work, ok := r.WorkTime(c.end)
			require.Equal(t, c.ok, ok)
			assert.GreaterOrEqual(t, work, c.least)
			assert.LessOrEqual(t, work, c.most)
		})
	}
}

// Guards against the rest of a resumed or throttled run, or a run that a former owner started, being taken for a whole
// run time.
func TestWorkTimeOfPartialRuns(t *testing.T) {
	for name, change := range map[string]func(*jobstate.Run){
		"resumed":           func(r *jobstate.Run) { r.Resumed = true },
		"throttled":         func(r *jobstate.Run) { r.SpeedPercent = 50 },
		"of unknown speed":  func(r *jobstate.Run) { r.Throttle.Unconfirmed = true },
		"of a former owner": func(r *jobstate.Run) { r.StartAnswered = false },
	} {
		r := workingRun(4 * time.Second)
		r.Observe(50, 3000, time.Unix(1002, 0))
		_, whole := r.WorkTime(3200)
		require.True(t, whole)
		least, known := r.WorkedAtLeast()
		require.True(t, known)
		require.Equal(t, 2*time.Second, least)
		change(r)
		_, ok := r.WorkTime(3200)
		assert.False(t, ok, name)
		_, ok = r.WorkedAtLeast()
		assert.False(t, ok, name)
	}
}
