// Package standin holds small in-memory stand-ins of the platform: the key-value
// store, the list of instances and workers, and the workers, with switches for the
// faults that the system must survive. They serve tests, the demo and measurements.
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

// errNoAnswer is what a caller sees when the store does not answer. It leaves the
// outcome of a write unknown.
var errNoAnswer = errors.New("store does not answer")

// StoreFaults are the fault switches of a Store.
type StoreFaults struct {
	Down             bool          // no call is answered or has an effect
	CallDelay        time.Duration // added to every call
	LoseWriteReplies int           // answers of the next writes are lost after the effect
	DelayedWrites    int           // the next writes take effect after their callers have given up
	StaleReads       bool          // Get and List answer with the value before the last write
	WatchLag         time.Duration // a change reaches watches this much later
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
	kv      remote.KV
	old     []byte // value before the last write
	oldRev  uint64
	lease   remote.LeaseID
	deleted bool
	at      time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
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

// SetFaults replaces the fault switches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often each call was made.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		c[k] = n
	}
	return c
}

// ExpireLeases ends every lease at once, as if its holder had been paused.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expires = time.Now().Add(-time.Nanosecond)
	}
	s.expire()
}

// begin counts the call, plays delay and outage, and returns with the lock held.
func (s *Store) begin(ctx context.Context, call string) error {
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
	s.expire()
	return nil
}

// expire deletes the entries of ended leases.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expires.After(now) {
			continue
		}
		s.dropLease(id)
	}
}

func (s *Store) dropLease(id remote.LeaseID) {
	delete(s.leases, id)
	for _, e := range s.entries {
		if e.lease == id && !e.deleted {
			s.write(e, nil)
		}
	}
}

// write changes an entry and wakes the watches. A nil value deletes it.
func (s *Store) write(e *storeEntry, value []byte) {
	s.revision++
	e.old, e.oldRev = e.kv.Value, e.kv.Revision
	if e.kv.Created == 0 || e.deleted {
		e.kv.Created = s.revision
	}
	e.kv.Value, e.kv.Revision = slices.Clone(value), s.revision
	e.deleted = value == nil
	e.at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeAnswer plays a lost answer.
func (s *Store) writeAnswer() error {
	if s.faults.LoseWriteReplies > 0 {
		s.faults.LoseWriteReplies--
		return errNoAnswer
	}
	return nil
}

// read returns the entry as reads see it.
func (s *Store) read(e *storeEntry) (remote.KV, bool) {
	kv := e.kv
	if s.faults.StaleReads && e.oldRev != 0 {
		kv.Value, kv.Revision = e.old, e.oldRev
		return kv, kv.Value != nil
	}
	return kv, !e.deleted
}

// Get implements remote.Store.
func (s *Store) Get(ctx context.Context, key string) (remote.KV, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return remote.KV{}, err
	}
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return remote.KV{}, remote.ErrNotFound
	}
	kv, ok := s.read(e)
	if !ok {
		return remote.KV{}, remote.ErrNotFound
	}
	return kv, nil
}

// List implements remote.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]remote.KV, error) {
	if err := s.begin(ctx, "list"); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var kvs []remote.KV
	for key, e := range s.entries {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if kv, ok := s.read(e); ok {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b remote.KV) int { return strings.Compare(a.Key, b.Key) })
	return kvs[:min(len(kvs), limit)], nil
}

// lateBy is how long after its caller has given up a late write takes effect. The
// caller has the time to read the entry before.
const lateBy = 50 * time.Millisecond

// takeLate reports whether the next write is late.
func (s *Store) takeLate() bool {
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
	if s.takeLate() {
		<-ctx.Done()
		time.AfterFunc(lateBy, func() { _, _ = s.swap(context.WithoutCancel(ctx), key, expect, value, lease) })
		return 0, ctx.Err()
	}
	return s.swap(ctx, key, expect, value, lease)
}

func (s *Store) swap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.begin(ctx, "swap"); err != nil {
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
	if current := e.current(); current != expect {
		return 0, remote.ErrConflict
	}
	s.entries[key] = e
	e.lease = lease
	if value == nil {
		value = []byte{}
	}
	s.write(e, value)
	return s.revision, s.writeAnswer()
}

func (e *storeEntry) current() uint64 {
	if e.deleted {
		return 0
	}
	return e.kv.Revision
}

// Delete implements remote.Store.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.begin(ctx, "delete"); err != nil {
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
	return s.writeAnswer()
}

// Watch implements remote.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]remote.KV, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		call := "watch"
		if !first {
			call = "watch-wake" // not a call of its own
		}
		if err := s.begin(ctx, call); err != nil {
			return nil, 0, err
		}
		kvs, revision, lag := s.changes(prefix, after), s.revision, s.faults.WatchLag
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
			return s.watchEnd(after)
		case <-changed:
		case <-retry:
		}
	}
}

func (s *Store) watchEnd(after uint64) ([]remote.KV, uint64, error) {
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

func (s *Store) changes(prefix string, after uint64) []remote.KV {
	visible := time.Now().Add(-s.faults.WatchLag)
	var kvs []remote.KV
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.kv.Revision > after && !e.at.After(visible) {
			kvs = append(kvs, e.kv)
		}
	}
	slices.SortFunc(kvs, func(a, b remote.KV) int { return strings.Compare(a.Key, b.Key) })
	return kvs
}

// GrantLease implements remote.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (remote.LeaseID, error) {
	if err := s.begin(ctx, "lease-grant"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextID, s.writeAnswer()
}

// RenewLease implements remote.Store.
func (s *Store) RenewLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.begin(ctx, "lease-renew"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return remote.ErrLeaseEnded
	}
	l.expires = time.Now().Add(l.ttl)
	return s.writeAnswer()
}

// RevokeLease implements remote.Store.
func (s *Store) RevokeLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.begin(ctx, "lease-revoke"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return remote.ErrLeaseEnded
	}
	s.dropLease(id)
	return s.writeAnswer()
}
