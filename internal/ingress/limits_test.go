package ingress

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against defaults that clients inside the limits reach on a small instance: 48 submissions of 262,144 bytes at once
// beside 300 open connections, all of which stay open. Each has a deadline of 3 s, of which the store takes 1.5 s.
func TestDefaultsServeABurstOnASmallInstance(t *testing.T) {
	l := Settings{MemoryMB: 184, MaxFDs: 4100}.Callers()
	g, address := serve(t, l, 3*time.Second, func([]byte) { time.Sleep(1500 * time.Millisecond) })
	const idle = 300
	for range idle {
		dial(t, address)
	}
	text := strings.Repeat("x", 262_144)
	var burst sync.WaitGroup
	for range 48 {
		burst.Go(func() {
			c := dial(t, address)
			_, err := fmt.Fprintf(c, head+"Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			assert.NoError(t, err)
			assert.Contains(t, answerOf(c), "200 OK")
		})
	}
	burst.Wait()
	assert.Zero(t, g.BytesHeld())
	assert.Eventually(t, func() bool { return g.Connections() == idle }, 5*time.Second, time.Millisecond, "%d open", g.Connections())
}

// Guards against limits that together exceed the process: memory, and the descriptors of all listeners, workers, files and
// other clients, also on machines with low limits.
func TestLimitsFitTheProcess(t *testing.T) {
	for _, s := range []Settings{{MemoryMB: 96, MaxFDs: 512}, {MemoryMB: 184, MaxFDs: 4100}, {MemoryMB: 284, MaxFDs: 8192}, {MemoryMB: 536, MaxFDs: 8192}, {}} {
		c, p := s.Callers(), s.Peers()
		memory := int64(c.Connections)*connectionBytes + c.Bytes + c.CallBytes + p.Bytes
		assert.LessOrEqual(t, memory, int64(0.6*s.memory()), "%+v", s)
		// The previous assertion, a quarter for all listeners, left too few to peers. The sum includes what it kept free.
		files, clients := min(fileFDs, s.fds()/fileFDShare), min(clientFDs, s.fds()/clientFDShare)
		assert.LessOrEqual(t, c.Connections+p.Connections+2*probeConnections+files+clients+s.WorkerConnections(), s.fds(), "%+v", s)
		assert.GreaterOrEqual(t, s.WorkerConnections(), s.fds()/2, "%+v", s)
		assert.NoError(t, s.Check(), "%+v", s)
		if s.fds() >= 4100 {
			assert.Equal(t, fileFDs, files)
			assert.GreaterOrEqual(t, s.WorkerConnections(), 630*4, "an owner with 4 connections to each of 630 workers: %+v", s)
			assert.GreaterOrEqual(t, p.Connections, MaxInstances*PeerCalls, "calls of all instances: %+v", s)
		}
	}
}

// Guards against settings that take the descriptors of the workers or the memory of the process.
func TestSettingsBeyondTheProcessAreInvalid(t *testing.T) {
	for field, s := range map[string]Settings{
		"MaxConnections": {MemoryMB: 536, MaxFDs: 4100, Connections: 2100},
		"MemoryMb":       {MemoryMB: 184, MaxFDs: 4100, Connections: 1500},
		"BodiesMb":       {MemoryMB: 184, MaxFDs: 4100, BodiesMB: 100},
		"CallsMb":        {MemoryMB: 184, MaxFDs: 4100, CallsMB: 100},
	} {
		assert.ErrorContains(t, s.Check(), field)
	}
	assert.NoError(t, Settings{MemoryMB: 184, MaxFDs: 4100, Connections: 600, BodiesMB: 30, CallsMB: 30}.Check())
}
