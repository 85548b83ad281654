// Package owner holds the controller of the data centres that this instance owns. The
// owner of a data centre is its single placer: it recovers the jobs of its predecessor,
// applies events to the state of the data centre, asks the policy for a plan after each
// change, and carries the plan out on the workers.
package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// WorkerLease is how long a task runs without a renewal. The owner's own lease ends
	// up to 10 s after its death; with 10 s here too, a task that was renewed up to 3.3 s
	// before would stop before the successor can adopt it. 20 s leave over 6 s for the
	// election and the recovery.
	WorkerLease = 20 * time.Second
	// RenewInterval is the time between two renewals of a worker's leases.
	RenewInterval = 3 * time.Second
	// idleInterval is the same for a worker without tasks, which is only asked whether it is
	// there and whether it is leaving. A start brings the next renewal forward.
	idleInterval = 2 * RenewInterval
	// ReservationTTL bounds how long after the check of freshness a start can take effect.
	ReservationTTL = 2 * time.Second
	// callTimeout bounds one call to a worker. It is below half of ReservationTTL so that
	// reserve and start both fit into one reservation.
	callTimeout = 900 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// doubtTime is how long an attempt of an earlier owner may run on a worker that does
	// not answer: its lease, plus a reservation that was made last.
	doubtTime = WorkerLease + ReservationTTL
	// tickInterval is how often holds, parked jobs and leases are checked.
	tickInterval = 500 * time.Millisecond
	// listInterval is how often records and workers are listed again.
	listInterval = 30 * time.Second
	// workerListInterval, with the lag of the platform's list, bounds how long a leaving
	// worker gets new work.
	workerListInterval = 2 * time.Second
	// stopWait is how long a stop is repeated before the room is held instead.
	stopWait = 1500 * time.Millisecond
	// pollInterval is the time between two questions about checkpoints or stops.
	pollInterval = 250 * time.Millisecond
	// recordKept is how long the record of an ended job stays in the store.
	recordKept = 24 * time.Hour
	// endedKept is how long an ended job stays in memory.
	endedKept = 10 * time.Minute
	// queueLength bounds the events that wait for the applier.
	queueLength = 1024
	// maxJobs bounds the jobs of one data centre that have not ended.
	maxJobs = 20000
	// preemptCooldown protects a job that was preempted from being preempted again at once.
	preemptCooldown = 30 * time.Second
	// decideInterval is the longest time between two decisions while jobs are queued: the
	// cooldown of a queued job ends without an event.
	decideInterval = 5 * time.Second
	// maxAnswer bounds the answer in a job record, which the store limits to 1 MB as JSON.
	maxAnswer = 512 << 10
)

// StartGate tells whether work may start now: the manifest is known to be current, and
// the data centre's stage allows starts.
type StartGate interface {
	MayStart(dataCentre string) error
}

// Notifier tells the owner of another data centre about a job that now belongs to it.
type Notifier interface {
	JobTransferred(dataCentre, job string)
}

// Destinations chooses where a job goes that has to leave its data centre.
type Destinations interface {
	// Destination returns false when no other data centre in service could run the job.
	Destination(j *structs.Job, from string) (dataCentre string, ok bool)
	// Summaries describes the data centres, for the transfer of jobs that wait.
	Summaries() []scheduler.Summary
}

// Options holds the dependencies of a Controller. All but Notifier, Destinations, Log and
// Metrics are required. Without Destinations a job is transferred only when the policy
// names the data centre.
type Options struct {
	Instance     string
	Store        remote.Store
	List         remote.InstanceList
	Dial         func(structs.Worker) remote.Worker
	Policy       scheduler.Policy
	Gate         StartGate
	Notifier     Notifier
	Destinations Destinations
	Log          *zap.Logger
	Metrics      metrics.Registry
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
}

// jitter returns a time below d that differs between keys and rounds. It is a hash and
// not a random number, so that a session can be replayed.
func jitter(key string, round uint64, d time.Duration) time.Duration {
	h := xxhash.NewWithSeed(round)
	_, _ = h.WriteString(key)
	return time.Duration(h.Sum64() % uint64(d))
}
