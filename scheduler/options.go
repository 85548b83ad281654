package scheduler

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Options tune the Scheduler. Zero fields take the defaults below.
type Options struct {
	// ScanLimit is how many queued jobs one decision considers, besides urgent ones.
	ScanLimit int
	// ArchivePromotionAge is the waiting time after which a job of the last class ranks one
	// class higher.
	ArchivePromotionAge time.Duration
	// ShareStep is the difference in weighted dominant share below which two workspaces
	// count as equal, so that the response ratio of their jobs decides.
	ShareStep float64
	// BackfillQuantile is the run time quantile for backfilling a job that can be
	// checkpointed; StrictQuantile is for one that cannot.
	BackfillQuantile float64
	StrictQuantile   float64
	// RampTime is how long a returning data centre takes to reach its full capacity.
	RampTime time.Duration
	// DrainMargin is the time kept between the end of the last checkpoint and DrainBy.
	DrainMargin time.Duration
	// DrainCheckpointsPerSecond is how many checkpoints a draining data centre begins per second.
	DrainCheckpointsPerSecond int
	// RestartCost is the run time that a checkpointed job loses by a stop and a start.
	RestartCost time.Duration
	// MaxReservations is how many blocked large jobs hold a reservation at a time.
	MaxReservations int
	// MaxDefragMoves is how many jobs one defragmentation may move; negative disables it.
	MaxDefragMoves int
	// MaxQuickGrace is the longest grace of a job whose room counts as quickly reclaimable
	// for the minimum slots of a service.
	MaxQuickGrace time.Duration
}

// The defaults of Options.
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

// Scheduler is the policy of the system: it places whole gangs by class and share, keeps
// guarantees reclaimable, reclaims them, reserves room for large jobs and backfills. It
// holds no state between decisions and is safe for concurrent use.
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
