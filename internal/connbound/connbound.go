// Package connbound bounds how many connections a client has open, so that it stays below the
// descriptors that its process may use.
package connbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

// boundLogPause is the least time between two log lines that say that the bound is reached.
const boundLogPause = time.Second

// ErrLimitReached reports that no connection was made because the limit of open connections is reached.
var ErrLimitReached = errors.New("as many connections as the bound allows are open")

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a dialer that has at most limit connections open.
func New(limit int, dial DialFunc, log *zap.Logger) *Dialer {
	return &Dialer{dial: dial, limit: int64(limit), log: log}
}

// Dialer makes connections and counts those that are open.
type Dialer struct {
	dial  DialFunc
	limit int64
	log   *zap.Logger
	open  atomic.Int64

	mu       sync.Mutex
	loggedAt time.Time
}

// DialContext makes a connection unless as many as may be are open.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.open.Add(1) > d.limit {
		d.open.Add(-1)
		d.note(address)
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrLimitReached}
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, dialer: d}, nil
}

func (d *Dialer) note(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.loggedAt) < boundLogPause {
		return
	}
	d.loggedAt = time.Now()
	events.Warn(d.log, events.ConnectionsBounded, zap.Int64("limit", d.limit), zap.String("address", address))
}

// conn gives its place back when it is closed.
type conn struct {
	net.Conn
	dialer *Dialer
	once   sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}
