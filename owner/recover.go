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

// pageSize is how many records are listed in one call. Records are small; a page that is
// too large for one answer is asked for again with half the size.
const pageSize = 64

// firstRound is how long recovery waits for the first answers of all workers before it
// decides about queued jobs. Workers that answer later are asked again and again.
const firstRound = 2 * time.Second

// recover takes over the data centre, then follows the lists of records and workers.
func (o *DataCentreOwner) recover() {
	for {
		list, err := o.listWorkers()
		if err == nil && o.ask(o.ctx, func() { o.setWorkers(list) }) == nil {
			break
		}
		if !wait.For(o.ctx, time.Second) {
			return
		}
	}
	// The workers come first: earlier owners are fenced when the records are read, and
	// running tasks keep their leases while the store does not answer.
	reports := o.askAll()
	entries, err := o.listRecords(o.ctx)
	for err != nil {
		if !wait.For(o.ctx, time.Second) {
			return
		}
		reports = o.askAll()
		entries, err = o.listRecords(o.ctx)
	}
	if o.ask(o.ctx, func() { o.loadAll(entries, reports) }) != nil {
		return
	}
	o.renewAll()
	o.follow()
}

// follow lists workers and records again and again. The records show jobs that another
// data centre has transferred to this one.
func (o *DataCentreOwner) follow() {
	lastRecords := time.Now()
	for round := uint64(0); wait.For(o.ctx, workerListInterval+jitter(o.dc, round, time.Second)); round++ {
		if list, err := o.listWorkers(); err == nil {
			o.post(func() { o.setWorkers(list) })
		}
		if time.Since(lastRecords) < listInterval {
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
	return o.o.List.Workers(ctx)
}

// listRecords pages through all job records.
func (o *DataCentreOwner) listRecords(ctx context.Context) ([]remote.KV, error) {
	var entries []remote.KV
	after, size := "", pageSize
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := o.o.Store.List(callCtx, recordKey(""), after, size)
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

// askAll asks every worker for its tasks, which fences earlier owners, and renews them.
// Tasks that turn out to be orphans are stopped later.
func (o *DataCentreOwner) askAll() map[string]remote.WorkerStatus {
	ctx, cancel := context.WithTimeout(o.ctx, firstRound)
	defer cancel()
	type answer struct {
		id     string
		status remote.WorkerStatus
		err    error
	}
	var asked int
	answers := make(chan answer, queueLength)
	_ = o.ask(ctx, func() {
		asked = len(o.workers)
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
	for range asked {
		select {
		case a := <-answers:
			if a.err == nil {
				reports[a.id] = a.status
			}
			o.workerRefused(a.id, a.err)
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

// loadAll takes over the records and the workers' reports, and lets decisions begin.
func (o *DataCentreOwner) loadAll(entries []remote.KV, reports map[string]remote.WorkerStatus) {
	now := time.Now()
	for _, kv := range entries {
		o.load(kv, reports, now)
	}
	o.ready, o.changed = true, true
	for _, id := range sortedKeys(reports) {
		if w := o.workers[id]; w != nil {
			o.reported(w, reports[id], now, nil)
		}
	}
}

// loadNew takes over records that appeared since the last listing.
func (o *DataCentreOwner) loadNew(entries []remote.KV) {
	if o.stopping || o.fenced.Load() {
		return
	}
	for _, kv := range entries {
		o.load(kv, nil, time.Now())
	}
}

// load takes over one record, unless the job is known or belongs elsewhere.
func (o *DataCentreOwner) load(kv remote.KV, reports map[string]remote.WorkerStatus, now time.Time) {
	rec, err := decodeRecord(kv)
	if err != nil {
		o.log.Error("job record cannot be read", zap.String("key", kv.Key), zap.Error(err))
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
		if !slices.ContainsFunc(o.expired, func(e endedRecord) bool { return e.id == id }) {
			o.expired = append(o.expired, endedRecord{id: id, rev: kv.Revision, ended: rec.Ended})
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

// loadQueued queues an accepted job. A former owner may have started an idempotent job
// during an outage of the store without a record: a whole gang is adopted; of any other
// the attempt number is not used again, and its tasks are stopped as orphans.
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
	o.unpark(j, now)
	events.Info(o.log, events.JobAccepted, zap.String("job", j.id()), zap.Int("attempt", attempt), zap.String("reason", "record found"))
}

// adopt takes over an attempt that was started, or may have been.
func (o *DataCentreOwner) adopt(j *job, placements []structs.Placement, reports map[string]remote.WorkerStatus, now time.Time) {
	j.rec.Placements = placements
	j.parts = make([]part, len(placements))
	until := now.Add(doubtTime)
	for i, p := range placements {
		j.parts[i] = part{Placement: p, state: partUnknown, leaseMin: until, leaseMax: until}
		if status, ok := reports[p.Worker]; ok {
			j.parts[i].observe(taskIn(status, j.taskID(p.Task)), j)
		} else if w := o.workers[p.Worker]; w != nil {
			w.answered = false // an answer that was given before did not cover this job
			o.setHealth(w)
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
	o.judge(j, now)
}

// confirmAdopted is called when every worker of an adopted attempt has answered and none
// of its tasks is missing.
func (o *DataCentreOwner) confirmAdopted(j *job, now time.Time) {
	j.adopted = false
	events.Info(o.log, events.JobAdopted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt), zap.Any("placements", j.rec.Placements))
	o.note(j, "adopted", "every task runs", structs.Action{}, now)
	if j.rec.Phase != structs.PhaseRunning {
		j.rec.Phase = structs.PhaseRunning
		o.records.put(j.rec)
	}
	switch {
	case j.rec.Cancel:
		o.stop(j, stopOrder{reason: "cancelled"}, now)
	case o.d.Stage == structs.StageOut:
		o.evacuate(now)
	}
}

// reported takes a worker's answer about all its tasks.
func (o *DataCentreOwner) reported(w *worker, status remote.WorkerStatus, asked time.Time, err error) {
	o.workerRefused(w.info.ID, err)
	if err != nil || o.fenced.Load() {
		return
	}
	w.answered, w.silent, w.leaving = true, 0, status.Leaving
	touched := map[*job]bool{}
	if s := o.d.Workers[w.info.ID]; s != nil {
		for _, t := range s.Tasks {
			// An answer from before the start does not show the task yet.
			if j := o.jobs[t.Job]; j != nil && j.status == jobRunning && !j.startedAt.After(asked) {
				for i := range j.parts {
					if p := &j.parts[i]; p.Worker == w.info.ID && (p.state == partRunning || p.state == partUnknown) {
						p.observe(taskIn(status, j.taskID(p.Task)), j)
						touched[j] = true
					}
				}
			}
		}
	}
	o.setHealth(w)
	if o.ready {
		for _, t := range status.Tasks {
			o.checkOrphan(w, t)
		}
	}
	o.judgeAll(touched)
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
			o.workerRefused(w.info.ID, err)
		}
		events.Info(o.log, events.OrphanStopped, zap.String("worker", w.info.ID), zap.String("job", t.Task.Job),
			zap.Int("attempt", t.Task.Attempt), zap.Int("task", t.Task.Task))
	})
}

// isOrphan looks for the record of a task whose job is not known. Without an answer of
// the store the task is left alone; its lease runs out unless someone renews it.
func (o *DataCentreOwner) isOrphan(id remote.TaskID) bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	kv, err := o.o.Store.Get(ctx, recordKey(id.Job))
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

// skipAttempt keeps a queued job from using an attempt number that a worker knows already.
func (o *DataCentreOwner) skipAttempt(j *job, attempt int) {
	switch j.status {
	case jobParked:
		j.rec.Attempt = attempt
	case jobQueued:
		o.park(j, time.Time{}, false)
		j.rec.Attempt = attempt
		o.unpark(j, time.Now())
	}
}

// recordTaken is called when the store holds a record of another owner.
func (o *DataCentreOwner) recordTaken(id string, kv remote.KV) {
	j := o.jobs[id]
	if j == nil || j.status == jobGone {
		return
	}
	rec, err := decodeRecord(kv)
	switch {
	case err == nil && rec.DataCentre == o.dc && rec.Token < o.token && rec.Phase != structs.PhaseEnded:
		o.overtaken(j, rec, kv)
	default:
		o.lose(j, kv.Revision)
	}
}

// overtaken handles a late write of an earlier owner. A queued job may have been started
// by it, so that the record is taken over anew; a running attempt of this owner goes on.
func (o *DataCentreOwner) overtaken(j *job, rec structs.JobRecord, kv remote.KV) {
	if j.status != jobStarting {
		o.records.track(j.id(), kv.Revision)
	}
	switch j.status {
	case jobStarting:
		j.overtakenBy = &kv
		j.cancelStart()
	case jobQueued, jobParked:
		o.reload(j, kv)
	default:
		if rec.Attempt > j.rec.Attempt && !j.rec.Job.Idempotent {
			o.log.Error("earlier owner has recorded a later attempt", zap.String("job", j.id()), zap.Int("attempt", rec.Attempt))
		}
		o.records.put(j.rec)
	}
}

// reload takes a queued job's record over again.
func (o *DataCentreOwner) reload(j *job, kv remote.KV) {
	if s := o.d.Job(j.id()); s != nil {
		o.apply(state.JobEnded{Job: j.id()})
	}
	delete(o.jobs, j.id())
	o.load(kv, nil, time.Now())
	if next := o.jobs[j.id()]; next != nil {
		next.done, next.decisions, next.rec.Cancel = j.done, j.decisions, j.rec.Cancel || next.rec.Cancel
		for _, p := range next.parts {
			if w := o.workers[p.Worker]; w != nil {
				o.goRun(func() { o.askStatus(o.ctx, w) })
			}
		}
		return
	}
	close(j.done)
}

// lose gives a job up to another owner.
func (o *DataCentreOwner) lose(j *job, rev uint64) {
	if j.cancelStart != nil {
		j.cancelStart()
	}
	if s := o.d.Job(j.id()); s != nil && j.live() {
		now := time.Now()
		var held []string
		for _, p := range j.parts {
			held = append(held, p.Worker)
		}
		o.apply(state.JobEnded{Job: j.id(), HoldWorkers: held, HoldUntil: now.Add(doubtTime)})
	}
	events.Warn(o.log, events.JobTransferred, zap.String("job", j.id()), zap.String("reason", "another owner has written the record"))
	o.leave(j, rev)
}

// leave marks a job as another owner's.
func (o *DataCentreOwner) leave(j *job, rev uint64) {
	o.records.forget(j.id())
	if j.live() || j.before != nil {
		close(j.done)
	}
	j.status, j.rev, j.parts, j.endedAt, j.before = jobGone, rev, nil, time.Now(), nil
}
