package bench

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	startLatency   = 50 * time.Millisecond // reservation and start on all workers
	moveLatency    = 100 * time.Millisecond
	stopLatency    = 200 * time.Millisecond
	failureDelay   = time.Second // until a bad worker fails a task
	ejectAfter     = 3           // failures in a row
	ejectFor       = 30 * time.Minute
	cooldown       = 30 * time.Second // of preempted jobs, as in package owner
	sampleInterval = time.Minute
	tail           = 48 * time.Hour // a run ends at the latest this long after the last arrival
)

// event is a call at a virtual time. Events of the same time keep their order.
type event struct {
	at   time.Time
	seq  int
	fire func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].seq < e[k].seq
}
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// centre is a data centre in a run.
type centre struct {
	*state.DataCentre
	dirty     bool
	wakeAt    time.Time
	offloaded time.Time
}

// run drives one policy through one workload.
type run struct {
	*workload
	policy  candidate
	now     time.Time
	events  events
	seq     int
	centres []*centre
	jobs    map[string]*job
	strikes map[string]int
	rng     *rand.Rand
	open    int // jobs that must still end
	m       *measures
}

func newRun(w *workload, p candidate, seed uint64) *run {
	r := &run{workload: w, policy: p, now: epoch, jobs: map[string]*job{}, strikes: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 1))}
	r.m = newMeasures(r)
	workers := workersOf(&w.manifest)
	for _, dc := range w.manifest.DataCentres {
		c := &centre{DataCentre: state.New(dc.Name)}
		for _, x := range workers {
			if x.DataCentre == dc.Name {
				r.apply(c, state.WorkerJoined{Worker: x})
			}
		}
		r.centres = append(r.centres, c)
	}
	r.configure(structs.StageOpen, time.Time{})
	for _, j := range w.jobs {
		r.jobs[j.ID] = j
		if !j.neverFits {
			r.open++
		}
		r.at(j.Submitted, func() { r.m.present += j.active(); r.submit(r.route(j), j, 0, 0) })
		if !j.cancelAt.IsZero() {
			r.at(j.cancelAt, func() { r.cancel(j) })
		}
	}
	leaves, returns := epoch.Add(w.leaves), epoch.Add(w.returns)
	r.at(leaves, func() { r.configure(structs.StageDraining, leaves.Add(drainTime)) })
	r.at(leaves.Add(drainTime), r.takeOut)
	r.at(returns, func() { r.configure(structs.StageReturning, time.Time{}) })
	r.at(returns.Add(returningTime), func() { r.configure(structs.StageOpen, time.Time{}) })
	for t := sampleInterval; t < w.span; t += sampleInterval {
		r.at(epoch.Add(t), r.m.sample)
	}
	return r
}

func (r *run) at(t time.Time, fire func()) {
	r.seq++
	heap.Push(&r.events, event{t, r.seq, fire})
}

func (r *run) after(d time.Duration, fire func()) { r.at(r.now.Add(d), fire) }

// apply changes a data centre's state. A refused event is one that a later event has
// overtaken.
func (r *run) apply(c *centre, e state.Event) bool {
	c.dirty = true
	return c.Apply(e) == nil
}

// loop runs until every job has ended.
func (r *run) loop(ctx context.Context) error {
	err := r.loopUntil(ctx, epoch.Add(r.span+tail))
	r.m.finish()
	return err
}

func (r *run) loopUntil(ctx context.Context, end time.Time) error {
	for r.open > 0 && len(r.events) > 0 && r.events[0].at.Before(end) {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.m.advance(r.events[0].at)
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at.Equal(r.now) {
			heap.Pop(&r.events).(event).fire()
		}
		for _, c := range r.centres {
			if c.dirty {
				r.decide(c)
			}
		}
	}
	return nil
}

// configure puts a stage of the leaving data centre, the last one, in force.
func (r *run) configure(stage structs.Stage, drainBy time.Time) {
	r.manifest.DataCentres[len(r.centres)-1].Stage = stage
	parts := apportion(&r.manifest)
	for i, c := range r.centres {
		e := state.Configured{Revision: c.Revision + 1, Stage: r.manifest.DataCentres[i].Stage, Fleet: r.manifest.DataCentres[i].Fleet, Guarantees: parts[c.Name],
			Workspaces: r.manifest.Workspaces, Services: r.manifest.Services, Now: r.now}
		if i == len(r.centres)-1 {
			e.DrainBy = drainBy
		}
		r.apply(c, e)
	}
}

// takeOut ends the draining: what still runs in the data centre is stopped.
func (r *run) takeOut() {
	r.configure(structs.StageOut, time.Time{})
	c := r.centres[len(r.centres)-1]
	for len(c.Active) > 0 {
		r.stopped(c, c.Active[0], false)
	}
}

func (r *run) route(j *job) *centre {
	name, _ := scheduler.Route(&j.Job, r.summaries())
	return r.centre(name)
}

func (r *run) summaries() []scheduler.Summary {
	summaries := make([]scheduler.Summary, len(r.centres))
	for i, c := range r.centres {
		summaries[i] = scheduler.Summarize(c.DataCentre)
	}
	return summaries
}

// centre returns the named data centre, or the first one.
func (r *run) centre(name string) *centre {
	for _, c := range r.centres {
		if c.Name == name {
			return c
		}
	}
	return r.centres[0]
}

func (r *run) submit(c *centre, j *job, attempt int, progress time.Duration) {
	r.apply(c, state.JobSubmitted{Job: j.Job, Attempt: attempt, Progress: progress, Now: r.now})
}

func (r *run) cancel(j *job) {
	for _, c := range r.centres {
		x := c.Job(j.ID)
		if x == nil {
			continue
		}
		queued := x.Status == state.Queued
		r.apply(c, state.JobCancelled{Job: j.ID, Now: r.now})
		if queued {
			r.ended(j, false)
			continue
		}
		r.later(c, x, stopLatency, func(x *state.Job) { r.stopped(c, x, false) })
	}
}

// later calls fire after d unless the attempt has ended by then.
func (r *run) later(c *centre, x *state.Job, d time.Duration, fire func(*state.Job)) {
	id, attempt := x.ID, x.Attempt
	r.after(d, func() {
		if x := c.Job(id); x != nil && x.Attempt == attempt && x.Status != state.Queued {
			fire(x)
		}
	})
}

func (r *run) decide(c *centre) {
	r.m.claims(c)
	plan := r.policy.policy.Decide(c.DataCentre, r.now)
	if !r.policy.baseline {
		r.offload(c, &plan)
	}
	var moved []state.Job
	for i := range plan.Actions {
		if x := c.Job(plan.Actions[i].Job); x != nil && plan.Actions[i].Kind == structs.ActionTransfer {
			moved = append(moved, *x)
		}
	}
	r.apply(c, state.PlanAccepted{Plan: plan, Now: r.now})
	c.dirty = false
	for i := range plan.Actions {
		r.carryOut(c, &plan.Actions[i], &moved)
	}
	if !c.Stage.AllowsStarts() && r.policy.baseline {
		for len(c.Queue) > 0 {
			x := *c.Queue[0]
			r.apply(c, state.JobEnded{Job: x.ID})
			r.move(&x, r.route(r.jobs[x.ID]).Name)
		}
	}
	if at := plan.NextDecisionAt; at.After(r.now) && !at.Equal(c.wakeAt) {
		c.wakeAt = at
		r.at(at, func() { c.dirty = true })
	}
}

// offload adds the transfers of waiting jobs to the plan, as package owner does.
func (r *run) offload(c *centre, plan *structs.Plan) {
	if r.now.Sub(c.offloaded) >= scheduler.OffloadInterval {
		c.offloaded = r.now
		plan.Actions = append(plan.Actions, scheduler.Offload(c.DataCentre, plan, r.summaries(), r.now)...)
	}
	if next := r.now.Add(scheduler.OffloadInterval); len(c.Queue) > 0 && (plan.NextDecisionAt.IsZero() || plan.NextDecisionAt.After(next)) {
		plan.NextDecisionAt = next
	}
}

func (r *run) carryOut(c *centre, a *structs.Action, moved *[]state.Job) {
	x := c.Job(a.Job)
	switch {
	case a.Kind == structs.ActionStart && x != nil:
		r.later(c, x, startLatency, func(x *state.Job) { r.started(c, x) })
	case a.Kind == structs.ActionPreempt && x != nil && x.Status == state.Preempting:
		r.m.preemptions++
		wait := stopLatency
		if a.Checkpoint {
			wait = time.Duration((0.3 + 0.7*r.rng.Float64()) * float64(a.Grace))
		}
		checkpoint := a.Checkpoint
		r.later(c, x, wait, func(x *state.Job) { r.stopped(c, x, checkpoint) })
	case a.Kind == structs.ActionReserve && a.Guaranteed:
		r.m.reclaimed(a.Job)
	case a.Kind == structs.ActionTransfer && len(*moved) > 0:
		to := a.DataCentre
		if to == "" {
			to = r.route(r.jobs[a.Job]).Name
		}
		r.move(&(*moved)[0], to)
		*moved = (*moved)[1:]
	case a.Kind == structs.ActionRefuse:
		if j := r.jobs[a.Job]; !j.neverFits {
			r.m.refused++
			r.ended(j, false)
		}
	}
}

func (r *run) move(x *state.Job, to string) {
	j, attempt, progress := r.jobs[x.ID], x.Attempt, x.Progress
	r.after(moveLatency, func() { r.submit(r.centre(to), j, attempt, progress) })
}

func (r *run) started(c *centre, x *state.Job) {
	r.apply(c, state.StartConfirmed{Job: x.ID, Attempt: x.Attempt, Now: r.now})
	r.m.started(c, x)
	for _, p := range x.Placements {
		if r.bad[p.Worker] {
			r.later(c, x, failureDelay, func(x *state.Job) { r.failed(c, x, p.Worker) })
			return
		}
	}
	r.later(c, x, r.jobs[x.ID].run-x.Progress, func(x *state.Job) {
		r.m.kept(x, x.StartedAt, r.now)
		r.apply(c, state.JobEnded{Job: x.ID, RunTime: r.jobs[x.ID].run})
		r.ended(r.jobs[x.ID], true)
	})
}

// failed stops an attempt that has a task on a bad worker, and ejects the worker for a
// time after ejectAfter failures.
func (r *run) failed(c *centre, x *state.Job, worker string) {
	r.m.lost(x, x.StartedAt)
	r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Failed: true, Now: r.now})
	if r.strikes[worker]++; r.strikes[worker] != ejectAfter {
		return
	}
	r.apply(c, state.WorkerHealth{Worker: worker, Unhealthy: true})
	r.after(ejectFor, func() {
		r.strikes[worker] = ejectAfter - 1
		r.apply(c, state.WorkerHealth{Worker: worker})
	})
}

// stopped ends an attempt by a preemption, a cancellation or the end of a draining. A
// job that may not run again is lost.
func (r *run) stopped(c *centre, x *state.Job, checkpoint bool) {
	j := r.jobs[x.ID]
	if checkpoint {
		r.apply(c, state.JobCheckpointed{Job: x.ID, Attempt: x.Attempt, Now: r.now})
	}
	r.m.kept(x, x.StartedAt, x.CheckpointAt)
	switch {
	case x.Cancelled:
		r.m.kept(x, x.CheckpointAt, r.now)
		r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Now: r.now})
		r.ended(j, false)
	case !checkpoint && !j.Idempotent && x.Status != state.Starting:
		r.m.lost(x, x.CheckpointAt)
		r.m.lostJobs++
		r.apply(c, state.JobEnded{Job: x.ID})
		r.ended(j, false)
	default:
		r.m.lost(x, x.CheckpointAt)
		r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Cooldown: cooldown, Now: r.now})
	}
}

func (r *run) ended(j *job, done bool) {
	r.m.present -= j.active()
	r.m.ended(j, done)
	if !j.neverFits {
		r.open--
	}
}
