package cli

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/logsink"
)

// newLogger returns a logger whose lines are queued, so that a slow or stalled reader of out delays nothing. closeLog writes the
// queued lines.
func newLogger(out io.Writer, level zapcore.Level) (log *zap.Logger, closeLog func()) {
	sink := logsink.New(out, func(n int64) []byte {
		return logsink.Report(int(events.LinesDropped), events.Message(events.LinesDropped), n)
	})
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, level)), sink.Close
}
