package state

import (
	"math"
	"slices"
	"time"
)

const (
	// runTimeSamples is the number of run times kept per service and workspace.
	runTimeSamples = 64
	// minRunTimeSamples is the number of samples from which they replace the declared run time.
	minRunTimeSamples = 5
)

type runTimeKey struct{ service, workspace string }

// RunTimes estimates run times from the ratio of actual to declared run times of earlier jobs,
// per service and workspace.
type RunTimes struct {
	ratios map[runTimeKey]*ratioWindow
}

// ratioWindow is a ring buffer of the latest ratios of actual to declared run time.
type ratioWindow struct {
	ring   []float64
	next   int
	sorted []float64
}

// NewRunTimes returns an empty RunTimes.
func NewRunTimes() *RunTimes {
	return &RunTimes{ratios: map[runTimeKey]*ratioWindow{}}
}

// Observe records the run time of a job that succeeded.
func (r *RunTimes) Observe(service, workspace string, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	key := runTimeKey{service, workspace}
	w := r.ratios[key]
	if w == nil {
		w = &ratioWindow{}
		r.ratios[key] = w
	}
	ratio := float64(actual) / float64(declared)
	if len(w.ring) < runTimeSamples {
		w.ring = append(w.ring, ratio)
	} else {
		w.ring[w.next] = ratio
		w.next = (w.next + 1) % runTimeSamples
	}
	w.sorted = append(w.sorted[:0], w.ring...)
	slices.Sort(w.sorted)
}

// Quantile returns the q-quantile of the estimated run time, or the declared run time if there are
// too few samples.
func (r *RunTimes) Quantile(service, workspace string, declared time.Duration, q float64) time.Duration {
	w := r.ratios[runTimeKey{service, workspace}]
	if w == nil || len(w.sorted) < minRunTimeSamples {
		return declared
	}
	i := int(math.Ceil(q*float64(len(w.sorted)))) - 1
	return time.Duration(float64(declared) * w.sorted[min(max(i, 0), len(w.sorted)-1)])
}
