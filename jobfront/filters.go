package jobfront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	// defaultDeadline bounds a call whose caller and route name no limit.
	defaultDeadline = 3 * time.Second
	// minRetryAfter is what callers are told to wait at least when this instance cannot serve
	// them: the time in which a new owner is elected and an instance learns the configuration.
	minRetryAfter = time.Second
	// maxRetryAfter bounds what callers are told to wait.
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns when callers may come back. The longer an outage has lasted, the longer
// it is expected to last: callers try a few times only, and are not to use up their tries
// before its end.
func (s *Server) retryAfter() time.Duration {
	return min(max(minRetryAfter, s.o.StoreOutage()/2), maxRetryAfter)
}

// refusal is an error without a stack trace, so that a refusal under overload is cheap.
type refusal struct {
	kind    errkind.Kind
	message string
}

func (r *refusal) Error() string { return r.message }

func refuse(kind errkind.Kind, format string, args ...any) error {
	return &refusal{kind, fmt.Sprintf(format, args...)}
}

func kindOf(err error) errkind.Kind {
	var r *refusal
	if errors.As(err, &r) {
		return r.kind
	}
	return errkind.Of(err)
}

// observe measures the call and writes its log line.
func (s *Server) observe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		response, err := next(ctx, request)
		taken := time.Since(c.arrived)
		s.latency[c.method].Update(taken.Microseconds())
		s.log(c, err, taken)
		return response, err
	}
}

func (s *Server) log(c *call, err error, taken time.Duration) {
	event := events.SubmissionAnswered
	switch c.method {
	case http.MethodDelete:
		event = events.CancelAnswered
	case http.MethodGet:
		if err == nil || kindOf(err) == errkind.JobUnknown || kindOf(err) == errkind.UnknownRoute {
			return // states are asked for often and change nothing
		}
		event = events.QueryRefused
	}
	fields := []zap.Field{zap.String("job", c.id), zap.Duration("taken", taken), zap.Duration("config_age", c.age)}
	if c.config != nil {
		fields = append(fields, zap.Int64("config_version", c.config.Version))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("workspace", c.space))
	}
	outcome := "accepted"
	if err != nil {
		outcome = string(kindOf(err))
		fields = append(fields, zap.String("error", err.Error()))
	}
	events.Info(s.o.Log, event, append(fields, zap.String("outcome", outcome))...)
}

// configured refuses calls until a configuration is known.
func (s *Server) configured(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		config, contact := s.o.Config()
		if config == nil {
			return nil, refuse(errkind.StaleManifest, "no configuration is known yet")
		}
		c.config, c.age = config, time.Since(contact)
		return next(ctx, request)
	}
}

// route finds the route by host and longest prefix.
func (s *Server) route(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		route, rest, ok := c.config.Match(c.http.Host, c.http.URL.Path)
		if !ok {
			return nil, refuse(errkind.UnknownRoute, "no route for host %q and path %q", c.http.Host, c.http.URL.Path)
		}
		c.route, c.id = route, rest
		return next(ctx, request)
	}
}

// identify checks the caller's key.
func (s *Server) identify(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		c.key, c.deadline = s.o.Codec.Credentials(c.http.Header)
		space, ok := c.config.WorkspaceOf(c.key)
		if !ok && !c.route.Public {
			return nil, refuse(errkind.UnknownKey, "the key belongs to no workspace")
		}
		c.space = space
		return next(ctx, request)
	}
}

// deadline bounds the call by what caller and route allow.
func (s *Server) deadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		limit := defaultDeadline
		if c.deadline > 0 {
			limit = c.deadline
		}
		if c.route.Timeout > 0 {
			limit = min(limit, c.route.Timeout)
		}
		ctx, cancel := context.WithDeadline(ctx, c.arrived.Add(limit))
		defer cancel()
		return next(ctx, request)
	}
}

func (s *Server) submit(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if err := s.o.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.UnknownRoute, "%v", err)
	}
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	job, err := s.o.Codec.DecodeJob(body)
	if err != nil {
		return nil, refuse(errkind.BadRequest, "%v", err)
	}
	if err := job.Check(); err != nil {
		return nil, refuse(errkind.BadRequest, "%v", err)
	}
	job.ID, job.Queue, job.Workspace = c.id, *c.route, c.space
	job.AcceptedAt = time.Now().UnixMilli()
	if err := s.o.Jobs.Submit(ctx, &job); err != nil {
		return nil, err
	}
	return &answer{}, nil
}

func readBody(c *call) ([]byte, error) {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = math.MaxInt32
	}
	if c.http.ContentLength > limit {
		return nil, refuse(errkind.BodyTooLarge, "body has %d bytes: must be at most %d", c.http.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(c.http.Body, limit+1))
	if err != nil {
		return nil, refuse(errkind.BadRequest, "body not read: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, refuse(errkind.BodyTooLarge, "body is above %d bytes", limit)
	}
	return body, nil
}

func (s *Server) query(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if c.id == "" {
		n, err := s.o.Jobs.Pending(ctx, c.route.Name)
		if err != nil {
			return nil, err
		}
		return &answer{s.o.Codec.EncodePending(n)}, nil
	}
	if err := s.o.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.JobUnknown, "%v", err)
	}
	state, err := s.o.Jobs.State(ctx, c.id)
	if err != nil {
		return nil, err
	}
	return &answer{s.o.Codec.EncodeState(state)}, nil
}

func (s *Server) cancel(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if err := s.o.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.JobUnknown, "%v", err)
	}
	if err := s.o.Jobs.Cancel(ctx, c.id); err != nil {
		return nil, err
	}
	return &answer{}, nil
}

// ErrorBody is the body of an answer that reports an error.
type ErrorBody struct {
	Kind     errkind.Kind     `json:"kind"`
	Message  string           `json:"message"`
	RunState errkind.RunState `json:"run_state"`
}

func (s *Server) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	s.refused.Inc(1)
	kind := kindOf(err)
	h := w.Header()
	h["Content-Type"] = contentTypeJSON
	status := s.o.Codec.Status(kind)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h["Retry-After"] = []string{strconv.Itoa(int(math.Ceil(s.retryAfter().Seconds())))}
	}
	w.WriteHeader(status)
	body := ErrorBody{Kind: kind, Message: err.Error(), RunState: errkind.AnswerOf(kind).RunState}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.o.Log.Debug("caller went away", zap.Error(err))
	}
}
