package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// serve runs a server that answers with the length of the body, or 503, and returns the gate and the address.
func serve(t testing.TB, l Limits, timeout time.Duration, inspect func(body []byte)) (*Gate, string) {
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		body, err := g.ReadBody(ctx, r, 262_144)
		var call *Call
		if err == nil {
			call, err = g.Begin(ctx, r, body)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer call.End()
		call.Decoded()
		if inspect != nil {
			inspect(body.Bytes)
		}
		if ctx.Err() != nil {
			http.Error(w, "the deadline has passed", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, len(body.Bytes))
		body.Release()
	}))}
	go func() { _ = server.Serve(g.Listener(inner)) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return g, inner.Addr().String()
}

func testLimits() Limits {
	return Limits{Connections: 16, Bytes: 1 << 20, CallBytes: 4 << 20, BodyTime: time.Minute, WriteTimeout: time.Second}
}

func dial(t testing.TB, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

const head = "POST / HTTP/1.1\r\nHost: a\r\n"

func answerOf(c net.Conn) string {
	raw, _ := io.ReadAll(c) // may end with a reset after the answer
	return string(raw)
}

// Guards against bounds that refuse an ordinary large request: 262,144 bytes that arrive slowly but inside the deadline of
// the call, with a pause, in each encoding.
func TestSlowBodyInsideItsDeadlineIsServed(t *testing.T) {
	const size, pieces = 262_144, 16
	piece := strings.Repeat("x", size/pieces)
	for encoding, send := range map[string]func(c net.Conn) error{
		fmt.Sprintf("Content-Length: %d", size): func(c net.Conn) error { _, err := io.WriteString(c, piece); return err },
		"Transfer-Encoding: chunked": func(c net.Conn) error {
			_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			return err
		},
	} {
		t.Run(encoding, func(t *testing.T) {
			g, address := serve(t, testLimits(), 3*time.Second, nil)
			c := dial(t, address)
			_, err := io.WriteString(c, head+"Connection: close\r\n"+encoding+"\r\n\r\n")
			require.NoError(t, err)
			time.Sleep(700 * time.Millisecond)
			for range pieces {
				require.NoError(t, send(c))
				time.Sleep(50 * time.Millisecond)
			}
			if strings.HasPrefix(encoding, "Transfer") {
				_, err = io.WriteString(c, "0\r\n\r\n")
				require.NoError(t, err)
			}
			assert.Contains(t, answerOf(c), "\r\n\r\n262144")
			assert.Zero(t, g.BytesHeld())
		})
	}
}

// Guards against a body that holds its connection and memory beyond the deadline of its call, and against a refusal that
// does not reach the client.
func TestIncompleteBodyIsRefusedAtItsDeadline(t *testing.T) {
	g, address := serve(t, testLimits(), 200*time.Millisecond, nil)
	c := dial(t, address)
	_, err := io.WriteString(c, head+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
	require.NoError(t, err)
	answer := answerOf(c)
	assert.Contains(t, answer, "503")
	assert.Contains(t, answer, ErrDeadline.Error())
	assert.Zero(t, g.BytesHeld())
}

// Guards against more open connections than the limit, and against silent clients that keep an ordinary one from being
// served.
func TestConnectionsAreBounded(t *testing.T) {
	l := testLimits()
	g, address := serve(t, l, time.Second, nil)
	for range 5 * l.Connections {
		dial(t, address)
		assert.LessOrEqual(t, g.Connections(), int64(l.Connections))
	}
	c := dial(t, address)
	_, err := io.WriteString(c, head+"Connection: close\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	assert.Contains(t, answerOf(c), "200 OK")
	assert.LessOrEqual(t, g.Connections(), int64(l.Connections))
}

// Guards against held bodies that use the whole budget: it is not exceeded, the ones without progress are refused, and a
// short request and a whole large one are served.
func TestHeldBodiesAreRefusedForOthers(t *testing.T) {
	l := testLimits()
	l.Connections = 64
	g, address := serve(t, l, 20*time.Second, nil)
	for range 20 {
		c := dial(t, address)
		_, err := io.WriteString(c, head+"Content-Length: 262144\r\n\r\n"+strings.Repeat("x", 262_143))
		require.NoError(t, err)
		assert.LessOrEqual(t, g.BytesHeld(), l.Bytes)
	}
	time.Sleep(2 * stalledAfter)
	for _, size := range []int{2, 262_144} {
		c := dial(t, address)
		_, err := fmt.Fprintf(c, head+"Connection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		require.NoError(t, err)
		assert.Contains(t, answerOf(c), fmt.Sprintf("\r\n\r\n%d", size))
		assert.LessOrEqual(t, g.BytesHeld(), l.Bytes)
	}
}

// Guards against a fixed time for a write of any size, which cuts large answers on slow links: the reader takes 30 KB every
// 30 ms, so that the write takes longer than its time-out but makes progress.
func TestLongWriteWithProgressIsNotCut(t *testing.T) {
	const size = 600 << 10
	l := testLimits()
	l.WriteTimeout = 200 * time.Millisecond
	g := New(Options{Name: "test", Limits: l, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	a, b := net.Pipe()
	c, err := g.admit(a)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := c.Write(make([]byte, size))
		done <- err
	}()
	for range 20 {
		time.Sleep(30 * time.Millisecond)
		_, err := io.ReadFull(b, make([]byte, size/20))
		require.NoError(t, err)
	}
	assert.NoError(t, <-done)
	assert.NoError(t, c.Close())
}

// Guards against a document that is small as sent and large when decoded.
func TestCallMemory(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		need int64
		err  error
	}{
		"ordinary":        {`{"Steps":[{"Count":1,"Cpu":2}]}`, 3*objectBytes + valueBytes, nil},
		"text is opaque":  {`{"Spec":"{{[[,,\"{\\"}`, objectBytes, nil},
		"too many steps":  {`{"Steps":[` + strings.Repeat(`{},`, maxObjects), 0, ErrTooManyValues},
		"too many arrays": {strings.Repeat(`[`, maxObjects+1), 0, ErrTooManyValues},
	} {
		t.Run(name, func(t *testing.T) {
			need, write, err := callMemory([]byte(c.body))
			assert.ErrorIs(t, err, c.err)
			if err == nil {
				assert.Equal(t, callOverhead+copies*int64(len(c.body))+c.need, need)
				assert.Less(t, write, need)
			}
		})
	}
}

// Guards against an account that is not released, with a body in arbitrary chunks that ends early, is refused or whose call
// panics: the budget returns to zero, and a body that was received whole is what was sent.
func FuzzBodyAccounting(f *testing.F) {
	f.Add([]byte{1, 1, 1}, uint8(0))
	f.Add([]byte{255, 0, 7, 200}, uint8(1))
	f.Add([]byte{200, 255, 255, 255, 255, 255, 255, 255}, uint8(2))
	f.Add([]byte{3}, uint8(3))
	l := testLimits()
	l.Bytes = 48 << 10 // some of the bodies are above it
	var fault bool
	var seen string
	g, address := serve(f, l, 100*time.Millisecond, func(body []byte) {
		seen = string(body)
		if fault {
			panic(http.ErrAbortHandler)
		}
	})
	f.Fuzz(func(t *testing.T, sizes []byte, end uint8) {
		fault, seen = end%4 == 2, ""
		sent := ""
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(c, head+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n, size := range sizes[:min(len(sizes), 32)] {
			if err != nil {
				break // the server has refused the body
			}
			chunk := strings.Repeat(string(rune('a'+n%26)), 1+int(size)*64)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
			sent += chunk
		}
		whole := end%4 == 0 && err == nil
		switch end % 4 {
		case 0, 2:
			_, _ = io.WriteString(c, "0\r\n\r\n") // the server may have refused the body
		case 1: // stops and stays open until the deadline
		case 3:
			_, _ = io.WriteString(c, "zz\r\n") // as above
			require.NoError(t, c.Close())
		}
		if end%4 != 3 {
			answer := answerOf(c)
			if whole && strings.Contains(answer, "200 OK") {
				assert.Equal(t, sent, seen)
			}
		}
		require.Eventually(t, func() bool { return g.BytesHeld() == 0 && g.Connections() == 0 }, 5*time.Second, time.Millisecond)
		require.True(t, g.shortCalls.TryAcquire(l.CallBytes/4), "memory of short calls")
		g.shortCalls.Release(l.CallBytes / 4)
		require.True(t, g.largeCalls.TryAcquire(l.CallBytes*3/4), "memory of large calls")
		g.largeCalls.Release(l.CallBytes * 3 / 4)
	})
}
