// Package metastore describes the platform's key-value store as the product uses it:
// conditional transactions over several keys, leases and watches. It also keeps mirrors
// of key ranges.
package metastore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. Every other error leaves the outcome of a write unknown.
var (
	ErrNotFound = errors.New("key not found")
	ErrNoLease  = errors.New("lease has ended")
	// ErrCompacted reports that the changes after a revision are no longer kept.
	ErrCompacted = errors.New("history no longer available")
	// ErrRefused reports that the store did nothing.
	ErrRefused = errors.New("refused by the store")
)

// ConflictError reports that a condition of a transaction did not hold; nothing was done.
type ConflictError struct {
	Current []Item // the items of the conditions that exist, as they are
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition does not hold (%d current items)", len(e.Current))
}

// Find returns the current item of the key.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Current {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Item is one entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last write
	Created  uint64 // revision of its creation
}

// Change is an item as it was written, or its removal.
type Change struct {
	Item
	Removed bool
}

// Page is a part of a range in key order.
type Page struct {
	Items []Item
	More  bool
	AsOf  uint64 // revision of the store
}

// Condition requires that a key has the revision. 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key. A lease other than 0 removes it when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxTxnEntries is how many conditions, puts and removals one transaction may hold together.
const MaxTxnEntries = 32

// Txn is carried out as a whole or not at all.
type Txn struct {
	If     []Condition
	Puts   []Put
	Remove []string
}

// Store is the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after the revision and the revision to go on from. It
	// waits for a change; with none it returns an empty list after the wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit returns the new revision, a *ConflictError, ErrNoLease or ErrRefused.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// RangeAll returns all items with the prefix and the lowest revision that any page
// reflects; a watch from there misses no change.
func RangeAll(ctx context.Context, store Store, prefix string) ([]Item, uint64, error) {
	var (
		all   []Item
		asOf  uint64
		after string
	)
	for {
		page, err := store.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if asOf == 0 || page.AsOf < asOf {
			asOf = page.AsOf
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, asOf, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
