// Package jobfront serves job calls over HTTP. Each call passes a chain of filters and is then
// forwarded to the job service. A Codec defines the wire format.
package jobfront

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/ingress"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Codec translates between HTTP and the job model.
type Codec interface {
	// Credentials returns the caller's key and the time that the caller waits for the response; 0 if
	// it sets no limit.
	Credentials(h http.Header) (key string, deadline time.Duration)
	// DecodeJob parses a submission. The server sets ID, queue, workspace and time of acceptance.
	DecodeJob(body []byte) (workload.Submission, error)
	// CheckID returns an error if the id is not a valid job id.
	CheckID(id string) error
	EncodeState(state workload.State) []byte
	EncodePending(n int) []byte
	Status(kind errkind.Kind) int
}

// Jobs is the job service.
type Jobs interface {
	Submit(ctx context.Context, job *workload.Submission) error
	// Overloaded reports whether the job could not be done in time because its workspace, which has a weight or a cap, has
	// sent too much, and when to retry.
	Overloaded(ctx context.Context, job *workload.Submission) (retryAfter time.Duration, overloaded bool)
	// BacklogFull reports whether there is no room for a job of the footprint, in bytes, beside the accepted ones.
	BacklogFull(ctx context.Context, footprint int64) bool
	// Begin records that a submission of the id is in progress until end is called.
	Begin(id string) (end func())
	// CertainlyNew reports whether no submission of the id has been accepted, nor is in progress besides that of the caller,
	// who has called Begin. It is false if that is unknown.
	CertainlyNew(ctx context.Context, id string) bool
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context, id string) (workload.State, error)
	Pending(ctx context.Context, route string) (int, error)
}

// Options configures a Server.
type Options struct {
	Codec Codec
	Jobs  Jobs
	// Config returns the current configuration, nil before the first one is received, and the time
	// when its source last confirmed it.
	Config func() (*workload.Config, time.Time)
	// StoreOutage returns for how long the store has not answered this instance; 0 if it does.
	StoreOutage func() time.Duration
	// Ingress bounds what callers can hold; nil for no bounds.
	Ingress *ingress.Gate
	Guard   *contain.Guard // recovers from panics in calls; may be nil
	Log     *zap.Logger
	Metrics metrics.Registry
}

// Server is the HTTP handler of one instance.
type Server struct {
	opts     Options
	ingress  *ingress.Gate
	handlers map[string]http.Handler // by method
	// drainEnd is the time at which open calls end; nil before Drain is called.
	drainEnd atomic.Pointer[time.Time]
	ending   context.Context // ends at drainEnd
	endCalls context.CancelFunc
	latency  map[string]metrics.Histogram
	refused  metrics.Counter
	limited  limitedRefusals
	answered metrics.Counter
}

// latencySamples is the number of samples in a latency histogram.
const latencySamples = 512

func New(o Options) *Server {
	if o.Ingress == nil {
		o.Ingress = ingress.New(ingress.Options{Name: "unbounded", Log: o.Log, Metrics: metrics.NewRegistry()})
	}
	s := &Server{opts: o, ingress: o.Ingress, limited: limitedRefusals{registry: o.Metrics}, handlers: map[string]http.Handler{}, latency: map[string]metrics.Histogram{},
		refused: metrics.GetOrRegisterCounter("front.refused", o.Metrics), answered: metrics.GetOrRegisterCounter("front.answered", o.Metrics)}
	s.ending, s.endCalls = context.WithCancel(context.Background())
	for method, final := range map[string]endpoint.Endpoint{
		http.MethodPost: s.submit, http.MethodGet: s.query, http.MethodDelete: s.cancel,
	} {
		s.latency[method] = metrics.GetOrRegisterHistogram("front.latency_us."+method, o.Metrics, metrics.NewUniformSample(latencySamples))
		chain := endpoint.Chain(s.observe, s.requireConfig, s.matchRoute, s.authenticate, s.withDeadline)
		s.handlers[method] = httptransport.NewServer(chain(final), decodeCall, s.encode, httptransport.ServerErrorEncoder(s.encodeError))
	}
	return s
}

// Drain makes the server close connections after each response, so that callers reconnect to other
// instances. Calls that are still open at the time end are then answered as at their deadline.
func (s *Server) Drain(end time.Time) {
	s.drainEnd.Store(&end)
	time.AfterFunc(time.Until(end), s.endCalls)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	handler := s.handlers[r.Method]
	if handler == nil {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err := s.opts.Guard.Do("HTTP call", func() { handler.ServeHTTP(w, r) }); err != nil {
		w.WriteHeader(s.opts.Codec.Status(errkind.Internal)) // has no effect if a response was already written
	}
}

// call is the state of a request in the filter chain.
type call struct {
	http      *http.Request
	method    string
	arrived   time.Time
	config    *workload.Config
	configAge time.Duration // time since the configuration was last confirmed
	route     *workload.Route
	id        string // job id; empty for a query of the pending count
	workspace string
	deadline  time.Duration
	key       string
}

func decodeCall(_ context.Context, r *http.Request) (any, error) {
	return &call{http: r, method: r.Method, arrived: time.Now()}, nil
}

// answer is the response of a final endpoint.
type answer struct{ body []byte }

func (s *Server) encode(_ context.Context, w http.ResponseWriter, response any) error {
	s.answered.Inc(1)
	body := response.(*answer).body
	w.Header()["Content-Type"] = contentTypeJSON
	if body == nil {
		body = emptyBody
	}
	_, err := w.Write(body)
	return err
}

var (
	contentTypeJSON = []string{"application/json"}
	emptyBody       = []byte("{}")
)
