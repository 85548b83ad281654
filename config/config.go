// Package config keeps the manifest in force at one instance: it watches the store,
// shows that the manifest is current before work starts, and commits operators' changes.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Key is the store key of the manifest.
const Key = "manifest"

const (
	// FreshnessBound is how old the proof may be that the manifest is the newest.
	FreshnessBound = 2 * time.Second
	// watchWait is the wait limit of a watch. It leaves half of the bound to its answer.
	watchWait = time.Second
	// callTimeout bounds a store call beyond its wait limit.
	callTimeout = 1500 * time.Millisecond
	// peerTimeout bounds a call to a peer. Together with confirmAfter it stays inside
	// FreshnessBound.
	peerTimeout = 500 * time.Millisecond
	// confirmAfter is the age of the last proof at which peers are asked for one. At 24
	// instances, shorter rounds would exceed 2 KB/s of control traffic in an outage.
	confirmAfter = 1400 * time.Millisecond
	// retryPause is the pause after a failed call, before jitter.
	retryPause = 250 * time.Millisecond
	// ListLag is the default for the assumed lag of the platform's list.
	ListLag = 5 * time.Second
	// maxListAge bounds the age of the list that a commit relies on.
	maxListAge = 3 * time.Second
	// confirmListAge bounds the age of the list whose peers are asked for confirmations.
	confirmListAge = 5 * time.Second
	// memberMargin is added to the list's lag: the age of the list that a commit relies on
	// and the time of its write.
	memberMargin = maxListAge + 2*time.Second
	// MemberFor is how long an instance must have been listed before it accepts commits at
	// the default lag, so that every instance that asks its listed peers asks this one too.
	MemberFor = ListLag + memberMargin
	// commitWait bounds how long a commit waits until a lost answer is resolved.
	commitWait = 10 * time.Second
	// maxRecent is how many commit ids a revision carries to resolve lost answers.
	maxRecent = 32
	// maxHistory is how many revisions are kept to state what changed in a conflict.
	maxHistory = 16
)

// Peers gives access to the other instances. membership.Controller implements it.
type Peers interface {
	Self() structs.Instance
	// Listed returns the instances on the platform's list.
	Listed() []structs.Instance
	// ListedSince returns since when this instance has been listed without a gap and
	// not leaving, zero when it is not, and the time of the list that shows it.
	ListedSince() (since, asOf time.Time)
	Client(ctx context.Context, instance string) (peer.DRPCPeerClient, error)
	// OwnTokens returns the owner tokens that this instance holds.
	OwnTokens() []*peer.OwnerToken
	// NewerTokens takes the tokens that a peer holds and returns those of the same data
	// centres that are higher.
	NewerTokens([]*peer.OwnerToken) []*peer.OwnerToken
	// ObserveTokens takes owner tokens that a peer has seen.
	ObserveTokens([]*peer.OwnerToken)
	// RecordConfirmation records a confirmation call from or to a peer.
	RecordConfirmation(instance string)
}

// Options holds the dependencies of a Controller.
type Options struct {
	Store   remote.Store
	Peers   Peers
	Log     *zap.Logger
	Metrics metrics.Registry
	// ListLag is the assumed lag of the platform's list; 0 for the default.
	ListLag time.Duration
	// Jitter returns a random part of a duration; nil for the default source.
	Jitter func(time.Duration) time.Duration
}

// Controller keeps the manifest in force. Its state is under one lock, and no call
// leaves the process while it is held.
type Controller struct {
	o       Options
	commits chan struct{} // holds one token; a commit takes it
	wake    chan struct{} // wakes the outbox
	changed chan struct{} // wakes the subscribers' loop

	mu          sync.Mutex
	known       bool // a revision is known; the instance is ready
	current     structs.Revision
	history     []structs.Revision // revisions before current, newest first
	entry       storeEntry
	newest      uint64 // highest number that any instance has reported
	confirmed   time.Time
	source      Source
	storeUp     bool
	stale       bool // last state that was logged
	intents     map[string]*intent
	dropped     map[string]time.Time // intents known to have failed
	pending     *pendingCommit
	behind      map[string]bool      // peers to which the outbox must send
	lastListed  map[string]time.Time // peers that count for confirmations
	subscribers []*subscriber
}

// storeEntry is the newest entry of the manifest key that this instance has seen.
type storeEntry struct {
	revision uint64 // store revision; 0 when the key does not exist
	number   uint64
	value    []byte
}

type subscriber struct {
	f    func(structs.Revision)
	told bool
	last uint64
}

// Source is what showed last that the manifest is current.
type Source string

// The sources of freshness.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourcePeer  Source = "peer"  // a peer that has confirmed it
	SourcePeers Source = "peers" // every listed peer, during an outage of the store
)

// New returns a controller that knows no revision yet.
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
	if o.ListLag == 0 {
		o.ListLag = ListLag
	}
	c := &Controller{
		o:          o,
		commits:    make(chan struct{}, 1),
		wake:       make(chan struct{}, 1),
		changed:    make(chan struct{}, 1),
		source:     SourceNone,
		stale:      true,
		storeUp:    true,
		intents:    map[string]*intent{},
		dropped:    map[string]time.Time{},
		behind:     map[string]bool{},
		lastListed: map[string]time.Time{},
	}
	c.commits <- struct{}{}
	return c
}

// Run keeps the manifest current until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.watch, c.confirm, c.outbox, c.resolve, c.notify} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Current returns the revision in force, and false while none is known. Revision 0 is
// that of an empty store.
func (c *Controller) Current() (structs.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.known
}

// Subscribe calls f with the revision in force and with every newer one. Calls are made
// one after another, by Run; a revision that is replaced before its turn is left out.
func (c *Controller) Subscribe(f func(structs.Revision)) {
	c.mu.Lock()
	c.subscribers = append(c.subscribers, &subscriber{f: f})
	c.mu.Unlock()
	signal(c.changed)
}

func (c *Controller) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		for _, call := range c.calls() {
			call()
		}
	}
}

// calls returns the subscribers' calls that are due.
func (c *Controller) calls() []func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var calls []func()
	for _, s := range c.subscribers {
		if !c.known || (s.told && s.last == c.current.Number) {
			continue
		}
		s.told, s.last = true, c.current.Number
		revision := c.current
		calls = append(calls, func() { s.f(revision) })
	}
	return calls
}

// adopt takes a revision that was committed. It never lowers the number. It reports
// whether the revision is the one in force now.
func (c *Controller) adopt(r structs.Revision, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && r.Number <= c.current.Number {
		if r.Number < c.current.Number || r.CommitID != c.current.CommitID {
			metrics.GetOrRegisterCounter("config.stale_reads", c.o.Metrics).Inc(1)
			events.Info(c.o.Log, events.StaleReadIgnored, zap.String("from", from),
				zap.Uint64("revision", r.Number), zap.Uint64("in_force", c.current.Number))
			return false
		}
		return true
	}
	if c.known {
		c.history = append([]structs.Revision{c.current}, c.history[:min(len(c.history), maxHistory-1)]...)
	}
	c.known, c.current = true, r
	c.newest = max(c.newest, r.Number)
	c.settleIntents()
	events.Info(c.o.Log, events.ManifestInForce, zap.String("from", from),
		zap.Uint64("revision", r.Number), zap.String("commit_id", r.CommitID))
	signal(c.changed)
	return true
}

// Status describes the controller for operators.
type Status struct {
	Ready       bool      `json:"ready"`
	Revision    uint64    `json:"revision"`
	CommitID    string    `json:"commit_id"`
	Newest      uint64    `json:"newest"` // highest revision that any instance has reported
	Fresh       bool      `json:"fresh"`
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	Source      Source    `json:"source"`
	StoreUp     bool      `json:"store_up"`
	Unresolved  string    `json:"unresolved,omitempty"` // commit id whose outcome is not known
	Intents     []Intent  `json:"intents,omitempty"`
}

// Status returns the present state.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Ready: c.known, Revision: c.current.Number, CommitID: c.current.CommitID, Newest: c.newest,
		Fresh: c.freshLocked() == nil, ConfirmedAt: c.confirmed, Source: c.source, StoreUp: c.storeUp,
		Intents: c.intentList(),
	}
	if c.pending != nil {
		s.Unresolved = c.pending.id
	}
	return s
}

// MayStart returns nil while work may start in the data centre: the manifest is fresh,
// the stage allows starts, and no intent to withdraw the data centre is open.
func (c *Controller) MayStart(dataCentre string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.freshLocked(); err != nil {
		return err
	}
	dc := c.current.Manifest.DataCentre(dataCentre)
	if dc == nil {
		return errkind.New(errkind.NoCapacity, "revision %d has no data centre %q", c.current.Number, dataCentre)
	}
	if !dc.Stage.AllowsStarts() {
		return errkind.New(errkind.NoCapacity, "data centre %s is at stage %s in revision %d", dataCentre, dc.Stage, c.current.Number)
	}
	for _, in := range c.intents {
		if in.blocks(dataCentre) {
			return errkind.New(errkind.NoCapacity, "instance %s is withdrawing data centre %s with commit %s", in.origin, dataCentre, in.id)
		}
	}
	return nil
}

// signal wakes a loop without waiting for it.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
