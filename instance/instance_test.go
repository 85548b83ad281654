package instance

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowListener accepts connections on which writes wait until release is closed.
type slowListener struct {
	net.Listener
	release chan struct{}
	writes  chan struct{} // receives one element when a write begins
	closed  chan struct{}
	once    sync.Once
}

func newSlowListener(t *testing.T) *slowListener {
	return &slowListener{Listener: listen(t), release: make(chan struct{}), writes: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, listener: l}, nil
}

func (l *slowListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

func (c *slowConn) Write(b []byte) (int, error) {
	select {
	case c.listener.writes <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.Conn.Write(b)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// Guards against an answer that is cut off because the instance stops after the handler of the request has returned, and before
// its answer is written.
func TestAnswerOfAReturnedHandlerIsWritten(t *testing.T) {
	callers := newSlowListener(t)
	unused := listen(t) // takes the place of the platform, and answers nothing
	defer unused.Close()
	i, err := New(Options{ID: "entry-1", DataCentre: "augsburg", Platform: unused.Addr().String(), Callers: callers, Peers: listen(t), Admin: listen(t),
		ListLag: time.Millisecond, DrainTimeout: time.Minute, StoreCallsPerSec: 50, Metrics: metrics.NewRegistry()})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	conn, err := net.Dial("tcp", callers.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET /v1/jobs/oberbayern/job-1 HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	<-callers.writes // the handler has returned
	stop()
	<-callers.closed // nothing is in flight any more
	close(callers.release)
	raw, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(raw), "HTTP/1.1 "), "got %q", raw)
	require.NoError(t, <-ended)
}
