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
	// failedRenewalLimit is how many consecutive renewals must fail before a worker receives no
	// new tasks. A single lost answer does not indicate a fault.
	failedRenewalLimit = 2
	// renewalsPerStatusQuery is how many renewals pass between two queries of a worker's tasks.
	renewalsPerStatusQuery = 10
	// medianQuantile is the quantile of run times at which a task is expected to end. endMargin
	// is added so that the worker reports the end by then.
	medianQuantile = 0.5
	endMargin      = 50 * time.Millisecond
	// A worker on which ejectionFailures different jobs fail within ejectionWindow is considered
	// faulty.
	ejectionWindow   = time.Minute
	ejectionFailures = 3
	// minProbeBackoff is the time until an ejected worker is probed. It doubles with each ejection,
	// up to maxProbeBackoff.
	minProbeBackoff = 30 * time.Second
	maxProbeBackoff = 10 * time.Minute
)

// worker is the owner's view of one worker. Only the event loop accesses it, except for info
// and client.
type worker struct {
	info           structs.Worker
	client         remote.Worker
	answered       bool // has answered a call with this owner's token, which fences earlier owners
	failedRenewals int
	leaving        bool
	unlisted       bool
	jobStarted     chan struct{} // signals the start of a job on the worker

	failedJobs map[string]time.Time // time of the last failure on the worker, by job
	ejected    bool
	ejections  int
	probeAt    time.Time
	cancel     context.CancelFunc
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// addWorker adds or updates a worker. A new worker receives tasks once it has answered.
func (o *DataCentreOwner) addWorker(info structs.Worker) {
	w := o.workers[info.ID]
	if w == nil {
		ctx, cancel := context.WithCancel(o.ctx)
		w = &worker{info: info, client: o.opts.Dial(info), jobStarted: make(chan struct{}, 1), failedJobs: map[string]time.Time{}, cancel: cancel}
		o.workers[info.ID] = w
		o.apply(state.WorkerJoined{Worker: info})
		o.goRun(func() { o.renewLoop(ctx, w) })
	} else if w.info != info {
		if w.info.Address != info.Address {
			w.client = o.opts.Dial(info)
		}
		w.info = info
		o.apply(state.WorkerJoined{Worker: info})
	}
	w.unlisted = false
	o.updateHealth(w)
}

// updateHealth updates in the state whether the worker may receive new tasks.
func (o *DataCentreOwner) updateHealth(w *worker) {
	s := o.state.Workers[w.info.ID]
	if s == nil {
		return
	}
	unhealthy := !w.answered || w.failedRenewals >= failedRenewalLimit || w.ejected || w.unlisted
	leaving := w.leaving || w.info.Leaving
	if s.Unhealthy != unhealthy || s.Leaving != leaving {
		o.apply(state.WorkerHealth{Worker: w.info.ID, Unhealthy: unhealthy, Leaving: leaving})
	}
}

// applyWorkerList applies the platform's list of workers. A worker that is no longer listed is
// removed once it has neither tasks nor holds.
func (o *DataCentreOwner) applyWorkerList(list []structs.Worker) {
	listed := map[string]bool{}
	for _, info := range list {
		if info.DataCentre == o.dc {
			listed[info.ID] = true
			o.addWorker(info)
		}
	}
	for _, id := range sortedKeys(o.workers) {
		w := o.workers[id]
		if listed[id] {
			continue
		}
		w.unlisted = true
		o.updateHealth(w)
		if s := o.state.Workers[id]; s != nil && len(s.Tasks) == 0 && len(s.Holds) == 0 {
			o.apply(state.WorkerLost{Worker: id})
			events.Info(o.log, events.WorkerLost, zap.String("worker", id), zap.String("reason", "no longer listed by the platform"))
			w.cancel()
			delete(o.workers, id)
		}
	}
}

// renewLoop renews the leases of one worker's tasks; the renewals also serve as heartbeats. The
// tasks of a worker that has not answered yet are queried first.
func (o *DataCentreOwner) renewLoop(ctx context.Context, w *worker) {
	for round := uint64(1); ; round++ {
		answered, interval := false, RenewInterval
		if o.call(ctx, func() {
			answered = w.answered
			if s := o.state.Workers[w.info.ID]; s != nil && len(s.Tasks) == 0 {
				interval = idleRenewInterval
			}
		}) != nil {
			return
		}
		if !answered || round%renewalsPerStatusQuery == 0 {
			answered = o.queryStatus(ctx, w)
		}
		if answered {
			o.renewOnce(ctx, w)
		}
		wait := interval - interval/10 + jitter(w.info.ID, round, interval/5)
		if !answered {
			wait = time.Second + jitter(w.info.ID, round, time.Second/5)
		}
		if !o.waitForRenewal(ctx, w, wait) {
			return
		}
	}
}

// waitForRenewal waits until the next renewal of a worker is due: at the end of the interval, or
// earlier when a task is expected to have ended. A start on the worker recomputes the time. It
// returns false when the context or the owner has ended.
func (o *DataCentreOwner) waitForRenewal(ctx context.Context, w *worker, wait time.Duration) bool {
	next := time.Now().Add(wait)
	for {
		remaining := time.Until(next)
		if o.call(ctx, func() { remaining = min(remaining, o.untilExpectedEnd(w, time.Now())) }) != nil {
			return false
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-w.jobStarted:
			timer.Stop()
		}
	}
}

// untilExpectedEnd returns the time until the next task on the worker is expected to end. A
// renewal at that time detects the end early; at the plain interval the end is detected up to
// 3.3 s late, which is longer than a short job runs.
func (o *DataCentreOwner) untilExpectedEnd(w *worker, now time.Time) time.Duration {
	wait := 2 * RenewInterval
	s := o.state.Workers[w.info.ID]
	if s == nil {
		return wait
	}
	for _, t := range s.Tasks {
		j := o.state.Job(t.Job)
		if j == nil || j.Status != state.Running {
			continue
		}
		run := o.state.RunTimes.Quantile(j.Service, j.Workspace, j.Declared, medianQuantile) - j.Progress
		if remaining := j.StartedAt.Add(run + endMargin).Sub(now); remaining > 0 {
			wait = min(wait, remaining)
		}
	}
	return wait
}

// renewOnce renews all leases on a worker in one call.
func (o *DataCentreOwner) renewOnce(ctx context.Context, w *worker) {
	var ids []remote.TaskID
	var client remote.Worker
	if o.call(ctx, func() { ids, client = o.renewable(w), w.client }) != nil || o.fenced.Load() {
		return
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Renew(callCtx, remote.RenewRequest{Token: o.token, Tasks: ids, LeaseMillis: WorkerLease.Milliseconds()})
	received := time.Now()
	o.post(func() { o.applyRenewReply(w, ids, sent, received, reply, err) })
}

// queryStatus queries the status of all tasks on a worker and reports whether it answered.
func (o *DataCentreOwner) queryStatus(ctx context.Context, w *worker) bool {
	var client remote.Worker
	if o.call(ctx, func() { client = w.client }) != nil || o.fenced.Load() {
		return false
	}
	requestedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := client.Status(callCtx, o.token)
	return o.call(ctx, func() { o.applyStatusReply(w, status, requestedAt, err) }) == nil && err == nil
}

// renewAll renews the leases on all workers once, concurrently.
func (o *DataCentreOwner) renewAll() {
	var list []*worker
	if o.call(context.Background(), func() { list = slices.Collect(maps.Values(o.workers)) }) != nil {
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

// renewable returns the tasks on a worker whose leases are to be renewed. Reservations are not
// renewed, because their expiry bounds the time of a start.
func (o *DataCentreOwner) renewable(w *worker) []remote.TaskID {
	s := o.state.Workers[w.info.ID]
	if s == nil {
		return nil
	}
	var ids []remote.TaskID
	for _, t := range s.Tasks {
		j := o.jobs[t.Job]
		if j == nil || !j.live() || j.renewalStopped {
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

// applyRenewReply processes the reply to a renewal.
func (o *DataCentreOwner) applyRenewReply(w *worker, ids []remote.TaskID, sent, received time.Time, reply remote.RenewReply, err error) {
	o.checkStaleToken(w.info.ID, err)
	ended := map[remote.TaskID]remote.TaskStatus{}
	for _, s := range reply.Ended {
		ended[s.Task] = s
	}
	affected := map[*job]bool{}
	for _, id := range ids {
		j := o.jobs[id.Job]
		if j == nil || !j.live() {
			continue
		}
		p := j.partOf(w.info.ID, id)
		if p == nil {
			continue
		}
		p.latestExpiry = later(p.latestExpiry, received.Add(WorkerLease)) // an unanswered call may have renewed it too
		s, hasEnded := ended[id]
		switch {
		case err != nil:
		case hasEnded:
			p.applyStatus(s, j)
			affected[j] = true
		default:
			p.earliestExpiry = later(p.earliestExpiry, sent.Add(WorkerLease))
		}
	}
	if err != nil {
		w.failedRenewals++
		if w.failedRenewals == failedRenewalLimit {
			events.Warn(o.log, events.WorkerLost, zap.String("worker", w.info.ID), zap.String("reason", "consecutive lease renewals failed"), zap.Error(err))
		}
		o.updateHealth(w)
		return
	}
	if w.failedRenewals >= failedRenewalLimit {
		w.answered = false // its tasks may have changed: query them before it receives new ones
	}
	w.failedRenewals = 0
	w.leaving = reply.Leaving
	if !w.answered {
		o.goRun(func() { o.queryStatus(o.ctx, w) })
	}
	o.updateHealth(w)
	o.evaluateAll(affected)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyStatus updates the part from the task status that its worker reported.
func (p *part) applyStatus(s remote.TaskStatus, j *job) {
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
		// Workers list ended tasks for ten minutes. A task that is not listed was never
		// started, unless the job record shows that it ran.
		if p.state != partUnknown || j.rec.Phase == structs.PhaseRunning {
			p.state = partLost
		} else {
			p.state = partNotStarted
		}
	default:
		p.state = partLost
	}
}

// evaluateAll evaluates the affected jobs in the order of their ids.
func (o *DataCentreOwner) evaluateAll(affected map[*job]bool) {
	jobs := slices.Collect(maps.Keys(affected))
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.id(), b.id()) })
	for _, j := range jobs {
		o.evaluate(j, time.Now())
	}
}
