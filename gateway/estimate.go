package gateway

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// estimate follows a low quantile of a service's time on a worker, so that a request is
// dropped only when it would almost certainly miss its deadline.
type estimate struct {
	nanos atomic.Int64
}

const (
	// Steps of 1/8 down and 1/64 up settle near the quantile 1/9.
	estimateDown = 8
	estimateUp   = 64
	// A miss lowers the estimate, so that one slow period cannot refuse requests for good.
	estimateMiss = 32
)

func (e *estimate) get() time.Duration { return time.Duration(e.nanos.Load()) }

func (e *estimate) fits(now, deadline time.Time) bool {
	return now.Add(e.get()).Before(deadline)
}

// observe counts an answer. A lost update under contention does no harm.
func (e *estimate) observe(d time.Duration) {
	old := e.nanos.Load()
	step := int64(d) - old
	switch {
	case old == 0:
	case step < 0:
		step /= estimateDown
	default:
		step = min(step, old) / estimateUp
	}
	e.nanos.CompareAndSwap(old, old+step)
}

func (e *estimate) missed() {
	old := e.nanos.Load()
	e.nanos.CompareAndSwap(old, old-old/estimateMiss)
}

// retryBudget allows retries for a tenth of the requests and a small minimum.
type retryBudget struct {
	credit  atomic.Int64 // thousandths of a retry
	minimum *rate.Limiter
}

const (
	retryCredit    = 100 // thousandths of a retry for each request
	maxRetryCredit = 100_000
	minRetryPerSec = 1
	minRetryBurst  = 3
)

func newRetryBudget() *retryBudget {
	return &retryBudget{minimum: rate.NewLimiter(minRetryPerSec, minRetryBurst)}
}

func (b *retryBudget) deposit() {
	if b.credit.Load() < maxRetryCredit {
		b.credit.Add(retryCredit)
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
