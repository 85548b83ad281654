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

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/jobfront"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// fakeCodec decodes any body as a job of one task.
type fakeCodec struct{}

func (fakeCodec) Credentials(http.Header) (string, time.Duration) { return "key", 0 }
func (fakeCodec) CheckID(string) error                            { return nil }
func (fakeCodec) EncodeState(s workload.State) []byte             { return []byte(s) }
func (fakeCodec) EncodePending(int) []byte                        { return nil }
func (fakeCodec) Status(kind errkind.Kind) int                    { return errkind.AnswerOf(kind).Status }
func (fakeCodec) DecodeJob([]byte) (workload.Submission, error) {
	return workload.Submission{Steps: []workload.Step{{Tasks: 1}}}, nil
}

// faultyJobs panics on the job "malformed".
type faultyJobs struct{ jobfront.Jobs }

func (faultyJobs) BacklogFull(context.Context, int64) bool { return false }

func (faultyJobs) Begin(string) func() { return func() {} }

func (faultyJobs) Submit(_ context.Context, job *workload.Submission) error {
	if job.ID == "malformed" {
		panic(job.ID)
	}
	return nil
}

// Guards against a panic in one call that ends the process, closes the connection without a response, or is
// answered with the statement that the job has not run.
func TestPanicInCallIsAnswered(t *testing.T) {
	registry := metrics.NewRegistry()
	config := workload.NewConfig(workload.Config{Version: 1, Routes: []workload.Route{{Name: "r", Host: "host", PathPrefix: "/r/", Public: true}}})
	front := jobfront.New(jobfront.Options{Codec: fakeCodec{}, Jobs: faultyJobs{}, Log: zap.NewNop(), Metrics: registry, Guard: contain.New(zap.NewNop(), registry),
		Config: func() (*workload.Config, time.Time) { return config, time.Now() }, StoreOutage: func() time.Duration { return 0 }})
	for id, status := range map[string]int{"malformed": http.StatusInternalServerError, "good": http.StatusOK} {
		answer := httptest.NewRecorder()
		front.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://host/r/"+id, strings.NewReader("{}")))
		assert.Equal(t, status, answer.Code, id)
	}
	assert.Equal(t, errkind.MayHaveRun, errkind.AnswerOf(errkind.Internal).RunState)
}
