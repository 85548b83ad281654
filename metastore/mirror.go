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
	// answerSlack is how much longer than its wait a watch may take before its connection
	// is taken for dead. It covers a store that answers 60 times slower than its 4 ms.
	answerSlack = 900 * time.Millisecond
	// firstWait is how long the first watch after a failure waits.
	firstWait = 10 * time.Millisecond
	// retryPause is the pause after a failed call. Calls are priced, refused ones too.
	retryPause = 150 * time.Millisecond
	// maxRetryPause bounds the pause, so that a change is seen soon after an outage.
	maxRetryPause = 400 * time.Millisecond
)

// MirrorOptions configures a Mirror.
type MirrorOptions struct {
	Store  Store
	Prefix string
	Wait   time.Duration // of one watch call
	// Pause is the least time between two watch calls. Keys that change all the time are then
	// read together; each call has its price.
	Pause time.Duration
	Log   *zap.Logger
	// Apply gets each change once, in the order of revisions of a key. first is true for
	// the changes of the first full read.
	Apply func(change Change)
	// Synced is called after each successful call, with a time as of which everything that was
	// written is known.
	Synced func(asOf time.Time)
	// ReloadOnFailure asks for a full read at once after a watch that failed. It suits a range that is small
	// beside its history: a watch that has fallen behind may have more to catch up with than it can
	// read in time.
	ReloadOnFailure bool
	// Slack is how much longer than its wait a watch may take at first; 0 for answerSlack. It doubles
	// with each failure.
	Slack time.Duration
	// Guard contains panics of Apply: one change that it cannot take does not hold up the others.
	Guard *contain.Guard
}

// Mirror follows the keys with a prefix. It reads the range once and then watches; after
// a compacted history it reads the range again and reports what was removed meanwhile.
// Revisions of a key never go back.
type Mirror struct {
	o MirrorOptions

	mu        sync.Mutex
	revisions map[string]uint64
	reachable bool
	contact   time.Time // as of which the newest answer was given at least
}

// NewMirror returns a mirror that Run fills.
func NewMirror(o MirrorOptions) *Mirror {
	return &Mirror{o: o, revisions: make(map[string]uint64), reachable: true}
}

// Reachable reports whether the last call was answered.
func (m *Mirror) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable
}

// SyncedAsOf returns a time as of which the newest answer was given at least.
func (m *Mirror) SyncedAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contact
}

// Run follows the range until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var after uint64
	loaded := false
	failures := 0
	misses := 0 // watches in a row without an answer
	for ctx.Err() == nil {
		var err error
		if !loaded {
			after, err = m.load(ctx)
			loaded = err == nil
		} else {
			after, err = m.watch(ctx, after, m.slack(misses))
			misses = nextMisses(misses, err)
			if errors.Is(err, ErrCompacted) {
				loaded, err = false, nil
			}
			loaded = loaded && (err == nil || !m.o.ReloadOnFailure)
		}
		if ctx.Err() != nil {
			return
		}
		m.note(err)
		if err == nil {
			failures = 0
			if m.o.Pause > 0 {
				wait.For(ctx, m.o.Pause)
			}
			continue
		}
		failures++
		if m.o.ReloadOnFailure && failures == 1 {
			continue
		}
		pause := min(retryPause*time.Duration(failures), maxRetryPause)
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

// slack returns how much longer than its wait a watch may take after a number of misses in a row.
func (m *Mirror) slack(misses int) time.Duration {
	if m.o.Slack == 0 {
		return answerSlack
	}
	return min(m.o.Slack<<min(misses, 4), answerSlack)
}

func nextMisses(misses int, err error) int {
	if err == nil || errors.Is(err, ErrCompacted) {
		return 0
	}
	return misses + 1
}

func (m *Mirror) load(ctx context.Context) (uint64, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, m.o.Wait+answerSlack)
	defer cancel()
	items, asOf, err := RangeAll(ctx, m.o.Store, m.o.Prefix)
	if err != nil {
		return 0, err
	}
	m.Merge(items, asOf)
	m.synced(sent)
	return asOf, nil
}

// Merge takes in all items of the range as of a revision.
func (m *Mirror) Merge(items []Item, asOf uint64) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		m.apply(Change{Item: item})
	}
	for _, key := range m.missing(present, asOf) {
		m.apply(Change{Item: Item{Key: key, Revision: asOf}, Removed: true})
	}
}

// missing returns the known keys that a full read as of the revision did not hold.
func (m *Mirror) missing(present map[string]bool, asOf uint64) []string {
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
	waitFor := m.o.Wait
	if !m.Reachable() {
		waitFor = firstWait // to learn soon that the store is back
	}
	call, cancel := context.WithTimeout(ctx, waitFor+slack)
	defer cancel()
	changes, asOf, err := m.o.Store.Watch(call, m.o.Prefix, after, waitFor)
	if err != nil {
		return after, err
	}
	for _, change := range changes {
		m.apply(change)
		asOf = max(asOf, change.Revision)
	}
	if len(changes) == 0 && time.Since(sent) >= waitFor {
		sent = sent.Add(waitFor) // the store had nothing to say until then
	}
	m.synced(sent)
	return max(after, asOf), nil
}

// apply passes a change on unless a newer one of its key is known.
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
	m.mu.Unlock()
	if change.Removed && !ok {
		return
	}
	if err := m.o.Guard.Do("change of "+change.Key, func() { m.o.Apply(change) }); err != nil {
		m.o.Log.Error("change not taken in", zap.Uint64("revision", change.Revision), zap.Error(err))
	}
}

func (m *Mirror) synced(asOf time.Time) {
	m.mu.Lock()
	m.contact = asOf
	m.mu.Unlock()
	if m.o.Synced != nil {
		m.o.Synced(asOf)
	}
}

func (m *Mirror) note(err error) {
	m.mu.Lock()
	changed := m.reachable != (err == nil)
	m.reachable = err == nil
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		events.Warn(m.o.Log, events.StoreUnreachable, zap.String("prefix", m.o.Prefix), zap.Error(err))
		return
	}
	events.Info(m.o.Log, events.StoreReachable, zap.String("prefix", m.o.Prefix))
}
