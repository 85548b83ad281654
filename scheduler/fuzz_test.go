package scheduler

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	fuzzSeed         = "20260101"
	fuzzStepsPerRun  = 40
	fuzzDefaultSteps = 4000
	// fuzzStepsEnv names the environment variable for the total number of steps.
	fuzzStepsEnv = "CYCLAMENYARD_FUZZ_STEPS"
	leaseTTL     = 10 * time.Second
	cooldown     = time.Minute
)

func init() {
	steps := fuzzDefaultSteps
	if n, err := strconv.Atoi(os.Getenv(fuzzStepsEnv)); err == nil && n > 0 {
		steps = n
	}
	for name, value := range map[string]string{
		"rapid.seed": fuzzSeed, "rapid.steps": strconv.Itoa(fuzzStepsPerRun), "rapid.nofailfile": "true",
		"rapid.checks": strconv.Itoa(max(steps/fuzzStepsPerRun, 1)),
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func res(acc int) structs.Resources {
	return structs.Resources{Slots: acc, Processors: 4 * acc, MemoryMB: 100 * acc, Accelerators: acc}
}

func shape(tasks, acc int, adjacent bool) structs.Shape {
	return structs.Shape{Tasks: tasks, Task: res(acc), Adjacent: adjacent}
}

var fuzzShapes = []structs.Shape{
	shape(1, 1, false), shape(1, 2, false), shape(1, 4, false), shape(3, 1, true), shape(2, 4, true),
	shape(3, 4, true), shape(4, 2, false), shape(5, 4, true), shape(2, 3, true), shape(9, 4, false),
}

var fuzzGuarantees = [][]state.Guarantee{
	{},
	{guarantee("a", 1, shape(3, 4, true)), guarantee("b", 2, shape(1, 4, false))},
	{guarantee("a", 2, shape(2, 4, true)), guarantee("b", 3, shape(1, 2, false)), guarantee("c", 1, shape(2, 3, true))},
	{guarantee("a", 1, shape(4, 2, false)), guarantee("a", 1, shape(2, 4, true)), guarantee("b", 1, shape(5, 4, true))},
}

func guarantee(ws string, count int, s structs.Shape) state.Guarantee {
	return state.Guarantee{Workspace: ws, Guarantee: structs.Guarantee{Name: "g", Shape: s, Count: count}}
}

// machine applies random events and the scheduler's decisions to a data centre.
type machine struct {
	d       *state.DataCentre
	s       *Scheduler
	now     time.Time
	next    int
	lost    []structs.Worker
	changed bool // a worker was lost or the guarantees changed in this step
}

func (m *machine) apply(t *rapid.T, e state.Event) {
	require.NoError(t, m.d.Apply(e), "%T", e)
}

func (m *machine) pick(t *rapid.T, status ...state.JobStatus) *state.Job {
	var list []*state.Job
	for _, j := range slices.Concat(m.d.Active, m.d.Queue) {
		if slices.Contains(status, j.Status) {
			list = append(list, j)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "job")]
}

func (m *machine) configure(t *rapid.T, stage structs.Stage, drainBy time.Time, guarantees []state.Guarantee) {
	m.apply(t, state.Configured{
		Revision: m.d.Revision + 1, Stage: stage, DrainBy: drainBy, Guarantees: guarantees, Now: m.now,
		Fleet:      structs.FleetSpec{Workers: 10, WorkersPerRack: 3, Capacity: res(4)},
		Workspaces: []structs.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 1}},
		Services: []structs.Service{
			{Name: "gang", Kind: structs.KindJob, MaxTasks: 16},
			{Name: "ask", Kind: structs.KindRequest, SlotShape: res(1), MinSlots: 2},
		},
	})
}

func (m *machine) submit(t *rapid.T) {
	m.next++
	ws := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	kind := rapid.IntRange(0, 3).Draw(t, "kind")
	j := structs.Job{
		ID: fmt.Sprintf("%s/%03d", ws, m.next), Workspace: ws, Service: "gang",
		Class: structs.Class(rapid.IntRange(0, 2).Draw(t, "class")), Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
		Shape: rapid.SampledFrom(fuzzShapes).Draw(t, "shape"), Idempotent: kind == 1, Checkpoint: kind > 1,
		Declared:  time.Duration(rapid.IntRange(1, 600).Draw(t, "declared")) * time.Second,
		Submitted: m.now, Grace: time.Duration(rapid.IntRange(1, 10).Draw(t, "grace")) * time.Second,
	}
	m.apply(t, state.JobSubmitted{Job: j, Now: m.now})
}

func (m *machine) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, state.HoldsExpired{Now: m.now})
	switch n := rapid.IntRange(0, 19).Draw(t, "event"); {
	case n < 7:
		m.submit(t)
	case n < 11:
		m.confirmPending(t, true)
	case n == 11:
		if j := m.pick(t, state.Starting); j != nil {
			held := []string{j.Placements[0].Worker}
			m.apply(t, state.StartFailed{Job: j.ID, Attempt: j.Attempt, HoldWorkers: held, HoldUntil: m.now.Add(leaseTTL), Now: m.now})
		}
	case n == 12:
		if j := m.pick(t, state.Queued, state.Starting, state.Running); j != nil {
			m.apply(t, state.JobCancelled{Job: j.ID, Now: m.now})
		}
	case n == 13:
		if j := m.pick(t, state.Running); j != nil && j.Checkpoint {
			m.apply(t, state.JobCheckpointed{Job: j.ID, Attempt: j.Attempt, Now: m.now})
		}
	case n == 14:
		m.changeWorkers(t)
	case n == 15:
		stage := rapid.SampledFrom([]structs.Stage{structs.StageOpen, structs.StageOpen, structs.StageReturning, structs.StageDraining, structs.StageOut}).Draw(t, "stage")
		m.configure(t, stage, m.now.Add(time.Minute), m.d.Guarantees)
	case n == 16:
		m.changed = true
		m.configure(t, m.d.Stage, m.d.DrainBy, rapid.SampledFrom(fuzzGuarantees).Draw(t, "guarantees"))
	case n == 17:
		i := rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "instance")
		m.apply(t, state.SlotsRequested{Instance: i, Service: "ask", Wanted: rapid.IntRange(0, 6).Draw(t, "wanted")})
	default:
		if j := m.pick(t, state.Running); j != nil {
			m.apply(t, state.JobEnded{Job: j.ID, RunTime: m.now.Sub(j.StartedAt)})
		}
	}
}

// confirmPending confirms the end of preempted and cancelled jobs and, with all, the starts.
func (m *machine) confirmPending(t *rapid.T, all bool) {
	for _, j := range slices.Clone(m.d.Active) {
		switch {
		case j.Status == state.Preempting || j.Cancelled:
			m.apply(t, state.JobStopped{Job: j.ID, Attempt: j.Attempt, Cooldown: cooldown, Now: m.now})
		case j.Status == state.Starting && all:
			m.apply(t, state.StartConfirmed{Job: j.ID, Attempt: j.Attempt, Now: m.now})
		}
	}
}

// changeWorkers loses a worker, adds a lost one again, or changes a worker's health.
func (m *machine) changeWorkers(t *rapid.T) {
	m.changed = true
	w := m.d.SortedWorkers[rapid.IntRange(0, len(m.d.SortedWorkers)-1).Draw(t, "worker")]
	switch n := rapid.IntRange(0, 3).Draw(t, "change"); {
	case n == 0 && len(m.d.SortedWorkers) > 4:
		for _, j := range slices.Clone(m.d.Active) {
			if slices.ContainsFunc(j.Placements, func(p structs.Placement) bool { return p.Worker == w.ID }) {
				m.apply(t, state.JobStopped{Job: j.ID, Attempt: j.Attempt, Failed: true, Now: m.now})
			}
		}
		m.lost = append(m.lost, w.Worker)
		m.apply(t, state.WorkerLost{Worker: w.ID})
	case n == 1 && len(m.lost) > 0:
		m.apply(t, state.WorkerJoined{Worker: m.lost[0]})
		m.lost = m.lost[1:]
	case n == 2:
		m.apply(t, state.WorkerHealth{Worker: w.ID, Unhealthy: !w.Unhealthy})
	}
}

// decide checks one decision against the oracle and applies it.
func (m *machine) decide(t *rapid.T) {
	packable, complete := oracleAllPackable(m.d, m.now)
	servable := m.servable()
	plan := m.s.Decide(m.d, m.now)
	require.Equal(t, plan, m.s.Decide(m.d, m.now), "two decisions on the same state differ")
	m.log(t, &plan)
	m.checkVictims(t, &plan)
	m.checkNeeded(t, &plan)
	m.checkStarts(t, &plan)
	m.apply(t, state.PlanAccepted{Plan: plan, Now: m.now})
	m.checkCapacity(t)
	if packable && complete && m.d.Stage.AllowsStarts() {
		after, complete := oracleAllPackable(m.d, m.now)
		if !after && complete {
			m.log(t, &structs.Plan{})
		}
		require.True(t, after || !complete, "after a decision, the unmet guarantees cannot be packed any more")
	}
	if servable {
		m.checkUrgent(t)
	}
}

// log prints the state and the plan. The test shows them when a run fails.
func (m *machine) log(t *rapid.T, plan *structs.Plan) {
	shapes, inside := oracleUnmet(m.d, m.now)
	t.Logf("%s stage %s unmet %v", m.now.Sub(epoch), m.d.Stage, shapes)
	for _, j := range m.d.Active {
		t.Logf("  active %s %s %s inside %t reclaimable %t cooldown %t on %v", j.ID, j.Status, j.Shape, inside[j.ID], j.Reclaimable(), j.NoPreemptBefore.After(m.now), j.Placements)
	}
	for _, j := range m.d.Queue {
		t.Logf("  queued %s %s urgent %t reclaimable %t cooldown %t", j.ID, j.Shape, j.Urgent, j.Reclaimable(), j.NoPreemptBefore.After(m.now))
	}
	for _, w := range m.d.SortedWorkers {
		t.Logf("  worker %s rack %d usable %t held %t free %d", w.ID, w.Rack, w.Usable(), onHold(w, m.now), w.Free.Slots)
	}
	for _, a := range plan.Actions {
		t.Logf("  %s %s %s%s guaranteed %t for %q on %v: %s", a.Kind, a.Job, a.GrantID, a.Worker, a.Guaranteed, a.PreemptedFor, a.Placements, a.Reason)
	}
}

// servable reports whether all guarantees can be packed without the resources of jobs that are
// still starting, so that urgent jobs inside their guarantee can start or claim at once.
func (m *machine) servable() bool {
	shapes, inside := oracleUnmet(m.d, m.now)
	fits, _ := oraclePacks(m.d, oracleResources(m.d, m.now, inside, true), shapes)
	return fits && m.d.Stage.AllowsStarts()
}

// checkUrgent guards against urgent jobs that stay queued without a claim although their guarantee
// has a whole gang of their shape unused.
func (m *machine) checkUrgent(t *rapid.T) {
	for _, j := range m.d.Queue {
		usages, _ := oracleCharge(m.d, j.Workspace, m.now)
		waits := j.Urgent && claimOf(m.d, j, m.now) == nil && slices.ContainsFunc(usages, func(u oracleUsage) bool {
			return u.guarantee.Shape == j.Shape && slices.Contains(u.unusedTasks, j.Shape.Tasks)
		})
		require.False(t, waits, "urgent job %s inside its guarantee has neither started nor a claim", j.ID)
	}
}

// checkVictims guards against the preemption of jobs that cannot run again, jobs inside their
// guarantee, and jobs in the cooldown after an earlier preemption.
func (m *machine) checkVictims(t *rapid.T, plan *structs.Plan) {
	_, inside := oracleUnmet(m.d, m.now)
	for _, a := range plan.Actions {
		if a.Kind != structs.ActionPreempt {
			continue
		}
		j := m.d.Jobs[a.Job]
		require.Equal(t, state.Running, j.Status)
		require.True(t, j.Reclaimable(), "victim %s is not reclaimable", j.ID)
		require.Equal(t, j.Checkpoint, a.Checkpoint)
		if !m.d.Stage.AllowsStarts() {
			continue
		}
		displaced := slices.ContainsFunc(plan.Actions, func(o structs.Action) bool {
			by := m.d.Jobs[o.Job]
			if !o.Guaranteed || by.Workspace != j.Workspace || by.Urgent != j.Urgent {
				return o.Guaranteed && by.Workspace == j.Workspace && by.Urgent
			}
			if a, b := oracleWholeShape(m.d, by), oracleWholeShape(m.d, j); a != b {
				return a
			}
			return by.Class < j.Class
		})
		require.True(t, displaced || !inside[j.ID], "victim %s is inside its guarantee", j.ID)
		require.False(t, j.NoPreemptBefore.After(m.now), "victim %s is in its cooldown", j.ID)
	}
}

// checkNeeded guards against claims that preempt more than they need. It requires that the plan's
// starts and claims do not fit if any one of the victims is left out.
func (m *machine) checkNeeded(t *rapid.T, plan *structs.Plan) {
	available := map[string]structs.Resources{}
	add := func(j *state.Job, placements []structs.Placement, sign int) {
		for _, p := range placements {
			available[p.Worker] = available[p.Worker].Add(j.Shape.Task.Mul(sign))
		}
	}
	for _, w := range m.d.SortedWorkers {
		available[w.ID] = w.Free
	}
	for _, j := range m.d.Active {
		if j.Status == state.Preempting || j.Cancelled {
			add(j, j.Placements, 1)
		}
	}
	for _, g := range m.d.Grants {
		if g.Revoking {
			available[g.Worker] = available[g.Worker].Add(g.PerSlot.Mul(g.Slots))
		}
	}
	claims := map[string]bool{}
	for _, a := range plan.Actions {
		switch {
		case a.Kind == structs.ActionStart || a.Kind == structs.ActionReserve && a.Guaranteed:
			add(m.d.Jobs[a.Job], a.Placements, -1)
			claims[a.Job] = a.Kind == structs.ActionReserve
		case a.Kind == structs.ActionPreempt:
			add(m.d.Jobs[a.Job], m.d.Jobs[a.Job].Placements, 1)
		case a.Kind == structs.ActionRevoke:
			g := m.d.Grants[a.GrantID]
			available[g.Worker] = available[g.Worker].Add(g.PerSlot.Mul(g.Slots))
		case a.Kind == structs.ActionGrant:
			available[a.Worker] = available[a.Worker].Sub(m.d.Services[a.Service].SlotShape.Mul(a.Slots))
		}
	}
	for _, a := range plan.Actions {
		if a.Kind != structs.ActionPreempt || !claims[a.PreemptedFor] {
			continue
		}
		j := m.d.Jobs[a.Job]
		add(j, j.Placements, -1)
		require.True(t, slices.ContainsFunc(j.Placements, func(p structs.Placement) bool {
			return !structs.Resources{}.Fits(available[p.Worker])
		}), "victim %s is not needed for %s", j.ID, a.PreemptedFor)
		add(j, j.Placements, 1)
	}
}

// checkStarts guards against incomplete gangs, gangs spread over a wider domain than needed, and
// starts at a stage that forbids them or on workers that take no new work.
func (m *machine) checkStarts(t *rapid.T, plan *structs.Plan) {
	for _, a := range plan.Actions {
		if a.Kind == structs.ActionGrant {
			require.True(t, m.d.Stage.AllowsStarts(), "grant at stage %s", m.d.Stage)
		}
		if a.Kind != structs.ActionStart {
			continue
		}
		require.True(t, m.d.Stage.AllowsStarts(), "start at stage %s", m.d.Stage)
		s := m.d.Jobs[a.Job].Shape
		require.Len(t, a.Placements, s.Tasks, "gang %s is incomplete", a.Job)
		for k, p := range a.Placements {
			w := m.d.Workers[p.Worker]
			require.Equal(t, k, p.Task)
			require.True(t, w != nil && w.Usable() && !onHold(w, m.now), "worker %s takes no new work", p.Worker)
		}
		require.True(t, slices.ContainsFunc(oracleDomains(m.d, s), func(domain []*state.Worker) bool {
			return !slices.ContainsFunc(a.Placements, func(p structs.Placement) bool {
				return !slices.ContainsFunc(domain, func(w *state.Worker) bool { return w.ID == p.Worker })
			})
		}), "gang %s of %s is spread wider than its smallest domain", a.Job, s)
	}
}

// checkCapacity guards against workers over capacity and incomplete gangs. It sums tasks, grants and
// holds, without the free resources that the state records.
func (m *machine) checkCapacity(t *rapid.T) {
	used := map[string]structs.Resources{}
	for _, j := range m.d.Jobs {
		if j.Status == state.Queued {
			require.Empty(t, j.Placements)
			continue
		}
		require.Len(t, j.Placements, j.Shape.Tasks)
		for _, p := range j.Placements {
			used[p.Worker] = used[p.Worker].Add(j.Shape.Task)
		}
	}
	for _, g := range m.d.Grants {
		used[g.Worker] = used[g.Worker].Add(g.PerSlot.Mul(g.Slots))
	}
	for _, w := range m.d.SortedWorkers {
		for _, h := range w.Holds {
			used[w.ID] = used[w.ID].Add(h.Resources)
		}
		require.True(t, used[w.ID].Fits(w.Worker.Capacity), "worker %s holds %v", w.ID, used[w.ID])
	}
}

// Guards against decisions that violate the rules for capacity, gangs, stages, guarantees or
// victims after any sequence of events.
func TestDecisionsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{d: state.New("a"), s: New(Options{}), now: epoch}
		racks := []int{0, 0, 0, 1, 1, 1, 2, 2, 4, 4}
		for i, r := range racks {
			m.apply(t, state.WorkerJoined{Worker: structs.Worker{ID: fmt.Sprintf("w%02d", i), DataCentre: "a", Rack: r, Capacity: res(4)}})
		}
		m.configure(t, structs.StageOpen, time.Time{}, rapid.SampledFrom(fuzzGuarantees).Draw(t, "guarantees"))
		for range fuzzStepsPerRun {
			m.changed = false
			m.step(t)
			m.decide(t)
		}
	})
}
