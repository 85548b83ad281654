package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
)

// A gang fails while the resources that it needs in one rack can be reclaimed from batch work. Guards against a
// restart over several racks, three times slower, because the time of the first run counted as waiting.
func TestRestartedGangWaitsForARack(t *testing.T) {
	w := newFixture(2, 2)
	w.submit(urgent, "a", gang(2, 8, 4*time.Second))
	runs := w.advance(3500 * time.Millisecond).Starts
	require.Len(t, racks(runs), 1)
	other := "r0"
	if runs[0].Worker.Rack == "r0" {
		other = "r1"
	}
	w.submit(batch, "b", step(8, 1, 10*time.Second)) // one worker of the other rack is full
	require.Len(t, w.advance(100*time.Millisecond).Starts, 8)
	w.c.Workers[runs[0].Worker.ID].AvoidUntil = w.now.Add(time.Minute)
	for _, r := range runs {
		w.c.End(r, jobstate.EndFailed, "", w.now)
	}
	plan := w.advance(100 * time.Millisecond)
	require.Empty(t, plan.Starts, "one worker is free in each rack: the gang waits for two in the same rack")
	w.endStops(plan)
	var again []*jobstate.Run
	for _, r := range w.advance(0).Starts {
		if r.Task.Step == runs[0].Task.Step {
			again = append(again, r)
		}
	}
	require.Len(t, again, 2)
	assert.Equal(t, map[string]int{other: 2}, racks(again))
}

// All runs on a worker are stalled for seconds although it reports as usual. Guards against giving new work
// to such a worker when its runs have done too much work to be stopped, and against avoiding it forever.
func TestStalledWorkerGetsNoWork(t *testing.T) {
	w := newFixture(1, 2)
	w.submit(draft, "a", step(1, 8, 10*time.Second))
	run := w.advance(0).Starts[0]
	for n := range 7 {
		w.now = w.now.Add(time.Second)
		run.Observe(min(10*float64(n), 50), w.now.UnixMilli(), w.now)
		require.Empty(t, w.decide().Stops, "half of the work is done")
	}
	w.c.End(run, jobstate.EndStopped, "", w.now) // its job was cancelled
	w.submit(urgent, "a", step(2, 8, time.Second))
	starts := w.advance(100 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.NotEqual(t, run.Worker, starts[0].Worker)
	w.now = w.now.Add(2 * time.Second)
	assert.NotEmpty(t, w.advance(0).Starts)
}

// An urgent gang needs resources on a full service while stop orders to a worker are lost. Guards against
// waiting for the lost stops although other resources could be reclaimed.
func TestOverdueStopIsNotWaitedFor(t *testing.T) {
	w := newFixture(1, 3)
	w.submit(batch, "b", step(24, 1, 10*time.Second))
	w.advance(time.Second)
	w.submit(urgent, "a", gang(1, 8, 2*time.Second))
	stuck := w.advance(100 * time.Millisecond)
	require.Len(t, stuck.Stops, 8)
	require.Empty(t, w.advance(300*time.Millisecond).Stops, "the stops are in progress")
	w.now = w.now.Add(200 * time.Millisecond)
	other := w.advance(10 * time.Millisecond)
	require.Len(t, other.Stops, 8)
	assert.NotEqual(t, stuck.Stops[0].Worker, other.Stops[0].Worker)
	w.endStops(other)
	assert.Len(t, w.advance(0).Starts, 1)
}

// A tenth of the workers fail everything they start, although they report as healthy, while urgent gangs
// arrive. Guards against gangs that restart on the same workers until their attempts are used up, and
// against avoiding a worker forever after one failure.
func TestUrgentGangsLeaveWorkersThatFail(t *testing.T) {
	w := newFixture(4, 5)
	failing := map[*jobstate.Worker]bool{w.c.Workers["r0-0"]: true, w.c.Workers["r2-1"]: true}
	failed := map[*jobstate.Job]int{}
	for n := range 60 {
		if n%4 == 0 {
			w.submit(urgent, "a", gang(3, 8, 800*time.Millisecond))
		}
		w.advance(200 * time.Millisecond)
		for _, worker := range w.c.SortedWorkers() {
			for r := range worker.Runs {
				j := r.Task.Step.Occurrence.Job
				switch {
				case failing[worker]:
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
	assert.LessOrEqual(t, total, 4, "in 12 seconds gangs try each failing worker at most twice")
	w.submit(batch, "b", step(1, 8, time.Second))
	run := w.advance(0).Starts[0]
	placement.RecordEnd(run, jobstate.EndFailed, w.now)
	assert.True(t, run.Worker.AvoidUntil.After(w.now))
	w.now = w.now.Add(10 * time.Second)
	w.submit(urgent, "a", step(20, 8, time.Second))
	assert.Len(t, w.advance(0).Starts, 19, "all workers but the one that is occupied")
}

// The runs of urgent gangs stall for seconds on workers that report as healthy. Guards against detecting
// the stall after the gang has missed its objective, and against a restart on workers that stalled
// recently.
func TestStalledGangRestartsOnOtherWorkers(t *testing.T) {
	w := newFixture(1, 6)
	w.submit(urgent, "a", gang(2, 8, 2500*time.Millisecond))
	runs := w.advance(0).Starts
	require.Len(t, runs, 2)
	var plan placement.Plan
	for _, age := range []time.Duration{200, 600} {
		w.now = runs[0].StartedAt.Add(age * time.Millisecond)
		for _, r := range runs {
			r.Observe(0, w.now.UnixMilli(), w.now)
		}
		plan = w.decide()
	}
	require.Len(t, plan.Stops, 2)
	w.endStops(plan)
	again := w.advance(5 * time.Second).Starts
	require.Len(t, again, 2)
	for _, r := range again {
		assert.NotContains(t, []*jobstate.Worker{runs[0].Worker, runs[1].Worker}, r.Worker)
	}
	w.submit(urgent, "a", gang(3, 8, 2500*time.Millisecond))
	assert.Empty(t, w.advance(0).Starts, "two workers are free and two are on probation after the stall")
	small := w.submit(batch, "b", step(2, 1, time.Second))
	tried := w.advance(0).Starts
	require.Len(t, tried, 2)
	for _, r := range tried {
		require.Equal(t, small, r.Task.Step.Occurrence.Job)
		placement.RecordEnd(r, jobstate.EndDone, w.now)
		w.c.End(r, jobstate.EndDone, "", w.now)
	}
	w.now = w.now.Add(5 * time.Second)
	assert.Len(t, w.advance(0).Starts, 3)
}

// The start of the last member of an urgent gang is delayed because its order is repeated after a lost
// answer. Guards against treating the members that wait for it as stalled.
func TestIncompleteGangIsNotStalled(t *testing.T) {
	w := newFixture(1, 3)
	w.submit(urgent, "a", gang(3, 8, 2500*time.Millisecond))
	runs := w.decide().Starts
	require.Len(t, runs, 3)
	for _, r := range runs[1:] {
		r.Confirm(w.now)
	}
	for range 3 {
		w.now = w.now.Add(400 * time.Millisecond)
		for _, r := range runs[1:] {
			r.Observe(0, w.now.UnixMilli(), w.now)
		}
		assert.Empty(t, w.decide().Stops)
	}
	runs[0].Confirm(w.now)
	w.now = w.now.Add(300 * time.Millisecond)
	for _, r := range runs {
		r.Observe(10, w.now.UnixMilli(), w.now)
	}
	assert.Empty(t, w.decide().Stops)
}

// One task of a wide step is several times as long as the others. Guards against stopping it as a straggler
// on one healthy worker after another, so that it never ends.
func TestLongTaskIsStoppedOnce(t *testing.T) {
	w := newFixture(1, 4)
	w.submit(batch, "a", step(8, 1, 8*time.Second))
	long := w.advance(0).Starts[0].Task
	stops := 0
	for range 60 {
		w.now = w.now.Add(400 * time.Millisecond)
		for _, task := range long.Step.Tasks {
			if r := task.Run; r != nil {
				rate := 12.0 // percent a second
				if task == long {
					rate = 3
				}
				r.Observe(min(99, rate*w.now.Sub(r.StartedAt).Seconds()), w.now.UnixMilli(), w.now)
			}
		}
		plan := w.decide()
		stops += len(plan.Stops)
		w.endStops(plan)
		for _, r := range w.decide().Starts {
			r.Confirm(w.now)
		}
	}
	assert.Equal(t, 1, stops)
}

// A worker did not answer or may carry out a late order. Guards against giving it work because there is no
// other worker.
func TestBlockedWorkersAreNotUsed(t *testing.T) {
	w := newFixture(1, 2)
	for _, worker := range w.c.Workers {
		worker.BlockedUntil = w.now.Add(10 * time.Second)
	}
	w.submit(urgent, "a", gang(1, 8, time.Second))
	for range 99 {
		require.Empty(t, w.advance(100*time.Millisecond).Starts)
	}
	w.now = w.now.Add(100 * time.Millisecond)
	assert.Len(t, w.advance(0).Starts, 1)
}
