package claims

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

const (
	// minWriteInterval is the minimum time between two writes of a shard.
	minWriteInterval = 20 * time.Millisecond
	// fleetWritesPerSec limits the write rate of all instances together.
	fleetWritesPerSec = 200
	// callTimeout applies to one call to the store or to a peer.
	callTimeout = 500 * time.Millisecond
	// batchTimeout applies to the processing of one batch, including the resolution of lost
	// answers.
	batchTimeout = 2 * time.Second
	retryDelay   = 10 * time.Millisecond
	// storeDownPause is how long claims are refused without a call to the store after a read
	// was not answered.
	storeDownPause = 200 * time.Millisecond
)

// Peers maps shards to the instances that should write them, their soft owners.
type Peers interface {
	// ShardOwner returns the soft owner of the shard.
	ShardOwner(shard uint32) string
	// Client returns a client for the instance. After an error, nothing has been sent.
	Client(ctx context.Context, instance string) (peer.DRPCPeerClient, error)
}

// Options configures a Ledger.
type Options struct {
	Instance string
	Store    remote.Store
	Peers    Peers // if nil, this instance writes every shard itself
	// Instances returns the number of live instances, which share fleetWritesPerSec.
	Instances func() int
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Ledger claims request ids. Its correctness depends only on the store's compare-and-swap.
// Soft owners reduce the number of writes by batching the claims of several instances.
type Ledger struct {
	opts    Options
	log     *zap.Logger
	shards  [ShardCount]shard
	limiter *rate.Limiter
	// storeFailedAt is the Unix time in nanoseconds of the last store call without an answer.
	storeFailedAt atomic.Int64
	// refuseUntil is the Unix time in nanoseconds until which claims are refused without a
	// call, after a read without an answer.
	refuseUntil atomic.Int64

	writes, conflicts, lostAnswers, forwarded metrics.Counter
}

func New(o Options) *Ledger {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Instances == nil {
		o.Instances = func() int { return 1 }
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claims."+name, o.Metrics)
	}
	l := &Ledger{
		opts: o, log: o.Log, limiter: rate.NewLimiter(fleetWritesPerSec, ShardCount),
		writes: counter("writes"), conflicts: counter("conflicts"), lostAnswers: counter("lost_answers"), forwarded: counter("forwarded"),
	}
	for i := range l.shards {
		l.shards[i].init(l, uint32(i))
	}
	return l
}

// Claim claims the id of a request. The kind of the error is DuplicateRequest if the id is
// already claimed, StoreUnavailable or DeadlineExceeded if no claim was recorded, and
// ClaimUncertain if a claim may have been recorded.
func (l *Ledger) Claim(ctx context.Context, workspace, requestID string) (Claim, error) {
	id := hashOf(workspace, requestID)
	c := Claim{Shard: uint32(id[0] % ShardCount), High: id[0], Low: id[1], Token: rand.Uint64() | 1}
	o := newOp(c, claimOp)
	r, done := l.shards[c.Shard].do(ctx, o)
	if !done {
		return Claim{}, errkind.Wrap(errkind.ClaimUncertain, ctx.Err(), "claim of request %s", requestID)
	}
	switch r {
	case applied:
		return o.Claim, nil
	case duplicate:
		return Claim{}, errkind.New(errkind.DuplicateRequest, "request id %s of workspace %s was used within the last %v", requestID, workspace, ClaimTTL)
	case cancelled:
		return Claim{}, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "claim of request %s", requestID)
	case shardFull:
		return Claim{}, errkind.New(errkind.StoreUnavailable, "claim shard %d is full", c.Shard)
	case unavailable:
		return Claim{}, errkind.New(errkind.StoreUnavailable, "the store does not answer and request %s is not idempotent", requestID)
	}
	return Claim{}, errkind.New(errkind.ClaimUncertain, "the store did not confirm the claim of request %s", requestID)
}

// Release releases a claim. It returns nil only if the claim is no longer recorded.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	r, done := l.shards[c.Shard%ShardCount].do(ctx, newOp(c, releaseOp))
	if done && r == applied {
		return nil
	}
	return errkind.New(errkind.ClaimUncertain, "the claim in shard %d was not released for certain", c.Shard)
}

// HandleClaim claims ids for another instance. It never forwards them: two instances that
// disagree on the soft owner would otherwise forward to each other in a loop.
func (l *Ledger) HandleClaim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	results, err := l.handle(ctx, r.Shard, r.Entries, claimOp)
	if err != nil {
		return nil, err
	}
	reply := &peer.ClaimReply{Results: make([]peer.ClaimResult, len(results))}
	for i, result := range results {
		reply.Results[i] = peerResult(result)
	}
	return reply, nil
}

// HandleRelease releases claims for another instance. After an error, a claim may still be
// recorded.
func (l *Ledger) HandleRelease(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	results, err := l.handle(ctx, r.Shard, r.Entries, releaseOp)
	if err != nil {
		return nil, err
	}
	for _, result := range results {
		if result != applied {
			return nil, errkind.New(errkind.ClaimUncertain, "a claim in shard %d was not released for certain", r.Shard)
		}
	}
	return &peer.ReleaseReply{}, nil
}

func (l *Ledger) handle(ctx context.Context, shard uint32, entries []*peer.ClaimEntry, kind opKind) ([]result, error) {
	if shard >= ShardCount {
		return nil, errkind.New(errkind.BadRequest, "claim shard %s is not below %d", strconv.FormatUint(uint64(shard), 10), ShardCount)
	}
	ops := make([]*op, len(entries))
	for i, e := range entries {
		ops[i] = newOp(Claim{Shard: shard, High: e.IdHashHigh, Low: e.IdHashLow, Token: e.ClaimToken}, kind)
		ops[i].direct = true
		// Only the caller may release the claim: even after its call has timed out, it may
		// find its token in the store and dispatch the request.
		ops[i].forPeer = true
	}
	s := &l.shards[shard]
	s.add(ops...)
	results := make([]result, len(ops))
	for i, o := range ops {
		r, done := s.wait(ctx, o)
		if !done {
			r = unknown
		}
		results[i] = r
	}
	return results, nil
}

func peerResult(r result) peer.ClaimResult {
	switch r {
	case applied:
		return peer.ClaimResult_CLAIM_GRANTED
	case duplicate:
		return peer.ClaimResult_CLAIM_DUPLICATE
	case unavailable, shardFull, cancelled:
		return peer.ClaimResult_CLAIM_UNAVAILABLE
	}
	return peer.ClaimResult_CLAIM_UNKNOWN
}
