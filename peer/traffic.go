package peer

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// traffic counts bytes on connections between instances, as they are passed to TCP:
// "peer.control.sent" and "peer.control.received" for heartbeats, confirmations and
// announcements, "peer.other.sent" and "peer.other.received" for the rest.
type traffic struct {
	control, other direction
}

type direction struct{ sent, received metrics.Counter }

func newTraffic(r metrics.Registry) *traffic {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	of := func(class string) direction {
		return direction{
			sent:     metrics.GetOrRegisterCounter("peer."+class+".sent", r),
			received: metrics.GetOrRegisterCounter("peer."+class+".received", r),
		}
	}
	return &traffic{control: of("control"), other: of("other")}
}

func (t *traffic) count(conn net.Conn) *countedConn {
	return &countedConn{Conn: conn, traffic: t}
}

// countedConn counts the bytes of one connection. Bytes that arrive before the class of
// the connection is known are counted once it is.
type countedConn struct {
	net.Conn
	traffic *traffic

	mu             sync.Mutex
	class          *direction
	sent, received int64 // not yet counted
}

func (c *countedConn) classify(control bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.class = &c.traffic.other
	if control {
		c.class = &c.traffic.control
	}
	c.flush()
}

func (c *countedConn) flush() {
	if c.class == nil {
		return
	}
	c.class.sent.Inc(c.sent)
	c.class.received.Inc(c.received)
	c.sent, c.received = 0, 0
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	c.flush()
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += int64(n)
	c.flush()
	return n, err
}
