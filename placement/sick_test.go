package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
)

// Load: a gang whose worker fails, beside work that can be reclaimed. Guards against a gang
// that starts again over several racks, three times slower, because it has become impatient
// during its first run.
func TestRestartedGangWaitsForARack(t *testing.T) {
	w := newWorld(2, 2)
	w.submit(urgent, "a", gang(2, 8, 4*time.Second))
	runs := w.run(3500 * time.Millisecond).Starts
	require.Len(t, racks(runs), 1)
	other := "r0"
	if runs[0].Worker.Rack == "r0" {
		other = "r1"
	}
	w.submit(batch, "b", step(8, 1, 10*time.Second)) // one worker of the other rack is full
	require.Len(t, w.run(100*time.Millisecond).Starts, 8)
	w.c.Workers[runs[0].Worker.ID].AvoidUntil = w.now.Add(time.Minute)
	for _, r := range runs {
		w.c.End(r, jobstate.EndFailed, "", w.now)
	}
	plan := w.run(100 * time.Millisecond)
	require.Empty(t, plan.Starts, "a worker in each rack is free")
	w.stopped(plan)
	var again []*jobstate.Run
	for _, r := range w.run(0).Starts {
		if r.Task.Step == runs[0].Task.Step {
			again = append(again, r)
		}
	}
	require.Len(t, again, 2)
	assert.Equal(t, map[string]int{other: 2}, racks(again))
}

// Load: workers on which tasks stand still for seconds while their reports look healthy.
// Guards against new work for such a worker when its own runs have done too much to be taken
// away, and against avoiding it for good.
func TestWorkerOnWhichNothingMovesGetsNoWork(t *testing.T) {
	w := newWorld(1, 2)
	w.submit(draft, "a", step(1, 8, 10*time.Second))
	run := w.run(0).Starts[0]
	for n := range 7 {
		w.now = w.now.Add(time.Second)
		run.Observe(min(10*float64(n), 50), w.now)
		require.Empty(t, w.decide().Stops, "half of the work is done")
	}
	w.c.End(run, jobstate.EndStopped, "", w.now) // its job was cancelled
	w.submit(urgent, "a", step(2, 8, time.Second))
	starts := w.run(100 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.NotEqual(t, run.Worker, starts[0].Worker)
	w.now = w.now.Add(2 * time.Second)
	assert.NotEmpty(t, w.run(0).Starts)
}

// Load: an urgent gang on a full service while orders to a worker are lost. Guards against a
// gang that waits for a stop that does not come although other room could be reclaimed.
func TestOverdueStopIsNotWaitedFor(t *testing.T) {
	w := newWorld(1, 3)
	w.submit(batch, "b", step(24, 1, 10*time.Second))
	w.run(time.Second)
	w.submit(urgent, "a", gang(1, 8, 2*time.Second))
	stuck := w.run(100 * time.Millisecond)
	require.Len(t, stuck.Stops, 8)
	require.Empty(t, w.run(300*time.Millisecond).Stops, "the stops are under way")
	w.now = w.now.Add(200 * time.Millisecond)
	other := w.run(10 * time.Millisecond)
	require.Len(t, other.Stops, 8)
	assert.NotEqual(t, stuck.Stops[0].Worker, other.Stops[0].Worker)
	w.stopped(other)
	assert.Len(t, w.run(0).Starts, 1)
}

// Load: a tenth of the workers fail everything they start, at good health, while urgent gangs come.
// Guards against gangs that start again and again on the same workers until their attempts are used
// up, and against a worker that is avoided for good after one failure.
func TestUrgentGangsLeaveWorkersThatFail(t *testing.T) {
	w := newWorld(4, 5)
	sick := map[*jobstate.Worker]bool{w.c.Workers["r0-0"]: true, w.c.Workers["r2-1"]: true}
	failed := map[*jobstate.Job]int{}
	for n := range 60 {
		if n%4 == 0 {
			w.submit(urgent, "a", gang(3, 8, 800*time.Millisecond))
		}
		w.run(200 * time.Millisecond)
		for _, worker := range w.c.SortedWorkers() {
			for r := range worker.Runs {
				j := r.Task.Step.Occurrence.Job
				switch {
				case sick[worker]:
					placement.RecordEnd(r, jobstate.EndFailed, w.now)
					failed[j]++
					for _, task := range r.Task.Step.Tasks {
						if task.Run != nil && task.Run != r {
							w.c.End(task.Run, jobstate.EndGangBroken, "", w.now)
						}
					}
					w.c.End(r, jobstate.EndFailed, "", w.now)
				case w.now.Sub(r.PlannedAt) >= 800*time.Millisecond:
					placement.RecordEnd(r, jobstate.EndDone, w.now)
					w.c.End(r, jobstate.EndDone, "", w.now)
				}
			}
		}
	}
	total := 0
	for j, n := range failed {
		assert.Less(t, n, 3, "attempts of %s", j.Submission.ID)
		total += n
	}
	assert.LessOrEqual(t, total, 4, "in 12 seconds a gang tries each sick worker at most twice")
	w.submit(batch, "b", step(1, 8, time.Second))
	run := w.run(0).Starts[0]
	placement.RecordEnd(run, jobstate.EndFailed, w.now)
	assert.True(t, run.Worker.AvoidUntil.After(w.now))
	w.now = w.now.Add(10 * time.Second)
	w.submit(urgent, "a", step(20, 8, time.Second))
	assert.Len(t, w.run(0).Starts, 19, "all but the one that runs something")
}

// Load: urgent gangs on workers that hang for seconds at good health. Guards against a gang that has
// lost its objective before it is noticed that nothing moves, and against one that then tries other
// workers that hung a moment ago.
func TestHangingGangStartsAgainInTime(t *testing.T) {
	w := newWorld(1, 6)
	w.submit(urgent, "a", gang(2, 8, 2500*time.Millisecond))
	runs := w.run(0).Starts
	require.Len(t, runs, 2)
	var plan placement.Plan
	for _, age := range []time.Duration{200, 600} {
		w.now = runs[0].StartedAt.Add(age * time.Millisecond)
		for _, r := range runs {
			r.Observe(0, w.now)
		}
		plan = w.decide()
	}
	require.Len(t, plan.Stops, 2)
	w.stopped(plan)
	again := w.run(5 * time.Second).Starts
	require.Len(t, again, 2)
	for _, r := range again {
		assert.NotContains(t, []*jobstate.Worker{runs[0].Worker, runs[1].Worker}, r.Worker)
	}
	w.submit(urgent, "a", gang(3, 8, 2500*time.Millisecond))
	assert.Empty(t, w.run(0).Starts, "two workers are free and two have not been seen to work since they hung")
	small := w.submit(batch, "b", step(2, 1, time.Second))
	tried := w.run(0).Starts
	require.Len(t, tried, 2)
	for _, r := range tried {
		require.Equal(t, small, r.Task.Step.Occurrence.Job)
		placement.RecordEnd(r, jobstate.EndDone, w.now)
		w.c.End(r, jobstate.EndDone, "", w.now)
	}
	w.now = w.now.Add(5 * time.Second)
	assert.Len(t, w.run(0).Starts, 3)
}

// Load: an order to the last member of an urgent gang is repeated because its answer was lost. Guards
// against a gang that is taken for hanging while its members wait for the last one.
func TestGangThatWaitsForAMemberDoesNotHang(t *testing.T) {
	w := newWorld(1, 3)
	w.submit(urgent, "a", gang(3, 8, 2500*time.Millisecond))
	runs := w.decide().Starts
	require.Len(t, runs, 3)
	for _, r := range runs[1:] {
		r.Confirm(w.now)
	}
	for range 3 {
		w.now = w.now.Add(400 * time.Millisecond)
		for _, r := range runs[1:] {
			r.Observe(0, w.now)
		}
		assert.Empty(t, w.decide().Stops)
	}
	runs[0].Confirm(w.now)
	w.now = w.now.Add(300 * time.Millisecond)
	for _, r := range runs {
		r.Observe(10, w.now)
	}
	assert.Empty(t, w.decide().Stops)
}

// Load: a wide step one of whose tasks is several times as long as the others. Guards against a long task
// that is taken away from one sound worker after the other and never gets far.
func TestLongTaskIsTakenAwayOnce(t *testing.T) {
	w := newWorld(1, 4)
	w.submit(batch, "a", step(8, 1, 8*time.Second))
	long := w.run(0).Starts[0].Task
	stops := 0
	for range 60 {
		w.now = w.now.Add(400 * time.Millisecond)
		for _, task := range long.Step.Tasks {
			if r := task.Run; r != nil {
				rate := 12.0 // percent a second
				if task == long {
					rate = 3
				}
				r.Observe(min(99, rate*w.now.Sub(r.StartedAt).Seconds()), w.now)
			}
		}
		plan := w.decide()
		stops += len(plan.Stops)
		w.stopped(plan)
		for _, r := range w.decide().Starts {
			r.Confirm(w.now)
		}
	}
	assert.Equal(t, 1, stops)
}
