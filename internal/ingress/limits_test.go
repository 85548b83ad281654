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
// beside 300 open connections, all of which stay open.
func TestDefaultsServeABurstOnASmallInstance(t *testing.T) {
	l := Settings{MemoryMB: 184, MaxFDs: 4100}.Callers()
	g, address := serve(t, l, 10*time.Second, nil)
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
	assert.Equal(t, int64(idle), g.Connections())
}

// Guards against limits that together exceed the process: memory, and the descriptors that remain for the store, workers,
// files and probes, also on machines with very low limits.
func TestLimitsFitTheProcess(t *testing.T) {
	for _, s := range []Settings{{MemoryMB: 96, MaxFDs: 512}, {MemoryMB: 184, MaxFDs: 4100}, {MemoryMB: 284, MaxFDs: 8192}, {MemoryMB: 536, MaxFDs: 8192}, {}} {
		c, p := s.Callers(), s.Peers()
		memory := int64(c.Connections)*connectionBytes + c.Bytes + c.CallBytes + p.Bytes
		assert.LessOrEqual(t, memory, int64(0.6*s.memory()), "%+v", s)
		assert.LessOrEqual(t, c.Connections+p.Connections+2*probeConnections, s.fds()/4, "%+v", s)
	}
}
