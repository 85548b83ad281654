package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/cyclamenyard/cyclamenyard/internal/ingress"
)

const (
	// MaxMessageBytes limits the size of a message. The largest ones contain a manifest or a job
	// record, which the store limits to 1 MB.
	MaxMessageBytes = 2 << 20
	// dialTimeout limits connection set-up. Peers are no farther apart than one region.
	dialTimeout = time.Second
	// callTimeout limits a call whose context has no deadline.
	callTimeout = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed. Heartbeats keep one
	// connection to each peer in use.
	idleTimeout = 30 * time.Second
	// idlePerPeer is the maximum number of unused connections kept for each peer.
	idlePerPeer = 4
	// callsPerPeer limits the concurrent calls to a peer. Control calls are exempt, so that waiting
	// job calls cannot delay them. The listener of an instance has room for these calls of all others.
	callsPerPeer = ingress.PeerCalls
)

// controlCalls are the calls that belong to control traffic, which has separate connections and
// separate metrics.
var controlCalls = map[string]bool{
	"/peer.Peer/Heartbeat": true,
	"/peer.Peer/Confirm":   true,
	"/peer.Peer/Announce":  true,
}

// ClientOptions configures Clients.
type ClientOptions struct {
	Metrics metrics.Registry // nil for the default registry
}

// Clients makes calls to peers. A connection is opened by the first call to a peer, reused by later
// calls, and replaced after a failure.
type Clients struct {
	traffic *traffic
	pool    *drpcpool.Pool[poolKey, *drpcconn.Conn]
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
	limits map[string]*semaphore.Weighted
}

// poolKey keeps control connections separate from the others.
type poolKey struct {
	address string
	control bool
}

// NewClients returns Clients without open connections.
func NewClients(o ClientOptions) *Clients {
	ctx, cancel := context.WithCancel(context.Background())
	return &Clients{
		ctx: ctx, cancel: cancel,
		traffic: newTraffic(o.Metrics),
		pool: drpcpool.New[poolKey, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTimeout, KeyCapacity: idlePerPeer,
		}),
		limits: map[string]*semaphore.Weighted{},
	}
}

// Client returns a client for the peer at an IP address and port. It does not open a connection.
func (c *Clients) Client(address string) DRPCPeerClient {
	return NewDRPCPeerClient(c.Conn(address))
}

// Conn returns a connection to the peer for the clients of other services. Its calls share the pool
// and the limits of Client. It does not open a connection until the first call.
func (c *Clients) Conn(address string) drpc.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limits[address]
	if limit == nil {
		limit = semaphore.NewWeighted(callsPerPeer)
		c.limits[address] = limit
	}
	return &clientConn{clients: c, address: address, limit: limit}
}

// Remove discards the call limit of a peer that has left.
func (c *Clients) Remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, address)
}

// Close cancels the calls in progress, waits for them to return and closes all connections.
func (c *Clients) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	return c.pool.Close()
}

// begin registers a call, so that Close waits for it.
func (c *Clients) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.calls.Add(1)
	return nil
}

func (c *Clients) dial(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	counted := c.traffic.wrap(conn)
	counted.classify(key.control)
	return drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// clientConn makes calls to one peer and limits their number. It implements drpc.Conn.
type clientConn struct {
	clients *Clients
	address string
	limit   *semaphore.Weighted
}

// Close implements drpc.Conn. It does nothing, because the pool owns the connections.
func (c *clientConn) Close() error { return nil }

// Closed implements drpc.Conn. The connection never closes, because the pool reconnects as needed.
func (c *clientConn) Closed() <-chan struct{} { return nil }

// Invoke implements drpc.Conn.
func (c *clientConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if m, ok := in.(proto.Message); ok && proto.Size(m) > MaxMessageBytes {
		return fmt.Errorf("%s: message has %d bytes: must be at most %d", rpc, proto.Size(m), MaxMessageBytes)
	}
	if err := c.clients.begin(); err != nil {
		return fmt.Errorf("%s: %w", rpc, err)
	}
	defer c.clients.calls.Done()
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	defer context.AfterFunc(c.clients.ctx, cancel)()
	control := controlCalls[rpc]
	if !control {
		if err := c.limit.Acquire(ctx, 1); err != nil {
			return fmt.Errorf("%s: %d calls to the peer are waiting: %w", rpc, callsPerPeer, err)
		}
		defer c.limit.Release(1)
	}
	conn := c.clients.pool.Get(ctx, poolKey{address: c.address, control: control}, c.clients.dial)
	defer func() { _ = conn.Close() }()
	return conn.Invoke(ctx, rpc, enc, in, out)
}

// withCallTimeout adds callTimeout to ctx if it has no deadline.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callTimeout)
}

// NewStream implements drpc.Conn. The protocol does not use streams.
func (c *clientConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, fmt.Errorf("peer: streams are not supported")
}
