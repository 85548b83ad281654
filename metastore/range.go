package metastore

import (
	"context"
	"time"
)

const (
	// pageTimeout is the timeout of the first request for a page. It doubles with each failure of the same
	// page, up to maxPageTimeout. It covers a store that responds 60 times slower than its usual 4 ms, and a
	// page of 1 MB in base64 over a link of 20 Mbit/s.
	pageTimeout    = 900 * time.Millisecond
	maxPageTimeout = 8 * pageTimeout
)

// RangeReader reads all items with a prefix page by page. It keeps the pages that it has read, so that a read
// that takes long continues after a failure.
type RangeReader struct {
	store    Store
	prefix   string
	began    time.Time
	items    []Item
	asOf     uint64
	failures int // of the next page
}

// NewRangeReader returns a reader of the items with the prefix.
func NewRangeReader(store Store, prefix string) *RangeReader {
	return &RangeReader{store: store, prefix: prefix}
}

// Read returns all items and the lowest revision that any page reflects. A watch from that revision misses
// no change. After an error, the next call continues with the page that failed and a longer timeout.
func (r *RangeReader) Read(ctx context.Context) ([]Item, uint64, error) {
	for {
		page, err := r.next(ctx)
		if err != nil {
			r.failures++
			return nil, 0, err
		}
		r.failures = 0
		if r.asOf == 0 || page.AsOf < r.asOf {
			r.asOf = page.AsOf
		}
		r.items = append(r.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return r.items, r.asOf, nil
		}
	}
}

// Began returns when the first page was requested. The items include all changes made before.
func (r *RangeReader) Began() time.Time { return r.began }

func (r *RangeReader) next(ctx context.Context) (Page, error) {
	after := ""
	if n := len(r.items); n > 0 {
		after = r.items[n-1].Key
	} else {
		r.began = time.Now()
	}
	call, cancel := context.WithTimeout(ctx, min(pageTimeout<<min(r.failures, 3), maxPageTimeout))
	defer cancel()
	return r.store.Range(call, r.prefix, after)
}
