// Package workerapi defines the requests that an owner sends to workers, which run tasks under a
// lease, and the reports that workers return.
package workerapi

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Errors with a known outcome. After any other error the worker may have executed the request or
// may still execute it.
var (
	ErrStaleToken      = errors.New("worker has seen a higher fencing token")
	ErrRunEnded        = errors.New("run has already been stopped or has ended on the worker")
	ErrLeaseExpired    = errors.New("lease in the request has expired")
	ErrNoCapacity      = errors.New("not enough free capacity on the worker")
	ErrInvalidTicket   = errors.New("advice ticket is invalid")
	ErrWorkerRestarted = errors.New("another worker or incarnation answers at the worker's address")
	ErrUnhealthy       = errors.New("worker is unhealthy and did not execute the request")
	ErrInvalidRequest  = errors.New("worker rejected the request as malformed")
	ErrNotReached      = errors.New("cannot connect to the worker")
	// ErrNoListener is reported together with ErrNotReached if the machine at the address refused the connection.
	ErrNoListener = errors.New("nothing listens at the worker's address")
)

// NotExecuted reports whether err means that the worker has not executed the request and never will.
// ErrRunEnded is not included, because the run may have executed before it ended.
func NotExecuted(err error) bool {
	for _, e := range []error{ErrStaleToken, ErrLeaseExpired, ErrNoCapacity, ErrInvalidTicket, ErrWorkerRestarted, ErrUnhealthy, ErrInvalidRequest, ErrNotReached} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Target identifies a worker.
type Target struct {
	ID      string
	Address string
}

// CheckID returns an error for an ID that a worker may take for its own although it is another one: an empty header, or one
// that loses spaces on the way.
func CheckID(id string) error {
	if id == "" {
		return errors.New("worker id: empty")
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("worker id: %q; must have visible ASCII characters only", id)
		}
	}
	return nil
}

// Start asks a worker to start a run.
type Start struct {
	Task       string
	Run        int
	Payload    string
	LeaseUntil int64 // on the worker's clock, milliseconds
	Token      uint64
	Checkpoint string // to resume from; empty to start from the beginning
	Ticket     string // of the Advisor; empty if the route needs no advice
}

// Stop ends a run. If the run's Start has not arrived yet, the worker refuses it when it does.
type Stop struct {
	Task  string
	Run   int
	Token uint64
}

// Throttle limits a run to a percentage of its full speed.
type Throttle struct {
	Task    string
	Run     int
	Percent int
	Token   uint64
}

// Renew renews the lease of all runs on the worker and asks for a report.
type Renew struct {
	Token       uint64
	LeaseUntil  int64         // on the worker's clock, milliseconds; 0 leaves the lease unchanged
	AckSequence int64         // ends up to this Sequence are stored; the worker may drop them
	Wait        time.Duration // maximum time the worker waits for a run to end before it reports
}

// RunStatus is the status of a run that is executing on a worker.
type RunStatus struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    float64
	Load       float64 // tail latency in milliseconds for a serving task, cores in use for others
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Sequence   int64 // increases within an incarnation of the worker
	Task       string
	Run        int
	Outcome    jobstate.End
	Checkpoint string
}

// Report is the status that a worker returns for Renew.
type Report struct {
	Clock       int64 // milliseconds, monotonic within an incarnation of the worker
	Incarnation int64 // start time of the worker process, Unix milliseconds; 0 if not reported
	Running     []RunStatus
	Ended       []EndedRun // not acknowledged yet, oldest first
	// EndsTruncated is set if Ended may lack newer ends. They are listed once those in Ended are acknowledged.
	EndsTruncated bool
}

// Entry describes a worker in the platform's list.
type Entry struct {
	Worker      Target
	Incarnation int64 // start time of the worker process, Unix milliseconds
	Service     string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    workload.Resources
	Draining    bool
	DrainTime   time.Duration // minimum time for which a draining worker stays up
}

// Equal reports whether the entries have equal fields. The order of the labels counts.
func (e *Entry) Equal(o *Entry) bool {
	return e.Worker == o.Worker && e.Incarnation == o.Incarnation && e.Service == o.Service && e.DataCentre == o.DataCentre && e.Rack == o.Rack &&
		e.Capacity == o.Capacity && e.Draining == o.Draining && e.DrainTime == o.DrainTime && slices.Equal(e.Labels, o.Labels)
}

// Advisor decides which workers may run a step, for routes whose policy excludes some workers.
type Advisor interface {
	// Advise returns a ticket for each of the given workers that may run the step, keyed by
	// worker, and how long the tickets are valid. Workers without a ticket may not run the step.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Client sends requests to workers. Start and Stop return the worker's clock in milliseconds.
type Client interface {
	Start(ctx context.Context, w Target, o Start) (clock int64, err error)
	Stop(ctx context.Context, w Target, o Stop) (clock int64, err error)
	Throttle(ctx context.Context, w Target, o Throttle) error
	Renew(ctx context.Context, w Target, o Renew) (Report, error)
}
