// Package signals receives the signals with which operators control a process.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Receiver receives SIGTERM, SIGINT and SIGHUP until the process exits. It is never stopped: a signal without a receiver has
// its default effect, which ends the process at once, with requests that have no answer and log lines that are not written.
type Receiver struct {
	// Stopping ends with the first SIGTERM or SIGINT.
	Stopping context.Context
	// Repeated receives the further ones. While one waits to be read, others are dropped.
	Repeated <-chan os.Signal
	// Hangups receives SIGHUP. While one waits to be read, others are dropped.
	Hangups <-chan os.Signal
}

// Receive returns a receiver. A command that must survive signals calls it before anything else. Writes to standard output and
// standard error, whose reader may go away, return an error from then on; by default, Go ends the process with SIGPIPE.
func Receive() *Receiver {
	signal.Ignore(syscall.SIGPIPE)
	// Signals that do not fit into a channel are dropped. SIGHUP has one of its own, so that it displaces no SIGTERM.
	stops, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	stopping, stop := context.WithCancel(context.Background())
	repeated := make(chan os.Signal, 1)
	go func() {
		<-stops
		stop()
		for s := range stops {
			select {
			case repeated <- s:
			default:
			}
		}
	}()
	return &Receiver{Stopping: stopping, Repeated: repeated, Hangups: hangups}
}
