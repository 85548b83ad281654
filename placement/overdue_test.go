package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxIdle is how long a job may have nothing running while there is room for it twice over: 3 s, of which the
// record and the start order may take one.
const maxIdle = 2 * time.Second

// startsWithin makes decisions until a run of the job starts, and fails if that takes longer than maxIdle.
// Stopped runs end at once.
func (w *fixture) startsWithin(t *testing.T, j *jobstate.Job) []*jobstate.Run {
	t.Helper()
	for range int(maxIdle/(50*time.Millisecond)) + 1 {
		w.endStops(w.advance(50 * time.Millisecond))
		w.requireWithinCapacity(t)
		if j.MayBeRunning() {
			return j.Runs()
		}
	}
	require.Fail(t, "nothing started", "job %s with room for it twice over", j.Submission.ID)
	return nil
}

// The rack of a job's data is full for long while other racks are idle. Guards against waiting there for a
// share of the job's objective, which has no bound.
func TestJobDoesNotWaitLongForItsRack(t *testing.T) {
	for name, spec := range map[string]workload.Step{"tasks": step(4, 1, 10*time.Second), "gang": gang(2, 8, 10*time.Second)} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(3, 4)
			full := step(32, 1, time.Minute)
			full.DataRack = "r1"
			w.submit(draft, "b", full)
			require.Len(t, w.advance(0).Starts, 32)
			spec.DataRack = "r1"
			w.startsWithin(t, w.submit(draft, "a", spec))
		})
	}
}

// Urgent jobs use most of the service all the time. Guards against small tasks without checkpoints, and
// preempted gangs, for which the headroom for urgent jobs never suffices.
func TestHeadroomDoesNotKeepJobsWaiting(t *testing.T) {
	w := newFixture(4, 4)
	use := gang(10, 8, time.Minute)
	use.SameRack = false
	w.submit(urgent, "a", use)
	require.Len(t, w.advance(0).Starts, 10)
	w.c.Workers["r0-0"].AvoidUntil = w.now.Add(time.Minute)
	small := w.submit(batch, "b", step(60, 1, time.Minute))
	preempted := w.submit(draft, "b", gang(1, 8, time.Minute))
	preempted.Occurrences[0].Steps[0].Tasks[0].Preempted = true
	assert.Len(t, w.startsWithin(t, small), 1, "the other tasks leave the headroom free")
	w.startsWithin(t, preempted)
}

// A wide gang has all free room reserved while the runs beside it go on. Guards against small jobs that
// wait until both have started, and against a reservation that all tasks of the small jobs take.
func TestReservationsDoNotKeepJobsWaiting(t *testing.T) {
	w := newFixture(1, 8)
	long := step(4, 4, time.Minute)
	long.MaxPerWorker = 1
	w.submit(batch, "b", long)
	require.Len(t, w.advance(0).Starts, 4)
	w.submit(draft, "a", gang(8, 8, 10*time.Second))
	for range 30 {
		w.advance(50 * time.Millisecond)
	}
	small := w.submit(batch, "b", step(20, 1, time.Minute))
	assert.Len(t, w.startsWithin(t, small), 1)
}

// All workers are avoided after failures, or on probation. Guards against jobs that wait although nobody else
// can take their tasks, and against a start on avoided workers while others have room.
func TestAvoidedWorkersAreUsedIfThereAreNoOthers(t *testing.T) {
	for name, avoidedFor := range map[string]time.Duration{"avoided": 16 * time.Second, "on probation": 0} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(2, 4)
			for _, worker := range w.c.Workers {
				worker.FailStreak, worker.AvoidUntil = 4, w.now.Add(avoidedFor)
			}
			w.startsWithin(t, w.submit(urgent, "a", gang(3, 8, 8*time.Second)))
		})
	}
	w := newFixture(2, 4)
	for _, worker := range w.c.Workers {
		if worker.Rack == "r0" {
			worker.FailStreak, worker.AvoidUntil = 4, w.now.Add(time.Minute)
		}
	}
	for _, r := range w.startsWithin(t, w.submit(urgent, "a", gang(3, 8, 8*time.Second))) {
		assert.Equal(t, "r1", r.Worker.Rack)
	}
}

// All workers are avoided after failures for a few seconds, and a further failure would be the job's end. Guards against
// a last attempt on a worker that fails everything.
func TestLastAttemptIsNotSpentOnAWorkerThatFails(t *testing.T) {
	w := newFixture(1, 2)
	j := w.submit(batch, "a", step(1, 1, time.Second))
	j.Occurrences[0].Steps[0].Tasks[0].Failures = j.Route.MaxAttempts - 1
	for _, worker := range w.c.Workers {
		worker.FailStreak, worker.AvoidUntil = 2, w.now.Add(5*time.Second)
	}
	for range 19 {
		require.Empty(t, w.advance(250*time.Millisecond).Starts)
	}
	w.advance(250 * time.Millisecond)
	require.Len(t, w.advance(250*time.Millisecond).Starts, 1)
}

// Tasks that run until their job is cancelled stay down because the rack of their data is full, while other
// tasks of their job run. Guards against long-running tasks of which each end starts the wait of all anew.
func TestLongRunningTasksDoNotWaitForEachOther(t *testing.T) {
	w := newFixture(3, 1)
	spec := step(8, 1, time.Minute)
	spec.DataRack, spec.LongRunning = "r1", true
	j := w.submit(draft, "a", spec)
	require.Len(t, w.advance(0).Starts, 8)
	tasks := j.Occurrences[0].Steps[0].Tasks
	w.c.End(tasks[0].Run, jobstate.EndFailed, "", w.now)
	w.submit(urgent, "b", step(1, 1, time.Minute)).Submission.Steps[0].DataRack = "r1"
	require.Len(t, w.advance(0).Starts, 1)
	for n := 1; tasks[0].Run == nil; n++ {
		require.LessOrEqual(t, n, int(maxIdle/(250*time.Millisecond)), "the task waits")
		w.advance(250 * time.Millisecond)
		if r := tasks[1+n%7].Run; r != nil {
			w.c.End(r, jobstate.EndFailed, "", w.now)
			w.c.Place(tasks[1+n%7], r.Worker, r.Number+1, w.now).Confirm(w.now)
		}
	}
}

// One task of a job is recorded on a worker that does not answer, so that nothing of the job works; the other one may
// run now, but the rack of its data is full for long. Guards against a wait for better room that such a run makes
// unbounded.
func TestRunOnAnUnresponsiveWorkerDoesNotKeepOtherTasksWaiting(t *testing.T) {
	w := newFixture(3, 4)
	spec := step(2, 8, time.Minute)
	spec.DataRack = "r1"
	full := step(24, 1, 10*time.Minute)
	full.DataRack = "r1"
	w.submit(draft, "b", full)
	require.Len(t, w.advance(0).Starts, 24)
	j := w.submit(draft, "a", spec)
	require.Len(t, w.advance(0).Starts, 1)
	worker := j.Runs()[0].Worker
	worker.Unresponsive, worker.UnresponsiveStored = true, true
	for range int(maxIdle/(50*time.Millisecond)) + 1 {
		w.advance(50 * time.Millisecond)
	}
	require.Len(t, j.Runs(), 2, "room for the other task twice over is outside the rack")
}

// reclaimLimit is the time within which the first step of an urgent job within the guarantee of its workspace starts.
const reclaimLimit = 2700 * time.Millisecond

// A full service stops less urgent runs for a gang within the guarantee of its workspace. Guards against overdue jobs,
// of which many wait, that take each place as soon as it becomes free, so that the gang stops run after run and does
// not fit.
func TestOverdueJobsLeaveReclaimedRoomToItsGang(t *testing.T) {
	w := newFixture(1, 16)
	w.workspaces["a"] = &workload.Workspace{GuaranteedAccelerators: 64}
	w.submit(batch, "b", step(16*8, 1, time.Minute))
	require.Len(t, w.advance(0).Starts, 16*8)
	for range 300 {
		w.submit(batch, "c", step(4, 1, time.Minute))
	}
	for range 40 {
		require.Empty(t, w.advance(50*time.Millisecond).Starts)
	}
	j := w.submit(urgent, "a", gang(8, 8, 10*time.Second))
	stops := 0
	stopping := map[*jobstate.Run]time.Time{}
	for since := w.now; !j.MayBeRunning() && w.now.Sub(since) < reclaimLimit; {
		plan := w.advance(50 * time.Millisecond)
		for n, r := range plan.Stops {
			stopping[r] = w.now.Add(time.Duration(50+n*37%400) * time.Millisecond)
		}
		stops += len(plan.Stops)
		for r, at := range stopping {
			if !w.now.Before(at) {
				w.c.End(r, jobstate.EndStopped, "", w.now)
				delete(stopping, r)
			}
		}
	}
	assert.True(t, j.MayBeRunning(), "not started after %v and %d stops", reclaimLimit, stops)
}
