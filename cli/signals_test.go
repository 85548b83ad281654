package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/examples"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/internal/testports"
)

// commands are the long-running commands, which receive the signals of operators.
var commands = []struct {
	name  string
	path  string // of a request with a body
	start func(t *testing.T, logs *os.File) *system
}{
	{"platform", platformPath, startPlatform},
	{"serve", servePath, startServe},
}

// Guards against a SIGHUP that ends a stopping process, so that requests it has read get no answer.
func TestHangupWhileStopping(t *testing.T) {
	for _, c := range commands {
		for _, stop := range stopSignals {
			t.Run(fmt.Sprint(c.name, "-", stop), func(t *testing.T) {
				t.Parallel()
				s := c.start(t, nil)
				request := s.openRequest(t, c.path)
				s.signal(stop)
				s.awaitEvent(t, events.ProcessStopping)
				s.signal(syscall.SIGHUP)
				s.awaitEvent(t, events.SignalIgnored)
				line, err := request.answer()
				require.NoError(t, err)
				assert.Contains(t, line, "HTTP/1.1 ")
				s.requireGracefulEnd(t)
			})
		}
	}
}

// Guards against a SIGHUP that ends a process which serves, whatever has become of its settings file.
func TestHangupWhileServing(t *testing.T) {
	for _, c := range commands {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := c.start(t, nil)
			for n, change := range settingsChanges {
				if s.settings != "" {
					change(t, s.settings)
				}
				s.signal(syscall.SIGHUP)
				await(t, "reaction to SIGHUP", func() bool {
					return s.count(events.SettingsReloaded)+s.count(events.SignalIgnored) > n || s.hasExited()
				})
			}
			assert.True(t, s.isReady(), s.text())
			if s.settings != "" {
				assert.Contains(t, s.text(), "must be at most 262144 bytes long")
			}
			s.signal(syscall.SIGTERM)
			s.requireGracefulEnd(t)
		})
	}
}

// settingsChanges change a settings file: to one that is broken, too large, missing, or not a file.
var settingsChanges = []func(t require.TestingT, path string){
	func(t require.TestingT, path string) {
		require.NoError(t, os.WriteFile(path, []byte("Node: [\xff"), 0o600))
	},
	func(t require.TestingT, path string) {
		require.NoError(t, os.WriteFile(path, nil, 0o600))
		require.NoError(t, os.Truncate(path, 1<<29)) // sparse
	},
	func(t require.TestingT, path string) { require.NoError(t, os.RemoveAll(path)) },
	func(t require.TestingT, path string) { require.NoError(t, os.Mkdir(path, 0o700)) },
}

// Guards against signals that end a process by their default effect before its listeners are open. The settings file is a pipe,
// so that the command waits for its content.
func TestSignalsBeforeTheListenersAreOpen(t *testing.T) {
	s, pipe := startOnPipe(t, t)
	t.Cleanup(s.end)
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		s.signal(sig)
	}
	s.sendSettings(t, pipe)
	s.requireGracefulEnd(t)
	assert.True(t, s.logged(events.ProcessStopping))
}

// startOnPipe starts `cyclamenyard platform` with a pipe in place of its settings file, and returns when the command has opened it.
// It waits for the content, which sendSettings writes.
func startOnPipe(t *testing.T, r require.TestingT) (s *system, pipe *os.File) {
	s = platformSettings(t)
	path := filepath.Join(t.TempDir(), "pipe")
	require.NoError(r, syscall.Mkfifo(path, 0o600))
	s.process = startProcess(r, nil, "platform", "--settings", path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(r, err)
	return s, pipe
}

// sendSettings writes the settings to the pipe and replaces it by the settings file, which is read again at each SIGHUP.
func (s *system) sendSettings(r require.TestingT, pipe *os.File) {
	text, err := os.ReadFile(s.settings)
	require.NoError(r, err)
	_, err = pipe.Write(text)
	require.NoError(r, err)
	require.NoError(r, pipe.Close())
	require.NoError(r, os.Rename(s.settings, pipe.Name()))
	s.settings = pipe.Name()
}

// Guards against signals that end a process by their default effect after its drain, before its last log lines are written, and
// against a drain that waits for a reader of the log. The output is a pipe that is full until the drain is over.
func TestSignalsAfterTheDrain(t *testing.T) {
	for _, c := range commands {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			defer reader.Close()
			s := c.start(t, writer)
			fill(t, writer)
			require.NoError(t, writer.Close())
			s.signal(syscall.SIGTERM)
			await(t, "end of the drain", func() bool { return !s.listens() })
			for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
				s.signal(sig)
			}
			go func() { _, _ = s.output.ReadFrom(reader) }() // ends with the process
			s.awaitExit(t)
			require.NoError(t, s.err)
		})
	}
}

// Guards against a stand-in that a closed terminal or a signal ends before its workers are stopped.
func TestStandInEndsOnSignals(t *testing.T) {
	manifest := filepath.Join(t.TempDir(), "manifest.yaml")
	require.NoError(t, os.WriteFile(manifest, examples.Verband, 0o600))
	for _, stop := range append(stopSignals, syscall.SIGHUP) {
		p := startProcess(t, nil, "standin", "--manifest", manifest, "--listen", testports.Address(0))
		t.Cleanup(p.end)
		await(t, "start of the stand-in", func() bool { return strings.Contains(p.text(), "platform stand-in on") || p.hasExited() })
		p.signal(stop)
		p.awaitExit(t)
		require.NoError(t, p.err, "%v: %s", stop, p.text())
	}
}

// fill writes to the pipe until it is full.
func fill(t *testing.T, pipe *os.File) {
	// A descriptor of its own, so that only these writes do not block.
	own, err := os.OpenFile(fmt.Sprint("/proc/self/fd/", pipe.Fd()), os.O_WRONLY|syscall.O_NONBLOCK, 0)
	require.NoError(t, err)
	defer own.Close()
	require.NoError(t, own.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	for {
		if _, err := own.Write([]byte{'\n'}); err != nil {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			return
		}
	}
}

// Guards against a write to standard output or standard error that ends the process because the reader has gone.
func TestReaderOfTheLogIsGone(t *testing.T) {
	for _, c := range commands {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			s := c.start(t, writer)
			require.NoError(t, writer.Close())
			require.NoError(t, reader.Close())
			request := s.openRequest(t, c.path)
			s.signal(syscall.SIGHUP) // leads to a log line
			s.signal(syscall.SIGTERM)
			await(t, "stopping", func() bool { return !s.isReady() })
			_, err = request.answer()
			require.NoError(t, err)
			s.awaitExit(t)
			require.NoError(t, s.err, "the process did not end by itself with exit code 0")
		})
	}
}

// Guards against a second signal that does not stop serve at once while it waits for an open request.
func TestSecondSignalWhileServeDrains(t *testing.T) {
	t.Parallel()
	s := startServe(t, nil)
	request := s.openRequest(t, servePath)
	defer request.conn.Close()
	s.signal(syscall.SIGTERM)
	await(t, "refusal of new requests", func() bool { return s.refuses() })
	s.signal(syscall.SIGINT)
	s.awaitExit(t)
	var exit *exec.ExitError
	require.ErrorAs(t, s.err, &exit, s.text())
	assert.Equal(t, ExitFailed, exit.ExitCode())
	assert.Contains(t, s.text(), "stopped without draining")
}

// refuses reports whether new requests are refused because the process stops.
func (s *system) refuses() bool {
	resp, err := http.Get("http://" + s.callers + "/v1/jobs/oberbayern/none")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(raw), "shutting_down")
}

// Guards against an answer that is cut off because the drain of serve ends before the answer is written.
func TestAnswersAtTheEndOfTheDrain(t *testing.T) {
	t.Parallel()
	s := startServe(t, nil)
	const requests = 20
	var open []*openRequest
	for range requests {
		open = append(open, s.openRequest(t, servePath))
	}
	s.signal(syscall.SIGTERM)
	await(t, "refusal of new requests", func() bool { return s.refuses() })
	var answers sync.WaitGroup
	for _, request := range open {
		answers.Go(func() {
			_, err := request.answer()
			assert.NoError(t, err)
		})
	}
	answers.Wait()
	s.requireGracefulEnd(t)
}

// Guards against requests that wait for an owner until their instance has used up its grace period, and then get no answer.
func TestAnswersBeforeTheGracePeriodEnds(t *testing.T) {
	t.Parallel()
	s := startPlatform(t, nil)
	s.store.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
	var early, late *http.Response
	var earlyErr, lateErr error
	var answers sync.WaitGroup
	answers.Go(func() { early, earlyErr = s.query() })
	await(t, "a connection", func() bool { return s.openConnections() > 0 })
	s.signal(syscall.SIGTERM)
	s.awaitEvent(t, events.ProcessStopping)
	answers.Go(func() { late, lateErr = s.query() })
	answers.Wait()
	s.requireGracefulEnd(t)
	require.NoError(t, earlyErr)
	require.NoError(t, lateErr)
	assert.Equal(t, http.StatusServiceUnavailable, early.StatusCode)
	assert.Equal(t, http.StatusServiceUnavailable, late.StatusCode)
}

// query asks for the length of a queue on a connection of its own.
func (s *system) query() (*http.Response, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.callers+"/urgent/", nil)
	if err != nil {
		return nil, err
	}
	request.Host = testHost
	request.Header.Set("X-Api-Key", "key")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}

var connectionsGauge = regexp.MustCompile(`gauge ingress.callers.connections\s+value:\s+([0-9]+)`)

// openConnections returns the number of callers' connections that the process has open, or 0 if that is not known.
func (s *system) openConnections() int {
	response, err := http.Get("http://" + s.admin + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	match := connectionsGauge.FindSubmatch(raw)
	if err != nil || match == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(match[1])) // the expression matches digits only
	return n
}
