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

// maxEjectedPercent bounds the share of ejected workers: when more fail, the cause is not
// a single worker.
const maxEjectedPercent = 30

// blame counts a failure of a job against a worker. A worker on which several different
// jobs fail within a short time is ejected, and those failures no longer count against
// the jobs.
func (o *DataCentreOwner) blame(id string, j *job, now time.Time) {
	w := o.workers[id]
	if w == nil || w.ejected {
		return
	}
	w.failed[j.id()] = now
	for job, at := range w.failed {
		if now.Sub(at) > failureWindow {
			delete(w.failed, job)
		}
	}
	limit := failureJobs
	if w.ejections > 0 {
		limit = 1 // on probation after a probe
	}
	if len(w.failed) < limit && !j.failedOnlyOn(id) || !o.mayEject() {
		return
	}
	w.ejected = true
	w.probeAt = now.Add(min(probeDelay<<min(w.ejections, 10), maxProbeDelay))
	w.ejections++
	events.Warn(o.log, events.WorkerEjected, zap.String("worker", id), zap.Int("failed_jobs", len(w.failed)), zap.Time("probe_at", w.probeAt))
	for job := range w.failed {
		if other := o.jobs[job]; other != nil {
			other.forgive(id)
		}
	}
	clear(w.failed)
	o.setHealth(w)
}

// failedOnlyOn reports whether all attempts up to the limit failed on the same worker.
func (j *job) failedOnlyOn(worker string) bool {
	return len(j.failures) >= maxFailures && !slices.ContainsFunc(j.failures, func(f failure) bool { return f.worker != worker })
}

// forgive drops the failures on a worker that turned out to be at fault itself.
func (j *job) forgive(worker string) {
	kept := j.failures[:0]
	for _, f := range j.failures {
		if f.worker != worker {
			kept = append(kept, f)
		}
	}
	j.failures = kept
}

func (o *DataCentreOwner) mayEject() bool {
	n := 0
	for _, w := range o.workers {
		if w.ejected {
			n++
		}
	}
	return len(o.workers) > 1 && n < max(1, len(o.workers)*maxEjectedPercent/100)
}

// cleared notes that a job has succeeded on a worker.
func (o *DataCentreOwner) cleared(id string) {
	if w := o.workers[id]; w != nil {
		clear(w.failed)
		w.ejections = 0
	}
}

// probeWorkers asks ejected workers whose time has come; one that answers gets work again.
func (o *DataCentreOwner) probeWorkers(now time.Time) {
	for _, id := range sortedKeys(o.workers) {
		w := o.workers[id]
		if !w.ejected || w.probeAt.After(now) {
			continue
		}
		w.probeAt = now.Add(probeDelay)
		o.goRun(func() {
			if !o.askStatus(o.ctx, w) {
				return
			}
			o.post(func() {
				if w.ejected {
					w.ejected = false
					events.Info(o.log, events.WorkerReadmitted, zap.String("worker", id), zap.Int("ejections", w.ejections))
					o.setHealth(w)
				}
			})
		})
	}
}

// absentWorker stands for a worker that is not listed. Its calls have no answer.
type absentWorker struct{}

var errAbsent = errors.New("worker is not listed")

func (absentWorker) Reserve(context.Context, remote.ReserveRequest) error { return errAbsent }
func (absentWorker) Start(context.Context, remote.StartRequest) error     { return errAbsent }
func (absentWorker) Renew(context.Context, remote.RenewRequest) (remote.RenewReply, error) {
	return remote.RenewReply{}, errAbsent
}
func (absentWorker) Release(context.Context, remote.TaskRequest) error      { return errAbsent }
func (absentWorker) Checkpoint(context.Context, remote.TaskRequest) error   { return errAbsent }
func (absentWorker) Throttle(context.Context, remote.ThrottleRequest) error { return errAbsent }
func (absentWorker) Stop(context.Context, remote.TaskRequest) error         { return errAbsent }
func (absentWorker) Status(context.Context, uint64) (remote.WorkerStatus, error) {
	return remote.WorkerStatus{}, errAbsent
}
