package gateway

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// resolveService looks up the workspace and the service and applies the workspace's rate limit.
func (s *Server) resolveService(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		l := s.limits.get(s)
		if l == nil {
			return nil, refuse(errkind.StaleManifest, "the instance does not know the manifest yet")
		}
		if c.ws = l.workspaces[c.workspace]; c.ws == nil {
			return nil, refuse(errkind.UnknownWorkspace, "no workspace %q", c.workspace)
		}
		if c.svc = l.services[c.service]; c.svc == nil {
			return nil, refuse(errkind.UnknownService, "no service %q", c.service)
		}
		if c.svc.Kind == structs.KindJob {
			return nil, refuse(errkind.BadRequest, "service %q runs jobs; submit it to /v1/jobs", c.service)
		}
		if err := c.ws.allow(c.arrived); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// allow returns a RateLimited error if the workspace is above its request rate.
func (w *workspaceLimits) allow(now time.Time) error {
	limiter := w.rate.Load()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / float64(limiter.Limit()))
	return &refusal{kind: errkind.RateLimited, message: "the workspace is above its request rate", retryAfter: max(wait, time.Millisecond)}
}

// readBody reads the body. It comes after the rate limit, so that the bodies of rate-limited requests
// are not read.
func (s *Server) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.reader != nil {
			body, err := c.reader.read(c.length, c.svc.maxBody)
			if err != nil {
				return nil, err
			}
			c.body = body
		}
		return next(ctx, request)
	}
}

// setDeadline sets the request's deadline and refuses the request if it could not meet the deadline even
// on an idle worker.
func (s *Server) setDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		timeout := c.svc.timeout
		if c.requestedTimeout > 0 {
			timeout = min(timeout, c.requestedTimeout)
		}
		c.deadline = c.arrived.Add(timeout)
		if !c.svc.estimate.fits(time.Now(), c.deadline) {
			return nil, s.deadlineExceeded(c)
		}
		return next(ctx, request)
	}
}

// deadlineExceeded returns the error for a request that can no longer meet its deadline, and counts the
// drop.
func (s *Server) deadlineExceeded(c *call) error {
	s.counters.dropped.Inc(1)
	c.svc.estimate.lowerAfterMiss()
	return refuse(errkind.DeadlineExceeded, "the deadline cannot be met: service %s takes about %v", c.service, c.svc.estimate.get())
}

// rejectDuplicates refuses a non-idempotent request whose id is in flight on this instance. All other
// duplicates are detected by the claim immediately before the dispatch.
func (s *Server) rejectDuplicates(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.idempotent {
			return next(ctx, request)
		}
		key := c.workspace + "/" + c.id
		if !s.active.add(key) {
			return nil, refuse(errkind.DuplicateRequest, "request %s is in flight", key)
		}
		defer s.active.remove(key)
		return next(ctx, request)
	}
}

// rejectNeverRunnable refuses requests for a service that no data centre of the manifest could run.
func (s *Server) rejectNeverRunnable(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if c := request.(*call); c.svc.neverRunnableReason != "" {
			return nil, refuse(errkind.NeverRunnable, "%s", c.svc.neverRunnableReason)
		}
		return next(ctx, request)
	}
}
