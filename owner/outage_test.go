package owner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Guards against these faults during a store outage: a non-idempotent job that starts without its
// intent record, an idempotent job that waits for the store, a wrong "not run" and a result that
// is not returned to callers.
func TestStoreOutage(t *testing.T) {
	runOnSite(t, 3, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		blocker, safe, unsafe := gangJob("0", 3, 10*time.Second), gangJob("1", 1, 5*time.Second), gangJob("2", 1, 5*time.Second)
		safe.Idempotent = true
		for _, j := range []structs.Job{blocker, safe, unsafe} {
			require.Empty(t, in.submit(j))
		}
		advance(2 * time.Second)
		s.store.SetFaults(standin.StoreFaults{Down: true})
		require.Equal(t, "store_unavailable", in.submit(gangJob("3", 1, time.Second)))
		advance(40 * time.Second)
		require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/0", 0).Outcome)
		require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/1", 0).Outcome)
		require.Empty(t, s.starts("x/2"), "started without an intent")
		require.True(t, in.c.Status()[0].StoreDown)
		require.Equal(t, 3, in.c.Status()[0].PendingRecords, "more than one pending record per job")
		s.store.SetFaults(standin.StoreFaults{})
		require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/2", time.Minute).Outcome)
		advance(2 * time.Second)
		require.Equal(t, 0, in.c.Status()[0].PendingRecords)
		require.Empty(t, in.submit(gangJob("3", 1, time.Second)), "the id of a rejected job cannot be reused")
	})
}

// Guards against a burst of writes to a store that has just recovered, and against a backlog that
// grows with the length of the outage.
func TestBacklogIsBounded(t *testing.T) {
	runOnSite(t, 1, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		const jobs = 300
		for i := range jobs {
			j := gangJob(fmt.Sprintf("%03d", i), 1, 10*time.Millisecond)
			j.Shape.Task = structs.Resources{Slots: 8}
			require.Empty(t, in.submit(j))
		}
		calls := s.store.Calls()["swap"]
		s.store.SetFaults(standin.StoreFaults{Down: true})
		for i := range jobs {
			in.cancelJob(fmt.Sprintf("x/%03d", i))
		}
		advance(5 * time.Minute)
		require.LessOrEqual(t, in.c.Status()[0].PendingRecords, jobs)
		require.Less(t, s.store.Calls()["swap"]-calls, 2*5*60+recordWriters, "too many writes during an outage")
		s.store.SetFaults(standin.StoreFaults{})
		last := s.store.Calls()["swap"]
		for in.c.Status()[0].PendingRecords > 0 {
			advance(time.Second)
			now := s.store.Calls()["swap"]
			require.LessOrEqual(t, now-last, backlogRate+recordWriters+1)
			last = now
		}
	})
}

// Guards against a record write whose lost answer leads to a duplicate error, the rejection of a
// recorded job, or a second run.
func TestLostAnswerOfRecordWrites(t *testing.T) {
	runOnSite(t, 1, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		s.store.SetFaults(standin.StoreFaults{LoseWriteReplies: 1})
		require.Empty(t, in.submit(gangJob("1", 1, 5*time.Second)), "the create took effect")
		s.store.SetFaults(standin.StoreFaults{LoseWriteReplies: 3})
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Len(t, s.starts("x/1"), 1)
		require.Equal(t, 0, in.c.Status()[0].PendingRecords)
	})
}

// Guards against a non-idempotent job that is restarted although its worker does not answer whether
// it ran, and against one that is ended although its worker shows that it did not run.
func TestUnconfirmedStartAfterOwnerDeath(t *testing.T) {
	for _, c := range []struct {
		name    string
		freeze  int // number of the start gate call at which the first owner freezes
		down    bool
		attempt int
		want    structs.JobOutcome
	}{
		{"worker shows that nothing ran", 3, false, 2, structs.OutcomeSucceeded},
		{"worker does not answer", 3, true, 1, structs.OutcomeMayHaveRun},
	} {
		runOnSite(t, 2, func(t *testing.T, s *site) {
			first := s.elect("i1", 1)
			s.onGateCall = func(n int) {
				if n == c.freeze {
					first.gate.freeze()
				}
			}
			require.Empty(t, first.submit(gangJob("1", 2, 5*time.Second)), c.name)
			advance(time.Second)
			first.kill()
			s.workers[1].SetFaults(standin.WorkerFaults{Down: c.down})
			second := s.elect("i2", 2)
			defer second.stop()
			rec := second.status(t, "x/1", 2*time.Minute)
			require.Equal(t, c.want, rec.Outcome, c.name)
			require.Equal(t, c.attempt, rec.Attempt, c.name)
		})
	}
}

// Guards against running jobs that are stopped because an answer of a healthy worker is lost while
// the successor takes over, or because the store cannot list the records for a time.
func TestRecoveryUnderFaults(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		require.Empty(t, first.submit(gangJob("1", 2, 60*time.Second)))
		advance(10 * time.Second)
		first.kill()
		advance(5 * time.Second)
		s.workers[0].SetFaults(standin.WorkerFaults{LoseReplies: 2})
		s.store.SetFaults(standin.StoreFaults{Down: true})
		second := s.elect("i2", 2)
		defer second.stop()
		advance(25 * time.Second)
		require.Equal(t, 2, s.runningTasks("x/1"))
		s.store.SetFaults(standin.StoreFaults{})
		rec := second.status(t, "x/1", 0)
		for rec.Phase != structs.PhaseEnded {
			advance(time.Second)
			rec = second.status(t, "x/1", time.Minute)
		}
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
	})
	runOnSite(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		require.Empty(t, first.submit(gangJob("1", 2, 60*time.Second)))
		advance(10 * time.Second)
		first.kill()
		advance(5 * time.Second)
		s.workers[0].SetFaults(standin.WorkerFaults{LoseReplies: 1})
		second := s.elect("i2", 2)
		defer second.stop()
		rec := second.status(t, "x/1", 2*time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
	})
}

// Guards against a gang that keeps running in part when some of its workers become unreachable,
// and against one that is not run again when they are reachable again.
func TestUnreachableWorkers(t *testing.T) {
	runOnSite(t, 3, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		again, once := gangJob("1", 2, 40*time.Second), gangJob("2", 1, 40*time.Second)
		again.Idempotent = true
		require.Empty(t, in.submit(again))
		require.Empty(t, in.submit(once))
		advance(5 * time.Second)
		s.workers[0].SetFaults(standin.WorkerFaults{Down: true})
		s.workers[2].SetFaults(standin.WorkerFaults{Down: true})
		advance(WorkerLease + 5*time.Second)
		require.Equal(t, 0, s.runningTasks("x/1"), "a task still runs")
		require.Equal(t, "silent", in.c.Status()[0].Workers[0].State)
		require.Equal(t, structs.OutcomeMayHaveRun, in.status(t, "x/2", 0).Outcome)
		s.workers[0].SetFaults(standin.WorkerFaults{})
		s.workers[2].SetFaults(standin.WorkerFaults{})
		rec := in.status(t, "x/1", 2*time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 2, rec.Attempt)
		require.Len(t, s.starts("x/2"), 1)
	})
}

// Guards against a planned change of owner that interrupts running jobs.
func TestPlannedHandover(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		require.Empty(t, first.submit(gangJob("1", 2, 30*time.Second)))
		advance(8 * time.Second)
		first.stop()
		advance(9 * time.Second)
		second := s.elect("i2", 2)
		defer second.stop()
		rec := second.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
	})
}

// Guards against a worker that fails every job and is not ejected, and against a job that fails on
// every worker and is retried without limit.
func TestFailingWorkerAndFailingJob(t *testing.T) {
	runOnSite(t, 4, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		s.workers[0].SetFaults(standin.WorkerFaults{FailAll: true})
		for i := range 8 {
			j := gangJob(fmt.Sprint(i), 1, 4*time.Second)
			j.Idempotent = true
			require.Empty(t, in.submit(j))
		}
		for i := range 8 {
			require.Equal(t, structs.OutcomeSucceeded, in.status(t, fmt.Sprintf("x/%d", i), time.Minute).Outcome)
		}
		require.Equal(t, "ejected", in.c.Status()[0].Workers[0].State)
		s.workers[0].SetFaults(standin.WorkerFaults{})
		advance(minProbeBackoff + time.Second)
		require.Equal(t, "ready", in.c.Status()[0].Workers[0].State)

		bad := gangJob("bad", 1, 0)
		bad.Idempotent, bad.Payload = true, []byte(`{"run_ms":10,"fail":true}`)
		require.Empty(t, in.submit(bad))
		rec := in.status(t, "x/bad", 2*time.Minute)
		require.Equal(t, structs.OutcomeFailed, rec.Outcome)
		require.LessOrEqual(t, rec.Attempt, maxFailedAttempts)
		on := map[string]bool{}
		for _, w := range s.workers {
			for _, r := range w.Starts() {
				if r.Task.Job == "x/bad" {
					on[w.Info().ID] = true
				}
			}
		}
		require.Greater(t, len(on), 1, "the job failed after attempts on one worker only")
	})
}

// scriptedPolicy plans the actions that a test returns, and falls back to first fit if there are none.
type scriptedPolicy struct {
	scheduler.FirstFit
	actions func(d *state.DataCentre) []structs.Action
}

func (p scriptedPolicy) Decide(d *state.DataCentre, now time.Time) structs.Plan {
	if actions := p.actions(d); len(actions) > 0 {
		return structs.Plan{Actions: actions}
	}
	return p.FirstFit.Decide(d, now)
}

// Guards against a transferred job that both data centres run, or neither, also if the answer to
// the write of the transfer is lost.
func TestTransfer(t *testing.T) {
	for lost := range 2 {
		runOnSite(t, 1, func(t *testing.T, s *site) {
			s.policy = scriptedPolicy{actions: func(d *state.DataCentre) []structs.Action {
				if d.Name != dcA || len(d.Queue) == 0 {
					return nil
				}
				return []structs.Action{{Kind: structs.ActionTransfer, Job: d.Queue[0].ID, Reason: "test"}}
			}}
			s.addDataCentreB(1)
			in := s.elect("i1", 1)
			defer in.stop()
			second := s.startInstance("i2")
			defer second.stop()
			second.c.Elected("b", 2)
			advance(time.Second)
			require.Empty(t, in.submit(gangJob("1", 1, 5*time.Second)))
			s.store.SetFaults(standin.StoreFaults{LoseWriteReplies: lost})
			advance(2 * recordListInterval)
			r, err := second.c.JobStatus(context.Background(), &peer.JobStatusRequest{DataCentre: "b", Job: "x/1"})
			require.NoError(t, err)
			require.Contains(t, string(r.Record), `"succeeded"`, r.Message)
			require.Len(t, s.starts("x/1"), 1)
			require.EqualValues(t, 2, s.starts("x/1")[0].Token)
		})
	}
}

// Guards against grants that stay in force without renewals, grants of another owner that are
// renewed here, and replies without the fencing token.
func TestSlotGrants(t *testing.T) {
	runOnSite(t, 1, func(t *testing.T, s *site) {
		s.policy = scriptedPolicy{actions: func(d *state.DataCentre) []structs.Action {
			if len(d.Demands) == 0 || len(d.Grants) > 0 {
				return nil
			}
			return []structs.Action{{Kind: structs.ActionGrant, Instance: d.Demands[0].Instance, Service: "req", Worker: "w1", Slots: 2, Reason: "demand"}}
		}}
		in := s.elect("i1", 7)
		defer in.stop()
		rev := s.revision()
		rev.Number++
		rev.Manifest.Services = []structs.Service{{Name: "req", SlotShape: structs.Resources{Slots: 1}}}
		in.c.Configure(rev, nil)
		advance(time.Millisecond)
		lease := func(keep ...string) *peer.LeaseSlotsReply {
			r, err := in.c.LeaseSlots(context.Background(), &peer.LeaseSlotsRequest{Instance: "e1", DataCentre: dcA, Service: "req", Wanted: 2, Keep: keep})
			require.NoError(t, err)
			require.Empty(t, r.ErrorKind, r.Message)
			require.EqualValues(t, 7, r.Token)
			return r
		}
		first := lease().Grants
		require.Len(t, first, 1)
		require.EqualValues(t, 2, first[0].Slots)
		require.EqualValues(t, 3000, first[0].TtlMs)
		for range 5 {
			advance(time.Second)
			require.Equal(t, first[0].Id, lease(first[0].Id).Grants[0].Id)
		}
		require.Equal(t, 6, in.c.Status()[0].Workers[0].Free.Slots)
		advance(2 * time.Second)
		foreign := strings.Replace(first[0].Id, "7/", "6/", 1)
		lease(foreign)
		advance(1500 * time.Millisecond) // the grant has expired, the demand has not
		require.NotEqual(t, first[0].Id, lease(foreign).Grants[0].Id)
		advance(2*state.GrantTTL + time.Second) // a last grant may follow the last demand
		require.Equal(t, 0, in.c.Status()[0].Grants)
		require.Equal(t, workerCapacity, in.c.Status()[0].Workers[0].Free)
	})
}
