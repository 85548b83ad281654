// Package connbound limits the open connections of a client, so that the process does not run out of
// file descriptors.
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

// minLogInterval is the shortest time between two log lines about the limit.
const minLogInterval = time.Second

// ErrLimitReached reports that no connection was made because the limit of open connections is reached.
var ErrLimitReached = errors.New("as many connections as the bound allows are open")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a dialer that keeps at most limit connections open.
func New(limit int, dial DialFunc, log *zap.Logger) *Dialer {
	return &Dialer{dial: dial, limit: int64(limit), log: log}
}

// Dialer opens connections and counts those that are not closed yet.
type Dialer struct {
	dial  DialFunc
	limit int64
	log   *zap.Logger
	open  atomic.Int64

	mu           sync.Mutex
	lastLoggedAt time.Time
}

// DialContext opens a connection, or fails with ErrLimitReached in a net.OpError.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.open.Add(1) > d.limit {
		d.open.Add(-1)
		d.logLimitReached(address)
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrLimitReached}
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: c, dialer: d}, nil
}

func (d *Dialer) logLimitReached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.lastLoggedAt) < minLogInterval {
		return
	}
	d.lastLoggedAt = time.Now()
	events.Warn(d.log, events.ConnectionsBounded, zap.Int64("limit", d.limit), zap.String("address", address))
}

// countedConn lowers the dialer's count when it is closed for the first time.
type countedConn struct {
	net.Conn
	dialer *Dialer
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}
