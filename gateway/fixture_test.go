package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cyclamenyard/cyclamenyard/claims"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/testlease"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/slots"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// fixedSeed makes the fuzz tests reproducible. A seed on the command line overrides it.
const fixedSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set(fixedSeed)
	}
	goleak.VerifyTestMain(m)
}

// tb is the common subset of testing.TB and rapid.T.
type tb interface {
	require.TestingT
	Helper()
	Cleanup(func())
}

type fixedManifest structs.Manifest

func (m *fixedManifest) Current() (structs.Revision, bool) {
	return structs.Revision{Number: 1, Manifest: structs.Manifest(*m)}, true
}

func testManifest() *fixedManifest {
	capacity := structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}
	return &fixedManifest{
		DataCentres: []structs.DataCentre{{Name: "dc1", Stage: structs.StageOpen, Fleet: structs.FleetSpec{Workers: 4, Capacity: capacity}}},
		Workspaces: []structs.Workspace{
			{Name: "verband", Weight: 1}, {Name: "brazos", Weight: 3}, {Name: "small", MaxQueued: 1}, {Name: "slow", RatePerSec: 1},
		},
		Services: []structs.Service{
			{Name: "rota", Kind: structs.KindRequest, SlotShape: structs.Resources{Slots: 1}, MaxBody: 1 << 20, MaxAnswer: 2 << 20, Timeout: structs.Duration(5 * time.Second)},
			{Name: "huge", Kind: structs.KindRequest, SlotShape: structs.Resources{Accelerators: 9}},
			{Name: "train", Kind: structs.KindJob, MaxTasks: 64},
		},
	}
}

// fixture is a gateway of one instance with simulated workers.
type fixture struct {
	*Server
	pool    *slots.Pool
	owner   *testlease.Owner
	up      remote.Upstream
	workers []*standin.Worker
}

// newFixture starts a slot pool and workers with slotsEach slots each. The workers are called through
// up, or over HTTP if up is nil.
func newFixture(t tb, workers, slotsEach int, run time.Duration, up remote.Upstream, ledger Claims) *fixture {
	f := &fixture{owner: testlease.NewOwner()}
	for i := range workers {
		info := structs.Worker{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("w%d", i), DataCentre: "dc1", Capacity: structs.Resources{Slots: slotsEach}}
		w := standin.NewWorker(info, run)
		if up == nil {
			web := httptest.NewServer(standin.WorkerHandler(w))
			t.Cleanup(web.Close)
			w.SetAddress(web.Listener.Addr().String())
		}
		f.workers = append(f.workers, w)
		f.owner.Workers = append(f.owner.Workers, w.Info())
	}
	if simulated, ok := up.(standin.Upstream); ok {
		for _, w := range f.workers {
			simulated[w.Info().Address] = w
		}
	}
	if up == nil {
		transport := remote.NewTransport(0)
		t.Cleanup(transport.CloseIdleConnections)
		up = remote.NewUpstreamClient(transport)
	}
	f.up = up
	f.pool, f.Server = f.startInstance(t, "i1", ledger)
	return f
}

// newInstance returns another instance that uses the same workers.
func (f *fixture) newInstance(t tb, name string, ledger Claims) *fixture {
	g := *f
	g.pool, g.Server = f.startInstance(t, name, ledger)
	return &g
}

func (f *fixture) startInstance(t tb, name string, ledger Claims) (*slots.Pool, *Server) {
	pool := slots.New(slots.Options{
		Instance: name, Leaser: f.owner, DataCentres: func() []string { return []string{"dc1"} },
		MayStart: func(string) error { return nil }, Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- pool.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	return pool, New(Options{
		Instance: name, DataCentre: "dc1", Manifest: testManifest(), Slots: pool, Claims: ledger, Upstream: f.up, Metrics: metrics.NewRegistry(),
	})
}

// runs returns how often the request ran, summed over all workers.
func (f *fixture) runs(workspace, id string) int {
	n := 0
	for _, w := range f.workers {
		n += w.Runs()[workspace+"/"+id]
	}
	return n
}

type reply struct {
	status int
	body   string
	err    ErrorBody
}

// request holds the parameters of a short request.
type request struct {
	workspace, service, id string
	idempotent             bool
	deadlineMS             int
	body                   string
}

func (q request) build(ctx context.Context) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://gateway/v1/requests", bytes.NewReader([]byte(q.body)))
	r.Header.Set(HeaderWorkspace, q.workspace)
	r.Header.Set(HeaderService, q.service)
	r.Header.Set(HeaderRequestID, q.id)
	r.Header.Set(HeaderIdempotent, fmt.Sprint(q.idempotent))
	if q.deadlineMS > 0 {
		r.Header.Set(HeaderDeadline, fmt.Sprint(q.deadlineMS))
	}
	return r
}

// do passes a request to the handler without a network connection.
func (f *fixture) do(ctx context.Context, q request) reply {
	rec := httptest.NewRecorder()
	f.Handler().ServeHTTP(rec, q.build(ctx))
	return readReply(rec.Result())
}

// setFaults injects the faults into the first n workers.
func (f *fixture) setFaults(n int, faults standin.WorkerFaults) {
	for _, w := range f.workers[:n] {
		w.SetFaults(faults)
	}
}

func newLedger(name string, store remote.Store) *claims.Ledger {
	return claims.New(claims.Options{Instance: name, Store: store, Metrics: metrics.NewRegistry()})
}

func readReply(resp *http.Response) reply {
	raw, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(raw)}
	if err != nil || resp.StatusCode/100 != 2 {
		_ = json.Unmarshal(raw, &r.err)
	}
	return r
}

func rota(id string, idempotent bool) request {
	return request{workspace: "verband", service: "rota", id: id, idempotent: idempotent, body: "plan"}
}

func requireRefused(t tb, r reply, kind errkind.Kind) {
	t.Helper()
	row := errkind.AnswerOf(kind)
	require.Equal(t, kind, r.err.Kind, r.body)
	require.Equal(t, row.Status, r.status)
	require.Equal(t, row.RunState, r.err.RunState)
	require.Equal(t, row.RetrySafe, r.err.RetrySafe)
}
