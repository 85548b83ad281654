package metastore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
)

const (
	// watchSlack is how much longer than its wait a watch may take before it is cancelled and its
	// connection counts as dead. It covers a store that responds 60 times slower than its usual 4 ms.
	watchSlack = 900 * time.Millisecond
	// retryWait is the wait of a watch after a failed call.
	retryWait = 10 * time.Millisecond
	// retryDelay is the mean delay after the first failed call in a row. It grows with each further
	// failure, up to maxRetryDelay. Each call has a cost, also when refused.
	retryDelay = 150 * time.Millisecond
	// maxRetryDelay limits the mean delay, so that changes are received soon after an outage.
	maxRetryDelay = 400 * time.Millisecond
	// reapplyDelay is the delay before a change whose application panicked is applied again. It doubles with
	// each panic, up to maxReapplyDelay.
	reapplyDelay    = 250 * time.Millisecond
	maxReapplyDelay = 64 * reapplyDelay
	// maxMisses is the number of failed watches in a row after which the range is read, if the store answered
	// other calls when they were sent.
	maxMisses = 3
	// loadReapplies is how often failed changes are applied again before a full read counts as complete.
	loadReapplies = 2
)

// MirrorOptions configures a Mirror.
type MirrorOptions struct {
	Store  Store
	Prefix string
	Wait   time.Duration // of one watch call
	// Pause is the pause after each successful call. It batches the changes of keys that change
	// continuously, because each call has a cost.
	Pause time.Duration
	Log   *zap.Logger
	// Apply is called once for each change, in the order of the revisions of a key, and again for a change
	// that panicked while it is the newest of its key.
	Apply func(change Change)
	// Synced is called after each successful call. All changes made before asOf have been applied.
	Synced func(asOf time.Time)
	// ReloadOnFailure makes a full read immediately follow a failed watch. It suits a range that is small
	// compared with its history: a watch that has fallen behind may have more changes to read than fit
	// in its timeout.
	ReloadOnFailure bool
	// StoreHealthy reports whether the store answers other calls of this instance. Then the range is read after
	// maxMisses failed watches in a row. If it is nil, only the watch is repeated.
	StoreHealthy func() bool
	// Slack is how much longer than its wait a watch may take; 0 for watchSlack. It doubles with each
	// failure in a row, up to watchSlack.
	Slack time.Duration
	// Lag returns how late the goroutines of this process run. What that may add to a watch is added to its slack. If
	// it is nil, nothing is added.
	Lag func() time.Duration
	// Guard recovers from panics in Apply, so that a change that panics does not block the others. It is
	// applied again later.
	Guard *contain.Guard
}

// Mirror tracks the keys with a prefix. It reads the range once and then watches it. If the history was
// compacted, it reads the range again and reports the keys removed since. The revisions of a key that
// it passes to Apply never decrease.
type Mirror struct {
	opts MirrorOptions
	read *RangeReader // the full read in progress; nil for none

	mu         sync.Mutex
	revisions  map[string]uint64
	reachable  bool
	failedAt   time.Time // when the first failed call in a row ended; valid if not reachable
	failures   int       // failed calls in a row
	syncedAsOf time.Time // all changes made before this time have been applied
	failed     map[string]*failedChange
}

// failedChange is the newest change of a key, whose application panicked.
type failedChange struct {
	change Change
	panics int
	next   time.Time // when it is applied again
}

// NewMirror returns an empty mirror; Run reads the range.
func NewMirror(o MirrorOptions) *Mirror {
	return &Mirror{opts: o, revisions: make(map[string]uint64), reachable: true, failed: map[string]*failedChange{}}
}

// Reachable reports whether the last call succeeded.
func (m *Mirror) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable
}

// SyncedAsOf returns the time up to which all changes made have been applied.
func (m *Mirror) SyncedAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncedAsOf
}

// Run tracks the range until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var after uint64
	loaded := false
	failures := 0
	var missed misses
	for ctx.Err() == nil {
		var err error
		if !loaded {
			after, err = m.load(ctx)
			loaded = err == nil
		} else {
			healthy := m.opts.StoreHealthy != nil && m.opts.StoreHealthy()
			after, err = m.watch(ctx, after, m.slack(missed))
			missed.count(err, healthy)
			if errors.Is(err, ErrCompacted) {
				loaded, err = false, nil
			}
			loaded = loaded && (err == nil || !m.opts.ReloadOnFailure && missed.healthy < maxMisses)
		}
		if ctx.Err() != nil {
			return
		}
		m.setReachable(err)
		if err == nil {
			m.applyFailed()
			failures = 0
			if m.opts.Pause > 0 {
				wait.For(ctx, m.opts.Pause)
			}
			continue
		}
		failures++
		if m.opts.ReloadOnFailure && failures == 1 {
			continue
		}
		delay := min(retryDelay*time.Duration(failures), maxRetryDelay)
		wait.For(ctx, delay/2+rand.N(delay))
	}
}

// misses counts the failed watches since the last successful one.
type misses struct {
	all        int
	incomplete int // whose answer did not end in time
	healthy    int // that were sent while the store answered other calls
}

func (n *misses) count(err error, healthy bool) {
	if err == nil || errors.Is(err, ErrCompacted) {
		*n = misses{}
		return
	}
	n.all++
	if errors.Is(err, ErrIncomplete) {
		n.incomplete++
	}
	if healthy {
		n.healthy++
	}
}

// slack returns how much longer than its wait a watch may take after failed ones. Without Slack, it grows only
// after answers that did not end in time: more changes were missed than fit into it.
func (m *Mirror) slack(missed misses) time.Duration {
	if missed.incomplete > 0 {
		return transferTimeout(missed.all, missed.incomplete)
	}
	if m.opts.Slack == 0 {
		return watchSlack
	}
	return min(m.opts.Slack<<min(missed.all, 4), watchSlack)
}

// load reads the range, or continues a read that has failed.
func (m *Mirror) load(ctx context.Context) (uint64, error) {
	if m.read == nil {
		m.read = NewRangeReader(m.opts.Store, m.opts.Prefix)
	}
	items, asOf, err := m.read.Read(ctx)
	if err != nil {
		return 0, err
	}
	began := m.read.Began()
	m.read = nil
	m.Merge(items, asOf)
	for range loadReapplies {
		if left, ok := m.untilReapplied(); ok {
			wait.For(ctx, left)
			m.applyFailed()
		}
	}
	m.synced(began)
	return asOf, nil
}

// Merge applies the complete content of the range as of a revision. Older items are ignored.
func (m *Mirror) Merge(items []Item, asOf uint64) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		m.apply(Change{Item: item})
	}
	for _, key := range m.removedKeys(present, asOf) {
		m.apply(Change{Item: Item{Key: key, Revision: asOf}, Removed: true})
	}
}

// removedKeys returns the recorded keys, not newer than the revision, that a full read did not contain.
func (m *Mirror) removedKeys(present map[string]bool, asOf uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for key, revision := range m.revisions {
		if !present[key] && revision <= asOf {
			keys = append(keys, key)
		}
	}
	return keys
}

func (m *Mirror) watch(ctx context.Context, after uint64, slack time.Duration) (uint64, error) {
	sent := time.Now()
	waitFor := m.opts.Wait
	if left, ok := m.untilReapplied(); ok {
		waitFor = min(waitFor, left)
	}
	if !m.Reachable() {
		waitFor = retryWait // to detect the end of an outage soon
	}
	if m.opts.Lag != nil {
		slack += lagAllowance(m.opts.Lag())
	}
	call, cancel := context.WithTimeout(ctx, waitFor+slack)
	defer cancel()
	changes, asOf, err := m.opts.Store.Watch(call, m.opts.Prefix, after, waitFor)
	if err != nil {
		return after, err
	}
	for _, change := range changes {
		m.apply(change)
		asOf = max(asOf, change.Revision)
	}
	if len(changes) == 0 && time.Since(sent) >= waitFor {
		sent = sent.Add(waitFor) // no change occurred during the wait
	}
	m.synced(sent)
	return max(after, asOf), nil
}

// apply passes a change to Apply unless the same or a newer revision of its key was passed before. A
// removal is also passed at the same revision.
func (m *Mirror) apply(change Change) {
	m.mu.Lock()
	known, ok := m.revisions[change.Key]
	if ok && change.Revision <= known && !(change.Removed && change.Revision == known) {
		m.mu.Unlock()
		return
	}
	if change.Removed {
		delete(m.revisions, change.Key)
	} else {
		m.revisions[change.Key] = change.Revision
	}
	delete(m.failed, change.Key)
	m.mu.Unlock()
	if change.Removed && !ok {
		return
	}
	m.tryApply(&failedChange{change: change})
}

// tryApply applies the change. If that panics, the change is applied again after a delay, unless a newer change
// of the key arrives before.
func (m *Mirror) tryApply(f *failedChange) {
	err := m.opts.Guard.Do("change of "+f.change.Key, func() { m.opts.Apply(f.change) })
	if err == nil {
		return
	}
	delay := min(reapplyDelay<<min(f.panics, 16), maxReapplyDelay)
	m.opts.Log.Error("cannot apply change; trying again", zap.Uint64("revision", f.change.Revision), zap.Duration("after", delay), zap.Error(err))
	f.panics++
	f.next = time.Now().Add(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed[f.change.Key] = f
}

// applyFailed applies the failed changes that are due once more.
func (m *Mirror) applyFailed() {
	m.mu.Lock()
	var due []*failedChange
	for key, f := range m.failed {
		if !time.Now().Before(f.next) {
			due = append(due, f)
			delete(m.failed, key)
		}
	}
	m.mu.Unlock()
	for _, f := range due {
		m.tryApply(f)
	}
}

// untilReapplied returns the time until the next failed change is due, and false if there is none.
func (m *Mirror) untilReapplied() (left time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.failed {
		if until := max(retryWait, time.Until(f.next)); !ok || until < left {
			left, ok = until, true
		}
	}
	return left, ok
}

func (m *Mirror) synced(asOf time.Time) {
	m.mu.Lock()
	m.syncedAsOf = asOf
	m.mu.Unlock()
	if m.opts.Synced != nil {
		m.opts.Synced(asOf)
	}
}

func (m *Mirror) setReachable(err error) {
	m.mu.Lock()
	changed := m.reachable != (err == nil)
	m.reachable = err == nil
	if changed && err != nil {
		m.failedAt, m.failures = time.Now(), 0
	}
	if err != nil {
		m.failures++
	}
	since, failures := m.failedAt, m.failures
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		events.Warn(m.opts.Log, events.StoreUnreachable, zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return
	}
	events.Info(m.opts.Log, events.StoreReachable, zap.String("prefix", m.opts.Prefix), zap.Duration("after", time.Since(since)), zap.Int("failures", failures))
}
