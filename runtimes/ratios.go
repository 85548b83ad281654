package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// ratioSamples is the number of run times kept per service and workspace.
	ratioSamples = 64
	// minRatioSamples is the number of samples from which they replace the declared run time.
	minRatioSamples = 5
)

type ratioKey struct{ service, workspace string }

// Ratios estimates run times from the ratio of actual to declared run times of earlier jobs,
// per service and workspace.
type Ratios struct {
	ratios map[ratioKey]*ratioWindow
}

// ratioWindow is a ring buffer of the latest ratios of actual to declared run time.
type ratioWindow struct {
	ring   []float64
	next   int
	sorted []float64
}

// NewRatios returns an empty Ratios.
func NewRatios() *Ratios {
	return &Ratios{ratios: map[ratioKey]*ratioWindow{}}
}

// Observe records the run time of a job that succeeded.
func (r *Ratios) Observe(service, workspace string, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	key := ratioKey{service, workspace}
	w := r.ratios[key]
	if w == nil {
		w = &ratioWindow{}
		r.ratios[key] = w
	}
	ratio := float64(actual) / float64(declared)
	if len(w.ring) < ratioSamples {
		w.ring = append(w.ring, ratio)
	} else {
		w.ring[w.next] = ratio
		w.next = (w.next + 1) % ratioSamples
	}
	w.sorted = append(w.sorted[:0], w.ring...)
	slices.Sort(w.sorted)
}

// Quantile returns the q-quantile of the estimated run time, or the declared run time if there are
// too few samples.
func (r *Ratios) Quantile(service, workspace string, declared time.Duration, q float64) time.Duration {
	w := r.ratios[ratioKey{service, workspace}]
	if w == nil || len(w.sorted) < minRatioSamples {
		return declared
	}
	i := int(math.Ceil(q*float64(len(w.sorted)))) - 1
	return time.Duration(float64(declared) * w.sorted[min(max(i, 0), len(w.sorted)-1)])
}
