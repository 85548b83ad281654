package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	timedDecisions = 200            // number of decisions to time, unless all jobs end first
	baseSpan       = 24 * time.Hour // time in which jobs arrive; longer if there are fewer workers than in the workload
	initialLoad    = 1.1            // size of the jobs submitted at the start, as a share of the workers
)

// DecisionTime is how long a policy takes per decision.
type DecisionTime struct {
	Policy  string  `json:"policy"`
	Workers int     `json:"workers"`
	Queued  int     `json:"queued"` // at the last decision
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// timedPolicy reports the duration of every decision.
type timedPolicy struct {
	scheduler.Policy
	observe func(time.Duration)
}

func (t timedPolicy) Decide(d *state.DataCentre, now time.Time) structs.Plan {
	start := time.Now()
	defer func() { t.observe(time.Since(start)) }()
	return t.Policy.Decide(d, now)
}

// newLoadedSimulation returns a simulation of the two-year workload in one data centre of n workers, in
// which first fit has placed the first jobs. These need more than the workers have.
func newLoadedSimulation(ctx context.Context, n int) (*simulation, error) {
	s := *specs()[2]
	s.arrivalSpan = baseSpan * time.Duration(max(1, s.workers/n))
	s.dataCentres, s.workers, s.cancellations = 1, n, nil
	s.withdrawAt, s.returnAt = s.arrivalSpan+2*maxTail, s.arrivalSpan+3*maxTail // after the end of the simulation
	w, size := generate(&s, 1), 0.0
	for _, j := range w.jobs {
		if size < initialLoad*float64(n) {
			size += j.demand()
			j.Submitted = epoch
		}
	}
	r := newSimulation(w, candidates()[0], 1)
	return r, r.runUntil(ctx, epoch.Add(time.Second))
}

func decisionTime(ctx context.Context, p candidate, n int) (DecisionTime, error) {
	r, err := newLoadedSimulation(ctx, n)
	if err != nil {
		return DecisionTime{}, fmt.Errorf("decision time with %d workers: %w", n, err)
	}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	r.policy = p
	r.policy.policy = timedPolicy{p.policy, func(d time.Duration) { _ = h.RecordValue(int64(d)) }}
	for h.TotalCount() < timedDecisions && r.unfinished > 0 && len(r.events) > 0 {
		if err := r.runUntil(ctx, r.events[0].at.Add(time.Nanosecond)); err != nil {
			return DecisionTime{}, err
		}
	}
	const ms = float64(time.Millisecond)
	return DecisionTime{Policy: p.name, Workers: n, Queued: len(r.centres[0].Queue),
		P50: float64(h.ValueAtQuantile(50)) / ms, P99: float64(h.ValueAtQuantile(99)) / ms}, nil
}
