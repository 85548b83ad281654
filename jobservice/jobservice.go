// Package jobservice accepts, cancels and reports jobs at any instance. A job is accepted
// by one conditional write to the store, without the owner; an instance that the store
// turns away hands the write to a peer.
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
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// freshContact is how old the newest answer of the store may be for a write without a
	// read before it. An outage is then found out by a read, and the write surely not made.
	freshContact = 200 * time.Millisecond
	// writeTries is how often a write without an answer is sent before peers are asked.
	writeTries = 2
	// readBound is the longest wait for one read of the store.
	readBound = 600 * time.Millisecond
	// askBound is the longest wait for a peer that answers from memory, and stateBound that
	// for the state of a job, whose end the peer may be about to store.
	askBound   = 300 * time.Millisecond
	stateBound = jobowner.MaxStateWait + askBound/2
	// knownBound is the longest wait for the owner's word on whether it knows a job, before a
	// submission is refused.
	knownBound = 150 * time.Millisecond
	// relayBound is the longest wait for a peer that writes to the store.
	relayBound = 900 * time.Millisecond
	// retryPause is the pause before a write without an answer is repeated.
	retryPause = 50 * time.Millisecond
	// maxRelayPeers is how many peers are asked when the store turns this instance away.
	maxRelayPeers = 2
	// answerMargin is what is left of a caller's deadline for the answer itself.
	answerMargin = 150 * time.Millisecond
)

// Term answers for the jobs of this instance's term of ownership.
type Term interface {
	// State may wait a moment for the end of a job that may end any moment.
	State(ctx context.Context, id string) (workload.State, bool)
	Pending(route string) (n int, ok bool)
	Knows(id string) bool
	// OnAnnounced takes in a change of the intake that may not have come through the store's
	// watch yet.
	OnAnnounced(change metastore.Change)
}

// Options configures a Service.
type Options struct {
	Store   metastore.Store
	Healthy func() bool // whether the store answers this instance
	// Check asks the store whether it answers unless it has done so within the time.
	Check func(ctx context.Context, fresh time.Duration) bool
	// Bound returns how long to wait for the answer to a write that is tried for the nth time.
	Bound   func(attempt int) time.Duration
	Elector *ownership.Elector
	Self    string
	Term    func() Term // nil when this instance is not the owner
	Peer    func(address string) relay.DRPCRelayClient
	Log     *zap.Logger
	Metrics metrics.Registry
}

// Service serves the job calls of one instance.
type Service struct {
	o       Options
	relayed metrics.Counter
	local   metrics.Counter
	owner   metrics.Counter
	store   metrics.Counter
}

// New returns a service.
func New(o Options) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, o.Metrics) }
	return &Service{o: o, relayed: counter("jobs.relayed"), local: counter("jobs.state_local"),
		owner: counter("jobs.state_owner"), store: counter("jobs.state_store")}
}

// outcome is what is known of a write.
type outcome = relay.OutcomeReply_Outcome

const (
	uncertain = relay.OutcomeReply_UNCERTAIN
	stored    = relay.OutcomeReply_STORED
	refused   = relay.OutcomeReply_REFUSED
	noSuchJob = relay.OutcomeReply_UNKNOWN_JOB
)

// Submit accepts the job, or returns an error of kind StoreUnavailable (surely not
// accepted) or SubmitUncertain (may be accepted, also later). A known id is accepted again
// without effect.
func (s *Service) Submit(ctx context.Context, job *workload.Submission) error {
	raw, err := json.Marshal(job)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode job %s", job.ID)
	}
	out := s.throughAny(ctx, job.ID,
		func(ctx context.Context) outcome { return s.write(ctx, jobowner.JobKey(job.ID), raw) },
		func(ctx context.Context, c relay.DRPCRelayClient) (*relay.OutcomeReply, error) {
			return c.Submit(ctx, &relay.SubmitRequest{Job: job.ID, Submission: raw})
		})
	if out != stored && s.knownToOwner(ctx, job.ID) {
		out = stored // it comes again: the owner has it from an earlier try
	}
	switch out {
	case stored:
		return nil
	case refused:
		return errkind.New(errkind.StoreUnavailable, "the store turned the submission away")
	}
	return errkind.New(errkind.SubmitUncertain, "the store did not confirm the submission")
}

// knownToOwner reports whether the owner, which needs no store for that, knows the job.
func (s *Service) knownToOwner(ctx context.Context, id string) bool {
	if term := s.o.Term(); term != nil {
		return term.Knows(id)
	}
	ctx, cancel := context.WithTimeout(ctx, knownBound)
	defer cancel()
	reply := s.askOwner(ctx, &relay.QueryRequest{Job: id, KnownOnly: true})
	return reply != nil && reply.Known
}

// Cancel cancels the job. It returns an error of kind JobUnknown if there is none.
func (s *Service) Cancel(ctx context.Context, id string) error {
	out := s.throughAny(ctx, id,
		func(ctx context.Context) outcome { return s.writeCancel(ctx, id) },
		func(ctx context.Context, c relay.DRPCRelayClient) (*relay.OutcomeReply, error) {
			return c.Cancel(ctx, &relay.CancelRequest{Job: id})
		})
	switch out {
	case stored:
		return nil
	case noSuchJob:
		return errkind.New(errkind.JobUnknown, "no record of the job exists")
	}
	return errkind.New(errkind.StateUnavailable, "the cancellation could not be stored")
}

// throughAny writes through the store or, if it does not confirm the write, through peers.
// A write that may have taken effect is never reported as refused.
func (s *Service) throughAny(ctx context.Context, id string, direct func(context.Context) outcome,
	peer func(context.Context, relay.DRPCRelayClient) (*relay.OutcomeReply, error)) outcome {
	out := direct(ctx)
	if out == stored || out == noSuchJob {
		return out
	}
	doubt := out == uncertain
	for _, p := range s.relayPeers() {
		if !enough(ctx) {
			break
		}
		events.Info(s.o.Log, events.CallRelayed, zap.String("job", id), zap.String("peer", p.Name), zap.Stringer("own_outcome", out))
		s.relayed.Inc(1)
		call, cancel := context.WithTimeout(ctx, relayBound)
		reply, err := peer(call, s.o.Peer(p.Address))
		cancel()
		switch {
		case err != nil:
			doubt = true
		case reply.Outcome == stored || reply.Outcome == noSuchJob:
			return reply.Outcome
		case reply.Outcome == uncertain:
			doubt = true
		}
	}
	if !doubt {
		return refused
	}
	return s.settle(ctx, direct)
}

// settle repeats a write that may have taken effect until its outcome is known or the
// caller's deadline is near. No other answer than the outcome would help the caller: it may
// not say that the write was refused.
func (s *Service) settle(ctx context.Context, direct func(context.Context) outcome) outcome {
	for enough(ctx) && wait.For(ctx, retryPause) {
		if out := direct(ctx); out == stored || out == noSuchJob {
			return out
		}
	}
	return uncertain
}

// enough reports whether the caller still waits long enough for another try.
func enough(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > answerMargin)
}

func (s *Service) relayPeers() []ownership.Instance {
	peers := s.o.Elector.Peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	if len(peers) > maxRelayPeers {
		peers = peers[:maxRelayPeers]
	}
	return peers
}

// write creates the key. A key that exists was written for the same job before.
// Nothing is written while the store does not answer, so that the outcome is known.
func (s *Service) write(ctx context.Context, key string, value []byte) outcome {
	if !s.o.Check(ctx, freshContact) {
		return refused
	}
	for attempt := 1; ; attempt++ {
		out := s.writeOnce(ctx, key, value, attempt)
		if out != uncertain || attempt == writeTries || !enough(ctx) {
			return out
		}
	}
}

func (s *Service) writeOnce(ctx context.Context, key string, value []byte, attempt int) outcome {
	call, cancel := context.WithTimeout(ctx, s.o.Bound(attempt))
	defer cancel()
	revision, err := s.o.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{{Key: key}},
		Puts: []metastore.Put{{Key: key, Value: value}},
	})
	var conflict *metastore.ConflictError
	switch {
	case err == nil:
		s.announce(metastore.Item{Key: key, Value: value, Revision: revision})
		return stored
	case errors.As(err, &conflict):
		if item, ok := conflict.Find(key); ok {
			s.announce(item)
		}
		return stored
	case errors.Is(err, metastore.ErrRefused) && attempt == 1:
		return refused
	}
	return uncertain
}

// announce tells the owner of a change of the intake. It does not delay the caller's answer,
// and nothing depends on it: the owner watches the intake as well.
func (s *Service) announce(item metastore.Item) {
	if term := s.o.Term(); term != nil {
		term.OnAnnounced(metastore.Change{Item: item})
		return
	}
	owner, ok := s.o.Elector.Owner()
	if !ok || owner.Name == s.o.Self {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askBound)
		defer cancel()
		_, err := s.o.Peer(owner.Address).Announce(ctx, &relay.AnnounceRequest{Key: item.Key, Value: item.Value, Revision: item.Revision})
		if err != nil {
			s.o.Log.Debug("owner not told", zap.String("key", item.Key), zap.String("owner", owner.Name), zap.Error(err))
		}
	}()
}

func (s *Service) writeCancel(ctx context.Context, id string) outcome {
	if !s.o.Healthy() {
		return refused
	}
	call, cancel := context.WithTimeout(ctx, readBound)
	_, err := s.o.Store.Get(call, jobowner.JobKey(id))
	cancel()
	if errors.Is(err, metastore.ErrNotFound) {
		return noSuchJob
	}
	if err != nil {
		return refused
	}
	return s.write(ctx, jobowner.CancelKey(id), []byte("{}"))
}

// State returns what callers may be told of the job: from the owner, or from the store
// when the owner does not know it or does not answer.
func (s *Service) State(ctx context.Context, id string) (workload.State, error) {
	if term := s.o.Term(); term != nil {
		if state, ok := term.State(ctx, id); ok {
			s.local.Inc(1)
			return state, nil
		}
	} else if reply := s.askOwner(ctx, &relay.QueryRequest{Job: id}); reply != nil && reply.Known {
		s.owner.Inc(1)
		return workload.State(reply.State), nil
	}
	s.store.Inc(1)
	state, err := s.readState(ctx, id)
	if err == nil || errkind.Of(err) == errkind.JobUnknown {
		return state, err
	}
	return s.askPeers(ctx, id, err)
}

// askOwner returns the owner's reply, or nil.
func (s *Service) askOwner(ctx context.Context, q *relay.QueryRequest) *relay.QueryReply {
	owner, ok := s.o.Elector.Owner()
	if !ok || owner.Name == s.o.Self {
		return nil
	}
	return s.ask(ctx, owner.Instance, q)
}

func (s *Service) ask(ctx context.Context, peer ownership.Instance, q *relay.QueryRequest) *relay.QueryReply {
	bound := askBound
	if q.Job != "" {
		bound = stateBound
	}
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	reply, err := s.o.Peer(peer.Address).Query(call, q)
	if err != nil {
		s.o.Log.Debug("peer not asked", zap.String("peer", peer.Name), zap.Error(err))
		return nil
	}
	if !reply.Owner {
		return nil
	}
	return reply
}

// askPeers looks for an owner that this instance has not heard of, because the store turns
// it away.
func (s *Service) askPeers(ctx context.Context, id string, cause error) (workload.State, error) {
	for _, p := range s.o.Elector.Peers() {
		if !enough(ctx) {
			break
		}
		if reply := s.ask(ctx, p, &relay.QueryRequest{Job: id}); reply != nil && reply.Known {
			return workload.State(reply.State), nil
		}
	}
	return "", cause
}

func (s *Service) readState(ctx context.Context, id string) (workload.State, error) {
	if !s.o.Healthy() {
		return "", errkind.New(errkind.StateUnavailable, "the store does not answer")
	}
	call, cancel := context.WithTimeout(ctx, readBound)
	defer cancel()
	item, err := s.o.Store.Get(call, jobowner.RecordKey(id))
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
	_, err = s.o.Store.Get(call, jobowner.JobKey(id))
	if errors.Is(err, metastore.ErrNotFound) {
		return "", errkind.New(errkind.JobUnknown, "no record of the job exists")
	}
	if err != nil {
		return "", errkind.Wrap(errkind.StateUnavailable, err, "read job %s", id)
	}
	return workload.Queued, nil
}

// Pending returns how many accepted jobs of the route have not begun.
func (s *Service) Pending(ctx context.Context, route string) (int, error) {
	for enough(ctx) {
		if term := s.o.Term(); term != nil {
			if n, ok := term.Pending(route); ok {
				return n, nil
			}
		} else if reply := s.askOwner(ctx, &relay.QueryRequest{Route: route}); reply != nil {
			return int(reply.Pending), nil
		}
		if !wait.For(ctx, 4*retryPause) {
			break
		}
	}
	return 0, errkind.New(errkind.StateUnavailable, "the owner does not answer")
}
