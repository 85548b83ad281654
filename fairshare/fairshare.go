// Package fairshare computes weighted dominant shares over any number of resources, as in dominant resource
// fairness, and keeps recent use by name with exponential decay. It performs no I/O and takes the time as an
// argument.
package fairshare

import (
	"math"
	"time"
)

// Amount is how much of one resource is used and how much there is.
type Amount struct{ Used, Total int }

// Dominant returns the largest fraction used of any resource, and at least 0. A resource with a total of 0 does
// not count.
func Dominant(amounts ...Amount) float64 {
	share := 0.0
	for _, a := range amounts {
		if a.Total > 0 {
			share = max(share, float64(a.Used)/float64(a.Total))
		}
	}
	return share
}

// Step returns the number of whole steps in the share divided by the weight. Shares in the same step count as
// equal.
func Step(share, weight, step float64) int { return int(share / weight / step) }

// forgotten is the recent use below which a name is forgotten.
const forgotten = 1e-4

// Recent holds the recent use of each name: the mean of its past use, in which use counts half after each half-life.
type Recent struct {
	halfLife time.Duration
	names    map[string]*past
}

type past struct {
	mean float64
	use  float64 // since at
	at   time.Time
}

// NewRecent returns a Recent without names.
func NewRecent(halfLife time.Duration) *Recent {
	return &Recent{halfLife: halfLife, names: map[string]*past{}}
}

// Observe records the use of the name from now on and returns its recent use. The use since the last observation
// counts as constant. Times before the last observation count as that time.
func (r *Recent) Observe(name string, use float64, now time.Time) float64 {
	p := r.names[name]
	if p == nil {
		if use <= 0 {
			return 0
		}
		p = &past{at: now}
		r.names[name] = p
	}
	if passed := now.Sub(p.at); passed > 0 {
		keep := math.Exp2(-passed.Seconds() / r.halfLife.Seconds())
		p.mean, p.at = p.mean*keep+p.use*(1-keep), now
	}
	p.use = use
	if p.use <= 0 && p.mean < forgotten {
		delete(r.names, name)
		return 0
	}
	return p.mean
}

// Last returns the recent use of the name at the last observation.
func (r *Recent) Last(name string) float64 {
	if p := r.names[name]; p != nil {
		return p.mean
	}
	return 0
}

// Retain forgets the names for which keep returns false.
func (r *Recent) Retain(keep func(name string) bool) {
	for name := range r.names {
		if !keep(name) {
			delete(r.names, name)
		}
	}
}

// Len returns the number of names with recent use.
func (r *Recent) Len() int { return len(r.names) }
