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
	unknown     result = iota // the store may hold the effect
	granted                   // the effect is in the store
	duplicate                 // another claim holds the id
	unavailable               // no effect, for certain: the store does not answer
	full                      // no effect: the shard is full
	withdrawn                 // no effect: the caller gave up before any call
)

// op is one claim or release on its way to the store. A forwarded claim may still be
// written by a peer at any later time.
type op struct {
	Claim
	kind    opKind
	direct  bool // not to be forwarded
	foreign bool // made for another instance
	done    chan result

	// maybe says that a write whose answer was lost may hold the effect. It expected the
	// shard's revision expect.
	maybe     bool
	expect    uint64
	finished  bool
	abandoned bool // nobody waits for the result; guarded by the shard's lock
}

func newOp(c Claim, kind opKind) *op {
	// The release of a claim that another instance may still write leaves a record, which
	// only a direct write can do.
	return &op{Claim: c, kind: kind, direct: c.forwarded, done: make(chan result, 1)}
}

func (o *op) finish(r result) {
	if o.finished {
		return
	}
	o.finished = true
	o.done <- r
}

// fail ends an operation that cannot be completed.
func (o *op) fail(r result) {
	if o.maybe || o.forwarded {
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

	// The fields below belong to the goroutine that works on batches.
	confirmed bool      // the store has answered during this batch
	verified  time.Time // when the store last answered for the shard
	known     bool      // revision and records show the shard as last written or read
	revision  uint64
	records   contents
	wrote     time.Time
}

// do adds an operation and waits for its result. known is false when the context ended
// while the operation was under way.
func (s *shard) do(ctx context.Context, o *op) (r result, known bool) {
	s.add(o)
	return s.wait(ctx, o)
}

func (s *shard) add(ops ...*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, ops...)
	if !s.running {
		s.running = true
		go s.work()
	}
}

func (s *shard) wait(ctx context.Context, o *op) (r result, known bool) {
	select {
	case r = <-o.done:
		return r, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.pending, o); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
		return withdrawn, true
	}
	select {
	case r = <-o.done:
		return r, true
	default:
		o.abandoned = true
		return unknown, false
	}
}

// work processes batches until nothing is pending. Operations that arrive during a
// batch form the next one.
func (s *shard) work() {
	for s.more() {
		s.pace()
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.mu.Unlock()
		s.process(batch)
		s.releaseAbandoned(batch)
	}
}

// more reports whether operations are pending; without any the work ends.
func (s *shard) more() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.pending) > 0
	return s.running
}

// pace waits until the shard may be written again.
func (s *shard) pace() {
	if wait := window - time.Since(s.wrote); wait > 0 {
		time.Sleep(wait)
	}
}

func (s *shard) process(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	if rest := s.forward(ctx, batch); len(rest) > 0 {
		s.write(ctx, rest)
	}
}

// releaseAbandoned gives back claims that were granted after their caller had been told
// that the outcome is uncertain. Their requests were not dispatched.
func (s *shard) releaseAbandoned(batch []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		if !o.abandoned || o.foreign || o.kind != claimOp {
			continue
		}
		if r := <-o.done; r == granted {
			s.pending = append(s.pending, newOp(o.Claim, releaseOp))
		}
	}
}

// allowance shares the fleet's rate of writes between the live instances.
func (l *Ledger) allowance(ctx context.Context) error {
	share := rate.Limit(fleetWritesPerSec) / rate.Limit(max(1, l.opts.Instances()))
	if l.limiter.Limit() != share {
		l.limiter.SetLimit(share)
	}
	return l.limiter.Wait(ctx)
}
