package scheduler

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Options configures the Scheduler. Fields with the zero value take the defaults below.
type Options struct {
	// ScanLimit is the number of jobs at the head of the queue that one decision considers. Urgent jobs
	// are always considered.
	ScanLimit int
	// ArchivePromotionAge is the time since submission after which a job of the archive class is ordered
	// like one of the standard class.
	ArchivePromotionAge time.Duration
	// ShareStep is the step to which weighted dominant shares are rounded down. Between workspaces
	// in the same step, the response ratio of their jobs decides.
	ShareStep float64
	// BackfillQuantile is the run time quantile used to backfill a job that can be checkpointed.
	// StrictQuantile is used for a job that cannot.
	BackfillQuantile float64
	StrictQuantile   float64
	// RampTime is the time in which a returning data centre is filled up to its full capacity.
	RampTime time.Duration
	// DrainMargin is the time reserved between the end of the last checkpoint and DrainBy.
	DrainMargin time.Duration
	// DrainCheckpointsPerSecond is the rate at which a draining data centre begins checkpoints.
	DrainCheckpointsPerSecond int
	// RestartCost is the run time that a checkpointed job loses when it is stopped and started again.
	RestartCost time.Duration
	// MaxReservations is the number of blocked large jobs that may have a reservation at a time.
	MaxReservations int
	// MaxDefragMoves is the number of jobs that one defragmentation may move. A negative value disables
	// defragmentation.
	MaxDefragMoves int
	// MaxQuickGrace is the longest checkpoint grace of a job whose resources count as quickly
	// reclaimable. Only such resources back the minimum slots of a service.
	MaxQuickGrace time.Duration
}

// Defaults of Options.
const (
	defaultScanLimit                 = 512
	defaultArchivePromotionAge       = time.Hour
	defaultShareStep                 = 0.25
	defaultBackfillQuantile          = 0.8
	defaultStrictQuantile            = 0.95
	defaultRampTime                  = 30 * time.Second
	defaultDrainMargin               = 2 * time.Second
	defaultDrainCheckpointsPerSecond = 8
	defaultRestartCost               = 10 * time.Second
	defaultMaxReservations           = 2
	defaultMaxDefragMoves            = 4
	defaultMaxQuickGrace             = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.ScanLimit, defaultScanLimit)
	setDefault(&o.ArchivePromotionAge, defaultArchivePromotionAge)
	setDefault(&o.ShareStep, defaultShareStep)
	setDefault(&o.BackfillQuantile, defaultBackfillQuantile)
	setDefault(&o.StrictQuantile, defaultStrictQuantile)
	setDefault(&o.RampTime, defaultRampTime)
	setDefault(&o.DrainMargin, defaultDrainMargin)
	setDefault(&o.DrainCheckpointsPerSecond, defaultDrainCheckpointsPerSecond)
	setDefault(&o.RestartCost, defaultRestartCost)
	setDefault(&o.MaxReservations, defaultMaxReservations)
	setDefault(&o.MaxDefragMoves, defaultMaxDefragMoves)
	setDefault(&o.MaxQuickGrace, defaultMaxQuickGrace)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Scheduler is the production policy. It places whole gangs by class and share, keeps enough resources
// reclaimable for every guarantee, preempts work outside guarantees when one is claimed, reserves
// resources for blocked large jobs and backfills around the reservations. It keeps no state between
// decisions and is safe for concurrent use.
type Scheduler struct {
	opts Options
}

// New returns a Scheduler.
func New(opts Options) *Scheduler {
	return &Scheduler{opts: opts.withDefaults()}
}

// Decide implements Policy.
func (s *Scheduler) Decide(d *state.DataCentre, now time.Time) structs.Plan {
	c := newCycle(s.opts, d, now)
	defer c.releaseBuffers()
	c.decide()
	return c.plan
}
