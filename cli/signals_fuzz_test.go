package cli

import (
	"flag"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	fuzzSeed   = "20261207"
	fuzzChecks = "6"
)

// fuzzFlags sets a fixed seed and a number of checks that suits processes, unless the command line gives others.
func fuzzFlags(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": fuzzSeed, "rapid.checks": fuzzChecks} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			require.NoError(t, f.Value.Set(value))
		}
	}
}

var allSignals = []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}

// sendSeries sends a series of signals and, if there is a settings file, changes it in between.
func sendSeries(t *rapid.T, s *system, kinds []os.Signal) {
	for range rapid.IntRange(0, 12).Draw(t, "signals") {
		if s.settings != "" && rapid.IntRange(0, 3).Draw(t, "change") == 0 {
			require.NoError(t, os.RemoveAll(s.settings))
			settingsChanges[rapid.IntRange(0, len(settingsChanges)-1).Draw(t, "settings")](t, s.settings)
		}
		s.signal(rapid.SampledFrom(kinds).Draw(t, "signal"))
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "gap")) * time.Millisecond)
	}
}

// signalUntilExit sends signals so often that they also come in the short times between the last steps of the process.
func signalUntilExit(s *system, kinds []os.Signal) {
	for n := 0; !s.hasExited(); n++ {
		s.signal(kinds[n%len(kinds)])
		time.Sleep(200 * time.Microsecond)
	}
}

// Guards against series of signals, in any order and at any time after the command has begun, that end an instance before the
// end of its drain, without its last log lines, or while a request that it has read has no answer.
func TestFuzzSignals(t *testing.T) {
	fuzzFlags(t)
	rapid.Check(t, func(r *rapid.T) {
		s, pipe := startOnPipe(t, r)
		defer s.end()
		for range rapid.IntRange(0, 6).Draw(r, "before the start") {
			s.signal(rapid.SampledFrom([]os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}).Draw(r, "signal"))
		}
		s.sendSettings(r, pipe)
		s.awaitEvent(r, events.ProcessStarted)
		var requests []*openRequest
		if !s.logged(events.ProcessStopping) {
			sendSeries(r, s, []os.Signal{syscall.SIGHUP})
			await(r, "readiness", func() bool { return s.isReady() || s.logged(events.ProcessStopping) })
			for range rapid.IntRange(0, 3).Draw(r, "requests") {
				if !s.logged(events.ProcessStopping) {
					requests = append(requests, s.openRequest(r, platformPath))
				}
			}
		}
		s.signal(rapid.SampledFrom(stopSignals).Draw(r, "stop"))
		sendSeries(r, s, allSignals)
		for _, request := range requests {
			_, err := request.answer()
			require.NoError(r, err)
		}
		if rapid.Bool().Draw(r, "until the exit") {
			signalUntilExit(s, allSignals)
		}
		s.requireGracefulEnd(r)
	})
}

// Guards against the same for serve, which a second SIGTERM or SIGINT ends at once.
func TestFuzzSignalsOfServe(t *testing.T) {
	fuzzFlags(t)
	rapid.Check(t, func(r *rapid.T) {
		hangups := []os.Signal{syscall.SIGHUP}
		s := launchServe(t, nil)
		defer s.end()
		sendSeries(r, s, hangups)
		s.signal(rapid.SampledFrom(stopSignals).Draw(r, "stop"))
		sendSeries(r, s, hangups)
		if rapid.Bool().Draw(r, "until the exit") {
			signalUntilExit(s, hangups)
		}
		s.requireGracefulEnd(r)
	})
}
