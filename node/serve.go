package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

const (
	// headerTimeout and idleTimeout bound connections of callers; they are the limits that
	// the operators' configuration states by default.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 16 << 10
	// balancerLag is how long the balancer may take to send no new connections after this
	// instance reports that it is not ready: two questions a second apart, with room for a
	// third.
	balancerLag = 3200 * time.Millisecond
	// exitMargin is what is left of the grace period when the last answer is cut off.
	exitMargin = 700 * time.Millisecond
)

// serve runs the listeners until ctx ends and drains them.
func (n *Node) serve(ctx context.Context) error {
	callers := &http.Server{Handler: n.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	var serving sync.WaitGroup
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{callers, n.o.Callers}, {ready, n.o.Ready}, {admin, n.o.Admin}} {
		serving.Go(func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	var err error
	select {
	case <-ctx.Done():
		n.drain(callers)
	case err = <-failed:
	}
	for _, s := range []*http.Server{callers, ready, admin} {
		if closeErr := s.Close(); closeErr != nil {
			n.log.Debug("listener not closed", zap.Error(closeErr))
		}
	}
	serving.Wait()
	return err
}

// drain reports not ready, serves on until the balancer has noticed, and finishes what is
// under way.
func (n *Node) drain(callers *http.Server) {
	n.draining.Store(true)
	n.front.Drain()
	events.Info(n.log, events.ProcessStopping, zap.Duration("grace", n.o.Grace))
	lag := min(balancerLag, n.o.Grace/2)
	time.Sleep(lag)
	ctx, cancel := context.WithTimeout(context.Background(), n.o.Grace-lag-exitMargin)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("calls cut short by the end of the grace period", zap.Error(err))
	}
}

// readiness returns why the instance takes no new connections, or "".
func (n *Node) readiness() string {
	if n.draining.Load() {
		return "stopping"
	}
	if n.operator.config() == nil {
		return "no configuration is known yet"
	}
	return ""
}

func (n *Node) readyHandler() http.Handler {
	var last atomic.Value
	last.Store("starting")
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.o.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := n.readiness()
		if last.Swap(reason) != reason {
			events.Info(n.log, events.ReadinessChanged, zap.Bool("ready", reason == ""), zap.String("reason", reason))
		}
		if reason != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(n.o.Metrics, w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// servePeers serves the calls of other instances.
func (n *Node) servePeers(ctx context.Context) {
	server, err := peer.NewServer(peer.ServerOptions{
		Log: n.log, Metrics: n.o.Metrics, Guard: n.guard,
		Register: func(mux drpc.Mux) error { return relay.DRPCRegisterRelay(mux, peerServer{n}) },
	})
	if err != nil {
		n.log.Error("peer calls not registered", zap.Error(err))
		return
	}
	if err := server.Serve(ctx, n.o.Peers); err != nil {
		n.log.Error("peer calls not served", zap.Error(err))
	}
}

// peerServer implements the peer protocol.
type peerServer struct{ n *Node }

// Query implements relay.DRPCRelayServer.
func (p peerServer) Query(ctx context.Context, q *relay.QueryRequest) (*relay.QueryReply, error) {
	return p.n.jobs.HandleQuery(ctx, q)
}

// Submit implements relay.DRPCRelayServer.
func (p peerServer) Submit(ctx context.Context, r *relay.SubmitRequest) (*relay.OutcomeReply, error) {
	return p.n.jobs.HandleSubmit(ctx, r)
}

// Cancel implements relay.DRPCRelayServer.
func (p peerServer) Cancel(ctx context.Context, r *relay.CancelRequest) (*relay.OutcomeReply, error) {
	return p.n.jobs.HandleCancel(ctx, r)
}

// Announce implements relay.DRPCRelayServer.
func (p peerServer) Announce(ctx context.Context, r *relay.AnnounceRequest) (*relay.AnnounceReply, error) {
	return p.n.jobs.HandleAnnounce(ctx, r)
}

// Depose implements relay.DRPCRelayServer.
func (p peerServer) Depose(ctx context.Context, r *relay.DeposeRequest) (*relay.OutcomeReply, error) {
	if !p.n.store.Healthy() {
		return &relay.OutcomeReply{Outcome: relay.OutcomeReply_REFUSED}, nil
	}
	if err := p.n.elector.Depose(ctx, r.Token); err != nil {
		return nil, err
	}
	return &relay.OutcomeReply{Outcome: relay.OutcomeReply_STORED}, nil
}

// Completed implements relay.DRPCRelayServer.
func (p peerServer) Completed(context.Context, *relay.CompletedRequest) (*relay.CompletedReply, error) {
	reply := &relay.CompletedReply{}
	for _, term := range []*jobowner.Term{p.n.former.Load(), p.n.term.Load()} {
		if term != nil {
			reply.Jobs = append(reply.Jobs, term.UnstoredCompletions()...)
		}
	}
	return reply, nil
}

// Operator implements relay.DRPCRelayServer.
func (p peerServer) Operator(ctx context.Context, r *relay.OperatorRequest) (*relay.OperatorReply, error) {
	return p.n.operator.snapshot(ctx, r.After), nil
}
