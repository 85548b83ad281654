package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

type opKind int

const (
	claimOp opKind = iota
	releaseOp
)

// result is the outcome of an operation on one id.
type result int

const (
	unknown     result = iota // the effect may be in the store
	applied                   // the effect is in the store
	duplicate                 // another claim holds the id
	unavailable               // no effect: the store does not answer
	shardFull                 // no effect: the shard is full
	cancelled                 // no effect: the caller cancelled before any call, or the claim was released
)

// op is a claim or release in progress. A forwarded claim may still be written by a peer at
// any later time.
type op struct {
	Claim
	kind    opKind
	direct  bool // must not be forwarded
	forPeer bool // made for another instance
	done    chan result

	// uncertain is set when the answer of a write was lost, so that the effect may be in the
	// store. The write was conditional on expectedRevision.
	uncertain        bool
	expectedRevision uint64
	finished         bool
	abandoned        bool // the caller no longer waits for the result; guarded by shard.mu
}

func newOp(c Claim, kind opKind) *op {
	// The release of a claim that another instance may still write must leave a record of the
	// token, which only a direct write does.
	return &op{Claim: c, kind: kind, direct: c.forwarded, done: make(chan result, 1)}
}

func (o *op) finish(r result) {
	if o.finished {
		return
	}
	o.finished = true
	o.done <- r
}

// fail finishes an operation that cannot be completed. If it may have an effect, the result
// is unknown.
func (o *op) fail(r result) {
	if o.uncertain || o.forwarded {
		r = unknown
	}
	o.finish(r)
}

// shard collects operations and writes them in batches, one batch at a time.
type shard struct {
	l     *Ledger
	index uint32
	key   string

	mu      sync.Mutex
	pending []*op
	running bool

	// The fields below are accessed only by the goroutine of processPending.
	confirmedInBatch bool      // the shard was read or written during this batch
	answeredAt       time.Time // when the store last answered a read or confirmed a write of the shard
	loaded           bool      // revision and records are as last read or written
	revision         uint64
	records          contents
	lastWrite        time.Time
}

// do adds an operation and waits for its result. done is false if the context ended while
// the operation was in progress.
func (s *shard) do(ctx context.Context, o *op) (r result, done bool) {
	s.add(o)
	return s.wait(ctx, o)
}

func (s *shard) add(ops ...*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, ops...)
	if !s.running {
		s.running = true
		go s.processPending()
	}
}

func (s *shard) wait(ctx context.Context, o *op) (r result, done bool) {
	select {
	case r = <-o.done:
		return r, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.pending, o); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
		return cancelled, true
	}
	select {
	case r = <-o.done:
		return r, true
	default:
		o.abandoned = true
		return unknown, false
	}
}

// processPending processes batches until no operation is pending. Operations that arrive
// during a batch form the next one.
func (s *shard) processPending() {
	for s.hasPending() {
		s.waitForInterval()
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.mu.Unlock()
		s.processBatch(batch)
		s.releaseAbandoned(batch)
	}
}

// hasPending reports whether operations are pending. If none are, it marks processPending
// as stopped.
func (s *shard) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.pending) > 0
	return s.running
}

// waitForInterval waits until minWriteInterval has passed since the last write.
func (s *shard) waitForInterval() {
	if wait := minWriteInterval - time.Since(s.lastWrite); wait > 0 {
		time.Sleep(wait)
	}
}

func (s *shard) processBatch(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	if rest := s.forward(ctx, batch); len(rest) > 0 {
		s.writeBatch(ctx, rest)
	}
}

// releaseAbandoned releases claims that were granted after their callers had received
// ClaimUncertain. The requests of these claims were not dispatched.
func (s *shard) releaseAbandoned(batch []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		if !o.abandoned || o.forPeer || o.kind != claimOp {
			continue
		}
		if r := <-o.done; r == applied {
			s.pending = append(s.pending, newOp(o.Claim, releaseOp))
		}
	}
}

// waitForWrite waits until this instance's share of fleetWritesPerSec allows a write.
func (l *Ledger) waitForWrite(ctx context.Context) error {
	share := rate.Limit(fleetWritesPerSec) / rate.Limit(max(1, l.opts.Instances()))
	if l.limiter.Limit() != share {
		l.limiter.SetLimit(share)
	}
	return l.limiter.Wait(ctx)
}
