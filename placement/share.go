package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/fairshare"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// shareStep is the width of the steps in which shares are compared, as a part of the share that is due to the
	// workspace by its weight. It is coarse enough that one gang does not reverse the order of two workspaces with
	// each start and end.
	shareStep = 0.25
	// recentHalfLife is the time after which past use counts half. It is longer than most runs, so that a workspace
	// whose short runs have just ended does not count as idle, and short enough that a workspace starts runs again
	// within the objective of a long job.
	recentHalfLife = 15 * time.Second
	// shareAging is how long a workspace starts nothing before its longest waiting unit of a priority comes before the
	// units of other workspaces, whatever the share. It bounds the wait of a workspace whose few long runs take more
	// than its share.
	shareAging = 30 * time.Second
)

// dominant returns the largest fraction of a resource of total that used takes.
func dominant(used, total workload.Resources) float64 {
	return fairshare.Dominant(fairshare.Amount{Used: used.MilliCPU, Total: total.MilliCPU},
		fairshare.Amount{Used: used.MemoryMB, Total: total.MemoryMB}, fairshare.Amount{Used: used.Accelerators, Total: total.Accelerators})
}

// countCapacity adds up the capacity of all listed workers that have answered. Other entries may come from another writer.
func (r *round) countCapacity() {
	for _, w := range r.c.Workers {
		if w.Listed && w.Confirmed {
			r.capacity = r.capacity.Add(w.Capacity)
		}
	}
}

// queue is the units of one priority of a workspace.
type queue struct {
	workspace string
	priority  int
}

// computeShares sets the shares of the accounts with a weight and the share steps of their units.
func (r *round) computeShares(units []unit) {
	for _, a := range r.accounts {
		if a.active {
			r.totalWeight += a.config.Weight
		}
	}
	if r.totalWeight == 0 {
		return
	}
	r.countCapacity()
	if r.recent == nil {
		r.recent, r.waiting, r.observed = fairshare.NewRecent(recentHalfLife), map[queue]time.Time{}, map[string]bool{}
	}
	r.recordUse()
	r.followQueues(units)
	r.findAged(units)
	for n := range units {
		units[n].share = r.shareOf(&units[n])
	}
}

// recordUse records the use of the workspaces with a weight from now on. Those without jobs use nothing.
func (r *round) recordUse() {
	if r.recent == nil {
		return
	}
	for name := range r.observed {
		if a := r.accounts[name]; a == nil || a.config.Weight == 0 {
			delete(r.observed, name)
			r.recent.Observe(name, 0, r.now)
		}
	}
	for name, a := range r.accounts {
		if a.config.Weight > 0 {
			a.recent = r.recent.Observe(name, dominant(a.used, r.capacity), r.now)
			r.observed[name] = true
		}
	}
	if r.recent.Len() > len(r.accounts)+maxRecentNames {
		r.recent.Retain(func(name string) bool { return r.accounts[name] != nil })
	}
}

// recordUseAfter records the use that the decision leaves. It is also called for decisions without units at a weight: the
// runs of workspaces without waiting units count too. It does nothing before the first unit with a weight.
func (r *round) recordUseAfter(workspace func(string) *workload.Workspace) {
	if r.recent == nil {
		return
	}
	if r.accounts == nil {
		r.openAccountsOfJobs(workspace)
		r.fillAccounts()
	}
	if r.capacity == (workload.Resources{}) {
		r.countCapacity()
	}
	r.recordUse()
}

// maxRecentNames bounds the workspaces without jobs whose recent use is kept.
const maxRecentNames = 1000

// followQueues notes since when the waiting units of each queue have started nothing.
func (r *round) followQueues(units []unit) {
	present := map[queue]bool{}
	for n := range units {
		if u := &units[n]; u.account != nil && u.account.config.Weight > 0 {
			q := u.queue()
			present[q] = true
			if r.waiting[q].IsZero() {
				r.waiting[q] = r.now
			}
		}
	}
	for q := range r.waiting {
		if !present[q] {
			delete(r.waiting, q)
		}
	}
}

func (u *unit) queue() queue { return queue{u.job.Submission.Workspace, u.priority} }

// findAged finds the longest waiting unit of each queue that has started nothing for shareAging, among those that could
// start.
func (r *round) findAged(units []unit) {
	for n := range units {
		u := &units[n]
		if u.account == nil || u.account.config.Weight == 0 || r.now.Sub(r.waiting[u.queue()]) < shareAging {
			continue
		}
		a := u.account
		if known := a.aged[u.priority]; (known == nil || u.before(known)) && r.couldStart(u) {
			if a.aged == nil {
				a.aged = map[int]*jobstate.Step{}
			}
			a.aged[u.priority] = u.step
		}
	}
}

// before reports whether the unit is more urgent than the step, or waits longer at the same priority.
func (u *unit) before(s *jobstate.Step) bool {
	j := s.Occurrence.Job
	return cmp.Or(cmp.Compare(u.priority, s.Occurrence.Priority()), u.step.ReadyAt.Compare(s.ReadyAt),
		cmp.Compare(u.job.Submission.ID, j.Submission.ID), cmp.Compare(u.step.Number, s.Number)) < 0
}

// shareOf returns the unit's share in steps: the present and the recent dominant share of its workspace, as a multiple of
// what its weight is due among the workspaces with jobs. It is 0 for units without a weight and for those within a
// guarantee, which are not ordered by share, and -1 for one that has aged.
func (r *round) shareOf(u *unit) int {
	a := u.account
	switch {
	case a == nil || a.config.Weight == 0 || u.guaranteed:
		return 0
	case a.aged[u.priority] == u.step:
		return -1
	}
	return fairshare.Step(dominant(a.used, r.capacity)+a.recent, a.config.Weight/r.totalWeight, shareStep)
}

// requeue moves the first unit back if the share of its workspace has grown since the units were ordered. It reports
// whether another unit is first now.
func (r *round) requeue(units []unit) bool {
	if units[0].account == nil {
		return false
	}
	share := r.shareOf(&units[0])
	if share <= units[0].share {
		return false
	}
	u := units[0]
	u.share = share
	n, _ := slices.BinarySearchFunc(units[1:], u, compareUnits)
	copy(units, units[1:n+1])
	units[n] = u
	return n > 0
}

// limitToShare returns how many of n waiting tasks may start before the unit's share grows by a step, at least one, if
// it is not a gang. The others are ordered anew among the units of other workspaces.
func (r *round) limitToShare(u *unit, n int) int {
	a := u.account
	if a == nil || a.config.Weight == 0 || u.guaranteed || u.step.Spec.Gang || n <= 1 {
		return n
	}
	task := dominant(u.step.Spec.Allocation(), r.capacity)
	if task == 0 {
		return n
	}
	due := a.config.Weight / r.totalWeight
	next := float64(max(u.share, 0)+1) * shareStep * due
	left := (next - a.recent - dominant(a.used, r.capacity)) / task
	return min(n, max(1, int(left)+1))
}

// recentOf returns the recent dominant share of the workspace as of the last decision.
func (p *Policy) recentOf(name string) float64 {
	if p.recent == nil {
		return 0
	}
	return p.recent.Last(name)
}

// charge adds a started task of the unit to the account of its workspace.
func (r *round) charge(u *unit) {
	if a := u.account; a != nil {
		a.used = a.used.Add(u.step.Spec.Allocation())
		if a.oldest == u.step {
			a.oldest = nil
		}
		if a.aged[u.priority] == u.step && !u.step.Spec.Gang {
			delete(a.aged, u.priority) // its other tasks are ordered by share
		}
		if a.config.Weight > 0 {
			r.waiting[u.queue()] = r.now
		}
	}
}

// scheduleTurn schedules the unit, or so many of its tasks that the share of its workspace grows by a step. It reports
// whether tasks are left that were not considered for this reason.
func (r *round) scheduleTurn(u *unit) bool {
	all := u.waiting
	n := r.limitToShare(u, len(all))
	if n == len(all) {
		r.schedule(u)
		return false
	}
	u.waiting = all[:n:n]
	r.schedule(u)
	if u.capped || len(u.waiting) > 0 {
		return false
	}
	u.waiting = all[n:]
	return true
}
