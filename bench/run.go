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
	startLatency    = 50 * time.Millisecond // to reserve and start on all workers
	transferLatency = 100 * time.Millisecond
	stopLatency     = 200 * time.Millisecond
	failureDelay    = time.Second // from the start of a task to its failure on a bad worker
	ejectAfter      = 3           // consecutive failures
	ejectFor        = 30 * time.Minute
	cooldown        = 30 * time.Second // of preempted jobs, as in package owner
	sampleInterval  = time.Minute
	maxTail         = 48 * time.Hour // longest time from the end of the arrivals to the end of the simulation
)

// event is a call at a virtual time. Events at the same time are called in the order of their creation.
type event struct {
	at   time.Time
	seq  int
	call func()
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

// centre is a data centre in a simulation.
type centre struct {
	*state.DataCentre
	needsDecision  bool
	nextDecisionAt time.Time
	lastOffload    time.Time
}

// simulation runs one policy on one workload.
type simulation struct {
	*workload
	policy     candidate
	now        time.Time
	events     events
	seq        int
	centres    []*centre
	jobs       map[string]*job
	failures   map[string]int
	rng        *rand.Rand
	unfinished int // jobs that can run and have not ended
	stats      *collector
}

func newSimulation(w *workload, p candidate, seed uint64) *simulation {
	r := &simulation{workload: w, policy: p, now: epoch, jobs: map[string]*job{}, failures: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 1))}
	r.stats = newCollector(r)
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
			r.unfinished++
		}
		r.at(j.Submitted, func() { r.stats.demand += j.demand(); r.submit(r.route(j), j, 0, 0) })
		if !j.cancelAt.IsZero() {
			r.at(j.cancelAt, func() { r.cancel(j) })
		}
	}
	withdrawAt, returnAt := epoch.Add(w.withdrawAt), epoch.Add(w.returnAt)
	r.at(withdrawAt, func() { r.configure(structs.StageDraining, withdrawAt.Add(drainDuration)) })
	r.at(withdrawAt.Add(drainDuration), r.finishDraining)
	r.at(returnAt, func() { r.configure(structs.StageReturning, time.Time{}) })
	r.at(returnAt.Add(returningDuration), func() { r.configure(structs.StageOpen, time.Time{}) })
	for t := sampleInterval; t < w.arrivalSpan; t += sampleInterval {
		r.at(epoch.Add(t), r.stats.sample)
	}
	return r
}

func (r *simulation) at(t time.Time, call func()) {
	r.seq++
	heap.Push(&r.events, event{t, r.seq, call})
}

func (r *simulation) after(d time.Duration, call func()) { r.at(r.now.Add(d), call) }

// apply applies an event to a data centre's state and reports whether it was accepted. An event is refused
// if the state has changed since it was scheduled, so that it no longer applies.
func (r *simulation) apply(c *centre, e state.Event) bool {
	c.needsDecision = true
	return c.Apply(e) == nil
}

// runAll runs until every job that can run has ended, but no longer than maxTail after the arrivals.
func (r *simulation) runAll(ctx context.Context) error {
	err := r.runUntil(ctx, epoch.Add(r.arrivalSpan+maxTail))
	r.stats.finish()
	return err
}

func (r *simulation) runUntil(ctx context.Context, end time.Time) error {
	for r.unfinished > 0 && len(r.events) > 0 && r.events[0].at.Before(end) {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.stats.advance(r.events[0].at)
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at.Equal(r.now) {
			heap.Pop(&r.events).(event).call()
		}
		for _, c := range r.centres {
			if c.needsDecision {
				r.decide(c)
			}
		}
	}
	return nil
}

// configure sets the stage of the data centre that is withdrawn, which is the last one.
func (r *simulation) configure(stage structs.Stage, drainBy time.Time) {
	r.manifest.DataCentres[len(r.centres)-1].Stage = stage
	guarantees := apportion(&r.manifest)
	for i, c := range r.centres {
		e := state.Configured{Revision: c.Revision + 1, Stage: r.manifest.DataCentres[i].Stage, Fleet: r.manifest.DataCentres[i].Fleet, Guarantees: guarantees[c.Name],
			Workspaces: r.manifest.Workspaces, Services: r.manifest.Services, Now: r.now}
		if i == len(r.centres)-1 {
			e.DrainBy = drainBy
		}
		r.apply(c, e)
	}
}

// finishDraining ends the draining of the data centre and stops the jobs that still run there.
func (r *simulation) finishDraining() {
	r.configure(structs.StageOut, time.Time{})
	c := r.centres[len(r.centres)-1]
	for len(c.Active) > 0 {
		r.onStopped(c, c.Active[0], false)
	}
}

func (r *simulation) route(j *job) *centre {
	name, _ := scheduler.Route(&j.Job, r.summaries())
	return r.centre(name)
}

func (r *simulation) summaries() []scheduler.Summary {
	summaries := make([]scheduler.Summary, len(r.centres))
	for i, c := range r.centres {
		summaries[i] = scheduler.Summarize(c.DataCentre)
	}
	return summaries
}

// centre returns the named data centre, or the first one.
func (r *simulation) centre(name string) *centre {
	for _, c := range r.centres {
		if c.Name == name {
			return c
		}
	}
	return r.centres[0]
}

func (r *simulation) submit(c *centre, j *job, attempt int, progress time.Duration) {
	r.apply(c, state.JobSubmitted{Job: j.Job, Attempt: attempt, Progress: progress, Now: r.now})
}

func (r *simulation) cancel(j *job) {
	for _, c := range r.centres {
		x := c.Job(j.ID)
		if x == nil {
			continue
		}
		queued := x.Status == state.Queued
		r.apply(c, state.JobCancelled{Job: j.ID, Now: r.now})
		if queued {
			r.onEnded(j, false)
			continue
		}
		r.afterInAttempt(c, x, stopLatency, func(x *state.Job) { r.onStopped(c, x, false) })
	}
}

// afterInAttempt runs call after d unless the attempt has ended by then.
func (r *simulation) afterInAttempt(c *centre, x *state.Job, d time.Duration, call func(*state.Job)) {
	id, attempt := x.ID, x.Attempt
	r.after(d, func() {
		if x := c.Job(id); x != nil && x.Attempt == attempt && x.Status != state.Queued {
			call(x)
		}
	})
}

func (r *simulation) decide(c *centre) {
	r.stats.updateClaims(c)
	plan := r.policy.policy.Decide(c.DataCentre, r.now)
	if !r.policy.baseline {
		r.offload(c, &plan)
	}
	var transferred []state.Job
	for i := range plan.Actions {
		if x := c.Job(plan.Actions[i].Job); x != nil && plan.Actions[i].Kind == structs.ActionTransfer {
			transferred = append(transferred, *x)
		}
	}
	r.apply(c, state.PlanAccepted{Plan: plan, Now: r.now})
	c.needsDecision = false
	for i := range plan.Actions {
		r.execute(c, &plan.Actions[i], &transferred)
	}
	if !c.Stage.AllowsStarts() && r.policy.baseline {
		for len(c.Queue) > 0 {
			x := *c.Queue[0]
			r.apply(c, state.JobEnded{Job: x.ID})
			r.transfer(&x, r.route(r.jobs[x.ID]).Name)
		}
	}
	if at := plan.NextDecisionAt; at.After(r.now) && !at.Equal(c.nextDecisionAt) {
		c.nextDecisionAt = at
		r.at(at, func() { c.needsDecision = true })
	}
}

// offload adds transfers of waiting jobs to the plan, as package owner does.
func (r *simulation) offload(c *centre, plan *structs.Plan) {
	if r.now.Sub(c.lastOffload) >= scheduler.OffloadInterval {
		c.lastOffload = r.now
		plan.Actions = append(plan.Actions, scheduler.Offload(c.DataCentre, plan, r.summaries(), r.now)...)
	}
	if next := r.now.Add(scheduler.OffloadInterval); len(c.Queue) > 0 && (plan.NextDecisionAt.IsZero() || plan.NextDecisionAt.After(next)) {
		plan.NextDecisionAt = next
	}
}

// execute carries out an action of an accepted plan. transferred holds the jobs of the plan's transfer
// actions, as they were before the plan was applied.
func (r *simulation) execute(c *centre, a *structs.Action, transferred *[]state.Job) {
	x := c.Job(a.Job)
	switch {
	case a.Kind == structs.ActionStart && x != nil:
		r.afterInAttempt(c, x, startLatency, func(x *state.Job) { r.onStarted(c, x) })
	case a.Kind == structs.ActionPreempt && x != nil && x.Status == state.Preempting:
		r.stats.preemptions++
		wait := stopLatency
		if a.Checkpoint {
			wait = time.Duration((0.3 + 0.7*r.rng.Float64()) * float64(a.Grace))
		}
		checkpoint := a.Checkpoint
		r.afterInAttempt(c, x, wait, func(x *state.Job) { r.onStopped(c, x, checkpoint) })
	case a.Kind == structs.ActionReserve && a.Guaranteed:
		r.stats.markReclaimed(a.Job)
	case a.Kind == structs.ActionTransfer && len(*transferred) > 0:
		to := a.DataCentre
		if to == "" {
			to = r.route(r.jobs[a.Job]).Name
		}
		r.transfer(&(*transferred)[0], to)
		*transferred = (*transferred)[1:]
	case a.Kind == structs.ActionRefuse:
		if j := r.jobs[a.Job]; !j.neverFits {
			r.stats.wronglyRefused++
			r.onEnded(j, false)
		}
	}
}

func (r *simulation) transfer(x *state.Job, to string) {
	j, attempt, progress := r.jobs[x.ID], x.Attempt, x.Progress
	r.after(transferLatency, func() { r.submit(r.centre(to), j, attempt, progress) })
}

func (r *simulation) onStarted(c *centre, x *state.Job) {
	r.apply(c, state.StartConfirmed{Job: x.ID, Attempt: x.Attempt, Now: r.now})
	r.stats.recordStart(c, x)
	for _, p := range x.Placements {
		if r.badWorkers[p.Worker] {
			r.afterInAttempt(c, x, failureDelay, func(x *state.Job) { r.onTaskFailed(c, x, p.Worker) })
			return
		}
	}
	r.afterInAttempt(c, x, r.jobs[x.ID].runTime-x.Progress, func(x *state.Job) {
		r.stats.addUseful(x, x.StartedAt, r.now)
		r.apply(c, state.JobEnded{Job: x.ID, RunTime: r.jobs[x.ID].runTime})
		r.onEnded(r.jobs[x.ID], true)
	})
}

// onTaskFailed stops an attempt that has a task on a bad worker, and ejects the worker for ejectFor
// after ejectAfter failures. After its return, one failure ejects it again.
func (r *simulation) onTaskFailed(c *centre, x *state.Job, worker string) {
	r.stats.addLost(x, x.StartedAt)
	r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Failed: true, Now: r.now})
	if r.failures[worker]++; r.failures[worker] != ejectAfter {
		return
	}
	r.apply(c, state.WorkerHealth{Worker: worker, Unhealthy: true})
	r.after(ejectFor, func() {
		r.failures[worker] = ejectAfter - 1
		r.apply(c, state.WorkerHealth{Worker: worker})
	})
}

// onStopped ends an attempt after a preemption, a cancellation or the end of a draining. checkpoint is set
// if the stop wrote a checkpoint. Without it, a job that is not idempotent is lost, unless it was cancelled
// or still starting.
func (r *simulation) onStopped(c *centre, x *state.Job, checkpoint bool) {
	j := r.jobs[x.ID]
	if checkpoint {
		r.apply(c, state.JobCheckpointed{Job: x.ID, Attempt: x.Attempt, Now: r.now})
	}
	r.stats.addUseful(x, x.StartedAt, x.CheckpointAt)
	switch {
	case x.Cancelled:
		r.stats.addUseful(x, x.CheckpointAt, r.now)
		r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Now: r.now})
		r.onEnded(j, false)
	case !checkpoint && !j.Idempotent && x.Status != state.Starting:
		r.stats.addLost(x, x.CheckpointAt)
		r.stats.lostJobs++
		r.apply(c, state.JobEnded{Job: x.ID})
		r.onEnded(j, false)
	default:
		r.stats.addLost(x, x.CheckpointAt)
		r.apply(c, state.JobStopped{Job: x.ID, Attempt: x.Attempt, Cooldown: cooldown, Now: r.now})
	}
}

func (r *simulation) onEnded(j *job, succeeded bool) {
	r.stats.demand -= j.demand()
	r.stats.recordEnd(j, succeeded)
	if !j.neverFits {
		r.unfinished--
	}
}
