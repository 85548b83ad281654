package standin

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/peer"
)

// Network delivers control calls between instances in memory, by direct calls of the handlers. It
// can partition pairs of addresses and pause an address.
type Network struct {
	mu          sync.Mutex
	latency     time.Duration
	handlers    map[string]peer.DRPCPeerServer
	partitioned map[[2]string]bool
	paused      map[string]chan struct{} // closed by Resume
	bytes       map[string]int           // size of the encoded messages sent and received, by address
}

// NewNetwork returns a network with the given one-way latency.
func NewNetwork(latency time.Duration) *Network {
	return &Network{
		latency: latency, handlers: map[string]peer.DRPCPeerServer{}, partitioned: map[[2]string]bool{},
		paused: map[string]chan struct{}{}, bytes: map[string]int{},
	}
}

// SetHandler sets the handler of an address. With nil, calls to the address fail.
func (n *Network) SetHandler(address string, handler peer.DRPCPeerServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetPartitioned sets whether messages between two addresses are lost, in both directions.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
}

// Pause blocks all messages from and to an address until Resume.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[address]; ch != nil {
		close(ch)
		delete(n.paused, address)
	}
}

// WaitResumed blocks while the address is paused or until the context ends.
func (n *Network) WaitResumed(ctx context.Context, address string) error {
	n.mu.Lock()
	ch := n.paused[address]
	n.mu.Unlock()
	if ch == nil {
		return ctx.Err()
	}
	select {
	case <-ch:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// MessageBytes returns the total size of the encoded messages that an address sent and received.
func (n *Network) MessageBytes(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[address]
}

// ClientsFrom returns a source of clients whose calls come from the address.
func (n *Network) ClientsFrom(address string) NetworkClients {
	return NetworkClients{network: n, from: address}
}

// NetworkClients creates clients whose calls come from one address.
type NetworkClients struct {
	network *Network
	from    string
}

// Client returns a client of the peer at an address.
func (c NetworkClients) Client(address string) peer.DRPCPeerClient {
	return &networkClient{network: c.network, from: c.from, to: address}
}

// networkClient implements the control calls. The other calls of the interface panic, as the
// embedded client is nil.
type networkClient struct {
	peer.DRPCPeerClient
	network  *Network
	from, to string
}

// deliver applies latency, pauses and partitions to a message and returns the receiver's handler.
func (n *Network) deliver(ctx context.Context, from, to string, m proto.Message) (peer.DRPCPeerServer, error) {
	if err := n.WaitResumed(ctx, from); err != nil {
		return nil, err
	}
	if !wait.For(ctx, n.latency) {
		return nil, ctx.Err()
	}
	if err := n.WaitResumed(ctx, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	handler, partitioned := n.handlers[to], n.partitioned[[2]string{from, to}]
	if !partitioned {
		n.bytes[from] += proto.Size(m)
		n.bytes[to] += proto.Size(m)
	}
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if handler == nil {
		return nil, errNoAnswer
	}
	return handler, nil
}

func roundTrip[In, Out proto.Message](ctx context.Context, c *networkClient, in In,
	call func(peer.DRPCPeerServer, context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	handler, err := c.network.deliver(ctx, c.from, c.to, in)
	if err != nil {
		return zero, err
	}
	out, err := call(handler, ctx, proto.CloneOf(in))
	if err != nil {
		return zero, err
	}
	if _, err := c.network.deliver(ctx, c.to, c.from, out); err != nil {
		return zero, err
	}
	return proto.CloneOf(out), nil
}

// Heartbeat implements peer.DRPCPeerClient.
func (c *networkClient) Heartbeat(ctx context.Context, in *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return roundTrip(ctx, c, in, peer.DRPCPeerServer.Heartbeat)
}

// Confirm implements peer.DRPCPeerClient.
func (c *networkClient) Confirm(ctx context.Context, in *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	return roundTrip(ctx, c, in, peer.DRPCPeerServer.Confirm)
}

// Announce implements peer.DRPCPeerClient.
func (c *networkClient) Announce(ctx context.Context, in *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return roundTrip(ctx, c, in, peer.DRPCPeerServer.Announce)
}
