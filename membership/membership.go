// Package membership tracks the other instances: those that the platform lists and those that respond
// to heartbeats. It assigns claim shards and elects the owners of data centres.
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
	// pollTimeout limits one read of the list.
	pollTimeout = time.Second
	// heartbeatInterval is the mean time between heartbeats.
	heartbeatInterval = time.Second
	// heartbeatTimeout limits one heartbeat call. It is shorter than heartbeatInterval.
	heartbeatTimeout = 800 * time.Millisecond
	// suppressInterval is how long a heartbeat received from a peer suppresses one to it. One exchange
	// carries the state of both sides, and at 24 instances the traffic limit of 2 KB/s per node allows
	// one exchange per pair and second.
	suppressInterval = 1500 * time.Millisecond
	// confirmationPeers is how many additional peers, not due for a heartbeat, get one while the store
	// does not confirm the manifest. A response of one peer that reaches the store is enough.
	confirmationPeers = 3
	// lostAfter is the time without contact after which a peer counts as lost. It covers three heartbeats.
	lostAfter = 3500 * time.Millisecond
	// unlistedRetention is how long a peer can still be called after it was removed from the list.
	unlistedRetention = 30 * time.Second
)

// Clients opens clients of peers by address. *peer.Clients implements it.
type Clients interface {
	Client(address string) peer.DRPCPeerClient
}

// Config provides the configuration state that heartbeats carry. *config.Controller implements it.
type Config interface {
	// Heartbeat returns the revision in force and the age of its last confirmation.
	Heartbeat() (revision uint64, age time.Duration)
	// Ready reports whether a revision is known.
	Ready() bool
	// NeedsPeerConfirmation reports whether peers are to confirm the revision instead of the store.
	NeedsPeerConfirmation() bool
	// RecordPeerRevision records the revision that a peer reports. With a zero sent or a negative age
	// the report confirms nothing.
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

// Controller tracks the other instances.
type Controller struct {
	opts Options
	sent metrics.Counter // heartbeats sent

	mu            sync.Mutex
	config        Config
	listed        []structs.Instance // last list read, ordered by ID
	listedSince   time.Time          // zero while this instance is not listed or is leaving
	listAsOf      time.Time
	leaving       bool
	peers         map[string]*peerState
	tokens        map[string]uint64        // highest owner token by data centre
	ownSummaries  map[string]*peer.Summary // summaries of data centres owned here
	peerSummaries map[string]*peer.Summary // summaries of peers
}

// peerState is the state recorded for one peer.
type peerState struct {
	instance         structs.Instance
	listed           bool
	unlisted         time.Time // when it was removed from the list
	lastContact      time.Time // last heartbeat exchange or confirmation call
	lastReceived     time.Time // last heartbeat from it, or confirmation call; suppresses heartbeats to it
	lastConfirmation time.Time // last confirmation call in either direction
	leaving          bool      // as reported by the peer
	ready            bool
	lost             bool
	heartbeatPending bool // a heartbeat call to it is in progress
	ackedSummaries   map[string]sentSummary
}

// New returns a controller with an empty list; Run reads the list.
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
		opts:          o,
		sent:          metrics.GetOrRegisterCounter("membership.heartbeats.sent", o.Metrics),
		config:        noConfig{},
		peers:         map[string]*peerState{},
		tokens:        map[string]uint64{},
		ownSummaries:  map[string]*peer.Summary{},
		peerSummaries: map[string]*peer.Summary{},
	}
}

// SetConfig sets the configuration. It must be called before Run.
func (c *Controller) SetConfig(config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// noConfig is the configuration until SetConfig is called.
type noConfig struct{}

func (noConfig) Heartbeat() (uint64, time.Duration)                          { return 0, -1 }
func (noConfig) Ready() bool                                                 { return false }
func (noConfig) NeedsPeerConfirmation() bool                                 { return false }
func (noConfig) RecordPeerRevision(string, uint64, time.Time, time.Duration) {}

// Run reads the list and exchanges heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.poll(ctx) })
	wg.Go(func() { c.sendHeartbeats(ctx) })
	wg.Wait()
}

// Self returns this instance.
func (c *Controller) Self() structs.Instance { return c.opts.Self }

// SetLeaving marks the instance as stopping and reports this to peers, which assign it no more shards.
// The instance accepts no more commits.
func (c *Controller) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.listedSince = time.Time{}
}

// Listed returns the instances on the platform's list, ordered by ID. This instance is included if it
// is listed.
func (c *Controller) Listed() []structs.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.listed)
}

// ListedSince returns since when this instance has been listed continuously and not leaving, and when
// the last list was requested.
func (c *Controller) ListedSince() (since, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedSince, c.listAsOf
}

// Client returns a client of an instance that is listed, or was within unlistedRetention.
func (c *Controller) Client(_ context.Context, instance string) (peer.DRPCPeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[instance]
	if p == nil {
		return nil, errkind.New(errkind.OwnerUnavailable, "instance %s is not on the platform's list", instance)
	}
	return c.opts.Clients.Client(p.instance.PeerAddr), nil
}

// ShardOwner returns the soft owner of a claim shard: the live instance with the highest rendezvous
// hash. It is empty if no instance is live.
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

// live returns the listed instances that are not leaving and, other than this one, had contact within
// lostAfter.
func (c *Controller) live() []structs.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []structs.Instance
	for _, in := range c.listed {
		if in.Leaving {
			continue
		}
		if in.ID == c.opts.Self.ID {
			if !c.leaving {
				live = append(live, in)
			}
			continue
		}
		if p := c.peers[in.ID]; p != nil && !p.leaving && c.hasRecentContact(p) {
			live = append(live, in)
		}
	}
	return live
}

func (c *Controller) hasRecentContact(p *peerState) bool {
	return !p.lastContact.IsZero() && time.Since(p.lastContact) <= lostAfter
}

// Alive reports whether an instance is this one or a peer that had contact within lostAfter and is not
// leaving.
func (c *Controller) Alive(instance string) bool {
	if instance == c.opts.Self.ID {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[instance]
	return p != nil && c.hasRecentContact(p) && !p.leaving
}

// OwnTokens returns the owner tokens that this instance holds, ordered by data centre.
func (c *Controller) OwnTokens() []*peer.OwnerToken {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tokens []*peer.OwnerToken
	for dc, s := range c.ownSummaries {
		if s.Owner != "" {
			tokens = append(tokens, &peer.OwnerToken{DataCentre: dc, Token: s.Token})
		}
	}
	slices.SortFunc(tokens, func(a, b *peer.OwnerToken) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return tokens
}

// NewerTokens records the owner tokens that a peer holds and returns higher ones recorded for the same
// data centres.
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

// RecordConfirmation records a confirmation call from or to a peer during a store outage. The call
// counts as contact and replaces a heartbeat.
func (c *Controller) RecordConfirmation(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[instance]; p != nil {
		c.recordContact(p)
		p.lastReceived, p.lastConfirmation = time.Now(), time.Now()
	}
}

// ObserveTokens records owner tokens received from a peer or read from the store.
func (c *Controller) ObserveTokens(tokens []*peer.OwnerToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tokens {
		c.tokens[t.DataCentre] = max(c.tokens[t.DataCentre], t.Token)
	}
}

// Token returns the highest owner token recorded for a data centre.
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

// Status returns the current state, with peers ordered by ID.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Self: c.opts.Self.ID, ListedSince: c.listedSince, ListAsOf: c.listAsOf, Leaving: c.leaving}
	for _, p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{Instance: p.instance, Listed: p.listed, LastContact: p.lastContact,
			Lost: !c.hasRecentContact(p), Leaving: p.leaving || p.instance.Leaving, Ready: p.ready})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return s
}

// jitter returns d varied by up to 10% in either direction.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d - d/10 + c.opts.Jitter(d/5)
}
