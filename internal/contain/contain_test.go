package contain_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/contain"
)

// Guards against a panic in one loop that ends the process, or after which the loop is not restarted.
func TestLoopRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		guard := contain.New(zap.NewNop(), registry)
		calls := 0
		guard.Loop(context.Background(), "loop", func(context.Context) {
			if calls++; calls < 3 {
				panic("malformed")
			}
		})
		assert.Equal(t, 3, calls)
		assert.EqualValues(t, 2, registry.Get("panics.contained").(metrics.Counter).Count())
		assert.ErrorContains(t, guard.Do("call", func() { panic("malformed") }), "call: panic: malformed")
		assert.NoError(t, guard.Do("call", func() {}))
	})
}
