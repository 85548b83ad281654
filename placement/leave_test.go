package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// leave lets the worker say that it leaves after the notice.
func (w *world) leave(worker *jobstate.Worker, notice time.Duration) {
	worker.Draining = true
	worker.LeavesAt = w.now.Add(notice)
}

// Load: workers are taken away at two seconds' notice while long gangs run. Guards against a gang
// that works on without hope until its worker is gone: all of it is thrown away, and its job waits
// until the loss is noticed.
func TestGangLeavesAWorkerThatIsTakenAway(t *testing.T) {
	w := newWorld(2, 4)
	w.submit(batch, "a", gang(3, 8, 10*time.Second))
	runs := w.run(3 * time.Second).Starts
	require.Len(t, runs, 3)
	w.leave(runs[0].Worker, 2*time.Second)
	plan := w.run(100 * time.Millisecond)
	assert.Len(t, plan.Stops, 3, "all members stop at once")
	w.stopped(plan)
	plan = w.run(0)
	require.Len(t, plan.Starts, 3)
	for _, r := range plan.Starts {
		assert.False(t, r.Worker.Draining)
	}
	w.requireRoom(t)
}

// Load: workers are replaced one after the other while short tasks run. Guards against tasks that
// are stopped although they would have ended before their worker left, and against stops on a
// worker that stays longer than it said.
func TestTaskEndsOnAWorkerThatLeaves(t *testing.T) {
	w := newWorld(1, 2)
	w.submit(urgent, "a", step(2, 1, 2500*time.Millisecond))
	w.submit(batch, "a", step(2, 1, 4*time.Second))
	runs := w.run(time.Second).Starts
	require.Len(t, runs, 4)
	w.leave(runs[0].Worker, 3500*time.Millisecond)
	for range 40 {
		plan := w.run(250 * time.Millisecond)
		assert.Empty(t, plan.Stops)
	}
}

// Load: the same with tasks that checkpoint. Guards against a stop while the task could still work
// on, and against one that comes too late to save what was done.
func TestCheckpointingTaskWorksUntilItsWorkerLeaves(t *testing.T) {
	w := newWorld(1, 2)
	spec := gang(2, 8, 20*time.Second)
	spec.Checkpointing = true
	w.submit(batch, "a", spec)
	runs := w.run(time.Second).Starts
	require.Len(t, runs, 2)
	began := w.now
	w.leave(runs[0].Worker, 4*time.Second)
	for {
		plan := w.run(50 * time.Millisecond)
		if len(plan.Stops) > 0 {
			assert.Len(t, plan.Stops, 2)
			break
		}
		require.Less(t, w.now.Sub(began), 4*time.Second)
	}
	assert.Greater(t, w.now.Sub(began), 2500*time.Millisecond, "it worked on")
	assert.Less(t, w.now.Sub(began), 3600*time.Millisecond, "the stop, of 0.2 s, ends before the worker leaves")
}
