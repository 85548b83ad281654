package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// ask sends a request and waits for the answer.
func ask(c net.Conn, r *bufio.Reader) error {
	if _, err := io.WriteString(c, get); err != nil {
		return err
	}
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// highestBurst returns the largest number of requests that a connection has sent in advance.
func highestBurst(g *Gate) (burst int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		burst = max(burst, c.burst)
	}
	return burst
}

// Guards against closing a keep-alive client that waits for each answer as if it had sent its requests in advance, while
// connections that are only held open are kept.
func TestSequentialClientIsNotAFlood(t *testing.T) {
	l := testLimits()
	g, address := serve(t, l, time.Second, nil)
	c := dial(t, address)
	r := bufio.NewReader(c)
	for n := range 2000 {
		require.NoError(t, ask(c, r), "request %d", n)
	}
	assert.Zero(t, highestBurst(g))
	for range 4 * l.Connections {
		idle := dial(t, address)
		require.NoError(t, ask(idle, bufio.NewReader(idle)))
		require.NoError(t, ask(c, r), "closed before an idle connection")
	}
}

// Guards against a count that misses requests which were sent in advance: several in one buffer of the server, and ones
// that are larger than its buffer.
func TestRequestsInAdvanceAreCounted(t *testing.T) {
	const requests = 2 * manyRequests
	for name, request := range map[string]string{
		"short": get, "long": "GET /" + strings.Repeat("x", 8<<10) + " HTTP/1.1\r\nHost: a\r\n\r\n",
		"body": head + "Content-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			g, address := serve(t, testLimits(), time.Second, nil)
			c := dial(t, address)
			go func() { _, _ = io.WriteString(c, strings.Repeat(request, requests)) }() // the answers show what arrived
			r := bufio.NewReader(c)
			for range requests {
				answer, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(t, err)
				time.Sleep(time.Millisecond)
			}
			assert.GreaterOrEqual(t, highestBurst(g), manyRequests)
		})
	}
}
