package peer

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// traffic counts the bytes that connections between instances pass to and receive from TCP. The metrics
// are "peer.control.sent" and "peer.control.received" for heartbeats, confirmations and announcements,
// and "peer.other.sent" and "peer.other.received" for all other calls.
type traffic struct {
	control, other byteCounters
}

type byteCounters struct{ sent, received metrics.Counter }

func newTraffic(r metrics.Registry) *traffic {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	counters := func(class string) byteCounters {
		return byteCounters{
			sent:     metrics.GetOrRegisterCounter("peer."+class+".sent", r),
			received: metrics.GetOrRegisterCounter("peer."+class+".received", r),
		}
	}
	return &traffic{control: counters("control"), other: counters("other")}
}

func (t *traffic) wrap(conn net.Conn) *countedConn {
	return &countedConn{Conn: conn, traffic: t}
}

// countedConn counts the bytes of a connection. Bytes that are transferred before the traffic class of
// the connection is known are added to the metrics when it is.
type countedConn struct {
	net.Conn
	traffic *traffic

	mu             sync.Mutex
	class          *byteCounters
	sent, received int64 // not yet added to class
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
