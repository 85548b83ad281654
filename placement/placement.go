// Package placement decides which tasks start on which workers and which runs are preempted for them.
// It reads and changes a jobstate.Cluster, performs no I/O and takes the time as an argument, so that
// tests, fuzzing and production run the same code.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/fairshare"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Options holds properties of the workers that the policy relies on.
type Options struct {
	FarFactor   float64       // run time outside the preferred rack, relative to that inside it
	StopTimeout time.Duration // the longest that a worker takes to stop a run
	RunTimes    RunTimes      // learned run times; nil for the declared ones
	Uses        Uses          // of RunTimes
}

// Plan is the result of Decide. The runs to start have already been added to the cluster.
type Plan struct {
	Starts     []*jobstate.Run
	Stops      []*jobstate.Run // their phase is Stopping
	Reclaims   []Reclaim       // steps for which some of Stops make room
	Blocks     []Block
	NeedAdvice []*jobstate.Step // steps that need advice before they can start
}

// Reclaim is a decision to stop runs for a more urgent step.
type Reclaim struct {
	Step      *jobstate.Step
	Waited    time.Duration // since the step was ready
	Runs      int           // runs that are stopped, gangs counted whole
	Discarded float64       // cost of the stops, in core-seconds
	Limit     float64       // up to which cost the step may stop runs
	ForCap    bool          // the runs are of the same workspace, which is at its cap
}

// Block explains why a step did not start.
type Block struct {
	Step   *jobstate.Step
	Reason string
}

// Policy makes decisions and holds the state that is carried from one to the next.
type Policy struct {
	opts Options

	urgentUse   float64 // accelerators used by urgent jobs: peak with exponential decay
	urgentUseAt time.Time

	contended map[string]bool // services on which units lacked room in the last decision

	recent   *fairshare.Recent   // use by workspaces with a weight; nil before the first
	observed map[string]bool     // workspaces whose last recorded use may not be 0
	waiting  map[queue]time.Time // when a queue with waiting units last started a run, or began to wait
}

func New(o Options) *Policy { return &Policy{opts: o} }

// unit is a step with waiting tasks. It has one place in the scheduling order, but its tasks may start at
// different times unless it is a gang.
type unit struct {
	step       *jobstate.Step
	job        *jobstate.Job
	priority   int
	guaranteed bool // within the guarantee of its workspace
	lateness   int  // 0: can meet its objective, 1: late, but still of some use, 2: too late
	deadline   time.Time
	waiting    []*jobstate.Task
	account    *account // of its workspace; nil without a weight and a cap
	share      int      // of its workspace, in steps; 0 without a weight
	capped     bool     // waiting leaves out tasks for which the cap has no room
	holds      bool     // a part of the cap is kept for it
}

// round holds the working state of one call of Decide.
type round struct {
	*Policy
	c             *jobstate.Cluster
	now           time.Time
	workers       map[string][]*jobstate.Worker // workers that accept work, by service
	available     map[string][]*jobstate.Worker // these and the avoided ones, by service
	racks         map[string][]rack             // of all these workers, by service; filled when needed
	reserved      map[*jobstate.Worker]workload.Resources
	firm          map[*jobstate.Worker]workload.Resources // the part of reserved that overdue units do not get either
	stopping      map[*jobstate.Worker]workload.Resources // cache of stoppingOn
	plan          Plan
	preemptibleOn map[*jobstate.Worker][]victim  // cache of the results of preemptible
	expectations  map[*jobstate.Step]expectation // cache of the results of expected

	claimed   map[int]map[*jobstate.Worker]workload.Resources // cache of claimedBy
	protected []protectedShape                                // of gangs that wait for room

	backlog map[unitShape]int // units that lack room, by what decides it

	freeAccelerators int
	reservations     int // non-urgent steps with reserved resources

	accounts    map[string]*account // by workspace; nil if no unit's workspace has a weight or a cap
	capacity    workload.Resources  // of all listed workers; only with weights
	totalWeight float64             // of the accounts
	runsListed  bool                // listRuns was called
}

// Decide plans starts and stops. workspace returns the configuration of a workspace, or nil if it has none.
func (p *Policy) Decide(c *jobstate.Cluster, workspace func(name string) *workload.Workspace, now time.Time) Plan {
	r := &round{Policy: p, c: c, now: now,
		reserved: map[*jobstate.Worker]workload.Resources{}, firm: map[*jobstate.Worker]workload.Resources{}, preemptibleOn: map[*jobstate.Worker][]victim{}}
	r.stopStragglers()
	r.stopOnLeaving()
	defer r.recordUseAfter(workspace)
	units := r.units(workspace)
	if len(units) == 0 {
		p.contended = nil
		return r.plan
	}
	r.workers, r.available = map[string][]*jobstate.Worker{}, map[string][]*jobstate.Worker{}
	r.racks = map[string][]rack{}
	for _, w := range c.SortedWorkers() {
		if !c.Available(w, now) {
			continue
		}
		r.available[w.Service] = append(r.available[w.Service], w)
		if c.Accepts(w, now) {
			r.workers[w.Service] = append(r.workers[w.Service], w)
		}
	}
	r.countAccelerators()
	r.holdForOldest(units)
	for n := 0; n < len(units); {
		if r.requeue(units[n:]) {
			continue
		}
		if u := &units[n]; !r.followsBacklog(u) {
			if r.scheduleTurn(u) {
				continue
			}
			r.noteBacklog(u)
		}
		n++
	}
	p.contended = contendedServices(units)
	return r.plan
}

// units returns the steps with waiting tasks in scheduling order.
func (r *round) units(workspace func(string) *workload.Workspace) []unit {
	within := r.withinGuarantee(workspace)
	var units []unit
	for _, j := range r.c.Jobs {
		if j.State.Ended() {
			continue
		}
		for _, o := range j.Occurrences {
			if o.Done() {
				continue
			}
			for _, s := range o.Steps {
				if u, ok := r.unit(j, s); ok {
					u.guaranteed = u.priority == 0 && within[j.Submission.Workspace]
					units = append(units, u)
				}
			}
		}
	}
	r.openAccounts(units, workspace)
	slices.SortFunc(units, compareUnits)
	return units
}

func (r *round) unit(j *jobstate.Job, s *jobstate.Step) (unit, bool) {
	if s.ReadyAt.IsZero() || s.Done() || s.Waiting() == 0 {
		return unit{}, false
	}
	if r.now.Before(s.NotBefore) {
		s.WaitReason = jobstate.WaitRetryDelay
		return unit{}, false
	}
	if s.Spec.Gang && s.Waiting() < len(s.Tasks) {
		s.WaitReason = jobstate.WaitGangMembers
		return unit{}, false
	}
	u := unit{step: s, job: j, priority: s.Occurrence.Priority()}
	for _, t := range s.Tasks {
		if !t.Done && t.Run == nil {
			u.waiting = append(u.waiting, t)
		}
	}
	r.setRateBasis(s)
	u.deadline, u.lateness = r.objective(s)
	return u, true
}

// objective returns the deadline of the step and its lateness if it started now. Steps that follow it
// in the job are not taken into account.
func (r *round) objective(s *jobstate.Step) (time.Time, int) {
	s.OrderTime = r.runTime(s, r.opts.Uses.Order)
	return s.Occurrence.Objective(s.ReadyAt, s.OrderTime, r.now)
}

func compareUnits(a, b unit) int {
	if d := cmp.Compare(a.priority, b.priority); d != 0 {
		return d
	}
	if a.guaranteed != b.guaranteed {
		if a.guaranteed {
			return -1
		}
		return 1
	}
	if d := cmp.Compare(a.share, b.share); d != 0 {
		return d
	}
	if d := cmp.Compare(a.lateness, b.lateness); d != 0 {
		return d
	}
	if d := a.deadline.Compare(b.deadline); d != 0 {
		return d
	}
	if d := cmp.Compare(a.job.Submission.ID, b.job.Submission.ID); d != 0 {
		return d
	}
	return cmp.Compare(a.step.Number, b.step.Number)
}

// withinGuarantee returns, for each workspace with unfinished jobs of priority 0, whether these jobs need
// no more accelerators than are guaranteed to it.
func (r *round) withinGuarantee(workspace func(string) *workload.Workspace) map[string]bool {
	need := map[string]int{}
	for _, j := range r.c.Jobs {
		if j.Route.Priority == 0 && !j.State.Ended() {
			need[j.Submission.Workspace] += accelerators(j)
		}
	}
	within := map[string]bool{}
	for name, n := range need {
		w := workspace(name)
		within[name] = w != nil && n <= w.GuaranteedAccelerators
	}
	return within
}

// accelerators returns the number of accelerators that all steps of the job need together.
func accelerators(j *jobstate.Job) int {
	n := 0
	for s := range j.Submission.Steps {
		spec := &j.Submission.Steps[s]
		n += spec.Tasks * spec.Demand.Accelerators
	}
	return n
}

// schedule starts as much of the unit as fits and reserves or reclaims resources for the rest.
func (r *round) schedule(u *unit) {
	if !r.limitToCap(u) {
		u.step.WaitReason = jobstate.WaitCap
		if r.lacksAdvice(u) {
			r.plan.NeedAdvice = append(r.plan.NeedAdvice, u.step)
		}
		return
	}
	workers := r.eligible(u)
	reason := jobstate.WaitUndecided
	switch {
	case len(workers) == 0 && u.job.Route.Advice != nil:
		r.startOverdue(u)
	case u.step.Spec.Gang:
		reason = r.scheduleGang(u, workers)
	default:
		reason = r.scheduleTasks(u, workers)
	}
	if len(workers) == 0 {
		reason = r.whyNoWorker(u)
	}
	if reason == jobstate.WaitUndecided && u.capped {
		reason = jobstate.WaitCap
	}
	u.step.WaitReason = reason
	r.holdAdmitted(u)
	if u.job.Route.Advice != nil && r.needsAdvice(u, workers) {
		r.plan.NeedAdvice = append(r.plan.NeedAdvice, u.step)
	}
}

// whyNoWorker returns why a unit waits that no worker may run.
func (r *round) whyNoWorker(u *unit) jobstate.WaitReason {
	switch {
	case r.c.WorkerListStale:
		return jobstate.WaitWorkerListStale
	case len(r.workers[u.job.Route.Service]) == 0:
		return jobstate.WaitNoWorkerAccepts
	case u.job.Route.Advice != nil:
		return jobstate.WaitAdvice
	}
	return jobstate.WaitNoWorkerEligible
}

// needsAdvice reports whether the unit, which has been scheduled, needs advice on further workers: it may use none,
// or fewer than a gang needs, or it is overdue.
func (r *round) needsAdvice(u *unit, workers []*jobstate.Worker) bool {
	need := u.step.Waiting()
	if need == 0 || len(u.waiting) == 0 {
		return false
	}
	if !u.step.Spec.Gang {
		need = 1
	}
	for _, w := range workers {
		need -= countIn(u.step, w.Capacity, 0)
	}
	return need > 0 || len(r.overdueTasks(u)) > 0
}

// scheduleGang returns why the gang waits, if it does.
func (r *round) scheduleGang(u *unit, workers []*jobstate.Worker) jobstate.WaitReason {
	if u.job.StartRoom() < len(u.waiting) {
		return jobstate.WaitRecordRoom
	}
	wait := jobstate.WaitHeadroom
	leavesHeadroom := r.leavesHeadroom(u, len(u.waiting))
	if leavesHeadroom {
		var slots []slot
		if slots, wait = r.fitGang(u, workers); slots != nil {
			r.startOn(u, u.waiting, slots)
			return jobstate.WaitUndecided
		}
	}
	if r.startOverdue(u) {
		return jobstate.WaitUndecided
	}
	r.protect(u, wait)
	if !leavesHeadroom {
		return wait
	}
	if further := r.reserveOrReclaim(u, workers); wait == jobstate.WaitNoRoom {
		return further
	}
	return wait
}

// startOn starts the tasks of the unit on the workers to which they are assigned.
func (r *round) startOn(u *unit, tasks []*jobstate.Task, slots []slot) {
	number := u.step.NextRunNumber(tasks[0]) // of a gang, the same for all
	n := 0
	for _, s := range slots {
		for range s.count {
			if !u.step.Spec.Gang {
				number = u.step.NextRunNumber(tasks[n])
			}
			r.start(u, tasks[n], s.worker, number)
			n++
		}
	}
}

// scheduleTasks returns why tasks of the unit wait, if any do.
func (r *round) scheduleTasks(u *unit, workers []*jobstate.Worker) jobstate.WaitReason {
	placed := 0
	wait := jobstate.WaitUndecided
	for _, t := range u.waiting {
		if u.job.StartRoom() == 0 {
			wait = jobstate.WaitRecordRoom
			break
		}
		if !r.leavesHeadroom(u, 1) {
			wait = jobstate.WaitHeadroom
			break
		}
		var w *jobstate.Worker
		if w, wait = r.bestWorker(u, t, workers); w == nil {
			break
		}
		r.start(u, t, w, u.step.NextRunNumber(t))
		placed++
	}
	if u.waiting = u.waiting[placed:]; len(u.waiting) > 0 && wait != jobstate.WaitRecordRoom && !r.startOverdue(u) && wait != jobstate.WaitRoomForGang {
		if further := r.reserveOrReclaim(u, workers); wait == jobstate.WaitNoRoom {
			wait = further
		}
	}
	return wait
}

func (r *round) start(u *unit, t *jobstate.Task, w *jobstate.Worker, number int) {
	run := r.c.Place(t, w, number, r.now)
	r.addClaim(u, w)
	run.OnAvoided = !r.c.Accepts(w, r.now)
	r.plan.Starts = append(r.plan.Starts, run)
	r.freeAccelerators -= u.step.Spec.Demand.Accelerators
	r.charge(u)
}

// eligible returns the workers that may run the step's tasks, whether or not enough of their resources are
// free.
func (r *round) eligible(u *unit) []*jobstate.Worker {
	var list []*jobstate.Worker
	for _, w := range r.workers[u.job.Route.Service] {
		if stepExclusion(u.step, w, r.now) == jobstate.NotExcluded {
			list = append(list, w)
		}
	}
	return list
}

// stepExclusion returns why a worker that accepts work may not run the step's tasks.
func stepExclusion(s *jobstate.Step, w *jobstate.Worker, now time.Time) jobstate.Exclusion {
	if onProbation(w, now) && (s.Spec.Gang || s.Occurrence.Priority() == 0) {
		return jobstate.ExcludeProbation
	}
	return requirementExclusion(s, w, now)
}

// requirementExclusion returns which requirement of the step's tasks the worker does not meet.
func requirementExclusion(s *jobstate.Step, w *jobstate.Worker, now time.Time) jobstate.Exclusion {
	spec := s.Spec
	switch {
	case !w.HasLabel(spec.Label):
		return jobstate.ExcludeLabel
	case !spec.Allocation().Fits(w.Capacity):
		return jobstate.ExcludeCapacity
	case !s.Admits(w, now):
		return jobstate.ExcludeTicket
	}
	return jobstate.NotExcluded
}

// mayRun reports whether the worker has what the step's tasks require.
func (r *round) mayRun(u *unit, w *jobstate.Worker) bool {
	return requirementExclusion(u.step, w, r.now) == jobstate.NotExcluded
}

// free returns the worker's free resources without what units scheduled earlier in the round have
// reserved.
func (r *round) free(w *jobstate.Worker) workload.Resources {
	free := w.Free()
	if reserved, ok := r.reserved[w]; ok {
		free = free.Sub(reserved)
	}
	return free
}

// slot assigns a number of tasks of one step to a worker.
type slot struct {
	worker *jobstate.Worker
	count  int
}

// countIn returns how many tasks of the step fit into the free resources of a worker that has present
// other runs of the step.
func countIn(s *jobstate.Step, free workload.Resources, present int) int {
	return countUpTo(len(s.Tasks), s, free, present)
}

// countUpTo returns how many tasks like those of the step fit, but n at most.
func countUpTo(n int, s *jobstate.Step, free workload.Resources, present int) int {
	allocation := s.Spec.Allocation()
	limit := func(need, have int) {
		if need > 0 {
			n = min(n, max(0, have)/need)
		}
	}
	limit(allocation.MilliCPU, free.MilliCPU)
	limit(allocation.MemoryMB, free.MemoryMB)
	limit(allocation.Accelerators, free.Accelerators)
	if free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return 0
	}
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker-present)
	}
	return max(0, n)
}

// present returns how many runs of the step are on the worker, which matters only for a step with
// MaxPerWorker: it is 0 for others.
func present(s *jobstate.Step, w *jobstate.Worker) int {
	if s.Spec.MaxPerWorker == 0 {
		return 0
	}
	n := 0
	for run := range w.Runs {
		if run.Task.Step == s {
			n++
		}
	}
	return n
}
