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

// fakeOwners simulates the owners of all data centres, with an error per data centre.
type fakeOwners struct {
	jobs        map[string]string // job → data centre
	down        map[string]error
	endAt       time.Time // time at which all jobs end
	submittedTo []string  // data centres that received a submission, in order
}

func (o *fakeOwners) SubmitJob(_ context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	o.submittedTo = append(o.submittedTo, r.DataCentre)
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

func (o *fakeOwners) CancelJob(_ context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	o.endAt = time.Now()
	return &peer.CancelJobReply{}, o.down[r.DataCentre]
}

func (o *fakeOwners) JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error) {
	if err := o.down[r.DataCentre]; err != nil {
		return nil, err
	}
	if o.jobs[r.Job] != r.DataCentre {
		return &peer.JobStatusReply{ErrorKind: string(errkind.JobUnknown), Message: "unknown"}, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(min(time.Until(o.endAt), time.Duration(r.WaitMs)*time.Millisecond)):
	}
	record := structs.JobRecord{Phase: structs.PhaseRunning}
	if !time.Now().Before(o.endAt) {
		record.Phase = structs.PhaseEnded
	}
	raw, err := json.Marshal(record)
	return &peer.JobStatusReply{Record: raw}, err
}

var errConnectionLost = errors.New("connection lost")

func newJobServer(summaries ...*peer.Summary) (*fixture, *fakeOwners) {
	o := &fakeOwners{jobs: map[string]string{}, down: map[string]error{}, endAt: time.Now().Add(time.Hour)}
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

// Guards against an accepted job whose status cannot be read, a status wait that does not end with the
// job, and accepting the same id twice.
func TestJobLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newJobServer()
		accepted := f.job(http.MethodPost, "", trainJob)
		require.Equal(t, http.StatusAccepted, accepted.status, accepted.body)
		require.JSONEq(t, `{"id": "brazos/j1", "data_centre": "dc1", "stage": "open"}`, accepted.body)
		requireRefused(t, f.job(http.MethodPost, "", trainJob), errkind.DuplicateRequest)
		require.Contains(t, f.job(http.MethodGet, "/brazos/j1", "").body, `"phase":"running"`)
		o.endAt = time.Now().Add(10 * time.Second)
		start := time.Now()
		require.Contains(t, f.job(http.MethodGet, "/brazos/j1?wait=30s", "").body, `"phase":"ended"`)
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Equal(t, http.StatusOK, f.job(http.MethodDelete, "/brazos/j1", "").status)
		requireRefused(t, f.job(http.MethodGet, "/brazos/j2", ""), errkind.JobUnknown)
	})
}

// Guards against invalid jobs that are sent to an owner instead of being refused by the gateway.
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
	require.Empty(t, o.submittedTo)
}

// Guards against accepting a job in two data centres: after an owner may have accepted it, no other
// owner is called. If the owner was not reached, the next one is called.
func TestJobSubmissionWithUnreachableOwner(t *testing.T) {
	f, o := newJobServer()
	o.down["dc1"] = errConnectionLost
	requireRefused(t, f.job(http.MethodPost, "", trainJob), errkind.UpstreamUncertain)
	require.Equal(t, []string{"dc1"}, o.submittedTo)
	o.down["dc1"] = errkind.New(errkind.OwnerUnavailable, "no connection")
	require.Contains(t, f.job(http.MethodPost, "", trainJob).body, `"dc2"`)
	requireRefused(t, f.job(http.MethodGet, "/brazos/j9", ""), errkind.OwnerUnavailable)
}

// Guards against a drain that is delayed by status requests waiting for a job to end.
func TestDrainEndsStatusWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newJobServer()
		require.Equal(t, http.StatusAccepted, f.job(http.MethodPost, "", trainJob).status)
		waited := make(chan reply)
		go func() { waited <- f.job(http.MethodGet, "/brazos/j1?wait=60s", "") }()
		synctest.Wait()
		start := time.Now()
		go func() { _ = f.Drain(t.Context()) }()
		got := <-waited
		require.Contains(t, got.body, `"phase":"running"`)
		require.Zero(t, time.Since(start))
	})
}

// Guards against routing a job to a data centre that cannot start it while another one can.
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
	require.Equal(t, "cabd", order("c"), "without summaries the home data centre is first")
	require.Equal(t, "bacd", order("c", summary("b", 64, 8, 0), summary("a", 64, 3, 0)), "the gang fits only in b")
	require.Equal(t, "abcd", order("", summary("b", 64, 8, 5), summary("a", 64, 8, 1)), "the shorter queue")
	stale := summary("b", 64, 8, 0)
	stale.Token = 1
	require.Equal(t, "abcd", order("", summary("b", 64, 8, 5), stale, summary("a", 64, 8, 1)), "a summary with an older token is ignored")
	m.Workspaces = []structs.Workspace{{Name: "w"}, {Name: "x", Guarantees: []structs.Guarantee{{Name: "g", Shape: shape, Count: 1}}}}
	home := ""
	for dc, shares := range manifest.Apportion(*m) {
		if len(shares) > 0 {
			home = dc
		}
	}
	unused := summary(home, 0, 0, 9)
	unused.Revision, unused.UnusedGuarantees = 3, []byte{2}
	require.Equal(t, home, order("", summary("b", 64, 8, 0), unused)[:1], "an unused guarantee ranks before free capacity")
	unused.Revision = 2
	require.NotEqual(t, home, order("", summary("d", 64, 8, 0), unused)[:1], "guarantees of another revision are ignored")
	m.Workspaces = nil
	m.DataCentre("a").Stage = structs.StageDraining
	m.DataCentre("d").Stage = structs.StageReturning
	require.Equal(t, "bcda", order("", summary("a", 64, 8, 0)), "draining is last, returning is allowed")
}
