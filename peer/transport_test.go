package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler returns the sender's revision from Heartbeat. Claim blocks until its context is done.
type handler struct {
	peer.DRPCPeerUnimplementedServer
}

func (*handler) Heartbeat(_ context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return &peer.HeartbeatReply{Revision: r.Revision, ConfirmedAgeMs: 300, Ready: true}, nil
}

func (*handler) Announce(_ context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return &peer.AnnounceReply{Revision: uint64(len(r.Document))}, nil
}

func (*handler) Claim(ctx context.Context, _ *peer.ClaimRequest) (*peer.ClaimReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// serve runs a server on the address until the returned function is called.
func serve(t *testing.T, address string, r metrics.Registry) (net.Addr, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server, err := peer.NewServer(peer.ServerOptions{Handler: &handler{}, Metrics: r})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	return listener.Addr(), func() {
		cancel()
		require.NoError(t, <-done)
	}
}

func clients(t *testing.T, r metrics.Registry) *peer.Clients {
	c := peer.NewClients(peer.ClientOptions{Metrics: r})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

// Guards against a client that cannot reconnect after its peer has restarted.
func TestClientReconnects(t *testing.T) {
	address, stop := serve(t, "127.0.0.1:0", metrics.NewRegistry())
	client := clients(t, metrics.NewRegistry()).Client(address.String())
	reply, err := client.Heartbeat(t.Context(), &peer.HeartbeatRequest{Revision: 7})
	require.NoError(t, err)
	require.EqualValues(t, 7, reply.Revision)
	stop()
	_, err = client.Heartbeat(t.Context(), &peer.HeartbeatRequest{})
	require.Error(t, err)
	_, stop = serve(t, address.String(), metrics.NewRegistry())
	defer stop()
	reply, err = client.Heartbeat(t.Context(), &peer.HeartbeatRequest{Revision: 8})
	require.NoError(t, err)
	require.EqualValues(t, 8, reply.Revision)
}

// Guards against a call that ignores its deadline, and against control calls that are delayed by a
// pending call.
func TestCallTimeout(t *testing.T) {
	address, stop := serve(t, "127.0.0.1:0", metrics.NewRegistry())
	defer stop()
	client := clients(t, metrics.NewRegistry()).Client(address.String())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	claimed := make(chan error, 1)
	go func() {
		_, err := client.Claim(ctx, &peer.ClaimRequest{})
		claimed <- err
	}()
	_, err := client.Heartbeat(t.Context(), &peer.HeartbeatRequest{})
	require.NoError(t, err)
	require.ErrorIs(t, <-claimed, context.DeadlineExceeded)
}

// Guards against messages without a size limit, and against a limit that excludes a manifest of the
// maximum size.
func TestMessageSizeLimit(t *testing.T) {
	address, stop := serve(t, "127.0.0.1:0", metrics.NewRegistry())
	defer stop()
	client := clients(t, metrics.NewRegistry()).Client(address.String())
	reply, err := client.Announce(t.Context(), &peer.AnnounceRequest{Document: make([]byte, 1<<20)})
	require.NoError(t, err)
	require.EqualValues(t, 1<<20, reply.Revision)
	_, err = client.Announce(t.Context(), &peer.AnnounceRequest{Document: make([]byte, peer.MaxMessageBytes)})
	require.ErrorContains(t, err, "must be at most")
}

// Guards against control traffic that is not counted on both sides, and against a heartbeat so large
// that 23 of them per second exceed 2 KB/s.
func TestControlTrafficMetrics(t *testing.T) {
	const peers, bytesPerSecond = 23, 2048
	server, client := metrics.NewRegistry(), metrics.NewRegistry()
	address, stop := serve(t, "127.0.0.1:0", server)
	defer stop()
	c := clients(t, client).Client(address.String())
	const heartbeats = 100
	for range heartbeats {
		_, err := c.Heartbeat(t.Context(), &peer.HeartbeatRequest{Instance: "muc-07", Revision: 790, ConfirmedAgeMs: 700})
		require.NoError(t, err)
	}
	sent, received := count(client, "peer.control.sent"), count(client, "peer.control.received")
	require.Eventually(t, func() bool { return count(server, "peer.control.received") == sent },
		5*time.Second, time.Millisecond, "the last frame of a call may arrive after the response")
	require.Positive(t, received)
	require.Less(t, (sent+received)/heartbeats*peers, int64(bytesPerSecond))
	t.Logf("a heartbeat takes %d bytes", (sent+received)/heartbeats)
	require.Zero(t, count(client, "peer.other.sent"))
}

func count(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}
