package ingress

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against messages between instances that are cut while the budget is used, which their callers see as
// submit_uncertain although the job was stored: 64 of 262,144 bytes at once, 500 ms each.
func TestMessagesOfInstancesWait(t *testing.T) {
	const size, messages = 262_144, 64
	g := New(Options{Name: "peers", Limits: Settings{MemoryMB: 184, MaxFDs: 4100}.Peers(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := g.Listener(inner)
	defer listener.Close()
	var serving, sending sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, size)); assert.NoError(t, err) {
					assert.LessOrEqual(t, g.BytesHeld(), g.limits.Bytes)
					time.Sleep(500 * time.Millisecond)
					_, err = c.Write([]byte("x"))
					assert.NoError(t, err)
				}
			})
		}
	})
	text := strings.Repeat("x", size)
	for range messages {
		sending.Go(func() {
			c := dial(t, inner.Addr().String())
			_, err := io.WriteString(c, text)
			assert.NoError(t, err)
			_, err = io.ReadFull(c, make([]byte, 1))
			assert.NoError(t, err, "cut")
		})
	}
	sending.Wait()
	require.NoError(t, listener.Close())
	serving.Wait()
	assert.Zero(t, g.BytesHeld())
}
