package cli

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/link"
	"github.com/cyclamenyard/cyclamenyard/internal/signals"
	"github.com/cyclamenyard/cyclamenyard/node"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/platform"
)

// platformCommand runs an instance on the users' platform, configured by a settings file.
type platformCommand struct {
	output
	Settings string `long:"settings" env:"CYCLAMENYARD_CONFIG" description:"path of the platform's settings file"`
	LogLevel string `long:"log-level" env:"CYCLAMENYARD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	RunTimes string `long:"run-times" env:"CYCLAMENYARD_RUN_TIMES" description:"decisions that rely on learned run times, separated by commas: order, loss, leave, straggler, rack; none by default"`
}

// gcMemoryFraction is the fraction of the configured memory at which the Go runtime starts to
// collect garbage more often (its soft memory limit).
const gcMemoryFraction = 0.7

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	received := signals.Receive()
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return usageError(fmt.Errorf("--log-level %q: must be debug, info, warn or error", c.LogLevel))
	}
	uses, err := placement.ParseUses(c.RunTimes)
	if err != nil {
		return usageError(fmt.Errorf("--run-times: %w", err))
	}
	settings, err := c.load()
	if err != nil {
		return usageError(err)
	}
	runtime.GOMAXPROCS(max(1, int(settings.CPUShare)))
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(settings.MemoryMB) * (1 << 20)))
	}
	log, closeLog := newLogger(os.Stdout, level)
	defer closeLog()
	return c.run(settings, uses, received, log.With(zap.String("instance", settings.Instance)))
}

func (c *platformCommand) load() (*platform.Settings, error) {
	if c.Settings == "" {
		return nil, errors.New("--settings: must name the platform's settings file")
	}
	raw, err := readSettings(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("--settings %q: %w", c.Settings, err)
	}
	return platform.DecodeSettings(raw)
}

// maxSettingsBytes limits the settings file, so that reading a broken one does not exceed the memory of the machine.
const maxSettingsBytes = 256 << 10

func readSettings(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err == nil && len(raw) > maxSettingsBytes {
		err = fmt.Errorf("must be at most %d bytes long", maxSettingsBytes)
	}
	return raw, err
}

func (c *platformCommand) run(s *platform.Settings, uses placement.Uses, received *signals.Receiver, log *zap.Logger) error {
	registry := metrics.NewRegistry()
	options := node.Options{
		Instance: s.Instance, CPUShare: s.CPUShare,
		MaxLease: s.MaxLease, MaxListAge: s.DrainBound * 3 / 4, HeartbeatGap: s.Heartbeat * 5 / 2, GracePeriod: s.Grace, EndedRetention: s.KeepEnded,
		Placement: placement.Options{FarFactor: s.FarFactor, StopTimeout: s.StopTimeout, Uses: uses},
		Ingress:   s.Ingress, MaxBacklog: s.Jobs.MaxBacklog(), Revocations: s.Jobs.Revocations(),
		Link: link.New(s.LinkMbps), Log: log, Metrics: registry,
	}
	options.Adapter = newAdapter(s, log, registry, options.Link)
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&options.Callers, s.Callers}, {&options.Ready, s.Ready}, {&options.Peers, s.Peers}, {&options.Admin, s.Admin}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", l.address, err)
		}
		*l.listener = listener
	}
	go c.handleSignals(received, log)
	events.Info(log, events.ProcessStarted, zap.String("version", Version), zap.Any("settings", s))
	err := node.New(options).Run(received.Stopping)
	events.Info(log, events.ProcessStopped, zap.Error(err))
	return err
}

// handleSignals handles SIGHUP, and logs signals that have no effect, until the process exits.
func (c *platformCommand) handleSignals(received *signals.Receiver, log *zap.Logger) {
	for {
		select {
		case s := <-received.Hangups:
			if received.Stopping.Err() != nil {
				logIgnored(log, s, instanceStopping)
			} else {
				c.reload(log)
			}
		case s := <-received.Repeated:
			logIgnored(log, s, instanceStopping)
		}
		time.Sleep(signalPause)
	}
}

// reload reads and logs the settings again. Addresses and limits do not change while the process runs. An invalid file is
// logged as a warning and has no effect.
func (c *platformCommand) reload(log *zap.Logger) {
	s, err := c.load()
	if err != nil {
		events.Warn(log, events.SettingsReloaded, zap.Error(err))
		return
	}
	events.Info(log, events.SettingsReloaded, zap.Any("settings", s))
}

func newAdapter(s *platform.Settings, log *zap.Logger, registry metrics.Registry, l *link.Meter) node.Adapter {
	adapter := node.Adapter{
		Store: platform.NewStore(s.Store, registry, l), Workers: platform.NewWorkers(s.Ingress.WorkerConnections(), log, registry, l), Advisor: platform.NewAdvice(s.Advice, registry, l), Codec: platform.JobCodec{},
		OperatorPrefix: platform.OperatorPrefix, WorkersPrefix: platform.WorkersPrefix, ReadyPath: platform.ReadyPath,
		IsConfig: platform.IsConfig, DecodeConfig: platform.DecodeConfig, EvacuatedDataCentre: platform.EvacuatedDataCentre,
		DecodeWorker: platform.DecodeWorker, WorkerID: platform.WorkerID,
		WaveNumber: platform.WaveNumber, DecodeWave: platform.DecodeWave, WaveStatus: platform.WaveStatus,
	}
	if s.Cloud != "" {
		adapter.Cloud = platform.NewCloud(s.Cloud, registry, l)
	}
	return adapter
}
