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
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

const (
	// headerTimeout and idleTimeout limit callers' connections. They equal the defaults in the
	// operators' configuration.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 16 << 10
	// balancerLag is how long the load balancer may still send new connections after this instance
	// reports that it is not ready. It covers two health checks one second apart, with time for
	// a third.
	balancerLag = 3200 * time.Millisecond
	// exitMargin is the rest of the grace period that remains when open requests are aborted.
	exitMargin = 700 * time.Millisecond
	// answerMargin is the time before that in which calls that still wait are answered.
	answerMargin = 300 * time.Millisecond
)

// serve runs the HTTP servers until ctx ends, and then drains the callers' server, or until one fails.
// It closes them all.
func (n *Node) serve(ctx context.Context) error {
	callers := newServer(n.gates.callers, n.front)
	ready := newServer(n.gates.ready, n.readyHandler())
	admin := newServer(n.gates.admin, n.adminHandler())
	failed := make(chan error, 3)
	var serving sync.WaitGroup
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{
		{callers, n.gates.callers.Listener(n.opts.Callers)}, {ready, n.gates.ready.Listener(n.opts.Ready)}, {admin, n.gates.admin.Listener(n.opts.Admin)},
	} {
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
			n.log.Debug("closing an HTTP server failed", zap.Error(closeErr))
		}
	}
	serving.Wait()
	return err
}

// drain reports the instance as not ready, accepts requests until the load balancer has reacted, and
// then waits for the open ones to finish. Those that would last longer than the grace period are answered before its end.
func (n *Node) drain(callers *http.Server) {
	end := time.Now().Add(n.opts.GracePeriod - exitMargin)
	n.draining.Store(true)
	n.front.Drain(end.Add(-answerMargin))
	events.Info(n.log, events.ProcessStopping, zap.Duration("grace", n.opts.GracePeriod))
	lag := min(balancerLag, n.opts.GracePeriod/2)
	time.Sleep(lag)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("open requests aborted at the end of the grace period", zap.Error(err))
	}
}

// notReadyReason returns why the instance accepts no new connections, or "" if it is ready.
func (n *Node) notReadyReason() string {
	if n.draining.Load() {
		return "stopping"
	}
	if n.operatorData.config() == nil {
		return "no configuration received yet"
	}
	return ""
}

func (n *Node) readyHandler() http.Handler {
	var last atomic.Value
	last.Store("starting")
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.opts.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := n.notReadyReason()
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
		metrics.WriteOnce(n.opts.Metrics, w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// servePeers serves the calls of other instances until ctx ends.
func (n *Node) servePeers(ctx context.Context) {
	server, err := peer.NewServer(peer.ServerOptions{
		Log: n.log, Metrics: n.opts.Metrics, Guard: n.guard,
		Register: func(mux drpc.Mux) error { return relay.DRPCRegisterRelay(mux, peerServer{n}) },
	})
	if err != nil {
		n.log.Error("creating the server for peer calls failed", zap.Error(err))
		return
	}
	if err := server.Serve(ctx, n.gates.peers.Listener(n.opts.Peers)); err != nil {
		n.log.Error("server for peer calls failed", zap.Error(err))
	}
}

// peerServer implements relay.DRPCRelayServer, the protocol between instances.
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

// Admission implements relay.DRPCRelayServer.
func (p peerServer) Admission(ctx context.Context, r *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	return p.n.jobs.HandleAdmission(ctx, r)
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
	return p.n.unstoredReply(), nil
}

// Operator implements relay.DRPCRelayServer.
func (p peerServer) Operator(ctx context.Context, r *relay.OperatorRequest) (*relay.OperatorReply, error) {
	return p.n.operatorData.snapshot(ctx, r.After), nil
}
