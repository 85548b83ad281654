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

// Headers of a short request, beside its raw body.
const (
	HeaderWorkspace  = "X-Workspace"
	HeaderService    = "X-Service"
	HeaderRequestID  = "X-Request-Id"
	HeaderIdempotent = "X-Idempotent"  // "true" or "false", the default
	HeaderDeadline   = "X-Deadline-Ms" // from the arrival; the service's timeout is the most
	HeaderUrgent     = "X-Urgent"      // "true" puts the request first among those of its workspace
)

const (
	maxNameBytes = 128
	// bodyTimeout bounds the time a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// maxDeadline keeps a caller's deadline within the range of time.Duration.
	maxDeadline = 24 * time.Hour
)

// call is one short request on its way through the filters.
type call struct {
	workspace  string
	service    string
	id         string
	idempotent bool
	urgent     bool
	within     time.Duration // the caller's deadline; zero for the service's timeout
	arrived    time.Time
	deadline   time.Time
	source     *boundedBody
	length     int64 // -1 when unknown
	body       []byte

	ws      *workspaceLimits
	svc     *serviceLimits
	slot    *slots.Slot
	queued  time.Duration // time spent in the queue
	tried   []string      // workers that were dispatched to, in first while they fit
	first   [1]string
	failed  string // worker on which an attempt ran and failed
	reached error  // last error of an attempt that may have run
	attempt string // id of the current attempt
	record  int    // place of its record among the decisions
	answer  answer
}

// answer is the worker's answer to a short request.
type answer struct {
	id   string
	body []byte
}

// boundedBody is a request's body whose reads can be given a deadline.
type boundedBody struct {
	io.ReadCloser
	writer http.ResponseWriter
}

// read returns the whole body of at most limit bytes.
func (b *boundedBody) read(length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, refuse(errkind.BodyTooLarge, "the body has %d bytes, the limit is %d", length, limit)
	}
	if length == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(b.writer)
	// An error means that the connection has no deadlines, as in tests with recorders.
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

// decodeRequest returns the call along with an error, for the record of the refusal.
func decodeRequest(_ context.Context, r *http.Request) (any, error) {
	h := r.Header
	c := &call{
		workspace: h.Get(HeaderWorkspace), service: h.Get(HeaderService), id: h.Get(HeaderRequestID),
		arrived: time.Now(), length: r.ContentLength,
	}
	c.source, _ = r.Body.(*boundedBody)
	c.tried = c.first[:0]
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
	// Without an id a repeat of a non-idempotent request could not be told from a new one.
	if !validName(c.id) && (c.id != "" || !c.idempotent) {
		return c, refuse(errkind.BadRequest, "%s must hold %s", HeaderRequestID, nameRule)
	}
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return c, refuse(errkind.BadRequest, "%s must be between 1 and %d", HeaderDeadline, maxDeadline.Milliseconds())
		}
		c.within = time.Duration(ms) * time.Millisecond
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

func encodeRequest(_ context.Context, w http.ResponseWriter, response any) error {
	a := response.(*answer)
	h := w.Header()
	h["Content-Type"] = contentTypeBytes
	h["X-Run-State"] = runStateRan
	values := [...]string{strconv.Itoa(len(a.body)), a.id}
	h["Content-Length"] = values[0:1:1]
	if a.id != "" {
		h["X-Request-Id"] = values[1:2:2]
	}
	// An error here means that the caller is gone.
	_, _ = w.Write(a.body)
	return nil
}

var (
	contentTypeBytes = []string{"application/octet-stream"}
	contentTypeJSON  = []string{"application/json"}
	runStateRan      = []string{"ran"}
)
