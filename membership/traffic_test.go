package membership_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	trafficNodes       = 24
	trafficDataCentres = 7
	trafficWarmUp      = 6 * time.Second
	trafficTime        = 20 * time.Second
)

// trafficNode is an instance that runs membership, configuration and elections on loopback.
type trafficNode struct {
	peer.DRPCPeerUnimplementedServer
	members  *membership.Controller
	config   *config.Controller
	registry metrics.Registry
}

func (f *trafficNode) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return f.members.HandleHeartbeat(ctx, r)
}

func (f *trafficNode) Confirm(ctx context.Context, r *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	return f.config.HandleConfirm(ctx, r)
}

func (f *trafficNode) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return f.config.HandleAnnounce(ctx, r)
}

// BenchmarkControlTraffic reports the control bytes that a node sends and receives per second at 24
// instances on loopback: with idle data centres, with owners whose state changes continuously, and
// during a store outage.
func BenchmarkControlTraffic(b *testing.B) {
	for _, c := range []struct {
		name         string
		busy, outage bool
	}{{"idle", false, false}, {"busy owners", true, false}, {"store outage", true, true}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				mean, highest := measureTraffic(b, c.busy, c.outage)
				b.ReportMetric(mean, "B/s/node")
				b.ReportMetric(highest, "max-B/s/node")
			}
		})
	}
}

func measureTraffic(b *testing.B, busy, outage bool) (mean, highest float64) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	store, list := standin.NewStore(), standin.NewList(0)
	var nodes []*trafficNode
	var instances []structs.Instance
	for i := range trafficNodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		in := structs.Instance{ID: fmt.Sprintf("dc%d-%02d", i%trafficDataCentres, i),
			DataCentre: fmt.Sprintf("dc%d", i%trafficDataCentres), PeerAddr: listener.Addr().String()}
		instances = append(instances, in)
		f := &trafficNode{registry: metrics.NewRegistry()}
		clients := peer.NewClients(peer.ClientOptions{Metrics: f.registry})
		f.members = membership.New(membership.Options{Self: in, List: list, Clients: clients, Metrics: f.registry})
		f.config = config.New(config.Options{Store: store, Peers: f.members, Metrics: f.registry})
		f.members.SetConfig(f.config)
		server, err := peer.NewServer(peer.ServerOptions{Handler: f, Metrics: f.registry})
		require.NoError(b, err)
		nodes = append(nodes, f)
		running.Go(func() { require.NoError(b, server.Serve(ctx, listener)) })
		running.Go(func() { f.members.Run(ctx); _ = clients.Close() })
		running.Go(func() { f.config.Run(ctx) })
		for d := range trafficDataCentres {
			f.elect(ctx, &running, store, fmt.Sprintf("dc%d", d), busy)
		}
	}
	list.SetInstances(instances)
	time.Sleep(trafficWarmUp)
	store.SetFaults(standin.StoreFaults{Down: outage})
	before := make([]int64, len(nodes))
	for i, f := range nodes {
		before[i] = f.controlBytes()
	}
	time.Sleep(trafficTime)
	for i, f := range nodes {
		rate := float64(f.controlBytes()-before[i]) / trafficTime.Seconds()
		mean += rate / float64(len(nodes))
		highest = max(highest, rate)
	}
	return mean, highest
}

// elect takes part in the election of a data centre. If busy, it changes the summary every 100 ms while
// the instance is the owner.
func (f *trafficNode) elect(ctx context.Context, running *sync.WaitGroup, store *standin.Store, dataCentre string, busy bool) {
	e := membership.NewElection(membership.ElectionOptions{DataCentre: dataCentre, Store: store, Members: f.members,
		Metrics: f.registry, OnElected: func(uint64) {}, OnStoodDown: func() {}})
	running.Go(func() { e.Run(ctx) })
	if !busy {
		return
	}
	running.Go(func() {
		for i := int32(0); ctx.Err() == nil; i++ {
			if token := e.Token(); token != 0 {
				f.members.SetSummary(&peer.Summary{DataCentre: dataCentre, Token: token, FreeAccelerators: 300 + i%400,
					LargestGang: 8 + i%50, Queued: 200 + i%100, FreeSlots: 250 + i%100})
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (f *trafficNode) controlBytes() int64 {
	return metrics.GetOrRegisterCounter("peer.control.sent", f.registry).Count() +
		metrics.GetOrRegisterCounter("peer.control.received", f.registry).Count()
}
