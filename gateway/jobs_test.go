package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// owners are the owners of the data centres, with faults by data centre.
type owners struct {
	jobs map[string]string // job → data centre
	down map[string]error
	ends time.Time // when jobs end
	asks []string  // data centres that were asked to take a job
}

func (o *owners) SubmitJob(_ context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	o.asks = append(o.asks, r.DataCentre)
	if err := o.down[r.DataCentre]; err != nil {
		return nil, err
	}
	var j structs.Job
	if err := json.Unmarshal(r.Job, &j); err != nil {
		return nil, err
	}
	if o.jobs[j.ID] != "" {
		return &peer.SubmitJobReply{ErrorKind: string(errkind.DuplicateRequest), Message: "used before"}, nil
	}
	o.jobs[j.ID] = r.DataCentre
	return &peer.SubmitJobReply{}, nil
}

func (o *owners) CancelJob(_ context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	o.ends = time.Now()
	return &peer.CancelJobReply{}, o.down[r.DataCentre]
}

func (o *owners) JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error) {
	if err := o.down[r.DataCentre]; err != nil {
		return nil, err
	}
	if o.jobs[r.Job] != r.DataCentre {
		return &peer.JobStatusReply{ErrorKind: string(errkind.JobUnknown), Message: "unknown"}, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(min(time.Until(o.ends), time.Duration(r.WaitMs)*time.Millisecond)):
	}
	record := structs.JobRecord{Phase: structs.PhaseRunning}
	if !time.Now().Before(o.ends) {
		record.Phase = structs.PhaseEnded
	}
	raw, err := json.Marshal(record)
	return &peer.JobStatusReply{Record: raw}, err
}

var errOwnerSilent = errors.New("connection lost")

func newJobServer(summaries ...*peer.Summary) (*fixture, *owners) {
	o := &owners{jobs: map[string]string{}, down: map[string]error{}, ends: time.Now().Add(time.Hour)}
	m := testManifest()
	m.DataCentres = append(m.DataCentres, structs.DataCentre{Name: "dc2", Stage: structs.StageOpen, Fleet: m.DataCentres[0].Fleet})
	return &fixture{Server: New(Options{
		Instance: "i1", DataCentre: "dc1", Manifest: m, Jobs: o, Metrics: metrics.NewRegistry(),
		Summaries: func() []*peer.Summary { return summaries },
	})}, o
}

func (f *fixture) job(method, path, body string) reply {
	rec := httptest.NewRecorder()
	f.Handler().ServeHTTP(rec, httptest.NewRequest(method, "/v1/jobs"+path, strings.NewReader(body)))
	return readReply(rec.Result())
}

const trainJob = `{"workspace": "brazos", "service": "train", "request_id": "j1", "shape": {"tasks": 4, "task": {"accelerators": 8}}}`

// Guards against a job that cannot be followed after its acceptance, a wait that does
// not end, and a repeated id that is accepted twice.
func TestJobLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newJobServer()
		accepted := f.job(http.MethodPost, "", trainJob)
		require.Equal(t, http.StatusAccepted, accepted.status, accepted.body)
		require.JSONEq(t, `{"id": "brazos/j1", "data_centre": "dc1", "stage": "open"}`, accepted.body)
		requireRefused(t, f.job(http.MethodPost, "", trainJob), errkind.DuplicateRequest)
		require.Contains(t, f.job(http.MethodGet, "/brazos/j1", "").body, `"phase":"running"`)
		o.ends = time.Now().Add(10 * time.Second)
		began := time.Now()
		require.Contains(t, f.job(http.MethodGet, "/brazos/j1?wait=30s", "").body, `"phase":"ended"`)
		require.Equal(t, 10*time.Second, time.Since(began))
		require.Equal(t, http.StatusOK, f.job(http.MethodDelete, "/brazos/j1", "").status)
		requireRefused(t, f.job(http.MethodGet, "/brazos/j2", ""), errkind.JobUnknown)
	})
}

// Guards against jobs that are refused at the owner instead of at once, or without the limit.
func TestJobRefusals(t *testing.T) {
	f, o := newJobServer()
	for body, kind := range map[string]errkind.Kind{
		`{`: errkind.BadRequest,
		strings.Replace(trainJob, "brazos", "nobody", 1):                        errkind.UnknownWorkspace,
		strings.Replace(trainJob, "train", "rota", 1):                           errkind.BadRequest,
		strings.Replace(trainJob, `"tasks": 4`, `"tasks": 5`, 1):                errkind.NeverRunnable,
		strings.Replace(trainJob, `"tasks": 4`, `"tasks": 0`, 1):                errkind.BadRequest,
		strings.Replace(trainJob, `"accelerators": 8`, `"accelerators": 9`, 1):  errkind.NeverRunnable,
		strings.Replace(trainJob, `"accelerators": 8`, `"accelerators": -1`, 1): errkind.BadRequest,
	} {
		requireRefused(t, f.job(http.MethodPost, "", body), kind)
	}
	require.Empty(t, o.asks)
}

// Guards against a job in two data centres: after an owner may have taken it no other is
// asked. An owner that was not reached does not stop the job.
func TestJobSubmissionWithLostOwner(t *testing.T) {
	f, o := newJobServer()
	o.down["dc1"] = errOwnerSilent
	requireRefused(t, f.job(http.MethodPost, "", trainJob), errkind.UpstreamUncertain)
	require.Equal(t, []string{"dc1"}, o.asks)
	o.down["dc1"] = errkind.New(errkind.OwnerUnavailable, "no connection")
	require.Contains(t, f.job(http.MethodPost, "", trainJob).body, `"dc2"`)
	requireRefused(t, f.job(http.MethodGet, "/brazos/j9", ""), errkind.OwnerUnavailable)
}

// Guards against a stop that waits for callers who wait for a job's end.
func TestDrainEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newJobServer()
		require.Equal(t, http.StatusAccepted, f.job(http.MethodPost, "", trainJob).status)
		waited := make(chan reply)
		go func() { waited <- f.job(http.MethodGet, "/brazos/j1?wait=60s", "") }()
		synctest.Wait()
		began := time.Now()
		go func() { _ = f.Drain(t.Context()) }()
		got := <-waited
		require.Contains(t, got.body, `"phase":"running"`)
		require.Zero(t, time.Since(began))
	})
}

// Guards against jobs sent to a data centre that cannot start them while another can.
func TestRouteJob(t *testing.T) {
	fleet := structs.FleetSpec{Workers: 8, Capacity: structs.Resources{Slots: 8, Accelerators: 8}}
	r := &structs.Revision{Number: 3}
	m := &r.Manifest
	for _, name := range []string{"a", "b", "c", "d", "small"} {
		m.DataCentres = append(m.DataCentres, structs.DataCentre{Name: name, Stage: structs.StageOpen, Fleet: fleet})
	}
	m.DataCentre("small").Fleet.Workers = 1
	shape := structs.Shape{Tasks: 4, Task: structs.Resources{Slots: 1, Accelerators: 8}, Adjacent: true}
	summary := func(dc string, free, gang, queued int32) *peer.Summary {
		return &peer.Summary{DataCentre: dc, Owner: "i1", Token: 2, FreeSlots: 64, FreeAccelerators: free, LargestGang: gang, QueuedAccelerators: 8 * queued}
	}
	job := &structs.Job{Workspace: "x", Shape: shape}
	order := func(home string, sums ...*peer.Summary) (names string) {
		for _, rank := range RouteJob(r, sums, job, home) {
			names += rank.DataCentre
		}
		return names
	}
	require.Equal(t, "cabd", order("c"), "home first when nothing else is known")
	require.Equal(t, "bacd", order("c", summary("b", 64, 8, 0), summary("a", 64, 3, 0)), "the gang fits in b only")
	require.Equal(t, "abcd", order("", summary("b", 64, 8, 5), summary("a", 64, 8, 1)), "the shorter queue")
	stale := summary("b", 64, 8, 0)
	stale.Token = 1
	require.Equal(t, "abcd", order("", summary("b", 64, 8, 5), stale, summary("a", 64, 8, 1)), "an older owner's summary")
	m.Workspaces = []structs.Workspace{{Name: "w"}, {Name: "x", Guarantees: []structs.Guarantee{{Name: "g", Shape: shape, Count: 1}}}}
	home := ""
	for dc, shares := range manifest.Apportion(*m) {
		if len(shares) > 0 {
			home = dc
		}
	}
	unused := summary(home, 0, 0, 9)
	unused.Revision, unused.UnusedGuarantees = 3, []byte{2}
	require.Equal(t, home, order("", summary("b", 64, 8, 0), unused)[:1], "an unused guarantee before free room")
	unused.Revision = 2
	require.NotEqual(t, home, order("", summary("d", 64, 8, 0), unused)[:1], "a summary of another revision")
	m.Workspaces = nil
	m.DataCentre("a").Stage = structs.StageDraining
	m.DataCentre("d").Stage = structs.StageReturning
	require.Equal(t, "bcda", order("", summary("a", 64, 8, 0)), "draining last, returning allowed")
}
