package gateway

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/slots"
)

// acquireTimeout limits a single wait of the dispatcher for a slot. After it the dispatcher checks again
// whether any request is still queued.
const acquireTimeout = 250 * time.Millisecond

// waitEstimateDivisor is applied to the estimated queue wait before it is compared with the deadline.
// The estimate is based on the most recent dispatches only and may be too high.
const waitEstimateDivisor = 2

// admission acquires a slot for the request: immediately if one is free and the queue is empty,
// otherwise through the service's fair queue.
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

// waitForSlot queues the request until the dispatcher assigns it a slot, the caller disconnects or the
// deadline can no longer be met.
func (s *Server) waitForSlot(ctx context.Context, c *call) error {
	if c.ws.waiting.Add(1) > c.ws.maxQueued.Load() {
		c.ws.waiting.Add(-1)
		return &refusal{kind: errkind.QueueFull, message: "the workspace's queue is full", retryAfter: c.svc.queue.retryAfter()}
	}
	defer c.ws.waiting.Add(-1)
	started := time.Now()
	if wait := c.svc.queue.estimateWait(c.ws); !c.svc.estimate.fits(started.Add(wait/waitEstimateDivisor), c.deadline) {
		s.counters.dropped.Inc(1)
		return &refusal{kind: errkind.DeadlineExceeded, message: "the queue is too long for the deadline", retryAfter: c.svc.queue.retryAfter()}
	}
	w := &waiter{call: c, ready: make(chan slotOrError, 1)}
	n, start := c.svc.queue.push(w)
	s.opts.Slots.SetWaiting(c.service, n)
	if start {
		go s.serveQueue(c.svc.serviceState, c.service)
	}
	timer := time.NewTimer(time.Until(c.deadline) - c.svc.estimate.get())
	defer timer.Stop()
	var reason error
	select {
	case r := <-w.ready:
		c.slot, c.queued = r.slot, time.Since(started)
		return r.err
	case <-ctx.Done():
		reason = refuse(errkind.Cancelled, "the caller went away while the request was queued")
	case <-timer.C:
		reason = s.deadlineExceeded(c)
	}
	if !c.svc.queue.remove(w) {
		// The dispatcher has already assigned a slot or an error.
		if r := <-w.ready; r.slot != nil {
			r.slot.Done(slots.Outcome{Result: slots.Unused})
		}
	}
	return reason
}

// serveQueue is the dispatcher: it assigns slots to queued requests until the queue is empty.
func (s *Server) serveQueue(svc *serviceState, name string) {
	for s.serveOne(svc, name) {
	}
}

// serveOne waits for a slot and assigns it to a queued request. It returns false if the queue is empty.
func (s *Server) serveOne(svc *serviceState, name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
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

// serveNext assigns the slot, or the error, to the next request that can still meet its deadline.
// Requests before it that cannot are refused.
func (s *Server) serveNext(q *fairQueue, slot *slots.Slot, err error) {
	now := time.Now()
	w := q.pop(func(w *waiter) bool {
		if w.call.svc.estimate.fits(now, w.call.deadline) {
			return false
		}
		w.ready <- slotOrError{err: s.deadlineExceeded(w.call)}
		return true
	})
	if w != nil {
		w.ready <- slotOrError{slot: slot, err: err}
		return
	}
	if slot != nil {
		slot.Done(slots.Outcome{Result: slots.Unused})
	}
}
