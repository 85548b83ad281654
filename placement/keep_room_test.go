package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// newSlowStopFixture returns a cluster whose workers take long to stop a run, so that room is kept for gangs.
func newSlowStopFixture(racks, perRack int) *fixture {
	w := newFixture(racks, perRack)
	w.p = placement.New(placement.Options{FarFactor: 3, StopTimeout: 900 * time.Millisecond})
	return w
}

// wide returns a gang of which each task takes more than half of a worker's memory.
func wide(n int, estimate time.Duration) workload.Step {
	s := gang(n, 2, estimate)
	s.Demand.MemoryMB = 140_000
	return s
}

// endAll ends the runs of the job as done.
func (w *fixture) endAll(j *jobstate.Job) {
	for _, r := range j.Runs() {
		w.c.End(r, jobstate.EndDone, "", w.now)
	}
}

// Small urgent jobs arrive beside batch tasks, and then an urgent gang that needs whole workers of one rack. Guards
// against urgent runs on the fullest workers: each of them makes a worker unusable for the gang, because it cannot be
// preempted, although another worker is broken already.
func TestUrgentRunsShareWorkers(t *testing.T) {
	for _, slow := range []bool{false, true} {
		w := newFixture(1, 8)
		if slow {
			w = newSlowStopFixture(1, 8)
		}
		large := step(1, 1, time.Minute)
		large.Demand.MemoryMB = 230_000
		w.submit(urgent, "a", large)
		first := w.advance(0).Starts[0].Worker
		for range 7 {
			tasks := step(7, 1, time.Minute)
			tasks.Demand.MemoryMB = 35_000 // none fits beside the large task
			w.submit(batch, "b", tasks)
			w.advance(0)
		}
		small := w.submit(urgent, "a", step(1, 1, time.Minute))
		small.Submission.Steps[0].Demand.MemoryMB = 1000
		w.advance(0)
		assert.Equal(t, slow, small.Runs()[0].Worker == first, "stops are slow: %v", slow)
		if !slow {
			continue
		}
		w.submit(urgent, "a", gang(7, 8, time.Minute))
		assert.NotEmpty(t, w.advance(0).Stops, "the batch tasks on the seven other workers make room")
	}
}

// Batch tasks wait beside a gang of which each task needs more than half of a worker, while one worker after the other
// becomes free. Guards against batch tasks in each part of the gang's room: it would never come together.
func TestSingleTasksLeaveRoomForAWaitingGang(t *testing.T) {
	w := newSlowStopFixture(1, 4)
	running := []*jobstate.Job{}
	for range 4 {
		running = append(running, w.submit(draft, "a", wide(1, 10*time.Second)))
	}
	w.advance(100 * time.Millisecond)
	waiting := w.submit(draft, "a", wide(4, 10*time.Second))
	w.submit(batch, "b", func() workload.Step {
		s := step(40, 1, 30*time.Second)
		s.Demand.MemoryMB = 29_000
		return s
	}())
	w.advance(100 * time.Millisecond)
	for _, j := range running {
		w.endAll(j)
		w.advance(200 * time.Millisecond)
	}
	w.advance(0)
	assert.Len(t, waiting.Runs(), 4, "the gang starts when the last of the four has ended")
	batchRuns := 0
	for _, worker := range w.c.Workers {
		batchRuns += len(worker.Runs) - 1
	}
	assert.Positive(t, batchRuns, "room that is of no use to the gang is not left idle")
}

// A gang whose data is in a full rack waits while the service lacks room. Guards against runs outside the rack, which
// hold their workers three times as long, exactly when others wait for these, and against a wait for the rack that
// goes on when the objective is lost or when nobody lacks room.
func TestRackWaitFollowsTheLoad(t *testing.T) {
	for _, contended := range []bool{false, true} {
		w := newSlowStopFixture(2, 2)
		full := gang(2, 8, time.Minute)
		full.DataRack = "r0"
		w.submit(urgent, "a", full)
		w.advance(0)
		w.submit(urgent, "a", step(1, 8, time.Minute), step(1, 7, time.Minute)) // leaves room for the gang in the other rack
		w.advance(0)
		if contended {
			w.submit(urgent, "b", gang(3, 8, time.Minute))
		}
		s := gang(1, 1, 5*time.Second)
		s.DataRack = "r0"
		j := w.submit(draft, "a", s)
		w.advance(0)
		w.advance(7 * time.Second) // more than 0.35 of the objective of 15 s, less than what is left of it for the run
		w.advance(0)
		require.Equal(t, contended, len(j.Runs()) == 0, "contended: %v", contended)
		if contended {
			w.now = w.now.Add(4 * time.Second)
			w.advance(0)
			assert.Len(t, j.Runs(), 1, "the objective can no longer be met in the rack")
		}
	}
}

// A gang waits that no number of idle workers could run, one that waits for a rack, and one of another service. Guards
// against room that is kept for them: less urgent tasks would wait beside idle workers.
func TestNoRoomIsKeptWithoutUse(t *testing.T) {
	inRack := gang(2, 8, time.Minute)
	inRack.DataRack = "r0"
	for name, c := range map[string]struct {
		blocked workload.Step
		service string
		racks   int
		starts  int
	}{
		"a gang that never fits":            {gang(9, 8, time.Minute), "service", 1, 64},
		"a gang that waits for a full rack": {inRack, "service", 2, 64},
		"a gang of another service":         {wide(5, time.Minute), "other", 1, 64},
	} {
		w := newSlowStopFixture(c.racks, 8)
		if c.racks > 1 {
			full := gang(8, 8, time.Minute)
			full.DataRack = "r0"
			w.submit(draft, "a", full)
			w.advance(0)
		}
		j := w.submit(draft, "a", c.blocked)
		j.Route.Service = c.service
		w.advance(0)
		tasks := w.submit(batch, "b", step(64, 1, time.Minute))
		w.advance(0)
		assert.Len(t, tasks.Runs(), c.starts, name)
	}
}

// Tasks wait because their room is kept for a gang, beside a job of which nothing has run for long. Guards against
// reservations for such tasks: the other job would start only when they end.
func TestTasksWithoutRoomBesideAGangReserveNothing(t *testing.T) {
	w := newSlowStopFixture(1, 8)
	w.submit(urgent, "u", step(1, 8, time.Minute))
	w.advance(0)
	w.submit(draft, "a", gang(8, 8, time.Minute)) // could run, but not beside the urgent task
	w.advance(0)
	c := w.submit(batch, "b", step(1, 3, time.Minute))
	w.advance(200 * time.Millisecond)
	other := w.submit(batch, "b", step(8, 6, time.Minute))
	w.advance(1300 * time.Millisecond)
	assert.Equal(t, jobstate.WaitRoomForGang, other.Occurrences[0].Steps[0].WaitReason)
	w.advance(0)
	assert.Len(t, c.Runs(), 1, "started 1.5 s after it was ready")
}

// A task of less urgent work fits into what the gang cannot use. Guards against a worker without the gang's label, and
// work that is as urgent as the gang, being kept idle.
func TestRoomIsKeptFromLessUrgentWorkOnly(t *testing.T) {
	w := newSlowStopFixture(1, 4)
	for _, worker := range w.c.SortedWorkers()[1:] {
		worker.Labels = []string{"large"}
	}
	occupied := step(1, 8, time.Minute)
	occupied.Label = "large"
	w.submit(urgent, "u", occupied)
	w.advance(0)
	blocked := gang(3, 8, time.Minute)
	blocked.Label = "large"
	w.submit(draft, "a", blocked)
	w.advance(0)
	less := w.submit(batch, "b", step(24, 1, time.Minute))
	w.advance(0)
	assert.Len(t, less.Runs(), 8, "on the worker without the label")
	equal := w.submit(draft, "b", step(2, 8, time.Minute))
	w.advance(0)
	assert.Len(t, equal.Runs(), 2)
}
