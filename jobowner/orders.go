package jobowner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// orderBound is the longest wait for the answer to one order.
	orderBound = 600 * time.Millisecond
	// firstOrderBound is how long the first try waits for its answer, which takes a few
	// milliseconds; each further try waits twice as long. An order may be repeated without harm.
	firstOrderBound = 150 * time.Millisecond
	// startTries is how often a start without an answer is sent before the run is given up.
	startTries = 4
	// orderRetryPause is the pause before an order is sent again.
	orderRetryPause = 20 * time.Millisecond
	// maxOrderRetryPause bounds the pause, which doubles.
	maxOrderRetryPause = time.Second
	// lookBound is the longest wait for the report that tells whether a run is there.
	lookBound = 300 * time.Millisecond
	// refusedPause is how long a worker that refused a start gets no other.
	refusedPause = time.Second
	// restartPause is how long a step waits after a start that failed.
	restartPause = 100 * time.Millisecond
)

// boundOf returns how long the nth try of an order, from 1, waits for its answer.
func boundOf(try int) time.Duration {
	return min(firstOrderBound<<min(try-1, 8), orderBound)
}

// errLeaving is why a start without an answer is not sent again.
var errLeaving = errors.New("the worker leaves, or may leave, since the start was sent first")

// orderStart sends a start that is in the store. The caller holds the lock.
func (t *Term) orderStart(ctx context.Context, r *jobstate.Run, now time.Time) {
	w := r.Worker
	a := t.agents[w.ID]
	if a == nil || a.worker != w || !t.cluster.Accepts(w, now) || t.fenced {
		t.cluster.End(r, jobstate.EndVoid, "", now)
		return
	}
	r.Phase = jobstate.Ordered
	r.Sent = true
	a.leaseUntil(now) // from now on the worker may run something
	s := r.Task.Step
	events.Info(t.o.Log, events.RunOrdered, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", w.ID), zap.String("zone", w.Zone), zap.String("rack", w.Rack),
		zap.Duration("waited", now.Sub(s.ReadyAt)), zap.Duration("worker_heard_ago", now.Sub(a.lastHeard)))
	order := workerapi.Start{
		Task: r.Task.Name().String(), Run: r.Number, Payload: s.Occurrence.Job.Submission.Payload,
		Token: t.o.Token, Checkpoint: s.StartFrom(r.Task), Ticket: s.Tickets[w.ID].Value,
	}
	a.nudge()
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		if err := t.o.Guard.Do("start of "+order.Task, func() { t.start(ctx, a, r, order) }); err != nil {
			t.startUncertain(ctx, a, r, err)
		}
	}()
}

// start sends the order until its outcome is known, or gives the run up.
func (t *Term) start(ctx context.Context, a *agent, r *jobstate.Run, order workerapi.Start) {
	uncertain := false
	t.mu.Lock()
	// Tries repeat the same lease: a worker that does not answer is not to get a longer one.
	order.LeaseUntil = a.leaseUntil(time.Now())
	t.mu.Unlock()
	for try := 1; ctx.Err() == nil; try++ {
		t.mu.Lock()
		if r.Phase == jobstate.Stopping || !r.StartedAt.IsZero() || t.agents[a.worker.ID] != a {
			t.mu.Unlock()
			return // a report may have shown it
		}
		t.checkList(time.Now()) // this process may have been paused since the decision
		if t.cluster.Leaving(a.worker) {
			t.mu.Unlock()
			t.giveUp(ctx, a, r, try > 1)
			return
		}
		target := a.target()
		t.mu.Unlock()

		call, cancel := context.WithTimeout(ctx, boundOf(try))
		clock, err := t.o.Workers.Start(call, target, order)
		cancel()
		if err == nil {
			t.startConfirmed(a, r, clock)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, workerapi.ErrFenced) {
			t.over("worker " + a.worker.ID + " has seen a higher token")
			return
		}
		if workerapi.NotExecuted(err) && !uncertain {
			t.startRefused(a, r, err)
			return
		}
		uncertain = true
		if errors.Is(err, workerapi.ErrRunEnded) || try == startTries || workerapi.NotExecuted(err) {
			t.lookFor(ctx, a, r)
			t.startUncertain(ctx, a, r, err)
			return
		}
		wait.For(ctx, orderRetryPause)
	}
}

// giveUp gives up a start to a worker that leaves. sent is whether it may have reached the worker.
func (t *Term) giveUp(ctx context.Context, a *agent, r *jobstate.Run, sent bool) {
	if sent {
		t.lookFor(ctx, a, r)
		t.startUncertain(ctx, a, r, errLeaving)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, there := a.worker.Runs[r]; there && r.Phase == jobstate.Ordered {
		t.cluster.End(r, jobstate.EndVoid, "", time.Now())
		t.kick()
	}
}

// lookFor asks the worker whether the run is there, so that one that works is not stopped because
// the answer to its start was lost. For a long-running task it asks until the worker answers or
// the run is known to have ended.
func (t *Term) lookFor(ctx context.Context, a *agent, r *jobstate.Run) {
	for ctx.Err() == nil {
		t.mu.Lock()
		_, there := a.worker.Runs[r]
		settled := !there || !r.StartedAt.IsZero() || r.Phase == jobstate.Stopping
		order := workerapi.Renew{Token: t.o.Token, AckSequence: a.stored}
		target := a.target()
		t.mu.Unlock()
		if settled {
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, lookBound)
		report, err := t.o.Workers.Renew(call, target, order)
		cancel()
		if err == nil {
			t.takeReport(a, report, sent)
			return
		}
		if !r.Task.Step.Spec.LongRunning {
			return
		}
		wait.For(ctx, holdRetryPause)
	}
}

func (t *Term) takeReport(a *agent, report workerapi.Report, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] == a {
		a.apply(report, sent)
	}
}

func (t *Term) startConfirmed(a *agent, r *jobstate.Run, clock int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	a.heard(clock, now)
	if r.Worker == a.worker && r.StartedAt.IsZero() {
		if _, there := a.worker.Runs[r]; there {
			t.confirm(r, now)
			t.kick()
		}
	}
}

// startRefused ends a run that was surely never started.
func (t *Term) startRefused(a *agent, r *jobstate.Run, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, there := a.worker.Runs[r]; !there {
		return
	}
	now := time.Now()
	events.Warn(t.o.Log, events.StartRefused, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", a.worker.ID), zap.Error(err))
	a.worker.Suspect = later(a.worker.Suspect, now.Add(refusedPause))
	r.Task.Step.NotBefore = now.Add(restartPause)
	if errors.Is(err, workerapi.ErrWorkerRestarted) {
		t.dropWorker(a.worker, "another life answers at its address", now)
		t.kick()
		return
	}
	if errors.Is(err, workerapi.ErrInvalidTicket) {
		delete(r.Task.Step.Tickets, a.worker.ID)
	}
	t.cluster.End(r, jobstate.EndVoid, "", now)
	t.kick()
}

// startUncertain stops a run that may have been started, or may be started later.
func (t *Term) startUncertain(ctx context.Context, a *agent, r *jobstate.Run, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, there := a.worker.Runs[r]; !there || r.Phase == jobstate.Stopping || !r.StartedAt.IsZero() {
		return
	}
	now := time.Now()
	events.Warn(t.o.Log, events.StartUncertain, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", a.worker.ID), zap.Error(err))
	a.worker.Suspect = later(a.worker.Suspect, now.Add(suspectAfterSilence))
	r.Stop("start without an answer", now)
	t.orderStop(ctx, r)
	t.kick()
}

// orderStop sends a stop until the worker answers or its lease has run out. The caller
// holds the lock and has set the phase of the run to Stopping.
func (t *Term) orderStop(ctx context.Context, r *jobstate.Run) {
	w := r.Worker
	a := t.agents[w.ID]
	if a == nil || a.worker != w {
		return
	}
	r.StopSent = true
	t.stopped.Inc(1)
	order := workerapi.Stop{Task: r.Task.Name().String(), Run: r.Number, Token: t.o.Token}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		t.o.Guard.Loop(ctx, "stop of "+order.Task, func(ctx context.Context) { t.stop(ctx, a, r, order) })
	}()
}

func (t *Term) stop(ctx context.Context, a *agent, r *jobstate.Run, order workerapi.Stop) {
	pause := orderRetryPause
	for try := 1; ctx.Err() == nil; try++ {
		t.mu.Lock()
		_, there := a.worker.Runs[r]
		target := a.target()
		t.mu.Unlock()
		if !there {
			return
		}
		call, cancel := context.WithTimeout(ctx, boundOf(try))
		_, err := t.o.Workers.Stop(call, target, order)
		cancel()
		if err == nil {
			t.mu.Lock()
			r.Rejected = time.Now()
			a.nudge()
			t.mu.Unlock()
			return
		}
		if errors.Is(err, workerapi.ErrFenced) {
			t.over("worker " + a.worker.ID + " has seen a higher token")
			return
		}
		wait.For(ctx, pause)
		pause = min(2*pause, maxOrderRetryPause)
	}
}
