package jobfront_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/jobfront"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// gangCodec decodes any body as a gang of two tasks with eight accelerators each. Its routes accept only the key of
// the workspace "team".
type gangCodec struct{ fakeCodec }

func (gangCodec) DecodeJob([]byte) (workload.Submission, error) {
	step := workload.Step{Tasks: 2, Gang: true, Demand: workload.Resources{Accelerators: 8}, Estimate: time.Second}
	return workload.Submission{Steps: []workload.Step{step}}, nil
}

// recordingJobs stores submissions in memory.
type recordingJobs struct {
	jobfront.Jobs
	accepted map[string]bool
	unknown  bool          // whether a job was accepted cannot be determined
	wait     time.Duration // of new jobs; 0 if the workspace is not overloaded
	full     bool          // the owner has no memory for further jobs
}

func (j *recordingJobs) Overloaded(context.Context, *workload.Submission) (time.Duration, bool) {
	return j.wait, j.wait > 0
}

func (j *recordingJobs) BacklogFull(context.Context, int64) bool { return j.full }

func (j *recordingJobs) Begin(string) func() { return func() {} }

func (j *recordingJobs) Submit(_ context.Context, job *workload.Submission) error {
	j.accepted[job.ID] = true
	return nil
}

func (j *recordingJobs) CertainlyNew(_ context.Context, id string) bool {
	return !j.unknown && !j.accepted[id]
}

func newFront(jobs jobfront.Jobs, w *workload.Workspace) *jobfront.Server {
	return newFrontWithMetrics(jobs, w, metrics.NewRegistry())
}

func newFrontWithMetrics(jobs jobfront.Jobs, w *workload.Workspace, registry metrics.Registry) *jobfront.Server {
	config := workload.NewConfig(workload.Config{Version: 1, Routes: []workload.Route{{Name: "r", Host: "host", PathPrefix: "/r/"}}, Workspaces: []workload.Workspace{*w}})
	return jobfront.New(jobfront.Options{Codec: gangCodec{}, Jobs: jobs, Log: zap.NewNop(), Metrics: registry,
		Config: func() (*workload.Config, time.Time) { return config, time.Now() }, StoreOutage: func() time.Duration { return 0 }})
}

func submit(front http.Handler, id string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	front.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://host/r/"+id, strings.NewReader("{}")))
	return answer
}

// A gang is larger than the cap of its workspace. Guards against accepting it, which makes it wait forever, against a
// Retry-After that has its caller repeat it in vain, and against a refusal that says "not run" of a job that was
// accepted under an earlier cap, or may have been.
func TestGangAboveCapIsRefused(t *testing.T) {
	w := workload.Workspace{Name: "team", Keys: []string{"key"}, Cap: workload.Resources{Accelerators: 16}}
	jobs := &recordingJobs{accepted: map[string]bool{}}
	assert.Equal(t, http.StatusOK, submit(newFront(jobs, &w), "early").Code)
	w.Cap.Accelerators = 15
	front := newFront(jobs, &w)
	answer := submit(front, "late")
	assert.Equal(t, http.StatusUnprocessableEntity, answer.Code)
	assert.Empty(t, answer.Header().Get("Retry-After"))
	assert.JSONEq(t, `{"kind":"never_runnable","run_state":"not_run","message":"steps[0]: the gang needs 16 accelerators at a time; the cap of workspace \"team\" is 15"}`, answer.Body.String())
	assert.False(t, jobs.accepted["late"])
	assert.Equal(t, http.StatusOK, submit(front, "early").Code, "accepted before the cap was lowered")
	jobs.unknown = true
	assert.Equal(t, http.StatusOK, submit(front, "late").Code, "may have been accepted before")
}

// A workspace has sent more than can be done in time. Guards against a refusal without the Retry-After of its backlog, of
// a workspace without weight and cap, of a job that was accepted before, and against one that is stored all the same.
func TestOverloadedWorkspaceIsRefused(t *testing.T) {
	w := workload.Workspace{Name: "team", Keys: []string{"key"}, Weight: 1}
	registry := metrics.NewRegistry()
	jobs := &recordingJobs{accepted: map[string]bool{"early": true}, wait: 42 * time.Second}
	front := newFrontWithMetrics(jobs, &w, registry)
	answer := submit(front, "late")
	assert.Equal(t, http.StatusTooManyRequests, answer.Code)
	assert.Equal(t, "42", answer.Header().Get("Retry-After"))
	assert.Contains(t, answer.Body.String(), `"kind":"queue_full"`)
	assert.Contains(t, answer.Body.String(), `"run_state":"not_run"`)
	assert.False(t, jobs.accepted["late"])
	assert.Equal(t, http.StatusOK, submit(front, "early").Code, "accepted before the overload")
	for _, name := range []string{"front.refused.queue_full", "front.refused.queue_full.team"} {
		assert.EqualValues(t, 1, metrics.GetOrRegisterCounter(name, registry).Count(), name)
	}
	w.Weight = 0
	assert.Equal(t, http.StatusOK, submit(newFront(jobs, &w), "late").Code, "a workspace without weight and cap")
}

// The owner has no memory for further jobs. Guards against accepting one, against a refusal without a time to return, and
// against a refusal that says "not run" of a job that was accepted before or may have been.
func TestJobWithoutRoomIsRefused(t *testing.T) {
	w := workload.Workspace{Name: "team", Keys: []string{"key"}}
	jobs := &recordingJobs{accepted: map[string]bool{}}
	front := newFront(jobs, &w)
	assert.Equal(t, http.StatusOK, submit(front, "early").Code)
	jobs.full = true
	answer := submit(front, "late")
	assert.Equal(t, http.StatusServiceUnavailable, answer.Code)
	assert.NotEmpty(t, answer.Header().Get("Retry-After"))
	assert.Contains(t, answer.Body.String(), `"kind":"backlog_full"`)
	assert.Contains(t, answer.Body.String(), `"run_state":"not_run"`)
	assert.False(t, jobs.accepted["late"])
	assert.Equal(t, http.StatusOK, submit(front, "early").Code, "a repeated submission")
	jobs.unknown = true
	assert.Equal(t, http.StatusOK, submit(front, "uncertain").Code)
}
