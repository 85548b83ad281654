package gateway

import (
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

// Guards against running a non-idempotent request twice when it is sent to two instances at the same
// time, or again to another instance after the response was lost.
func TestDuplicatesThroughTwoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		f := newFixture(t, 2, 8, 5*time.Millisecond, standin.Upstream{}, newLedger("i1", store))
		entries := []*fixture{f, f.newInstance(t, "i2", newLedger("i2", store))}
		var mu sync.Mutex
		answered := map[string]int{}
		var wg sync.WaitGroup
		for i := range 80 {
			id := fmt.Sprint("r", i/4)
			wg.Go(func() {
				got := entries[i%2].do(t.Context(), rota(id, false))
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusOK {
					answered[id]++
					return
				}
				if got.err.Kind != errkind.DuplicateRequest {
					t.Errorf("%s: %s", id, got.body)
				}
			})
		}
		wg.Wait()
		for i := range 20 {
			id := fmt.Sprint("r", i)
			require.Equal(t, 1, answered[id], id)
			require.Equal(t, 1, f.runs("verband", id), id)
		}
		f.setFaults(2, standin.WorkerFaults{CloseBeforeReply: true})
		requireRefused(t, entries[0].do(t.Context(), rota("lost", false)), errkind.UpstreamUncertain)
		f.setFaults(2, standin.WorkerFaults{})
		requireRefused(t, entries[1].do(t.Context(), rota("lost", false)), errkind.DuplicateRequest)
		require.Equal(t, 1, f.runs("verband", "lost"))
	})
}

// Guards against a store outage that blocks idempotent requests, or during which a non-idempotent
// request runs without a claim.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		f := newFixture(t, 1, 8, 0, standin.Upstream{}, newLedger("i1", store))
		store.SetFaults(standin.StoreFaults{Down: true})
		requireRefused(t, f.do(t.Context(), rota("n", false)), errkind.StoreUnavailable)
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("i", true)).status)
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(time.Second)
		require.Zero(t, f.runs("verband", "n"))
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("n", false)).status)
	})
}

// Guards against instances whose grants together exceed a worker's slots, so that the worker has to
// refuse requests.
func TestInstancesShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 4, 10*time.Millisecond, standin.Upstream{}, nil)
		entries := []*fixture{f, f.newInstance(t, "i2", nil), f.newInstance(t, "i3", nil)}
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				require.Equal(t, http.StatusOK, entries[i%7%3].do(t.Context(), rota(fmt.Sprint(i), true)).status)
			})
		}
		wg.Wait()
		for _, w := range f.workers {
			require.Zero(t, w.Refusals())
		}
	})
}
