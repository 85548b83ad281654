// Package contain recovers from panics in handlers and loops, so that they do not end the process.
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

// restartDelay is the delay before a loop restarts after a panic.
const restartDelay = time.Second

// maxStackBytes limits the stack trace in a log line.
const maxStackBytes = 4 << 10

// Guard recovers from panics, logs and counts them.
type Guard struct {
	log    *zap.Logger
	panics metrics.Counter
}

// New returns a guard that counts panics in the registry's metric panics.contained.
func New(log *zap.Logger, registry metrics.Registry) *Guard {
	return &Guard{log: log, panics: metrics.GetOrRegisterCounter("panics.contained", registry)}
}

// Do calls f. If f panics, Do recovers and returns the panic as an error. where names the handler or
// loop. A nil guard does not recover.
func (g *Guard) Do(where string, f func()) (err error) {
	if g != nil {
		defer func() {
			if cause := recover(); cause != nil {
				err = g.record(where, cause)
			}
		}()
	}
	f()
	return nil
}

func (g *Guard) record(where string, cause any) error {
	stack := debug.Stack()
	g.panics.Inc(1)
	events.Warn(g.log, events.PanicContained, zap.String("where", where), zap.Any("cause", cause),
		zap.ByteString("stack", stack[:min(len(stack), maxStackBytes)]))
	return fmt.Errorf("%s: panic: %v", where, cause)
}

// Loop runs f until it returns or ctx ends. After a panic it runs f again after restartDelay.
func (g *Guard) Loop(ctx context.Context, where string, f func(context.Context)) {
	for ctx.Err() == nil {
		if g.Do(where, func() { f(ctx) }) == nil {
			return
		}
		wait.For(ctx, restartDelay)
	}
}
