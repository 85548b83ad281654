package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// capAging is how long a gang waits for its workspace's cap before the cap is kept free for it also from units that come
// before it in the order.
const capAging = 15 * time.Second

// account is what a workspace with a weight or a cap has running, in one decision. The runs that the decision plans
// count as soon as they are planned.
type account struct {
	config   *workload.Workspace
	used     workload.Resources
	ending   workload.Resources     // part of used that is being stopped or ends soon; see listRuns
	lasting  workload.Resources     // part of used by long-running tasks, which does not end by itself
	held     workload.Resources     // of what the cap leaves, or will leave, the part that is kept for units scheduled before
	holds    bool                   // a unit that is not urgent holds a part
	oldest   *jobstate.Step         // gang for which the cap is kept free, also from units scheduled before it; nil for none
	searched bool                   // runs to preempt were searched for a unit that is not urgent
	runs     []*jobstate.Run        // see listRuns
	recent   float64                // recent mean of the dominant share
	aged     map[int]*jobstate.Step // by priority; see findAged
	active   bool                   // it has a job that has not ended, or runs
}

// capped reports whether the workspace has a cap. It is false for a nil account.
func (a *account) capped() bool { return a != nil && a.config.Cap != workload.Resources{} }

// openAccounts gives the units of workspaces with a weight or a cap their accounts. Without such units it does
// nothing else, so that a decision without weights and caps costs what it did.
func (r *round) openAccounts(units []unit, workspace func(string) *workload.Workspace) {
	if !slices.ContainsFunc(units, func(u unit) bool {
		w := workspace(u.job.Submission.Workspace)
		return w != nil && w.Limited()
	}) {
		clear(r.waiting)
		return
	}
	r.openAccountsOfJobs(workspace)
	r.fillAccounts()
	for n := range units {
		if a := r.accounts[units[n].job.Submission.Workspace]; a != nil {
			units[n].account = a
		}
	}
	r.computeShares(units)
}

// openAccountsOfJobs opens the accounts of all workspaces with a weight or a cap that have a job.
func (r *round) openAccountsOfJobs(workspace func(string) *workload.Workspace) {
	r.accounts = map[string]*account{}
	unlimited := map[string]bool{}
	for _, j := range r.c.Jobs {
		name := j.Submission.Workspace
		a := r.accounts[name]
		if a == nil {
			w := (*workload.Workspace)(nil)
			if !unlimited[name] {
				w = workspace(name)
			}
			if w == nil || !w.Limited() {
				unlimited[name] = true
				continue
			}
			a = &account{config: w}
			r.accounts[name] = a
		}
		a.active = a.active || !j.State.Ended()
	}
}

// fillAccounts adds up all runs on all workers, whatever their phase and whether or not the workers respond, and the
// tasks that workers report and that are not tracked.
func (r *round) fillAccounts() {
	for _, w := range r.c.Workers {
		for run := range w.Runs {
			a := r.accounts[run.Task.Step.Occurrence.Job.Submission.Workspace]
			if a == nil {
				continue
			}
			allocation := run.Task.Step.Spec.Allocation()
			a.used = a.used.Add(allocation)
			if run.Task.Step.Spec.LongRunning && run.Phase != jobstate.Stopping {
				a.lasting = a.lasting.Add(allocation)
			}
		}
		for task, allocation := range w.Untracked {
			if a := r.accounts[r.c.WorkspaceOf(task)]; a != nil {
				a.used = a.used.Add(allocation)
			}
		}
	}
	for _, a := range r.accounts {
		a.active = a.active || a.used != workload.Resources{}
	}
}

// listRuns lists the runs of all accounts and adds up those that are ending, once in a decision. Only units at a cap need it.
func (r *round) listRuns() {
	if r.runsListed {
		return
	}
	r.runsListed = true
	for _, w := range r.c.Workers {
		for run := range w.Runs {
			a := r.accounts[run.Task.Step.Occurrence.Job.Submission.Workspace]
			if !a.capped() {
				continue
			}
			a.runs = append(a.runs, run)
			if r.isEnding(run) {
				a.ending = a.ending.Add(run.Task.Step.Spec.Allocation())
			}
		}
	}
}

// isEnding reports whether the run is being stopped, without an overdue answer, or ends soon by itself.
func (r *round) isEnding(run *jobstate.Run) bool {
	if run.Phase == jobstate.Stopping {
		return r.now.Sub(run.StopRequestedAt) < r.stopBound()
	}
	return r.willEndSoon(run)
}

// capRoom returns how many tasks of the step the cap leaves room for beside the use and what is held for other units, n
// at most. A use above the cap leaves none.
func capRoom(s *jobstate.Step, limit, used, held workload.Resources, n int) int {
	needs, uses, holds := s.Spec.Allocation().Components(), used.Components(), held.Components()
	for k, most := range limit.Components() {
		switch {
		case most == 0:
		case uses[k] > most:
			return 0
		case needs[k] > 0:
			n = min(n, (most-uses[k]-holds[k])/needs[k])
		}
	}
	return max(0, n)
}

// admitted returns how many of n more tasks of the unit its workspace's cap admits now.
func (r *round) admitted(u *unit, n int) int {
	a := u.account
	return capRoom(u.step, a.config.Cap, a.used, a.heldBefore(u), n)
}

// heldBefore returns the part of the cap that is kept for other units before this one.
func (a *account) heldBefore(u *unit) workload.Resources {
	if a.oldest == nil || a.oldest == u.step || u.priority < a.oldest.Occurrence.Priority() {
		return a.held
	}
	return a.held.Add(allocationFor(a.oldest, len(a.oldest.Tasks)))
}

// limitToCap removes the waiting tasks from the unit for which its workspace's cap has no room. It reports whether any
// are left. If there are none, the unit gives up its reserved resources. For those that are removed, runs of the same
// workspace may be preempted.
func (r *round) limitToCap(u *unit) bool {
	if !u.account.capped() {
		return true
	}
	all := len(u.waiting)
	n := r.admitted(u, all)
	if n == all {
		return true
	}
	if u.step.Spec.Gang {
		n = 0
	}
	r.makeCapRoom(u, n)
	u.waiting, u.capped = u.waiting[:n], true
	limitReserved(u.step, n)
	return n > 0
}

// limitReserved reduces the resources reserved for the step to those of n tasks.
func limitReserved(s *jobstate.Step, n int) {
	for k := range s.Reserved {
		s.Reserved[k].Tasks = min(s.Reserved[k].Tasks, n)
		n -= s.Reserved[k].Tasks
	}
	s.Reserved = slices.DeleteFunc(s.Reserved, func(p jobstate.Reservation) bool { return p.Tasks == 0 })
}

// makeCapRoom stops less urgent runs of the unit's own workspace if they keep it from starting, and holds what the cap
// leaves for the unit. admitted of its waiting tasks may start now.
func (r *round) makeCapRoom(u *unit, admitted int) {
	a := u.account
	n := r.possible(u, a.lasting, len(u.waiting))
	if n <= admitted {
		return // no more fit before the units that were scheduled earlier, or beside long-running tasks
	}
	if !r.couldRun(u) {
		return
	}
	if r.mayPreemptOwn(u) {
		r.listRuns()
		if r.possible(u, a.used.Sub(a.ending), n) < n {
			r.preemptOwn(u, n)
		}
	}
	r.holdCapRoom(u, n-admitted)
}

// possible returns how many of n tasks of the unit could start beside the given use and what is held for other units: of
// a gang, all or none.
func (r *round) possible(u *unit, used workload.Resources, n int) int {
	fits := capRoom(u.step, u.account.config.Cap, used, u.account.heldBefore(u), n)
	if u.step.Spec.Gang && fits < n {
		return 0
	}
	return fits
}

// holdCapRoom keeps what the cap leaves for n tasks of the unit from units of the same workspace that are scheduled later:
// for an urgent unit, and for the first other gang that has waited for reservationDelay. Otherwise small tasks of the
// workspace would take each part of the cap that becomes free, and the gang would starve. The caller has checked couldRun.
func (r *round) holdCapRoom(u *unit, n int) {
	a := u.account
	if !r.mayHoldCap(u) {
		return
	}
	a.holds = a.holds || u.priority > 0
	u.holds = true
	if a.oldest == u.step {
		return // heldBefore includes it
	}
	a.held = a.held.Add(allocationFor(u.step, n))
}

func (r *round) mayHoldCap(u *unit) bool {
	return u.priority == 0 || u.step.Spec.Gang && !u.account.holds && r.now.Sub(u.step.ReadyAt) >= reservationDelay
}

// holdAdmitted keeps the part of the cap of those tasks that the cap admitted and that found no room on the workers.
// Otherwise later units of the workspace take it while runs are being stopped for the unit.
func (r *round) holdAdmitted(u *unit) {
	if !u.account.capped() || !r.mayHoldCap(u) {
		return
	}
	n := 0
	for _, t := range u.waiting {
		if t.Run == nil {
			n++
		}
	}
	if n > 0 && r.couldRun(u) {
		r.holdCapRoom(u, n)
	}
}

// holdForOldest keeps the cap of each workspace free for its gang that has waited longest, and for capAging at least,
// also from units of the same priority that come before it. A gang that is late comes after all that is in time, and
// would starve behind a steady flow of it.
func (r *round) holdForOldest(units []unit) {
	if r.accounts == nil {
		return
	}
	for n := range units {
		u := &units[n]
		if !u.account.capped() || !u.step.Spec.Gang || !waitsForRoom(u.step) || r.now.Sub(u.step.ReadyAt) < capAging {
			continue
		}
		a := u.account
		if (a.oldest == nil || u.before(a.oldest)) && r.couldStart(u) {
			a.oldest = u.step
		}
	}
}

// waitsForRoom reports whether the last decision found no room for the step, in the cap or on the workers, or none that
// advice allows yet.
func waitsForRoom(s *jobstate.Step) bool {
	switch s.WaitReason {
	case jobstate.WaitCap, jobstate.WaitNoRoom, jobstate.WaitReclaim, jobstate.WaitReservations, jobstate.WaitRoomForGang, jobstate.WaitLossLimit,
		jobstate.WaitHeadroom, jobstate.WaitPreferredRack, jobstate.WaitAdvice:
		return true
	}
	return false
}

// couldStart reports whether the waiting tasks of the gang, or one task of another step, fit into the cap beside the
// long-running tasks of the workspace, and on idle workers.
func (r *round) couldStart(u *unit) bool {
	a, need := u.account, u.atOnce()
	return capRoom(u.step, a.config.Cap, a.lasting, workload.Resources{}, need) >= need && r.couldRun(u)
}

// atOnce returns how many tasks must start together: the waiting ones of a gang, or one.
func (u *unit) atOnce() int {
	if u.step.Spec.Gang {
		return u.step.Waiting()
	}
	return 1
}

// couldRun reports whether the waiting tasks of the gang, or one task of another step, fit on the workers that may run
// them when these are idle. Workers about which no advice has been given count.
func (r *round) couldRun(u *unit) bool {
	return r.fitOn(u, u.atOnce(), func(w *jobstate.Worker) workload.Resources { return w.Capacity })
}

// fitOn reports whether n tasks of the unit fit into the given room on the workers that may run them.
func (r *round) fitOn(u *unit, n int, room func(*jobstate.Worker) workload.Resources) bool {
	for _, w := range r.c.Workers {
		if w.Service != u.job.Route.Service || !r.c.Accepts(w, r.now) {
			continue
		}
		excluded := stepExclusion(u.step, w, r.now)
		unadvised := excluded == jobstate.ExcludeTicket && !u.step.Denies(w)
		if excluded != jobstate.NotExcluded && !unadvised {
			continue
		}
		if n -= countIn(u.step, room(w), 0); n <= 0 {
			return true
		}
	}
	return false
}

// lacksAdvice reports whether a unit for which the cap is kept needs advice on further workers, so that it can start as soon
// as the cap admits it.
func (r *round) lacksAdvice(u *unit) bool {
	if u.job.Route.Advice == nil || !u.holds && u.account.oldest != u.step {
		return false
	}
	need := u.atOnce()
	for _, w := range r.eligible(u) {
		need -= countIn(u.step, w.Capacity, 0)
	}
	return need > 0
}

// mayPreemptOwn reports whether the time has come to search for runs of the unit's own workspace to stop: not while earlier
// stops for the unit may still be in progress, and for units that are not urgent only once for an account.
func (r *round) mayPreemptOwn(u *unit) bool {
	s := u.step
	if r.now.Sub(s.CapReclaimedAt) < r.stopBound() || r.now.Sub(s.CapReclaimFailedAt) < reclaimInterval {
		return false
	}
	if u.priority == 0 {
		return true
	}
	if u.account.searched || r.now.Sub(s.ReadyAt) < reservationDelay || r.now.Sub(s.CapReclaimedAt) < batchReclaimInterval {
		return false
	}
	u.account.searched = true
	return true
}

// preemptOwn stops runs of the unit's own workspace with a lower priority, cheapest first and just enough for n tasks of
// the unit, within its loss limit.
func (r *round) preemptOwn(u *unit, n int) {
	s := u.step
	victims, loss := r.ownVictims(u, n)
	if !r.fitOn(u, min(n, u.atOnce()), func(w *jobstate.Worker) workload.Resources { return r.roomBeside(w, u) }) {
		victims = nil
	}
	stops := make([]*jobstate.Run, len(victims))
	for k, v := range victims {
		stops[k] = v.run
	}
	if len(stops) == 0 || loss > r.lossLimit(u) || !r.mayStop(u, []target{{victims: stops}}) {
		s.CapReclaimFailedAt = r.now
		return
	}
	before := len(r.plan.Stops)
	for _, v := range victims {
		r.preempt(v.run, u)
		u.account.ending = u.account.ending.Add(v.frees)
	}
	s.CapReclaimedAt = r.now
	r.plan.Reclaims = append(r.plan.Reclaims, Reclaim{Step: s, Waited: r.now.Sub(s.ReadyAt), Runs: len(r.plan.Stops) - before,
		Discarded: loss, Limit: r.lossLimit(u), ForCap: true})
}

// roomBeside returns the room on the worker without the runs that may be stopped for the unit or are about to end.
func (r *round) roomBeside(w *jobstate.Worker, u *unit) workload.Resources {
	room := w.Free()
	for run := range w.Runs {
		if r.isEnding(run) || run.Task.Step.Occurrence.Priority() > u.priority && !run.Task.Step.Spec.LongRunning {
			room = room.Add(run.Task.Step.Spec.Allocation())
		}
	}
	return room
}

// ownVictim is a run of the unit's workspace, with its gang if it is part of one.
type ownVictim struct {
	victim
	frees workload.Resources
}

// ownVictims returns the cheapest runs that have to end for the unit, and their cost. If they cannot make room for n
// tasks of a step that is not a gang, they make it for as many as possible.
func (r *round) ownVictims(u *unit, n int) ([]ownVictim, float64) {
	a := u.account
	all := r.ownPreemptible(u)
	used := a.used.Sub(a.ending)
	least := used
	for _, v := range all {
		least = least.Sub(v.frees)
	}
	if n = r.possible(u, least, n); n == 0 {
		return nil, 0
	}
	enough := func(used workload.Resources) bool { return r.possible(u, used, n) == n }
	var chosen []ownVictim
	for _, v := range all {
		if enough(used) {
			break
		}
		chosen = append(chosen, v)
		used = used.Sub(v.frees)
	}
	loss := 0.0
	// Later ones may have made some of the earlier ones unnecessary.
	for k := len(chosen) - 1; k >= 0; k-- {
		if without := used.Add(chosen[k].frees); enough(without) {
			used = without
			chosen = slices.Delete(chosen, k, k+1)
			continue
		}
		loss += chosen[k].cost
	}
	return chosen, loss
}

// ownPreemptible returns the runs of the unit's workspace that may be stopped for it, cheapest first, gangs once. Runs on
// workers that do not respond are left out, because their end is not known before the lease ends.
func (r *round) ownPreemptible(u *unit) []ownVictim {
	var list []ownVictim
	gangs := map[*jobstate.Step]bool{}
	for _, run := range u.account.runs {
		step := run.Task.Step
		if step.Occurrence.Priority() <= u.priority || !r.mayPreempt(run) || gangs[step] {
			continue
		}
		members := gangOf(run)
		if slices.ContainsFunc(members, func(m *jobstate.Run) bool { return m.Worker.Unresponsive || !m.Worker.Answered }) {
			continue
		}
		gangs[step] = step.Spec.Gang
		v := ownVictim{victim: victim{run, r.lossOf(run)}}
		for _, m := range members {
			if !r.isEnding(m) {
				v.frees = v.frees.Add(m.Task.Step.Spec.Allocation())
			}
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b ownVictim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), strings.Compare(a.run.Task.Name().String(), b.run.Task.Name().String()))
	})
	return list
}
