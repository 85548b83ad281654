package jobfront

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// admit returns the refusal of a submission that can never run under the cap of its workspace. A job that was accepted
// before is not refused: its submission may be repeated at any instance, also after the cap was lowered.
func (s *Server) admit(ctx context.Context, c *call, job *workload.Submission) error {
	w := c.config.Workspace(c.workspace)
	if w == nil || !w.Limited() {
		return nil
	}
	refused := s.checkLimits(w, job)
	if refused == nil || !s.opts.Jobs.CertainlyNew(ctx, job.ID) {
		return nil
	}
	return refused
}

// checkLimits returns the refusal of a submission of a workspace with a weight or a cap, or nil.
func (s *Server) checkLimits(w *workload.Workspace, job *workload.Submission) error {
	if err := w.CheckCap(job); err != nil {
		return refuse(errkind.NeverRunnable, "%v", err)
	}
	return nil
}

// retryAfterOf returns the Retry-After of a response, or 0 if it has none. A submission that can never run would be
// refused again.
func (s *Server) retryAfterOf(kind errkind.Kind, status int) time.Duration {
	if kind == errkind.NeverRunnable || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return s.retryAfter()
}
