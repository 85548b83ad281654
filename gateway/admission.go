package gateway

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/slots"
)

// acquireSlice bounds one wait of the dispatcher for a slot, after which it looks again
// whether anything waits.
const acquireSlice = 250 * time.Millisecond

// hopelessWait is by how much the estimated wait must exceed the time left for a request
// to be refused at once, since the estimate follows the last dispatches only.
const hopelessWait = 2

// admission gives the request a slot: at once when one is free and nothing waits, else
// in its workspace's turn.
func (s *Server) admission(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		c.svc.budget.deposit()
		if c.svc.queue.size() == 0 {
			c.slot = s.opts.Slots.TryAcquire(slots.Requirements{Service: c.service, Idempotent: c.idempotent})
		}
		if c.slot == nil {
			if err := s.waitForSlot(ctx, c); err != nil {
				return nil, err
			}
		}
		return next(ctx, request)
	}
}

// waitForSlot queues the request until the dispatcher serves it, the caller goes away or
// the deadline cannot be met any more.
func (s *Server) waitForSlot(ctx context.Context, c *call) error {
	if c.ws.waiting.Add(1) > c.ws.maxWait.Load() {
		c.ws.waiting.Add(-1)
		return &refusal{kind: errkind.QueueFull, message: "the workspace's queue is full", retryAfter: c.svc.queue.retryAfter()}
	}
	defer c.ws.waiting.Add(-1)
	started := time.Now()
	if wait := c.svc.queue.wait(c.ws); !c.svc.estimate.fits(started.Add(wait/hopelessWait), c.deadline) {
		s.counters.dropped.Inc(1)
		return &refusal{kind: errkind.DeadlineExceeded, message: "the queue is too long for the deadline", retryAfter: c.svc.queue.retryAfter()}
	}
	w := &waiter{call: c, ready: make(chan grantOrError, 1)}
	n, start := c.svc.queue.push(w)
	s.opts.Slots.SetWaiting(c.service, n)
	if start {
		go s.serveQueue(c.svc.serviceState, c.service)
	}
	timer := time.NewTimer(time.Until(c.deadline) - c.svc.estimate.get())
	defer timer.Stop()
	var reason error
	select {
	case g := <-w.ready:
		c.slot, c.queued = g.slot, time.Since(started)
		return g.err
	case <-ctx.Done():
		reason = refuse(errkind.Cancelled, "the caller went away while the request was queued")
	case <-timer.C:
		reason = s.tooLate(c)
	}
	if !c.svc.queue.remove(w) {
		if g := <-w.ready; g.slot != nil {
			g.slot.Done(slots.Outcome{Result: slots.Unused})
		}
	}
	return reason
}

// serveQueue hands slots to waiting requests until none is left.
func (s *Server) serveQueue(svc *serviceState, name string) {
	for s.serveOne(svc, name) {
	}
}

// serveOne waits for a slot and hands it over. It returns false when nothing waits.
func (s *Server) serveOne(svc *serviceState, name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), acquireSlice)
	defer cancel()
	s.opts.Slots.SetWaiting(name, svc.queue.size())
	if svc.queue.stopIfEmpty(cancel) {
		return false
	}
	slot, err := s.opts.Slots.Acquire(ctx, slots.Requirements{Service: name})
	if err == nil || kindOf(err) != errkind.NoCapacity {
		s.serveNext(svc.queue, slot, err)
	}
	return true
}

// serveNext gives the slot, or the error, to the next request that can meet its deadline.
func (s *Server) serveNext(q *fairQueue, slot *slots.Slot, err error) {
	now := time.Now()
	w := q.pop(func(w *waiter) bool {
		if w.call.svc.estimate.fits(now, w.call.deadline) {
			return false
		}
		w.ready <- grantOrError{err: s.tooLate(w.call)}
		return true
	})
	if w != nil {
		w.ready <- grantOrError{slot: slot, err: err}
		return
	}
	if slot != nil {
		slot.Done(slots.Outcome{Result: slots.Unused})
	}
}
