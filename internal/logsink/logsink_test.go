package logsink_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/logsink"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu    sync.Mutex
	lines []string
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

func report(n int64) []byte { return logsink.Report(511, "log lines dropped", n) }

// Guards against a log that blocks the process when its output blocks, and against lines that are
// dropped without a report.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out, report)
		const lines = 5000 // more than the queue holds
		for n := range lines {
			written, err := sink.Write(fmt.Appendln(nil, n))
			assert.NoError(t, err)
			assert.Positive(t, written)
			synctest.Wait()
		}
		dropped := sink.Dropped()
		assert.Positive(t, dropped)
		close(out.release)
		sink.Close()
		assert.Equal(t, "0", out.lines[0])
		assert.Equal(t, fmt.Sprintf(`{"level":"warn","msg":"log lines dropped","event":511,"lines":%d}`, dropped), out.lines[1])
		assert.Len(t, out.lines, lines-int(dropped)+1)
		assert.Zero(t, sink.Dropped())
	})
}

// Guards against queued lines that are lost when the process ends, and against lines that change after
// Write because the caller reuses its buffer.
func TestCloseWritesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out, report)
		buffer := []byte("first\n")
		_, _ = sink.Write(buffer)
		copy(buffer, "other\n")
		_, _ = sink.Write(buffer)
		close(out.release)
		sink.Close()
		sink.Close() // a second call has no effect
		assert.Equal(t, []string{"first", "other"}, out.lines)
	})
}
