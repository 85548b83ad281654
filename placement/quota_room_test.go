package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

func firstStep(j *jobstate.Job) *jobstate.Step { return j.Occurrences[0].Steps[0] }

// Load: a gang within its guarantee, which no worker can run, at a cap full of own batch work that is sent again after each
// stop. Guards against stops without end that cannot help (352 in 10 s).
func TestGangThatNoWorkerCanRunStopsNothing(t *testing.T) {
	for name, owed := range map[string]workload.Step{"label": gang(4, 8, time.Second), "size": gang(4, 9, time.Second)} {
		w := newFixture(4, 8)
		w.configure("a", 0, 48).GuaranteedAccelerators = 40
		w.submit(batch, "a", step(100, 1, time.Hour))
		w.advance(5 * time.Second)
		if name == "label" {
			owed.Label = "unknown"
		}
		w.submit(urgent, "a", owed)
		for range 100 {
			plan := w.advance(100 * time.Millisecond)
			require.Empty(t, plan.Stops, name)
		}
	}
}

// Load: a guaranteed gang at a cap full of own batch work, while long-running tasks take the workers. Guards against stops of
// own runs that leave the gang waiting for room on the workers.
func TestNoOwnRunsAreStoppedWithoutRoomOnTheWorkers(t *testing.T) {
	w := newFixture(1, 4)
	w.configure("a", 0, 8).GuaranteedAccelerators = 8
	lasting := step(24, 1, time.Hour)
	lasting.LongRunning = true
	w.submit(draft, "b", lasting)
	w.advance(time.Second)
	w.submit(batch, "a", step(20, 1, time.Hour))
	w.advance(time.Second)
	require.Equal(t, 8, w.used("a"))
	owed := gang(2, 4, time.Second)
	owed.MaxPerWorker = 1
	w.submit(urgent, "a", owed)
	for range 20 {
		require.Empty(t, w.advance(200*time.Millisecond).Stops)
	}
}

// Load: a guaranteed gang at a cap full of own batch work, whose runs share the workers with those of another workspace, so
// that stops for the cap are followed by stops for room on the workers. Guards against own tasks that take the admitted part
// of the cap meanwhile, so that further rounds of stops are needed.
func TestAdmittedGangKeepsItsPartOfTheCap(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 0, 32).GuaranteedAccelerators = 32
	for range 8 {
		w.submit(batch, "a", step(4, 1, time.Hour))
		w.submit(batch, "b", step(4, 1, time.Hour))
		w.advance(time.Second)
	}
	w.submit(batch, "a", step(40, 1, time.Hour))
	owed := w.submit(urgent, "a", gang(3, 8, time.Second))
	rounds, stops := 0, 0
	for range 20 {
		plan := w.advance(100 * time.Millisecond)
		stops += len(plan.Stops)
		rounds += len(plan.Reclaims)
		w.endStops(plan)
	}
	assert.Len(t, owed.Runs(), 3)
	assert.Equal(t, 2, rounds, "one for the cap, one for room")
	assert.Equal(t, 24+12, stops)
}

// Load: 60 gangs at once at a cap of one gang, and then a steady flow of about what the cap admits, with estimates of
// 0.5 and 3.5 s. Guards against a gang that starves behind later ones that come before it in the order (not started in 600 s).
func TestNoGangStarvesAtACapOfOneGang(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 64)
	var gangs []*jobstate.Job
	longest := time.Duration(0)
	submit := func() {
		estimate := 500 * time.Millisecond
		if len(gangs)%7 >= 5 {
			estimate = 3500 * time.Millisecond
		}
		gangs = append(gangs, w.submit(draft, "a", gang(8, 8, estimate)))
	}
	for range 60 {
		submit()
	}
	for n := range 6000 {
		if n%14 == 0 {
			submit()
		}
		w.advance(100 * time.Millisecond)
		w.endAfter()
		for _, j := range gangs {
			if s := firstStep(j); s.Waiting() > 0 {
				longest = max(longest, w.now.Sub(s.ReadyAt))
			}
		}
	}
	assert.Less(t, longest, 120*time.Second, "it is 86 s with the oldest first, and was 235 s")
}

// Load: the oldest gang of a workspace was kept the cap, and then waits for room on the workers, which another workspace
// takes. Guards against a gang that loses its place, so that own tasks take the cap again.
func TestOldestGangKeepsItsPlaceWithoutRoom(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 0, 32)
	w.submit(batch, "a", step(32, 1, 16*time.Second))
	w.submit(batch, "b", step(28, 1, 40*time.Second))
	w.advance(100 * time.Millisecond)
	late := w.submit(batch, "a", gang(8, 4, time.Second))
	for range 600 {
		w.submit(batch, "a", step(1, 1, time.Second))
		w.submit(batch, "b", step(1, 1, 3*time.Second))
		w.advance(100 * time.Millisecond)
		w.endAfter()
		if w.now.Sub(firstStep(late).ReadyAt) > 20*time.Second && firstStep(late).Waiting() > 0 {
			require.Zero(t, w.used("a"))
		}
	}
	assert.Empty(t, firstStep(late).WaitReports)
}

// Load: a gang whose queue has a policy waits at a cap that small tasks refill. Guards against a gang for which no advice is
// requested before the cap has room, and for which the cap is not kept without.
func TestCappedGangGetsAdviceBeforeTheCapHasRoom(t *testing.T) {
	w := newFixture(4, 8)
	w.configure("a", 0, 32)
	j := w.submit(draft, "a", gang(8, 4, time.Second))
	j.Route.Advice = &workload.Advice{}
	s := firstStep(j)
	s.Tickets = map[string]jobstate.Ticket{}
	asked := 0
	for n := range 600 {
		if n < 580 {
			w.submit(draft, "a", step(5, 1, 1500*time.Millisecond))
		}
		plan := w.advance(100 * time.Millisecond)
		w.endAfter()
		if len(plan.NeedAdvice) > 0 && n > 0 {
			asked++
			for _, worker := range w.c.Workers {
				s.Tickets[worker.ID] = jobstate.Ticket{Allowed: true, Incarnation: worker.Incarnation, Expires: w.now.Add(2 * time.Second)}
			}
		}
		if s.Active > 0 {
			require.Less(t, w.now.Sub(s.ReadyAt), 40*time.Second)
			return
		}
	}
	t.Fatalf("not started; advice was requested %d times", asked)
}

// Load: as in TestWorkspaceAboveItsShareDoesNotStarve, and the longest waiting unit can never start. Guards against a place
// at the front that such a unit takes for ever.
func TestUnitThatCannotStartDoesNotAge(t *testing.T) {
	for name, change := range map[string]func(*workload.Workspace, *workload.Step){
		"label": func(_ *workload.Workspace, s *workload.Step) { s.Label = "unknown" },
		"cap":   func(a *workload.Workspace, s *workload.Step) { a.Cap.Accelerators, s.Tasks = 40, 50 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(1, 8)
			limits := w.configure("a", 1, 0)
			w.configure("b", 9, 0)
			w.submit(draft, "a", step(32, 1, time.Hour))
			w.advance(0)
			w.submit(draft, "b", step(32, 1, time.Second))
			w.advance(0)
			never := gang(4, 1, time.Second)
			change(limits, &never)
			firstStep(w.submit(draft, "a", never)).ReadyAt = w.now.Add(-time.Second)
			w.requireStartUnderFlow(t, w.submit(draft, "a", step(40, 1, time.Second)))
		})
	}
}

// Load: a workspace of small weight starts urgent work all the time, and its batch work waits behind another workspace.
// Guards against starts of one priority that count for another one.
func TestAgingCountsByPriority(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 1, 0)
	w.configure("b", 9, 0)
	w.submit(draft, "a", step(32, 1, time.Hour))
	w.advance(0)
	w.submit(draft, "b", step(32, 1, time.Second))
	w.advance(0)
	waiting := w.submit(draft, "a", step(40, 1, time.Second))
	for n := range 400 {
		if n%20 == 0 {
			w.submit(urgent, "a", step(1, 0, time.Second))
		}
		w.submit(draft, "b", step(4, 1, time.Second))
		w.advance(100 * time.Millisecond)
		w.endAfter()
		if firstStep(waiting).Active > 0 {
			return
		}
	}
	t.Fatal("the unit waits for more than 40 s")
}

// requireStartUnderFlow checks that the job starts within 40 s while workspace b sends more than there is room for.
func (w *fixture) requireStartUnderFlow(t *testing.T, j *jobstate.Job) {
	t.Helper()
	for range 400 {
		w.submit(draft, "b", step(4, 1, time.Second))
		w.advance(100 * time.Millisecond)
		w.endAfter()
		if firstStep(j).Active > 0 {
			return
		}
	}
	t.Fatal("the unit waits for more than 40 s")
}

// Load: a workspace runs for 60 s without waiting units, beside one that has none at all. Guards against recent use that is
// recorded only when units wait, so that a minute of use counts as none, or an idle minute as use.
func TestRecentUseIsRecordedWithoutWaitingUnits(t *testing.T) {
	w := newFixture(1, 8)
	w.configure("a", 1, 0)
	w.submit(draft, "a", step(64, 1, time.Minute))
	for range 60 {
		w.advance(time.Second)
	}
	assert.InDelta(t, 1-0.0625, w.p.Use(w.c, w.workspace, w.now)["a"].Recent, 0.01)
	w.endAfter()
	w.submit(draft, "b", step(1, 1, time.Hour))
	for range 60 {
		w.advance(time.Second)
	}
	assert.InDelta(t, 0.0625, w.p.Use(w.c, w.workspace, w.now)["a"].Recent, 0.01)
}

// Guards against a share that counts the weights of workspaces whose jobs have all ended: what is due to the others would be
// so little that use decides between equal shares, and not the deadline.
func TestEndedJobsDoNotCountForTheShare(t *testing.T) {
	w := newFixture(1, 2)
	w.configure("a", 1, 0)
	w.configure("b", 1, 0)
	w.configure("past", 1000, 0)
	w.submit(draft, "past", step(1, 1, time.Second))
	w.advance(2 * time.Second)
	w.endAfter()
	w.now = w.now.Add(time.Hour)
	w.submit(draft, "a", step(1, 1, time.Hour))
	w.submit(draft, "c", step(14, 1, time.Hour))
	w.advance(0)
	w.submit(draft, "b", step(1, 1, 2*time.Second))
	first := w.submit(draft, "a", step(1, 1, time.Second))
	plan := w.advance(0)
	require.NotEmpty(t, plan.Starts)
	assert.Same(t, first, plan.Starts[0].Task.Step.Occurrence.Job)
}
