// Package gateway implements the HTTP/JSON API for callers. Short requests pass through a chain of
// filters and are dispatched to a worker under a slot grant. Jobs are submitted to the owner of a data
// centre.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/transport"
	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/claims"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/slots"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Manifest provides the current manifest. ok is false until one has been loaded.
type Manifest interface {
	Current() (r structs.Revision, ok bool)
}

// Slots provides slots on workers.
type Slots interface {
	// TryAcquire returns nil if no slot is available immediately.
	TryAcquire(want slots.Requirements) *slots.Slot
	// Acquire waits for a slot until the context is done.
	Acquire(ctx context.Context, want slots.Requirements) (*slots.Slot, error)
	// SetWaiting reports the number of queued requests of the service.
	SetWaiting(service string, n int)
}

// Claims claims the ids of non-idempotent requests. An error whose kind has the run state NotRun means
// that no claim was recorded.
type Claims interface {
	Claim(ctx context.Context, workspace, requestID string) (claims.Claim, error)
	// Release returns nil only if the claim is no longer recorded.
	Release(ctx context.Context, c claims.Claim) error
}

// Jobs calls the owner of the data centre given in the request. An error of kind OwnerUnavailable means
// that the call was not sent. After any other error it is unknown whether the call took effect. Refusals
// by the owner are returned in the reply.
type Jobs interface {
	SubmitJob(ctx context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error)
	CancelJob(ctx context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error)
	JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error)
}

// Options configures a Server.
type Options struct {
	Instance   string
	DataCentre string // data centre of this instance
	Manifest   Manifest
	Slots      Slots
	Claims     Claims
	Upstream   remote.Upstream
	Jobs       Jobs
	Summaries  func() []*peer.Summary
	// Instances returns the number of live instances, between which the workspaces' rates are divided.
	// It is called for each request.
	Instances func() int
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Server implements the API for callers on one instance.
type Server struct {
	opts            Options
	log             *zap.Logger
	mux             *http.ServeMux
	limits          limitsCache
	inflight        inflight
	active          activeIDs
	decisions       decisionRing
	refusals        refusalRing
	jobLocations    locationCache
	counters        counters
	attempts        atomic.Uint64
	attemptIDPrefix string
}

type counters struct {
	answered, refused, retried, rejected, abandoned, dropped metrics.Counter
}

func New(o Options) *Server {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Instances == nil {
		o.Instances = func() int { return 1 }
	}
	if o.Summaries == nil {
		o.Summaries = func() []*peer.Summary { return nil }
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway."+name, o.Metrics)
	}
	s := &Server{
		opts: o, log: o.Log, mux: http.NewServeMux(),
		// The start time makes attempt ids unique across restarts of the instance.
		attemptIDPrefix: o.Instance + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		counters: counters{
			answered: counter("answered"), refused: counter("refused"), retried: counter("retried"),
			rejected: counter("answers_rejected"), abandoned: counter("abandoned"), dropped: counter("dropped"),
		},
	}
	s.inflight.init()
	s.active.init()
	s.routes()
	return s
}

func (s *Server) routes() {
	filters := endpoint.Chain(
		s.resolveService, s.readBody, s.setDeadline, s.rejectDuplicates, s.rejectNeverRunnable, s.admission, s.dispatch, s.verifyResponse,
	)
	s.mux.Handle("POST /v1/requests", s.handler(filters(s.callUpstream), decodeRequest, encodeResponse))
	if s.opts.Jobs == nil {
		return
	}
	s.mux.Handle("POST /v1/jobs", s.handler(s.submitJob, s.decodeJob, encodeJobAccepted))
	s.mux.Handle("GET /v1/jobs/{workspace}/{id}", s.handler(s.jobStatus, decodeJobRef, encodeJSON))
	s.mux.Handle("DELETE /v1/jobs/{workspace}/{id}", s.handler(s.cancelJob, decodeJobRef, encodeJSON))
}

// handler serves an endpoint over HTTP. It counts its requests as in flight and records refusals.
func (s *Server) handler(e endpoint.Endpoint, dec httptransport.DecodeRequestFunc, enc httptransport.EncodeResponseFunc) http.Handler {
	decode := func(ctx context.Context, r *http.Request) (any, error) {
		request, err := dec(ctx, r)
		if err != nil {
			s.recordRefusal(request, err)
		}
		return request, err
	}
	serve := func(ctx context.Context, request any) (any, error) {
		response, err := e(ctx, request)
		if err != nil {
			s.recordRefusal(request, err)
		}
		return response, err
	}
	h := httptransport.NewServer(serve, decode, enc,
		httptransport.ServerErrorEncoder(s.encodeError),
		httptransport.ServerErrorHandler(transport.ErrorHandlerFunc(func(context.Context, error) {})),
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.inflight.enter() {
			s.encodeError(r.Context(), errShuttingDown, w)
			return
		}
		defer s.inflight.leave()
		r.Body = &boundedBody{ReadCloser: r.Body, writer: w}
		h.ServeHTTP(w, r)
	})
}

// Handler returns the handler for the API for callers.
func (s *Server) Handler() http.Handler { return s.mux }

// Drain refuses new requests and waits until those in flight have finished or the context is done.
func (s *Server) Drain(ctx context.Context) error {
	return s.inflight.drain(ctx)
}
