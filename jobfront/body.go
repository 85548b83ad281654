package jobfront

import (
	"context"
	"errors"
	"math"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/ingress"
)

// readBody receives the body of a submission and waits until there is memory for the call. The caller must call End.
func (s *Server) readBody(ctx context.Context, c *call) (body *ingress.Body, memory *ingress.Call, err error) {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = math.MaxInt32
	}
	if c.http.ContentLength > limit {
		return nil, nil, refuse(errkind.BodyTooLarge, "body has %d bytes: must be at most %d", c.http.ContentLength, limit)
	}
	body, err = s.ingress.ReadBody(ctx, c.http, limit)
	if err != nil {
		return nil, nil, refuseBody(err, limit)
	}
	memory, err = s.ingress.Begin(ctx, c.http, body)
	if err != nil {
		body.Release()
		return nil, nil, refuseBody(err, limit)
	}
	return body, memory, nil
}

func refuseBody(err error, limit int64) error {
	switch {
	case errors.Is(err, ingress.ErrShort):
		return refuse(errkind.Overloaded, "%v", err)
	case errors.Is(err, ingress.ErrDeadline):
		return refuse(errkind.BodyIncomplete, "%v", err)
	case errors.Is(err, ingress.ErrTooLarge):
		return refuse(errkind.BodyTooLarge, "body is above %d bytes", limit)
	case errors.Is(err, ingress.ErrOverhead):
		return refuse(errkind.BodyTooLarge, "%v", err)
	}
	return refuse(errkind.BadRequest, "%v", err)
}
