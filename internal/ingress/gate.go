package ingress

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
)

// shortBytes is the size up to which a request is short. A part of the bounds is kept for short requests.
const shortBytes = 16 << 10

// reserveShare is the part of a bound that is kept free: connections for new clients, bytes for short requests.
const reserveShare = 8

// evictRetry is the time after which a listener at its limit looks again for a connection to close.
const evictRetry = 10 * time.Millisecond

// Reasons of refusals and of closed connections, in metrics and events.
const (
	reasonConnections = "connections"
	reasonBytes       = "bytes"
	reasonCalls       = "calls"
	reasonDeadline    = "deadline"
	reasonOverhead    = "overhead"
	reasonWrite       = "write"
)

// ErrShort reports that the request was given up because memory is short.
var ErrShort = errors.New("too many requests are held open")

// Gate applies Limits to a listener's connections. Its accounts are bound to connections: what a connection holds is
// released when it is closed.
type Gate struct {
	limits Limits
	log    *zap.Logger
	report *report
	// Memory of calls in progress: a part of its own for short requests, which do not wait for large ones.
	shortCalls, largeCalls *semaphore.Weighted

	mu     sync.Mutex
	freed  *sync.Cond // a connection was closed, bytes were released or a connection was marked as closing
	conns  map[*Conn]struct{}
	alive  int // of conns, those that are not marked as closing
	bytes  int64
	dying  int64 // of bytes, those of connections that are marked as closing
	closed bool  // the listener
}

// Options configures a Gate.
type Options struct {
	Name    string // of the listener, in metrics and events
	Limits  Limits
	Log     *zap.Logger
	Metrics metrics.Registry
}

// New returns a gate without connections.
func New(o Options) *Gate {
	g := &Gate{limits: o.Limits, log: o.Log, report: newReport(o.Name, o.Log, o.Metrics), conns: map[*Conn]struct{}{},
		shortCalls: semaphore.NewWeighted(max(1, o.Limits.CallBytes/4)), largeCalls: semaphore.NewWeighted(max(1, o.Limits.CallBytes*3/4))}
	g.freed = sync.NewCond(&g.mu)
	g.report.gauge("bytes_held", g.BytesHeld)
	g.report.gauge("connections", g.Connections)
	return g
}

// BytesHeld returns the bytes that count against the bound.
func (g *Gate) BytesHeld() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// Connections returns the number of open connections.
func (g *Gate) Connections() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.conns))
}

// Listener returns a listener that accepts at most Limits.Connections connections at a time.
func (g *Gate) Listener(l net.Listener) net.Listener {
	limitBuffers(rawConn(l))
	return &listener{Listener: l, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. When the limit is reached, it closes connections and waits until one has ended.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.admit(inner)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.gate.mu.Lock()
	l.gate.closed = true
	l.gate.freed.Broadcast()
	l.gate.mu.Unlock()
	return l.Listener.Close()
}

func (g *Gate) admit(inner net.Conn) (net.Conn, error) {
	c := &Conn{Conn: inner, gate: g, system: rawConn(inner), holder: holder{progressed: time.Now()}}
	limitBuffers(c.system)
	c.accepted = c.progressed
	g.mu.Lock()
	defer g.mu.Unlock()
	reserve := max(1, g.limits.Connections/reserveShare)
	for {
		// The whole reserve is freed at once: each wait for a closed connection takes a round of all that use the processor.
		if g.alive >= g.limits.Connections-reserve {
			for range reserve {
				g.evict(reasonConnections, nil, func(*Conn) bool { return true })
			}
		}
		if len(g.conns) < g.limits.Connections {
			break
		}
		if g.closed {
			_ = inner.Close() // the listener is closed too
			return nil, net.ErrClosed
		}
		// A connection can become evictable by time alone.
		retry := time.AfterFunc(evictRetry, g.freed.Broadcast)
		g.freed.Wait()
		retry.Stop()
	}
	g.conns[c] = struct{}{}
	g.alive++
	return c, nil
}

// evict closes the connection that is least likely to be served, of those that suit. It reports whether there was one.
// A connection of a body is told to refuse its request unless the reason is the number of connections. g.mu must be held.
func (g *Gate) evict(reason string, self *Conn, suits func(*Conn) bool) bool {
	now := time.Now()
	var victim *Conn
	best := -1
	for c := range g.conns {
		if c.aborted || (c.closing && reason == reasonBytes) || !suits(c) {
			continue
		}
		after := g.limits.EvictAfter
		if c == self {
			after = 0
		}
		rank := c.rank(now, after)
		if rank < 0 || rank < best || (rank == best && !worse(&c.holder, &victim.holder, now)) {
			continue
		}
		victim, best = c, rank
	}
	if victim == nil {
		return false
	}
	if !victim.closing {
		victim.closing = true
		g.alive--
		g.dying += victim.bytes
		g.freed.Broadcast()
	}
	if reason == reasonBytes && victim.phase == phaseBody {
		_ = victim.Conn.SetReadDeadline(past) // fails only on a closed connection
		return true
	}
	victim.aborted = true
	g.report.closed(reason)
	abort(victim.Conn)
	return true
}

// past is a deadline that ends a blocked call.
var past = time.Unix(1, 0)

// grow adds n bytes to what the connection holds. If too much is held, it closes other connections and waits for their
// bytes, or returns ErrShort.
func (g *Gate) grow(c *Conn, n int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limits.Bytes
	if limit <= 0 {
		return nil
	}
	short := c.bytes+n <= shortBytes
	if !short {
		limit -= limit / reserveShare
	}
	suits := func(o *Conn) bool { return o == c || o.bytes > shortBytes || (short && o.bytes > 0) }
	for g.bytes+n > limit {
		if c.closing {
			return ErrShort
		}
		if g.bytes-g.dying+n > limit && !g.evict(reasonBytes, c, suits) {
			return ErrShort
		}
		if c.closing {
			return ErrShort
		}
		if g.bytes+n > limit {
			g.freed.Wait()
		}
	}
	if c.closing || c.removed {
		return ErrShort
	}
	c.bytes += n
	g.bytes += n
	return nil
}

// release returns n bytes of the connection, or all if n is negative.
func (g *Gate) release(c *Conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c, n)
}

func (g *Gate) releaseLocked(c *Conn, n int64) {
	if n < 0 || n > c.bytes {
		n = c.bytes
	}
	if n == 0 {
		return
	}
	c.bytes -= n
	g.bytes -= n
	if c.closing {
		g.dying -= n
	}
	g.freed.Broadcast()
}

// remove ends the accounts of a closed connection.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	g.releaseLocked(c, -1)
	delete(g.conns, c)
	if !c.closing {
		g.alive--
	}
	g.freed.Broadcast()
}
