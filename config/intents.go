package config

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// foreignIntentTimeout is the age at which this instance fences off the commit of another
	// instance's intent. It is longer than a commit takes, so that the instance that
	// started the commit normally decides it first.
	foreignIntentTimeout = 15 * time.Second
	// failedCommitRetention is how long the id of a failed commit is kept. An intent that
	// arrives after the announcement of its failure is ignored for that time.
	failedCommitRetention = time.Minute
)

// intent announces a commit in progress that withdraws data centres. It blocks starts there
// until the outcome of the commit is decided.
type intent struct {
	id       string
	origin   string
	number   uint64 // revision number that the commit would get
	withdraw []string
	since    time.Time
	acked    map[string]bool // peers that acknowledged the intent
}

func (i *intent) blocks(dataCentre string) bool {
	return slices.Contains(i.withdraw, dataCentre)
}

func (i *intent) announcement() *peer.AnnounceRequest {
	return &peer.AnnounceRequest{Instance: i.origin, Revision: i.number, CommitId: i.id, Withdraw: i.withdraw}
}

// Intent describes an open intent for operators.
type Intent struct {
	CommitID string    `json:"commit_id"`
	Instance string    `json:"instance"`
	Withdraw []string  `json:"withdraw"`
	Since    time.Time `json:"since"`
}

func (c *Controller) intentList() []Intent {
	var list []Intent
	for _, i := range c.intents {
		list = append(list, Intent{CommitID: i.id, Instance: i.origin, Withdraw: i.withdraw, Since: i.since})
	}
	slices.SortFunc(list, func(a, b Intent) int { return strings.Compare(a.CommitID, b.CommitID) })
	return list
}

// addIntent records an intent, which blocks starts in its data centres. It ignores an intent whose
// commit has failed or has been decided by the revision in force.
func (c *Controller) addIntent(i *intent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, failed := c.failedCommits[i.id]; failed || c.intents[i.id] != nil || (c.hasRevision && i.number <= c.current.Number) {
		return
	}
	i.since, i.acked = time.Now(), map[string]bool{}
	c.intents[i.id] = i
	events.Info(c.opts.Log, events.ManifestIntent, zap.String("commit_id", i.id),
		zap.String("instance", i.origin), zap.Strings("withdraw", i.withdraw))
}

// dropIntent removes the intent of a commit that had no effect and cannot take effect later.
func (c *Controller) dropIntent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.intents, id)
	now := time.Now()
	c.failedCommits[id] = now
	for failedID, at := range c.failedCommits {
		if now.Sub(at) > failedCommitRetention {
			delete(c.failedCommits, failedID)
		}
	}
}

// removeDecidedIntents removes the intents that the revision in force decides: once revision n
// exists, a commit for number n either is that revision or can no longer take effect.
func (c *Controller) removeDecidedIntents() {
	for id, i := range c.intents {
		if i.number <= c.current.Number {
			delete(c.intents, id)
		}
	}
}

// clearAcks removes a peer's acknowledgements of intents, because it has restarted and lost them.
func (c *Controller) clearAcks(instance string) {
	for _, i := range c.intents {
		delete(i.acked, instance)
	}
}

// HandleAnnounce serves the Announce call of a peer.
func (c *Controller) HandleAnnounce(_ context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	switch {
	case len(r.Document) > 0:
		var revision structs.Revision
		if err := json.Unmarshal(r.Document, &revision); err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "announced revision cannot be read")
		}
		if revision.Number != r.Revision || revision.CommitID != r.CommitId {
			return nil, errkind.New(errkind.BadRequest, "announced revision %d does not match its document", r.Revision)
		}
		c.applyRevision(revision, "peer "+r.Instance)
	case r.IntentDropped:
		c.dropIntent(r.CommitId)
		c.failFencedPending(r.CommitId)
	case r.CommitId != "" && len(r.Withdraw) > 0 && r.Revision > 0:
		c.addIntent(&intent{id: r.CommitId, origin: r.Instance, number: r.Revision, withdraw: r.Withdraw})
	default:
		return nil, errkind.New(errkind.BadRequest, "an announcement needs a document or an intent")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &peer.AnnounceReply{Revision: c.current.Number}, nil
}

// HandleConfirm serves the Confirm call of a peer. It fails while this instance has no revision.
// The reply is marked unresolved while a commit of this instance is pending, or an open intent
// has not been acknowledged by the peer; such an intent is then sent to it.
func (c *Controller) HandleConfirm(_ context.Context, r *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	c.opts.Peers.RecordConfirmation(r.Instance)
	tokens := c.opts.Peers.NewerTokens(r.Tokens)
	c.RecordPeerRevision(r.Instance, r.Revision, time.Time{}, -1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRevision {
		return nil, errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	}
	unresolved := c.pending != nil
	for _, i := range c.intents {
		if !i.acked[r.Instance] {
			unresolved = true
			c.outdatedPeers[r.Instance] = true
			signal(c.peerUpdateWake)
		}
	}
	return &peer.ConfirmReply{
		Revision: max(c.current.Number, c.highestReported), Unresolved: unresolved, StoreReachable: c.storeReachable, Tokens: tokens,
	}, nil
}

// updatePeers sends the revision in force and open intents to the peers in outdatedPeers.
func (c *Controller) updatePeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.peerUpdateWake:
		}
		c.mu.Lock()
		var ids []string
		for id := range c.outdatedPeers {
			ids = append(ids, id)
		}
		clear(c.outdatedPeers)
		c.mu.Unlock()
		c.sendState(ctx, ids)
		if !c.pauseWithJitter(ctx, retryInterval) {
			return
		}
	}
}

// sendState sends the revision in force and all open intents to the given peers.
func (c *Controller) sendState(ctx context.Context, ids []string) {
	c.mu.Lock()
	messages := []*peer.AnnounceRequest{}
	if c.hasRevision && c.current.Number > 0 {
		messages = append(messages, revisionAnnouncement(c.opts.Peers.Self().ID, c.current))
	}
	for _, i := range c.intents {
		messages = append(messages, i.announcement())
	}
	c.mu.Unlock()
	c.callPeers(ctx, ids, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		for _, m := range messages {
			if _, err := client.Announce(ctx, m); err != nil {
				return
			}
			c.recordAck(m.CommitId, id)
		}
	})
}

// recordAck records that a peer acknowledged the intent of a commit, if the intent is still open.
func (c *Controller) recordAck(commit, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.intents[commit]; i != nil {
		i.acked[peer] = true
	}
}

func revisionAnnouncement(self string, r structs.Revision) *peer.AnnounceRequest {
	document, err := json.Marshal(r)
	if err != nil {
		panic("encode revision as JSON: " + err.Error()) // cannot happen: it was read from or written as JSON before
	}
	return &peer.AnnounceRequest{Instance: self, Revision: r.Number, CommitId: r.CommitID, Document: document}
}

// resolveCommits decides commits whose outcome is open: that of this instance when the answer to
// its write was lost, and those of other instances whose intents exceed foreignIntentTimeout.
func (c *Controller) resolveCommits(ctx context.Context) {
	for c.pauseWithJitter(ctx, retryInterval) {
		c.mu.Lock()
		p := c.pending
		uncertain := p != nil && p.uncertain
		var foreign []string
		for id, i := range c.intents {
			if (p == nil || id != p.id) && time.Since(i.since) > foreignIntentTimeout {
				foreign = append(foreign, id)
			}
		}
		c.mu.Unlock()
		if uncertain {
			c.resolvePending(ctx, p)
		}
		if len(foreign) > 0 && c.fence(ctx) == nil {
			for _, id := range foreign {
				c.dropIntent(id)
				c.announceDropped(ctx, id, c.listedPeers())
			}
		}
	}
}

// announceDropped notifies peers that a commit had no effect and cannot take effect later. A peer
// that does not receive this fences off the commit itself after foreignIntentTimeout.
func (c *Controller) announceDropped(ctx context.Context, id string, peers []string) {
	request := &peer.AnnounceRequest{Instance: c.opts.Peers.Self().ID, CommitId: id, IntentDropped: true}
	c.callPeers(ctx, peers, func(ctx context.Context, _ string, client peer.DRPCPeerClient) {
		_, _ = client.Announce(ctx, request)
	})
}

// fence rewrites the entry in force without changes. The new store revision makes every
// earlier compare-and-swap that has not taken effect fail, so that the outcome of such a commit
// is decided afterwards. fence has no effect and returns an error if the entry is not the
// newest. A read would not suffice: it may be stale, or the write may still be in transit.
func (c *Controller) fence(ctx context.Context) error {
	c.mu.Lock()
	entry := c.entry
	upToDate := c.hasRevision && entry.number == c.current.Number
	c.mu.Unlock()
	if !upToDate {
		return remote.ErrConflict
	}
	if entry.revision == 0 {
		entry.value, _ = json.Marshal(structs.Revision{}) // an empty store stands for revision 0
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	written, err := c.opts.Store.CompareAndSwap(call, Key, entry.revision, entry.value, 0)
	if err != nil {
		return err
	}
	var r structs.Revision
	if err := json.Unmarshal(entry.value, &r); err != nil {
		return err
	}
	return c.observeEntry(remote.KV{Key: Key, Value: entry.value, Revision: written}, time.Time{})
}
