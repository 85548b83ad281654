// Package testplatform implements the users' platform in memory for tests: a store with transactions,
// leases and watches, and a fleet of workers that executes orders and checks the rules for running tasks.
// Both use package time only, so that they work inside testing/synctest.
package testplatform

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// ErrNoAnswer is returned for a call whose answer was lost.
var ErrNoAnswer = errors.New("no answer")

// Fault is a fault that is injected into one call.
type Fault int

// Faults of a call.
const (
	None       Fault = iota
	Refused          // answered with a refusal and not executed
	AnswerLost       // executed, but the answer is lost
	Late             // not answered; commits, lease renewals and orders are executed lateDelay later
	Silent           // neither executed nor answered; the caller waits until its context ends
	Isolated         // as Silent, for an instance that reaches neither the store nor workers
)

const (
	// defaultLatency is how long a call to the store takes.
	defaultLatency = 4 * time.Millisecond
	// lateDelay is how long after the call a commit, lease renewal or order with fault Late is executed.
	lateDelay = 3 * time.Second
)

// Store is an in-memory key-value store.
type Store struct {
	PageSize int // maximum number of items of a page

	mu          sync.Mutex
	revision    uint64
	compactedTo uint64 // the history starts after this revision
	items       map[string]metastore.Item
	keys        []string // of items, in order
	leases      map[int64]*lease
	keyLeases   map[string]int64 // lease of each key that has one
	history     []metastore.Change
	changed     map[string]chan struct{} // by the prefix of the waiting watches; closed at a change
	lastLease   int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]metastore.Item{}, leases: map[int64]*lease{}, keyLeases: map[string]int64{}, changed: map[string]chan struct{}{}, PageSize: defaultPageSize}
}

// Compact discards the history, so that watches from an earlier revision fail with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.revision
	s.history = nil
	for prefix := range s.changed {
		s.notify(prefix)
	}
}

// Put writes a key without a condition, as the operator and the workers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value)
}

// Remove removes a key without a condition, as the operator and the workers do.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns the value of the key.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	return item.Value, ok
}

// notify ends the waits of the watches whose prefix matches the key.
func (s *Store) notify(key string) {
	for prefix, changed := range s.changed {
		if strings.HasPrefix(key, prefix) {
			close(changed)
			delete(s.changed, prefix)
		}
	}
}

// record appends a change to the history and discards the older half of a history that is too long.
func (s *Store) record(change metastore.Change) {
	if len(s.history) == maxHistory {
		s.compactedTo = s.history[maxHistory/2-1].Revision
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.history = append(s.history, change)
	s.notify(change.Key)
}

func (s *Store) put(key string, value []byte) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	} else {
		n, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, n, key)
	}
	item := metastore.Item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = item
	delete(s.keyLeases, key)
	s.record(metastore.Change{Item: item})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.keyLeases, key)
	n, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, n, n+1)
	s.record(metastore.Change{Item: metastore.Item{Key: key, Revision: s.revision}, Removed: true})
}

// expire ends expired leases and removes their keys. The caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.keyLeases)) {
		if s.keyLeases[key] == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *Store) commit(txn metastore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	met := true
	conflict := &metastore.ConflictError{}
	for _, c := range txn.If {
		item, ok := s.items[c.Key]
		met = met && item.Revision == c.Revision
		if ok {
			conflict.Current = append(conflict.Current, item)
		}
	}
	if !met {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, metastore.ErrLeaseEnded
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value)
		if p.Lease != 0 {
			s.keyLeases[p.Key] = p.Lease
		}
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	return s.revision, nil
}

// Client is the connection of one instance to the store, with its own faults and latency. It implements
// metastore.Store.
type Client struct {
	store *Store

	faultMu sync.Mutex // held during calls of fault, so that they do not overlap
	fault   func(call string) Fault
	latency time.Duration            // of each call
	slow    map[string]time.Duration // latency of calls of a kind, in place of latency
}

var _ metastore.Store = (*Client)(nil)

// NewClient returns a client without faults.
func (s *Store) NewClient() *Client {
	c := &Client{store: s, latency: defaultLatency, slow: map[string]time.Duration{}}
	c.SetFault(func(string) Fault { return None })
	return c
}

// SetFault replaces the function that chooses the fault of each call.
func (c *Client) SetFault(f func(call string) Fault) {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	c.fault = f
}

// SetLatency sets how long each call takes.
func (c *Client) SetLatency(latency time.Duration) {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	c.latency = latency
}

// SetLatencyOf sets how long each call of a kind takes.
func (c *Client) SetLatencyOf(call string, latency time.Duration) {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	c.slow[call] = latency
}

// nextFault returns the latency and the fault of a call.
func (c *Client) nextFault(call string) (time.Duration, Fault) {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	latency, ok := c.slow[call]
	if !ok {
		latency = c.latency
	}
	return latency, c.fault(call)
}

// do executes the call f with its fault. With fault Late it executes late after lateDelay instead, or
// nothing if late is nil.
func (c *Client) do(ctx context.Context, call string, late func(), f func() error) error {
	latency, fault := c.nextFault(call)
	if !wait.For(ctx, latency) {
		return ctx.Err()
	}
	switch fault {
	case Refused:
		return metastore.ErrRefused
	case Silent, Isolated:
		<-ctx.Done()
		return ctx.Err()
	case AnswerLost:
		if err := f(); errors.Is(err, metastore.ErrNotFound) {
			return err
		}
		return ErrNoAnswer
	case Late:
		if late != nil {
			time.AfterFunc(lateDelay, late)
		}
		<-ctx.Done()
		return ctx.Err()
	}
	return f()
}

// Get implements metastore.Store.
func (c *Client) Get(ctx context.Context, key string) (item metastore.Item, err error) {
	err = c.do(ctx, "get", nil, func() error {
		s := c.store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		var ok bool
		if item, ok = s.items[key]; !ok {
			return metastore.ErrNotFound
		}
		return nil
	})
	return item, err
}

// defaultPageSize makes tests with a few items read several pages.
const defaultPageSize = 20

// maxHistory is the number of changes at which the older half of the history is discarded.
const maxHistory = 40_000

// Range implements metastore.Store.
func (c *Client) Range(ctx context.Context, prefix, after string) (page metastore.Page, err error) {
	err = c.do(ctx, "range", nil, func() error {
		s := c.store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		page = metastore.Page{AsOf: s.revision}
		first, _ := slices.BinarySearch(s.keys, max(prefix, after))
		for _, key := range s.keys[first:] {
			if key == after {
				continue
			}
			if !strings.HasPrefix(key, prefix) {
				break
			}
			if len(page.Items) == s.PageSize {
				page.More = true
				break
			}
			page.Items = append(page.Items, s.items[key])
		}
		return nil
	})
	return page, err
}

// Watch implements metastore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, waitFor time.Duration) (changes []metastore.Change, asOf uint64, err error) {
	deadline := time.Now().Add(waitFor)
	err = c.do(ctx, "watch", nil, func() error {
		for {
			var changed chan struct{}
			if changes, asOf, changed, err = c.store.changesAfter(prefix, after); err != nil || len(changes) > 0 {
				return err
			}
			timer := time.NewTimer(min(time.Until(deadline), leaseCheckInterval))
			select {
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
			if !time.Now().Before(deadline) {
				return nil
			}
		}
	})
	return changes, asOf, err
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

func (s *Store) changesAfter(prefix string, after uint64) ([]metastore.Change, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compactedTo {
		return nil, 0, nil, metastore.ErrCompacted
	}
	var changes []metastore.Change
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(c metastore.Change, revision uint64) int { return cmp.Compare(c.Revision, revision) })
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	if s.changed[prefix] == nil {
		s.changed[prefix] = make(chan struct{})
	}
	return changes, s.revision, s.changed[prefix], nil
}

// Commit implements metastore.Store.
func (c *Client) Commit(ctx context.Context, txn metastore.Txn) (revision uint64, err error) {
	err = c.do(ctx, "commit", func() { _, _ = c.store.commit(txn) }, func() error {
		var err error
		revision, err = c.store.commit(txn)
		return err
	})
	return revision, err
}

// Grant implements metastore.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = c.do(ctx, "grant", nil, func() error {
		s := c.store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastLease++
		id = s.lastLease
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// KeepAlive implements metastore.Store.
func (c *Client) KeepAlive(ctx context.Context, id int64) error {
	renew := func() error { return c.store.renew(id) }
	return c.do(ctx, "keepalive", func() { _ = renew() }, renew) // the caller of a late renewal has returned
}

func (s *Store) renew(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return metastore.ErrLeaseEnded
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements metastore.Store.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	return c.do(ctx, "revoke", nil, func() error {
		s := c.store
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return metastore.ErrLeaseEnded
		}
		s.endLease(id)
		return nil
	})
}
