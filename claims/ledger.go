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
	// window is the least time between two writes of a shard.
	window = 20 * time.Millisecond
	// fleetWritesPerSec bounds the writes of all instances.
	fleetWritesPerSec = 200
	// callTimeout bounds one call to the store or to a peer.
	callTimeout = 500 * time.Millisecond
	// resolveTimeout bounds the work on one batch, with the resolution of lost answers.
	resolveTimeout = 2 * time.Second
	retryDelay     = 10 * time.Millisecond
	// downPause is how long claims are refused without a call after the store failed to
	// answer a read.
	downPause = 200 * time.Millisecond
)

// Peers gives the soft owners of the shards.
type Peers interface {
	// ShardOwner returns the instance that should write the shard.
	ShardOwner(shard uint32) string
	// Client returns a client of the instance. An error means that nothing was sent.
	Client(ctx context.Context, instance string) (peer.DRPCPeerClient, error)
}

// Options configures a Ledger.
type Options struct {
	Instance string
	Store    remote.Store
	Peers    Peers // nil writes every shard directly
	// Instances returns the number of live instances, which share the rate of writes.
	Instances func() int
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Ledger claims request ids. Safety rests on the store's compare-and-swap alone: the
// soft owners only collect claims into fewer writes.
type Ledger struct {
	opts    Options
	log     *zap.Logger
	shards  [ShardCount]shard
	limiter *rate.Limiter
	// failedAt is when a call to the store last got no answer, in nanoseconds of Unix time.
	failedAt atomic.Int64
	// downUntil ends the pause after a read that got no answer, in the same unit.
	downUntil atomic.Int64

	writes, conflicts, lost, forwarded metrics.Counter
}

// New returns a ledger.
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
		writes: counter("writes"), conflicts: counter("conflicts"), lost: counter("lost_answers"), forwarded: counter("forwarded"),
	}
	for i := range l.shards {
		l.shards[i].init(l, uint32(i))
	}
	return l
}

// Claim claims the id of a request. The error has the kind DuplicateRequest when the id
// is claimed already, StoreUnavailable or DeadlineExceeded when no claim was recorded,
// and ClaimUncertain when a claim may have been recorded.
func (l *Ledger) Claim(ctx context.Context, workspace, requestID string) (Claim, error) {
	id := hashOf(workspace, requestID)
	c := Claim{Shard: uint32(id[0] % ShardCount), High: id[0], Low: id[1], Token: rand.Uint64() | 1}
	o := newOp(c, claimOp)
	r, known := l.shards[c.Shard].do(ctx, o)
	if !known {
		return Claim{}, errkind.Wrap(errkind.ClaimUncertain, ctx.Err(), "claim of request %s", requestID)
	}
	switch r {
	case granted:
		return o.Claim, nil
	case duplicate:
		return Claim{}, errkind.New(errkind.DuplicateRequest, "request id %s of workspace %s was used within the last %v", requestID, workspace, ClaimTTL)
	case withdrawn:
		return Claim{}, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "claim of request %s", requestID)
	case full:
		return Claim{}, errkind.New(errkind.StoreUnavailable, "claim shard %d is full", c.Shard)
	case unavailable:
		return Claim{}, errkind.New(errkind.StoreUnavailable, "the store does not answer and request %s is not idempotent", requestID)
	}
	return Claim{}, errkind.New(errkind.ClaimUncertain, "the store did not confirm the claim of request %s", requestID)
}

// Release gives a claim back. It returns nil only when the claim is not recorded any more.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	r, known := l.shards[c.Shard%ShardCount].do(ctx, newOp(c, releaseOp))
	if known && r == granted {
		return nil
	}
	return errkind.New(errkind.ClaimUncertain, "the claim in shard %d was not released for certain", c.Shard)
}

// HandleClaim claims ids for another instance. It writes the shard itself, so that two
// instances that disagree on the owner do not forward in a circle.
func (l *Ledger) HandleClaim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	results, err := l.handle(ctx, r.Shard, r.Entries, claimOp)
	if err != nil {
		return nil, err
	}
	reply := &peer.ClaimReply{Results: make([]peer.ClaimResult, len(results))}
	for i, result := range results {
		reply.Results[i] = wireResult(result)
	}
	return reply, nil
}

// HandleRelease releases claims for another instance. An error means that a claim may
// still be recorded.
func (l *Ledger) HandleRelease(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	results, err := l.handle(ctx, r.Shard, r.Entries, releaseOp)
	if err != nil {
		return nil, err
	}
	for _, result := range results {
		if result != granted {
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
		// The caller may find its token in the store and dispatch, even when it has given
		// up on this call, so that only the caller may release the claim.
		ops[i].foreign = true
	}
	s := &l.shards[shard]
	s.add(ops...)
	results := make([]result, len(ops))
	for i, o := range ops {
		r, known := s.wait(ctx, o)
		if !known {
			r = unknown
		}
		results[i] = r
	}
	return results, nil
}

func wireResult(r result) peer.ClaimResult {
	switch r {
	case granted:
		return peer.ClaimResult_CLAIM_GRANTED
	case duplicate:
		return peer.ClaimResult_CLAIM_DUPLICATE
	case unavailable, full, withdrawn:
		return peer.ClaimResult_CLAIM_UNAVAILABLE
	}
	return peer.ClaimResult_CLAIM_UNKNOWN
}
