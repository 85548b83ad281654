// Package logsink writes log lines without blocking the caller. Lines that do not fit into its queue
// are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLimit is the number of lines that may wait to be written.
	queueLimit = 4096
	// reportInterval is the shortest time between two reports of dropped lines.
	reportInterval = time.Second
)

// Sink is a zapcore.WriteSyncer with a bounded queue.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	report    func(dropped int64) []byte
}

// New returns a sink that writes to out. report formats the log line that reports dropped lines.
func New(out io.Writer, report func(dropped int64) []byte) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLimit), done: make(chan struct{}), report: report}
	go s.run()
	return s
}

// Write implements io.Writer. It copies the line, since the logger reuses its buffer, and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: queued lines are written without it.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped since the last report.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. Lines written after Close are lost.
func (s *Sink) Close() {
	s.closeOnce.Do(func() {
		s.lines <- nil
		<-s.done
	})
}

func (s *Sink) run() {
	defer close(s.done)
	var lastReportAt time.Time
	for line := range s.lines {
		if line == nil {
			return
		}
		s.write(line)
		if n := s.dropped.Load(); n > 0 && time.Since(lastReportAt) >= reportInterval {
			lastReportAt = time.Now()
			s.dropped.Add(-n)
			s.write(s.report(n))
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		// The error cannot be logged here. Counting the line as dropped makes it visible in the metrics.
		s.dropped.Add(1)
	}
}

// Report returns a JSON log line that reports the number of dropped lines.
func Report(event int, message string, dropped int64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n", message, event, dropped)
}
