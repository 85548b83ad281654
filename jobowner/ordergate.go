package jobowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOrders limits the orders that are in progress at the same time. More would be queued for the CPU of
	// this instance while their timeouts run.
	maxOrders = 32
	// orderSlotTime is how long an order without an answer counts as in progress, besides the lag, so that
	// unresponsive workers do not delay the orders to others.
	orderSlotTime = 25 * time.Millisecond
)

// orderGate limits the orders in progress.
type orderGate struct {
	slots   chan struct{}
	waiting atomic.Int64 // orders that wait for a slot
	// allowance is what the lag of this instance adds to a call.
	allowance func() time.Duration
}

func newOrderGate(allowance func() time.Duration) *orderGate {
	return &orderGate{slots: make(chan struct{}, maxOrders), allowance: allowance}
}

// enter waits until an order may be sent, and reports whether ctx still runs. The caller calls leave when the
// order has its answer.
func (g *orderGate) enter(ctx context.Context) (leave func(), ok bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	select {
	case <-ctx.Done():
		return nil, false
	case g.slots <- struct{}{}:
	}
	free := sync.OnceFunc(func() { <-g.slots })
	timer := time.AfterFunc(orderSlotTime+g.allowance(), free)
	return func() {
		timer.Stop()
		free()
	}, true
}
