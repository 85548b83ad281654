package jobservice

import (
	"context"
	"errors"
	"sync"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// revocationBurst is how many seconds of its rate an instance may use at once, and minRevocationBurst the smallest such
// number of revocations: few callers leave early, and then many of them at the same time.
const (
	revocationBurst    = 5
	minRevocationBurst = 10
)

// revocations limits the revocations that this instance stores: callers who cancel jobs that do not exist must not take the
// store's writes from submissions.
type revocations struct {
	total   float64 // per second, of all instances
	elector *ownership.Elector
	limiter *rate.Limiter
	limited metrics.Counter
}

func newRevocations(o Options) *revocations {
	return &revocations{total: o.Revocations, elector: o.Elector, limiter: rate.NewLimiter(rate.Inf, minRevocationBurst),
		limited: metrics.GetOrRegisterCounter("jobs.revocations_limited", o.Metrics)}
}

// permit returns a function that reports whether a call may store a revocation. All attempts of the call count once.
func (r *revocations) permit() func() bool {
	return sync.OnceValue(func() bool {
		if r.total == 0 {
			return true
		}
		own := r.total / float64(len(r.elector.Peers())+1)
		r.limiter.SetLimit(rate.Limit(own))
		r.limiter.SetBurst(max(minRevocationBurst, int(revocationBurst*own)))
		if !r.limiter.Allow() {
			r.limited.Inc(1)
			return false
		}
		return true
	})
}

// createCancelKey stores the cancellation of the job or, if no submission of it is stored, its revocation.
func (s *Service) createCancelKey(ctx context.Context, id string, permit func() bool) outcome {
	if !s.opts.StoreHealthy() {
		return refused
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	item, err := s.opts.Store.Get(call, jobowner.JobKey(id))
	cancel()
	switch {
	case errors.Is(err, metastore.ErrNotFound):
		return s.revoke(ctx, id, permit)
	case err != nil:
		return refused
	case workload.IsRevocation(item.Value):
		return unknownJob
	}
	return s.createKey(ctx, jobowner.CancelKey(id), []byte("{}"))
}

// revoke stores a revocation in place of the submission, whose write may be executed seconds after its caller has left, and
// then fails because the key exists. It returns unknownJob once that is stored. A submission that is stored first is cancelled.
func (s *Service) revoke(ctx context.Context, id string, permit func() bool) outcome {
	if !permit() || !s.opts.CheckStore(ctx, maxAnswerAge) {
		return refused
	}
	key := jobowner.JobKey(id)
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, s.opts.WriteTimeout(attempt))
		_, err := s.opts.Store.Commit(call, metastore.Txn{
			If:   []metastore.Condition{{Key: key}},
			Puts: []metastore.Put{{Key: key, Value: workload.Revocation()}},
		})
		cancel()
		var conflict *metastore.ConflictError
		switch {
		case err == nil:
			return unknownJob
		case errors.As(err, &conflict):
			if item, ok := conflict.Find(key); ok && workload.IsRevocation(item.Value) {
				return unknownJob
			}
			return s.createKey(ctx, jobowner.CancelKey(id), []byte("{}"))
		case errors.Is(err, metastore.ErrRefused) && attempt == 1:
			return refused
		}
		if attempt == maxWriteAttempts || !timeRemains(ctx) {
			return uncertain
		}
	}
}
