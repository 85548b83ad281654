package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
)

// observe reports the progress of the runs at the current time. A run does percent a second, on a slow
// worker a fifth of it.
func (w *fixture) observe(percent float64, slow map[*jobstate.Worker]bool) {
	for _, worker := range w.c.SortedWorkers() {
		for r := range worker.Runs {
			if r.StartedAt.IsZero() {
				continue
			}
			rate := percent
			if slow[worker] {
				rate /= 5
			}
			r.Observe(min(99, rate*w.now.Sub(r.StartedAt).Seconds()), w.now.UnixMilli(), w.now)
		}
	}
}

// startAnswered makes a decision and has the workers answer the starts.
func (w *fixture) startAnswered() []*jobstate.Run {
	plan := w.decide()
	for _, r := range plan.Starts {
		r.StartAnswered, r.StartSentAt, r.StartClock = true, w.now, w.now.UnixMilli()
		r.Confirm(w.now)
	}
	return plan.Starts
}

// One worker of an urgent gang of two is five times slower than the other. Guards against a gang that
// works on at the pace of the slow worker, because two members are too few for a median or because the
// rate is known only after a second report.
func TestSmallGangLeavesASlowWorker(t *testing.T) {
	w := newFixture(1, 4)
	w.submit(urgent, "a", gang(2, 8, 2500*time.Millisecond))
	runs := w.startAnswered()
	require.Len(t, runs, 2)
	slow := map[*jobstate.Worker]bool{runs[1].Worker: true}
	w.now = w.now.Add(500 * time.Millisecond)
	w.observe(40, slow) // the first report after the start
	plan := w.decide()
	require.Len(t, plan.Stops, 2)
	w.endStops(plan)
	for _, r := range w.startAnswered() {
		assert.NotContains(t, slow, r.Worker)
	}
}

// A run that began before its worker became slow ends as done just after a gang has left that worker.
// Guards against taking the worker for sound because of it, so that the next gang is slow as well.
func TestEarlierRunDoesNotEndTheAvoidance(t *testing.T) {
	w := newFixture(1, 6)
	w.submit(batch, "b", step(1, 1, 10*time.Second))
	earlier := w.startAnswered()[0]
	w.now = w.now.Add(5 * time.Second)
	w.submit(urgent, "a", gang(3, 7, 2500*time.Millisecond))
	workers := map[*jobstate.Worker]bool{}
	for _, r := range w.startAnswered() {
		workers[r.Worker] = true
	}
	require.True(t, workers[earlier.Worker])
	for range 2 {
		w.now = w.now.Add(450 * time.Millisecond)
		w.observe(40, map[*jobstate.Worker]bool{earlier.Worker: true})
	}
	plan := w.decide()
	require.Len(t, plan.Stops, 3)
	w.endStops(plan)
	require.Len(t, w.startAnswered(), 3)
	placement.RecordEnd(earlier, jobstate.EndDone, w.now)
	w.c.End(earlier, jobstate.EndDone, "", w.now)
	w.now = earlier.Worker.AvoidUntil.Add(100 * time.Millisecond)
	w.submit(urgent, "a", gang(2, 8, 2500*time.Millisecond))
	again := w.startAnswered()
	require.Len(t, again, 2)
	for _, r := range again {
		assert.NotEqual(t, earlier.Worker, r.Worker, "on probation: no run that started since has ended as done")
	}
}

// A new owner reads runs of a gang that are half done, and their workers report them one after the other.
// Guards against rates as if such a run had done all its work under this owner.
func TestRunsOfAFormerOwnerAreNotMeasuredFromTheirStart(t *testing.T) {
	w := newFixture(1, 2)
	w.submit(draft, "a", gang(2, 8, 10*time.Second))
	runs := w.decide().Starts
	require.Len(t, runs, 2)
	for _, r := range runs { // confirmed by reports
		r.Confirm(w.now)
		r.Observe(50, w.now.UnixMilli(), w.now)
	}
	w.now = w.now.Add(time.Second)
	for _, r := range runs {
		r.Observe(60, w.now.UnixMilli(), w.now)
		assert.InDelta(t, 10, r.Rate, 0.1)
	}
	assert.Empty(t, w.decide().Stops)
}
