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
	// maxSilentOrders limits, apart from those, the orders in progress to workers that have left a call without
	// an answer, so that they do not delay the orders to others.
	maxSilentOrders = 16
	// maxWorkerOrders limits those to one worker, so that a few workers do not take all slots before it is known
	// that they do not answer.
	maxWorkerOrders = 2
	// orderSlotTime is how long an order without an answer counts as in progress, besides the lag.
	orderSlotTime = 25 * time.Millisecond
	// maxFirstReports limits the first reports in progress of workers without recorded runs, so that workers with
	// runs report first in a large fleet. firstReportSlotTime is how long one without an answer counts.
	maxFirstReports     = 48
	firstReportSlotTime = 100 * time.Millisecond
)

// callGate limits the calls in progress. A call without an answer gives its slot away after a while.
type callGate struct {
	slots    chan struct{}
	slotTime func() time.Duration
	waiting  atomic.Int64 // calls that wait for a slot
}

func newCallGate(slots int, slotTime func() time.Duration) *callGate {
	return &callGate{slots: make(chan struct{}, slots), slotTime: slotTime}
}

// enter waits until a call may be made, and reports whether ctx still runs. The caller calls leave when the call
// has its answer. If that takes longer than the slot time, overdue is called.
func (g *callGate) enter(ctx context.Context, overdue func()) (leave func(), ok bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	select {
	case <-ctx.Done():
		return nil, false
	case g.slots <- struct{}{}:
	}
	free := sync.OnceFunc(func() { <-g.slots })
	timer := time.AfterFunc(g.slotTime(), func() {
		free()
		overdue()
	})
	return func() {
		timer.Stop()
		free()
	}, true
}

// enterOrder waits until an order to the worker may be sent. The caller calls leave when the order has its answer.
func (a *agent) enterOrder(ctx context.Context) (leave func(), ok bool) {
	for !a.isSilent() {
		leaveWorker, ok := a.orders.enter(ctx, func() {})
		if !ok {
			return nil, false
		}
		leaveAll, ok := a.t.orders.enter(ctx, a.setSilent)
		if !ok {
			leaveWorker()
			return nil, false
		}
		leave := func() {
			leaveAll()
			leaveWorker()
		}
		if !a.isSilent() {
			return leave, true
		}
		leave() // an order to the worker that was sent meanwhile has no answer
	}
	return a.t.silentOrders.enter(ctx, a.setSilent)
}

func (a *agent) isSilent() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.silent
}

func (a *agent) setSilent() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.silent = true
}
