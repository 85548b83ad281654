package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	callers         = 12
	requestInterval = 40 * time.Millisecond
	jobInterval     = 400 * time.Millisecond
	jobRunTime      = 2 * time.Second
	callTimeout     = 8 * time.Second
	retryDuration   = 15 * time.Second // how long a caller retries a request that may be retried
	retryDelay      = 100 * time.Millisecond
)

// result is the outcome of one request id for its caller.
type result struct {
	workspace   string
	id          string
	idempotent  bool
	calls       int
	succeeded   int // successful answers
	wrongAnswer bool
	notRun      errkind.Kind // kind of the last error answer if that says that the request was not run
	mayHaveRun  bool
	lastError   string
}

// load sends requests from several callers and submits jobs until it is shut down.
type load struct {
	c            *cluster
	phase        string
	stop         context.CancelFunc
	wg           sync.WaitGroup
	mu           sync.Mutex
	results      []result
	jobs         map[string]int       // accepted job ids and their number of tasks
	errorAnswers map[errkind.Kind]int // every error answer by kind, with the prefix "job:" for submissions
}

// startLoad starts the callers and the submission of jobs for a phase.
func (c *cluster) startLoad(phase string) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{c: c, phase: phase, stop: stop, jobs: map[string]int{}, errorAnswers: map[errkind.Kind]int{}}
	for n := range callers {
		l.wg.Go(func() { l.runCaller(ctx, n) })
	}
	l.wg.Go(func() { l.submitJobs(ctx) })
	return l
}

// shutDown stops the load and waits for requests in flight.
func (l *load) shutDown() {
	l.stop()
	l.wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// chooseInstance returns the address of a listed instance that is not leaving, like the platform's load
// balancer, or an empty string if there is none.
func (l *load) chooseInstance(r *rand.Rand) string {
	listed, err := l.c.list.Instances(context.Background())
	if err != nil {
		return ""
	}
	var open []structs.Instance
	for _, i := range listed {
		if !i.Leaving {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[r.IntN(len(open))].CallerAddr
}

func (l *load) runCaller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	for i := 0; sleep(ctx, requestInterval); i++ {
		q := result{
			workspace: l.c.manifest.Workspaces[n%len(l.c.manifest.Workspaces)].Name,
			id:        fmt.Sprintf("%s-%d-%d", l.phase, n, i), idempotent: i%2 == 0,
		}
		l.sendWithRetries(&q, r)
		l.mu.Lock()
		l.results = append(l.results, q)
		l.mu.Unlock()
	}
}

// sendWithRetries sends a request, and again if the answer allows a retry or the connection was lost. An
// idempotent request may always be retried. A retry of a non-idempotent one must be refused if it has run
// before.
func (l *load) sendWithRetries(q *result, r *rand.Rand) {
	for end := time.Now().Add(retryDuration); time.Now().Before(end); time.Sleep(retryDelay) {
		address := l.chooseInstance(r)
		if address == "" {
			continue
		}
		q.calls++
		if l.sendOnce(q, address) {
			return
		}
	}
}

// sendOnce makes one call and reports whether the caller is done: it has its answer or may not retry.
func (l *load) sendOnce(q *result, address string) (done bool) {
	body := "shift " + q.id
	status, raw, err := l.post(address+"/v1/requests", body, map[string]string{
		gateway.HeaderWorkspace: q.workspace, gateway.HeaderService: "rota", gateway.HeaderRequestID: q.id,
		gateway.HeaderIdempotent: strconv.FormatBool(q.idempotent),
	})
	if err != nil {
		q.lastError = err.Error()
		return false
	}
	if status == http.StatusOK {
		q.succeeded++
		q.wrongAnswer = q.wrongAnswer || string(raw) != "done:"+body
		return true
	}
	var e struct {
		Kind      errkind.Kind     `json:"kind"`
		RunState  errkind.RunState `json:"run_state"`
		RetrySafe bool             `json:"retry_safe"`
	}
	if json.Unmarshal(raw, &e) != nil {
		q.lastError = fmt.Sprintf("status %d", status)
		return false
	}
	q.lastError = string(e.Kind)
	l.mu.Lock()
	l.errorAnswers[e.Kind]++
	l.mu.Unlock()
	q.notRun = ""
	if e.RunState == errkind.NotRun {
		q.notRun = e.Kind
		return !e.RetrySafe
	}
	q.mayHaveRun = true
	return !q.idempotent
}

func (l *load) post(url, body string, header map[string]string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := l.c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// submitJobs submits gang jobs. A job whose submission was not answered is not checked.
func (l *load) submitJobs(ctx context.Context) {
	r := rand.New(rand.NewPCG(99, 1))
	for i := 0; sleep(ctx, jobInterval); i++ {
		address := l.chooseInstance(r)
		if address == "" {
			continue
		}
		tasks := 1 + i%4
		id := fmt.Sprintf("%s-gang-%d", l.phase, i)
		body, err := json.Marshal(gateway.JobRequest{
			Workspace: "oberbayern", Service: "planning", RequestID: id, Checkpoint: i%2 == 0, DeclaredMS: jobRunTime.Milliseconds(),
			Shape:   structs.Shape{Tasks: tasks, Task: structs.Resources{Slots: 4, Processors: 16, MemoryMB: 16384, Accelerators: 4}, Adjacent: true},
			Payload: fmt.Appendf(nil, `{"run_ms": %d}`, jobRunTime.Milliseconds()),
		})
		if err != nil {
			continue
		}
		status, raw, err := l.post(address+"/v1/jobs", string(body), nil)
		l.mu.Lock()
		switch {
		case err == nil && status == http.StatusAccepted:
			l.jobs["oberbayern/"+id] = tasks
		case err == nil:
			var e struct {
				Kind errkind.Kind `json:"kind"`
			}
			if json.Unmarshal(raw, &e) == nil {
				l.errorAnswers["job:"+e.Kind]++
			}
		}
		l.mu.Unlock()
	}
}
