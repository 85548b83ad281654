package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

// maxEjectedPercent bounds the share of ejected workers. If more of them fail, the cause is
// unlikely to be a single worker.
const maxEjectedPercent = 30

// recordJobFailure records that a job failed on a worker. A worker on which several different
// jobs fail within ejectionWindow is ejected, and its failures no longer count against the jobs.
func (o *DataCentreOwner) recordJobFailure(id string, j *job, now time.Time) {
	w := o.workers[id]
	if w == nil || w.ejected {
		return
	}
	w.failedJobs[j.id()] = now
	for job, at := range w.failedJobs {
		if now.Sub(at) > ejectionWindow {
			delete(w.failedJobs, job)
		}
	}
	limit := ejectionFailures
	if w.ejections > 0 {
		limit = 1 // readmitted after an ejection: one failure suffices
	}
	if len(w.failedJobs) < limit && !j.failedOnlyOn(id) || !o.canEject() {
		return
	}
	w.ejected = true
	w.probeAt = now.Add(min(minProbeBackoff<<min(w.ejections, 10), maxProbeBackoff))
	w.ejections++
	events.Warn(o.log, events.WorkerEjected, zap.String("worker", id), zap.Int("failed_jobs", len(w.failedJobs)), zap.Time("probe_at", w.probeAt))
	for job := range w.failedJobs {
		if other := o.jobs[job]; other != nil {
			other.dropFailures(id)
		}
	}
	clear(w.failedJobs)
	o.updateHealth(w)
}

// failedOnlyOn reports whether the job has reached maxFailures, all of them on the given worker.
func (j *job) failedOnlyOn(worker string) bool {
	return len(j.failures) >= maxFailures && !slices.ContainsFunc(j.failures, func(f failure) bool { return f.worker != worker })
}

// dropFailures removes the job's failures on a worker that is considered faulty.
func (j *job) dropFailures(worker string) {
	kept := j.failures[:0]
	for _, f := range j.failures {
		if f.worker != worker {
			kept = append(kept, f)
		}
	}
	j.failures = kept
}

func (o *DataCentreOwner) canEject() bool {
	n := 0
	for _, w := range o.workers {
		if w.ejected {
			n++
		}
	}
	return len(o.workers) > 1 && n < max(1, len(o.workers)*maxEjectedPercent/100)
}

// recordJobSuccess resets a worker's failure and ejection counts after a job succeeded on it.
func (o *DataCentreOwner) recordJobSuccess(id string) {
	if w := o.workers[id]; w != nil {
		clear(w.failedJobs)
		w.ejections = 0
	}
}

// probeWorkers probes the ejected workers that are due. A worker that answers is readmitted.
func (o *DataCentreOwner) probeWorkers(now time.Time) {
	for _, id := range sortedKeys(o.workers) {
		w := o.workers[id]
		if !w.ejected || w.probeAt.After(now) {
			continue
		}
		w.probeAt = now.Add(minProbeBackoff)
		o.goRun(func() {
			if !o.queryStatus(o.ctx, w) {
				return
			}
			o.post(func() {
				if w.ejected {
					w.ejected = false
					events.Info(o.log, events.WorkerReadmitted, zap.String("worker", id), zap.Int("ejections", w.ejections))
					o.updateHealth(w)
				}
			})
		})
	}
}

// unlistedWorker is the client of a worker that is not listed. All its calls fail.
type unlistedWorker struct{}

var errUnlisted = errors.New("worker is not listed")

func (unlistedWorker) Reserve(context.Context, remote.ReserveRequest) error { return errUnlisted }
func (unlistedWorker) Start(context.Context, remote.StartRequest) error     { return errUnlisted }
func (unlistedWorker) Renew(context.Context, remote.RenewRequest) (remote.RenewReply, error) {
	return remote.RenewReply{}, errUnlisted
}
func (unlistedWorker) Release(context.Context, remote.TaskRequest) error      { return errUnlisted }
func (unlistedWorker) Checkpoint(context.Context, remote.TaskRequest) error   { return errUnlisted }
func (unlistedWorker) Throttle(context.Context, remote.ThrottleRequest) error { return errUnlisted }
func (unlistedWorker) Stop(context.Context, remote.TaskRequest) error         { return errUnlisted }
func (unlistedWorker) Status(context.Context, uint64) (remote.WorkerStatus, error) {
	return remote.WorkerStatus{}, errUnlisted
}
