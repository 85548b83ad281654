package jobowner

import (
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// addToBacklog counts the memory that a new job needs. The caller holds the lock.
func (t *Term) addToBacklog(j *jobstate.Job) {
	j.Footprint = j.Submission.Footprint()
	t.backlog.Add(j.Footprint)
}

// shrinkInBacklog counts a job with the given footprint from now on. The caller holds the lock.
func (t *Term) shrinkInBacklog(j *jobstate.Job, footprint int64) {
	t.backlog.Add(footprint - j.Footprint)
	j.Footprint = footprint
}

// releaseJob releases what the ended job no longer needs. The caller holds the lock.
func (t *Term) releaseJob(j *jobstate.Job) {
	j.Release()
	t.shrinkInBacklog(j, workload.EndedFootprint)
}

// Room returns the footprint, in bytes, of the jobs for which there is memory beside those that are accepted. ok is false
// until all jobs are loaded. It does not take the lock that decisions hold.
func (t *Term) Room() (bytes int64, ok bool) {
	select {
	case <-t.loaded:
	default:
		return 0, false
	}
	if t.ctx == nil || t.ctx.Err() != nil {
		return 0, false
	}
	return max(0, t.opts.MaxBacklog-t.backlog.Load()), true
}

// Token returns the fencing token of the term.
func (t *Term) Token() uint64 { return t.opts.Token }
