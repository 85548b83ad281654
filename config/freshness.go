package config

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Fresh returns nil if the manifest was confirmed to be the newest at most FreshnessBound ago.
func (c *Controller) Fresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshLocked()
}

func (c *Controller) freshLocked() error {
	switch {
	case !c.hasRevision:
		return errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	case c.highestReported > c.current.Number:
		return errkind.New(errkind.StaleManifest, "revision %d exists, and this instance has %d", c.highestReported, c.current.Number)
	case c.confirmedAt.IsZero() || time.Since(c.confirmedAt) > FreshnessBound:
		return errkind.New(errkind.StaleManifest, "revision %d was last confirmed more than %s ago", c.current.Number, FreshnessBound)
	}
	return nil
}

// recordConfirmed records that revision number was the newest at the given moment.
func (c *Controller) recordConfirmed(number uint64, moment time.Time, source Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRevision || number != c.current.Number || !moment.After(c.confirmedAt) {
		return
	}
	c.confirmedAt, c.source = moment, source
	c.logFreshnessChange()
}

// logFreshnessChange logs the state if it has changed between fresh and stale since the last log.
func (c *Controller) logFreshnessChange() {
	stale := c.freshLocked() != nil
	if stale == c.loggedStale {
		return
	}
	c.loggedStale = stale
	if stale {
		events.Warn(c.opts.Log, events.ManifestStale, zap.Uint64("revision", c.current.Number), zap.Time("confirmed", c.confirmedAt))
		return
	}
	events.Info(c.opts.Log, events.ManifestFresh, zap.Uint64("revision", c.current.Number), zap.String("source", string(c.source)))
}

// watchStore keeps one watch call open at the store.
func (c *Controller) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.watchOnce(ctx); err != nil {
			c.pauseWithJitter(ctx, retryInterval)
		}
	}
}

func (c *Controller) watchOnce(ctx context.Context) error {
	c.mu.Lock()
	seen := c.entry
	c.mu.Unlock()
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	entries, _, err := c.opts.Store.Watch(call, Key, seen.revision, watchWait)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.recordStoreResult(err)
	if err != nil {
		return err
	}
	for _, kv := range entries {
		if kv.Key == Key {
			return c.observeEntry(kv, sent)
		}
	}
	c.observeEmptyWatch(seen, sent.Add(watchWait))
	return nil
}

// recordStoreResult records whether the store is reachable, and logs changes.
func (c *Controller) recordStoreResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reachable := err == nil; reachable != c.storeReachable {
		c.storeReachable = reachable
		if reachable {
			events.Info(c.opts.Log, events.StoreReachable)
		} else {
			events.Warn(c.opts.Log, events.StoreUnreachable, zap.Error(err))
		}
	}
}

// observeEntry processes an entry under Key that the store returned for a call sent at the given
// time. The time is zero if the answer may be stale; it then confirms nothing.
func (c *Controller) observeEntry(kv remote.KV, sent time.Time) error {
	if kv.Value == nil {
		return errkind.New(errkind.Internal, "the manifest was deleted from the store")
	}
	var r structs.Revision
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return errkind.Wrap(errkind.Internal, err, "the store holds a manifest that cannot be read")
	}
	c.mu.Lock()
	if kv.Revision > c.entry.revision {
		c.entry = storeEntry{revision: kv.Revision, number: r.Number, value: kv.Value}
	}
	c.mu.Unlock()
	if c.applyRevision(r, "store") && !sent.IsZero() {
		c.recordConfirmed(r.Number, sent, SourceStore)
	}
	c.decidePending(kv.Revision, r)
	return nil
}

// observeEmptyWatch processes a watch answer without entries: seen was still the newest entry at
// the given moment.
func (c *Controller) observeEmptyWatch(seen storeEntry, moment time.Time) {
	if seen.revision == 0 {
		c.mu.Lock()
		if !c.hasRevision && c.highestReported == 0 {
			c.hasRevision = true
			signal(c.notifyWake)
		}
		c.mu.Unlock()
	}
	if now := time.Now(); moment.After(now) {
		moment = now
	}
	c.recordConfirmed(seen.number, moment, SourceStore)
}

// Heartbeat returns the values that a heartbeat carries: the number of the revision in force and
// the age of its last confirmation. The age is negative if the revision is not confirmed.
func (c *Controller) Heartbeat() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRevision || c.confirmedAt.IsZero() || c.highestReported > c.current.Number {
		return c.current.Number, -1
	}
	return c.current.Number, time.Since(c.confirmedAt)
}

// Ready reports whether the instance has a revision.
func (c *Controller) Ready() bool {
	_, known := c.Current()
	return known
}

// NeedsPeerConfirmation reports whether this instance needs confirmations from peers that reach the
// store, because its own watch does not confirm the manifest. It is false while the
// confirmation of all listed peers is fresh, since no other confirmation is needed then.
func (c *Controller) NeedsPeerConfirmation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freshLocked() != nil || c.source == SourcePeer {
		return true
	}
	return !c.storeReachable && c.source == SourceStore
}

// RecordPeerRevision records the revision that a peer reports. For an answer to a heartbeat, sent
// is when the heartbeat was sent, and age is the age of the peer's confirmation when it
// answered. The age is subtracted from sent, the earliest time at which the peer can have
// answered. A negative age or a zero sent confirms nothing.
func (c *Controller) RecordPeerRevision(instance string, revision uint64, sent time.Time, age time.Duration) {
	c.mu.Lock()
	c.highestReported = max(c.highestReported, revision)
	c.logFreshnessChange()
	if revision == 0 {
		c.clearAcks(instance)
	}
	if c.hasRevision && (revision < c.current.Number || (revision == 0 && len(c.intents) > 0)) {
		c.outdatedPeers[instance] = true
		signal(c.peerUpdateWake)
	}
	c.mu.Unlock()
	if age >= 0 && !sent.IsZero() {
		c.recordConfirmed(revision, sent.Add(-age), SourcePeer)
	}
}

// confirmWithPeers asks all listed peers to confirm the manifest whenever the last confirmation
// is older than confirmAfter, which happens during an outage of the store.
func (c *Controller) confirmWithPeers(ctx context.Context) {
	var r *confirmationRound
	for {
		c.updateLastListed()
		c.mu.Lock()
		c.logFreshnessChange()
		due := confirmAfter - time.Since(c.confirmedAt)
		upToDate := c.hasRevision && c.highestReported <= c.current.Number
		number := c.current.Number
		c.mu.Unlock()
		if !upToDate || due > 0 {
			r = nil
			if !wait.For(ctx, min(max(due, retryInterval/5), retryInterval)) {
				return
			}
			continue
		}
		if r == nil || r.number != number || time.Since(r.start) > confirmAfter {
			r = &confirmationRound{start: time.Now(), number: number, agreed: map[string]bool{}}
		}
		if !c.confirmRound(ctx, r) && !c.pauseWithJitter(ctx, retryInterval) {
			return
		}
	}
}

// confirmationRound is one round of Confirm calls to all peers. Within a round, peers that have
// not agreed are called again; those that agreed are not.
type confirmationRound struct {
	start  time.Time
	number uint64
	mu     sync.Mutex
	agreed map[string]bool
}

// updateLastListed updates the set of peers that must confirm: those listed now, and those that
// disappeared from the list, without having been listed as leaving, less than minListedTime ago.
// The latter may still see themselves on an older list, and so accept commits.
func (c *Controller) updateLastListed() {
	now, self := time.Now(), c.opts.Peers.Self().ID
	listed := c.opts.Peers.Listed()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range listed {
		if in.ID != self && !in.Leaving {
			c.lastListed[in.ID] = now
		}
	}
	for _, in := range listed {
		if in.Leaving {
			delete(c.lastListed, in.ID)
		}
	}
	for id, at := range c.lastListed {
		if now.Sub(at) > c.minListedTime() {
			delete(c.lastListed, id)
		}
	}
}

// requiredPeers returns the peers that must confirm, and false if the list is too old or empty.
func (c *Controller) requiredPeers() ([]string, bool) {
	c.updateLastListed()
	_, asOf := c.opts.Peers.ListedSince()
	if asOf.IsZero() || time.Since(asOf) > confirmListAge {
		return nil, false
	}
	var ids []string
	self, selfListed := c.opts.Peers.Self().ID, false
	listed := map[string]bool{self: true}
	for _, in := range c.opts.Peers.Listed() {
		selfListed = selfListed || in.ID == self
		if !listed[in.ID] {
			ids = append(ids, in.ID)
		}
		listed[in.ID] = true
	}
	if !selfListed && len(ids) == 0 {
		return nil, false // no list with instances has been read yet
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.lastListed {
		if !listed[id] {
			ids = append(ids, id)
		}
	}
	return ids, true
}

// confirmRound calls the peers that have not agreed in round r. When all have agreed, the revision
// counts as confirmed at the start of the round. A commit of this instance that is not decided
// yet prevents confirmation.
func (c *Controller) confirmRound(ctx context.Context, r *confirmationRound) bool {
	ids, ok := c.requiredPeers()
	if !ok {
		return false
	}
	c.mu.Lock()
	hasPending := c.pending != nil
	c.mu.Unlock()
	if hasPending {
		return false
	}
	request := &peer.ConfirmRequest{Instance: c.opts.Peers.Self().ID, Revision: r.number, Tokens: c.opts.Peers.OwnTokens()}
	ids = slices.DeleteFunc(ids, func(id string) bool { return r.agreed[id] })
	missing := len(ids)
	c.callPeers(ctx, ids, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		reply, err := client.Confirm(ctx, request)
		if err != nil {
			return
		}
		c.opts.Peers.RecordConfirmation(id)
		c.opts.Peers.ObserveTokens(reply.Tokens)
		c.RecordPeerRevision(id, reply.Revision, time.Time{}, -1)
		r.mu.Lock()
		defer r.mu.Unlock()
		if reply.Revision <= r.number && !reply.Unresolved {
			r.agreed[id] = true
			missing--
		}
	})
	if missing > 0 {
		return false
	}
	c.recordConfirmed(r.number, r.start, SourcePeers)
	return true
}

// callPeers calls f for all peers in parallel and waits for the calls, at most peerTimeout.
func (c *Controller) callPeers(ctx context.Context, ids []string, f func(context.Context, string, peer.DRPCPeerClient)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			if client, err := c.opts.Peers.Client(ctx, id); err == nil {
				f(ctx, id, client)
			}
		})
	}
	wg.Wait()
}

// pauseWithJitter waits for d plus up to half of d as jitter. It reports false if ctx ended.
func (c *Controller) pauseWithJitter(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d+c.opts.Jitter(d/2))
}
