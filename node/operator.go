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
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// peerQueryInterval is the time between two rounds of queries to peers while the store does not
	// answer this instance.
	peerQueryInterval = 150 * time.Millisecond
	// suspicionCheckInterval is how often the owner checks whether it may be cut off from the store.
	suspicionCheckInterval = 50 * time.Millisecond
	// peerQueryTimeout is the timeout of a query to a peer. It covers a read of a slow store by the peer.
	peerQueryTimeout = time.Second
	// maxCheckAge is the maximum age of an answered store call that counts as proof that the store
	// answers this instance.
	maxCheckAge = 300 * time.Millisecond
	// outagePeers is the number of peers without access to the store that show an outage of the store.
	outagePeers = 3
)

// operatorData mirrors the operator's keys: the configuration, evacuated data centres and upkeep
// waves. It reads them from the store or, while the store does not answer this instance, from peers.
// The version of the configuration never decreases.
type operatorData struct {
	n      *Node
	mirror *metastore.Mirror
	// activeConfig is read without mu to avoid a deadlock: a term reads it while it holds its own lock,
	// and changes are passed to the term while mu is held.
	activeConfig atomic.Pointer[workload.Config]

	outage      outage
	partitioned atomic.Bool // the store answers a peer but not this instance

	mu        sync.Mutex
	items     map[string]metastore.Item
	revision  uint64 // of the store, up to which the keys have been read
	evacuated map[string]bool
	waves     map[int64]upkeep.Wave
	term      *jobowner.Term     // current term of this instance, or nil
	upkeep    *upkeep.Controller // of that term
	syncedAt  time.Time          // the keys include all changes made before this time
}

func newOperatorData(n *Node) *operatorData {
	o := &operatorData{n: n, items: map[string]metastore.Item{}, evacuated: map[string]bool{}, waves: map[int64]upkeep.Wave{}}
	o.mirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: n.opts.Adapter.OperatorPrefix, Wait: watchWait, Pause: operatorPause, ReloadOnFailure: true, Log: n.log, Guard: n.guard,
		Apply: o.apply, Synced: o.synced,
	})
	return o
}

func (o *operatorData) run(ctx context.Context) {
	var querying sync.WaitGroup
	querying.Go(func() { o.n.guard.Loop(ctx, "queries to peers", o.queryPeersWhilePartitioned) })
	querying.Go(func() { o.n.guard.Loop(ctx, "pauses of this process", o.notePauses) })
	o.mirror.Run(ctx)
	querying.Wait()
}

func (o *operatorData) synced(asOf time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncedAt = asOf
}

// config returns the configuration in force, or nil before the first one is received.
func (o *operatorData) config() *workload.Config {
	return o.activeConfig.Load()
}

// confirmedConfig returns the configuration in force and the time as of which the store last
// confirmed it.
func (o *operatorData) confirmedConfig() (*workload.Config, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.activeConfig.Load(), o.syncedAt
}

// attach passes the current waves and evacuations to a term and its wave controller, and all later
// changes until it is called again. A nil term detaches the previous one.
func (o *operatorData) attach(term *jobowner.Term, waves *upkeep.Controller) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term, o.upkeep = term, waves
	if term == nil {
		return
	}
	for _, w := range o.waves {
		waves.SetWave(w)
	}
	for dataCentre := range o.evacuated {
		term.Evacuate(dataCentre, true)
	}
}

func (o *operatorData) apply(change metastore.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision = max(o.revision, change.Revision)
	if change.Removed {
		delete(o.items, change.Key)
	} else {
		o.items[change.Key] = change.Item
	}
	if dataCentre, ok := o.n.opts.Adapter.EvacuatedDataCentre(change.Key); ok {
		o.setEvacuated(dataCentre, !change.Removed, change.Revision)
		return
	}
	if number, ok := o.n.opts.Adapter.WaveNumber(change.Key); ok {
		o.setWave(number, change)
		return
	}
	if o.n.opts.Adapter.IsConfig(change.Key) && !change.Removed {
		o.installConfig(change.Item)
	}
}

func (o *operatorData) setWave(number int64, change metastore.Change) {
	if change.Removed {
		delete(o.waves, number)
		if o.upkeep != nil {
			o.upkeep.RemoveWave(number)
		}
		return
	}
	w, err := o.n.opts.Adapter.DecodeWave(change.Value)
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

func (o *operatorData) setEvacuated(dataCentre string, evacuated bool, revision uint64) {
	if evacuated {
		o.evacuated[dataCentre] = true
	} else {
		delete(o.evacuated, dataCentre)
	}
	events.Info(o.n.log, events.ConfigInForce, zap.Uint64("revision", revision), zap.String("data_centre", dataCentre), zap.Bool("evacuated", evacuated))
	if o.term != nil {
		o.term.Evacuate(dataCentre, evacuated)
	}
}

func (o *operatorData) installConfig(item metastore.Item) {
	config, err := o.n.opts.Adapter.DecodeConfig(item.Value)
	if err != nil {
		events.Warn(o.n.log, events.ConfigUnreadable, zap.String("key", item.Key), zap.Uint64("revision", item.Revision), zap.Error(err))
		return
	}
	if old := o.activeConfig.Load(); old != nil && config.Version < old.Version {
		events.Warn(o.n.log, events.StaleReadIgnored, zap.Int64("version", config.Version), zap.Int64("in_force", old.Version))
		return
	}
	o.activeConfig.Store(config)
	events.Info(o.n.log, events.ConfigInForce, zap.Int64("version", config.Version), zap.Uint64("revision", item.Revision),
		zap.Int("routes", len(config.Routes)), zap.Int("workspaces", len(config.Workspaces)))
	if o.term != nil {
		o.term.OnConfig()
	}
}

// snapshot returns all keys to a peer that has read up to the revision after, or none if there is
// nothing newer, and whether the store answers this instance.
func (o *operatorData) snapshot(ctx context.Context, after uint64) *relay.OperatorReply {
	reachable := o.n.store.Check(ctx, maxCheckAge)
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &relay.OperatorReply{Revision: o.revision, Reachable: reachable}
	if o.revision <= after || o.activeConfig.Load() == nil {
		return reply
	}
	for _, key := range slices.Sorted(maps.Keys(o.items)) {
		item := o.items[key]
		reply.Items = append(reply.Items, &relay.OperatorItem{Key: key, Value: item.Value, Revision: item.Revision})
	}
	return reply
}

// queryPeersWhilePartitioned reads the operator's keys from peers while the store does not answer this
// instance. It also records whether the store answers any of the peers.
func (o *operatorData) queryPeersWhilePartitioned(ctx context.Context) {
	for o.awaitPeerQuery(ctx) {
		if o.storeAnswers() {
			o.outage.end()
			o.partitioned.Store(false)
			continue
		}
		began, owned := time.Now(), o.n.elector.ConfirmedWithin(ownership.OwnerTTL)
		replies, reachable := o.queryPeers(ctx, o.queryPeer)
		if reply := selectReply(replies, o.config() != nil); reply != nil {
			o.mergeReply(reply)
		}
		if len(replies) > 0 && !reachable {
			o.outage.observe(owned, began, time.Now())
		} else {
			o.outage.end()
		}
		// Some instances detect the end of an outage before others, so the store is probed once more.
		o.partitioned.Store(reachable && !o.n.store.ProbeNow(ctx))
	}
}

// notePauses notes at short intervals that this process runs, also while a round of queries to peers lasts.
func (o *operatorData) notePauses(ctx context.Context) {
	for wait.For(ctx, runningInterval) {
		o.outage.noteRunning(time.Now())
	}
}

// queryPeers asks peers one after the other, up to the first with access to the store or the outagePeers-th
// without. It ends early when the store answers this instance again: many peers may have lost power, and each of
// them takes the whole timeout of a query.
func (o *operatorData) queryPeers(ctx context.Context, query func(ctx context.Context, address string) (*relay.OperatorReply, error)) (replies []*relay.OperatorReply, reachable bool) {
	for _, p := range o.n.elector.Peers() {
		if o.storeAnswers() {
			break
		}
		reply, err := query(ctx, p.Address)
		if err != nil {
			o.n.log.Debug("request to peer for the configuration failed", zap.String("peer", p.Name), zap.Error(err))
			continue
		}
		replies = append(replies, reply)
		if reply.Reachable {
			return replies, true
		}
		if len(replies) == outagePeers {
			break
		}
	}
	return replies, false
}

// storeAnswers reports whether the store answers this instance and, if it is the owner, no call has timed out
// since.
func (o *operatorData) storeAnswers() bool { return o.n.store.Healthy() && !o.ownerSuspects() }

// awaitPeerQuery waits for the next round of queries to peers, and returns false when ctx has ended. While
// this instance is the owner, the round follows a suspicion at once, so that another can take over soon.
func (o *operatorData) awaitPeerQuery(ctx context.Context) bool {
	for waited := time.Duration(0); waited < peerQueryInterval; waited += suspicionCheckInterval {
		if !wait.For(ctx, suspicionCheckInterval) {
			return false
		}
		if o.ownerSuspects() {
			return true
		}
	}
	return ctx.Err() == nil
}

// ownerSuspects reports whether this instance is the owner and the store may be unreachable from it.
func (o *operatorData) ownerSuspects() bool {
	return o.n.term.Load() != nil && o.n.store.Suspect()
}

// selectReply returns the reply to merge, or nil. It prefers a peer with access to the store, because
// the data of a peer without access may be long outdated. An instance that has a configuration can
// merge such data, since merging never replaces newer data. An instance that has just started uses it
// only if outagePeers peers report that they have no access to the store either.
func selectReply(replies []*relay.OperatorReply, configured bool) *relay.OperatorReply {
	var newest *relay.OperatorReply
	for _, r := range replies {
		if r.Reachable {
			return r
		}
		if newest == nil || r.Revision > newest.Revision {
			newest = r
		}
	}
	if configured || len(replies) >= outagePeers {
		return newest
	}
	return nil
}

// queryPeer requests the operator's keys from the peer if it has read a newer revision.
func (o *operatorData) queryPeer(ctx context.Context, address string) (*relay.OperatorReply, error) {
	o.mu.Lock()
	after := o.revision
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	return relay.NewDRPCRelayClient(o.n.clients.Conn(address)).Operator(call, &relay.OperatorRequest{After: after})
}

func (o *operatorData) mergeReply(reply *relay.OperatorReply) {
	if len(reply.Items) == 0 {
		return
	}
	items := make([]metastore.Item, len(reply.Items))
	for n, i := range reply.Items {
		items[n] = metastore.Item{Key: i.Key, Value: i.Value, Revision: i.Revision}
	}
	o.mirror.Merge(items, reply.Revision)
}
