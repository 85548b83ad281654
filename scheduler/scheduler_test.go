package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// testCentre runs the Scheduler on a data centre of workers with 4 accelerators, three to a rack.
type testCentre struct {
	t   *testing.T
	d   *state.DataCentre
	s   *Scheduler
	now time.Time
}

func newTestCentre(t *testing.T, workers int, configured state.Configured) *testCentre {
	r := &testCentre{t: t, d: state.New("a"), s: New(Options{}), now: epoch}
	for i := range workers {
		r.apply(state.WorkerJoined{Worker: structs.Worker{ID: fmt.Sprintf("w%d", i), Rack: i / 3, Capacity: res(4)}})
	}
	r.configure(configured)
	return r
}

func (r *testCentre) configure(e state.Configured) {
	e.Revision, e.Now = r.d.Revision+1, r.now
	if e.Stage == "" {
		e.Stage = structs.StageOpen
	}
	r.apply(e)
}

func (r *testCentre) apply(e state.Event) { require.NoError(r.t, r.d.Apply(e)) }

func (r *testCentre) submit(id string, s structs.Shape, declared time.Duration, change func(*structs.Job)) {
	j := structs.Job{ID: id, Workspace: id[:1], Class: structs.ClassStandard, Shape: s, Checkpoint: true, Declared: declared, Grace: time.Second, Submitted: r.now}
	if change != nil {
		change(&j)
	}
	r.apply(state.JobSubmitted{Job: j, Now: r.now})
}

// decide applies a decision and immediately confirms its starts and preemptions.
func (r *testCentre) decide() structs.Plan {
	plan := r.s.Decide(r.d, r.now)
	r.apply(state.PlanAccepted{Plan: plan, Now: r.now})
	for _, a := range plan.Actions {
		switch j := r.d.Job(a.Job); a.Kind {
		case structs.ActionStart:
			r.apply(state.StartConfirmed{Job: j.ID, Attempt: j.Attempt, Now: r.now})
		case structs.ActionPreempt:
			r.apply(state.JobStopped{Job: j.ID, Attempt: j.Attempt, Cooldown: time.Minute, Now: r.now})
		}
	}
	return plan
}

func idsOfKind(plan structs.Plan, kind structs.ActionKind) []string {
	var out []string
	for _, a := range plan.Actions {
		if a.Kind == kind {
			out = append(out, a.Job+a.GrantID)
		}
	}
	return out
}

// Guards against jobs that are queued for ever because they can never run, and against the refusal
// of jobs that fit when lost workers are back.
func TestNeverRunnableIsRefusedByLimit(t *testing.T) {
	fleet := structs.FleetSpec{Workers: 6, WorkersPerRack: 3, Capacity: res(4)}
	r := newTestCentre(t, 3, state.Configured{Fleet: fleet, Services: []structs.Service{{Name: "small", MaxTasks: 2}}})
	r.submit("a/wide", shape(1, 5, false), time.Minute, nil)
	r.submit("a/many", shape(7, 4, false), time.Minute, nil)
	r.submit("a/over", shape(3, 1, false), time.Minute, func(j *structs.Job) { j.Service = "small" })
	r.submit("a/out", shape(5, 4, false), time.Minute, nil)
	reasons := map[string]string{}
	for _, a := range r.decide().Actions {
		if a.Kind == structs.ActionRefuse {
			reasons[a.Job] = a.Reason
		}
	}
	assert.Equal(t, map[string]string{
		"a/wide": "can never run: 5 slots per task exceed the 4 of the largest worker",
		"a/many": "can never run: 7 tasks exceed the 6 that the fleet of a can hold",
		"a/over": "can never run: 3 tasks exceed max_tasks 2 of service small",
	}, reasons)
	assert.Equal(t, WaitsForCapacity, Feasible(r.d, &r.d.Job("a/out").Job).Verdict)
}

// Guards against small jobs that starve a large one, and against resources that stay idle although
// a short job would end before the large one starts.
func TestBackfillAroundReservation(t *testing.T) {
	r := newTestCentre(t, 3, state.Configured{})
	r.submit("a/run", shape(2, 4, false), 10*time.Minute, nil)
	r.decide()
	r.submit("b/large", shape(3, 4, true), time.Hour, nil)
	assert.Equal(t, []string{"b/large"}, idsOfKind(r.decide(), structs.ActionReserve))
	r.now = r.now.Add(time.Second)
	fixed := func(j *structs.Job) { j.Checkpoint = false }
	r.submit("c/long", shape(1, 1, false), time.Hour, fixed)
	r.submit("c/short", shape(1, 1, false), 5*time.Minute, fixed)
	r.submit("c/yields", shape(1, 1, false), time.Hour, nil)
	assert.ElementsMatch(t, []string{"c/short", "c/yields"}, idsOfKind(r.decide(), structs.ActionStart))

	r.apply(state.JobEnded{Job: "c/short"})
	r.now = r.now.Add(9 * time.Minute)
	r.apply(state.JobEnded{Job: "a/run"})
	assert.Equal(t, []string{"c/yields"}, idsOfKind(r.decide(), structs.ActionPreempt), "the backfilled job must be checkpointed in favour of the reservation")
	assert.Equal(t, []string{"b/large"}, idsOfKind(r.decide(), structs.ActionStart))
}

// Guards against a choice of victims that loses more work than needed. The youngest sufficient victim is
// preempted, only one is, and its resources stay reserved for the claim.
func TestReclaimTakesLeastWork(t *testing.T) {
	r := newTestCentre(t, 3, state.Configured{Guarantees: []state.Guarantee{guarantee("a", 1, shape(1, 4, false))}})
	idempotent := func(j *structs.Job) { j.Checkpoint, j.Idempotent = false, true }
	for _, id := range []string{"b/old", "b/mid", "b/new"} {
		r.submit(id, shape(1, 4, false), time.Hour, idempotent)
		r.decide()
		r.now = r.now.Add(time.Minute)
	}
	r.submit("a/claim", shape(1, 4, false), time.Minute, func(j *structs.Job) { j.Urgent = true })
	r.submit("b/next", shape(1, 4, false), time.Minute, nil)
	assert.Equal(t, []string{"b/new"}, idsOfKind(r.decide(), structs.ActionPreempt))
	plan := r.decide()
	assert.Equal(t, []string{"a/claim"}, idsOfKind(plan, structs.ActionStart))
	assert.Empty(t, idsOfKind(plan, structs.ActionPreempt))
}

// Guards against starts in a draining data centre, and against checkpoints that begin too late or
// too early.
func TestDrainCheckpointsBeforeDeadline(t *testing.T) {
	r := newTestCentre(t, 3, state.Configured{})
	r.submit("a/long", shape(1, 4, false), time.Hour, nil)
	r.submit("a/short", shape(1, 4, false), time.Minute, nil)
	r.submit("a/fixed", shape(1, 4, false), time.Hour, func(j *structs.Job) { j.Checkpoint = false })
	r.decide()
	r.submit("a/queued", shape(1, 4, false), time.Minute, nil)
	by := r.now.Add(10 * time.Minute)
	r.configure(state.Configured{Stage: structs.StageDraining, DrainBy: by})
	plan := r.decide()
	assert.Equal(t, []string{"a/queued"}, idsOfKind(plan, structs.ActionTransfer))
	assert.Empty(t, idsOfKind(plan, structs.ActionPreempt))
	r.apply(state.JobEnded{Job: "a/short"})
	r.now = by.Add(-defaultDrainMargin - time.Second)
	plan = r.s.Decide(r.d, r.now)
	assert.Equal(t, []string{"a/long"}, idsOfKind(plan, structs.ActionPreempt))
	assert.Empty(t, idsOfKind(plan, structs.ActionStart))
}

// Guards against a returning data centre that starts all queued jobs at once.
func TestReturningRampsUp(t *testing.T) {
	r := newTestCentre(t, 10, state.Configured{Stage: structs.StageReturning})
	for i := range 10 {
		r.submit(fmt.Sprintf("a/%d", i), shape(1, 4, false), time.Hour, nil)
	}
	assert.Len(t, idsOfKind(r.decide(), structs.ActionStart), 1)
	r.now = r.now.Add(defaultRampTime / 2)
	assert.Len(t, idsOfKind(r.decide(), structs.ActionStart), 5)
	r.now = r.now.Add(defaultRampTime)
	assert.Len(t, idsOfKind(r.decide(), structs.ActionStart), 4)
}

// Guards against an entry instance that keeps more than its share of a service's slots.
func TestSlotsAreSharedFairly(t *testing.T) {
	r := newTestCentre(t, 2, state.Configured{Services: []structs.Service{{Name: "ask", Kind: structs.KindRequest, SlotShape: res(1), MinSlots: 2}}})
	request := func(instance string) {
		r.apply(state.SlotsRequested{Instance: instance, Service: "ask", Wanted: 8, Expires: r.now.Add(time.Second)})
	}
	held := func(instance string) (n int) {
		for _, g := range r.d.Grants {
			if g.Instance == instance && !g.Revoking {
				n += g.Slots
			}
		}
		return n
	}
	request("i1")
	r.decide()
	assert.Equal(t, 8, held("i1"))
	request("i2")
	for range 4 {
		r.decide()
		for id, g := range r.d.Grants {
			if g.Revoking {
				r.apply(state.SlotsReleased{Instance: g.Instance, Grants: []string{id}})
			}
		}
	}
	assert.Equal(t, 4, held("i1"))
	assert.Equal(t, 4, held("i2"))
}
