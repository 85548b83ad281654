package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	callTimeout = 10 * time.Second
	maxReply    = 8 << 20 // bytes
)

// reply is the outcome of a call as the caller received it.
type reply struct {
	Status   int // 0 if there was no reply
	Body     []byte
	Kind     errkind.Kind     // empty for success
	RunState errkind.RunState // of an error
	Message  string
}

func (r reply) ok() bool { return r.Status >= 200 && r.Status < 300 }

// send makes one call and returns the reply.
func send(method, url string, header http.Header, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{Message: err.Error()}
	}
	req.GetBody = nil // keeps the transport from resending a request, as a resent one counts as a duplicate
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{Message: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return reply{Message: err.Error()}
	}
	r := reply{Status: resp.StatusCode, Body: raw}
	if !r.ok() {
		var e struct {
			Kind     errkind.Kind     `json:"kind"`
			RunState errkind.RunState `json:"run_state"`
			Message  string           `json:"message"`
		}
		if json.Unmarshal(raw, &e) == nil {
			r.Kind, r.RunState, r.Message = e.Kind, e.RunState, e.Message
		}
	}
	return r
}

// request is a short request of a caller.
type request struct {
	Workspace  string
	Service    string
	ID         string
	Idempotent bool
	Body       string
}

func (q request) send(callers string) reply {
	h := http.Header{}
	h.Set(gateway.HeaderWorkspace, q.Workspace)
	h.Set(gateway.HeaderService, q.Service)
	h.Set(gateway.HeaderRequestID, q.ID)
	h.Set(gateway.HeaderIdempotent, strconv.FormatBool(q.Idempotent))
	return send(http.MethodPost, "http://"+callers+"/v1/requests", h, []byte(q.Body))
}

func submitJob(callers string, j gateway.JobRequest) reply {
	raw, err := json.Marshal(j)
	if err != nil {
		return reply{Message: err.Error()}
	}
	return send(http.MethodPost, "http://"+callers+"/v1/jobs", nil, raw)
}

// jobRecord returns the record of a job. It waits for the end of the job, at most for the time wait.
func jobRecord(callers, id string, wait time.Duration) (structs.JobRecord, error) {
	r := send(http.MethodGet, fmt.Sprintf("http://%s/v1/jobs/%s?wait=%v", callers, id, wait), nil, nil)
	var record structs.JobRecord
	if !r.ok() {
		return record, fmt.Errorf("job %s: status %d: %s", id, r.Status, r.Message)
	}
	if err := json.Unmarshal(r.Body, &record); err != nil {
		return record, fmt.Errorf("job %s: %w", id, err)
	}
	return record, nil
}

// apply commits a manifest at an instance's admin listener.
func apply(admin string, m structs.Manifest) error {
	text, err := manifest.Encode(m)
	if err != nil {
		return err
	}
	if r := send(http.MethodPost, "http://"+admin+"/v1/manifest", nil, text); !r.ok() {
		return fmt.Errorf("commit: status %d: %s: %s", r.Status, r.Kind, r.Message)
	}
	return nil
}
