package connbound_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/connbound"
)

// An owner on a small machine calls thousands of workers. Guards against a process that runs out of
// file descriptors and can then answer no calls, and against a count that is not lowered on close.
func TestDialerRefusesBeyondLimit(t *testing.T) {
	made := 0
	d := connbound.New(2, func(context.Context, string, string) (net.Conn, error) {
		made++
		a, b := net.Pipe()
		t.Cleanup(func() { assert.NoError(t, b.Close()) })
		return a, nil
	}, zap.NewNop())
	dial := func() (net.Conn, error) { return d.DialContext(context.Background(), "tcp", "10.0.0.1:1") }
	first, err := dial()
	assert.NoError(t, err)
	second, err := dial()
	assert.NoError(t, err)
	_, err = dial()
	assert.ErrorIs(t, err, connbound.ErrLimitReached)
	var op *net.OpError
	assert.ErrorAs(t, err, &op, "the same error type as for any failed dial")
	assert.Equal(t, 2, made)
	assert.NoError(t, first.Close())
	assert.NoError(t, first.Close())
	third, err := dial()
	assert.NoError(t, err, "one connection was closed")
	_, err = dial()
	assert.ErrorIs(t, err, connbound.ErrLimitReached, "a second close does not lower the count again")
	assert.NoError(t, second.Close())
	assert.NoError(t, third.Close())
}
