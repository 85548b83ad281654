package jobservice

import (
	"context"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

// HandleQuery handles a peer's query. If this instance is not the owner, the reply is empty.
func (s *Service) HandleQuery(ctx context.Context, q *relay.QueryRequest) (*relay.QueryReply, error) {
	term := s.currentTerm()
	if term == nil {
		return &relay.QueryReply{}, nil
	}
	if q.Job == "" {
		n, ok := term.Pending(q.Route)
		return &relay.QueryReply{Owner: ok, Pending: int64(n)}, nil
	}
	if q.KnownOnly {
		return &relay.QueryReply{Owner: true, Known: term.HasJob(q.Job)}, nil
	}
	state, found := term.State(ctx, q.Job)
	return &relay.QueryReply{Owner: true, Known: found, State: string(state)}, nil
}

// HandleSubmit handles a submission that a peer relays.
func (s *Service) HandleSubmit(ctx context.Context, r *relay.SubmitRequest) (*relay.OutcomeReply, error) {
	defer s.submissions.begin(r.Job)()
	out := s.createKey(ctx, jobowner.JobKey(r.Job), r.Submission)
	if out == uncertain {
		s.submissions.markUncertain(r.Job)
	}
	return &relay.OutcomeReply{Outcome: out}, nil
}

// HandleCancel handles a cancellation that a peer relays.
func (s *Service) HandleCancel(ctx context.Context, r *relay.CancelRequest) (*relay.OutcomeReply, error) {
	return &relay.OutcomeReply{Outcome: s.createCancelKey(ctx, r.Job, s.revocations.permit())}, nil
}

// HandleAnnounce handles a peer's announcement of a submission or cancellation. Only the owner
// applies it.
func (s *Service) HandleAnnounce(_ context.Context, r *relay.AnnounceRequest) (*relay.AnnounceReply, error) {
	term := s.opts.Term()
	if term == nil {
		s.announcementUnowned(r.Key)
		return &relay.AnnounceReply{}, nil
	}
	term.OnAnnounced(metastore.Change{Item: metastore.Item{Key: r.Key, Value: r.Value, Revision: r.Revision}})
	return &relay.AnnounceReply{}, nil
}
