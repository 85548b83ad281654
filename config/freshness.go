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

// Fresh returns nil while the manifest is shown to have been the newest at most
// FreshnessBound ago.
func (c *Controller) Fresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshLocked()
}

func (c *Controller) freshLocked() error {
	switch {
	case !c.known:
		return errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	case c.newest > c.current.Number:
		return errkind.New(errkind.StaleManifest, "revision %d exists, and this instance has %d", c.newest, c.current.Number)
	case c.confirmed.IsZero() || time.Since(c.confirmed) > FreshnessBound:
		return errkind.New(errkind.StaleManifest, "revision %d was last confirmed more than %s ago", c.current.Number, FreshnessBound)
	}
	return nil
}

// confirmAt notes that revision number was the newest at a moment.
func (c *Controller) confirmAt(number uint64, moment time.Time, source Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || number != c.current.Number || !moment.After(c.confirmed) {
		return
	}
	c.confirmed, c.source = moment, source
	c.logFreshness()
}

// logFreshness logs a change between fresh and stale.
func (c *Controller) logFreshness() {
	stale := c.freshLocked() != nil
	if stale == c.stale {
		return
	}
	c.stale = stale
	if stale {
		events.Warn(c.o.Log, events.ManifestStale, zap.Uint64("revision", c.current.Number), zap.Time("confirmed", c.confirmed))
		return
	}
	events.Info(c.o.Log, events.ManifestFresh, zap.Uint64("revision", c.current.Number), zap.String("source", string(c.source)))
}

// watch keeps one watch waiting at the store.
func (c *Controller) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.watchOnce(ctx); err != nil {
			c.pause(ctx, retryPause)
		}
	}
}

func (c *Controller) watchOnce(ctx context.Context) error {
	c.mu.Lock()
	seen := c.entry
	c.mu.Unlock()
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	entries, _, err := c.o.Store.Watch(call, Key, seen.revision, watchWait)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.storeAnswered(err)
	if err != nil {
		return err
	}
	for _, kv := range entries {
		if kv.Key == Key {
			return c.observe(kv, sent)
		}
	}
	c.observeEmpty(seen, sent.Add(watchWait))
	return nil
}

// storeAnswered notes whether the store can be reached, and logs changes.
func (c *Controller) storeAnswered(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if up := err == nil; up != c.storeUp {
		c.storeUp = up
		if up {
			events.Info(c.o.Log, events.StoreReachable)
		} else {
			events.Warn(c.o.Log, events.StoreUnreachable, zap.Error(err))
		}
	}
}

// observe takes an entry of the manifest key that the store returned for a call sent at
// the given time. The time is zero for a read that may be stale.
func (c *Controller) observe(kv remote.KV, sent time.Time) error {
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
	if c.adopt(r, "store") && !sent.IsZero() {
		c.confirmAt(r.Number, sent, SourceStore)
	}
	c.settlePending(kv.Revision, r)
	return nil
}

// observeEmpty takes an empty answer to a watch: seen was the newest entry at the moment.
func (c *Controller) observeEmpty(seen storeEntry, moment time.Time) {
	if seen.revision == 0 {
		c.mu.Lock()
		if !c.known && c.newest == 0 {
			c.known = true
			signal(c.changed)
		}
		c.mu.Unlock()
	}
	if now := time.Now(); moment.After(now) {
		moment = now
	}
	c.confirmAt(seen.number, moment, SourceStore)
}

// Heartbeat returns the revision in force and the age of its last proof for a
// heartbeat; the age is negative when there is none.
func (c *Controller) Heartbeat() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.confirmed.IsZero() || c.newest > c.current.Number {
		return c.current.Number, -1
	}
	return c.current.Number, time.Since(c.confirmed)
}

// Ready reports whether a revision is known.
func (c *Controller) Ready() bool {
	_, known := c.Current()
	return known
}

// NeedsPeerConfirmation reports whether the store does not confirm the manifest, so that peers that
// reach it are wanted. Confirmation by all peers makes further questions needless.
func (c *Controller) NeedsPeerConfirmation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freshLocked() != nil || c.source == SourcePeer {
		return true
	}
	return !c.storeUp && c.source == SourceStore
}

// RecordPeerRevision takes the revision that a peer reports. For an answer to a heartbeat, sent is
// when it was asked and age is how long before its answer it had confirmed the revision
// as the newest; a negative age confirms nothing.
func (c *Controller) RecordPeerRevision(instance string, revision uint64, sent time.Time, age time.Duration) {
	c.mu.Lock()
	c.newest = max(c.newest, revision)
	c.logFreshness()
	if revision == 0 {
		c.forgetAcks(instance)
	}
	if c.known && (revision < c.current.Number || (revision == 0 && len(c.intents) > 0)) {
		c.behind[instance] = true
		signal(c.wake)
	}
	c.mu.Unlock()
	if age >= 0 && !sent.IsZero() {
		c.confirmAt(revision, sent.Add(-age), SourcePeer)
	}
}

// confirm asks all listed peers for confirmation whenever the last proof is older than
// confirmAfter, which happens during an outage of the store.
func (c *Controller) confirm(ctx context.Context) {
	var r *round
	for {
		c.trackListed()
		c.mu.Lock()
		c.logFreshness()
		due := confirmAfter - time.Since(c.confirmed)
		ready := c.known && c.newest <= c.current.Number
		number := c.current.Number
		c.mu.Unlock()
		if !ready || due > 0 {
			r = nil
			if !wait.For(ctx, min(max(due, retryPause/5), retryPause)) {
				return
			}
			continue
		}
		if r == nil || r.number != number || time.Since(r.start) > confirmAfter {
			r = &round{start: time.Now(), number: number, agreed: map[string]bool{}}
		}
		if !c.confirmOnce(ctx, r) && !c.pause(ctx, retryPause) {
			return
		}
	}
}

// round is one round of questions to all peers. A peer that does not agree at first is
// asked again; those that agreed since the start are not.
type round struct {
	start  time.Time
	number uint64
	mu     sync.Mutex
	agreed map[string]bool
}

// trackListed keeps the peers whose confirmation counts: those listed now, and those
// that left the list without warning less than memberFor ago, because their own view of
// the list may still allow them to commit.
func (c *Controller) trackListed() {
	now, self := time.Now(), c.o.Peers.Self().ID
	listed := c.o.Peers.Listed()
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
		if now.Sub(at) > c.memberFor() {
			delete(c.lastListed, id)
		}
	}
}

// confirmers returns the peers that must confirm, and false when the list cannot be
// relied on.
func (c *Controller) confirmers() ([]string, bool) {
	c.trackListed()
	_, asOf := c.o.Peers.ListedSince()
	if asOf.IsZero() || time.Since(asOf) > confirmListAge {
		return nil, false
	}
	var ids []string
	self, selfListed := c.o.Peers.Self().ID, false
	listed := map[string]bool{self: true}
	for _, in := range c.o.Peers.Listed() {
		selfListed = selfListed || in.ID == self
		if !listed[in.ID] {
			ids = append(ids, in.ID)
		}
		listed[in.ID] = true
	}
	if !selfListed && len(ids) == 0 {
		return nil, false // the list does not show any instance yet
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

// confirmOnce asks the peers that have not agreed yet. When all have, it confirms the
// revision in force as of the start of the round.
func (c *Controller) confirmOnce(ctx context.Context, r *round) bool {
	ids, ok := c.confirmers()
	if !ok {
		return false
	}
	c.mu.Lock()
	own := c.pending != nil
	c.mu.Unlock()
	if own {
		return false
	}
	request := &peer.ConfirmRequest{Instance: c.o.Peers.Self().ID, Revision: r.number, Tokens: c.o.Peers.OwnTokens()}
	ids = slices.DeleteFunc(ids, func(id string) bool { return r.agreed[id] })
	missing := len(ids)
	c.each(ctx, ids, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		reply, err := client.Confirm(ctx, request)
		if err != nil {
			return
		}
		c.o.Peers.RecordConfirmation(id)
		c.o.Peers.ObserveTokens(reply.Tokens)
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
	c.confirmAt(r.number, r.start, SourcePeers)
	return true
}

// each calls f for every peer at once, with a bounded time.
func (c *Controller) each(ctx context.Context, ids []string, f func(context.Context, string, peer.DRPCPeerClient)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			if client, err := c.o.Peers.Client(ctx, id); err == nil {
				f(ctx, id, client)
			}
		})
	}
	wg.Wait()
}

// pause waits d with up to half of it added as jitter, and reports whether ctx lasts.
func (c *Controller) pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d+c.o.Jitter(d/2))
}
