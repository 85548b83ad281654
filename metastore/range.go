package metastore

import (
	"context"
	"errors"
	"time"
)

const (
	// answerTimeout is the timeout of a request for a page. It covers a store that responds 60 times slower
	// than its usual 4 ms, and a page of 1 MB in base64 over a link of 20 Mbit/s.
	answerTimeout = 900 * time.Millisecond
	// maxAnswerTimeout is the timeout after several answers that did not end in time. While no answer begins,
	// the timeout stays short, so that the end of an outage is detected soon.
	maxAnswerTimeout = 8 * answerTimeout
)

// transferTimeout returns how long an answer may take after a number of failed calls in a row, of which the
// given number had an answer that did not end in time.
func transferTimeout(failures, incomplete int) time.Duration {
	if incomplete > 0 {
		return min(answerTimeout<<min(incomplete, 3), maxAnswerTimeout)
	}
	return answerTimeout << min(failures, 1)
}

// RangeReader reads all items with a prefix page by page. It keeps the pages that it has read, so that a read
// that takes long continues after a failure.
type RangeReader struct {
	store      Store
	prefix     string
	began      time.Time
	items      []Item
	asOf       uint64
	failures   int // of the next page
	incomplete int // failures whose answer began
}

// NewRangeReader returns a reader of the items with the prefix.
func NewRangeReader(store Store, prefix string) *RangeReader {
	return &RangeReader{store: store, prefix: prefix}
}

// Read returns all items and the lowest revision that any page reflects. A watch from that revision misses
// no change. After an error, the next call continues with the page that failed. Its timeout is longer if the answer began.
func (r *RangeReader) Read(ctx context.Context) ([]Item, uint64, error) {
	for {
		page, err := r.next(ctx)
		if err != nil {
			r.failures++
			if errors.Is(err, ErrIncomplete) {
				r.incomplete++
			}
			return nil, 0, err
		}
		r.failures, r.incomplete = 0, 0
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
	call, cancel := context.WithTimeout(ctx, transferTimeout(r.failures, r.incomplete))
	defer cancel()
	return r.store.Range(call, r.prefix, after)
}
