package gateway

import (
	"context"
	"sync"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

// inflight counts the requests in flight. Drain waits for them on shutdown.
type inflight struct {
	mu           sync.Mutex
	count        int
	drainStarted chan struct{} // closed when draining starts
	idle         chan struct{} // closed when draining and no request is in flight
	isDraining   bool
}

func (f *inflight) init() {
	f.drainStarted = make(chan struct{})
	f.idle = make(chan struct{})
}

// enter registers a request. It returns false if the server is draining.
func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDraining {
		return false
	}
	f.count++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.isDraining && f.count == 0 {
		close(f.idle)
	}
}

func (f *inflight) drain(ctx context.Context) error {
	f.mu.Lock()
	if !f.isDraining {
		f.isDraining = true
		close(f.drainStarted)
		if f.count == 0 {
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
		return errkind.Wrap(errkind.ShuttingDown, ctx.Err(), "%d requests are still in flight", f.count)
	}
}
