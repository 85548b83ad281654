package gateway

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// identify resolves workspace and service and applies the workspace's rate.
func (s *Server) identify(next endpoint.Endpoint) endpoint.Endpoint {
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

// allow takes one request from the workspace's rate.
func (w *workspaceLimits) allow(now time.Time) error {
	limiter := w.rate.Load()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / float64(limiter.Limit()))
	return &refusal{kind: errkind.RateLimited, message: "the workspace is above its request rate", retryAfter: max(wait, time.Millisecond)}
}

// readBody reads the body once the request may not be refused for its rate.
func (s *Server) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.source != nil {
			body, err := c.source.read(c.length, c.svc.maxBody)
			if err != nil {
				return nil, err
			}
			c.body = body
		}
		return next(ctx, request)
	}
}

// deadline sets the request's deadline and refuses it when it cannot be met even on an
// idle worker.
func (s *Server) deadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		within := c.svc.timeout
		if c.within > 0 {
			within = min(within, c.within)
		}
		c.deadline = c.arrived.Add(within)
		if !c.svc.estimate.fits(time.Now(), c.deadline) {
			return nil, s.tooLate(c)
		}
		return next(ctx, request)
	}
}

// tooLate refuses a request that cannot meet its deadline any more.
func (s *Server) tooLate(c *call) error {
	s.counters.dropped.Inc(1)
	c.svc.estimate.missed()
	return refuse(errkind.DeadlineExceeded, "the deadline cannot be met: service %s takes about %v", c.service, c.svc.estimate.get())
}

// suppressDuplicates refuses a non-idempotent request whose id is in flight here. The
// claim immediately before the dispatch covers all other duplicates.
func (s *Server) suppressDuplicates(next endpoint.Endpoint) endpoint.Endpoint {
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

// feasibility refuses what no data centre could ever run.
func (s *Server) feasibility(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if c := request.(*call); c.svc.never != "" {
			return nil, refuse(errkind.NeverRunnable, "%s", c.svc.never)
		}
		return next(ctx, request)
	}
}
