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

// handler answers heartbeats with the sender's revision; Claim waits for its context.
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

// serve runs a server on an address until the returned function is called.
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

// Guards against a client that stays broken after its peer was restarted.
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

// Guards against a call that waits without a bound, and against a call that is still
// waiting and delays control calls.
func TestCallsAreBounded(t *testing.T) {
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

// Guards against messages of any size, and against a largest manifest that does not pass.
func TestMessageSizeIsBounded(t *testing.T) {
	address, stop := serve(t, "127.0.0.1:0", metrics.NewRegistry())
	defer stop()
	client := clients(t, metrics.NewRegistry()).Client(address.String())
	reply, err := client.Announce(t.Context(), &peer.AnnounceRequest{Document: make([]byte, 1<<20)})
	require.NoError(t, err)
	require.EqualValues(t, 1<<20, reply.Revision)
	_, err = client.Announce(t.Context(), &peer.AnnounceRequest{Document: make([]byte, peer.MaxMessageBytes)})
	require.ErrorContains(t, err, "must be at most")
}

// Guards against control traffic that is not counted at both ends, and against an
// exchange that is too large for 23 of them a second within 2 KB/s.
func TestControlTrafficIsCounted(t *testing.T) {
	const peers, perSecond = 23, 2048
	server, client := metrics.NewRegistry(), metrics.NewRegistry()
	address, stop := serve(t, "127.0.0.1:0", server)
	defer stop()
	c := clients(t, client).Client(address.String())
	const exchanges = 100
	for range exchanges {
		_, err := c.Heartbeat(t.Context(), &peer.HeartbeatRequest{Instance: "muc-07", Revision: 790, ConfirmedAgeMs: 700})
		require.NoError(t, err)
	}
	sent, received := count(client, "peer.control.sent"), count(client, "peer.control.received")
	require.Eventually(t, func() bool { return count(server, "peer.control.received") == sent },
		5*time.Second, time.Millisecond, "the last frame of a call arrives after its answer")
	require.Positive(t, received)
	require.Less(t, (sent+received)/exchanges*peers, int64(perSecond))
	t.Logf("an exchange takes %d bytes", (sent+received)/exchanges)
	require.Zero(t, count(client, "peer.other.sent"))
}

func count(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}
