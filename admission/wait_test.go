package admission

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const year = 365 * 24 * time.Hour

func accelerators(n int) workload.Resources { return workload.Resources{Accelerators: n} }

// Guards against refusals of jobs that could begin at once or in time: a wait that is taken from the sum of all work
// although most of it is one long task, that counts less urgent work, or that is without bound.
func TestExpectedWait(t *testing.T) {
	tasks := func(n int, each time.Duration) Work { return Work{Demand: accelerators(n), Time: each} }
	for name, c := range map[string]struct {
		work []Work // in ascending order of their times
		rate workload.Resources
		want time.Duration
	}{
		"no work":                             {nil, accelerators(10), 0},
		"all work runs at a time":             {[]Work{tasks(10, time.Second)}, accelerators(10), 0},
		"a backlog of ten times the rate":     {[]Work{tasks(100, time.Second)}, accelerators(10), 10 * time.Second},
		"a task of a year beside room":        {[]Work{tasks(1, year)}, accelerators(10), 0},
		"a task of a year and a backlog":      {[]Work{tasks(90, time.Second), tasks(1, year)}, accelerators(10), 9 * time.Second},
		"a running year and a backlog":        {[]Work{tasks(90, time.Second), {Demand: accelerators(1), Time: year, Running: true}}, accelerators(10), 10 * time.Second},
		"years that take all room":            {[]Work{tasks(10, time.Second), tasks(10, year)}, accelerators(9), maxWait},
		"years that will take almost all":     {[]Work{{Demand: accelerators(10), Time: time.Second, Running: true}, tasks(9, year)}, accelerators(10), time.Second},
		"tasks of a year above the rate":      {[]Work{tasks(11, year)}, accelerators(10), maxWait},
		"no estimates":                        {[]Work{tasks(100, 0)}, accelerators(10), 0},
		"no estimates beside long tasks":      {[]Work{tasks(100, 0), tasks(20, 3*time.Second)}, accelerators(10), 6 * time.Second},
		"less urgent work":                    {[]Work{{Priority: 2, Demand: accelerators(100), Time: time.Second}}, accelerators(10), 0},
		"no worker with accelerators":         {[]Work{tasks(100, time.Second)}, workload.Resources{MilliCPU: 1000}, 0},
		"memory is the scarcest":              {[]Work{{Demand: workload.Resources{MemoryMB: 400, Accelerators: 4}, Time: time.Second}}, workload.Resources{MemoryMB: 100, Accelerators: 4}, 4 * time.Second},
		"the rate is a fraction of one task":  {[]Work{tasks(1, time.Second)}, workload.Resources{}, 0},
		"short tasks that end before the sum": {[]Work{tasks(10, time.Second), tasks(5, 4*time.Second)}, accelerators(10), time.Second},
	} {
		assert.InDelta(t, c.want.Seconds(), expectedWait(c.work, 1, vectorOf(c.rate)).Seconds(), 1e-6, name)
	}
}

// Guards against refused jobs of a workspace that is owed them: weights that are fractions, zero or absurd.
func TestOwed(t *testing.T) {
	for _, c := range []struct {
		weight float64
		jobs   int
		window time.Duration
	}{
		{3, 3, time.Second}, {2.5, 3, 1200 * time.Millisecond}, {0.25, 1, 4 * time.Second}, {0, 0, 0}, {-1, 0, 0}, {1e-300, 1, maxWait}, {1e300, maxOwed + 1, 0},
	} {
		jobs, window := owed(c.weight)
		assert.Equal(t, c.jobs, jobs, c.weight)
		assert.Equal(t, c.window, window, c.weight)
	}
	m, now := NewMonitor(), time.Unix(0, 0)
	for range 5000 {
		m.Accepted("w", 1e300, now)
	}
	assert.Empty(t, m.accepted.times)
	assert.Zero(t, m.accepted.refuseFor("w", 1e300, now))
	for _, second := range []int{9, 3, 8, 1, 5} { // not in the order of acceptance
		m.Accepted("w", 2, now.Add(time.Duration(second)*time.Second))
	}
	assert.Equal(t, time.Second, m.accepted.refuseFor("w", 2, now.Add(8*time.Second)))
	assert.Zero(t, m.accepted.refuseFor("w", 2, now.Add(9*time.Second)))
}

// A caller declares run times that are wrong. Guards against refusals that follow from estimates ten times too long,
// and against corrections by few or false samples.
func TestEstimatesAreCorrected(t *testing.T) {
	m := NewMonitor()
	assert.Equal(t, time.Second, m.Expected("w", time.Second))
	for range minEnded {
		assert.Equal(t, time.Second, m.Expected("w", time.Second))
		m.Ended("w", 0, year)
		m.Ended("w", time.Second, -time.Second)
		m.Ended("w", 10*time.Second, time.Second)
	}
	assert.InDelta(t, 0.1, m.Expected("w", time.Second).Seconds(), 1e-6)
	assert.Equal(t, time.Second, m.Expected("other", time.Second))
	for range 1000 {
		m.Ended("w", time.Nanosecond, year)
	}
	assert.InDelta(t, maxCorrection, m.Expected("w", time.Second).Seconds(), 1e-6)
	assert.Equal(t, year, m.Expected("w", year))
}

// Guards against a Retry-After of zero, one before the backlog has drained, one without bound, and callers that return
// all at once.
func TestRetryAfter(t *testing.T) {
	job := &workload.Submission{Queue: workload.Route{Priority: 1, TargetLatency: time.Second}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}} // of use for 6 s
	overload := func(wait time.Duration) Overloads {
		return Overloads{{Priority: 1, Wait: wait, RefuseFor: time.Second}, {Priority: 2, Wait: year, RefuseFor: time.Second}}
	}
	for _, c := range []struct {
		wait, age time.Duration
		random    float64
		want      time.Duration // 0 if the job is not refused
	}{
		{6 * time.Second, 0, 0, 0}, {6100 * time.Millisecond, 0, 0, 2 * time.Second}, {6100 * time.Millisecond, 0, 0.95, 3 * time.Second},
		{16 * time.Second, 0, 0, 11 * time.Second}, {16 * time.Second, 0, 0.5, 17 * time.Second}, {16 * time.Second, 500 * time.Millisecond, 0, 11 * time.Second},
		{6100 * time.Millisecond, 200 * time.Millisecond, 0, 0}, {16 * time.Second, time.Second, 0, 0}, {year, 0, 1, maxRetryAfter},
	} {
		got, refused := overload(c.wait).Refusal(job, c.age, c.random)
		assert.Equal(t, c.want, got, "%+v", c)
		assert.Equal(t, c.want > 0, refused, "%+v", c)
	}
	urgent := *job
	urgent.Queue.Priority = 0
	_, refused := overload(year).Refusal(&urgent, 0, 0)
	assert.False(t, refused, "less urgent work does not delay it")
	for name, odd := range map[string]workload.Submission{
		"no estimate":  {Queue: job.Queue, Steps: []workload.Step{{Tasks: 1}}},
		"long-running": {Queue: job.Queue, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, LongRunning: true}}},
		"scheduled":    {Queue: job.Queue, Steps: job.Steps, Schedule: workload.Schedule{Occurrences: 2}},
	} {
		_, refused := overload(year).Refusal(&odd, 0, 0)
		assert.False(t, refused, name)
	}
	steps := make([]workload.Step, 1000)
	for n := range steps {
		steps[n] = workload.Step{Tasks: 1, Estimate: year}
		if n > 0 {
			steps[n].After = []int{n - 1}
		}
	}
	limit, ok := (&workload.Submission{Steps: steps}).UsefulFor(&job.Queue)
	assert.True(t, ok)
	assert.EqualValues(t, math.MaxInt64, limit, "the sum of the estimates overflows")
}

// Random tasks of one accelerator start in order as others end. Guards against a wait that exceeds the real one by more
// than the run time of a task, so that jobs are refused that would be in time.
func TestExpectedWaitIsCertain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 6).Draw(t, "rate")
		times := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(0, 20), rapid.IntRange(0, 2000)), 0, 60).Draw(t, "times")
		var work []Work
		ends := make([]int, rate) // when each accelerator is free
		for n, seconds := range times {
			work = append(work, Work{Demand: accelerators(1), Time: time.Duration(seconds) * time.Second, Running: n < rate})
			first := slices.Index(ends, slices.Min(ends))
			ends[first] += seconds
		}
		real := time.Duration(slices.Min(ends)) * time.Second
		slices.SortStableFunc(work, func(a, b Work) int { return cmp.Compare(a.Time, b.Time) })
		wait := expectedWait(work, 0, vectorOf(accelerators(rate)))
		longest := time.Duration(0)
		for _, k := range work {
			if k.Time <= wait {
				longest = max(longest, k.Time)
			}
		}
		if wait > real+longest+time.Millisecond {
			t.Fatalf("expected %v, real %v, longest task %v", wait, real, longest)
		}
	})
}

// A cap is lowered to 10 while 100 accelerators run for 10 s. Guards against a wait for which the running tasks would
// have to share the new cap, so that jobs are refused that would be in time.
func TestRunningWorkAboveTheCap(t *testing.T) {
	running := func(n int, left time.Duration) Work { return Work{Demand: accelerators(n), Time: left, Running: true} }
	waiting := func(n int) Work { return Work{Demand: accelerators(n), Time: time.Second} }
	for name, c := range map[string]struct {
		work []Work // in ascending order of their times
		want time.Duration
	}{
		"nothing waits":             {[]Work{running(100, 10*time.Second)}, 10 * time.Second},
		"20 wait":                   {[]Work{waiting(20), running(100, 10*time.Second)}, 12 * time.Second},
		"a part ends earlier":       {[]Work{waiting(20), running(95, 4*time.Second), running(5, 10*time.Second)}, 8 * time.Second},
		"running up to the cap":     {[]Work{waiting(20), running(10, 10*time.Second)}, 12 * time.Second},
		"above the cap for a year":  {[]Work{waiting(20), running(100, year)}, maxWait},
		"half of the cap runs long": {[]Work{waiting(20), running(5, year)}, 4 * time.Second},
	} {
		assert.InDelta(t, c.want.Seconds(), expectedWait(c.work, 0, vectorOf(accelerators(10))).Seconds(), 1e-6, name)
	}
}
