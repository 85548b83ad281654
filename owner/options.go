// Package owner implements the controller of the data centres that this instance owns. Each
// data centre has one owner, which alone places its jobs: it recovers the jobs of its
// predecessor, applies events to the state of the data centre, requests a plan from the policy
// after each change, and executes the plan on the workers.
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
	// WorkerLease is how long a task runs without a renewal. The owner's own lease expires
	// up to 10 s after its death, and a task's last renewal may be 3.3 s older than the death.
	// With a lease of 10 s such a task would stop before the successor can adopt it; 20 s
	// leave over 6 s for the election and the recovery.
	WorkerLease = 20 * time.Second
	// RenewInterval is the time between two renewals of the leases on a worker.
	RenewInterval = 3 * time.Second
	// idleRenewInterval replaces RenewInterval for a worker without tasks, where a renewal only
	// checks that the worker answers and whether it is leaving. The start of a job brings the
	// next renewal forward.
	idleRenewInterval = 2 * RenewInterval
	// ReservationTTL bounds the time from the check of the start gate until the start takes effect.
	ReservationTTL = 2 * time.Second
	// callTimeout bounds one call to a worker. It is less than half of ReservationTTL, so that
	// reserve and start both complete within one reservation.
	callTimeout = 900 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// inDoubtTimeout bounds how long an attempt of an earlier owner may run on a worker that
	// does not answer: the lease of a task, plus the lifetime of the reservation before it.
	inDoubtTimeout = WorkerLease + ReservationTTL
	// tickInterval is how often holds, parked jobs and leases are checked.
	tickInterval = 500 * time.Millisecond
	// recordListInterval is how often the job records are listed again.
	recordListInterval = 30 * time.Second
	// workerListInterval is how often the workers are listed again. With the lag of the
	// platform's list it bounds how long a leaving worker receives new tasks.
	workerListInterval = 2 * time.Second
	// stopTimeout is how long a stop is retried before the capacity is held until the leases expire.
	stopTimeout = 1500 * time.Millisecond
	// pollInterval is the time between two status queries during a checkpoint or a stop.
	pollInterval = 250 * time.Millisecond
	// recordRetention is how long the record of an ended job stays in the store.
	recordRetention = 24 * time.Hour
	// endedJobRetention is how long an ended job stays in memory.
	endedJobRetention = 10 * time.Minute
	// eventQueueLength bounds the functions that wait for the event loop.
	eventQueueLength = 1024
	// maxJobs bounds the jobs of one data centre that have not ended.
	maxJobs = 20000
	// preemptCooldown is how long a preempted job cannot be preempted again.
	preemptCooldown = 30 * time.Second
	// decideInterval is the longest time between two decisions while jobs are queued. It is
	// needed because no event marks the end of a job's cooldown.
	decideInterval = 5 * time.Second
	// maxAnswerBytes bounds the answer in a job record, whose JSON the store limits to 1 MB.
	maxAnswerBytes = 512 << 10
)

// StartGate decides whether jobs may start now: the manifest must be confirmed as current, and
// the data centre's stage must allow starts.
type StartGate interface {
	MayStart(dataCentre string) error
}

// Notifier notifies the owner of another data centre of a job that was transferred to it.
type Notifier interface {
	JobTransferred(dataCentre, job string)
}

// Destinations selects the data centre to which a job is transferred.
type Destinations interface {
	// Destination returns ok false when no other data centre in service can run the job.
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

// jitter returns a duration below d that varies with key and round. It is a hash rather than a
// random number, so that test sessions can be replayed.
func jitter(key string, round uint64, d time.Duration) time.Duration {
	h := xxhash.NewWithSeed(round)
	_, _ = h.WriteString(key)
	return time.Duration(h.Sum64() % uint64(d))
}
