package jobservice

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// newnessTimeout limits the read that precedes a refusal.
const newnessTimeout = 300 * time.Millisecond

// CertainlyNew reports whether no instance has accepted a submission of the id. An accepted job may be submitted again
// at any instance, after a cap was lowered or while the workspace is overloaded, and must be answered as accepted.
// Only the store knows all accepted jobs, so that the result is false if it does not answer.
func (s *Service) CertainlyNew(ctx context.Context, id string) bool {
	if term := s.opts.Term(); (term != nil && term.HasJob(id)) || !s.opts.StoreHealthy() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, newnessTimeout)
	defer cancel()
	_, err := s.opts.Store.Get(ctx, jobowner.JobKey(id))
	return errors.Is(err, metastore.ErrNotFound)
}
