package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// pageSize is how many records are listed in one call. Records are small; a page that cannot be
// listed, for example because it is too large for one answer, is requested again at half the size.
const pageSize = 64

// firstStatusTimeout is how long recovery waits for the first answers of all workers before it
// decides about queued jobs. Workers that have not answered by then are queried repeatedly.
const firstStatusTimeout = 2 * time.Second

// recover takes over the data centre, then polls the lists of workers and records.
func (o *DataCentreOwner) recover() {
	for {
		list, err := o.listWorkers()
		if err == nil && o.call(o.ctx, func() { o.applyWorkerList(list) }) == nil {
			break
		}
		if !wait.For(o.ctx, time.Second) {
			return
		}
	}
	// The workers are queried before the records are read, so that earlier owners are fenced by
	// then, and running tasks keep their leases while the store does not answer.
	reports := o.queryAllWorkers()
	entries, err := o.listRecords(o.ctx)
	for err != nil {
		if !wait.For(o.ctx, time.Second) {
			return
		}
		reports = o.queryAllWorkers()
		entries, err = o.listRecords(o.ctx)
	}
	if o.call(o.ctx, func() { o.loadAll(entries, reports) }) != nil {
		return
	}
	o.renewAll()
	o.pollLists()
}

// pollLists lists workers and records periodically. The list of records shows the jobs that other
// data centres have transferred to this one.
func (o *DataCentreOwner) pollLists() {
	lastRecords := time.Now()
	for round := uint64(0); wait.For(o.ctx, workerListInterval+jitter(o.dc, round, time.Second)); round++ {
		if list, err := o.listWorkers(); err == nil {
			o.post(func() { o.applyWorkerList(list) })
		}
		if time.Since(lastRecords) < recordListInterval {
			continue
		}
		if entries, err := o.listRecords(o.ctx); err == nil {
			lastRecords = time.Now()
			o.post(func() { o.loadNew(entries) })
		}
		o.deleteExpired()
	}
}

func (o *DataCentreOwner) listWorkers() ([]structs.Worker, error) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	return o.opts.List.Workers(ctx)
}

// listRecords pages through all job records.
func (o *DataCentreOwner) listRecords(ctx context.Context) ([]remote.KV, error) {
	var entries []remote.KV
	after, size := "", pageSize
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := o.opts.Store.List(callCtx, recordKey(""), after, size)
		cancel()
		if err != nil && size > 8 {
			size /= 2
			continue
		}
		if err != nil {
			return nil, err
		}
		entries = append(entries, page...)
		if len(page) < size {
			return entries, nil
		}
		after = page[len(page)-1].Key
	}
}

// queryAllWorkers queries the tasks of every worker, which fences earlier owners, and renews their
// leases. Tasks that turn out to be orphans are stopped later.
func (o *DataCentreOwner) queryAllWorkers() map[string]remote.WorkerStatus {
	ctx, cancel := context.WithTimeout(o.ctx, firstStatusTimeout)
	defer cancel()
	type answer struct {
		id     string
		status remote.WorkerStatus
		err    error
	}
	var queried int
	answers := make(chan answer, eventQueueLength)
	_ = o.call(ctx, func() {
		queried = len(o.workers)
		for id, w := range o.workers {
			client := w.client
			o.goRun(func() {
				status, err := client.Status(ctx, o.token)
				if running := runningTasks(status); err == nil && len(running) > 0 {
					_, err = client.Renew(ctx, remote.RenewRequest{Token: o.token, Tasks: running, LeaseMillis: WorkerLease.Milliseconds()})
				}
				select {
				case answers <- answer{id, status, err}:
				case <-ctx.Done():
				}
			})
		}
	})
	reports := map[string]remote.WorkerStatus{}
	for range queried {
		select {
		case a := <-answers:
			if a.err == nil {
				reports[a.id] = a.status
			}
			o.checkStaleToken(a.id, a.err)
		case <-ctx.Done():
			return reports
		}
	}
	return reports
}

func runningTasks(status remote.WorkerStatus) []remote.TaskID {
	var ids []remote.TaskID
	for _, t := range status.Tasks {
		if t.State == remote.TaskRunning || t.State == remote.TaskCheckpointed {
			ids = append(ids, t.Task)
		}
	}
	return ids
}

// loadAll loads the records, applies the workers' status reports and enables decisions.
func (o *DataCentreOwner) loadAll(entries []remote.KV, reports map[string]remote.WorkerStatus) {
	now := time.Now()
	for _, kv := range entries {
		o.load(kv, reports, now)
	}
	o.ready, o.changed = true, true
	for _, id := range sortedKeys(reports) {
		if w := o.workers[id]; w != nil {
			o.applyStatusReply(w, reports[id], now, nil)
		}
	}
}

// loadNew loads records that are not in memory yet.
func (o *DataCentreOwner) loadNew(entries []remote.KV) {
	if o.stopping || o.fenced.Load() {
		return
	}
	for _, kv := range entries {
		o.load(kv, nil, time.Now())
	}
}

// load loads one record, unless the job is already in memory or belongs to another data centre.
func (o *DataCentreOwner) load(kv remote.KV, reports map[string]remote.WorkerStatus, now time.Time) {
	rec, err := decodeRecord(kv)
	if err != nil {
		o.log.Error("cannot decode job record", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	id := rec.Job.ID
	if rec.DataCentre != o.dc || recordKey(id) != kv.Key {
		return
	}
	if known := o.jobs[id]; known != nil && (known.live() || known.status == jobEnded || kv.Revision <= known.rev) {
		return
	}
	if rec.Phase == structs.PhaseEnded {
		if !slices.ContainsFunc(o.endedRecords, func(e endedRecord) bool { return e.id == id }) {
			o.endedRecords = append(o.endedRecords, endedRecord{id: id, rev: kv.Revision, ended: rec.Ended})
		}
		return
	}
	j := newJob(rec, kv.Revision)
	o.jobs[id] = j
	o.records.track(id, kv.Revision)
	if rec.Phase == structs.PhaseAccepted {
		o.loadQueued(j, reports, now)
		return
	}
	o.adopt(j, rec.Placements, reports, now)
}

// loadQueued queues an accepted job. During a store outage an earlier owner may have started an
// idempotent job without a record. If all its tasks run, the attempt is adopted. Otherwise its
// number is not used again, and its tasks are stopped as orphans.
func (o *DataCentreOwner) loadQueued(j *job, reports map[string]remote.WorkerStatus, now time.Time) {
	var placements []structs.Placement
	attempt := j.rec.Attempt
	for _, id := range sortedKeys(reports) {
		for _, t := range reports[id].Tasks {
			if t.Task.Job != j.id() {
				continue
			}
			if t.Task.Attempt > attempt {
				attempt, placements = t.Task.Attempt, nil
			}
			running := t.State == remote.TaskRunning || t.State == remote.TaskCheckpointed
			if t.Task.Attempt == attempt && attempt > j.rec.Attempt && running {
				placements = append(placements, structs.Placement{Task: t.Task.Task, Worker: id})
			}
		}
	}
	j.rec.Attempt = attempt
	if len(placements) == j.rec.Job.Shape.Tasks && !j.rec.Cancel {
		j.rec.Phase = structs.PhaseStarting
		slices.SortFunc(placements, func(a, b structs.Placement) int { return a.Task - b.Task })
		o.adopt(j, placements, reports, now)
		return
	}
	if j.rec.Cancel {
		o.end(j, structs.OutcomeCancelled, "cancelled", now)
		return
	}
	o.enqueue(j, now)
	events.Info(o.log, events.JobAccepted, zap.String("job", j.id()), zap.Int("attempt", attempt), zap.String("reason", "record found"))
}

// adopt takes over an attempt that an earlier owner started or may have started.
func (o *DataCentreOwner) adopt(j *job, placements []structs.Placement, reports map[string]remote.WorkerStatus, now time.Time) {
	j.rec.Placements = placements
	j.parts = make([]part, len(placements))
	until := now.Add(inDoubtTimeout)
	for i, p := range placements {
		j.parts[i] = part{Placement: p, state: partUnknown, earliestExpiry: until, latestExpiry: until}
		if status, ok := reports[p.Worker]; ok {
			j.parts[i].applyStatus(taskStatusOf(status, j.taskID(p.Task)), j)
		} else if w := o.workers[p.Worker]; w != nil {
			w.answered = false // an earlier answer did not cover this job
			o.updateHealth(w)
		}
	}
	j.adopted, j.status, j.startedAt = true, jobRunning, now
	started := j.rec.Started
	if started.IsZero() {
		started = now
	}
	o.apply(state.JobAdopted{Job: j.rec.Job, Attempt: j.rec.Attempt, Placements: placements, Guaranteed: j.rec.Guaranteed, StartedAt: started})
	events.Info(o.log, events.JobInDoubt, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.String("phase", string(j.rec.Phase)), zap.Int("running", j.count(partRunning)), zap.Int("unknown", j.count(partUnknown)))
	o.evaluate(j, now)
}

// confirmAdopted completes an adoption: every worker of the attempt has answered, and none of its
// tasks is missing.
func (o *DataCentreOwner) confirmAdopted(j *job, now time.Time) {
	j.adopted = false
	events.Info(o.log, events.JobAdopted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt), zap.Any("placements", j.rec.Placements))
	o.recordDecision(j, "adopted", "every task runs", structs.Action{}, now)
	if j.rec.Phase != structs.PhaseRunning {
		j.rec.Phase = structs.PhaseRunning
		o.records.put(j.rec)
	}
	switch {
	case j.rec.Cancel:
		o.stop(j, stopOrder{reason: "cancelled"}, now)
	case o.state.Stage == structs.StageOut:
		o.evacuate(now)
	}
}

// applyStatusReply processes a worker's reply to a status query that was sent at requestedAt.
func (o *DataCentreOwner) applyStatusReply(w *worker, status remote.WorkerStatus, requestedAt time.Time, err error) {
	o.checkStaleToken(w.info.ID, err)
	if err != nil || o.fenced.Load() {
		return
	}
	w.answered, w.failedRenewals, w.leaving = true, 0, status.Leaving
	affected := map[*job]bool{}
	if s := o.state.Workers[w.info.ID]; s != nil {
		for _, t := range s.Tasks {
			// A status requested before the start does not show the task yet.
			if j := o.jobs[t.Job]; j != nil && j.status == jobRunning && !j.startedAt.After(requestedAt) {
				for i := range j.parts {
					if p := &j.parts[i]; p.Worker == w.info.ID && (p.state == partRunning || p.state == partUnknown) {
						p.applyStatus(taskStatusOf(status, j.taskID(p.Task)), j)
						affected[j] = true
					}
				}
			}
		}
	}
	o.updateHealth(w)
	if o.ready {
		for _, t := range status.Tasks {
			o.checkOrphan(w, t)
		}
	}
	o.evaluateAll(affected)
}

// checkOrphan stops a task that belongs to no current attempt.
func (o *DataCentreOwner) checkOrphan(w *worker, t remote.TaskStatus) {
	j := o.jobs[t.Task.Job]
	if j != nil && j.live() && j.partOf(w.info.ID, t.Task) != nil {
		return
	}
	if j != nil && t.Task.Attempt > j.rec.Attempt {
		o.skipAttempt(j, t.Task.Attempt)
	}
	if t.State != remote.TaskRunning && t.State != remote.TaskCheckpointed && t.State != remote.TaskReserved {
		return
	}
	client := w.client
	o.goRun(func() {
		if j == nil && !o.isOrphan(t.Task) {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if err := client.Stop(ctx, remote.TaskRequest{Token: o.token, Task: t.Task}); err != nil {
			o.checkStaleToken(w.info.ID, err)
		}
		events.Info(o.log, events.OrphanStopped, zap.String("worker", w.info.ID), zap.String("job", t.Task.Job),
			zap.Int("attempt", t.Task.Attempt), zap.Int("task", t.Task.Task))
	})
}

// isOrphan reads the record of a task whose job is not in memory. If the store does not answer,
// the task is not stopped: its lease expires unless an owner renews it.
func (o *DataCentreOwner) isOrphan(id remote.TaskID) bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	kv, err := o.opts.Store.Get(ctx, recordKey(id.Job))
	if errors.Is(err, remote.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	rec, err := decodeRecord(kv)
	if err != nil || rec.DataCentre != o.dc || rec.Phase == structs.PhaseEnded || rec.Attempt != id.Attempt {
		return true
	}
	o.post(func() { o.loadNew([]remote.KV{kv}) })
	return false
}

// skipAttempt prevents a queued job from reusing an attempt number that a worker has reported.
func (o *DataCentreOwner) skipAttempt(j *job, attempt int) {
	switch j.status {
	case jobParked:
		j.rec.Attempt = attempt
	case jobQueued:
		o.park(j, time.Time{}, false)
		j.rec.Attempt = attempt
		o.enqueue(j, time.Now())
	}
}

// recordSuperseded is called when another owner has written a job's record.
func (o *DataCentreOwner) recordSuperseded(id string, kv remote.KV) {
	j := o.jobs[id]
	if j == nil || j.status == jobGone {
		return
	}
	rec, err := decodeRecord(kv)
	switch {
	case err == nil && rec.DataCentre == o.dc && rec.Token < o.token && rec.Phase != structs.PhaseEnded:
		o.applyEarlierOwnerWrite(j, rec, kv)
	default:
		o.abandonJob(j, kv.Revision)
	}
}

// applyEarlierOwnerWrite handles a late write by an earlier owner. That owner may have started a
// job that is queued here, so the record is loaded again, once a start in flight is cancelled. An
// attempt that runs here continues, and its record is written again.
func (o *DataCentreOwner) applyEarlierOwnerWrite(j *job, rec structs.JobRecord, kv remote.KV) {
	if j.status != jobStarting {
		o.records.track(j.id(), kv.Revision)
	}
	switch j.status {
	case jobStarting:
		j.supersedingRecord = &kv
		j.cancelStart()
	case jobQueued, jobParked:
		o.reload(j, kv)
	default:
		if rec.Attempt > j.rec.Attempt && !j.rec.Job.Idempotent {
			o.log.Error("an earlier owner recorded a later attempt", zap.String("job", j.id()), zap.Int("attempt", rec.Attempt))
		}
		o.records.put(j.rec)
	}
}

// reload replaces a queued job by a newer record of it.
func (o *DataCentreOwner) reload(j *job, kv remote.KV) {
	if s := o.state.Job(j.id()); s != nil {
		o.apply(state.JobEnded{Job: j.id()})
	}
	delete(o.jobs, j.id())
	o.load(kv, nil, time.Now())
	if next := o.jobs[j.id()]; next != nil {
		next.done, next.decisions, next.rec.Cancel = j.done, j.decisions, j.rec.Cancel || next.rec.Cancel
		for _, p := range next.parts {
			if w := o.workers[p.Worker]; w != nil {
				o.goRun(func() { o.queryStatus(o.ctx, w) })
			}
		}
		return
	}
	close(j.done)
}

// abandonJob stops managing a job that another owner has taken over. The capacity of its tasks is
// held until they can no longer run.
func (o *DataCentreOwner) abandonJob(j *job, rev uint64) {
	if j.cancelStart != nil {
		j.cancelStart()
	}
	if s := o.state.Job(j.id()); s != nil && j.live() {
		now := time.Now()
		var held []string
		for _, p := range j.parts {
			held = append(held, p.Worker)
		}
		o.apply(state.JobEnded{Job: j.id(), HoldWorkers: held, HoldUntil: now.Add(inDoubtTimeout)})
	}
	events.Warn(o.log, events.JobTransferred, zap.String("job", j.id()), zap.String("reason", "another owner has written the record"))
	o.markGone(j, rev)
}

// markGone marks a job as belonging to another owner.
func (o *DataCentreOwner) markGone(j *job, rev uint64) {
	o.records.remove(j.id())
	if j.live() || j.lastReported != nil {
		close(j.done)
	}
	j.status, j.rev, j.parts, j.endedAt, j.lastReported = jobGone, rev, nil, time.Now(), nil
}
