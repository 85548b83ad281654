package jobfront

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// admit returns the refusal of a submission that can never run under the cap of its workspace, that could not be done
// in time because the workspace has sent too much, or for which an owner has no memory. A job that was accepted before is not refused: its submission may be
// repeated at any instance, also after the cap was lowered.
func (s *Server) admit(ctx context.Context, c *call, job *workload.Submission) error {
	var refused *refusal
	if w := c.config.Workspace(c.workspace); w != nil && w.Limited() {
		refused = s.checkLimits(ctx, w, job)
	}
	if refused == nil {
		refused = s.checkBacklog(ctx, job)
	}
	if refused == nil || !s.opts.Jobs.CertainlyNew(ctx, job.ID) {
		return nil
	}
	s.limited.count(refused.kind, c.workspace)
	return refused
}

// checkBacklog returns the refusal of a submission for which an owner has no memory, or nil.
func (s *Server) checkBacklog(ctx context.Context, job *workload.Submission) *refusal {
	footprint := job.Footprint()
	if !s.opts.Jobs.BacklogFull(ctx, footprint) {
		return nil
	}
	return &refusal{kind: errkind.BacklogFull,
		message: fmt.Sprintf("the job needs about %d bytes of an owner's memory; the accepted jobs that have not ended leave less of what Jobs.BacklogMb allows", footprint)}
}

// checkLimits returns the refusal of a submission of a workspace with a weight or a cap, or nil.
func (s *Server) checkLimits(ctx context.Context, w *workload.Workspace, job *workload.Submission) *refusal {
	if err := w.CheckCap(job); err != nil {
		return &refusal{kind: errkind.NeverRunnable, message: err.Error()}
	}
	if after, overloaded := s.opts.Jobs.Overloaded(ctx, job); overloaded {
		return &refusal{kind: errkind.QueueFull, retryAfter: after,
			message: "workspace " + w.Name + " has sent more than its weight and its cap allow to do in time; a new job can be in time after " + after.String()}
	}
	return nil
}

// retryAfterOf returns the Retry-After of a response, or 0 if it has none. A submission that can never run, or whose job was
// cancelled, would be refused again.
func (s *Server) retryAfterOf(err error, status int) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	if kind := kindOf(err); kind == errkind.NeverRunnable || kind == errkind.JobRevoked {
		return 0
	}
	var r *refusal
	if errors.As(err, &r) {
		if r.retryAfter > 0 {
			return r.retryAfter
		}
	}
	return s.retryAfter()
}

// maxLimitedCounters limits the number of counters of workspaces. The counters by reason alone count all of them.
const maxLimitedCounters = 256

// limitedRefusals counts the refusals of admit by reason and workspace.
type limitedRefusals struct {
	registry metrics.Registry

	mu       sync.Mutex
	counters map[string]metrics.Counter
}

func (l *limitedRefusals) count(kind errkind.Kind, workspace string) {
	name := "front.refused." + string(kind)
	metrics.GetOrRegisterCounter(name, l.registry).Inc(1)
	name += "." + workspace
	l.mu.Lock()
	defer l.mu.Unlock()
	counter := l.counters[name]
	if counter == nil {
		if len(l.counters) == maxLimitedCounters {
			return
		}
		if l.counters == nil {
			l.counters = map[string]metrics.Counter{}
		}
		counter = metrics.GetOrRegisterCounter(name, l.registry)
		l.counters[name] = counter
	}
	counter.Inc(1)
}
