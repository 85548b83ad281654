package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

// Guards against a second run of a non-idempotent request that the HTTP transport sends
// again on a new connection, after the worker has closed a kept-alive one.
func TestNoTransportReplay(t *testing.T) {
	f := newFixture(t, 1, 8, 0, nil, newLedger("i1", standin.NewStore()))
	require.Equal(t, http.StatusOK, f.do(t.Context(), rota("first", false)).status)
	f.setFaults(1, standin.WorkerFaults{CloseAfterRead: true})
	requireRefused(t, f.do(t.Context(), rota("closed", false)), errkind.UpstreamUncertain)
	f.setFaults(1, standin.WorkerFaults{})
	requireRefused(t, f.do(t.Context(), rota("closed", false)), errkind.DuplicateRequest)
	require.Equal(t, 1, f.runs("verband", "closed"))
}

// Guards against an answer that belongs to another attempt, or that is cut short, being
// passed on to a caller.
func TestCrossedAnswer(t *testing.T) {
	for name, faults := range map[string]standin.WorkerFaults{"crossed": {CrossAnswers: true}, "truncated": {Truncate: true}} {
		f := newFixture(t, 4, 1, 0, nil, newLedger("i1", standin.NewStore()))
		f.setFaults(4, faults)
		requireRefused(t, f.do(t.Context(), rota(name, false)), errkind.AnswerInvalid)
		require.Equal(t, 1, f.runs("verband", name))
		f.setFaults(4, standin.WorkerFaults{})
		f.setFaults(2, faults)
		for i := range 8 {
			q := rota(name+string(rune('a'+i)), true)
			q.body = q.id
			got := f.do(t.Context(), q)
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, "done:"+q.id, got.body)
		}
	}
}

// Guards against a late answer that is reported as "not run", and against a slot that is
// given away while the caller is gone but the worker still runs its attempt.
func TestLateAnswerAndGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 20*time.Millisecond, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		f.setFaults(1, standin.WorkerFaults{Late: time.Second})
		late := rota("late", false)
		late.deadlineMS = 500
		requireRefused(t, f.do(t.Context(), late), errkind.UpstreamUncertain)
		f.setFaults(1, standin.WorkerFaults{Late: 200 * time.Millisecond})
		ctx, cancel := contextAfter(t, 100*time.Millisecond)
		defer cancel()
		go f.do(ctx, rota("gone", true))
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 1, f.pool.Status().Services[0].InUse, "the attempt runs on without its caller")
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, f.pool.Status().Services[0].InUse)
		require.Equal(t, 1, f.runs("verband", "gone"))
	})
}

// Guards against retries that multiply the load when every worker fails.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4, 4, time.Millisecond, standin.Upstream{}, nil)
		f.setFaults(4, standin.WorkerFaults{CloseAfterRead: true})
		const requests = 1000
		for i := range requests {
			requireRefused(t, f.do(t.Context(), rota(string(rune('a'+i%26)), true)), errkind.UpstreamUncertain)
		}
		attempts := 0
		for _, w := range f.workers {
			for _, n := range w.Runs() {
				attempts += n
			}
		}
		minimum := minRetryBurst + int(requests*2*time.Millisecond/time.Second)*minRetriesPerSec
		require.Greater(t, attempts, requests)
		require.LessOrEqual(t, attempts, requests+requests/10+minimum)
	})
}

// Guards against a refusal of the last attempt hiding that an earlier one may have run,
// and against a retry on the worker that was tried before.
func TestRefusedRetryKeepsRunState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, time.Millisecond, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		f.setFaults(2, standin.WorkerFaults{CloseAfterRead: true})
		first := f.do(t.Context(), rota("a", true))
		requireRefused(t, first, errkind.UpstreamUncertain)
		for _, w := range f.workers {
			require.LessOrEqual(t, w.Runs()["verband/a"], 1)
			w.SetLeaving(true)
		}
		requireRefused(t, f.do(t.Context(), rota("b", false)), errkind.UpstreamRefused)
		require.Zero(t, f.runs("verband", "b"))
		for _, w := range f.workers {
			w.SetLeaving(false)
			w.SetFaults(standin.WorkerFaults{})
		}
		time.Sleep(time.Minute)
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("b", false)).status, "the refused id is free again")
	})
}
