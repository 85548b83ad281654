package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainTime and drainBytes bound what is read from a client after a refusal, so that the refusal reaches a client that
	// is still sending.
	drainTime  = 300 * time.Millisecond
	drainBytes = 1 << 20
	// writePiece is the size of the pieces in which the progress of a write is observed.
	writePiece = 16 << 10
)

// Conn is a connection of a Gate.
type Conn struct {
	net.Conn
	gate *Gate

	// gate.mu guards the fields below.
	holder
	closing bool // chosen to be closed or refused
	aborted bool // closed by the gate
	removed bool
	raw     int64 // bytes read since the start of the request
	message int64 // bytes read since the last write, if these are counted
	// The requests in advance are counted by what has arrived before the answer.
	fetched   bool // a byte was read since the start of the request
	early     bool // a byte was read after the request and before the answer
	answering bool // the answer has begun
	ahead     bool // more than the request had arrived when the answer began
	bodyLeft  bool // the request has a body that was not read to its end
	system    syscall.RawConn

	header http.Header // of the answer; used by the handler only
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if d := c.gate.limits.IdleTimeout; d > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.update(func() {
			c.progressed = time.Now()
			c.raw += int64(n)
			c.fetched = true
			// net/http reads one byte while a call is in progress. Before the answer it belongs to a request in advance.
			c.early = c.early || c.phase == phaseServing && !c.answering && !c.bodyLeft
			if c.phase == phaseNew || c.phase == phaseIdle {
				c.phase = phaseHeader
			}
		})
		if c.gate.limits.CountReads {
			if short := c.gate.countRead(c, int64(n)); short != nil {
				return 0, short
			}
		}
	}
	return n, err
}

// Write implements net.Conn. The time without progress is bounded, whatever the size.
func (c *Conn) Write(p []byte) (int, error) {
	if c.gate.limits.CountReads {
		c.update(func() { c.message = 0 })
		c.gate.release(c, -1)
	} else {
		c.lookAhead()
	}
	c.update(func() {
		c.writing, c.progressed = true, time.Now()
		if c.gate.limits.CountReads {
			c.phase = phaseIdle
		}
	})
	written := 0
	var err error
	for written < len(p) && err == nil {
		var n int
		if err = c.Conn.SetWriteDeadline(time.Now().Add(c.gate.limits.WriteTimeout)); err != nil {
			break
		}
		n, err = c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.update(func() { c.progressed = time.Now() })
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
	}
	c.update(func() { c.writing = false })
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.report.closed(reasonWrite)
	}
	return written, err
}

// lookAhead determines before the first byte of an answer whether the client has sent more than the request. Afterwards a
// client that waits for its answers cannot be told from one that does not.
func (c *Conn) lookAhead() {
	var due bool
	c.update(func() {
		due = c.phase == phaseServing && !c.answering
		c.answering = c.answering || due
	})
	if !due {
		return
	}
	unread := c.unread()
	c.update(func() {
		if c.bodyLeft {
			unread -= int(max(0, c.announced)) // the rest of a body is no request
			if c.announced < 0 {
				unread = 0
			}
		}
		c.ahead = c.early || unread > 0
	})
}

// unread returns the number of bytes that were received and not read; 0 if it is not known.
func (c *Conn) unread() (n int) {
	if c.system == nil {
		return 0
	}
	_ = c.system.Control(func(fd uintptr) { // fails only on a closed connection
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // 0 on failure
	})
	return n
}

// CloseWrite closes the sending side, which net/http does after a refusal.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. After a refusal it reads for a short time what the client still sends: closing a connection
// with unread bytes could discard the refusal.
func (c *Conn) Close() error {
	var refused bool
	c.update(func() { refused = c.phase == phaseRefused && !c.removed && !c.gate.closed })
	if refused {
		_ = c.CloseWrite()                                             // the connection is closed below in any case
		_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))          // as above
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, drainBytes)) // as above
	}
	err := c.Conn.Close()
	c.gate.remove(c)
	return err
}

func (c *Conn) update(f func()) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	f()
}

// enter starts a phase. It does not leave phaseRefused.
func (c *Conn) enter(p phase) {
	c.update(func() {
		if c.phase != phaseRefused {
			c.phase = p
		}
	})
}

// abort closes a connection at once and discards what the system holds for it.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // its user closes it again
}

// rawConn returns nil for a connection that is not one of the system.
func rawConn(socket any) syscall.RawConn {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// limitBuffers sets the buffers of the system unless the size is 0. They otherwise grow to some megabytes. Connections inherit those of the
// listener, so that the limit holds before they are accepted.
func limitBuffers(raw syscall.RawConn, size int) {
	if raw == nil || size == 0 {
		return
	}
	_ = raw.Control(func(fd uintptr) { // without effect, the buffers are those of the system
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
	})
}

type connKey struct{}

// ConnContext is a function for http.Server.ConnContext, which Handler and ReadBody need.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
