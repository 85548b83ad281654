package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// askInterval is the time between two questions to peers while the store turns this
	// instance away.
	askInterval = 150 * time.Millisecond
	// askBound is the longest wait for a peer's answer.
	// It covers a read of a slow store by the peer.
	askBound = time.Second
	// freshContact is how old the proof may be that the store answers this instance.
	freshContact = 300 * time.Millisecond
	// enoughPeers is how many peers that the store does not answer either show an outage.
	enoughPeers = 3
)

// operator follows what the operator writes: through the store or, while the store turns
// this instance away, through peers. Versions never go back.
type operator struct {
	n      *Node
	mirror *metastore.Mirror
	// inForce is read without the lock: a term reads it under its own lock, while changes
	// are passed to the term under the lock below.
	inForce atomic.Pointer[workload.Config]

	shared    atomic.Bool // the store answers no instance that could be asked
	elsewhere atomic.Bool // the store answers a peer and does not answer this instance

	mu        sync.Mutex
	items     map[string]metastore.Item
	asOf      uint64
	evacuated map[string]bool
	waves     map[int64]upkeep.Wave
	term      *jobowner.Term     // of this instance, or nil
	upkeep    *upkeep.Controller // of that term
	contact   time.Time
}

func newOperator(n *Node) *operator {
	o := &operator{n: n, items: map[string]metastore.Item{}, evacuated: map[string]bool{}, waves: map[int64]upkeep.Wave{}}
	o.mirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: n.o.Adapter.OperatorPrefix, Wait: watchWait, Pause: operatorPause, ReloadOnFailure: true, Log: n.log, Guard: n.guard,
		Apply: o.apply, Synced: o.synced,
	})
	return o
}

func (o *operator) run(ctx context.Context) {
	var asking sync.WaitGroup
	asking.Go(func() { o.n.guard.Loop(ctx, "questions to peers", o.askWhileCutOff) })
	o.mirror.Run(ctx)
	asking.Wait()
}

func (o *operator) synced(sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.contact = sent
}

// config returns the configuration in force, or nil.
func (o *operator) config() *workload.Config {
	return o.inForce.Load()
}

func (o *operator) current() (*workload.Config, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inForce.Load(), o.contact
}

// attach tells the term what is in force now and what changes later.
func (o *operator) attach(term *jobowner.Term, waves *upkeep.Controller) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term, o.upkeep = term, waves
	if term == nil {
		return
	}
	for _, w := range o.waves {
		waves.SetWave(w)
	}
	for zone := range o.evacuated {
		term.Evacuate(zone, true)
	}
}

func (o *operator) apply(change metastore.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asOf = max(o.asOf, change.Revision)
	if change.Removed {
		delete(o.items, change.Key)
	} else {
		o.items[change.Key] = change.Item
	}
	if zone, ok := o.n.o.Adapter.Evacuated(change.Key); ok {
		o.evacuate(zone, !change.Removed, change.Revision)
		return
	}
	if number, ok := o.n.o.Adapter.WaveNumber(change.Key); ok {
		o.wave(number, change)
		return
	}
	if o.n.o.Adapter.IsConfig(change.Key) && !change.Removed {
		o.install(change.Item)
	}
}

func (o *operator) wave(number int64, change metastore.Change) {
	if change.Removed {
		delete(o.waves, number)
		if o.upkeep != nil {
			o.upkeep.RemoveWave(number)
		}
		return
	}
	w, err := o.n.o.Adapter.DecodeWave(change.Value)
	if err != nil {
		events.Warn(o.n.log, events.ConfigUnreadable, zap.String("key", change.Key), zap.Uint64("revision", change.Revision), zap.Error(err))
		return
	}
	w.Number = number
	o.waves[number] = w
	if o.upkeep != nil {
		o.upkeep.SetWave(w)
	}
}

func (o *operator) evacuate(zone string, out bool, revision uint64) {
	if out {
		o.evacuated[zone] = true
	} else {
		delete(o.evacuated, zone)
	}
	events.Info(o.n.log, events.ConfigInForce, zap.Uint64("revision", revision), zap.String("data_centre", zone), zap.Bool("evacuated", out))
	if o.term != nil {
		o.term.Evacuate(zone, out)
	}
}

func (o *operator) install(item metastore.Item) {
	config, err := o.n.o.Adapter.DecodeConfig(item.Value)
	if err != nil {
		events.Warn(o.n.log, events.ConfigUnreadable, zap.String("key", item.Key), zap.Uint64("revision", item.Revision), zap.Error(err))
		return
	}
	if old := o.inForce.Load(); old != nil && config.Version < old.Version {
		events.Warn(o.n.log, events.StaleReadIgnored, zap.Int64("version", config.Version), zap.Int64("in_force", old.Version))
		return
	}
	o.inForce.Store(config)
	events.Info(o.n.log, events.ConfigInForce, zap.Int64("version", config.Version), zap.Uint64("revision", item.Revision),
		zap.Int("routes", len(config.Routes)), zap.Int("workspaces", len(config.Workspaces)))
	if o.term != nil {
		o.term.OnConfig()
	}
}

// snapshot returns what a peer needs that has read up to the revision.
func (o *operator) snapshot(ctx context.Context, after uint64) *relay.OperatorReply {
	reachable := o.n.store.Check(ctx, freshContact)
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &relay.OperatorReply{Revision: o.asOf, Reachable: reachable}
	if o.asOf <= after || o.inForce.Load() == nil {
		return reply
	}
	for _, key := range slices.Sorted(maps.Keys(o.items)) {
		item := o.items[key]
		reply.Items = append(reply.Items, &relay.OperatorItem{Key: key, Value: item.Value, Revision: item.Revision})
	}
	return reply
}

// askWhileCutOff asks peers for what the operator wrote as long as the store does not
// answer this instance, and notes whether the store answers none of them either.
func (o *operator) askWhileCutOff(ctx context.Context) {
	for wait.For(ctx, askInterval) {
		if o.n.store.Healthy() {
			o.shared.Store(false)
			o.elsewhere.Store(false)
			continue
		}
		var replies []*relay.OperatorReply
		reachable := false
		for _, p := range o.n.elector.Peers() {
			reply, err := o.askPeer(ctx, p.Address)
			if err != nil {
				o.n.log.Debug("peer not asked for the configuration", zap.String("peer", p.Name), zap.Error(err))
				continue
			}
			replies = append(replies, reply)
			if reply.Reachable {
				reachable = true
				break
			}
			if len(replies) == enoughPeers {
				break
			}
		}
		if reply := trusted(replies, o.config() != nil); reply != nil {
			o.takeIn(reply)
		}
		o.shared.Store(len(replies) > 0 && !reachable)
		// An outage that has ended is seen by some instances before others.
		o.elsewhere.Store(reachable && !o.n.store.ProbeNow(ctx))
	}
}

// trusted returns the reply to take in, or nil. A peer that the store answers goes first. One that is
// cut off itself may know less than has long been in force; what this instance knows already does not
// go back by it, but an instance that has just started takes it only if enough peers say that the
// store answers nobody.
func trusted(replies []*relay.OperatorReply, configured bool) *relay.OperatorReply {
	var newest *relay.OperatorReply
	for _, r := range replies {
		if r.Reachable {
			return r
		}
		if newest == nil || r.Revision > newest.Revision {
			newest = r
		}
	}
	if configured || len(replies) >= enoughPeers {
		return newest
	}
	return nil
}

// askPeer asks the peer for what is newer than this instance knows.
func (o *operator) askPeer(ctx context.Context, address string) (*relay.OperatorReply, error) {
	o.mu.Lock()
	after := o.asOf
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	return relay.NewDRPCRelayClient(o.n.clients.Conn(address)).Operator(call, &relay.OperatorRequest{After: after})
}

func (o *operator) takeIn(reply *relay.OperatorReply) {
	if len(reply.Items) == 0 {
		return
	}
	items := make([]metastore.Item, len(reply.Items))
	for n, i := range reply.Items {
		items[n] = metastore.Item{Key: i.Key, Value: i.Value, Revision: i.Revision}
	}
	o.mirror.Merge(items, reply.Revision)
}
