package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// fixture is a cluster with a policy and a simulated clock.
type fixture struct {
	c          *jobstate.Cluster
	p          *placement.Policy
	now        time.Time
	workspaces map[string]*workload.Workspace
	next       int
}

const (
	urgent = 0
	draft  = 1
	batch  = 2
)

// newFixture returns a cluster with racks of workers that have 8 accelerators and 128 cores each.
func newFixture(racks, perRack int) *fixture {
	w := &fixture{c: jobstate.New(), now: time.Unix(1000, 0), workspaces: map[string]*workload.Workspace{},
		p: placement.New(placement.Options{FarFactor: 3, StopTimeout: 200 * time.Millisecond})}
	for r := range racks {
		for n := range perRack {
			worker := w.c.EnsureWorker(fmt.Sprintf("r%d-%d", r, n), 1, w.now)
			worker.Rack, worker.DataCentre, worker.Service = fmt.Sprint("r", r), fmt.Sprint("z", r%2), "service"
			worker.Capacity = workload.Resources{MilliCPU: 128_000, MemoryMB: 256_000, Accelerators: 8}
			worker.Listed, worker.Answered, worker.Confirmed = true, true, true
		}
	}
	return w
}

func step(n, accelerators int, estimate time.Duration) workload.Step {
	return workload.Step{Tasks: n, Estimate: estimate, Demand: workload.Resources{MilliCPU: 11_000, MemoryMB: 16_000, Accelerators: accelerators}}
}

func gang(n, accelerators int, estimate time.Duration) workload.Step {
	s := step(n, accelerators, estimate)
	s.Gang, s.SameRack = true, true
	return s
}

func (w *fixture) submit(priority int, workspace string, steps ...workload.Step) *jobstate.Job {
	w.next++
	stretch := 3.0
	if priority == urgent {
		stretch = 1.5
	}
	j := w.c.AddJob(&workload.Submission{ID: fmt.Sprintf("job%03d", w.next), Workspace: workspace, Steps: steps,
		Queue: workload.Route{Name: fmt.Sprint("p", priority), Service: "service", Priority: priority, Stretch: stretch, TargetLatency: 250 * time.Millisecond, MaxAttempts: 3}}, w.now)
	j.OpenNext(w.now.UnixMilli(), w.now)
	return j
}

func (w *fixture) decide() placement.Plan {
	return w.p.Decide(w.c, w.workspace, w.now)
}

func (w *fixture) workspace(name string) *workload.Workspace { return w.workspaces[name] }

// advance makes a decision, confirms the planned starts and moves the clock forward.
func (w *fixture) advance(d time.Duration) placement.Plan {
	plan := w.decide()
	for _, r := range plan.Starts {
		r.Confirm(w.now)
	}
	w.now = w.now.Add(d)
	return plan
}

// endStops ends the runs that the plan stops.
func (w *fixture) endStops(plan placement.Plan) {
	for _, r := range plan.Stops {
		w.c.End(r, jobstate.EndStopped, "", w.now)
	}
}

func (w *fixture) requireWithinCapacity(t *testing.T) {
	t.Helper()
	for _, worker := range w.c.Workers {
		require.True(t, worker.Used.Fits(worker.Capacity), "%s: %+v of %+v", worker.ID, worker.Used, worker.Capacity)
	}
}

func racks(runs []*jobstate.Run) map[string]int {
	n := map[string]int{}
	for _, r := range runs {
		n[r.Worker.Rack]++
	}
	return n
}

// Guards against spreading an urgent gang over several racks of an idle service, where it would take three
// times as long.
func TestGangStaysInOneRack(t *testing.T) {
	w := newFixture(3, 4)
	w.submit(urgent, "a", gang(4, 8, time.Second))
	plan := w.advance(0)
	require.Len(t, plan.Starts, 4)
	assert.Len(t, racks(plan.Starts), 1)
	w.requireWithinCapacity(t)
}

// Guards against spreading small tasks over all workers, which leaves no whole worker for gangs.
func TestSmallTasksArePacked(t *testing.T) {
	w := newFixture(2, 4)
	w.submit(batch, "a", step(8, 1, 10*time.Second))
	plan := w.advance(0)
	require.Len(t, plan.Starts, 8)
	workers := map[string]bool{}
	for _, r := range plan.Starts {
		workers[r.Worker.ID] = true
	}
	assert.Len(t, workers, 1)
}

// An urgent gang within the guarantee of its workspace arrives on a service full of batch tasks. Guards
// against a guarantee that cannot be reclaimed by a single round of stops.
func TestGuaranteedGangReclaimsAFullService(t *testing.T) {
	w := newFixture(2, 4)
	w.workspaces["a"] = &workload.Workspace{GuaranteedAccelerators: 32}
	w.submit(batch, "b", step(64, 1, 10*time.Second))
	w.advance(3 * time.Second)
	j := w.submit(urgent, "a", gang(3, 8, 2*time.Second))
	plan := w.advance(150 * time.Millisecond)
	require.NotEmpty(t, plan.Stops)
	assert.Len(t, plan.Stops, 24, "no more than the gang needs")
	w.endStops(plan)
	plan = w.advance(0)
	require.Len(t, plan.Starts, 3)
	assert.Len(t, racks(plan.Starts), 1)
	assert.Equal(t, j, plan.Starts[0].Task.Step.Occurrence.Job)
	w.requireWithinCapacity(t)
}

// Guards against a less urgent gang that takes resources freed for an urgent one before the last stop is
// confirmed.
func TestReservedRoomIsNotTaken(t *testing.T) {
	w := newFixture(1, 3)
	w.workspaces["a"] = &workload.Workspace{GuaranteedAccelerators: 16}
	w.submit(batch, "b", step(24, 1, 10*time.Second))
	w.advance(time.Second)
	w.submit(urgent, "a", gang(2, 8, 2*time.Second))
	plan := w.advance(100 * time.Millisecond)
	require.Len(t, plan.Stops, 16)
	w.submit(draft, "b", step(4, 4, 5*time.Second))
	for _, r := range plan.Stops[:12] { // the others are not confirmed yet
		w.c.End(r, jobstate.EndStopped, "", w.now)
	}
	assert.Empty(t, w.advance(50*time.Millisecond).Starts)
	for _, r := range plan.Stops[12:] {
		w.c.End(r, jobstate.EndStopped, "", w.now)
	}
	plan = w.advance(0)
	require.NotEmpty(t, plan.Starts)
	assert.Equal(t, urgent, plan.Starts[0].Task.Step.Occurrence.Job.Route.Priority)
	assert.Equal(t, 2, len(plan.Starts))
}

// Two urgent gangs arrive shortly after each other on a service full of batch tasks, and the second one,
// with the earlier deadline, takes the resources that were freed for the first. Guards against the first
// gang waiting for these resources any longer.
func TestTakenReservationIsReplaced(t *testing.T) {
	w := newFixture(1, 6)
	w.submit(batch, "b", step(48, 1, 10*time.Second))
	w.advance(time.Second)
	slow := w.submit(urgent, "a", gang(2, 8, 6*time.Second))
	first := w.advance(10 * time.Millisecond)
	require.Len(t, first.Stops, 16)
	quick := w.submit(urgent, "a", gang(2, 8, time.Second))
	second := w.decide()
	w.endStops(first) // frees the resources that were reserved for the slow gang
	for _, run := range w.advance(10 * time.Millisecond).Starts {
		require.Equal(t, quick, run.Task.Step.Occurrence.Job)
	}
	w.endStops(second)
	var started []*jobstate.Run
	for range 3 {
		plan := w.advance(10 * time.Millisecond)
		started = append(started, plan.Starts...)
		w.endStops(plan)
	}
	require.Len(t, started, 2, "the slow gang gets other resources")
	assert.Equal(t, slow, started[0].Task.Step.Occurrence.Job)
	w.requireWithinCapacity(t)
}

// An urgent job beyond the guarantee competes with long batch work without checkpoints. Guards against
// discarding far more work than the urgent job consists of.
func TestLossIsBoundedOutsideTheGuarantee(t *testing.T) {
	w := newFixture(1, 2)
	w.submit(batch, "b", step(16, 1, 100*time.Second))
	w.advance(60 * time.Second)
	w.submit(urgent, "a", gang(1, 8, time.Second))
	assert.Empty(t, w.advance(0).Stops)
}

// An urgent job beyond the guarantee competes with long checkpointing work, which costs little to stop. Guards
// against an urgent job that waits for such work.
func TestCheckpointingWorkIsPreempted(t *testing.T) {
	w := newFixture(1, 2)
	s := step(16, 1, 100*time.Second)
	s.Checkpointing = true
	w.submit(batch, "b", s)
	w.advance(60 * time.Second)
	w.submit(urgent, "a", gang(1, 8, 2*time.Second))
	assert.Len(t, w.advance(0).Stops, 8)
}

// Guards against a wide gang that never starts because a stream of small batch tasks takes each accelerator
// as soon as it is free.
func TestWideGangGetsAReservation(t *testing.T) {
	w := newFixture(1, 4)
	w.submit(batch, "b", step(32, 1, 10*time.Second))
	first := w.advance(1500 * time.Millisecond).Starts
	require.Len(t, first, 32)
	wide := w.submit(draft, "a", gang(2, 8, 5*time.Second))
	w.submit(batch, "b", step(200, 1, 10*time.Second))
	w.advance(1500 * time.Millisecond)
	started := time.Time{}
	for _, r := range first { // the first tasks end one after another
		w.c.End(r, jobstate.EndDone, "", w.now)
		plan := w.advance(250 * time.Millisecond)
		for _, s := range plan.Starts {
			if s.Task.Step.Occurrence.Job == wide && started.IsZero() {
				started = w.now
			}
		}
		w.endStops(plan)
		w.requireWithinCapacity(t)
	}
	assert.False(t, started.IsZero(), "the gang starts while small tasks still arrive")
}

// Guards against a gang that keeps waiting for a stalled member, and against a restart on the same worker.
func TestGangWithAStalledMemberRestarts(t *testing.T) {
	w := newFixture(2, 4)
	w.submit(urgent, "a", gang(3, 8, 2*time.Second))
	runs := w.advance(0).Starts
	for n := range 5 {
		w.now = w.now.Add(450 * time.Millisecond)
		runs[0].Observe(5, w.now.UnixMilli(), w.now)
		runs[1].Observe(float64(20*n), w.now.UnixMilli(), w.now)
		runs[2].Observe(float64(20*n), w.now.UnixMilli(), w.now)
		if plan := w.decide(); len(plan.Stops) > 0 {
			require.Len(t, plan.Stops, 3)
			w.endStops(plan)
			for _, r := range w.advance(0).Starts {
				assert.NotEqual(t, runs[0].Worker, r.Worker)
			}
			return
		}
	}
	t.Fatal("the gang was left on the worker where a member is stalled")
}

// Guards against stopping runs as stragglers because of ordinary differences in speed, or because they are
// all slower outside the rack of their data.
func TestOrdinarySpeedDifferencesAreTolerated(t *testing.T) {
	w := newFixture(2, 6)
	s := step(6, 8, 4*time.Second)
	s.DataRack = "r0"
	w.submit(batch, "a", s)
	w.submit(draft, "a", step(6, 8, 4*time.Second))
	w.advance(0)
	for n := range 8 {
		w.now = w.now.Add(450 * time.Millisecond)
		for _, worker := range w.c.Workers {
			for r := range worker.Runs {
				speed := 10.0
				if r.Worker.ID[3] == '0' {
					speed = 5
				}
				r.Observe(float64(n)*speed, w.now.UnixMilli(), w.now)
			}
		}
		require.Empty(t, w.decide().Stops)
	}
}

// Guards against treating a task of several hours as stalled because its percentage changes only once every
// few minutes.
func TestLongTasksAreNotStalled(t *testing.T) {
	w := newFixture(1, 4)
	w.submit(batch, "a", step(4, 8, 2*time.Hour))
	runs := w.advance(0).Starts
	for n := range 1200 {
		w.now = w.now.Add(time.Second)
		for _, r := range runs {
			r.Observe(float64(n/144), w.now.UnixMilli(), w.now) // takes twice its estimate
		}
		require.Empty(t, w.decide().Stops, "after %d s", n)
	}
}

// Guards against retrying a task on the worker where it failed: a worker that fails quickly appears free
// and so attracts more tasks.
func TestRetryAvoidsTheWorkerThatFailed(t *testing.T) {
	w := newFixture(1, 2)
	w.submit(batch, "a", step(1, 1, time.Second))
	first := w.advance(time.Second).Starts[0]
	w.c.End(first, jobstate.EndFailed, "", w.now)
	second := w.advance(0).Starts[0]
	assert.NotEqual(t, first.Worker, second.Worker)
}

// Guards against starts on workers that are draining, are not listed, have not answered, or are in an
// evacuated data centre.
func TestStartsOnlyWhereTheyAreAccepted(t *testing.T) {
	w := newFixture(2, 2)
	w.c.Workers["r0-0"].Draining = true
	w.c.Workers["r0-1"].Answered = false
	w.c.Workers["r1-0"].Listed = false
	w.c.Evacuated["z1"] = true
	w.submit(batch, "a", step(4, 1, time.Second))
	assert.Empty(t, w.advance(0).Starts)
	delete(w.c.Evacuated, "z1")
	for _, r := range w.advance(0).Starts {
		assert.Equal(t, "r1-1", r.Worker.ID)
	}
}

// Guards against more tasks of a step on a worker than MaxPerWorker allows.
func TestMaxPerWorker(t *testing.T) {
	w := newFixture(1, 2)
	s := step(6, 1, time.Second)
	s.MaxPerWorker = 2
	w.submit(batch, "a", s)
	assert.Len(t, w.advance(0).Starts, 4)
	assert.Empty(t, w.advance(0).Starts)
}

// Guards against a task on a worker without the label that it requires.
func TestLabel(t *testing.T) {
	w := newFixture(1, 2)
	w.c.Workers["r0-1"].Labels = []string{"b", "r0"}
	s := step(2, 1, time.Second)
	s.Label = "b"
	w.submit(batch, "a", s)
	for _, r := range w.advance(0).Starts {
		assert.Equal(t, "r0-1", r.Worker.ID)
	}
}

// Guards against a large gang that never starts because smaller ones overtake it.
func TestLargeGangIsNotStarved(t *testing.T) {
	w := newFixture(2, 4)
	large := w.submit(draft, "large", gang(4, 8, 5*time.Second))
	var running []*jobstate.Run
	for range 60 {
		w.submit(draft, "small", gang(1, 4, 2*time.Second))
		running = append(running, w.advance(500*time.Millisecond).Starts...)
		for len(running) > 10 {
			if running[0].Task.Run == running[0] {
				w.c.End(running[0], jobstate.EndDone, "", w.now)
			}
			running = running[1:]
		}
	}
	assert.True(t, large.Started)
}
