package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
)

const (
	// maxConnections limits the connections that the server accepts. 40 instances with up to
	// callsPerPeer calls each stay below it.
	maxConnections = 2048
	// serverIdleTimeout is the time after which a connection without calls is closed. It is longer
	// than the clients' idleTimeout, so that a client does not use a connection that the server is
	// closing.
	serverIdleTimeout = 2 * idleTimeout
	// acceptRetryDelay is the delay after a failed accept, for example for lack of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Handler DRPCPeerServer
	// Register registers other services. Handler may be nil if it is set.
	Register func(drpc.Mux) error
	Log      *zap.Logger
	Metrics  metrics.Registry // nil for the default registry
	Guard    *contain.Guard   // recovers from panics in calls; may be nil
}

// Server serves calls from peers.
type Server struct {
	mux     *drpcmux.Mux
	log     *zap.Logger
	traffic *traffic
	guard   *contain.Guard
	slots   chan struct{} // holds one element for each open connection
}

// NewServer returns a server for the handler and the services that o.Register adds.
func NewServer(o ServerOptions) (*Server, error) {
	s := &Server{mux: drpcmux.New(), log: o.Log, guard: o.Guard, traffic: newTraffic(o.Metrics), slots: make(chan struct{}, maxConnections)}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	if o.Handler != nil {
		if err := DRPCRegisterPeer(s.mux, o.Handler); err != nil {
			return nil, err
		}
	}
	if o.Register != nil {
		if err := o.Register(s.mux); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Serve accepts connections until ctx is done. It then closes the listener and all connections, and
// returns when all calls have returned.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
	})
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.log.Warn("accepting a peer connection failed", zap.Error(err))
			wait.For(ctx, acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-s.slots }()
				s.serveOne(ctx, conn)
			})
		default:
			s.log.Warn("peer connection refused: too many connections", zap.Int("limit", maxConnections), zap.Stringer("remote", conn.RemoteAddr()))
			_ = conn.Close()
		}
	}
}

func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	counted := s.traffic.wrap(conn)
	options := managerOptions()
	options.InactivityTimeout = serverIdleTimeout
	server := drpcserver.NewWithOptions(&classifier{next: s.mux, guard: s.guard, conn: counted}, drpcserver.Options{Manager: options})
	if err := server.ServeOne(ctx, counted); err != nil && ctx.Err() == nil {
		s.log.Debug("peer connection closed with an error", zap.Error(err), zap.Stringer("remote", conn.RemoteAddr()))
	}
}

// classifier assigns a connection to a traffic class by its first call. Clients use separate
// connections for each class.
type classifier struct {
	next  drpc.Handler
	guard *contain.Guard
	conn  *countedConn
	once  sync.Once
}

// HandleRPC implements drpc.Handler.
func (c *classifier) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	c.once.Do(func() { c.conn.classify(controlCalls[rpc]) })
	if fault := c.guard.Do("call of "+rpc, func() { err = c.next.HandleRPC(stream, rpc) }); fault != nil {
		return fault
	}
	return err
}
