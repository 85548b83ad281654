package gateway

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// latencyEstimate tracks a low quantile of a service's execution time. The quantile is low so that a
// request is dropped only if it would almost certainly miss its deadline.
type latencyEstimate struct {
	nanos atomic.Int64
}

const (
	// With steps of 1/8 down and 1/64 up the estimate converges near the 1/9 quantile.
	downDivisor = 8
	upDivisor   = 64
	// Each drop lowers the estimate. Otherwise, after a slow period, all requests could be refused
	// forever: no new execution time would be observed.
	missDivisor = 32
)

func (e *latencyEstimate) get() time.Duration { return time.Duration(e.nanos.Load()) }

// fits reports whether a request that starts at now is expected to finish before the deadline.
func (e *latencyEstimate) fits(now, deadline time.Time) bool {
	return now.Add(e.get()).Before(deadline)
}

// observe updates the estimate with an execution time. Losing an update to a concurrent one is
// acceptable.
func (e *latencyEstimate) observe(d time.Duration) {
	old := e.nanos.Load()
	step := int64(d) - old
	switch {
	case old == 0:
	case step < 0:
		step /= downDivisor
	default:
		step = min(step, old) / upDivisor
	}
	e.nanos.CompareAndSwap(old, old+step)
}

// lowerAfterMiss lowers the estimate after a request was dropped because of it.
func (e *latencyEstimate) lowerAfterMiss() {
	old := e.nanos.Load()
	e.nanos.CompareAndSwap(old, old-old/missDivisor)
}

// retryBudget limits retries to a tenth of the requests, plus a small constant rate.
type retryBudget struct {
	credit  atomic.Int64 // thousandths of a retry
	minimum *rate.Limiter
}

const (
	creditPerRequest = 100 // thousandths of a retry
	maxCredit        = 100_000
	minRetriesPerSec = 1
	minRetryBurst    = 3
)

func newRetryBudget() *retryBudget {
	return &retryBudget{minimum: rate.NewLimiter(minRetriesPerSec, minRetryBurst)}
}

func (b *retryBudget) deposit() {
	if b.credit.Load() < maxCredit {
		b.credit.Add(creditPerRequest)
	}
}

func (b *retryBudget) take() bool {
	for {
		c := b.credit.Load()
		if c < 1000 {
			return b.minimum.Allow()
		}
		if b.credit.CompareAndSwap(c, c-1000) {
			return true
		}
	}
}
