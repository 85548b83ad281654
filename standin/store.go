// Package standin implements in-memory stand-ins for the platform: the key-value store, the
// list of instances and workers, and the workers. They inject the faults that the system
// must tolerate, and are used by tests, the demo and measurements.
package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

// errNoAnswer reports a call without a reply. The outcome of a write is then unknown.
var errNoAnswer = errors.New("store does not answer")

// StoreFaults selects the faults that a Store injects.
type StoreFaults struct {
	Down             bool          // calls fail and have no effect
	CallDelay        time.Duration // added to every call
	LoseWriteReplies int           // number of further writes that are applied but whose reply is lost
	DelayedWrites    int           // number of further writes that are applied after the caller's context ended
	StaleReads       bool          // Get and List return the value before the last write
	WatchLag         time.Duration // delay before a change is visible to watches
}

// Store is an in-memory key-value store. It implements remote.Store.
type Store struct {
	mu       sync.Mutex
	faults   StoreFaults
	revision uint64
	entries  map[string]*storeEntry
	leases   map[remote.LeaseID]*storeLease
	nextID   remote.LeaseID
	changed  chan struct{} // closed and replaced at each change
	calls    map[string]int
}

type storeEntry struct {
	kv               remote.KV
	previous         []byte // value before the last write
	previousRevision uint64
	lease            remote.LeaseID
	deleted          bool
	writtenAt        time.Time
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]*storeEntry{},
		leases:  map[remote.LeaseID]*storeLease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		c[k] = n
	}
	return c
}

// ExpireLeases expires all leases, as if their holders had stopped renewing them.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(-time.Nanosecond)
	}
	s.removeExpired()
}

// beginCall counts the call, applies the injected delay or outage, and returns with s.mu held if
// there is no error.
func (s *Store) beginCall(ctx context.Context, call string) error {
	s.mu.Lock()
	s.calls[call]++
	if d := s.faults.CallDelay; d > 0 {
		s.mu.Unlock()
		if !wait.For(ctx, d) {
			return ctx.Err()
		}
		s.mu.Lock()
	}
	if s.faults.Down {
		s.mu.Unlock()
		return errNoAnswer
	}
	s.removeExpired()
	return nil
}

// removeExpired deletes expired leases and their entries.
func (s *Store) removeExpired() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expiresAt.After(now) {
			continue
		}
		s.removeLease(id)
	}
}

func (s *Store) removeLease(id remote.LeaseID) {
	delete(s.leases, id)
	for _, e := range s.entries {
		if e.lease == id && !e.deleted {
			s.write(e, nil)
		}
	}
}

// write sets an entry and notifies the watches. A nil value deletes it.
func (s *Store) write(e *storeEntry, value []byte) {
	s.revision++
	e.previous, e.previousRevision = e.kv.Value, e.kv.Revision
	if e.kv.Created == 0 || e.deleted {
		e.kv.Created = s.revision
	}
	e.kv.Value, e.kv.Revision = slices.Clone(value), s.revision
	e.deleted = value == nil
	e.writtenAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeReplyError returns an error if the reply to this write is to be lost.
func (s *Store) writeReplyError() error {
	if s.faults.LoseWriteReplies > 0 {
		s.faults.LoseWriteReplies--
		return errNoAnswer
	}
	return nil
}

// readEntry returns the entry as Get and List return it, and whether it exists.
func (s *Store) readEntry(e *storeEntry) (remote.KV, bool) {
	kv := e.kv
	if s.faults.StaleReads && e.previousRevision != 0 {
		kv.Value, kv.Revision = e.previous, e.previousRevision
		return kv, kv.Value != nil
	}
	return kv, !e.deleted
}

// Get implements remote.Store.
func (s *Store) Get(ctx context.Context, key string) (remote.KV, error) {
	if err := s.beginCall(ctx, "get"); err != nil {
		return remote.KV{}, err
	}
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return remote.KV{}, remote.ErrNotFound
	}
	kv, ok := s.readEntry(e)
	if !ok {
		return remote.KV{}, remote.ErrNotFound
	}
	return kv, nil
}

// List implements remote.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]remote.KV, error) {
	if err := s.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var kvs []remote.KV
	for key, e := range s.entries {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if kv, ok := s.readEntry(e); ok {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b remote.KV) int { return strings.Compare(a.Key, b.Key) })
	return kvs[:min(len(kvs), limit)], nil
}

// delayedWriteAfter is the time from the end of the caller's context to the effect of a delayed
// write. It is long enough for the caller to read the entry before the write.
const delayedWriteAfter = 50 * time.Millisecond

// takeDelayedWrite reports whether the next write is to be delayed, and counts it.
func (s *Store) takeDelayedWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayedWrites == 0 || s.faults.Down {
		return false
	}
	s.faults.DelayedWrites--
	return true
}

// CompareAndSwap implements remote.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if s.takeDelayedWrite() {
		<-ctx.Done()
		time.AfterFunc(delayedWriteAfter, func() { _, _ = s.swap(context.WithoutCancel(ctx), key, expect, value, lease) })
		return 0, ctx.Err()
	}
	return s.swap(ctx, key, expect, value, lease)
}

func (s *Store) swap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.beginCall(ctx, "swap"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(value) > remote.MaxValueBytes {
		return 0, remote.ErrTooLarge
	}
	if lease != 0 && s.leases[lease] == nil {
		return 0, remote.ErrLeaseEnded
	}
	e := s.entries[key]
	if e == nil {
		e = &storeEntry{kv: remote.KV{Key: key}, deleted: true}
	}
	if current := e.currentRevision(); current != expect {
		return 0, remote.ErrConflict
	}
	s.entries[key] = e
	e.lease = lease
	if value == nil {
		value = []byte{}
	}
	s.write(e, value)
	return s.revision, s.writeReplyError()
}

func (e *storeEntry) currentRevision() uint64 {
	if e.deleted {
		return 0
	}
	return e.kv.Revision
}

// Delete implements remote.Store.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.beginCall(ctx, "delete"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.deleted {
		return remote.ErrNotFound
	}
	if e.kv.Revision != expect {
		return remote.ErrConflict
	}
	s.write(e, nil)
	return s.writeReplyError()
}

// Watch implements remote.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]remote.KV, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		call := "watch"
		if !first {
			call = "watch-wake" // counted apart, as it is not a call of the caller
		}
		if err := s.beginCall(ctx, call); err != nil {
			return nil, 0, err
		}
		kvs, revision, lag := s.changedSince(prefix, after), s.revision, s.faults.WatchLag
		changed := s.changed
		s.mu.Unlock()
		if len(kvs) > 0 {
			return kvs, revision, nil
		}
		var retry <-chan time.Time
		if lag > 0 {
			retry = time.After(lag)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return s.watchTimedOut(after)
		case <-changed:
		case <-retry:
		}
	}
}

func (s *Store) watchTimedOut(after uint64) ([]remote.KV, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, 0, errNoAnswer
	}
	if s.faults.WatchLag > 0 {
		return nil, after, nil
	}
	return nil, s.revision, nil
}

func (s *Store) changedSince(prefix string, after uint64) []remote.KV {
	visible := time.Now().Add(-s.faults.WatchLag)
	var kvs []remote.KV
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.kv.Revision > after && !e.writtenAt.After(visible) {
			kvs = append(kvs, e.kv)
		}
	}
	slices.SortFunc(kvs, func(a, b remote.KV) int { return strings.Compare(a.Key, b.Key) })
	return kvs
}

// GrantLease implements remote.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (remote.LeaseID, error) {
	if err := s.beginCall(ctx, "lease-grant"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.nextID, s.writeReplyError()
}

// RenewLease implements remote.Store.
func (s *Store) RenewLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.beginCall(ctx, "lease-renew"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return remote.ErrLeaseEnded
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return s.writeReplyError()
}

// RevokeLease implements remote.Store.
func (s *Store) RevokeLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.beginCall(ctx, "lease-revoke"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return remote.ErrLeaseEnded
	}
	s.removeLease(id)
	return s.writeReplyError()
}
