package jobfront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// defaultTimeout applies to calls without a deadline of the caller. A route's timeout can only
	// shorten it.
	defaultTimeout = 3 * time.Second
	// minRetryAfter is the shortest Retry-After: within this time a new owner is elected or an
	// instance receives the configuration.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After.
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns how long callers should wait before they retry. It grows with the duration of
// the outage: a longer outage is expected to continue for longer, and callers, which retry only a
// few times, should not use up their retries before its end.
func (s *Server) retryAfter() time.Duration {
	return min(max(minRetryAfter, s.opts.StoreOutage()/2), maxRetryAfter)
}

// refusal is an error without a stack trace, which keeps refusals cheap under overload.
type refusal struct {
	kind       errkind.Kind
	message    string
	retryAfter time.Duration // of this refusal; 0 for the general one
}

func (r *refusal) Error() string { return r.message }

func refuse(kind errkind.Kind, format string, args ...any) error {
	return &refusal{kind: kind, message: fmt.Sprintf(format, args...)}
}

func kindOf(err error) errkind.Kind {
	var r *refusal
	if errors.As(err, &r) {
		return r.kind
	}
	return errkind.Of(err)
}

// observe records the latency of the call and logs its outcome.
func (s *Server) observe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		response, err := next(ctx, request)
		elapsed := time.Since(c.arrived)
		s.latency[c.method].Update(elapsed.Microseconds())
		s.log(c, err, elapsed)
		return response, err
	}
}

func (s *Server) log(c *call, err error, elapsed time.Duration) {
	event := events.SubmissionAnswered
	switch c.method {
	case http.MethodDelete:
		event = events.CancelAnswered
	case http.MethodGet:
		if err == nil || kindOf(err) == errkind.JobUnknown || kindOf(err) == errkind.UnknownRoute {
			return // queries are frequent and change nothing
		}
		event = events.QueryRefused
	}
	fields := []zap.Field{zap.String("job", c.id), zap.Duration("taken", elapsed), zap.Duration("config_age", c.configAge)}
	if c.config != nil {
		fields = append(fields, zap.Int64("config_version", c.config.Version))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("workspace", c.workspace))
	}
	outcome := "accepted"
	if err != nil {
		outcome = string(kindOf(err))
		fields = append(fields, zap.String("error", err.Error()))
	}
	events.Info(s.opts.Log, event, append(fields, zap.String("outcome", outcome))...)
}

// requireConfig refuses calls until a configuration has been received.
func (s *Server) requireConfig(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		config, confirmedAt := s.opts.Config()
		if config == nil {
			return nil, refuse(errkind.StaleManifest, "no configuration is known yet")
		}
		c.config, c.configAge = config, time.Since(confirmedAt)
		return next(ctx, request)
	}
}

// matchRoute finds the route by host and longest path prefix.
func (s *Server) matchRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		route, id, ok := c.config.Match(c.http.Host, c.http.URL.Path)
		if !ok {
			return nil, refuse(errkind.UnknownRoute, "no route for host %q and path %q", clip(c.http.Host), clip(c.http.URL.Path))
		}
		c.route, c.id = route, id
		return next(ctx, request)
	}
}

// maxQuoted bounds what an answer and its log line quote of a request. Thousands of log lines can be queued.
const maxQuoted = 200

func clip(text string) string {
	if len(text) > maxQuoted {
		return text[:maxQuoted] + "..."
	}
	return text
}

// authenticate maps the caller's key to a workspace. Only public routes accept unknown keys.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		c.key, c.deadline = s.opts.Codec.Credentials(c.http.Header)
		workspace, ok := c.config.WorkspaceOf(c.key)
		if !ok && !c.route.Public {
			return nil, refuse(errkind.UnknownKey, "the key belongs to no workspace")
		}
		c.workspace = workspace
		return next(ctx, request)
	}
}

// withDeadline limits the call to the caller's deadline, the route's timeout and the end of a drain.
func (s *Server) withDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		limit := defaultTimeout
		if c.deadline > 0 {
			limit = c.deadline
		}
		if c.route.Timeout > 0 {
			limit = min(limit, c.route.Timeout)
		}
		deadline := c.arrived.Add(limit)
		if end := s.drainEnd.Load(); end != nil && end.Before(deadline) {
			deadline = *end
		}
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		defer context.AfterFunc(s.ending, cancel)() // for a drain that begins during the call
		return next(ctx, request)
	}
}

func (s *Server) submit(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if err := s.opts.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.UnknownRoute, "%v", err)
	}
	body, memory, err := s.readBody(ctx, c)
	if err != nil {
		return nil, err
	}
	defer memory.End()
	job, err := s.opts.Codec.DecodeJob(body.Bytes)
	body.Release()
	memory.Decoded()
	if err != nil {
		return nil, refuse(errkind.BadRequest, "%v", err)
	}
	if err := job.Check(); err != nil {
		return nil, refuse(errkind.BadRequest, "%v", err)
	}
	job.ID, job.Queue, job.Workspace = c.id, *c.route, c.workspace
	job.AcceptedAt = time.Now().UnixMilli()
	defer s.opts.Jobs.Begin(job.ID)()
	if err := s.admit(ctx, c, &job); err != nil {
		return nil, err
	}
	if err := s.opts.Jobs.Submit(ctx, &job); err != nil {
		return nil, err
	}
	return &answer{}, nil
}

func (s *Server) query(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if c.id == "" {
		n, err := s.opts.Jobs.Pending(ctx, c.route.Name)
		if err != nil {
			return nil, err
		}
		return &answer{s.opts.Codec.EncodePending(n)}, nil
	}
	if err := s.opts.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.JobUnknown, "%v", err)
	}
	state, err := s.opts.Jobs.State(ctx, c.id)
	if err != nil {
		return nil, err
	}
	return &answer{s.opts.Codec.EncodeState(state)}, nil
}

func (s *Server) cancel(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if err := s.opts.Codec.CheckID(c.id); err != nil {
		return nil, refuse(errkind.JobUnknown, "%v", err)
	}
	if err := s.opts.Jobs.Cancel(ctx, c.id); err != nil {
		return nil, err
	}
	return &answer{}, nil
}

// ErrorBody is the body of an error response.
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
	status := s.opts.Codec.Status(kind)
	if after := s.retryAfterOf(err, status); after > 0 {
		h["Retry-After"] = []string{strconv.Itoa(int(math.Ceil(after.Seconds())))}
	}
	if kind == errkind.Overloaded || kind == errkind.BodyIncomplete || kind == errkind.BodyTooLarge {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(status)
	body := ErrorBody{Kind: kind, Message: err.Error(), RunState: errkind.AnswerOf(kind).RunState}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.opts.Log.Debug("cannot write error response: caller closed the connection", zap.Error(err))
	}
}
