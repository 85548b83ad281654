package jobservice

import (
	"context"
	"errors"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// Begin records that a submission of the id is in progress until end is called. Concurrent submissions of one id are then
// not refused by CertainlyNew.
func (s *Service) Begin(id string) (end func()) { return s.submissions.begin(id) }

// CertainlyNew reports whether no submission of the id has been accepted, and none can be by what is known at this
// instance; the caller has called Begin. An accepted job may be submitted again at any instance, after a cap was lowered or
// while the workspace is overloaded, and must be answered as accepted. Only the store knows all accepted jobs, so that
// the result is false if it does not answer.
func (s *Service) CertainlyNew(ctx context.Context, id string) bool {
	begun, alone := s.submissions.begun(id)
	if term := s.opts.Term(); !alone || (term != nil && term.HasJob(id)) || !s.opts.StoreHealthy() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.WriteTimeout(1))
	defer cancel()
	if _, err := s.opts.Store.Get(ctx, jobowner.JobKey(id)); !errors.Is(err, metastore.ErrNotFound) {
		return false
	}
	// One that began after the first look may have been stored after the read.
	now, alone := s.submissions.begun(id)
	return alone && now == begun
}
