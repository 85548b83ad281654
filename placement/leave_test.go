package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// announceLeave makes the worker drain and announce that it leaves after the notice period.
func (w *fixture) announceLeave(worker *jobstate.Worker, notice time.Duration) {
	worker.Draining = true
	worker.LeavesAt = w.now.Add(notice)
}

// A worker announces that it leaves in two seconds while a long gang runs on it. Guards against a gang that
// works on although it cannot end in time: all its work is discarded, and its job waits until the loss of
// the worker is detected.
func TestGangStopsBeforeItsWorkerLeaves(t *testing.T) {
	w := newFixture(2, 4)
	w.submit(batch, "a", gang(3, 8, 10*time.Second))
	runs := w.advance(3 * time.Second).Starts
	require.Len(t, runs, 3)
	w.announceLeave(runs[0].Worker, 2*time.Second)
	plan := w.advance(100 * time.Millisecond)
	assert.Len(t, plan.Stops, 3, "all members stop at once")
	w.endStops(plan)
	plan = w.advance(0)
	require.Len(t, plan.Starts, 3)
	for _, r := range plan.Starts {
		assert.False(t, r.Worker.Draining)
	}
	w.requireWithinCapacity(t)
}

// A worker announces that it leaves while short tasks run on it. Guards against stopping tasks that would
// end before their worker leaves, and against stops on a worker that stays longer than announced.
func TestTaskThatEndsInTimeStaysOnALeavingWorker(t *testing.T) {
	w := newFixture(1, 2)
	w.submit(urgent, "a", step(2, 1, 2500*time.Millisecond))
	w.submit(batch, "a", step(2, 1, 4*time.Second))
	runs := w.advance(time.Second).Starts
	require.Len(t, runs, 4)
	w.announceLeave(runs[0].Worker, 3500*time.Millisecond)
	for range 40 {
		plan := w.advance(250 * time.Millisecond)
		assert.Empty(t, plan.Stops)
	}
}

// A worker announces that it leaves while checkpointing tasks run on it. Guards against a stop while the
// tasks could still work on, and against one too late for a last checkpoint.
func TestCheckpointingTaskStopsJustBeforeItsWorkerLeaves(t *testing.T) {
	w := newFixture(1, 2)
	spec := gang(2, 8, 20*time.Second)
	spec.Checkpointing = true
	w.submit(batch, "a", spec)
	runs := w.advance(time.Second).Starts
	require.Len(t, runs, 2)
	start := w.now
	w.announceLeave(runs[0].Worker, 4*time.Second)
	for {
		plan := w.advance(50 * time.Millisecond)
		if len(plan.Stops) > 0 {
			assert.Len(t, plan.Stops, 2)
			break
		}
		require.Less(t, w.now.Sub(start), 4*time.Second)
	}
	assert.Greater(t, w.now.Sub(start), 2500*time.Millisecond, "the tasks worked on as long as possible")
	assert.Less(t, w.now.Sub(start), 3600*time.Millisecond, "the stop, which takes 0.2 s, completes before the worker leaves")
}
