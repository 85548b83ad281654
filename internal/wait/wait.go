// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
