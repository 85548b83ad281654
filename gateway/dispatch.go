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
	maxAttempts = 3
	// retrySlotTimeout limits how long a retry waits for a slot on another worker.
	retrySlotTimeout = 250 * time.Millisecond
	// releaseTimeout limits the release of a claim. After a timeout the state of the claim is unknown.
	releaseTimeout = 2 * time.Second
)

var errCallerDisconnected = refuse(errkind.Cancelled, "the caller went away before the dispatch")

// dispatch claims the id of a non-idempotent request and runs the attempts. If no attempt can have run,
// the claim is released before the error is returned, so that the caller can retry with the same id.
func (s *Server) dispatch(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		claim, err := s.claim(ctx, c)
		if err != nil {
			c.slot.Done(slots.Outcome{Result: slots.Unused})
			return nil, err
		}
		response, err := s.runAttempts(ctx, c, next)
		if err == nil {
			return response, nil
		}
		if c.mayHaveRunErr != nil {
			// An earlier attempt may have run even if the last one was refused.
			return nil, c.mayHaveRunErr
		}
		return nil, s.release(ctx, c, claim, err)
	}
}

// claim records the claim of a non-idempotent request's id. It continues if the caller disconnects, so
// that the outcome is known.
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

// release releases the claim and returns the error for the caller. If the claim may still be recorded,
// that is ClaimUncertain instead of cause, since a retry with the same id could be rejected as a
// duplicate.
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

// runAttempts runs attempts until one succeeds or no further retry is allowed.
func (s *Server) runAttempts(ctx context.Context, c *call, next endpoint.Endpoint) (any, error) {
	for attempt := 1; ; attempt++ {
		response, err := s.runAttempt(ctx, c, next)
		if err == nil || attempt == maxAttempts || !s.mayRetry(ctx, c, err) {
			return response, err
		}
		slot := s.acquireRetrySlot(ctx, c)
		if slot == nil {
			return nil, err
		}
		s.counters.retried.Inc(1)
		events.Info(s.log, events.RequestRetried, zap.String("workspace", c.workspace), zap.String("id", c.id),
			zap.Strings("tried", c.triedWorkers), zap.String("worker", slot.Worker), zap.Error(err))
		c.slot = slot
	}
}

// runAttempt runs one attempt on the call's slot and returns the slot to the pool.
func (s *Server) runAttempt(ctx context.Context, c *call, next endpoint.Endpoint) (any, error) {
	slot := c.slot
	if err := s.checkDispatchable(ctx, c); err != nil {
		slot.Done(slots.Outcome{Result: slots.Unused})
		return nil, err
	}
	c.attempt = s.attemptIDPrefix + strconv.FormatUint(s.attempts.Add(1), 36)
	s.recordDecision(c)
	c.triedWorkers = append(c.triedWorkers, slot.Worker)
	start := time.Now()
	response, err := next(ctx, c)
	outcome := slots.Outcome{Result: slotResult(err), FailedOn: c.failedWorker}
	slot.Done(outcome)
	elapsed := time.Since(start)
	s.decisions.finish(c, err, elapsed)
	if ce := s.log.Check(zap.DebugLevel, events.Message(events.RequestAnswered)); ce != nil {
		ce.Write(events.Field(events.RequestAnswered), zap.String("attempt", c.attempt), zap.Duration("took", elapsed), zap.Error(err))
	}
	if err == nil {
		c.svc.estimate.observe(elapsed)
		return response, nil
	}
	if kindOf(err) != errkind.UpstreamRefused {
		c.mayHaveRunErr = err
	}
	if outcome.Result == slots.Failed {
		c.failedWorker = slot.Worker
	}
	return nil, err
}

// checkDispatchable is the final check before an attempt is sent to the worker.
func (s *Server) checkDispatchable(ctx context.Context, c *call) error {
	if ctx.Err() != nil {
		return errCallerDisconnected
	}
	if !c.svc.estimate.fits(time.Now(), c.deadline) {
		return s.deadlineExceeded(c)
	}
	if err := c.slot.CheckUsable(); err != nil {
		return err
	}
	return nil
}

// mayRetry reports whether another attempt is allowed after err. It takes the retry from the budget. A
// non-idempotent request is retried only if its attempt certainly did not run (UpstreamRefused).
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

// acquireRetrySlot returns a slot on a worker that has not been tried yet, or nil if none becomes free
// in time.
func (s *Server) acquireRetrySlot(ctx context.Context, c *call) *slots.Slot {
	want := slots.Requirements{Service: c.service, ExcludedWorkers: c.triedWorkers, Idempotent: c.idempotent}
	if slot := s.opts.Slots.TryAcquire(want); slot != nil {
		return slot
	}
	ctx, cancel := context.WithTimeout(ctx, min(retrySlotTimeout, time.Until(c.deadline)))
	defer cancel()
	slot, err := s.opts.Slots.Acquire(ctx, want)
	if err != nil {
		return nil
	}
	return slot
}

// recordDecision stores and logs the routing decision together with its inputs.
func (s *Server) recordDecision(c *call) {
	s.decisions.add(c)
	if ce := s.log.Check(zap.InfoLevel, events.Message(events.RequestRouted)); ce != nil {
		ce.Write(events.Field(events.RequestRouted),
			zap.String("workspace", c.workspace), zap.String("service", c.service), zap.String("id", c.id),
			zap.String("attempt", c.attempt), zap.String("worker", c.slot.Worker), zap.String("data_centre", c.slot.DataCentre),
			zap.String("grant", c.slot.GrantID), zap.Uint64("token", c.slot.Token), zap.Int("free_slots", c.slot.FreeSlots),
			zap.Duration("queued", c.queued), zap.Duration("estimate", c.svc.estimate.get()), zap.Int("tried", len(c.triedWorkers)))
	}
}

// verifyResponse rejects responses above the service's size limit and counts invalid ones.
func (s *Server) verifyResponse(next endpoint.Endpoint) endpoint.Endpoint {
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
		if resp := response.(*runResponse); int64(len(resp.body)) > c.svc.maxAnswer {
			return nil, errkind.New(errkind.AnswerTooLarge, "the answer is above %d bytes", c.svc.maxAnswer)
		}
		return response, nil
	}
}

// callUpstream sends the attempt to the worker. The attempt is not cancelled when the caller
// disconnects: it occupies its slot until the worker responds or the deadline expires.
func (s *Server) callUpstream(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	attemptCtx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	reply, err := s.opts.Upstream.Run(attemptCtx, c.slot.Address, remote.RunRequest{
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
	c.response = runResponse{id: c.id, body: reply.Body}
	return &c.response, nil
}

// slotResult maps the error of an attempt to the result that is reported to the slot pool.
func slotResult(err error) slots.Result {
	if err == nil {
		return slots.Succeeded
	}
	switch kindOf(err) {
	case errkind.AnswerTooLarge:
		return slots.Succeeded
	case errkind.UpstreamFailed:
		return slots.Failed
	case errkind.UpstreamRefused:
		return refusedSlotResult(err)
	}
	return slots.NoValidAnswer
}

func refusedSlotResult(err error) slots.Result {
	switch {
	case errors.Is(err, remote.ErrLeaving):
		return slots.Leaving
	case errors.Is(err, remote.ErrNoCapacity), errors.Is(err, remote.ErrStaleToken), errors.Is(err, remote.ErrRateLimited):
		return slots.Refused
	}
	return slots.Unreachable
}
