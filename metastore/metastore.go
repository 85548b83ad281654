// Package metastore defines the interface of the platform's key-value store: conditional transactions
// over several keys, leases and watches. It also provides mirrors of key ranges and a monitor of the
// store's availability.
package metastore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. After any other error, the outcome of a write is unknown.
var (
	ErrNotFound   = errors.New("key not found")
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrCompacted reports that the history after a revision has been compacted.
	ErrCompacted = errors.New("history no longer available")
	// ErrRefused reports that the store rejected the call without executing it.
	ErrRefused = errors.New("refused by the store")
	// ErrRejected reports that the store does not accept the content of the call, which had no effect: it fails
	// again if it is repeated.
	ErrRejected = errors.New("content rejected by the store")
	// ErrIncomplete reports that an answer began and did not end within the timeout.
	ErrIncomplete = errors.New("answer is incomplete")
)

// ConflictError reports that a condition of a transaction did not hold. The transaction had no effect.
type ConflictError struct {
	Current []Item // current items of the condition keys that exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition does not hold (%d current items)", len(e.Current))
}

// Find returns the current item of the key, if it exists.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Current {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Item is an entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last write
	Created  uint64 // revision of its creation
}

// Change is a write or a removal of an item.
type Change struct {
	Item
	Removed bool
}

// Page is one page of a range, in key order.
type Page struct {
	Items []Item
	More  bool
	AsOf  uint64 // store revision that the page reflects
}

// Condition requires that the key has the revision, or with revision 0 that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key. If Lease is not 0, the key is removed when that lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxTxnEntries is the maximum total of conditions, puts and removals in one transaction.
const MaxTxnEntries = 32

// Txn is a transaction. It is applied completely or not at all.
type Txn struct {
	If     []Condition
	Puts   []Put
	Remove []string
}

// Store is the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after the revision and the revision to continue from. It waits for a
	// change, and returns an empty list if there is none within the wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit returns the new revision, or an error such as *ConflictError, ErrLeaseEnded, ErrRefused or ErrRejected.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}
