package jobservice

import (
	"context"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

// HandleQuery implements the peer protocol: it answers as owner or not at all.
func (s *Service) HandleQuery(ctx context.Context, q *relay.QueryRequest) (*relay.QueryReply, error) {
	term := s.o.Term()
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
	state, known := term.State(ctx, q.Job)
	return &relay.QueryReply{Owner: true, Known: known, State: string(state)}, nil
}

// HandleSubmit implements the peer protocol.
func (s *Service) HandleSubmit(ctx context.Context, r *relay.SubmitRequest) (*relay.OutcomeReply, error) {
	return &relay.OutcomeReply{Outcome: s.write(ctx, jobowner.JobKey(r.Job), r.Submission)}, nil
}

// HandleCancel implements the peer protocol.
func (s *Service) HandleCancel(ctx context.Context, r *relay.CancelRequest) (*relay.OutcomeReply, error) {
	return &relay.OutcomeReply{Outcome: s.writeCancel(ctx, r.Job)}, nil
}

// HandleAnnounce implements the peer protocol: a change is taken in by the owner and ignored by
// every other instance.
func (s *Service) HandleAnnounce(_ context.Context, r *relay.AnnounceRequest) (*relay.AnnounceReply, error) {
	if term := s.o.Term(); term != nil {
		term.OnAnnounced(metastore.Change{Item: metastore.Item{Key: r.Key, Value: r.Value, Revision: r.Revision}})
	}
	return &relay.AnnounceReply{}, nil
}
