package ingress

import (
	"context"
	"errors"
	"net/http"
)

const (
	// Memory of a call besides its body: the decoded job, its encoding for the store, the request to the store in base64
	// and the copy for a peer, each as long as the body, and the records of the call.
	copies       = 5
	callOverhead = 8 << 10
	// objectBytes and valueBytes are the memory of an object and of another value of the document, with the growth of the
	// lists that hold them.
	objectBytes, valueBytes = 640, 32
	// maxObjects is more than the steps and labels of any valid job.
	maxObjects = 32_768
)

// ErrTooManyValues reports a document that decodes to more than any valid job.
var ErrTooManyValues = errors.New("the document has too many objects")

// callMemory returns the memory that a call with the body needs at most. It does not decode the body.
func callMemory(body []byte) (int64, error) {
	var objects, values int64
	text, escaped := false, false
	for _, b := range body {
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
		return 0, ErrTooManyValues
	}
	return callOverhead + copies*int64(len(body)) + objects*objectBytes + values*valueBytes, nil
}

// Begin waits until there is memory to decode and store the body, and returns a function that returns it. Short requests
// have a part of the memory of their own. It returns ErrShort if there is none before the deadline of ctx.
func (g *Gate) Begin(ctx context.Context, r *http.Request, body *Body) (end func(), err error) {
	need, err := callMemory(body.Bytes)
	if err != nil {
		return nil, err
	}
	if g.limits.CallBytes <= 0 {
		return func() {}, nil
	}
	calls, capacity := g.largeCalls, max(1, g.limits.CallBytes*3/4)
	if len(body.Bytes) <= shortBytes && need <= callOverhead+(copies+1)*shortBytes {
		calls, capacity = g.shortCalls, max(1, g.limits.CallBytes/4)
	}
	need = min(need, capacity) // a large call may take everything
	if calls.Acquire(ctx, need) != nil {
		g.report.refused(reasonCalls)
		if c := connOf(r.Context()); c != nil {
			c.close()
		}
		return nil, ErrShort
	}
	return func() { calls.Release(need) }, nil
}
