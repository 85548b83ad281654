// Package membership knows the other instances: those that the platform lists and those
// that answer heartbeats. It assigns claim shards and elects the owners of data centres.
package membership

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// pollInterval is the mean time between reads of the platform's list.
	pollInterval = 1500 * time.Millisecond
	// pollTimeout bounds a read of the list.
	pollTimeout = time.Second
	// heartbeatInterval is the mean time between heartbeats.
	heartbeatInterval = time.Second
	// heartbeatTimeout bounds a heartbeat; it stays below the interval.
	heartbeatTimeout = 800 * time.Millisecond
	// suppressFor is how long a peer's heartbeat replaces one in the other direction. One
	// exchange carries the state of both sides, and one per pair and second is what the
	// traffic limit of 2 KB/s per node allows at 24 instances.
	suppressFor = 1500 * time.Millisecond
	// askedPeers is how many peers get a heartbeat in any case while the store does not
	// confirm the manifest: one that reaches the store is enough.
	askedPeers = 3
	// lostAfter is the silence after which a peer counts as lost: three heartbeats.
	lostAfter = 3500 * time.Millisecond
	// keepUnlisted is how long a peer that has left the list can still be called.
	keepUnlisted = 30 * time.Second
)

// Clients opens clients of peers by address. *peer.Clients implements it.
type Clients interface {
	Client(address string) peer.DRPCPeerClient
}

// Config is the configuration that heartbeats report on. *config.Controller implements it.
type Config interface {
	// Heartbeat returns the revision in force and the age of its last proof.
	Heartbeat() (revision uint64, age time.Duration)
	// Ready reports whether a revision is known.
	Ready() bool
	// NeedsPeerConfirmation reports whether confirmations of peers are wanted.
	NeedsPeerConfirmation() bool
	// RecordPeerRevision takes what a peer reports; a zero sent or a negative age confirms nothing.
	RecordPeerRevision(instance string, revision uint64, sent time.Time, age time.Duration)
}

// Options holds the dependencies of a Controller.
type Options struct {
	Self    structs.Instance
	List    remote.InstanceList
	Clients Clients
	Log     *zap.Logger
	Metrics metrics.Registry
	// Jitter returns a random part of a duration; nil for the default source.
	Jitter func(time.Duration) time.Duration
}

// Controller knows the other instances.
type Controller struct {
	o    Options
	sent metrics.Counter // heartbeats

	mu          sync.Mutex
	config      Config
	listed      []structs.Instance // the last list, ordered by id
	listedSince time.Time          // zero while this instance is not listed or is leaving
	listAsOf    time.Time
	leaving     bool
	peers       map[string]*peerState
	tokens      map[string]uint64        // highest owner token by data centre
	own         map[string]*peer.Summary // summaries of data centres owned here
	learned     map[string]*peer.Summary // summaries of peers
}

// peerState is what is known of one peer.
type peerState struct {
	instance  structs.Instance
	listed    bool
	unlisted  time.Time // when it left the list
	heard     time.Time // last answer to or receipt of a heartbeat
	received  time.Time // last heartbeat from it
	confirmed time.Time // last confirmation call in either direction
	leaving   bool      // as it says itself
	ready     bool
	lost      bool
	beating   bool // a heartbeat to it is under way
	summaries map[string]sentSummary
}

// New returns a controller that has not read the list yet.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	return &Controller{
		o:       o,
		sent:    metrics.GetOrRegisterCounter("membership.heartbeats.sent", o.Metrics),
		config:  noConfig{},
		peers:   map[string]*peerState{},
		tokens:  map[string]uint64{},
		own:     map[string]*peer.Summary{},
		learned: map[string]*peer.Summary{},
	}
}

// SetConfig connects the configuration. It is called before Run.
func (c *Controller) SetConfig(config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// noConfig stands for a configuration that is not connected.
type noConfig struct{}

func (noConfig) Heartbeat() (uint64, time.Duration)                          { return 0, -1 }
func (noConfig) Ready() bool                                                 { return false }
func (noConfig) NeedsPeerConfirmation() bool                                 { return false }
func (noConfig) RecordPeerRevision(string, uint64, time.Time, time.Duration) {}

// Run reads the list and exchanges heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.poll(ctx) })
	wg.Go(func() { c.beat(ctx) })
	wg.Wait()
}

// Self returns this instance.
func (c *Controller) Self() structs.Instance { return c.o.Self }

// SetLeaving makes the instance report that it is stopping. Peers assign it no shard
// from then on, and it accepts no commits.
func (c *Controller) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.listedSince = time.Time{}
}

// Listed returns the instances on the platform's list, ordered by id, with this
// instance when it is listed.
func (c *Controller) Listed() []structs.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.listed)
}

// ListedSince returns since when this instance has been listed without a gap and not
// leaving, and when the list that shows it was asked for.
func (c *Controller) ListedSince() (since, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedSince, c.listAsOf
}

// Client returns a client of a listed instance, or of one that has left the list a
// short time ago.
func (c *Controller) Client(_ context.Context, instance string) (peer.DRPCPeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[instance]
	if p == nil {
		return nil, errkind.New(errkind.OwnerUnavailable, "instance %s is not on the platform's list", instance)
	}
	return c.o.Clients.Client(p.instance.PeerAddr), nil
}

// ShardOwner returns the instance that softly owns a claim shard: the one with the
// highest rendezvous hash among the live instances. It is empty when there is none.
func (c *Controller) ShardOwner(shard uint32) string {
	live := c.live()
	if len(live) == 0 {
		return ""
	}
	key := fmt.Sprintf("shard/%d", shard)
	return slices.MaxFunc(live, func(a, b structs.Instance) int { return compareRank(key, a.ID, b.ID) }).ID
}

// compareRank orders two instances by their rendezvous hash for a key.
func compareRank(key, a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b)), cmp.Compare(a, b))
}

// live returns the listed instances that are not leaving and have been heard lately.
func (c *Controller) live() []structs.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []structs.Instance
	for _, in := range c.listed {
		if in.Leaving {
			continue
		}
		if in.ID == c.o.Self.ID {
			if !c.leaving {
				live = append(live, in)
			}
			continue
		}
		if p := c.peers[in.ID]; p != nil && !p.leaving && c.isHeard(p) {
			live = append(live, in)
		}
	}
	return live
}

func (c *Controller) isHeard(p *peerState) bool {
	return !p.heard.IsZero() && time.Since(p.heard) <= lostAfter
}

// Alive reports whether an instance is this one or a peer that was heard lately and is
// not stopping.
func (c *Controller) Alive(instance string) bool {
	if instance == c.o.Self.ID {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[instance]
	return p != nil && c.isHeard(p) && !p.leaving
}

// OwnTokens returns the owner tokens that this instance holds, ordered by data centre.
func (c *Controller) OwnTokens() []*peer.OwnerToken {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tokens []*peer.OwnerToken
	for dc, s := range c.own {
		if s.Owner != "" {
			tokens = append(tokens, &peer.OwnerToken{DataCentre: dc, Token: s.Token})
		}
	}
	slices.SortFunc(tokens, func(a, b *peer.OwnerToken) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return tokens
}

// NewerTokens takes the owner tokens that a peer holds and returns those known here that
// are higher.
func (c *Controller) NewerTokens(held []*peer.OwnerToken) []*peer.OwnerToken {
	c.ObserveTokens(held)
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []*peer.OwnerToken
	for _, h := range held {
		if token := c.tokens[h.DataCentre]; token > h.Token {
			newer = append(newer, &peer.OwnerToken{DataCentre: h.DataCentre, Token: token})
		}
	}
	return newer
}

// RecordConfirmation takes a confirmation call from or to a peer, which happens during an outage of
// the store. It is a sign of life that replaces a heartbeat.
func (c *Controller) RecordConfirmation(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[instance]; p != nil {
		c.hear(p)
		p.received, p.confirmed = time.Now(), time.Now()
	}
}

// ObserveTokens takes owner tokens that a peer or the store has shown.
func (c *Controller) ObserveTokens(tokens []*peer.OwnerToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tokens {
		c.tokens[t.DataCentre] = max(c.tokens[t.DataCentre], t.Token)
	}
}

// Token returns the highest owner token known for a data centre.
func (c *Controller) Token(dataCentre string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[dataCentre]
}

// Status describes the membership for operators.
type Status struct {
	Self        string       `json:"self"`
	ListedSince time.Time    `json:"listed_since,omitzero"`
	ListAsOf    time.Time    `json:"list_as_of,omitzero"`
	Leaving     bool         `json:"leaving"`
	Peers       []PeerStatus `json:"peers"`
}

// PeerStatus describes one peer.
type PeerStatus struct {
	Instance    structs.Instance `json:"instance"`
	Listed      bool             `json:"listed"`
	LastContact time.Time        `json:"heard,omitzero"`
	Lost        bool             `json:"lost"`
	Leaving     bool             `json:"leaving"`
	Ready       bool             `json:"ready"`
}

// Status returns the present state, with peers ordered by id.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Self: c.o.Self.ID, ListedSince: c.listedSince, ListAsOf: c.listAsOf, Leaving: c.leaving}
	for _, p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{Instance: p.instance, Listed: p.listed, LastContact: p.heard,
			Lost: !c.isHeard(p), Leaving: p.leaving || p.instance.Leaving, Ready: p.ready})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return s
}

// jitter returns d changed by up to a tenth in either direction.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d - d/10 + c.o.Jitter(d/5)
}
