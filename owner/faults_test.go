package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// within runs a test on a site in a bubble of virtual time.
func within(t *testing.T, workers int, f func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) { f(t, newSite(workers)) })
}

// elect starts an instance that owns the data centre.
func (s *site) elect(name string, token uint64) *instance {
	in := s.run(name)
	in.c.Elected(dcA, token)
	after(100 * time.Millisecond)
	return in
}

// Guards against work that is restarted or lost when its owner dies.
func TestOwnerDeathAdoptsRunningWork(t *testing.T) {
	within(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		require.Empty(t, first.submit(jobOf("1", 2, 40*time.Second)))
		require.Empty(t, first.submit(jobOf("2", 1, time.Second))) // stays queued
		after(20 * time.Second)
		first.kill()
		after(12 * time.Second) // the dead owner's lease and one more second for the election
		second := s.elect("i2", 2)
		defer second.stop()
		rec := second.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
		require.Len(t, s.starts("x/1"), 2)
		require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/2", time.Minute).Outcome)
	})
}

// Guards against a paused owner that starts or renews work after its successor took over,
// here between its last check and the start.
func TestPausedOwnerIsFenced(t *testing.T) {
	within(t, 2, func(t *testing.T, s *site) {
		first := s.elect("i1", 1)
		defer first.kill()
		s.gated = func(n int) {
			if n == 3 { // the decision, the reservation, the start
				first.gate.freeze()
			}
		}
		require.Empty(t, first.submit(jobOf("1", 2, 20*time.Second)))
		after(time.Second)
		require.Equal(t, 0, s.running("x/1"))
		second := s.elect("i2", 2)
		defer second.stop()
		first.gate.thaw()
		after(5 * time.Second)
		require.True(t, first.c.Status()[0].Fenced)
		require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/1", time.Minute).Outcome)
		for _, r := range s.starts("x/1") {
			require.EqualValues(t, 2, r.Token)
		}
		require.Equal(t, "stale_token", first.submit(jobOf("2", 1, time.Second)))
	})
}

// Guards against a start after a withdrawal, in the moment between reserve and start and
// when the data centre returns and leaves again within seconds.
func TestWithdrawal(t *testing.T) {
	within(t, 2, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		s.gated = func(n int) {
			if n == 3 {
				s.stage = structs.StageOut
			}
		}
		j := jobOf("1", 2, 20*time.Second)
		j.Checkpoint = true
		require.Empty(t, in.submit(j))
		after(5 * time.Second)
		require.Empty(t, s.starts("x/1"), "started after the withdrawal")
		require.Equal(t, wholeWorker, in.c.Status()[0].Workers[0].Free, "a reservation is left")

		s.commit(structs.StageOpen, in)
		after(5 * time.Second)
		require.Equal(t, 2, s.running("x/1"))
		s.commit(structs.StageOut, in)
		s.commit(structs.StageReturning, in)
		s.commit(structs.StageOut, in)
		after(5 * time.Second)
		require.Equal(t, 0, s.running("x/1"))
		require.Len(t, s.starts("x/1"), 2)
		s.commit(structs.StageReturning, in)
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Checkpoints)
	})
}

// Guards against a withdrawal that cuts short work which may not run again.
func TestWithdrawalLeavesOtherWorkRunning(t *testing.T) {
	within(t, 2, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		require.Empty(t, in.submit(jobOf("1", 2, 20*time.Second)))
		after(5 * time.Second)
		s.commit(structs.StageOut, in)
		after(5 * time.Second)
		require.Equal(t, 2, s.running("x/1"))
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, 1, rec.Attempt)
	})
}

// Guards against room that is given away while a task still runs in it.
func TestIgnoredStop(t *testing.T) {
	within(t, 1, func(t *testing.T, s *site) {
		in := s.elect("i1", 1)
		defer in.stop()
		j := jobOf("1", 1, time.Hour)
		j.Idempotent = true
		require.Empty(t, in.submit(j))
		after(2 * time.Second)
		s.workers[0].SetFaults(standin.WorkerFaults{IgnoreStop: true})
		require.Empty(t, in.cancelJob("x/1"))
		require.Empty(t, in.submit(jobOf("2", 1, time.Second)))
		require.Equal(t, structs.OutcomeCancelled, in.status(t, "x/1", 5*time.Second).Outcome)
		require.Equal(t, 1, s.running("x/1"))
		require.Equal(t, 1, in.c.Status()[0].Workers[0].Holds)
		require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/2", time.Minute).Outcome)
		require.Equal(t, 0, s.running("x/1"))
		require.False(t, s.starts("x/2")[0].At.Before(s.starts("x/1")[0].Until), "started in held room")
	})
}

// Guards against a gang of which one part stays running, or runs twice, when an answer to
// its reserve or start is lost.
func TestLostAnswersOfWorkers(t *testing.T) {
	for lost := range 4 {
		for _, idempotent := range []bool{false, true} {
			within(t, 2, func(t *testing.T, s *site) {
				in := s.elect("i1", 1)
				defer in.stop()
				j := jobOf("1", 2, 20*time.Second)
				j.Idempotent = idempotent
				after(100 * time.Millisecond)
				s.gated = func(n int) {
					if n == 2+lost/2 { // lost 0 and 1: before reserve; 2 and 3: before start
						s.workers[lost%2].SetFaults(standin.WorkerFaults{LoseAnswers: 1})
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
				require.Equal(t, 0, s.running("x/1"))
			})
		}
	}
}
