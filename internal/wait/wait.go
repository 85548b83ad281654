// Package wait holds the pause that loops make between rounds.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether it waited for all of d.
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
