package cli

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/instance"
	"github.com/cyclamenyard/cyclamenyard/internal/signals"
)

// serveCommand runs an entry instance.
type serveCommand struct {
	output
	ID           string        `long:"id" env:"CYCLAMENYARD_ID" description:"id of the instance, unique on the platform's list"`
	DataCentre   string        `long:"data-centre" env:"CYCLAMENYARD_DATA_CENTRE" description:"data centre that the instance runs in"`
	Platform     string        `long:"platform" env:"CYCLAMENYARD_PLATFORM" description:"IP:port of the platform's key-value service and list"`
	Listen       string        `long:"listen" env:"CYCLAMENYARD_LISTEN" default:"127.0.0.1:8080" description:"IP:port for callers"`
	PeerListen   string        `long:"peer-listen" env:"CYCLAMENYARD_PEER_LISTEN" default:"127.0.0.1:8081" description:"IP:port for other instances"`
	AdminListen  string        `long:"admin-listen" env:"CYCLAMENYARD_ADMIN_LISTEN" default:"127.0.0.1:8082" description:"IP:port for operators"`
	ListLag      time.Duration `long:"list-lag" env:"CYCLAMENYARD_LIST_LAG" default:"5s" description:"assumed lag of the platform's list"`
	DrainTimeout time.Duration `long:"drain-timeout" env:"CYCLAMENYARD_DRAIN_TIMEOUT" default:"2m" description:"longest graceful stop"`
	StoreRate    float64       `long:"store-rate" env:"CYCLAMENYARD_STORE_RATE" default:"50" description:"calls a second that this instance may make to the platform"`
	LogLevel     string        `long:"log-level" env:"CYCLAMENYARD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Limits of the settings.
const (
	minListLag   = 100 * time.Millisecond
	maxListLag   = time.Minute
	maxDrain     = time.Hour
	minStoreRate = 5
	maxStoreRate = 1000
)

// check returns an error for each invalid setting.
func (c *serveCommand) check() error {
	var problems []error
	invalid := func(flag string, value any, rule string) {
		problems = append(problems, fmt.Errorf("--%s %q: %s", flag, fmt.Sprint(value), rule))
	}
	if c.ID == "" {
		invalid("id", c.ID, "must not be empty")
	}
	if c.DataCentre == "" {
		invalid("data-centre", c.DataCentre, "must not be empty")
	}
	for _, a := range []struct{ flag, value string }{
		{"platform", c.Platform}, {"listen", c.Listen}, {"peer-listen", c.PeerListen}, {"admin-listen", c.AdminListen},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			invalid(a.flag, a.value, "must be an IP address and a port, such as 127.0.0.1:8080")
		}
	}
	if c.ListLag < minListLag || c.ListLag > maxListLag {
		invalid("list-lag", c.ListLag, fmt.Sprintf("must be from %v to %v", minListLag, maxListLag))
	}
	if c.DrainTimeout <= c.ListLag || c.DrainTimeout > maxDrain {
		invalid("drain-timeout", c.DrainTimeout, fmt.Sprintf("must be above --list-lag and at most %v", maxDrain))
	}
	if c.StoreRate < minStoreRate || c.StoreRate > maxStoreRate {
		invalid("store-rate", c.StoreRate, fmt.Sprintf("must be from %d to %d", minStoreRate, maxStoreRate))
	}
	if _, err := zapcore.ParseLevel(c.LogLevel); err != nil {
		invalid("log-level", c.LogLevel, "must be debug, info, warn or error")
	}
	return errors.Join(problems...)
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	received := signals.Receive()
	if err := c.check(); err != nil {
		return usageError(err)
	}
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return usageError(err)
	}
	log, closeLog := newLogger(os.Stderr, level)
	defer closeLog()
	i, err := c.newInstance(log)
	if err != nil {
		return err
	}
	go func() {
		<-received.Repeated
		i.Kill()
	}()
	go logHangups(received, log)
	return i.Run(received.Stopping)
}

// logHangups logs SIGHUP, which has no effect, until the process exits.
func logHangups(received *signals.Receiver, log *zap.Logger) {
	for s := range received.Hangups {
		reason := noSettingsFile
		if received.Stopping.Err() != nil {
			reason = instanceStopping
		}
		logIgnored(log, s, reason)
		time.Sleep(signalPause)
	}
}

func (c *serveCommand) newInstance(log *zap.Logger) (*instance.Instance, error) {
	var listeners [3]net.Listener
	for n, address := range []string{c.Listen, c.PeerListen, c.AdminListen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners[n] = l
	}
	return instance.New(instance.Options{
		ID: c.ID, DataCentre: c.DataCentre, Platform: c.Platform,
		Callers: listeners[0], Peers: listeners[1], Admin: listeners[2],
		ListLag: c.ListLag, DrainTimeout: c.DrainTimeout, StoreCallsPerSec: c.StoreRate, Log: log,
	})
}
