package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// cluster is a set of instances that share a store, a list and a network. Instances n0 and n1 are in
// data centre "a", the others in "b".
type cluster struct {
	store     *standin.Store
	network   *standin.Network
	list      *standin.List
	instances []structs.Instance
	nodes     []*node
}

type node struct {
	peer.DRPCPeerUnimplementedServer
	members  *membership.Controller
	election *membership.Election // of data centre "a"
	stop     context.CancelFunc

	mu         sync.Mutex
	elected    []uint64
	holds      bool
	heartbeats int // received
	summaries  int // received
}

// received returns the numbers of heartbeats and summaries received.
func (n *node) received() (heartbeats, summaries int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heartbeats, n.summaries
}

func (n *node) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	n.mu.Lock()
	n.heartbeats++
	n.summaries += len(r.Summaries)
	n.mu.Unlock()
	return n.members.HandleHeartbeat(ctx, r)
}

func (n *node) holding() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{store: standin.NewStore(), network: standin.NewNetwork(time.Millisecond), list: standin.NewList(0)}
	for i := range size {
		id := fmt.Sprintf("n%d", i)
		in := structs.Instance{ID: id, DataCentre: "a", PeerAddr: id}
		if i > 1 {
			in.DataCentre = "b"
		}
		c.instances = append(c.instances, in)
	}
	c.list.SetInstances(c.instances)
	var running sync.WaitGroup
	for i, in := range c.instances {
		ctx, cancel := context.WithCancel(context.Background())
		n := &node{stop: cancel}
		n.members = membership.New(membership.Options{Self: in, List: c.list, Clients: c.network.ClientsFrom(in.PeerAddr),
			Metrics: metrics.NewRegistry(), Jitter: seededJitter(uint64(i))})
		n.members.SetConfig(confirmedConfig{})
		n.election = membership.NewElection(membership.ElectionOptions{
			DataCentre: "a", Store: c.store, Members: n.members, Metrics: metrics.NewRegistry(),
			OnElected: func(token uint64) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.elected, n.holds = append(n.elected, token), true
			},
			OnStoodDown: func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.holds = false
			},
		})
		c.network.SetHandler(in.PeerAddr, n)
		c.nodes = append(c.nodes, n)
		running.Go(func() { n.members.Run(ctx) })
		running.Go(func() { n.election.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		running.Wait()
	})
	return c
}

// confirmedConfig is a configuration that the store has confirmed.
type confirmedConfig struct{}

func (confirmedConfig) Heartbeat() (uint64, time.Duration)                          { return 790, 300 * time.Millisecond }
func (confirmedConfig) Ready() bool                                                 { return true }
func (confirmedConfig) NeedsPeerConfirmation() bool                                 { return false }
func (confirmedConfig) RecordPeerRevision(string, uint64, time.Time, time.Duration) {}

// seededJitter returns a deterministic source of jitter.
func seededJitter(seed uint64) func(time.Duration) time.Duration {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.Int64N(int64(d)))
	}
}

// soleHolder returns the index of the holder and requires that there is exactly one.
func (c *cluster) soleHolder(t *testing.T) int {
	t.Helper()
	var holders []int
	for i, n := range c.nodes {
		if n.holding() {
			holders = append(holders, i)
		}
	}
	require.Len(t, holders, 1)
	return holders[0]
}

// Guards against instances that compute different owners for a shard, an owner that is dead or
// leaving, and shards that move although their owner is still alive.
func TestShardOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		time.Sleep(5 * time.Second)
		before := map[uint32]string{}
		for shard := range uint32(16) {
			before[shard] = c.nodes[0].members.ShardOwner(shard)
			for _, n := range c.nodes {
				require.Equal(t, before[shard], n.members.ShardOwner(shard))
			}
		}
		c.network.SetHandler("n4", nil) // crashes; the list still contains it
		c.nodes[4].stop()
		c.nodes[3].members.SetLeaving()
		time.Sleep(6 * time.Second)
		moved := 0
		for shard, owner := range before {
			now := c.nodes[0].members.ShardOwner(shard)
			require.NotContains(t, []string{"n3", "n4", ""}, now)
			if owner == "n3" || owner == "n4" {
				moved++
				continue
			}
			require.Equal(t, owner, now)
		}
		require.NotZero(t, moved)
	})
}

// Guards against an owner from another data centre while an instance of the data centre is alive,
// against more than one holder, and against instances that report a different holder.
func TestElectionPrefersItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		time.Sleep(10 * time.Second)
		holder := c.soleHolder(t)
		require.Less(t, holder, 2)
		for _, n := range c.nodes {
			instance, token, ok := n.election.Holder()
			require.True(t, ok)
			require.Equal(t, fmt.Sprintf("n%d", holder), instance)
			require.Equal(t, c.nodes[holder].elected[0], token)
		}
		calls := c.store.Calls()["get"]
		time.Sleep(50 * time.Second)
		require.LessOrEqual(t, c.store.Calls()["get"]-calls, 6, "the store is read for a live holder")
	})
}

// Guards against a graceful stop that leaves a data centre without an owner until the lease expires,
// and against a token that does not increase.
func TestElectionReleaseOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		time.Sleep(10 * time.Second)
		first := c.soleHolder(t)
		c.nodes[first].members.SetLeaving()
		c.nodes[first].stop()
		time.Sleep(4 * time.Second)
		second := c.soleHolder(t)
		require.NotEqual(t, first, second)
		require.Less(t, second, 2)
		require.Greater(t, c.nodes[second].elected[0], c.nodes[first].elected[0])
	})
}

// Guards against an owner that stands down during a store outage, and against an owner that keeps the
// ownership after it received a newer token.
func TestElectionDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		time.Sleep(10 * time.Second)
		first := c.soleHolder(t)
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(10 * time.Minute)
		require.Equal(t, first, c.soleHolder(t))
		require.Len(t, c.nodes[first].elected, 1)
		c.store.SetFaults(standin.StoreFaults{})
		time.Sleep(5 * time.Second)
		require.Equal(t, first, c.soleHolder(t), "the holder has the newest state and is elected again")
		require.Len(t, c.nodes[first].elected, 2)
		c.nodes[first].members.ObserveTokens([]*peer.OwnerToken{{DataCentre: "a", Token: 1 << 40}})
		time.Sleep(600 * time.Millisecond)
		require.False(t, c.nodes[first].holding())
	})
}

// Guards against an instance that stays owner after a network partition in which another was elected.
func TestElectionAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		time.Sleep(10 * time.Second)
		first := c.soleHolder(t)
		for i := range c.nodes {
			if i != first {
				c.network.SetPartitioned(fmt.Sprintf("n%d", first), fmt.Sprintf("n%d", i), true)
			}
		}
		c.store.ExpireLeases()
		time.Sleep(15 * time.Second)
		for i := range c.nodes {
			c.network.SetPartitioned(fmt.Sprintf("n%d", first), fmt.Sprintf("n%d", i), false)
		}
		time.Sleep(5 * time.Second)
		holder := c.soleHolder(t)
		for _, n := range c.nodes {
			_, token, ok := n.election.Holder()
			require.True(t, ok)
			require.Equal(t, c.nodes[holder].elected[len(c.nodes[holder].elected)-1], token)
		}
	})
}

// Guards against summaries that do not reach peers, that are sent again unchanged, or that an older
// owner overwrites.
func TestSummariesAreSentAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(10 * time.Second)
		owner := c.nodes[c.soleHolder(t)]
		token := owner.elected[0]
		owner.members.SetSummary(&peer.Summary{DataCentre: "a", Token: token, FreeSlots: 17})
		time.Sleep(6 * time.Second)
		for _, n := range c.nodes {
			s := n.members.Summaries()
			require.Len(t, s, 1)
			require.EqualValues(t, 17, s[0].FreeSlots)
			require.Equal(t, token, s[0].Token)
		}
		_, err := c.nodes[2].members.HandleHeartbeat(t.Context(), &peer.HeartbeatRequest{Instance: "n0",
			Summaries: []*peer.Summary{{DataCentre: "a", Token: token - 1, Version: 99, Owner: "n9"}}})
		require.NoError(t, err)
		require.Equal(t, owner.members.Self().ID, c.nodes[2].members.Summaries()[0].Owner)
		_, before := c.nodes[2].received()
		time.Sleep(20 * time.Second)
		_, after := c.nodes[2].received()
		require.LessOrEqual(t, after-before, 1, "an unchanged summary is sent again once in 30 s")
	})
}

// Guards against heartbeats in both directions of a pair, which exceed the traffic limit of a node, and
// against a live peer that counts as lost because it sends no heartbeats itself.
func TestOneHeartbeatPerPairAndSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, seconds = 24, 60
		c := newCluster(t, size)
		time.Sleep(10 * time.Second)
		total := func() (n int) {
			for _, node := range c.nodes {
				heartbeats, _ := node.received()
				n += heartbeats
			}
			return n
		}
		before := total()
		time.Sleep(seconds * time.Second)
		pairs := size * (size - 1) / 2
		require.InDelta(t, pairs*seconds, total()-before, float64(pairs*seconds)/10)
		for _, n := range c.nodes {
			for _, p := range n.members.Status().Peers {
				require.False(t, p.Lost)
			}
		}
	})
}

// Guards against an owner that exceeds the traffic limit during a store outage, when each summary needs
// an additional heartbeat, and against a summary interval that stays longer after the outage.
func TestSummariesAreLessFrequentDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const minute = 60
		c := newCluster(t, 3)
		time.Sleep(10 * time.Second)
		owner := c.nodes[c.soleHolder(t)]
		received := func(confirming bool) int {
			_, before := c.nodes[2].received()
			for i := range int32(minute) {
				if confirming {
					owner.members.RecordConfirmation("n2")
				}
				owner.members.SetSummary(&peer.Summary{DataCentre: "a", Token: owner.elected[0], FreeSlots: i})
				time.Sleep(time.Second)
			}
			_, after := c.nodes[2].received()
			return after - before
		}
		require.InDelta(t, minute/4, received(false), 4)
		require.InDelta(t, minute/20, received(true), 1)
		time.Sleep(5 * time.Second)
		require.InDelta(t, minute/4, received(false), 4)
	})
}

// Guards against a separate heartbeat for each summary of an owner of two data centres.
func TestChangedSummariesShareAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(10 * time.Second)
		owner := c.nodes[c.soleHolder(t)]
		set := func(dataCentre string, token uint64, slots int32) {
			owner.members.SetSummary(&peer.Summary{DataCentre: dataCentre, Token: token, FreeSlots: slots})
		}
		set("z", 5, 1)
		time.Sleep(2 * time.Second)
		set("z", 5, 2) // not due yet
		time.Sleep(1100 * time.Millisecond)
		require.EqualValues(t, 1, c.nodes[2].members.Summaries()[1].FreeSlots)
		set("a", owner.elected[0], 17)
		time.Sleep(1200 * time.Millisecond)
		list := c.nodes[2].members.Summaries()
		require.EqualValues(t, 17, list[0].FreeSlots)
		require.EqualValues(t, 2, list[1].FreeSlots)
	})
}
