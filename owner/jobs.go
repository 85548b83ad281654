package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// submit accepts a job by creating its record, which also detects duplicates.
func (o *DataCentreOwner) submit(ctx context.Context, spec structs.Job) error {
	var err error
	if callErr := o.call(ctx, func() { err = o.admit(spec) }); callErr != nil || err != nil {
		return firstError(callErr, err)
	}
	rec := structs.JobRecord{Job: spec, DataCentre: o.dc, Phase: structs.PhaseAccepted, Token: o.token}
	rev, err := o.create(ctx, rec)
	if err != nil {
		return err
	}
	// The record exists, so the job is queued even if the caller has gone away.
	err = o.call(context.Background(), func() { o.addAccepted(rec, rev) })
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "job %s is recorded; the next owner runs it", spec.ID)
	}
	return nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// admit rejects a job that cannot be accepted, before its record is created.
func (o *DataCentreOwner) admit(spec structs.Job) error {
	switch {
	case o.stopping:
		return errkind.New(errkind.ShuttingDown, "the owner of %s stands down", o.dc)
	case o.fenced.Load():
		return errkind.New(errkind.StaleToken, "data centre %s has a newer owner", o.dc)
	case !o.ready:
		return errkind.New(errkind.OwnerUnavailable, "the owner of %s recovers", o.dc)
	case spec.ID == "" || spec.Shape.Tasks < 1:
		return errkind.New(errkind.BadRequest, "a job needs an id and at least one task")
	case o.jobs[spec.ID] != nil:
		return errkind.New(errkind.DuplicateRequest, "job %s exists", spec.ID)
	case len(o.state.Jobs) >= maxJobs:
		return errkind.New(errkind.QueueFull, "data centre %s has %d jobs", o.dc, len(o.state.Jobs))
	}
	return nil
}

// create writes a new record. It reads first: this detects an outage before a write is sent, so
// that the answer "not run" is certain, and detects most duplicates without a write.
func (o *DataCentreOwner) create(ctx context.Context, rec structs.JobRecord) (uint64, error) {
	id := rec.Job.ID
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, errkind.Wrap(errkind.BadRequest, err, "job %s", id)
	}
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := o.opts.Store.Get(readCtx, recordKey(id)); err == nil {
		return 0, errkind.New(errkind.DuplicateRequest, "job %s exists", id)
	} else if !errors.Is(err, remote.ErrNotFound) {
		return 0, errkind.Wrap(errkind.StoreUnavailable, err, "job %s", id)
	}
	metrics.GetOrRegisterCounter("owner.record_writes", o.opts.Metrics).Inc(1)
	// From here on the record may exist, so the calls continue even if the caller goes away.
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	rev, err := o.opts.Store.CompareAndSwap(writeCtx, recordKey(id), 0, value, 0)
	switch {
	case err == nil:
		return rev, nil
	case errors.Is(err, remote.ErrTooLarge):
		return 0, errkind.Wrap(errkind.BadRequest, err, "job %s", id)
	case remote.NotExecuted(err) && !errors.Is(err, remote.ErrConflict):
		return 0, errkind.Wrap(errkind.StoreUnavailable, err, "job %s", id)
	}
	resolveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*storeTimeout)
	defer cancel()
	return o.resolveCreate(resolveCtx, rec, value, err)
}

// resolveCreate determines whether a create without an answer took effect. If there is no record,
// the write may still arrive. A tombstone with the outcome "not run" is then created in its place,
// so that the write cannot take effect later.
func (o *DataCentreOwner) resolveCreate(ctx context.Context, rec structs.JobRecord, value []byte, cause error) (uint64, error) {
	id := rec.Job.ID
	tombstone := rec
	tombstone.Phase, tombstone.Outcome, tombstone.Ended = structs.PhaseEnded, structs.OutcomeNotRun, time.Now()
	tombstoneValue, err := json.Marshal(tombstone)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "job %s", id)
	}
	for {
		kv, err := o.opts.Store.Get(ctx, recordKey(id))
		switch {
		case err == nil && bytes.Equal(kv.Value, value):
			events.Info(o.log, events.RecordAnswerLost, zap.String("job", id))
			return kv.Revision, nil
		case err == nil && bytes.Equal(kv.Value, tombstoneValue):
			return 0, o.rollBackCreate(id, kv.Revision, cause)
		case err == nil:
			return 0, errkind.New(errkind.DuplicateRequest, "job %s exists", id)
		case errors.Is(err, remote.ErrNotFound):
			if rev, err := o.opts.Store.CompareAndSwap(ctx, recordKey(id), 0, tombstoneValue, 0); err == nil {
				return 0, o.rollBackCreate(id, rev, cause)
			}
		}
		if !wait.For(ctx, pollInterval) {
			// It is not known whether the record exists. If it does, a later listing loads it.
			return 0, errkind.Wrap(errkind.Internal, cause, "job %s: the store has not told whether it is recorded", id)
		}
	}
}

// rollBackCreate returns an error that reports a job as not run, and deletes its tombstone so that
// the caller can reuse the id.
func (o *DataCentreOwner) rollBackCreate(id string, rev uint64, cause error) error {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	if o.opts.Store.Delete(ctx, recordKey(id), rev) != nil {
		o.post(func() { o.endedRecords = append(o.endedRecords, endedRecord{id: id, rev: rev}) })
	}
	return errkind.Wrap(errkind.StoreUnavailable, cause, "job %s", id)
}

// addAccepted queues a job whose record was created.
func (o *DataCentreOwner) addAccepted(rec structs.JobRecord, rev uint64) {
	id := rec.Job.ID
	if o.jobs[id] != nil {
		return // a listing has already loaded the record
	}
	j := newJob(rec, rev)
	o.jobs[id] = j
	o.records.track(id, rev)
	now := time.Now()
	events.Info(o.log, events.JobAccepted, zap.String("job", id), zap.String("shape", rec.Job.Shape.String()),
		zap.Bool("idempotent", rec.Job.Idempotent), zap.Bool("checkpoint", rec.Job.Checkpoint))
	o.recordDecision(j, "accepted", "record created", structs.Action{}, now)
	o.enqueue(j, now)
}

// cancelJob cancels a job. It has no effect on an ended job, and fails while a job is transferred.
func (o *DataCentreOwner) cancelJob(id string) error {
	j := o.jobs[id]
	if j == nil || j.status == jobGone {
		return errkind.New(errkind.JobUnknown, "no job %s in %s", id, o.dc)
	}
	if !j.live() || j.rec.Cancel {
		return nil
	}
	if j.status == jobTransferring {
		// The record that is being written does not contain the cancellation.
		return errkind.New(errkind.OwnerUnavailable, "job %s is being transferred", id)
	}
	j.rec.Cancel = true
	now := time.Now()
	switch j.status {
	case jobQueued, jobParked:
		o.end(j, structs.OutcomeCancelled, "cancelled", now)
	case jobStarting:
		j.cancelStart()
	case jobRunning:
		o.records.put(j.rec)
		o.stop(j, stopOrder{reason: "cancelled"}, now)
	}
	return nil
}

// jobStatus returns a job's record and a channel that is closed when the end of the job is reported.
func (o *DataCentreOwner) jobStatus(id string) (rec structs.JobRecord, done chan struct{}, known bool) {
	j := o.jobs[id]
	if j == nil || j.status == jobGone {
		return rec, nil, false
	}
	if j.lastReported != nil {
		return *j.lastReported, j.done, true
	}
	return j.rec, j.done, true
}

// storedRecord reads the record of a job that is not in memory from the store.
func (o *DataCentreOwner) storedRecord(ctx context.Context, id string) (structs.JobRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := o.opts.Store.Get(ctx, recordKey(id))
	if errors.Is(err, remote.ErrNotFound) {
		return structs.JobRecord{}, errkind.New(errkind.JobUnknown, "no job %s", id)
	}
	if err != nil {
		return structs.JobRecord{}, errkind.Wrap(errkind.StoreUnavailable, err, "job %s", id)
	}
	rec, err := decodeRecord(kv)
	return rec, errkind.Wrap(errkind.Internal, err, "job %s", id)
}

// loadTransferred loads a job that was transferred to this data centre.
func (o *DataCentreOwner) loadTransferred(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if kv, err := o.opts.Store.Get(ctx, recordKey(id)); err == nil {
		o.post(func() { o.loadNew([]remote.KV{kv}) })
	}
}

// evacuate checkpoints and stops the running jobs that may run again. The other jobs run to their
// end, because a stop would abort a request that was already admitted.
func (o *DataCentreOwner) evacuate(now time.Time) {
	var plan structs.Plan
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.status == jobRunning && j.rec.Job.Reclaimable() {
			plan.Actions = append(plan.Actions, structs.Action{
				Kind: structs.ActionPreempt, Job: id, Checkpoint: j.rec.Job.Checkpoint, Grace: j.rec.Job.Grace,
				Reason: "data centre is out",
			})
		}
	}
	if o.stopping || o.fenced.Load() || len(plan.Actions) == 0 {
		return
	}
	if !o.apply(state.PlanAccepted{Plan: plan, Now: now}) {
		return
	}
	for i := range plan.Actions {
		o.execute(&plan.Actions[i], nil, now)
	}
}

// configure puts a manifest revision in force.
func (o *DataCentreOwner) configure(rev structs.Revision, guarantees []state.Guarantee) {
	now := time.Now()
	e := state.Configured{
		Revision: rev.Number, Guarantees: guarantees, Stage: structs.StageOut, Now: now,
		Workspaces: rev.Manifest.Workspaces, Services: rev.Manifest.Services,
	}
	if dc := rev.Manifest.DataCentre(o.dc); dc != nil {
		e.Stage, e.DrainBy, e.Fleet = dc.Stage, dc.DrainBy, dc.Fleet
	}
	if rev.Number < o.state.Revision || !o.apply(e) {
		return
	}
	o.workspaces = rev.Manifest.Workspaces
	if !e.Stage.AllowsStarts() {
		for _, id := range sortedKeys(o.jobs) {
			if j := o.jobs[id]; j.status == jobStarting {
				j.cancelStart()
			}
		}
	}
	if e.Stage == structs.StageOut {
		o.evacuate(now)
	}
}

// deleteExpired deletes the records of jobs that ended more than recordRetention ago.
func (o *DataCentreOwner) deleteExpired() {
	var due []endedRecord
	_ = o.call(o.ctx, func() {
		limit := time.Now().Add(-recordRetention)
		o.endedRecords = slices.DeleteFunc(o.endedRecords, func(e endedRecord) bool {
			if e.ended.After(limit) {
				return false
			}
			if e.rev == 0 {
				e.rev = o.records.revision(e.id)
			}
			if e.rev == 0 {
				return false // not written yet
			}
			due = append(due, e)
			return true
		})
	})
	for _, e := range due {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		err := o.opts.Store.Delete(ctx, recordKey(e.id), e.rev)
		cancel()
		if err == nil || errors.Is(err, remote.ErrNotFound) || errors.Is(err, remote.ErrConflict) {
			o.records.remove(e.id)
			continue
		}
		o.post(func() { o.endedRecords = append(o.endedRecords, e) })
	}
}
