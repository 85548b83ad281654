package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"
)

// Errors of ReadBody. All of them mean that the request was not passed on.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrOverhead = errors.New("the encoding of the body takes too many bytes")
	ErrDeadline = errors.New("the body did not arrive within the deadline of the call")
)

const (
	// freeOverhead and overheadFactor bound what the encoding of a body takes: chunks of one byte take six bytes each.
	freeOverhead, overheadFactor = 64 << 10, 8
	// discardTime bounds how long the server reads a body that the handler did not read.
	discardTime = 3 * time.Second
)

// bufferSizes are the sizes of pooled buffers. The last one holds a body of 262,144 bytes with room to see its end.
var bufferSizes = [...]int{4 << 10, 16 << 10, 64 << 10, 257 << 10}

var pools [len(bufferSizes)]sync.Pool

// getBuffer returns an empty buffer with more than the capacity.
func getBuffer(above int) []byte {
	for n, size := range bufferSizes {
		if size > above {
			if b, ok := pools[n].Get().(*[]byte); ok {
				return (*b)[:0]
			}
			return make([]byte, 0, size)
		}
	}
	return make([]byte, 0, 2*above)
}

func putBuffer(b []byte) {
	for n, size := range bufferSizes {
		if size == cap(b) {
			pools[n].Put(&b)
		}
	}
}

// Body is a request's body that was received completely. Its bytes count until the request is answered.
type Body struct{ Bytes []byte }

// Release returns the buffer. The bytes must not be used afterwards.
func (b *Body) Release() {
	putBuffer(b.Bytes)
	b.Bytes = nil
}

// ReadBody reads the body of a request, of at most limit bytes, until the deadline of ctx. It returns ErrShort if the
// request was given up in favour of others. After an error the connection is closed with the answer.
func (g *Gate) ReadBody(ctx context.Context, r *http.Request, limit int64) (*Body, error) {
	c := connOf(r.Context())
	if c == nil {
		return readPlain(r, limit)
	}
	if err := c.beginBody(ctx, r.ContentLength); err != nil {
		return nil, g.refuse(c, err)
	}
	buffer, err := g.receive(c, r.Body, limit)
	if err == nil {
		err = c.endBody()
	}
	if err != nil {
		putBuffer(buffer)
		g.release(c, -1)
		return nil, g.refuse(c, err)
	}
	return &Body{buffer}, nil
}

func readPlain(r *http.Request, limit int64) (*Body, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(raw)) > limit {
		err = ErrTooLarge
	}
	return &Body{raw}, err
}

// receive reads into buffers that grow with what has arrived.
func (g *Gate) receive(c *Conn, body io.Reader, limit int64) (buffer []byte, err error) {
	for {
		if len(buffer) == cap(buffer) {
			next := getBuffer(cap(buffer))
			if err := g.grow(c, int64(cap(next)-cap(buffer))); err != nil {
				putBuffer(next)
				return buffer, err
			}
			next = append(next, buffer...)
			putBuffer(buffer)
			buffer = next
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		overhead := c.countBody(int64(len(buffer)))
		switch {
		case int64(len(buffer)) > limit:
			return buffer, ErrTooLarge
		case overhead > freeOverhead+overheadFactor*int64(len(buffer)):
			return buffer, ErrOverhead
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, c.readError(err)
		}
		// A read decodes at most one buffer of the connection. Without yielding, each of the connections that send small
		// chunks would use the processor for a time slice of 10 ms, and ordinary calls would wait for all of them.
		runtime.Gosched()
	}
}

func (c *Conn) countBody(received int64) (overhead int64) {
	c.update(func() { c.received, overhead = received, c.raw-received })
	return overhead
}

// readError replaces the error of a read that the gate or the deadline has ended.
func (c *Conn) readError(err error) error {
	var closing bool
	c.update(func() { closing = c.closing })
	switch {
	case closing:
		return ErrShort
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrDeadline
	}
	return fmt.Errorf("body not read: %w", err)
}

func (c *Conn) beginBody(ctx context.Context, announced int64) (err error) {
	c.update(func() {
		c.began = time.Now()
		c.deadline = c.began.Add(c.gate.limits.BodyTime)
		if d, ok := ctx.Deadline(); ok && d.Before(c.deadline) {
			c.deadline = d
		}
		c.received, c.announced = 0, announced
		if c.closing {
			err = ErrShort
			return
		}
		c.phase = phaseBody
		err = c.Conn.SetReadDeadline(c.deadline)
	})
	return err
}

// endBody ends the body's deadline, so that it does not end the call.
func (c *Conn) endBody() (err error) {
	c.update(func() {
		if c.closing {
			err = ErrShort
			return
		}
		c.phase, c.bodyLeft = phaseServing, false
		err = c.Conn.SetReadDeadline(time.Time{})
	})
	return err
}

// refuse counts the refusal and makes the connection end with the answer, without reading the rest of the body.
func (g *Gate) refuse(c *Conn, err error) error {
	switch {
	case errors.Is(err, ErrShort):
		g.report.refused(reasonBytes)
	case errors.Is(err, ErrDeadline):
		g.report.refused(reasonDeadline)
	case errors.Is(err, ErrOverhead):
		g.report.refused(reasonOverhead)
	}
	c.close()
	_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
	return err
}

// close makes the server close the connection after the answer. The failed read of the body has ended the contexts of all
// further requests on it. The caller must be the handler of the request.
func (c *Conn) close() {
	c.update(func() { c.phase = phaseRefused })
	if c.header != nil {
		c.header.Set("Connection", "close")
	}
}

// Handler accounts for the requests of the connections. The server needs ConnContext and ConnState.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		// A connection whose requests were all sent in advance would otherwise be served for a whole time slice. While the
		// request waits here, its connection can be closed for others.
		c.enter(phaseReady)
		runtime.Gosched()
		if !c.beginRequest(r) {
			return
		}
		defer c.endRequest()
		c.header = w.Header()
		next.ServeHTTP(w, r)
	})
}

// beginRequest reports whether the connection is still open.
func (c *Conn) beginRequest(r *http.Request) (open bool) {
	c.update(func() {
		open = !c.aborted
		c.requests++
		// Without a read since the previous request, both were in the buffer of the server.
		if c.ahead || c.requests > 1 && !c.fetched {
			c.burst++
		} else {
			c.burst = 0
		}
		c.fetched, c.early, c.answering, c.ahead = false, false, false, false
		c.raw, c.received, c.announced = 0, 0, r.ContentLength
		c.began = time.Now()
		c.progressed = c.began
		c.deadline = c.began.Add(c.gate.limits.BodyTime)
		c.bodyLeft = r.ContentLength != 0
		if c.phase != phaseRefused {
			c.phase = phaseServing
		}
	})
	return open
}

// endRequest releases what the request held, and bounds the time for a body that was not read.
func (c *Conn) endRequest() {
	c.gate.release(c, -1)
	c.update(func() {
		if c.bodyLeft && c.phase != phaseRefused {
			c.phase = phaseBody
			_ = c.Conn.SetReadDeadline(time.Now().Add(discardTime)) // fails only on a closed connection
		}
	})
}

// ConnState is a function for http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.enter(phaseIdle)
	}
}
