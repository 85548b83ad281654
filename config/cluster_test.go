package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// The seed is fixed so that every run draws the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20260109"); err != nil {
		panic(err)
	}
}

var errNoAnswer = errors.New("store does not answer")

// cluster is a set of instances that share one store, one platform list and one network.
type cluster struct {
	store   *standin.Store
	network *standin.Network
	list    *standin.List
	nodes   []*node

	mu       sync.Mutex
	history  []committedRevision // in the order in which they took effect
	previous remote.KV           // the entry before the last write
}

// committedRevision is a revision that took effect in the store.
type committedRevision struct {
	at       time.Time
	revision structs.Revision
}

type node struct {
	peer.DRPCPeerUnimplementedServer
	id      string
	store   *nodeStore
	list    *nodeList
	members *membership.Controller
	config  *config.Controller
}

func (n *node) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return n.members.HandleHeartbeat(ctx, r)
}

func (n *node) Confirm(ctx context.Context, r *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	return n.config.HandleConfirm(ctx, r)
}

func (n *node) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return n.config.HandleAnnounce(ctx, r)
}

// nodeList is the platform's list as one instance sees it.
type nodeList struct {
	*standin.List
	hidden atomic.Value // id of an instance that is left out
}

func (l *nodeList) Instances(ctx context.Context) ([]structs.Instance, error) {
	instances, err := l.List.Instances(ctx)
	return slices.DeleteFunc(slices.Clone(instances), func(in structs.Instance) bool { return in.ID == l.hidden.Load() }), err
}

// nodeStore is the store as seen by one instance, with faults that affect only that instance.
type nodeStore struct {
	remote.Store
	cluster *cluster
	id      string

	mu          sync.Mutex
	down        bool
	noWatch     bool // watches fail
	loseAnswers int  // number of successful writes, from now on, whose answers are lost
	staleReads  bool // Get returns the entry before the last write
}

func (s *nodeStore) set(f func(*nodeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// checkReachable waits while the instance is paused, and returns an error if the store is down.
func (s *nodeStore) checkReachable(ctx context.Context) error {
	if err := s.cluster.network.WaitResumed(ctx, s.id); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errNoAnswer
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, key string) (remote.KV, error) {
	if err := s.checkReachable(ctx); err != nil {
		return remote.KV{}, err
	}
	s.mu.Lock()
	stale := s.staleReads
	s.mu.Unlock()
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if stale && s.cluster.previous.Revision != 0 {
		return s.cluster.previous, nil
	}
	return s.Store.Get(ctx, key)
}

func (s *nodeStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.checkReachable(ctx); err != nil {
		return 0, err
	}
	revision, err := s.cluster.swap(ctx, s.Store, key, expect, value, lease)
	s.mu.Lock()
	lost := err == nil && s.loseAnswers > 0
	if lost {
		s.loseAnswers--
	}
	s.mu.Unlock()
	if lost {
		return 0, errNoAnswer
	}
	if unreachable := s.checkReachable(ctx); unreachable != nil {
		return 0, unreachable
	}
	return revision, err
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]remote.KV, uint64, error) {
	if err := s.checkReachable(ctx); err != nil {
		return nil, 0, err
	}
	kvs, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	s.mu.Lock()
	failed := s.noWatch
	s.mu.Unlock()
	if failed {
		return nil, 0, errNoAnswer
	}
	if unreachable := s.checkReachable(ctx); unreachable != nil {
		return nil, 0, unreachable
	}
	return kvs, revision, err
}

// swap performs a compare-and-swap and records the revision if it took effect.
func (c *cluster) swap(ctx context.Context, s remote.Store, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, _ := s.Get(ctx, key)
	revision, err := s.CompareAndSwap(ctx, key, expect, value, lease)
	if err != nil {
		return revision, err
	}
	c.previous = before
	var r structs.Revision
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	if n := len(c.history); n == 0 || c.history[n-1].revision.CommitID != r.CommitID {
		c.history = append(c.history, committedRevision{at: time.Now(), revision: r})
	}
	return revision, nil
}

// written returns the revisions that have taken effect so far.
func (c *cluster) written() []committedRevision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]committedRevision(nil), c.history...)
}

// newCluster starts instances, waits until they accept commits, and commits a manifest with two
// open data centres.
func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{store: standin.NewStore(), network: standin.NewNetwork(time.Millisecond), list: standin.NewList(config.DefaultListLag)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var instances []structs.Instance
	for i := range size {
		id := fmt.Sprintf("n%d", i)
		instances = append(instances, structs.Instance{ID: id, DataCentre: "a", PeerAddr: id})
	}
	c.list.SetInstances(instances)
	for i, in := range instances {
		n := &node{id: in.ID, store: &nodeStore{Store: c.store, cluster: c, id: in.ID}, list: &nodeList{List: c.list}}
		random := seeded(uint64(i))
		n.members = membership.New(membership.Options{Self: in, List: n.list, Clients: c.network.ClientsFrom(in.PeerAddr),
			Metrics: metrics.NewRegistry(), Jitter: random})
		n.config = config.New(config.Options{Store: n.store, Peers: n.members, Metrics: metrics.NewRegistry(), Jitter: random})
		n.members.SetConfig(n.config)
		c.network.SetHandler(in.PeerAddr, n)
		c.nodes = append(c.nodes, n)
		running.Go(func() { n.members.Run(ctx) })
		running.Go(func() { n.config.Run(ctx) })
	}
	time.Sleep(config.DefaultListLag + config.MinListedTime + 5*time.Second)
	_, err := c.nodes[0].config.Commit(ctx, twoDataCentres(), 0)
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	return c
}

// seeded returns a jitter function that is the same in every run.
func seeded(seed uint64) func(time.Duration) time.Duration {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.Int64N(int64(d)))
	}
}

func twoDataCentres() structs.Manifest {
	dc := func(name string) structs.DataCentre {
		return structs.DataCentre{Name: name, Region: "r", Stage: structs.StageOpen, Fleet: structs.FleetSpec{
			Workers: 2, WorkersPerRack: 2, Connections: 64, Capacity: structs.Resources{Slots: 8, Processors: 8, MemoryMB: 8, Accelerators: 8}}}
	}
	return structs.Manifest{DataCentres: []structs.DataCentre{dc("a"), dc("b")}}
}

// staged returns the node's manifest with one stage changed, and the revision it is based on.
func (n *node) staged(dataCentre string, stage structs.Stage) (structs.Manifest, uint64) {
	r, _ := n.config.Current()
	m := r.Manifest
	m.DataCentres = append([]structs.DataCentre(nil), m.DataCentres...)
	m.DataCentre(dataCentre).Stage = stage
	return m, r.Number
}

// commit commits a change of one stage through the node.
func (n *node) commit(dataCentre string, stage structs.Stage) (config.CommitResult, error) {
	m, number := n.staged(dataCentre, stage)
	return n.config.Commit(context.Background(), m, number)
}

func (c *cluster) forEachNode(f func(*node)) {
	for _, n := range c.nodes {
		f(n)
	}
}
