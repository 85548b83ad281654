// Package jobservice accepts, cancels and queries jobs at any instance. A job is accepted by
// one conditional write to the store, without the owner. If the store does not confirm the
// write, the instance relays it through a peer.
package jobservice

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// maxAnswerAge is the maximum age of the store's latest answer for a write without a
	// preceding read. In an outage the read fails first, so that the write is certainly not made.
	maxAnswerAge = 200 * time.Millisecond
	// maxWriteAttempts is the number of attempts of a write without an answer before it is
	// relayed to peers.
	maxWriteAttempts = 2
	readTimeout      = 600 * time.Millisecond
	// peerTimeout applies to calls that a peer answers from memory. stateTimeout applies to
	// queries for the state of a job, which the peer may delay until the job's end is stored.
	peerTimeout  = 300 * time.Millisecond
	stateTimeout = jobowner.MaxStateWait + peerTimeout/2
	// ownerLookupTimeout applies to asking the owner whether it has a job before a submission
	// is refused.
	ownerLookupTimeout = 150 * time.Millisecond
	// relayTimeout applies to a write that is relayed to a peer.
	relayTimeout = 900 * time.Millisecond
	// retryDelay is the pause before an uncertain write is repeated.
	retryDelay = 50 * time.Millisecond
	// maxRelayPeers is the number of peers to which a write is relayed.
	maxRelayPeers = 2
	// responseMargin is the part of a caller's deadline that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
)

// Term gives access to the jobs during this instance's term of ownership.
type Term interface {
	// State may wait briefly for the end of a job that is about to end.
	State(ctx context.Context, id string) (workload.State, bool)
	Pending(route string) (n int, ok bool)
	HasJob(id string) bool
	Token() uint64
	Admission() (jobowner.Admission, bool)
	// Room returns the footprint, in bytes, of the jobs that may still be accepted.
	Room() (bytes int64, ok bool)
	// OnAnnounced applies a submission or cancellation that the store's watch may not have
	// delivered yet.
	OnAnnounced(change metastore.Change)
}

// Options configures a Service.
type Options struct {
	Store        metastore.Store
	StoreHealthy func() bool // whether the store answers this instance
	// CheckStore reports whether the store answers. It sends a read unless the store has answered
	// a call that was sent within the time fresh.
	CheckStore func(ctx context.Context, fresh time.Duration) bool
	// WriteTimeout returns the timeout for the given attempt of a write, counted from 1.
	WriteTimeout func(attempt int) time.Duration
	Elector      *ownership.Elector
	Instance     string
	Term         func() Term // nil when this instance is not the owner
	// OwnershipValid reports whether no other instance can have become the owner without this one's knowledge.
	OwnershipValid func() bool
	// MaxBacklog is the memory of the owner for accepted jobs, in bytes; 0 for no limit.
	MaxBacklog int64
	// Revocations is how many cancellations of unknown jobs all instances together may store, per second; 0 for no limit.
	Revocations float64
	// Suspended returns the machine's total time in suspension; nil reads it from the system.
	Suspended  func() time.Duration
	PeerClient func(address string) relay.DRPCRelayClient
	Log        *zap.Logger
	Metrics    metrics.Registry
}

// Service serves the job calls of one instance.
type Service struct {
	opts    Options
	relayed metrics.Counter
	local   metrics.Counter
	owner   metrics.Counter
	store   metrics.Counter

	announcementsFailed  metrics.Counter
	announcementsUnowned metrics.Counter // to or by an instance with no owner to tell
	overloadCache        *overloadCache
	submissions          *submissions
	room                 *roomGrant
	revocations          *revocations
}

func New(o Options) *Service {
	if o.Suspended == nil {
		o.Suspended = suspend.Total
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, o.Metrics) }
	return &Service{opts: o, relayed: counter("jobs.relayed"), local: counter("jobs.state_local"),
		owner: counter("jobs.state_owner"), store: counter("jobs.state_store"),
		announcementsFailed: counter("jobs.announcements_failed"), announcementsUnowned: counter("jobs.announcements_unowned"),
		overloadCache: newOverloadCache(o.Metrics), submissions: newSubmissions(), room: &roomGrant{suspended: o.Suspended}, revocations: newRevocations(o)}
}

// outcome is the outcome of a write, as far as it can be determined.
type outcome = relay.OutcomeReply_Outcome

const (
	uncertain  = relay.OutcomeReply_UNCERTAIN
	stored     = relay.OutcomeReply_STORED
	refused    = relay.OutcomeReply_REFUSED
	unknownJob = relay.OutcomeReply_UNKNOWN_JOB
	revoked    = relay.OutcomeReply_REVOKED
)

// final reports whether the outcome holds whatever happens to earlier attempts of the same write.
func final(out outcome) bool { return out == stored || out == unknownJob || out == revoked }

// Submit accepts the job, or returns an error of kind StoreUnavailable (certainly not
// accepted), JobRevoked (it was cancelled before, and is never accepted) or SubmitUncertain (may have been
// accepted, or may still be). A repeated submission of an id succeeds without effect.
func (s *Service) Submit(ctx context.Context, job *workload.Submission) error {
	raw, err := json.Marshal(job)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode job %s", job.ID)
	}
	id := job.ID // the functions do not refer to the decoded job, whose memory is needed by others during a slow write
	out := uncertain
	defer s.submissions.begin(id)()
	defer func() { // also after a panic
		if out == uncertain {
			s.submissions.markUncertain(id)
		}
	}()
	out = s.writeOrRelay(ctx, id,
		func(ctx context.Context) outcome { return s.createKey(ctx, jobowner.JobKey(id), raw) },
		func(ctx context.Context, c relay.DRPCRelayClient) (*relay.OutcomeReply, error) {
			return c.Submit(ctx, &relay.SubmitRequest{Job: id, Submission: raw})
		})
	if !final(out) && s.ownerHasJob(ctx, id) {
		out = stored // repeated submission: the owner has the job from an earlier one
	}
	switch out {
	case stored:
		return nil
	case revoked:
		return errkind.New(errkind.JobRevoked, "job %s was cancelled before it was submitted; submit it under another id", id)
	case refused:
		if !s.submissions.mayBeStored(id) {
			return errkind.New(errkind.StoreUnavailable, "the store turned the submission away")
		}
	}
	return errkind.New(errkind.SubmitUncertain, "the store did not confirm the submission")
}

// ownerHasJob reports whether the owner has the job. The owner answers from memory, without
// the store.
func (s *Service) ownerHasJob(ctx context.Context, id string) bool {
	if term := s.opts.Term(); term != nil {
		return term.HasJob(id)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerLookupTimeout)
	defer cancel()
	reply := s.queryOwner(ctx, &relay.QueryRequest{Job: id, KnownOnly: true})
	return reply != nil && reply.Known
}

// Cancel cancels the job. It returns an error of kind JobUnknown if there is none; a submission of it that is still under way
// is then never accepted.
func (s *Service) Cancel(ctx context.Context, id string) error {
	permit := s.revocations.permit()
	out := s.writeOrRelay(ctx, id,
		func(ctx context.Context) outcome { return s.createCancelKey(ctx, id, permit) },
		func(ctx context.Context, c relay.DRPCRelayClient) (*relay.OutcomeReply, error) {
			return c.Cancel(ctx, &relay.CancelRequest{Job: id})
		})
	switch out {
	case stored:
		return nil
	case unknownJob:
		return errkind.New(errkind.JobUnknown, "no record of the job exists")
	}
	return errkind.New(errkind.StateUnavailable, "the cancellation could not be stored")
}

// writeOrRelay writes to the store directly or, if the store does not confirm the write,
// through peers. A write that may have taken effect is never reported as refused.
func (s *Service) writeOrRelay(ctx context.Context, id string, direct func(context.Context) outcome,
	peer func(context.Context, relay.DRPCRelayClient) (*relay.OutcomeReply, error)) outcome {
	out := direct(ctx)
	if final(out) {
		return out
	}
	mayBeStored := out == uncertain
	for _, p := range s.relayPeers() {
		if !timeRemains(ctx) {
			break
		}
		events.Info(s.opts.Log, events.CallRelayed, zap.String("job", id), zap.String("peer", p.Name), zap.Stringer("own_outcome", out))
		s.relayed.Inc(1)
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, err := peer(call, s.opts.PeerClient(p.Address))
		cancel()
		switch {
		case err != nil:
			mayBeStored = true
		case final(reply.Outcome):
			return reply.Outcome
		case reply.Outcome == uncertain:
			mayBeStored = true
		}
	}
	if !mayBeStored {
		return refused
	}
	return s.retryUncertain(ctx, direct)
}

// retryUncertain repeats a write that may have taken effect until it succeeds or only
// responseMargin is left of the caller's deadline. It cannot return earlier: such a write must
// not be reported as refused.
func (s *Service) retryUncertain(ctx context.Context, direct func(context.Context) outcome) outcome {
	for timeRemains(ctx) && wait.For(ctx, retryDelay) {
		if out := direct(ctx); final(out) {
			return out
		}
	}
	return uncertain
}

// timeRemains reports whether the caller's deadline leaves time for another attempt.
func timeRemains(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > responseMargin)
}

func (s *Service) relayPeers() []ownership.Instance {
	peers := s.opts.Elector.Peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	if len(peers) > maxRelayPeers {
		peers = peers[:maxRelayPeers]
	}
	return peers
}

// createKey creates the key. An existing key was written earlier for the same job, and counts
// as stored unless it is a revocation. While the store does not answer, nothing is written, so that the outcome is
// certain.
func (s *Service) createKey(ctx context.Context, key string, value []byte) outcome {
	if !s.opts.CheckStore(ctx, maxAnswerAge) {
		return refused
	}
	for attempt := 1; ; attempt++ {
		out := s.tryCreateKey(ctx, key, value, attempt)
		if out != uncertain || attempt == maxWriteAttempts || !timeRemains(ctx) {
			return out
		}
	}
}

func (s *Service) tryCreateKey(ctx context.Context, key string, value []byte, attempt int) outcome {
	call, cancel := context.WithTimeout(ctx, s.opts.WriteTimeout(attempt))
	defer cancel()
	revision, err := s.opts.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{{Key: key}},
		Puts: []metastore.Put{{Key: key, Value: value}},
	})
	var conflict *metastore.ConflictError
	switch {
	case err == nil:
		s.announceToOwner(metastore.Item{Key: key, Value: value, Revision: revision})
		return stored
	case errors.As(err, &conflict):
		item, ok := conflict.Find(key)
		if ok && workload.IsRevocation(item.Value) {
			return revoked
		}
		if ok {
			s.announceToOwner(item)
		}
		return stored
	case errors.Is(err, metastore.ErrRefused) && attempt == 1:
		return refused
	}
	return uncertain
}

// announceToOwner sends a submission or cancellation to the owner, which otherwise receives it
// later through its watch of the store. It does not delay the response to the caller, and
// correctness does not depend on it.
func (s *Service) announceToOwner(item metastore.Item) {
	if term := s.opts.Term(); term != nil {
		term.OnAnnounced(metastore.Change{Item: item})
		return
	}
	owner, ok := s.opts.Elector.Owner()
	if !ok || owner.Name == s.opts.Instance {
		s.announcementUnowned(item.Key)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		_, err := s.opts.PeerClient(owner.Address).Announce(ctx, &relay.AnnounceRequest{Key: item.Key, Value: item.Value, Revision: item.Revision})
		if err != nil {
			s.announcementsFailed.Inc(1)
			s.opts.Log.Debug("cannot announce change to owner", zap.String("key", item.Key), zap.String("owner", owner.Name), zap.Error(err))
		}
	}()
}

// announcementUnowned counts an announcement without an owner that could apply it.
func (s *Service) announcementUnowned(key string) {
	s.announcementsUnowned.Inc(1)
	s.opts.Log.Debug("change not announced because there is no owner", zap.String("key", key))
}

// currentTerm returns the term of this instance, or nil if it has none or another instance may have become the
// owner, so that the store may hold newer states.
func (s *Service) currentTerm() Term {
	if term := s.opts.Term(); term != nil && s.opts.OwnershipValid() {
		return term
	}
	return nil
}

// State returns the state of the job as reported to callers. It asks the owner first, and reads
// the store if the owner does not have the job or does not answer.
func (s *Service) State(ctx context.Context, id string) (workload.State, error) {
	if term := s.currentTerm(); term != nil {
		if state, ok := term.State(ctx, id); ok {
			s.local.Inc(1)
			return state, nil
		}
	} else if reply := s.queryOwner(ctx, &relay.QueryRequest{Job: id}); reply != nil && reply.Known {
		s.owner.Inc(1)
		return workload.State(reply.State), nil
	}
	s.store.Inc(1)
	state, err := s.readState(ctx, id)
	if err == nil || errkind.Of(err) == errkind.JobUnknown {
		return state, err
	}
	return s.queryPeers(ctx, id, err)
}

// queryOwner returns the owner's reply, or nil if there is none.
func (s *Service) queryOwner(ctx context.Context, q *relay.QueryRequest) *relay.QueryReply {
	owner, ok := s.opts.Elector.Owner()
	if !ok || owner.Name == s.opts.Instance {
		return nil
	}
	return s.queryPeer(ctx, owner.Instance, q)
}

func (s *Service) queryPeer(ctx context.Context, peer ownership.Instance, q *relay.QueryRequest) *relay.QueryReply {
	timeout := peerTimeout
	if q.Job != "" {
		timeout = stateTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := s.opts.PeerClient(peer.Address).Query(call, q)
	if err != nil {
		s.opts.Log.Debug("cannot query peer", zap.String("peer", peer.Name), zap.Error(err))
		return nil
	}
	if !reply.Owner {
		return nil
	}
	return reply
}

// queryPeers asks all peers for the job; only the owner returns a state. Without access to the
// store, this instance may have no record of the current owner.
func (s *Service) queryPeers(ctx context.Context, id string, cause error) (workload.State, error) {
	for _, p := range s.opts.Elector.Peers() {
		if !timeRemains(ctx) {
			break
		}
		if reply := s.queryPeer(ctx, p, &relay.QueryRequest{Job: id}); reply != nil && reply.Known {
			return workload.State(reply.State), nil
		}
	}
	return "", cause
}

func (s *Service) readState(ctx context.Context, id string) (workload.State, error) {
	if !s.opts.StoreHealthy() {
		return "", errkind.New(errkind.StateUnavailable, "the store does not answer")
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	item, err := s.opts.Store.Get(call, jobowner.RecordKey(id))
	if err == nil {
		record, err := workload.DecodeRecord(item.Value)
		if err != nil {
			return "", errkind.Wrap(errkind.Internal, err, "job %s", id)
		}
		return record.State, nil
	}
	if !errors.Is(err, metastore.ErrNotFound) {
		return "", errkind.Wrap(errkind.StateUnavailable, err, "read job %s", id)
	}
	item, err = s.opts.Store.Get(call, jobowner.JobKey(id))
	if errors.Is(err, metastore.ErrNotFound) || err == nil && workload.IsRevocation(item.Value) {
		return "", errkind.New(errkind.JobUnknown, "no record of the job exists")
	}
	if err != nil {
		return "", errkind.Wrap(errkind.StateUnavailable, err, "read job %s", id)
	}
	return workload.Queued, nil
}

// Pending returns the number of accepted jobs of the route that have not started.
func (s *Service) Pending(ctx context.Context, route string) (int, error) {
	for timeRemains(ctx) {
		if term := s.currentTerm(); term != nil {
			if n, ok := term.Pending(route); ok {
				return n, nil
			}
		} else if reply := s.queryOwner(ctx, &relay.QueryRequest{Route: route}); reply != nil {
			return int(reply.Pending), nil
		}
		if !wait.For(ctx, 4*retryDelay) {
			break
		}
	}
	return 0, errkind.New(errkind.StateUnavailable, "the owner does not answer")
}
