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

// Guards against a second run of a non-idempotent request because the HTTP transport resends it on a new
// connection after the worker has closed a kept-alive one.
func TestNoTransportReplay(t *testing.T) {
	f := newFixture(t, 1, 8, 0, nil, newLedger("i1", standin.NewStore()))
	require.Equal(t, http.StatusOK, f.do(t.Context(), rota("first", false)).status)
	f.setFaults(1, standin.WorkerFaults{CloseBeforeReply: true})
	requireRefused(t, f.do(t.Context(), rota("closed", false)), errkind.UpstreamUncertain)
	f.setFaults(1, standin.WorkerFaults{})
	requireRefused(t, f.do(t.Context(), rota("closed", false)), errkind.DuplicateRequest)
	require.Equal(t, 1, f.runs("verband", "closed"))
}

// Guards against returning the response of another attempt, or a truncated response, to the caller.
func TestCrossedAnswer(t *testing.T) {
	for name, faults := range map[string]standin.WorkerFaults{"crossed": {WrongAttemptID: true}, "truncated": {TruncateReplies: true}} {
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

// Guards against reporting "not run" after a late response, and against releasing the slot of an attempt
// that still runs on the worker after the caller has disconnected.
func TestLateResponseAndDisconnectedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 20*time.Millisecond, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		f.setFaults(1, standin.WorkerFaults{ReplyDelay: time.Second})
		late := rota("late", false)
		late.deadlineMS = 500
		requireRefused(t, f.do(t.Context(), late), errkind.UpstreamUncertain)
		f.setFaults(1, standin.WorkerFaults{ReplyDelay: 200 * time.Millisecond})
		ctx, cancel := withTimeout(t, 100*time.Millisecond)
		defer cancel()
		go f.do(ctx, rota("gone", true))
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 1, f.pool.Status().Services[0].InUse, "the attempt continues after the caller has disconnected")
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, f.pool.Status().Services[0].InUse)
		require.Equal(t, 1, f.runs("verband", "gone"))
	})
}

// Guards against retries that multiply the load while all workers fail.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4, 4, time.Millisecond, standin.Upstream{}, nil)
		f.setFaults(4, standin.WorkerFaults{CloseBeforeReply: true})
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

// Guards against reporting "not run" because the last attempt was refused although an earlier one may
// have run, and against a retry on a worker that was already tried.
func TestRefusedRetryKeepsRunState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, time.Millisecond, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		f.setFaults(2, standin.WorkerFaults{CloseBeforeReply: true})
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
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("b", false)).status, "the claim of the refused request was released")
	})
}
