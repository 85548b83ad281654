package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// runOnSite runs a test on a new site with virtual time.
func runOnSite(t *testing.T, workers int, f func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) { f(t, newSite(workers)) })
}

// elect starts an instance that owns data centre a.
func (s *site) elect(name string, token uint64) *instance {
	in := s.startInstance(name)
	in.c.Elected(dcA, token)
	advance(100 * time.Millisecond)
	return in
}

// Guards against jobs that are restarted or lost when their owner dies.
func TestOwnerDeathAdoptsRunningWork(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		require.Empty(t, first.submit(gangJob("1", 2, 40*time.Second)))
		require.Empty(t, first.submit(gangJob("2", 1, time.Second))) // stays queued
		advance(20 * time.Second)
		first.kill()
		advance(12 * time.Second) // the dead owner's lease and one more second for the election
		second := s.elect("i2", 2)
		defer second.stop()
		rec := second.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
		require.Len(t, s.starts("x/1"), 2)
		require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/2", time.Minute).Outcome)
	})
}

// Guards against a paused owner that starts or renews tasks after its successor took over. The
// owner is paused between its last check of the start gate and the start.
func TestPausedOwnerIsFenced(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		defer first.kill()
		s.onGateCall = func(n int) {
			if n == 3 { // calls: decision, reservation, start
				first.gate.freeze()
			}
		}
		require.Empty(t, first.submit(gangJob("1", 2, 20*time.Second)))
		advance(time.Second)
		require.Equal(t, 0, s.runningTasks("x/1"))
		second := s.elect("i2", 2)
		defer second.stop()
		first.gate.thaw()
		advance(5 * time.Second)
		require.True(t, first.c.Status()[0].Fenced)
		require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/1", time.Minute).Outcome)
		for _, r := range s.starts("x/1") {
			require.EqualValues(t, 2, r.Token)
		}
		require.Equal(t, "stale_token", first.submit(gangJob("2", 1, time.Second)))
	})
}

// Guards against a start after a withdrawal that takes effect between reserve and start, or that
// follows within seconds on the return of the data centre.
func TestWithdrawal(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		s.onGateCall = func(n int) {
			if n == 3 {
				s.stage = structs.StageOut
			}
		}
		j := gangJob("1", 2, 20*time.Second)
		j.Checkpoint = true
		require.Empty(t, in.submit(j))
		advance(5 * time.Second)
		require.Empty(t, s.starts("x/1"), "started after the withdrawal")
		require.Equal(t, workerCapacity, in.c.Status()[0].Workers[0].Free, "a reservation was not released")

		s.commitStage(structs.StageOpen, in)
		advance(5 * time.Second)
		require.Equal(t, 2, s.runningTasks("x/1"))
		s.commitStage(structs.StageOut, in)
		s.commitStage(structs.StageReturning, in)
		s.commitStage(structs.StageOut, in)
		advance(5 * time.Second)
		require.Equal(t, 0, s.runningTasks("x/1"))
		require.Len(t, s.starts("x/1"), 2)
		s.commitStage(structs.StageReturning, in)
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Checkpoints)
	})
}

// Guards against a withdrawal that stops a running job which may not run again.
func TestWithdrawalLeavesOtherWorkRunning(t *testing.T) {
	runOnSite(t, 2, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		require.Empty(t, in.submit(gangJob("1", 2, 20*time.Second)))
		advance(5 * time.Second)
		s.commitStage(structs.StageOut, in)
		advance(5 * time.Second)
		require.Equal(t, 2, s.runningTasks("x/1"))
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
	})
}

// Guards against capacity that is reused while a task still runs in it because its worker ignored
// the stop.
func TestIgnoredStop(t *testing.T) {
	runOnSite(t, 1, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		j := gangJob("1", 1, time.Hour)
		j.Idempotent = true
		require.Empty(t, in.submit(j))
		advance(2 * time.Second)
		s.workers[0].SetFaults(standin.WorkerFaults{IgnoreStop: true})
		require.Empty(t, in.cancelJob("x/1"))
		require.Empty(t, in.submit(gangJob("2", 1, time.Second)))
		require.Equal(t, structs.OutcomeCancelled, in.status(t, "x/1", 5*time.Second).Outcome)
		require.Equal(t, 1, s.runningTasks("x/1"))
		require.Equal(t, 1, in.c.Status()[0].Workers[0].Holds)
		require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/2", time.Minute).Outcome)
		require.Equal(t, 0, s.runningTasks("x/1"))
		require.False(t, s.starts("x/2")[0].StartedAt.Before(s.starts("x/1")[0].EndedAt), "started in held capacity")
	})
}

// Guards against a gang of which one task keeps running, or runs twice, after an answer to its
// reserve or start is lost.
func TestLostAnswersOfWorkers(t *testing.T) {
	for lost := range 4 {
		for _, idempotent := range []bool{false, true} {
			runOnSite(t, 2, func(t *testing.T, s *site) {
				in := s.elect("i1", 1)
				defer in.stop()
				j := gangJob("1", 2, 20*time.Second)
				j.Idempotent = idempotent
				advance(100 * time.Millisecond)
				s.onGateCall = func(n int) {
					if n == 2+lost/2 { // lost 0 and 1: before reserve; 2 and 3: before start
						s.workers[lost%2].SetFaults(standin.WorkerFaults{LoseReplies: 1})
					}
				}
				require.Empty(t, in.submit(j))
				rec := in.status(t, "x/1", 3*time.Minute)
				attempts := map[int]int{}
				for _, r := range s.starts("x/1") {
					attempts[r.Task.Attempt]++
				}
				switch {
				case lost < 2:
					require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
					require.Len(t, attempts, 1)
				case idempotent:
					require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
					require.Len(t, attempts, 2)
				default:
					require.Equal(t, structs.OutcomeMayHaveRun, rec.Outcome)
					require.Len(t, attempts, 1)
				}
				require.Equal(t, 0, s.runningTasks("x/1"))
			})
		}
	}
}
