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
	// fenceAfter is the age at which an intent of another instance is resolved here. It
	// is longer than a commit takes, so that its own instance resolves it first.
	fenceAfter = 15 * time.Second
	// dropMemory is how long a failed commit is remembered, for an intent that arrives
	// after the notice that it was dropped.
	dropMemory = time.Minute
)

// intent is a commit under way that withdraws data centres.
type intent struct {
	id       string
	origin   string
	number   uint64 // revision that the commit would have
	withdraw []string
	since    time.Time
	acked    map[string]bool // peers that hold the intent
}

func (i *intent) blocks(dataCentre string) bool {
	return slices.Contains(i.withdraw, dataCentre)
}

func (i *intent) request() *peer.AnnounceRequest {
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

// addIntent blocks the data centres of an intent that is not settled yet.
func (c *Controller) addIntent(i *intent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, gone := c.dropped[i.id]; gone || c.intents[i.id] != nil || (c.known && i.number <= c.current.Number) {
		return
	}
	i.since, i.acked = time.Now(), map[string]bool{}
	c.intents[i.id] = i
	events.Info(c.o.Log, events.ManifestIntent, zap.String("commit_id", i.id),
		zap.String("instance", i.origin), zap.Strings("withdraw", i.withdraw))
}

// dropIntent lifts the block of a commit that failed for certain.
func (c *Controller) dropIntent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.intents, id)
	now := time.Now()
	c.dropped[id] = now
	for old, at := range c.dropped {
		if now.Sub(at) > dropMemory {
			delete(c.dropped, old)
		}
	}
}

// settleIntents drops the intents that the revision in force decides: a commit for
// revision n either is revision n or can never take effect once n exists.
func (c *Controller) settleIntents() {
	for id, i := range c.intents {
		if i.number <= c.current.Number {
			delete(c.intents, id)
		}
	}
}

// forgetAcks notes that a peer has lost its memory.
func (c *Controller) forgetAcks(instance string) {
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
		c.adopt(revision, "peer "+r.Instance)
	case r.IntentDropped:
		c.dropIntent(r.CommitId)
		c.settleFenced(r.CommitId)
	case r.CommitId != "" && len(r.Withdraw) > 0 && r.Revision > 0:
		c.addIntent(&intent{id: r.CommitId, origin: r.Instance, number: r.Revision, withdraw: r.Withdraw})
	default:
		return nil, errkind.New(errkind.BadRequest, "an announcement needs a document or an intent")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &peer.AnnounceReply{Revision: c.current.Number}, nil
}

// HandleConfirm serves the Confirm call of a peer. An instance that knows no revision
// yet confirms nothing. Intents that the peer does not hold count as unresolved until
// they have been relayed to it.
func (c *Controller) HandleConfirm(_ context.Context, r *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	c.o.Peers.RecordConfirmation(r.Instance)
	tokens := c.o.Peers.NewerTokens(r.Tokens)
	c.RecordPeerRevision(r.Instance, r.Revision, time.Time{}, -1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return nil, errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	}
	unresolved := c.pending != nil
	for _, i := range c.intents {
		if !i.acked[r.Instance] {
			unresolved = true
			c.behind[r.Instance] = true
			signal(c.wake)
		}
	}
	return &peer.ConfirmReply{
		Revision: max(c.current.Number, c.newest), Unresolved: unresolved, StoreReachable: c.storeUp, Tokens: tokens,
	}, nil
}

// outbox sends the revision in force and open intents to peers that lack them.
func (c *Controller) outbox(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		c.mu.Lock()
		var ids []string
		for id := range c.behind {
			ids = append(ids, id)
		}
		clear(c.behind)
		c.mu.Unlock()
		c.bringUp(ctx, ids)
		if !c.pause(ctx, retryPause) {
			return
		}
	}
}

// bringUp sends everything that the peers may lack.
func (c *Controller) bringUp(ctx context.Context, ids []string) {
	c.mu.Lock()
	messages := []*peer.AnnounceRequest{}
	if c.known && c.current.Number > 0 {
		messages = append(messages, announcement(c.o.Peers.Self().ID, c.current))
	}
	for _, i := range c.intents {
		messages = append(messages, i.request())
	}
	c.mu.Unlock()
	c.each(ctx, ids, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		for _, m := range messages {
			if _, err := client.Announce(ctx, m); err != nil {
				return
			}
			c.acked(m.CommitId, id)
		}
	})
}

func (c *Controller) acked(commit, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.intents[commit]; i != nil {
		i.acked[peer] = true
	}
}

func announcement(self string, r structs.Revision) *peer.AnnounceRequest {
	document, err := json.Marshal(r)
	if err != nil {
		panic("a revision always has a JSON form: " + err.Error()) // it was read from JSON or written as JSON before
	}
	return &peer.AnnounceRequest{Instance: self, Revision: r.Number, CommitId: r.CommitID, Document: document}
}

// resolve settles commits whose answer was lost: those of this instance, and intents
// of instances that did not settle them.
func (c *Controller) resolve(ctx context.Context) {
	for c.pause(ctx, retryPause) {
		c.mu.Lock()
		p := c.pending
		waiting := p != nil && p.uncertain
		var foreign []string
		for id, i := range c.intents {
			if (p == nil || id != p.id) && time.Since(i.since) > fenceAfter {
				foreign = append(foreign, id)
			}
		}
		c.mu.Unlock()
		if waiting {
			c.resolvePending(ctx, p)
		}
		if len(foreign) > 0 && c.fence(ctx) == nil {
			for _, id := range foreign {
				c.dropIntent(id)
				c.announceDrop(ctx, id, c.listedPeers())
			}
		}
	}
}

// announceDrop tells peers that a commit failed for certain. A peer that misses it fences
// the commit off itself.
func (c *Controller) announceDrop(ctx context.Context, id string, peers []string) {
	request := &peer.AnnounceRequest{Instance: c.o.Peers.Self().ID, CommitId: id, IntentDropped: true}
	c.each(ctx, peers, func(ctx context.Context, _ string, client peer.DRPCPeerClient) {
		_, _ = client.Announce(ctx, request)
	})
}

// fence writes the entry in force again, unchanged. Its new store revision makes every
// compare-and-swap fail that was sent before and has not taken effect, so that afterwards
// the outcome of such a commit is certain. It fails without effect when the entry is not
// the newest. A plain read is no proof: it may be stale, or the write still under way.
func (c *Controller) fence(ctx context.Context) error {
	c.mu.Lock()
	entry := c.entry
	current := c.known && entry.number == c.current.Number
	c.mu.Unlock()
	if !current {
		return remote.ErrConflict
	}
	if entry.revision == 0 {
		entry.value, _ = json.Marshal(structs.Revision{}) // an empty store is revision 0
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := c.o.Store.CompareAndSwap(call, Key, entry.revision, entry.value, 0)
	if err != nil {
		return err
	}
	var r structs.Revision
	if err := json.Unmarshal(entry.value, &r); err != nil {
		return err
	}
	return c.observe(remote.KV{Key: Key, Value: entry.value, Revision: written}, time.Time{})
}
