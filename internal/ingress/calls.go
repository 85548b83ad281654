package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/sync/semaphore"
)

const (
	// copies is the memory of a call besides its body: the decoded job, its encoding for the store, the request to the store
	// in base64 and the copy for a peer, each as long as the body.
	copies = 5
	// writeCopies is what remains after decoding, in quarters of the body: the encoding and its base64 are 2.33 bodies, of
	// which the bytes of the received body, whose buffer has been returned, cover one until the answer.
	writeCopies = 6
	// escapeBytes is how much longer the encodings are for a character that JSON escapes for HTML.
	escapeBytes = 12
	// callOverhead is the memory of the records of a call.
	callOverhead = 8 << 10
	// objectBytes and valueBytes are the memory of an object and of another value of the document, with the growth of the
	// lists that hold them.
	objectBytes, valueBytes = 640, 32
	// maxObjects is more than the steps and labels of any valid job.
	maxObjects = 32_768
)

// ErrTooManyValues reports a document that decodes to more than any valid job.
var ErrTooManyValues = errors.New("the document has too many objects")

// callMemory returns the memory that a call with the body needs at most, and how much of it the write needs after decoding.
// It does not decode the body.
func callMemory(body []byte) (need, write int64, err error) {
	var objects, values, escapes int64
	text, escaped := false, false
	for _, b := range body {
		if b == '<' || b == '>' || b == '&' {
			escapes++
		}
		switch {
		case escaped:
			escaped = false
		case text:
			escaped, text = b == '\\', b != '"'
		case b == '"':
			text = true
		case b == '{' || b == '[':
			objects++
		case b == ',':
			values++
		}
	}
	if objects > maxObjects {
		return 0, 0, ErrTooManyValues
	}
	size, fixed := int64(len(body)), callOverhead+escapes*escapeBytes
	return fixed + copies*size + objects*objectBytes + values*valueBytes, fixed + writeCopies*size/4, nil
}

// Call is the memory of a call. Its methods are not safe for concurrent use.
type Call struct {
	from        *semaphore.Weighted // nil if the memory is not bounded
	held, write int64
}

// Decoded returns the memory that only decoding needs, so that a slow store does not hold it.
func (c *Call) Decoded() { c.keep(min(c.held, c.write)) }

// End returns all memory.
func (c *Call) End() { c.keep(0) }

func (c *Call) keep(n int64) {
	if c.from != nil && c.held > n {
		c.from.Release(c.held - n)
		c.held = n
	}
}

// Begin waits until there is memory to decode and store the body. The caller must call End. Short requests have a part of the
// memory of their own. It returns ErrShort if there is none before the deadline of ctx, and the error of ctx if the caller
// has hung up.
func (g *Gate) Begin(ctx context.Context, r *http.Request, body *Body) (*Call, error) {
	need, write, err := callMemory(body.Bytes)
	if err != nil {
		return nil, err
	}
	if g.limits.CallBytes <= 0 {
		return &Call{}, nil
	}
	calls, capacity := g.largeCalls, max(1, g.limits.CallBytes*3/4)
	if len(body.Bytes) <= shortBytes && need <= callOverhead+(copies+1)*shortBytes {
		calls, capacity = g.shortCalls, max(1, g.limits.CallBytes/4)
	}
	need = min(need, capacity) // a large call may take everything
	if err := calls.Acquire(ctx, need); err != nil {
		if c := connOf(r.Context()); c != nil {
			c.close()
		}
		if errors.Is(err, context.Canceled) && r.Context().Err() != nil {
			return nil, fmt.Errorf("the caller has hung up: %w", err)
		}
		g.report.refused(reasonCalls)
		return nil, ErrShort
	}
	return &Call{calls, need, write}, nil
}
