// Package workerapi describes the orders that an owner gives to workers that run tasks
// under a lease, and their reports.
package workerapi

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Definite answers of a worker. After every other error the order may have been carried
// out, or may still be.
var (
	ErrFenced          = errors.New("worker has seen a higher fencing token")
	ErrRunEnded        = errors.New("run has been stopped or has ended there")
	ErrLeaseExpired    = errors.New("lease of the order has run out")
	ErrNoRoom          = errors.New("no room on the worker")
	ErrInvalidTicket   = errors.New("ticket is not valid")
	ErrWorkerRestarted = errors.New("another life of the worker answered")
	ErrUnhealthy       = errors.New("worker is unhealthy and did nothing")
	ErrInvalidRequest  = errors.New("worker does not understand the order")
	ErrNotReached      = errors.New("no connection to the worker")
)

// NotExecuted reports whether err states that the order was not and will not be carried out.
func NotExecuted(err error) bool {
	for _, e := range []error{ErrFenced, ErrLeaseExpired, ErrNoRoom, ErrInvalidTicket, ErrWorkerRestarted, ErrUnhealthy, ErrInvalidRequest, ErrNotReached} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Target names one worker.
type Target struct {
	ID      string
	Address string
}

// Start orders a run.
type Start struct {
	Task       string
	Run        int
	Payload    string
	LeaseUntil int64 // on the worker's clock, milliseconds
	Token      uint64
	Checkpoint string // empty to start from the beginning
	Ticket     string // empty where no advice is needed
}

// Stop ends a run, or makes the worker refuse it if it has not arrived yet.
type Stop struct {
	Task  string
	Run   int
	Token uint64
}

// Throttle limits the share at which a task works.
type Throttle struct {
	Task    string
	Run     int
	Percent int
	Token   uint64
}

// Renew renews the lease of everything on the worker and asks for a report.
type Renew struct {
	Token       uint64
	LeaseUntil  int64 // on the worker's clock, milliseconds; 0 to leave the lease as it is
	AckSequence int64 // ends up to this number are in the store and may be forgotten
	Wait        time.Duration
}

// RunStatus is a run that is on a worker.
type RunStatus struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    float64
	Load       float64 // tail in milliseconds of a serving task, cores in use of another
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Sequence   int64 // rises within a life of the worker
	Task       string
	Run        int
	Outcome    jobstate.End
	Checkpoint string
}

// Report is what a worker says of itself.
type Report struct {
	Clock       int64 // milliseconds, steady within a life of the worker
	Incarnation int64 // start of the worker, Unix milliseconds; 0 if it was not said
	Running     []RunStatus
	Ended       []EndedRun
}

// Entry is what the platform lists of a worker.
type Entry struct {
	Worker      Target
	Incarnation int64 // start of the worker, Unix milliseconds
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Capacity    workload.Amount
	Draining    bool
	DrainTime   time.Duration // a draining worker stays at least that long
}

// Equal reports whether both entries say the same.
func (e *Entry) Equal(o *Entry) bool {
	return e.Worker == o.Worker && e.Incarnation == o.Incarnation && e.Service == o.Service && e.Zone == o.Zone && e.Rack == o.Rack &&
		e.Capacity == o.Capacity && e.Draining == o.Draining && e.DrainTime == o.DrainTime && slices.Equal(e.Labels, o.Labels)
}

// Advisor knows which workers may run the steps of queues whose policy excludes some.
type Advisor interface {
	// Advise returns tickets, by worker, for those of the named workers that may run the
	// step, and how long the tickets are valid. Unlisted workers may not.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Client gives orders to workers.
type Client interface {
	Start(ctx context.Context, w Target, o Start) (clock int64, err error)
	Stop(ctx context.Context, w Target, o Stop) (clock int64, err error)
	Throttle(ctx context.Context, w Target, o Throttle) error
	Renew(ctx context.Context, w Target, o Renew) (Report, error)
}
