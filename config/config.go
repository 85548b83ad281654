// Package config holds the manifest in force at one instance. It watches the store, confirms
// that the manifest is current before work starts, and commits operators' changes.
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
	// FreshnessBound is the maximum age of the last confirmation that the manifest is the newest.
	FreshnessBound = 2 * time.Second
	// watchWait is how long the store holds a watch open without changes. It is half of
	// FreshnessBound, which leaves the other half for the answer to arrive.
	watchWait = time.Second
	// storeCallTimeout limits a store call; a watch gets watchWait in addition.
	storeCallTimeout = 1500 * time.Millisecond
	// peerTimeout limits a call to a peer. The sum of peerTimeout and confirmAfter is below
	// FreshnessBound, so that one round of calls ends before the last confirmation expires.
	peerTimeout = 500 * time.Millisecond
	// confirmAfter is the age of the last confirmation at which this instance asks its peers to
	// confirm. At 24 instances, more frequent rounds would exceed 2 KB/s of control traffic
	// during an outage of the store.
	confirmAfter = 1400 * time.Millisecond
	// retryInterval is the time between a failed call and the next, before jitter.
	retryInterval = 250 * time.Millisecond
	// DefaultListLag is the default of Options.ListLag.
	DefaultListLag = 5 * time.Second
	// maxListAge is the maximum age of the platform's list when a commit is accepted.
	maxListAge = 3 * time.Second
	// confirmListAge is the maximum age of the list that determines which peers must confirm.
	confirmListAge = 5 * time.Second
	// listedMargin is added to the lag of the list. It covers the age of the list that a commit
	// relies on, and the time that the commit's write takes.
	listedMargin = maxListAge + 2*time.Second
	// MinListedTime is how long an instance must have been listed before it accepts commits, at
	// the default lag. After that time the list of every other instance contains it, so a
	// confirmation by all listed peers requires its answer.
	MinListedTime = DefaultListLag + listedMargin
	// resolveTimeout limits how long Commit waits for the outcome of a write whose answer was lost.
	resolveTimeout = 10 * time.Second
	// maxRecentCommits is how many earlier commit ids a revision carries. They show that a commit
	// whose answer was lost took effect before a later commit replaced its revision.
	maxRecentCommits = 32
	// maxHistory is how many earlier revisions are kept to list the changes in a ConflictError.
	maxHistory = 16
)

// Peers gives access to the other instances. membership.Controller implements it.
type Peers interface {
	Self() structs.Instance
	// Listed returns the instances on the platform's list.
	Listed() []structs.Instance
	// ListedSince returns when the present uninterrupted period began in which this instance
	// is listed and not leaving, and the time of the list that shows it. since is zero when
	// the instance is not listed or is leaving.
	ListedSince() (since, asOf time.Time)
	Client(ctx context.Context, instance string) (peer.DRPCPeerClient, error)
	// OwnTokens returns the owner tokens that this instance holds.
	OwnTokens() []*peer.OwnerToken
	// NewerTokens returns the owner tokens seen here that are higher than the given ones of a
	// peer for the same data centre.
	NewerTokens([]*peer.OwnerToken) []*peer.OwnerToken
	// ObserveTokens records owner tokens that a peer has seen.
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
	// ListLag is the assumed lag of the platform's list; 0 means DefaultListLag.
	ListLag time.Duration
	// Jitter returns a random duration below its argument; nil means math/rand/v2.
	Jitter func(time.Duration) time.Duration
}

// Controller holds the manifest in force. One mutex guards its state. It is never held during
// a call to the store or to a peer.
type Controller struct {
	opts           Options
	commitLock     chan struct{} // holds one value, which a commit takes out while it runs
	peerUpdateWake chan struct{} // wakes updatePeers
	notifyWake     chan struct{} // wakes notifySubscribers

	mu              sync.Mutex
	hasRevision     bool // current is valid: it came from the store or a peer, or the store is empty
	current         structs.Revision
	history         []structs.Revision // revisions before current, newest first
	entry           storeEntry
	highestReported uint64    // highest revision number that any instance has reported
	confirmedAt     time.Time // when current was last confirmed to be the newest revision
	source          Source
	storeReachable  bool
	loggedStale     bool                 // whether the last logged state was stale
	intents         map[string]*intent   // open intents by commit id
	failedCommits   map[string]time.Time // by commit id: when the commit was found to have failed
	pending         *pendingCommit
	outdatedPeers   map[string]bool      // peers to which updatePeers must send
	lastListed      map[string]time.Time // when each peer that must confirm was last listed
	subscribers     []*subscriber
}

// storeEntry is the newest entry under Key that this instance has read or written.
type storeEntry struct {
	revision uint64 // revision of the store; 0 when the key does not exist
	number   uint64 // number of the manifest revision
	value    []byte
}

type subscriber struct {
	callback func(structs.Revision)
	notified bool
	last     uint64 // revision number of the last call
}

// Source is what last confirmed that the manifest is current.
type Source string

// The sources of a confirmation.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourcePeer  Source = "peer"  // one peer that had a confirmation itself
	SourcePeers Source = "peers" // all listed peers, during an outage of the store
)

// New returns a controller that has no revision until Run receives one.
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
		o.ListLag = DefaultListLag
	}
	c := &Controller{
		opts:           o,
		commitLock:     make(chan struct{}, 1),
		peerUpdateWake: make(chan struct{}, 1),
		notifyWake:     make(chan struct{}, 1),
		source:         SourceNone,
		loggedStale:    true,
		storeReachable: true,
		intents:        map[string]*intent{},
		failedCommits:  map[string]time.Time{},
		outdatedPeers:  map[string]bool{},
		lastListed:     map[string]time.Time{},
	}
	c.commitLock <- struct{}{}
	return c
}

// Run watches the store, exchanges revisions with peers, resolves commits and calls the
// subscribers until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.watchStore, c.confirmWithPeers, c.updatePeers, c.resolveCommits, c.notifySubscribers} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Current returns the revision in force, and false while the instance has none. Revision 0
// stands for an empty store.
func (c *Controller) Current() (structs.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.hasRevision
}

// Subscribe registers f to be called with the revision in force and with newer ones. Run makes
// the calls one at a time; a revision that is replaced before its call is skipped.
func (c *Controller) Subscribe(f func(structs.Revision)) {
	c.mu.Lock()
	c.subscribers = append(c.subscribers, &subscriber{callback: f})
	c.mu.Unlock()
	signal(c.notifyWake)
}

func (c *Controller) notifySubscribers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.notifyWake:
		}
		for _, call := range c.dueCalls() {
			call()
		}
	}
}

// dueCalls returns a call for each subscriber that has not received the revision in force.
func (c *Controller) dueCalls() []func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var calls []func()
	for _, s := range c.subscribers {
		if !c.hasRevision || (s.notified && s.last == c.current.Number) {
			continue
		}
		s.notified, s.last = true, c.current.Number
		revision := c.current
		calls = append(calls, func() { s.callback(revision) })
	}
	return calls
}

// applyRevision puts a committed revision in force if its number is higher than that of the revision
// in force. It reports whether r is the revision in force afterwards.
func (c *Controller) applyRevision(r structs.Revision, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRevision && r.Number <= c.current.Number {
		if r.Number < c.current.Number || r.CommitID != c.current.CommitID {
			metrics.GetOrRegisterCounter("config.stale_reads", c.opts.Metrics).Inc(1)
			events.Info(c.opts.Log, events.StaleReadIgnored, zap.String("from", from),
				zap.Uint64("revision", r.Number), zap.Uint64("in_force", c.current.Number))
			return false
		}
		return true
	}
	if c.hasRevision {
		c.history = append([]structs.Revision{c.current}, c.history[:min(len(c.history), maxHistory-1)]...)
	}
	c.hasRevision, c.current = true, r
	c.highestReported = max(c.highestReported, r.Number)
	c.removeDecidedIntents()
	events.Info(c.opts.Log, events.ManifestInForce, zap.String("from", from),
		zap.Uint64("revision", r.Number), zap.String("commit_id", r.CommitID))
	signal(c.notifyWake)
	return true
}

// Status is the state of the controller as shown to operators.
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

// Status returns the state of the controller.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Ready: c.hasRevision, Revision: c.current.Number, CommitID: c.current.CommitID, Newest: c.highestReported,
		Fresh: c.freshLocked() == nil, ConfirmedAt: c.confirmedAt, Source: c.source, StoreUp: c.storeReachable,
		Intents: c.intentList(),
	}
	if c.pending != nil {
		s.Unresolved = c.pending.id
	}
	return s
}

// MayStart returns nil if work may start in the data centre: the manifest is fresh, the stage
// allows starts, and no open intent withdraws the data centre.
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

// signal wakes the loop that reads ch, and does not block.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
