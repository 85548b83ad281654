package gateway

import (
	"context"
	"sync"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

// inflight counts requests and lets a stop wait for them.
type inflight struct {
	mu       sync.Mutex
	n        int
	draining chan struct{} // closed when new requests are refused
	idle     chan struct{} // closed when draining and no request is left
	stopped  bool
}

func (f *inflight) init() {
	f.draining = make(chan struct{})
	f.idle = make(chan struct{})
}

func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	f.n++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.stopped && f.n == 0 {
		close(f.idle)
	}
}

func (f *inflight) drain(ctx context.Context) error {
	f.mu.Lock()
	if !f.stopped {
		f.stopped = true
		close(f.draining)
		if f.n == 0 {
			close(f.idle)
		}
	}
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return errkind.Wrap(errkind.ShuttingDown, ctx.Err(), "%d requests are still in flight", f.n)
	}
}
