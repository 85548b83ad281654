package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// waitCase sets up a cluster in which the job that it returns waits for one reason.
type waitCase struct {
	reason jobstate.WaitReason
	guards string // the failure that the case guards against
	set    func(w *fixture) *jobstate.Job
}

func inEachWorker(w *fixture, f func(*jobstate.Worker)) {
	for _, worker := range w.c.Workers {
		f(worker)
	}
}

var waitCases = []waitCase{
	{jobstate.WaitWorkerListStale, "an old list of workers that looks like a lack of workers", func(w *fixture) *jobstate.Job {
		w.c.WorkerListStale = true
		return w.submit(urgent, "a", step(1, 1, time.Second))
	}},
	{jobstate.WaitNoWorkerAccepts, "unusable workers that look like a full service", func(w *fixture) *jobstate.Job {
		inEachWorker(w, func(worker *jobstate.Worker) { worker.Answered = false })
		return w.submit(urgent, "a", gang(1, 8, time.Second))
	}},
	{jobstate.WaitNoWorkerEligible, "a requirement of the step that looks like a lack of workers", func(w *fixture) *jobstate.Job {
		s := step(1, 1, time.Second)
		s.Label = "missing"
		return w.submit(urgent, "a", s)
	}},
	{jobstate.WaitAdvice, "a missing ticket that looks like a lack of workers", func(w *fixture) *jobstate.Job {
		j := w.submit(urgent, "a", step(1, 1, time.Second))
		j.Route.Advice = &workload.Advice{}
		return j
	}},
	{jobstate.WaitHeadroom, "room kept for urgent jobs that looks like a full service", func(w *fixture) *jobstate.Job {
		w.submit(urgent, "a", gang(2, 8, 10*time.Second))
		w.submit(draft, "b", step(10, 1, 10*time.Second))
		w.advance(time.Second)
		return w.submit(batch, "b", step(1, 1, 10*time.Second))
	}},
	{jobstate.WaitPreferredRack, "a task that waits for the rack of its data and looks as if there were no room", func(w *fixture) *jobstate.Job {
		w.submit(draft, "a", gang(2, 8, time.Minute))
		w.advance(0)
		s := step(1, 1, time.Minute)
		s.DataRack = "r0"
		return w.submit(draft, "a", s)
	}},
	{jobstate.WaitPreferredRack, "the same for a gang", func(w *fixture) *jobstate.Job {
		w.submit(draft, "a", gang(1, 8, time.Minute))
		w.submit(draft, "a", gang(1, 2, time.Minute))
		w.advance(0)
		s := gang(2, 8, time.Minute)
		s.DataRack = "r0"
		return w.submit(draft, "a", s)
	}},
	{jobstate.WaitNoRoom, "a full service without a cause", func(w *fixture) *jobstate.Job {
		w.submit(urgent, "a", gang(4, 8, time.Minute))
		w.advance(2 * time.Second)
		return w.submit(urgent, "a", gang(1, 8, time.Minute))
	}},
	{jobstate.WaitReclaim, "a step for which runs are being stopped and that looks forgotten", func(w *fixture) *jobstate.Job {
		s := step(32, 1, time.Minute)
		s.Checkpointing = true
		w.submit(batch, "b", s)
		w.advance(2 * time.Second)
		return w.submit(urgent, "a", gang(1, 8, time.Minute))
	}},
	{jobstate.WaitLossLimit, "a limit of the loss that looks like a lack of room", func(w *fixture) *jobstate.Job {
		w.submit(batch, "b", step(32, 1, time.Hour))
		w.advance(time.Minute)
		return w.submit(urgent, "a", gang(1, 8, time.Second))
	}},
	{jobstate.WaitReservations, "a step behind the reservations of others that looks like a lack of room", func(w *fixture) *jobstate.Job {
		w.submit(batch, "b", step(32, 1, time.Hour))
		w.advance(time.Minute)
		for range 2 {
			w.submit(draft, "b", gang(1, 8, time.Second))
		}
		j := w.submit(draft, "b", gang(1, 8, 10*time.Second))
		w.now = w.now.Add(1100 * time.Millisecond)
		return j
	}},
	{jobstate.WaitGangMembers, "a gang that waits for the end of one member without a cause", func(w *fixture) *jobstate.Job {
		j := w.submit(urgent, "a", gang(2, 8, time.Minute))
		runs := w.advance(time.Second).Starts
		w.c.End(runs[0], jobstate.EndFailed, "", w.now)
		return j
	}},
	{jobstate.WaitRetryDelay, "a delay after a refused start that looks like a lack of room", func(w *fixture) *jobstate.Job {
		j := w.submit(urgent, "a", step(1, 1, time.Second))
		j.Occurrences[0].Steps[0].NotBefore = w.now.Add(time.Minute)
		return j
	}},
}

// Guards against a wrong or missing reason for each of the ways in which a decision leaves a step waiting.
func TestReasonOfAWait(t *testing.T) {
	for _, c := range waitCases {
		t.Run(c.reason.String()+": "+c.guards, func(t *testing.T) {
			w := newFixture(2, 2)
			j := c.set(w)
			for range 3 { // a search for room is not repeated in each decision
				w.advance(10 * time.Millisecond)
			}
			s := j.Occurrences[0].Steps[0]
			require.Positive(t, s.Waiting())
			assert.Equal(t, c.reason, s.WaitReason)
		})
	}
}

// Guards against counts in an explanation that do not add up to the workers of the service, and against a
// worker that is counted for another cause than the one that holds.
func TestExplanationCountsExcludedWorkers(t *testing.T) {
	w := newFixture(1, 13)
	causes := []func(*jobstate.Worker){
		jobstate.NotExcluded:          func(*jobstate.Worker) {},
		jobstate.ExcludeUnlisted:      func(worker *jobstate.Worker) { worker.Listed = false },
		jobstate.ExcludeUnanswered:    func(worker *jobstate.Worker) { worker.Answered = false },
		jobstate.ExcludeLeaseRecorded: func(worker *jobstate.Worker) { worker.UnresponsiveStored = true },
		jobstate.ExcludeDraining:      func(worker *jobstate.Worker) { worker.Draining = true },
		jobstate.ExcludeUpkeep:        func(worker *jobstate.Worker) { worker.UpkeepPending = true },
		jobstate.ExcludeEvacuated: func(worker *jobstate.Worker) {
			worker.DataCentre = "evacuated"
			w.c.Evacuated["evacuated"] = true
		},
		jobstate.ExcludeBlocked:   func(worker *jobstate.Worker) { worker.BlockedUntil = w.now.Add(time.Second) },
		jobstate.ExcludeAvoided:   func(worker *jobstate.Worker) { worker.AvoidUntil = w.now.Add(time.Second) },
		jobstate.ExcludeProbation: func(worker *jobstate.Worker) { worker.FailStreak, worker.AvoidUntil = 1, w.now },
		jobstate.ExcludeLabel:     func(worker *jobstate.Worker) { worker.Labels = nil },
		jobstate.ExcludeCapacity:  func(worker *jobstate.Worker) { worker.Capacity.Accelerators = 1 },
		jobstate.ExcludeTicket:    func(worker *jobstate.Worker) { worker.Incarnation = 2 },
	}
	require.Len(t, causes, jobstate.ExclusionCount)
	spec := gang(2, 4, time.Second)
	spec.Label = "fast"
	j := w.submit(urgent, "a", spec)
	j.Route.Advice = &workload.Advice{}
	s := j.Occurrences[0].Steps[0]
	for n, worker := range w.c.SortedWorkers() {
		worker.Labels = []string{"fast"}
		s.Tickets[worker.ID] = jobstate.Ticket{Allowed: true, Incarnation: 1, Expires: w.now.Add(time.Minute)}
		causes[n](worker)
	}
	e := w.p.Explain(w.c, s, w.workspace, w.now)
	assert.Equal(t, len(causes), e.Workers)
	assert.Equal(t, 1, e.Eligible)
	assert.Equal(t, 2, e.Room)
	for cause := 1; cause < jobstate.ExclusionCount; cause++ {
		assert.Equal(t, 1, e.Excluded[cause], jobstate.Exclusion(cause).String())
	}
}

// Guards against an explanation that does not tell a rack that is full from one that is too small.
func TestExplanationOfARack(t *testing.T) {
	w := newFixture(2, 2)
	w.submit(urgent, "a", gang(1, 8, time.Minute))
	w.advance(0)
	s := w.submit(urgent, "a", gang(3, 8, time.Minute)).Occurrences[0].Steps[0]
	assert.Equal(t, 3, w.p.Explain(w.c, s, w.workspace, w.now).Room)
	rack := w.p.Explain(w.c, s, w.workspace, w.now).Rack
	assert.Equal(t, 2, rack.Room)
	assert.Equal(t, 2, rack.Capacity)
	s.Spec.DataRack = "r0" // where the first gang runs
	rack = w.p.Explain(w.c, s, w.workspace, w.now).Rack
	assert.Equal(t, 1, rack.Room)
	assert.Equal(t, 2, rack.Capacity)
	s.Spec.DataRack, s.Spec.SameRack = "", false
	assert.Nil(t, w.p.Explain(w.c, s, w.workspace, w.now).Rack)
}
