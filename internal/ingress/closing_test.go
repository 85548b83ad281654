package ingress

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// slowConn is a connection whose Close blocks.
type slowConn struct {
	net.Conn
	release chan struct{}
}

func (c slowConn) Close() error { <-c.release; return c.Conn.Close() }

// Guards against closing connections while the lock of the gate is held, which all other connections need.
func TestOthersContinueWhileConnectionsAreClosed(t *testing.T) {
	l := testLimits()
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	release := make(chan struct{})
	admit := func() {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = b.Close() })
		_, err := g.admit(slowConn{a, release})
		assert.NoError(t, err)
	}
	for range l.Connections - 2 {
		admit()
	}
	g.mu.Lock()
	for c := range g.conns {
		c.accepted, c.progressed = time.Now().Add(-time.Minute), time.Now().Add(-time.Minute)
	}
	g.mu.Unlock()
	var closing sync.WaitGroup
	closing.Go(admit)
	defer closing.Wait()
	defer close(release)
	seen := make(chan int64)
	go func() {
		time.Sleep(50 * time.Millisecond)
		seen <- g.BytesHeld()
	}()
	select {
	case <-seen:
	case <-time.After(2 * time.Second):
		assert.Fail(t, "the gate is locked")
		go func() { <-seen }()
	}
}

// Guards against passes over all connections for each release of bytes while none can be closed. Each pass takes time that
// the calls need, for whose end the listener waits.
func TestFullGateDoesNotScanForReleases(t *testing.T) {
	l := testLimits()
	l.Connections = 450
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	admit := func() *Conn {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
		c, err := g.admit(a)
		assert.NoError(t, err)
		return c.(*Conn)
	}
	var last *Conn
	for range l.Connections {
		last = admit()
		last.enter(phaseServing)
	}
	var waiting sync.WaitGroup
	waiting.Go(func() { admit() })
	time.Sleep(2 * evictRetry)
	g.mu.Lock()
	before := g.passes
	g.mu.Unlock()
	began := time.Now()
	for range 50 {
		assert.NoError(t, g.grow(last, 1))
		g.release(last, 1)
		time.Sleep(500 * time.Microsecond) // the listener would use it for a pass
	}
	g.mu.Lock()
	passes := g.passes - before
	g.mu.Unlock()
	assert.LessOrEqual(t, passes, 2+int(time.Since(began)/evictRetry))
	assert.NoError(t, last.Close())
	waiting.Wait()
}

// Guards against closing clients that have just connected, and whose first request is on its way, for a reserve that others
// have to provide.
func TestNewConnectionsAreNotClosedForTheReserve(t *testing.T) {
	l := testLimits()
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	recent := time.Now().Add(-firstDwell)
	for n := range l.Connections {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
		c, err := g.admit(a)
		assert.NoError(t, err)
		c.(*Conn).update(func() {
			conn := c.(*Conn)
			conn.accepted, conn.progressed = recent, recent
			if n == 0 {
				conn.phase = phaseIdle
			}
		})
	}
	aborted := 0
	for c := range g.conns {
		if c.aborted {
			aborted++
			assert.Equal(t, phaseIdle, c.phase, "only the idle one is closed")
		}
	}
	assert.Equal(t, 1, aborted)
}

// Guards against closing a client whose first request has arrived, because this instance has had no time to read it, while
// silent ones are kept.
func TestReceivedFirstRequestIsNotClosedForOthers(t *testing.T) {
	l := testLimits()
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := g.Listener(inner)
	defer listener.Close()
	accept := func() *Conn {
		c, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c.(*Conn)
	}
	sender := dial(t, inner.Addr().String())
	_, err = sender.Write([]byte(get))
	require.NoError(t, err)
	first := accept()
	for range l.Connections - 1 {
		dial(t, inner.Addr().String())
		accept()
	}
	require.Eventually(t, func() bool { return first.unread() > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(firstDwell) // first is now the one that waits for the longest time
	dial(t, inner.Addr().String())
	go func() {
		for range time.Tick(time.Millisecond) { // the server closes what the gate has aborted
			g.mu.Lock()
			for c := range g.conns {
				if c.aborted {
					go c.Close()
				}
			}
			done := g.closed
			g.mu.Unlock()
			if done {
				return
			}
		}
	}()
	accept()
	first.update(func() { assert.False(t, first.aborted) })
}
