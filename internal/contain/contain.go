// Package contain keeps a panic in one handler or loop from ending the process.
package contain

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
)

// restartPause is the pause before a loop that panicked runs again.
const restartPause = time.Second

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Guard logs and counts what it contains.
type Guard struct {
	log   *zap.Logger
	count metrics.Counter
}

// New returns a guard that counts in the registry under panics.contained.
func New(log *zap.Logger, registry metrics.Registry) *Guard {
	return &Guard{log: log, count: metrics.GetOrRegisterCounter("panics.contained", registry)}
}

// Do calls f and returns the panic that it ended with as an error, or nil. where names the
// handler or loop. A guard that is nil contains nothing.
func (g *Guard) Do(where string, f func()) (err error) {
	if g != nil {
		defer func() {
			if cause := recover(); cause != nil {
				err = g.note(where, cause)
			}
		}()
	}
	f()
	return nil
}

func (g *Guard) note(where string, cause any) error {
	stack := debug.Stack()
	g.count.Inc(1)
	events.Warn(g.log, events.PanicContained, zap.String("where", where), zap.Any("cause", cause),
		zap.ByteString("stack", stack[:min(len(stack), maxStackBytes)]))
	return fmt.Errorf("%s: panic: %v", where, cause)
}

// Loop runs f, and again after a pause whenever it panics, until it returns or ctx ends.
func (g *Guard) Loop(ctx context.Context, where string, f func(context.Context)) {
	for ctx.Err() == nil {
		if g.Do(where, func() { f(ctx) }) == nil {
			return
		}
		wait.For(ctx, restartPause)
	}
}
