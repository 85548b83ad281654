package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

// Guards against losing or modifying a request or its response between caller and worker over HTTP.
func TestShortRequestEndToEnd(t *testing.T) {
	f := newFixture(t, 2, 8, 0, nil, nil)
	web := httptest.NewServer(f.Handler())
	defer web.Close()
	client := web.Client()
	defer client.CloseIdleConnections()
	r := rota("a1", true).build(t.Context())
	r.URL.Host = web.Listener.Addr().String()
	resp, err := client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	got := readReply(resp)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, "done:plan", got.body)
	require.Equal(t, "a1", resp.Header.Get(HeaderRequestID))
	require.Equal(t, 1, f.runs("verband", "a1"))
	decisions := f.Explain("verband/a1")
	require.Len(t, decisions, 1)
	require.True(t, decisions[0].Ended)
	require.Empty(t, decisions[0].Kind)
}

// Guards against refusals with a wrong kind or run state, and against refused requests that reach a
// worker.
func TestRefusalsReachNoWorker(t *testing.T) {
	upstream := standin.Upstream{}
	f := newFixture(t, 1, 8, 0, upstream, nil)
	cases := map[errkind.Kind]request{
		errkind.UnknownWorkspace: {workspace: "nobody", service: "rota", id: "r"},
		errkind.UnknownService:   {workspace: "verband", service: "none", id: "r"},
		errkind.BadRequest:       {workspace: "verband", service: "rota", id: "no/slash"},
		errkind.BodyTooLarge:     {workspace: "verband", service: "rota", id: "r", body: strings.Repeat("x", 1<<20+1)},
		errkind.NeverRunnable:    {workspace: "verband", service: "huge", id: "r", idempotent: true},
		errkind.StoreUnavailable: {workspace: "verband", service: "rota", id: "r"}, // the fixture has no claims ledger
	}
	for kind, q := range cases {
		requireRefused(t, f.do(t.Context(), q), kind)
	}
	slow := request{workspace: "slow", service: "rota", id: "r", idempotent: true}
	require.Equal(t, http.StatusOK, f.do(t.Context(), slow).status)
	limited := f.do(t.Context(), slow)
	requireRefused(t, limited, errkind.RateLimited)
	require.Positive(t, limited.err.RetryAfterMS)
	require.Equal(t, map[string]int{"slow/r": 1}, f.workers[0].Runs())
}
