package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// configure sets the weight and the cap on accelerators of a workspace.
func (w *fixture) configure(name string, weight float64, accelerators int) *workload.Workspace {
	w.workspaces[name] = &workload.Workspace{Name: name, Weight: weight, Cap: workload.Resources{Accelerators: accelerators}}
	return w.workspaces[name]
}

// used returns the accelerators that the runs of the workspace hold.
func (w *fixture) used(workspace string) int {
	n := 0
	for _, worker := range w.c.Workers {
		for run := range worker.Runs {
			if s := run.Task.Step; s.Occurrence.Job.Submission.Workspace == workspace {
				n += s.Spec.Allocation().Accelerators
			}
		}
	}
	return n
}

// endAfter ends the runs that have run for as long as their estimate.
func (w *fixture) endAfter() {
	for _, worker := range w.c.SortedWorkers() {
		for run := range worker.Runs {
			if w.now.Sub(run.PlannedAt) >= run.Task.Step.Spec.Estimate && run.Phase == jobstate.Running {
				w.c.End(run, jobstate.EndDone, "", w.now)
			}
		}
	}
}

// Load: a workspace sends a step of 100 tasks, which is ten times its cap. Guards against starts above the cap, also of
// overdue units, and against a step that stands still although its tasks end.
func TestWideStepRunsInWavesUnderItsCap(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 10)
	j := w.submit(batch, "a", step(100, 1, 2*time.Second))
	longest := 0
	for !j.State.Ended() && w.now.Before(time.Unix(1060, 0)) {
		w.advance(500 * time.Millisecond)
		longest = max(longest, w.used("a"))
		if s := j.Occurrences[0].Steps[0]; s.Waiting() > 0 {
			require.Equal(t, 10, w.used("a"))
			require.Equal(t, jobstate.WaitCap, s.WaitReason)
			require.Empty(t, s.Reserved)
		}
		w.endAfter()
	}
	assert.Equal(t, workload.Completed, j.State)
	assert.Equal(t, 10, longest)
}

// Load: the cap of a workspace is lowered to half of what it has running, and more work arrives. Guards against stops
// because of a lowered cap, against starts before the use is below it, and against a raised cap that has no effect.
func TestCapLoweredUnderLoad(t *testing.T) {
	w := newFixture(4, 8)
	limits := w.configure("a", 0, 40)
	w.submit(draft, "a", step(40, 1, 10*time.Second))
	w.advance(time.Second)
	limits.Cap.Accelerators = 20
	w.submit(draft, "a", step(40, 1, 10*time.Second))
	w.submit(urgent, "a", gang(4, 5, 10*time.Second))
	w.workspaces["a"].GuaranteedAccelerators = 0
	for range 30 {
		plan := w.advance(100 * time.Millisecond)
		require.Empty(t, plan.Starts)
		for _, r := range plan.Stops {
			require.Contains(t, r.StopReason, "job003", "only for the urgent job of the same workspace")
		}
	}
	limits.Cap.Accelerators = 70
	w.advance(0)
	assert.Equal(t, 70, w.used("a"))
}

// Guards against stops by a lowered cap if no unit is more urgent than the runs.
func TestLoweredCapStopsNothing(t *testing.T) {
	w := newFixture(4, 8)
	limits := w.configure("a", 2, 40)
	w.submit(draft, "a", step(60, 1, 3*time.Second))
	w.advance(time.Second)
	limits.Cap.Accelerators = 10
	for range 40 {
		plan := w.advance(100 * time.Millisecond)
		require.Empty(t, plan.Stops)
		if len(plan.Starts) > 0 {
			require.LessOrEqual(t, w.used("a"), 10)
		}
		w.endAfter()
	}
	assert.Equal(t, 10, w.used("a"))
}

// Load: a workspace whose cap is exactly one gang sends gangs and a steady flow of single tasks. Guards against a gang
// that starts in part or above the cap, and against one that starves because single tasks take each part of the cap that
// becomes free.
func TestCapOfExactlyOneGang(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 64)
	var gangs []*jobstate.Job
	for n := range 1200 {
		if n%200 == 0 {
			gangs = append(gangs, w.submit(draft, "a", gang(8, 8, 2*time.Second)))
		}
		w.submit(draft, "a", step(4, 1, time.Second))
		w.advance(50 * time.Millisecond)
		require.LessOrEqual(t, w.used("a"), 64)
		w.endAfter()
		for _, j := range gangs {
			if s := j.Occurrences[0].Steps[0]; s.Active > 0 {
				require.Len(t, j.Runs(), 8)
			}
		}
	}
	assert.True(t, gangs[0].State.Ended())
	assert.True(t, gangs[1].State.Ended())
}

// Load: tasks and a gang of a workspace, both urgent and waiting for long, together exceed its cap, of which nothing is in
// use. Guards against parts of the cap that are kept for both of them, so that neither starts (found by TestFuzzCaps, seed 19).
func TestPartsOfTheCapAreNotKeptForTwoUnitsAtOnce(t *testing.T) {
	w := newFixture(4, 8)
	limits := w.configure("a", 0, 12)
	first := w.submit(urgent, "a", step(2, 4, 10*time.Second))
	whole := w.submit(urgent, "a", gang(6, 3, time.Second))
	blocker := w.submit(urgent, "a", step(12, 1, 10*time.Second))
	blocker.Occurrences[0].Steps[0].ReadyAt = w.now.Add(-time.Hour)
	w.advance(20 * time.Second)
	limits.Cap.Accelerators = 18
	w.advance(time.Second)
	for range 100 {
		w.endAfter()
		w.advance(500 * time.Millisecond)
	}
	assert.True(t, first.State.Ended())
	assert.True(t, whole.State.Ended())
}

// Load: the batch work of a workspace fills its cap when a gang within its guarantee arrives, and other workspaces' work
// runs beside it. Guards against a gang that waits for batch work of its own, against stops of other workspaces' runs for
// it, and against more stops than it needs, or again while the first are in progress.
func TestGuaranteedGangPreemptsOwnWorkAtItsCap(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 48).GuaranteedAccelerators = 32
	w.submit(batch, "a", step(44, 1, time.Hour))
	w.submit(batch, "b", step(100, 1, time.Hour))
	w.advance(5 * time.Second)
	owed := w.submit(urgent, "a", gang(4, 8, time.Second))
	plan := w.advance(100 * time.Millisecond)
	require.Len(t, plan.Stops, 28, "4 of the cap are free")
	require.Len(t, plan.Reclaims, 1)
	assert.True(t, plan.Reclaims[0].ForCap)
	for _, r := range plan.Stops {
		require.Equal(t, "a", r.Task.Step.Occurrence.Job.Submission.Workspace)
	}
	require.Equal(t, jobstate.WaitCap, owed.Occurrences[0].Steps[0].WaitReason)
	w.submit(draft, "a", step(1, 0, time.Second), step(4, 1, time.Second))
	again := w.advance(100 * time.Millisecond)
	require.Empty(t, again.Stops)
	require.Len(t, again.Starts, 1, "the free part of the cap is kept for the gang; a task without accelerators needs none of it")
	w.endStops(plan)
	assert.Len(t, w.advance(0).Starts, 4)
	w.requireWithinCapacity(t)
}

// Guards against more stops for a guaranteed gang than it needs beside the runs that are being stopped for another cause.
func TestStopsInProgressCountForTheCap(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 32).GuaranteedAccelerators = 16
	w.submit(batch, "a", step(32, 1, time.Hour))
	w.advance(time.Second)
	for _, r := range w.c.Jobs["job001"].Runs()[:10] {
		r.RequestStop("test", w.now)
	}
	w.submit(urgent, "a", gang(2, 8, time.Second))
	require.Len(t, w.advance(0).Stops, 6)
}

// Load: two guaranteed gangs arrive at once at a cap full of own batch work. Guards against counting the same stops for
// both.
func TestTwoGuaranteedGangsAtTheCap(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 32).GuaranteedAccelerators = 32
	w.submit(batch, "a", step(32, 1, time.Hour))
	w.advance(5 * time.Second)
	w.submit(urgent, "a", gang(2, 8, time.Second))
	w.submit(urgent, "a", gang(2, 8, time.Second))
	plan := w.advance(100 * time.Millisecond)
	require.Len(t, plan.Stops, 32)
	w.endStops(plan)
	assert.Len(t, w.advance(0).Starts, 4)
}

// Guards against a unit that waits for its cap and keeps other work from the room it would need, or stops runs of other
// workspaces for it.
func TestUnitAtItsCapHoldsNoRoom(t *testing.T) {
	w := newFixture(2, 8)
	w.configure("a", 0, 16)
	w.submit(batch, "b", step(100, 1, time.Hour))
	w.submit(draft, "a", gang(2, 8, time.Hour))
	w.advance(3 * time.Second)
	waiting := w.submit(draft, "a", gang(2, 8, time.Hour)).Occurrences[0].Steps[0]
	waiting.Reserved = []jobstate.Reservation{{Worker: w.c.SortedWorkers()[15], Tasks: 1}}
	waiting.ReclaimedAt = w.now
	other := w.submit(draft, "b", step(12, 1, time.Hour))
	for range 10 {
		plan := w.advance(time.Second)
		require.Empty(t, plan.Stops)
	}
	assert.Equal(t, jobstate.WaitCap, waiting.WaitReason)
	assert.Empty(t, waiting.Reserved)
	assert.Len(t, other.Runs(), 12)
}

// Guards against runs that do not count: on workers that are unlisted, draining or silent, runs that are being stopped,
// and tasks that a worker reports and the owner does not track.
func TestAllRunsCountTowardsTheCap(t *testing.T) {
	for name, change := range map[string]func(*fixture, []*jobstate.Run){
		"unlisted": func(_ *fixture, runs []*jobstate.Run) { runs[0].Worker.Listed = false },
		"draining": func(_ *fixture, runs []*jobstate.Run) { runs[0].Worker.Draining = true },
		"silent": func(_ *fixture, runs []*jobstate.Run) {
			runs[0].Worker.Unresponsive, runs[0].Worker.Answered = true, false
		},
		"stopped": func(w *fixture, runs []*jobstate.Run) { runs[0].RequestStop("test", w.now) },
		"planned": func(_ *fixture, runs []*jobstate.Run) { runs[0].Phase = jobstate.Planned },
		"untracked": func(w *fixture, runs []*jobstate.Run) {
			worker, task := runs[0].Worker, runs[0].Task.Name().String()
			w.c.End(runs[0], jobstate.EndNeverStarted, "", w.now)
			worker.AddUntracked(task, runs[0].Task.Step.Spec.Allocation())
		},
	} {
		w := newFixture(1, 8)
		w.configure("a", 0, 16)
		j := w.submit(draft, "a", step(2, 8, time.Hour))
		w.advance(time.Second)
		change(w, j.Runs())
		more := w.submit(draft, "a", step(1, 8, time.Hour))
		for range 5 {
			assert.Empty(t, w.advance(time.Second).Starts, name)
		}
		assert.Equal(t, jobstate.WaitCap, more.Occurrences[0].Steps[0].WaitReason, name)
	}
}

// Guards against starts of a gang larger than a cap that was lowered after its acceptance, and against stops of own runs
// for it, which could not help.
func TestGangLargerThanItsCapWaits(t *testing.T) {
	w := newFixture(4, 8)
	limits := w.configure("a", 0, 40)
	limits.GuaranteedAccelerators = 64
	w.submit(batch, "a", step(10, 1, time.Hour))
	w.advance(time.Second)
	g := w.submit(urgent, "a", gang(6, 8, time.Second))
	small := w.submit(batch, "a", step(5, 1, time.Hour))
	for range 10 {
		require.Empty(t, w.advance(time.Second).Stops)
	}
	assert.Empty(t, g.Runs())
	assert.Len(t, small.Runs(), 5)
	limits.Cap.Accelerators = 64
	assert.Len(t, w.advance(0).Starts, 6)
}

// Load: one workspace sends 600 gangs and tasks, nine others a few each; all have the same weight and cap. Guards against
// a hot workspace that keeps calm ones waiting, and against room that stays idle when only the hot one has work.
func TestHotWorkspaceBesideNineCalm(t *testing.T) {
	w := newFixture(4, 8) // 256 accelerators
	for n := range 10 {
		w.configure(fmt.Sprint("w", n), 1, 200)
	}
	for n := range 300 {
		w.submit(draft, "w0", gang(4, 2, 2*time.Second), step(8, 1, 2*time.Second))
		if n%50 == 49 {
			w.advance(100 * time.Millisecond)
		}
	}
	w.advance(100 * time.Millisecond)
	require.Equal(t, 200, w.used("w0"), "what is idle is given to the hot one, up to its cap")
	var calm []*jobstate.Job
	for k := range 100 {
		if k%10 == 0 {
			for n := 1; n < 10; n++ {
				calm = append(calm, w.submit(draft, fmt.Sprint("w", n), step(6, 1, 2*time.Second)))
			}
		}
		w.advance(100 * time.Millisecond)
		require.LessOrEqual(t, w.used("w0"), 200)
		w.endAfter()
	}
	late := 0
	for _, j := range calm {
		if s := j.Occurrences[0].Steps[0]; s.Waiting() > 0 {
			late++
		}
	}
	assert.Zero(t, late, "of %d calm jobs", len(calm))
}

// Load: 98 workspaces with weights from 1 to 7 send more than 630 workers can run. Guards against use that does not
// follow the weights, against a workspace that starts nothing, and against one that takes all room in one decision.
func TestNinetyEightWorkspacesShareByWeight(t *testing.T) {
	w := newFixture(63, 10)
	total := 0.0
	for n := range 98 {
		w.configure(fmt.Sprint("w", n), float64(1+n%7), 400)
		total += float64(1 + n%7)
		for range 6 {
			w.submit(draft, fmt.Sprint("w", n), step(40, 1, time.Hour))
		}
	}
	w.advance(0)
	const all = 630 * 8
	sum := 0
	for n := range 98 {
		name := fmt.Sprint("w", n)
		due := min(240, all*float64(1+n%7)/total)
		assert.InDelta(t, due, w.used(name), 0.3*due+1, name)
		sum += w.used(name)
	}
	assert.Equal(t, all, sum)
	w.requireWithinCapacity(t)
}

// Load: a workspace of small weight has a long run that takes more than its share, while another one sends without end.
// Guards against a workspace that starts nothing for ever.
func TestWorkspaceAboveItsShareDoesNotStarve(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 1, 0)
	w.configure("b", 9, 0)
	w.submit(draft, "a", step(32, 1, time.Hour))
	w.advance(0)
	w.submit(draft, "b", step(32, 1, time.Second))
	w.advance(0)
	waiting := w.submit(draft, "a", step(40, 1, time.Second))
	for range 400 {
		w.submit(draft, "b", step(4, 1, time.Second))
		w.advance(100 * time.Millisecond)
		w.endAfter()
		if n := waiting.Occurrences[0].Steps[0].Active; n > 0 {
			require.Equal(t, 1, n, "one task starts before its share allows, not the step")
			return
		}
	}
	t.Fatal("the unit waits for more than 40 s")
}

// Guards against an order by use among workspaces without weight, whether or not another workspace has one: the earlier
// deadline decides.
func TestOrderWithoutWeightsIsUnchanged(t *testing.T) {
	for _, weighted := range []bool{false, true} {
		w := newFixture(1, 1)
		if weighted {
			w.configure("other", 3, 50)
			w.submit(batch, "other", step(1, 1, time.Second))
		}
		w.submit(draft, "a", step(6, 1, time.Hour))
		w.advance(time.Second)
		w.submit(draft, "b", step(1, 1, 2*time.Second))
		first := w.submit(draft, "a", step(1, 1, time.Second))
		plan := w.advance(0)
		require.NotEmpty(t, plan.Starts)
		assert.Same(t, first, plan.Starts[0].Task.Step.Occurrence.Job)
	}
}

// Guards against figures about a workspace that differ from what the decision counts.
func TestUse(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 2, 20)
	w.submit(draft, "a", step(16, 1, time.Hour))
	w.submit(draft, "b", step(4, 1, time.Hour))
	w.advance(15 * time.Second)
	w.submit(draft, "a", step(1, 1, time.Hour))
	blocked := w.submit(draft, "a", gang(3, 8, time.Hour)).Occurrences[0].Steps[0]
	w.advance(0)
	explained := w.p.Explain(w.c, blocked, w.workspace, w.now).Cap
	require.NotNil(t, explained)
	assert.Equal(t, 17, explained.Used.Accelerators)
	assert.Equal(t, 24, explained.Need.Accelerators)
	assert.True(t, explained.TooSmall, "24 of 20")
	use := w.p.Use(w.c, w.workspace, w.now)
	require.Len(t, use, 1)
	assert.Equal(t, 85, use["a"].Percent)
	assert.Equal(t, workload.Resources{MilliCPU: 17 * 11_000, MemoryMB: 17 * 16_000, Accelerators: 17}, use["a"].Used)
	assert.InDelta(t, 17.0/64/2, use["a"].Share, 1e-9)
	assert.Nil(t, w.p.Use(w.c, func(string) *workload.Workspace { return nil }, w.now))
}
