package owner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// silentRenewals is how many renewals in a row may fail before a worker gets no new
	// work. One lost answer is no sign of a fault.
	silentRenewals = 2
	// statusRounds is how many renewals pass between two questions for a worker's tasks.
	statusRounds = 10
	// medianQuantile is the quantile of run times at which the end of a task is expected;
	// endMargin is added for the time its end takes to show.
	medianQuantile = 0.5
	endMargin      = 50 * time.Millisecond
	// failureWindow, failureJobs: a worker on which this many different jobs fail within
	// the window is at fault itself.
	failureWindow = time.Minute
	failureJobs   = 3
	// probeDelay is the time until an ejected worker is tried again; it doubles with each
	// ejection up to maxProbeDelay.
	probeDelay    = 30 * time.Second
	maxProbeDelay = 10 * time.Minute
)

// worker is a worker as the owner controls it. Only the applier touches it, but for info
// and client.
type worker struct {
	info     structs.Worker
	client   remote.Worker
	answered bool // has answered under this owner's token, so that earlier owners are fenced
	silent   int
	leaving  bool
	unlisted bool
	started  chan struct{} // a job was started on the worker

	failed    map[string]time.Time // jobs that failed on the worker
	ejected   bool
	ejections int
	probeAt   time.Time
	cancel    context.CancelFunc
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// joinWorker adds a worker. It gets work once it has answered.
func (o *DataCentreOwner) joinWorker(info structs.Worker) {
	w := o.workers[info.ID]
	if w == nil {
		ctx, cancel := context.WithCancel(o.ctx)
		w = &worker{info: info, client: o.o.Dial(info), started: make(chan struct{}, 1), failed: map[string]time.Time{}, cancel: cancel}
		o.workers[info.ID] = w
		o.apply(state.WorkerJoined{Worker: info})
		o.goRun(func() { o.renewLoop(ctx, w) })
	} else if w.info != info {
		if w.info.Address != info.Address {
			w.client = o.o.Dial(info)
		}
		w.info = info
		o.apply(state.WorkerJoined{Worker: info})
	}
	w.unlisted = false
	o.setHealth(w)
}

// setHealth tells the state whether the worker may get new work.
func (o *DataCentreOwner) setHealth(w *worker) {
	s := o.d.Workers[w.info.ID]
	if s == nil {
		return
	}
	unhealthy := !w.answered || w.silent >= silentRenewals || w.ejected || w.unlisted
	leaving := w.leaving || w.info.Leaving
	if s.Unhealthy != unhealthy || s.Leaving != leaving {
		o.apply(state.WorkerHealth{Worker: w.info.ID, Unhealthy: unhealthy, Leaving: leaving})
	}
}

// setWorkers follows the platform's list. A worker that is not listed any more is removed
// once nothing of it is in use.
func (o *DataCentreOwner) setWorkers(list []structs.Worker) {
	listed := map[string]bool{}
	for _, info := range list {
		if info.DataCentre == o.dc {
			listed[info.ID] = true
			o.joinWorker(info)
		}
	}
	for _, id := range sortedKeys(o.workers) {
		w := o.workers[id]
		if listed[id] {
			continue
		}
		w.unlisted = true
		o.setHealth(w)
		if s := o.d.Workers[id]; s != nil && len(s.Tasks) == 0 && len(s.Holds) == 0 {
			o.apply(state.WorkerLost{Worker: id})
			events.Info(o.log, events.WorkerLost, zap.String("worker", id), zap.String("reason", "not listed any more"))
			w.cancel()
			delete(o.workers, id)
		}
	}
}

// renewLoop renews the leases of one worker's tasks, which is its heartbeat too. A worker
// that has not answered yet is asked for its tasks first.
func (o *DataCentreOwner) renewLoop(ctx context.Context, w *worker) {
	for round := uint64(1); ; round++ {
		answered, interval := false, RenewInterval
		if o.ask(ctx, func() {
			answered = w.answered
			if s := o.d.Workers[w.info.ID]; s != nil && len(s.Tasks) == 0 {
				interval = idleInterval
			}
		}) != nil {
			return
		}
		if !answered || round%statusRounds == 0 {
			answered = o.askStatus(ctx, w)
		}
		if answered {
			o.renewOnce(ctx, w)
		}
		wait := interval - interval/10 + jitter(w.info.ID, round, interval/5)
		if !answered {
			wait = time.Second + jitter(w.info.ID, round, time.Second/5)
		}
		if !o.pause(ctx, w, wait) {
			return
		}
	}
}

// pause waits until the next renewal of a worker: until the interval is over, or a task is
// expected to have ended. A start on the worker has the time computed anew.
func (o *DataCentreOwner) pause(ctx context.Context, w *worker, wait time.Duration) bool {
	next := time.Now().Add(wait)
	for {
		left := time.Until(next)
		if o.ask(ctx, func() { left = min(left, o.untilEnd(w, time.Now())) }) != nil {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-w.started:
			timer.Stop()
		}
	}
}

// untilEnd returns the time until a task on the worker is expected to end, so that the
// renewal after it is early: otherwise an end is noticed up to 3.3 s late, and a short job
// waits longer than it runs.
func (o *DataCentreOwner) untilEnd(w *worker, now time.Time) time.Duration {
	wait := 2 * RenewInterval
	s := o.d.Workers[w.info.ID]
	if s == nil {
		return wait
	}
	for _, t := range s.Tasks {
		j := o.d.Job(t.Job)
		if j == nil || j.Status != state.Running {
			continue
		}
		run := o.d.RunTimes.Quantile(j.Service, j.Workspace, j.Declared, medianQuantile) - j.Progress
		if left := j.StartedAt.Add(run + endMargin).Sub(now); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// renewOnce renews every lease on a worker in one call.
func (o *DataCentreOwner) renewOnce(ctx context.Context, w *worker) {
	var ids []remote.TaskID
	var client remote.Worker
	if o.ask(ctx, func() { ids, client = o.renewable(w), w.client }) != nil || o.fenced.Load() {
		return
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Renew(callCtx, remote.RenewRequest{Token: o.token, Tasks: ids, LeaseMillis: WorkerLease.Milliseconds()})
	back := time.Now()
	o.post(func() { o.renewed(w, ids, sent, back, reply, err) })
}

// askStatus asks a worker for all its tasks and reports whether it answered.
func (o *DataCentreOwner) askStatus(ctx context.Context, w *worker) bool {
	var client remote.Worker
	if o.ask(ctx, func() { client = w.client }) != nil || o.fenced.Load() {
		return false
	}
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := client.Status(callCtx, o.token)
	return o.ask(ctx, func() { o.reported(w, status, asked, err) }) == nil && err == nil
}

// renewAll renews all leases once, at the same time.
func (o *DataCentreOwner) renewAll() {
	var list []*worker
	if o.ask(context.Background(), func() { list = slices.Collect(maps.Values(o.workers)) }) != nil {
		return
	}
	done := make(chan struct{}, len(list))
	for _, w := range list {
		go func() {
			o.renewOnce(o.ctx, w)
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
}

// renewable returns the tasks on a worker that should go on. A reservation is not renewed:
// its expiry bounds the time of a start.
func (o *DataCentreOwner) renewable(w *worker) []remote.TaskID {
	s := o.d.Workers[w.info.ID]
	if s == nil {
		return nil
	}
	var ids []remote.TaskID
	for _, t := range s.Tasks {
		j := o.jobs[t.Job]
		if j == nil || !j.live() || j.noRenew {
			continue
		}
		for i := range j.parts {
			p := &j.parts[i]
			if p.Worker == w.info.ID && p.state == partRunning && j.status != jobStarting {
				ids = append(ids, j.taskID(p.Task))
			}
		}
	}
	return ids
}

// renewed applies the answer to a renewal.
func (o *DataCentreOwner) renewed(w *worker, ids []remote.TaskID, sent, back time.Time, reply remote.RenewReply, err error) {
	o.workerRefused(w.info.ID, err)
	ended := map[remote.TaskID]remote.TaskStatus{}
	for _, s := range reply.Ended {
		ended[s.Task] = s
	}
	touched := map[*job]bool{}
	for _, id := range ids {
		j := o.jobs[id.Job]
		if j == nil || !j.live() {
			continue
		}
		p := j.partOf(w.info.ID, id)
		if p == nil {
			continue
		}
		p.leaseMax = later(p.leaseMax, back.Add(WorkerLease)) // even an unanswered call may have renewed it
		s, over := ended[id]
		switch {
		case err != nil:
		case over:
			p.observe(s, j)
			touched[j] = true
		default:
			p.leaseMin = later(p.leaseMin, sent.Add(WorkerLease))
		}
	}
	if err != nil {
		w.silent++
		if w.silent == silentRenewals {
			events.Warn(o.log, events.WorkerLost, zap.String("worker", w.info.ID), zap.String("reason", "does not renew"), zap.Error(err))
		}
		o.setHealth(w)
		return
	}
	if w.silent >= silentRenewals {
		w.answered = false // its tasks may have changed: ask before it gets work
	}
	w.silent = 0
	w.leaving = reply.Leaving
	if !w.answered {
		o.goRun(func() { o.askStatus(o.ctx, w) })
	}
	o.setHealth(w)
	o.judgeAll(touched)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observe takes over what a worker says of the part's task.
func (p *part) observe(s remote.TaskStatus, j *job) {
	switch s.State {
	case remote.TaskRunning, remote.TaskCheckpointed:
		if p.state == partUnknown {
			p.state = partRunning
		}
	case remote.TaskSucceeded:
		p.state, p.answer = partSucceeded, s.Answer
	case remote.TaskFailed:
		p.state, p.answer = partFailed, []byte(s.Message)
	case remote.TaskReserved:
		p.state, p.reserved = partNotStarted, true
	case remote.TaskUnknown:
		// A worker lists ended tasks for ten minutes, so it has never started this one,
		// unless the record shows that it ran.
		if p.state != partUnknown || j.rec.Phase == structs.PhaseRunning {
			p.state = partGone
		} else {
			p.state = partNotStarted
		}
	default:
		p.state = partGone
	}
}

// judgeAll judges the touched jobs in the order of their ids.
func (o *DataCentreOwner) judgeAll(touched map[*job]bool) {
	jobs := slices.Collect(maps.Keys(touched))
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.id(), b.id()) })
	for _, j := range jobs {
		o.judge(j, time.Now())
	}
}
