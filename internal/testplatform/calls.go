package testplatform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// do executes a call to a worker with its fault.
func (f *Fleet) do(ctx context.Context, id, call string, order func() error) error {
	if !wait.For(ctx, orderLatency) {
		return ctx.Err()
	}
	locked := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advanceFor(id)
		return order()
	}
	switch f.nextFault(id, call) {
	case Refused:
		return workerapi.ErrUnhealthy
	case Silent, Isolated:
		<-ctx.Done()
		return ctx.Err()
	case AnswerLost:
		if err := locked(); err != nil {
			return err
		}
		return ErrNoAnswer
	case Late:
		time.AfterFunc(lateDelay, func() { _ = locked() }) // the caller has returned, and the worker may have restarted
		<-ctx.Done()
		return ctx.Err()
	}
	return locked()
}

// AliasOf returns another ID to which the worker answers as to its own, as one whose header loses a space on the way.
func AliasOf(id string) string { return id + " " }

// authorize returns the target worker and stores the fencing token, unless the worker has seen a higher
// one. A target without an address is called where it listens. The caller holds the lock.
func (f *Fleet) authorize(t workerapi.Target, token uint64) (*worker, error) {
	w := f.workers[strings.TrimSpace(t.ID)]
	if w == nil || t.Address != "" && t.Address != w.entry.Worker.Address {
		return nil, f.refusal(t.Address)
	}
	if token < w.token {
		return nil, workerapi.ErrStaleToken
	}
	w.token = token
	return w, nil
}

// refusal returns the error of a call that is meant for another worker than the one at the address, if there is one.
func (f *Fleet) refusal(address string) error {
	for _, w := range f.workers {
		if w.entry.Worker.Address == address {
			return workerapi.ErrWorkerRestarted
		}
	}
	return fmt.Errorf("%w: %w", workerapi.ErrNotReached, workerapi.ErrNoListener)
}

// extendLease extends the lease up to a time on the worker's clock, at most by limit.
func (w *worker) extendLease(until int64, limit time.Duration) {
	left := min(time.Duration(until-w.clock())*time.Millisecond, limit)
	if expires := time.Now().Add(left); expires.After(w.lease) {
		w.lease = expires
	}
}

// Start implements workerapi.Client.
func (f *Fleet) Start(ctx context.Context, t workerapi.Target, o workerapi.Start) (int64, error) {
	clock := int64(0)
	err := f.do(ctx, t.ID, "start", func() error {
		w, err := f.authorize(t, o.Token)
		if err != nil {
			return err
		}
		clock = w.clock()
		if o.LeaseUntil <= clock {
			return workerapi.ErrLeaseExpired
		}
		w.extendLease(o.LeaseUntil, f.MaxLease)
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			return nil
		}
		if o.Run <= w.lastClosed[o.Task] {
			return workerapi.ErrRunEnded
		}
		f.start(w, o)
		return nil
	})
	f.mu.Lock() // a late call still writes the result
	defer f.mu.Unlock()
	return clock, err
}

func (f *Fleet) start(w *worker, o workerapi.Start) {
	name, err := workload.ParseTaskName(o.Task)
	if err != nil {
		f.violate("UNASKED", "%v", err)
		return
	}
	f.checkStart(w, name, o)
	duration, outcome := f.Outcome(name, o.Run)
	if f.Failing != nil && f.Failing(w.entry.Worker.ID) {
		outcome = jobstate.EndFailed
	}
	job := f.jobs[name.Job]
	if job == nil {
		return
	}
	f.starts++
	f.startedJobs[name.Job] = true
	f.startedTasks[o.Task] = true
	r := &run{number: o.Run, name: name, started: time.Now(), outcome: outcome, finish: time.Now().Add(duration), restored: o.Checkpoint}
	r.working = !job.Steps[name.Step].Gang
	w.runs[o.Task] = r
	if job.Steps[name.Step].Gang {
		if f.gangs[r.gangName()] == nil {
			f.gangs[r.gangName()] = map[*run]bool{}
		}
		f.gangs[r.gangName()][r] = true
	}
}

// Stop implements workerapi.Client.
func (f *Fleet) Stop(ctx context.Context, t workerapi.Target, o workerapi.Stop) (int64, error) {
	clock := int64(0)
	err := f.do(ctx, t.ID, "stop", func() error {
		w, err := f.authorize(t, o.Token)
		if err != nil {
			return err
		}
		clock = w.clock()
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			f.checkAvailability(w, o.Task)
			f.end(w, o.Task, jobstate.EndStopped)
		}
		w.lastClosed[o.Task] = max(w.lastClosed[o.Task], o.Run)
		return nil
	})
	f.mu.Lock() // a late call still writes the result
	defer f.mu.Unlock()
	return clock, err
}

// pollInterval is how often a waiting Renew checks for ended runs.
const pollInterval = 50 * time.Millisecond

// Renew implements workerapi.Client.
func (f *Fleet) Renew(ctx context.Context, t workerapi.Target, o workerapi.Renew) (workerapi.Report, error) {
	report := workerapi.Report{}
	deadline := time.Now().Add(o.Wait)
	err := f.do(ctx, t.ID, "hold", func() error {
		w, err := f.authorize(t, o.Token)
		if err != nil {
			return err
		}
		if o.LeaseUntil != 0 {
			w.extendLease(o.LeaseUntil, f.MaxLease)
		}
		f.acknowledge(w, o.AckSequence)
		for len(w.ended) == 0 && time.Now().Before(deadline) {
			f.mu.Unlock()
			elapsed := wait.For(ctx, pollInterval)
			f.mu.Lock()
			if !elapsed {
				return ctx.Err()
			}
			if f.workers[t.ID] != w {
				return ErrNoAnswer
			}
			f.advanceFor(t.ID)
		}
		report = workerapi.Report{Clock: w.clock(), Incarnation: w.entry.Incarnation, Ended: slices.Clone(w.ended)}
		if limit := f.MaxReportedEnds; limit > 0 && len(report.Ended) >= limit {
			report.Ended, report.EndsTruncated = report.Ended[:limit], true
		}
		load := 0.0
		if f.Load != nil {
			load = f.Load(f.speedPercents)
		}
		for task, r := range w.runs {
			f.checkFillers(w, task, r, load, time.Now())
			report.Running = append(report.Running, workerapi.RunStatus{Task: task, Run: r.number, Percent: r.percent(), Load: load})
		}
		return nil
	})
	f.mu.Lock() // a late call still writes the result
	defer f.mu.Unlock()
	return report, err
}

// percent returns the completed share of the work of the run.
func (r *run) percent() float64 {
	if !r.working {
		return 0
	}
	return 100 * float64(time.Since(r.started)) / float64(r.finish.Sub(r.started))
}

// acknowledge removes ended runs up to number upTo and records their tasks as done or failed.
func (f *Fleet) acknowledge(w *worker, upTo int64) {
	for len(w.ended) > 0 && w.ended[0].Sequence <= upTo {
		if w.ended[0].Outcome == jobstate.EndDone && w.ended[0].Sequence > w.voidUpTo && !f.longRunning(w.ended[0].Task) {
			f.ackedDone[w.ended[0].Task] = true
		}
		if w.ended[0].Outcome == jobstate.EndFailed {
			f.ackedFailures[w.ended[0].Task]++
		}
		w.ended = w.ended[1:]
	}
}
