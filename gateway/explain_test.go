package gateway

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

// Guards against refusals that Explain does not return: on decoding, by the workspace's limits, by the
// claim, and after a refusal by a worker.
func TestRefusalsAreExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		f := newFixture(t, 2, 1, time.Millisecond, standin.Upstream{}, newLedger("i1", store))
		for _, q := range []request{
			{workspace: "verband", service: "no/slash", id: "decode", idempotent: true},
			{workspace: "nobody", service: "rota", id: "limits", idempotent: true},
		} {
			got := f.do(t.Context(), q)
			d := f.Explain(q.workspace + "/" + q.id)
			require.Len(t, d, 1)
			require.Equal(t, []any{string(got.err.Kind), got.err.Message, true, time.Now()}, []any{d[0].Kind, d[0].Message, d[0].Refused, d[0].At})
		}
		require.Equal(t, http.StatusOK, f.do(t.Context(), rota("used", false)).status)
		time.Sleep(time.Second)
		requireRefused(t, f.do(t.Context(), rota("used", false)), errkind.DuplicateRequest)
		d := f.Explain("verband/used")
		require.Len(t, d, 2, "the run and the refusal of the duplicate")
		require.False(t, d[0].Refused)
		require.Equal(t, string(errkind.DuplicateRequest), d[1].Kind)
		for _, w := range f.workers {
			w.SetLeaving(true)
		}
		requireRefused(t, f.do(t.Context(), rota("leaving", true)), errkind.UpstreamRefused)
		attempts := f.Explain("verband/leaving")
		require.NotEmpty(t, attempts)
		for _, d := range attempts {
			require.False(t, d.Refused, "an attempt's error is recorded twice")
		}
	})
}

// Guards against job submissions whose refusal by the gateway or by the owner is not recorded.
func TestJobRefusalsAreExplained(t *testing.T) {
	f, _ := newJobServer()
	requireRefused(t, f.job(http.MethodPost, "", strings.Replace(trainJob, `"tasks": 4`, `"tasks": 0`, 1)), errkind.BadRequest)
	requireRefused(t, f.job(http.MethodPost, "", strings.Replace(trainJob, `"tasks": 4`, `"tasks": 5`, 1)), errkind.NeverRunnable)
	require.Equal(t, http.StatusAccepted, f.job(http.MethodPost, "", trainJob).status)
	requireRefused(t, f.job(http.MethodPost, "", trainJob), errkind.DuplicateRequest)
	var kinds []string
	for _, d := range f.Explain("brazos/j1") {
		require.True(t, d.Refused)
		require.NotEmpty(t, d.Message)
		kinds = append(kinds, d.Kind)
	}
	require.Equal(t, []string{string(errkind.BadRequest), string(errkind.NeverRunnable), string(errkind.DuplicateRequest)}, kinds)
}

// Guards against refusals under overload that evict the decisions for dispatched requests.
func TestRefusalsDoNotEvictDecisions(t *testing.T) {
	f := newFixture(t, 1, 8, 0, standin.Upstream{}, nil)
	require.Equal(t, http.StatusOK, f.do(t.Context(), rota("a1", true)).status)
	for range ringSize + 1 {
		requireRefused(t, f.do(t.Context(), request{workspace: "nobody", service: "rota", id: "r"}), errkind.UnknownWorkspace)
	}
	require.Len(t, f.Explain("verband/a1"), 1)
	require.Len(t, f.Explain("nobody/r"), ringSize)
}

// BenchmarkRefusal measures a request that is refused because its workspace is unknown.
func BenchmarkRefusal(b *testing.B) {
	f := newFixture(b, 1, 8, 0, standin.Upstream{}, nil)
	q := request{workspace: "nobody", service: "rota", id: "r"}
	b.ReportAllocs()
	for b.Loop() {
		f.do(b.Context(), q)
	}
}
