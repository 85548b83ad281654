package ingress

import (
	"errors"
	"net"
	"slices"
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
	gone                   chan struct{} // receives after a connection was removed or the listener was closed

	mu     sync.Mutex
	freed  *sync.Cond // bytes were released, or a connection was closed or marked as closing
	conns  map[*Conn]struct{}
	alive  int // of conns, those that are not marked as closing
	bytes  int64
	dying  int64 // of bytes, those of connections that are marked as closing
	closed bool  // the listener
	passes int   // over all connections, by choose
	// candidates is the memory of choose.
	candidates []candidate
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
	g := &Gate{limits: o.Limits, log: o.Log, report: newReport(o.Name, o.Log, o.Metrics), conns: map[*Conn]struct{}{}, gone: make(chan struct{}, 1),
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
	limitBuffers(rawConn(l), g.limits.SocketBuffer)
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
	l.gate.mu.Unlock()
	l.gate.wakeAdmit()
	return l.Listener.Close()
}

func (g *Gate) admit(inner net.Conn) (net.Conn, error) {
	c := &Conn{Conn: inner, gate: g, system: rawConn(inner), holder: holder{progressed: time.Now()}}
	limitBuffers(c.system, g.limits.SocketBuffer)
	c.accepted = c.progressed
	for {
		added, closed, victims := g.add(c)
		g.abort(victims, reasonConnections)
		switch {
		case added:
			return c, nil
		case closed:
			_ = inner.Close() // the listener is closed too
			return nil, net.ErrClosed
		}
		retry := time.NewTimer(evictRetry) // a connection can become evictable by time alone
		select {
		case <-g.gone:
		case <-retry.C:
		}
		retry.Stop()
	}
}

// add adds the connection if there is room. It returns the connections that have to be closed for the reserve. These are as
// many as the whole reserve, because their ends are processed only after all others that wait for the processor.
func (g *Gate) add(c *Conn) (added, closed bool, victims []*Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reserve := max(1, g.limits.Connections/reserveShare)
	if g.alive >= g.limits.Connections-reserve {
		_, victims = g.choose(reasonConnections, nil, reserve, func(*Conn) bool { return true })
	}
	if len(g.conns) >= g.limits.Connections {
		return false, g.closed, victims
	}
	g.conns[c] = struct{}{}
	g.alive++
	return true, g.closed, victims
}

// candidate is a connection that may be closed, with its rank.
type candidate struct {
	conn *Conn
	rank int
}

// choose marks up to n of the connections that suit, least likely to be served first, as closing. It returns how many there
// were, and those that have to be aborted. For reasonBytes, a connection that sends a body is told to refuse its request
// instead. g.mu must be held.
func (g *Gate) choose(reason string, self *Conn, n int, suits func(*Conn) bool) (chosen int, victims []*Conn) {
	g.passes++
	now := time.Now()
	candidates := g.candidates[:0]
	for c := range g.conns {
		if c.aborted || (c.closing && reason == reasonBytes) || !suits(c) {
			continue
		}
		after := g.limits.EvictAfter
		if c == self {
			after = 0
		}
		if rank := c.rank(now, after, g.limits.KeepIdle); rank >= 0 {
			candidates = append(candidates, candidate{c, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank != b.rank {
			return b.rank - a.rank
		}
		return compare(&a.conn.holder, &b.conn.holder, now)
	})
	if reason == reasonConnections {
		n = min(n, g.expendable(candidates))
	}
	chosen = min(n, len(candidates))
	for _, v := range candidates[:chosen] {
		if g.mark(v.conn, reason) {
			victims = append(victims, v.conn)
		}
	}
	clear(candidates) // closed connections must not be kept
	g.candidates = candidates
	return chosen, victims
}

// expendable returns how many of the sorted candidates may be closed for the reserve: those that have sent a request. Clients
// that have just connected are closed only if there is no room otherwise, one at a time, because a busy client needs long to
// send its first request. Those whose bytes have arrived wait for the processor of this instance, and are kept.
func (g *Gate) expendable(sorted []candidate) int {
	n, _ := slices.BinarySearchFunc(sorted, 0, func(c candidate, rank int) int { return rank - c.rank })
	if n > 0 || len(g.conns) < g.limits.Connections {
		return n
	}
	silent := slices.IndexFunc(sorted, func(c candidate) bool { return c.conn.unread() == 0 })
	if silent < 0 {
		return 0
	}
	sorted[0], sorted[silent] = sorted[silent], sorted[0]
	return 1
}

// mark marks the connection as closing and reports whether it has to be aborted.
func (g *Gate) mark(c *Conn, reason string) bool {
	if !c.closing {
		c.closing = true
		g.alive--
		g.dying += c.bytes
		g.freed.Broadcast()
	}
	if reason == reasonBytes && c.phase == phaseBody {
		_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
		return false
	}
	c.aborted = true
	return true
}

// abort closes the connections. g.mu must not be held, because closing and logging take time.
func (g *Gate) abort(victims []*Conn, reason string) {
	for _, v := range victims {
		g.report.closed(reason)
		abort(v.Conn)
	}
}

// past is a deadline that ends a blocked call.
var past = time.Unix(1, 0)

// grow adds n bytes to what the connection holds. If too much is held, it waits for ByteWait, then closes other connections
// and waits for their bytes, or returns ErrShort.
func (g *Gate) grow(c *Conn, n int64) error {
	began := time.Now()
	if g.limits.ByteWait > 0 {
		defer time.AfterFunc(g.limits.ByteWait, g.freed.Broadcast).Stop()
	}
	for {
		done, victims, err := g.tryGrow(c, n, began)
		g.abort(victims, reasonBytes)
		if done || err != nil {
			return err
		}
	}
}

// tryGrow adds the bytes if they are free. Otherwise it returns connections to close, or waits.
func (g *Gate) tryGrow(c *Conn, n int64, began time.Time) (done bool, victims []*Conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limits.Bytes
	if limit <= 0 {
		return true, nil, nil
	}
	short := c.bytes+n <= shortBytes
	if !short {
		limit -= limit / reserveShare
	}
	suits := func(o *Conn) bool { return o == c || o.bytes > shortBytes || (short && o.bytes > 0) }
	for {
		switch {
		case c.closing || c.removed:
			return false, nil, ErrShort
		case g.bytes+n <= limit || g.limits.CountReads && g.bytes == c.bytes: // one message is always possible
			c.bytes += n
			g.bytes += n
			return true, nil, nil
		case time.Since(began) < g.limits.ByteWait:
			g.freed.Wait()
		case g.bytes-g.dying+n > limit:
			chosen, victims := g.choose(reasonBytes, c, 1, suits)
			if chosen == 0 {
				return false, nil, ErrShort
			}
			if len(victims) > 0 {
				return false, victims, nil
			}
		default:
			g.freed.Wait()
		}
	}
}

// messageSteps are the sizes for which a message of an instance counts while it is being received. A message that grows
// beyond one step takes the next as a whole: messages that wait with a part received could otherwise hold all bytes, and none
// would become complete. The second step holds a relayed job of 262,144 bytes, the last one the largest message.
var messageSteps = [...]int64{shortBytes, 320 << 10, 2<<20 + 64<<10}

// countRead adds n bytes of a message to what the connection holds.
func (g *Gate) countRead(c *Conn, n int64) error {
	var more int64
	c.update(func() {
		c.message += n
		counted := c.message
		for _, step := range messageSteps[1:] {
			if c.message > messageSteps[0] && c.message <= step {
				counted = step
				break
			}
		}
		more = counted - c.bytes
	})
	if more <= 0 {
		return nil
	}
	return g.grow(c, more)
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
	g.wakeAdmit()
}

func (g *Gate) wakeAdmit() {
	select {
	case g.gone <- struct{}{}:
	default: // it has not used the last wake-up yet
	}
}
