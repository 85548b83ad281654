package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind         errkind.Kind     `json:"kind"`
	Message      string           `json:"message"`
	RunState     errkind.RunState `json:"run_state"`
	RetrySafe    bool             `json:"retry_safe"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

// refusal is an error that the gateway itself returns. It has no stack trace, which keeps refusals cheap
// under overload.
type refusal struct {
	kind       errkind.Kind
	message    string
	retryAfter time.Duration
}

func (r *refusal) Error() string { return r.message }

func refuse(k errkind.Kind, format string, args ...any) error {
	return &refusal{kind: k, message: fmt.Sprintf(format, args...)}
}

var errShuttingDown error = &refusal{kind: errkind.ShuttingDown, message: "the instance is stopping", retryAfter: 100 * time.Millisecond}

// kindOf returns the kind of an error: that of a refusal, or else the one assigned by errkind.
func kindOf(err error) errkind.Kind {
	var r *refusal
	if errors.As(err, &r) {
		return r.kind
	}
	return errkind.Of(err)
}

func (s *Server) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	kind := kindOf(err)
	row := errkind.AnswerOf(kind)
	body := ErrorBody{Kind: kind, Message: err.Error(), RunState: row.RunState, RetrySafe: row.RetrySafe}
	var r *refusal
	if errors.As(err, &r) {
		body.RetryAfterMS = r.retryAfter.Milliseconds()
	}
	s.counters.refused.Inc(1)
	events.Info(s.log, events.RequestRefused, zap.String("kind", string(kind)), zap.String("run_state", string(row.RunState)),
		zap.String("message", body.Message))
	h := w.Header()
	h["Content-Type"] = contentTypeJSON
	if body.RetryAfterMS > 0 {
		h["Retry-After"] = []string{strconv.FormatInt((body.RetryAfterMS+999)/1000, 10)}
	}
	w.WriteHeader(row.Status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header()["Content-Type"] = contentTypeJSON
	return json.NewEncoder(w).Encode(response)
}
