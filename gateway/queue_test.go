package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

func withTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}

// Guards against a workspace that gets more than its share of the slots by sending more requests, and
// against starvation of another workspace.
func TestQueueSharesByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2, 10*time.Millisecond, standin.Upstream{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		served := map[string]int{}
		var wg sync.WaitGroup
		send := func(workspace string, n int) {
			for i := range n {
				wg.Go(func() {
					got := f.do(ctx, request{workspace: workspace, service: "rota", id: fmt.Sprint(i), idempotent: true})
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK {
						served[workspace]++
					}
				})
			}
		}
		send("verband", 600) // weight 1, sends first and the most requests
		synctest.Wait()
		send("brazos", 200) // weight 3
		time.Sleep(time.Second)
		mu.Lock()
		light, heavy := served["verband"], served["brazos"]
		mu.Unlock()
		cancel()
		wg.Wait()
		require.InDelta(t, 0.75, float64(heavy)/float64(light+heavy), 0.05, "%d and %d", light, heavy)
		require.Greater(t, light+heavy, 180, "both slots stay busy")
	})
}

// Guards against cancelled requests that reach a worker, stay in the queue or hold a slot, when many are
// cancelled at once.
func TestMassCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, time.Second, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		go f.do(t.Context(), rota("running", true))
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() { requireRefused(t, f.do(ctx, rota(fmt.Sprint("c", i), i%2 == 0)), errkind.Cancelled) })
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		wg.Wait()
		svc := f.limits.get(f.Server).services["rota"]
		require.Zero(t, svc.queue.size())
		require.Zero(t, f.limits.get(f.Server).workspaces["verband"].waiting.Load())
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("after", true)).status)
		require.Equal(t, map[string]int{"verband/running": 1, "verband/after": 1}, f.workers[0].Runs())
	})
}

// Guards against dispatching requests that can no longer meet their deadline.
func TestDeadlineDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 100*time.Millisecond, standin.Upstream{}, nil)
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("first", true)).status)
		go f.do(t.Context(), rota("running", true))
		synctest.Wait()
		tooShort, waiting := rota("too-short", true), rota("waiting", true)
		tooShort.deadlineMS, waiting.deadlineMS = 60, 150
		start := time.Now()
		requireRefused(t, f.do(t.Context(), tooShort), errkind.DeadlineExceeded)
		require.Zero(t, time.Since(start), "refused immediately")
		requireRefused(t, f.do(t.Context(), waiting), errkind.DeadlineExceeded)
		require.Less(t, time.Since(start), 100*time.Millisecond, "dropped before the slot became free")
		time.Sleep(time.Second)
		require.Equal(t, map[string]int{"verband/first": 1, "verband/running": 1}, f.workers[0].Runs())
		for i := range 30 {
			go f.do(t.Context(), rota(fmt.Sprint(i), true))
		}
		time.Sleep(time.Second) // the dispatch interval is measured; the 20 queued requests take 2 s
		start = time.Now()
		waiting.deadlineMS = 400
		requireRefused(t, f.do(t.Context(), waiting), errkind.DeadlineExceeded)
		require.Zero(t, time.Since(start), "refused without being queued")
		time.Sleep(3 * time.Second)
	})
}

// Guards against refusing all requests of a service forever after one slow period.
func TestEstimateRecovers(t *testing.T) {
	e := &latencyEstimate{}
	e.observe(10 * time.Second)
	deadline := time.Now().Add(time.Second)
	misses := 0
	for ; !e.fits(time.Now(), deadline); misses++ {
		e.lowerAfterMiss()
		require.Less(t, misses, 100)
	}
	require.Positive(t, misses)
}

// Guards against an unbounded queue, and against QueueFull responses without a retry delay.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, time.Second, standin.Upstream{}, nil)
		small := func(id string) request {
			return request{workspace: "small", service: "rota", id: id, idempotent: true}
		}
		for _, id := range []string{"runs", "waits"} {
			go f.do(t.Context(), small(id))
			time.Sleep(100 * time.Millisecond)
		}
		full := f.do(t.Context(), small("full"))
		requireRefused(t, full, errkind.QueueFull)
		require.Positive(t, full.err.RetryAfterMS)
		time.Sleep(3 * time.Second)
		require.Zero(t, f.runs("small", "full"))
		require.Equal(t, 1, f.runs("small", "waits"))
	})
}

// Guards against a drain that interrupts a running or queued request, or that admits a new one.
func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, time.Second, standin.Upstream{}, newLedger("i1", standin.NewStore()))
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { require.Equal(t, http.StatusOK, f.do(t.Context(), rota(fmt.Sprint(i), i == 0)).status) })
		}
		time.Sleep(100 * time.Millisecond)
		short, cancel := withTimeout(t, 500*time.Millisecond)
		defer cancel()
		require.Error(t, f.Drain(short), "requests are in flight")
		requireRefused(t, f.do(t.Context(), rota("new", true)), errkind.ShuttingDown)
		require.NoError(t, f.Drain(t.Context()))
		wg.Wait()
		require.Zero(t, f.runs("verband", "new"))
	})
}

// Guards against urgent requests that are dispatched after others of their workspace or at the expense
// of another workspace, and against an idle workspace that accumulates credit for dispatches.
func TestQueueOrder(t *testing.T) {
	q := newFairQueue()
	ws := map[byte]*workspaceLimits{'a': {name: "a"}, 'b': {name: "b"}, 'c': {name: "c"}}
	run := func(ids ...string) (order string) {
		for _, id := range ids {
			w := ws[id[0]]
			w.weight.Store(1)
			q.push(&waiter{call: &call{workspace: w.name, id: id, urgent: id[1] == '!', ws: w}})
		}
		for w := q.pop(func(*waiter) bool { return false }); w != nil; w = q.pop(func(*waiter) bool { return false }) {
			order += w.call.id
		}
		return order
	}
	require.Equal(t, "a!1b1a!2b2a1a2", run("a1", "a2", "a!1", "b1", "a!2", "b2"))
	require.Equal(t, "c1a1c2a2c3", run("a1", "a2", "c1", "c2", "c3"), "c was idle")
}
