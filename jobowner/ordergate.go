package jobowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/link"
)

const (
	// maxOrders limits the orders that are in progress at the same time. More would be queued for the CPU of
	// this instance while their timeouts run.
	maxOrders = 32
	// maxSilentOrders limits, apart from those, the orders in progress to workers that have left a call without
	// an answer, so that they do not delay the orders to others.
	maxSilentOrders = 16
	// maxWorkerOrders limits the orders in progress to one worker, so that a few workers do not take all places
	// before it is known that they do not answer.
	maxWorkerOrders = 2
	// orderSlotTime is how long an order without an answer counts as in progress, besides the lag.
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
	limit    int  // orders in progress
	silent   bool // for workers that have left a call without an answer
	link     *link.Meter
	slotTime func() time.Duration // how long an order without an answer counts as in progress

	mu         sync.Mutex
	inProgress int
	byWorker   map[*agent]int // orders in progress
	admittedBy time.Time      // when the link has sent the orders that were admitted
	urgent     []*waitingOrder
	others     []*waitingOrder
	retry      bool // admit is due when the link has less to send
}

// waitingOrder is an order that waits until it may be sent.
type waitingOrder struct {
	agent   *agent
	bytes   int
	settled chan struct{} // closed when it may be sent or has left the queue
	leave   func()        // set before that if it may be sent
	expired bool          // the order is not sent any more
}

func newOrderGate(limit int, silent bool, l *link.Meter, slotTime func() time.Duration) *orderGate {
	return &orderGate{limit: limit, silent: silent, link: l, slotTime: slotTime, byWorker: map[*agent]int{}}
}

// enter waits until an order to the worker with a payload of the size may be sent. The caller calls leave when the
// order has its answer. leave is nil if ctx has ended or, unless the gate is for them, the worker has become silent.
func (g *orderGate) enter(ctx context.Context, a *agent, payload int, urgent bool) (leave func()) {
	w := &waitingOrder{agent: a, bytes: payload + orderOverhead, settled: make(chan struct{})}
	g.mu.Lock()
	if urgent {
		g.urgent = append(g.urgent, w)
	} else {
		g.others = append(g.others, w)
	}
	g.admit()
	g.mu.Unlock()
	select {
	case <-w.settled:
		return w.leave
	case <-ctx.Done():
	}
	g.mu.Lock()
	w.expired = true
	leave = w.leave
	g.mu.Unlock()
	if leave != nil {
		leave()
	}
	return nil
}

// admit lets waiting orders pass as long as the limits hold. The caller holds the lock.
func (g *orderGate) admit() {
	for g.inProgress < g.limit {
		w, limit := g.next(&g.urgent), maxUrgentOrderQueue
		if w == nil {
			w, limit = g.next(&g.others), maxOrderQueue
		}
		if w == nil {
			return
		}
		if excess := max(g.link.Queue(), time.Until(g.admittedBy)) - limit; excess > 0 {
			g.admitAfter(excess)
			return
		}
		g.pass(w)
	}
}

// next returns the first order in the queue whose worker has few others in progress, or nil, and removes those that
// are not sent here any more. The caller holds the lock.
func (g *orderGate) next(queue *[]*waitingOrder) *waitingOrder {
	var first *waitingOrder
	*queue = slices.DeleteFunc(*queue, func(w *waitingOrder) bool {
		switch {
		case first != nil:
			return false
		case w.expired, w.leave != nil:
			return true
		case !g.silent && w.agent.silent.Load():
			close(w.settled)
			return true
		case g.byWorker[w.agent] < maxWorkerOrders:
			first = w
		}
		return false
	})
	return first
}

// pass lets an order pass. It stays in its queue until next removes it. The caller holds the lock.
func (g *orderGate) pass(w *waitingOrder) {
	if now := time.Now(); g.admittedBy.Before(now) {
		g.admittedBy = now
	}
	g.admittedBy = g.admittedBy.Add(g.link.TimeOf(w.bytes))
	g.inProgress++
	g.byWorker[w.agent]++
	free := sync.OnceFunc(func() { g.free(w.agent) })
	timer := time.AfterFunc(g.slotTime()+time.Until(g.admittedBy), func() {
		w.agent.silent.Store(true)
		free()
	})
	w.leave = func() {
		timer.Stop()
		free()
	}
	close(w.settled)
}

// free ends the time in which an order to the worker counts as in progress.
func (g *orderGate) free(a *agent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	if g.byWorker[a]--; g.byWorker[a] == 0 {
		delete(g.byWorker, a)
	}
	g.admit()
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
	for _, queue := range [][]*waitingOrder{g.urgent, g.others} {
		for _, w := range queue {
			if !w.expired && w.leave == nil {
				waiting++
			}
		}
	}
	return g.inProgress, waiting
}

// enterOrder waits until an order with a payload of the size may be sent to the worker. The caller calls leave when
// the order has its answer.
func (a *agent) enterOrder(ctx context.Context, payload int, urgent bool) (leave func(), ok bool) {
	if !a.silent.Load() {
		if leave = a.t.orders.enter(ctx, a, payload, urgent); leave != nil {
			return leave, true
		}
	}
	leave = a.t.silentOrders.enter(ctx, a, payload, urgent)
	return leave, leave != nil
}
