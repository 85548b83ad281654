package connbound_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/connbound"
)

// Load: an owner on a small machine calls thousands of workers. Guards against a process that runs out
// of descriptors and can then answer nobody, and against places that are not given back.
func TestDialerStaysBelowItsLimit(t *testing.T) {
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
	assert.ErrorAs(t, err, &op, "as for any connection that was not made")
	assert.Equal(t, 2, made)
	assert.NoError(t, first.Close())
	assert.NoError(t, first.Close())
	third, err := dial()
	assert.NoError(t, err, "one place is free")
	_, err = dial()
	assert.ErrorIs(t, err, connbound.ErrLimitReached, "closing twice frees one place")
	assert.NoError(t, second.Close())
	assert.NoError(t, third.Close())
}
