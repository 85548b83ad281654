package cli

import (
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

// signalPause is the time between two reactions to signals, which bounds the log lines that a series of signals leads to.
const signalPause = 100 * time.Millisecond

// Reasons why a signal has no effect.
const (
	instanceStopping = "the instance is stopping"
	noSettingsFile   = "the command has no settings file to read again"
)

func logIgnored(log *zap.Logger, s os.Signal, reason string) {
	events.Info(log, events.SignalIgnored, zap.Stringer("signal", s), zap.String("reason", reason))
}
