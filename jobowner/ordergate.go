package jobowner

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/link"
)

const (
	// maxOrders limits the orders that are in progress at the same time. More would be queued for the CPU of
	// this instance while their timeouts run.
	maxOrders = 32
	// orderSlotTime is how long an order without an answer counts as in progress, besides the lag, so that
	// unresponsive workers do not delay the orders to others.
	orderSlotTime = 25 * time.Millisecond
	// maxOrderQueue and maxUrgentOrderQueue limit how much of the link's time is taken when an order is sent. The
	// others wait before their timeouts begin.
	maxOrderQueue       = 30 * time.Millisecond
	maxUrgentOrderQueue = 100 * time.Millisecond
	// orderOverhead is the size of an order without its payload, with headers.
	orderOverhead = 500
)

// orderGate limits the orders in progress, and the share of the link that waits for being sent. Orders of urgent jobs
// go first.
type orderGate struct {
	link *link.Meter
	// allowance is what the lag of this instance adds to a call.
	allowance func() time.Duration

	mu         sync.Mutex
	inProgress int
	admittedBy time.Time // when the link has sent the orders that were admitted
	urgent     []*waitingOrder
	others     []*waitingOrder
	retry      bool // admit is due when the link has less to send
}

// waitingOrder is an order that waits until it may be sent.
type waitingOrder struct {
	bytes    int
	admitted chan struct{} // closed when it may be sent
	leave    func()        // set before that
	expired  bool          // the order is not sent any more
}

func newOrderGate(l *link.Meter, allowance func() time.Duration) *orderGate {
	return &orderGate{link: l, allowance: allowance}
}

// enter waits until an order with a payload of the size may be sent, and reports whether ctx still runs. The caller
// calls leave when the order has its answer.
func (g *orderGate) enter(ctx context.Context, payload int, urgent bool) (leave func(), ok bool) {
	w := &waitingOrder{bytes: payload + orderOverhead, admitted: make(chan struct{})}
	g.mu.Lock()
	if urgent {
		g.urgent = append(g.urgent, w)
	} else {
		g.others = append(g.others, w)
	}
	g.admit()
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return w.leave, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	w.expired = true
	leave = w.leave
	g.mu.Unlock()
	if leave != nil {
		leave()
	}
	return nil, false
}

// admit lets waiting orders pass as long as the limits hold. The caller holds the lock.
func (g *orderGate) admit() {
	for g.inProgress < maxOrders {
		queue, limit := &g.urgent, maxUrgentOrderQueue
		if len(*queue) == 0 {
			queue, limit = &g.others, maxOrderQueue
		}
		if len(*queue) == 0 {
			return
		}
		w := (*queue)[0]
		if excess := max(g.link.Queue(), time.Until(g.admittedBy)) - limit; excess > 0 && !w.expired {
			g.admitAfter(excess)
			return
		}
		*queue = (*queue)[1:]
		if !w.expired {
			g.pass(w)
		}
	}
}

// pass lets an order pass. The caller holds the lock.
func (g *orderGate) pass(w *waitingOrder) {
	if now := time.Now(); g.admittedBy.Before(now) {
		g.admittedBy = now
	}
	g.admittedBy = g.admittedBy.Add(g.link.TimeOf(w.bytes))
	g.inProgress++
	free := sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inProgress--
		g.admit()
	})
	timer := time.AfterFunc(orderSlotTime+g.allowance(), free)
	w.leave = func() {
		timer.Stop()
		free()
	}
	close(w.admitted)
}

// admitAfter calls admit after d. The caller holds the lock.
func (g *orderGate) admitAfter(d time.Duration) {
	if g.retry {
		return
	}
	g.retry = true
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.retry = false
		g.admit()
	})
}

// counts returns the numbers of orders in progress and of those that wait.
func (g *orderGate) counts() (inProgress, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inProgress, len(g.urgent) + len(g.others)
}
