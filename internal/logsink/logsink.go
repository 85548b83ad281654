// Package logsink writes log lines without ever blocking the caller: lines beyond the
// bound are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLines bounds the lines that wait to be written.
	maxLines = 4096
	// reportInterval is the least time between two lines about dropped lines.
	reportInterval = time.Second
)

// Sink is a zapcore.WriteSyncer with a bounded queue.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	report  func(dropped int64) []byte
}

// New returns a sink that writes to out. report makes the line about dropped lines.
func New(out io.Writer, report func(dropped int64) []byte) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{}), report: report}
	go s.run()
	return s
}

// Write implements io.Writer.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written as they come.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped since the last line about it.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and returns. Lines that come later are lost.
func (s *Sink) Close() {
	s.once.Do(func() {
		s.lines <- nil
		<-s.done
	})
}

func (s *Sink) run() {
	defer close(s.done)
	var reported time.Time
	for line := range s.lines {
		if line == nil {
			return
		}
		s.write(line)
		if n := s.dropped.Load(); n > 0 && time.Since(reported) >= reportInterval {
			reported = time.Now()
			s.dropped.Add(-n)
			s.write(s.report(n))
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		// Nowhere is left to report it; the count keeps it visible in the metrics.
		s.dropped.Add(1)
	}
}

// Report returns a JSON line with an event number, a message and a count.
func Report(event int, message string, dropped int64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n", message, event, dropped)
}
