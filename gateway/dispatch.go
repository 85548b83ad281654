package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/claims"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/slots"
)

const (
	maxTries = 3
	// retrySlotWait bounds the wait of a retry for a slot on another worker.
	retrySlotWait = 250 * time.Millisecond
	// releaseTimeout bounds the release of a claim, after which its state is unknown.
	releaseTimeout = 2 * time.Second
)

var errGone = refuse(errkind.Cancelled, "the caller went away before the dispatch")

// dispatch claims the id of a non-idempotent request and makes the attempts. The claim
// is given back when no attempt reached a worker, before the caller is told so.
func (s *Server) dispatch(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		claim, err := s.claim(ctx, c)
		if err != nil {
			c.slot.Done(slots.Outcome{Result: slots.Unused})
			return nil, err
		}
		response, err := s.tries(ctx, c, next)
		if err == nil {
			return response, nil
		}
		if c.reached != nil {
			// A refusal of the last attempt says nothing of the earlier ones.
			return nil, c.reached
		}
		return nil, s.release(ctx, c, claim, err)
	}
}

// claim claims the id. It is not bound to the caller, so that its outcome is known.
func (s *Server) claim(ctx context.Context, c *call) (claims.Claim, error) {
	if c.idempotent {
		return claims.Claim{}, nil
	}
	if s.opts.Claims == nil {
		return claims.Claim{}, refuse(errkind.StoreUnavailable, "the instance has no claims ledger")
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	return s.opts.Claims.Claim(ctx, c.workspace, c.id)
}

// release gives the claim back and returns the answer to the caller. An id whose claim
// may still be recorded is not reported as not run.
func (s *Server) release(ctx context.Context, c *call, claim claims.Claim, cause error) error {
	if c.idempotent {
		return cause
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := s.opts.Claims.Release(ctx, claim); err != nil {
		return errkind.Wrap(errkind.ClaimUncertain, err, "the request has not run (%v), but its id could not be given back", cause)
	}
	return cause
}

// tries makes attempts until one is answered or no further one is allowed.
func (s *Server) tries(ctx context.Context, c *call, next endpoint.Endpoint) (any, error) {
	for try := 1; ; try++ {
		response, err := s.try(ctx, c, next)
		if err == nil || try == maxTries || !s.mayRetry(ctx, c, err) {
			return response, err
		}
		slot := s.anotherSlot(ctx, c)
		if slot == nil {
			return nil, err
		}
		s.counters.retried.Inc(1)
		events.Info(s.log, events.RequestRetried, zap.String("workspace", c.workspace), zap.String("id", c.id),
			zap.Strings("tried", c.tried), zap.String("worker", slot.Worker), zap.Error(err))
		c.slot = slot
	}
}

// try makes one attempt on the call's slot and gives the slot back.
func (s *Server) try(ctx context.Context, c *call, next endpoint.Endpoint) (any, error) {
	slot := c.slot
	if err := s.beforeDispatch(ctx, c); err != nil {
		slot.Done(slots.Outcome{Result: slots.Unused})
		return nil, err
	}
	c.attempt = s.prefix + strconv.FormatUint(s.attempts.Add(1), 36)
	s.logRoute(c)
	c.tried = append(c.tried, slot.Worker)
	sent := time.Now()
	response, err := next(ctx, c)
	outcome := slots.Outcome{Result: resultOf(err), FailedOn: c.failed}
	slot.Done(outcome)
	took := time.Since(sent)
	s.explain.finish(c, err, took)
	if ce := s.log.Check(zap.DebugLevel, events.Message(events.RequestAnswered)); ce != nil {
		ce.Write(events.Field(events.RequestAnswered), zap.String("attempt", c.attempt), zap.Duration("took", took), zap.Error(err))
	}
	if err == nil {
		c.svc.estimate.observe(took)
		return response, nil
	}
	if kindOf(err) != errkind.UpstreamRefused {
		c.reached = err
	}
	if outcome.Result == slots.Failed {
		c.failed = slot.Worker
	}
	return nil, err
}

// beforeDispatch checks, last before the dispatch, that the attempt may start.
func (s *Server) beforeDispatch(ctx context.Context, c *call) error {
	if ctx.Err() != nil {
		return errGone
	}
	if !c.svc.estimate.fits(time.Now(), c.deadline) {
		return s.tooLate(c)
	}
	if err := c.slot.CheckUsable(); err != nil {
		return err
	}
	return nil
}

// mayRetry reports whether the failed attempt may be followed by another.
func (s *Server) mayRetry(ctx context.Context, c *call, err error) bool {
	switch kindOf(err) {
	case errkind.UpstreamRefused:
	case errkind.UpstreamUncertain, errkind.UpstreamFailed, errkind.AnswerInvalid:
		if !c.idempotent {
			return false
		}
	default:
		return false
	}
	return ctx.Err() == nil && c.svc.estimate.fits(time.Now(), c.deadline) && c.svc.budget.take()
}

// anotherSlot returns a slot on a worker that has not been tried, or nil.
func (s *Server) anotherSlot(ctx context.Context, c *call) *slots.Slot {
	want := slots.Requirements{Service: c.service, ExcludedWorkers: c.tried, Idempotent: c.idempotent}
	if slot := s.opts.Slots.TryAcquire(want); slot != nil {
		return slot
	}
	ctx, cancel := context.WithTimeout(ctx, min(retrySlotWait, time.Until(c.deadline)))
	defer cancel()
	slot, err := s.opts.Slots.Acquire(ctx, want)
	if err != nil {
		return nil
	}
	return slot
}

// logRoute records the routing decision with its inputs.
func (s *Server) logRoute(c *call) {
	s.explain.add(c)
	if ce := s.log.Check(zap.InfoLevel, events.Message(events.RequestRouted)); ce != nil {
		ce.Write(events.Field(events.RequestRouted),
			zap.String("workspace", c.workspace), zap.String("service", c.service), zap.String("id", c.id),
			zap.String("attempt", c.attempt), zap.String("worker", c.slot.Worker), zap.String("data_centre", c.slot.DataCentre),
			zap.String("grant", c.slot.GrantID), zap.Uint64("token", c.slot.Token), zap.Int("free_slots", c.slot.FreeSlots),
			zap.Duration("queued", c.queued), zap.Duration("estimate", c.svc.estimate.get()), zap.Int("tried", len(c.tried)))
	}
}

// verify accepts only an answer within the service's bound.
func (s *Server) verify(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		response, err := next(ctx, request)
		if err != nil {
			if k := kindOf(err); k == errkind.AnswerInvalid || k == errkind.AnswerTooLarge {
				s.counters.rejected.Inc(1)
				events.Warn(s.log, events.AnswerRejected, zap.String("attempt", c.attempt), zap.String("worker", c.slot.Worker), zap.Error(err))
			}
			return nil, err
		}
		if a := response.(*answer); int64(len(a.body)) > c.svc.maxAnswer {
			return nil, errkind.New(errkind.AnswerTooLarge, "the answer is above %d bytes", c.svc.maxAnswer)
		}
		return response, nil
	}
}

// run sends the attempt to the worker. The attempt does not end with the caller's
// connection: it stays counted until the worker answers or its deadline passes.
func (s *Server) run(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	attempt, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	reply, err := s.opts.Upstream.Run(attempt, c.slot.Address, remote.RunRequest{
		AttemptID: c.attempt, RequestID: c.id, Token: c.slot.Token, GrantID: c.slot.GrantID,
		Service: c.service, Workspace: c.workspace, Idempotent: c.idempotent, Body: c.body, MaxAnswer: c.svc.maxAnswer,
	})
	if ctx.Err() != nil {
		s.counters.abandoned.Inc(1)
		events.Info(s.log, events.RequestAbandoned, zap.String("attempt", c.attempt), zap.String("worker", c.slot.Worker))
	}
	if err != nil {
		return nil, err
	}
	s.counters.answered.Inc(1)
	c.answer = answer{id: c.id, body: reply.Body}
	return &c.answer, nil
}

// resultOf tells the pool how an attempt ended.
func resultOf(err error) slots.Result {
	if err == nil {
		return slots.Succeeded
	}
	switch kindOf(err) {
	case errkind.AnswerTooLarge:
		return slots.Succeeded
	case errkind.UpstreamFailed:
		return slots.Failed
	case errkind.UpstreamRefused:
		return refusalResult(err)
	}
	return slots.NoValidAnswer
}

func refusalResult(err error) slots.Result {
	switch {
	case errors.Is(err, remote.ErrLeaving):
		return slots.Leaving
	case errors.Is(err, remote.ErrNoRoom), errors.Is(err, remote.ErrStaleToken), errors.Is(err, remote.ErrRateLimited):
		return slots.Refused
	}
	return slots.Unreachable
}
