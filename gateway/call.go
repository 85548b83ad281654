package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/slots"
)

// HTTP headers of a short request. The body is passed through unchanged.
const (
	HeaderWorkspace  = "X-Workspace"
	HeaderService    = "X-Service"
	HeaderRequestID  = "X-Request-Id"
	HeaderIdempotent = "X-Idempotent"  // "true" or "false" (default)
	HeaderDeadline   = "X-Deadline-Ms" // counted from arrival; capped at the service's timeout
	HeaderUrgent     = "X-Urgent"      // "true" queues the request before the non-urgent ones of its workspace
)

const (
	maxNameBytes = 128
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// maxDeadline prevents an overflow of time.Duration.
	maxDeadline = 24 * time.Hour
)

// call is the state of one short request in the filter chain.
type call struct {
	workspace        string
	service          string
	id               string
	idempotent       bool
	urgent           bool
	requestedTimeout time.Duration // from the deadline header; zero selects the service's timeout
	arrived          time.Time
	deadline         time.Time
	reader           *boundedBody
	length           int64 // of the body; -1 if unknown
	body             []byte

	ws            *workspaceLimits
	svc           *serviceLimits
	slot          *slots.Slot
	queued        time.Duration // time spent in the queue
	triedWorkers  []string      // workers of all attempts so far
	triedBuf      [1]string     // initial backing array of triedWorkers, avoids an allocation
	failedWorker  string        // worker of the last attempt that ran and failed
	mayHaveRunErr error         // last error of an attempt that may have run on a worker
	attempt       string        // id of the current attempt
	decisionSeq   int           // sequence number in the decision ring
	response      runResponse
}

// runResponse is a worker's response to a short request.
type runResponse struct {
	id   string
	body []byte
}

// boundedBody is a request body that is read with a size limit and a timeout.
type boundedBody struct {
	io.ReadCloser
	writer http.ResponseWriter
}

// read returns the complete body, or an error if it is longer than limit bytes.
func (b *boundedBody) read(length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, refuse(errkind.BodyTooLarge, "the body has %d bytes, the limit is %d", length, limit)
	}
	if length == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(b.writer)
	// An error means that the connection does not support deadlines, as with a ResponseRecorder in
	// tests.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	if length > 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(b.ReadCloser, body); err != nil {
			return nil, refuse(errkind.BadRequest, "the body ended early: %v", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(b.ReadCloser, limit+1))
	if err != nil {
		return nil, refuse(errkind.BadRequest, "the body ended early: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, refuse(errkind.BodyTooLarge, "the body is above the limit of %d bytes", limit)
	}
	return body, nil
}

// decodeRequest returns the call even if there is an error, so that the refusal can be recorded.
func decodeRequest(_ context.Context, r *http.Request) (any, error) {
	h := r.Header
	c := &call{
		workspace: h.Get(HeaderWorkspace), service: h.Get(HeaderService), id: h.Get(HeaderRequestID),
		arrived: time.Now(), length: r.ContentLength,
	}
	c.reader, _ = r.Body.(*boundedBody)
	c.triedWorkers = c.triedBuf[:0]
	if !validName(c.workspace) || !validName(c.service) {
		return c, refuse(errkind.BadRequest, "%s and %s must hold %s", HeaderWorkspace, HeaderService, nameRule)
	}
	var ok bool
	if c.idempotent, ok = parseFlag(h.Get(HeaderIdempotent)); !ok {
		return c, refuse(errkind.BadRequest, `%s must be "true" or "false"`, HeaderIdempotent)
	}
	if c.urgent, ok = parseFlag(h.Get(HeaderUrgent)); !ok {
		return c, refuse(errkind.BadRequest, `%s must be "true" or "false"`, HeaderUrgent)
	}
	// Without an id, a duplicate of a non-idempotent request could not be detected.
	if !validName(c.id) && (c.id != "" || !c.idempotent) {
		return c, refuse(errkind.BadRequest, "%s must hold %s", HeaderRequestID, nameRule)
	}
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return c, refuse(errkind.BadRequest, "%s must be between 1 and %d", HeaderDeadline, maxDeadline.Milliseconds())
		}
		c.requestedTimeout = time.Duration(ms) * time.Millisecond
	}
	return c, nil
}

const nameRule = "1 to 128 letters, digits or the signs . _ : -"

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '_', c == ':', c == '-':
		default:
			return false
		}
	}
	return true
}

func parseFlag(text string) (value, ok bool) {
	switch text {
	case "", "false":
		return false, true
	case "true":
		return true, true
	}
	return false, false
}

func encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	resp := response.(*runResponse)
	h := w.Header()
	h["Content-Type"] = contentTypeBytes
	h["X-Run-State"] = runStateRan
	values := [...]string{strconv.Itoa(len(resp.body)), resp.id}
	h["Content-Length"] = values[0:1:1]
	if resp.id != "" {
		h["X-Request-Id"] = values[1:2:2]
	}
	// A write error means that the caller has disconnected.
	_, _ = w.Write(resp.body)
	return nil
}

var (
	contentTypeBytes = []string{"application/octet-stream"}
	contentTypeJSON  = []string{"application/json"}
	runStateRan      = []string{"ran"}
)
