package scheduler

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// guaranteeUsage is one guarantee of a workspace with the part of it that charged jobs do not use.
type guaranteeUsage struct {
	guarantee *state.Guarantee
	// unusedTasks is the number of unused tasks of each guaranteed gang.
	unusedTasks []int
	// remainders are the unused resources of guaranteed tasks that smaller tasks use in part.
	remainders []structs.Resources
}

// assignment is the assignment of the charged jobs of a workspace to its guarantees.
type assignment struct {
	guarantees []guaranteeUsage
	covered    map[string]bool
	charged    []*state.Job
}

// readGuarantees groups the guarantees by workspace and assigns the charged jobs to them.
func (c *cycle) readGuarantees() {
	c.guaranteesByWorkspace = map[string][]*state.Guarantee{}
	for i := range c.d.Guarantees {
		g := &c.d.Guarantees[i]
		if c.guaranteesByWorkspace[g.Workspace] == nil {
			c.guaranteedWorkspaces = append(c.guaranteedWorkspaces, g.Workspace)
		}
		c.guaranteesByWorkspace[g.Workspace] = append(c.guaranteesByWorkspace[g.Workspace], g)
	}
	charged := map[string][]*state.Job{}
	for _, j := range c.d.Active {
		if j.Guaranteed && j.Status != state.Preempting && !j.Cancelled {
			charged[j.Workspace] = append(charged[j.Workspace], j)
		}
	}
	for _, ws := range c.guaranteedWorkspaces {
		c.assignments[ws] = c.assignJobs(ws, charged[ws])
	}
}

// canHold reports whether the shape fits into the guarantee when nothing else uses it.
func canHold(g *state.Guarantee, s structs.Shape) bool {
	per := s.Task.CountIn(g.Shape.Task)
	switch {
	case per == 0:
		return false
	case s.Tasks <= per:
		return true
	case s.Adjacent:
		return g.Shape.Adjacent && s.Tasks <= per*g.Shape.Tasks
	}
	return s.Tasks <= per*g.Shape.Tasks*g.Count
}

// isWholeShape reports whether the shape uses one whole guaranteed shape rather than part of one.
func isWholeShape(g *state.Guarantee, s structs.Shape) bool {
	return s.Tasks == g.Shape.Tasks && s.Task.CountIn(g.Shape.Task) == 1 && (g.Shape.Adjacent || !s.Adjacent)
}

// isAnyWholeShape reports whether the job requests a whole shape of any guarantee of its workspace.
func (c *cycle) isAnyWholeShape(j *state.Job) bool {
	return slices.ContainsFunc(c.guaranteesByWorkspace[j.Workspace], func(g *state.Guarantee) bool { return isWholeShape(g, j.Shape) })
}

// assignJobs assigns the charged jobs of a workspace to its guarantees, the largest first. If not
// all fit that way, the order is: jobs that cannot be displaced, urgent jobs, jobs that request a
// whole guaranteed shape, then by class and size.
func (c *cycle) assignJobs(ws string, charged []*state.Job) *assignment {
	asg := c.assignInOrder(ws, charged, compareSizes)
	if len(asg.covered) < len(charged) {
		asg = c.assignInOrder(ws, charged, c.compareDisplacement)
	}
	return asg
}

// assignInOrder assigns the jobs to the workspace's guarantees in the order of compare. Each job
// takes the first guarantee into which it fits.
func (c *cycle) assignInOrder(ws string, charged []*state.Job, compare func(a, b *state.Job) int) *assignment {
	declared := c.guaranteesByWorkspace[ws]
	asg := &assignment{covered: make(map[string]bool, len(charged)), charged: charged, guarantees: make([]guaranteeUsage, len(declared))}
	for i, g := range declared {
		u := guaranteeUsage{guarantee: g, unusedTasks: make([]int, g.Count)}
		for k := range u.unusedTasks {
			u.unusedTasks[k] = g.Shape.Tasks
		}
		asg.guarantees[i] = u
	}
	sorted := slices.Clone(charged)
	slices.SortFunc(sorted, compare)
	for _, j := range sorted {
		for i := range asg.guarantees {
			if asg.guarantees[i].charge(j.Shape) {
				asg.covered[j.ID] = true
				break
			}
		}
	}
	return asg
}

// compareDisplacement orders charged jobs, the last to be displaced first.
func (c *cycle) compareDisplacement(a, b *state.Job) int {
	return cmp.Or(
		compareBool(a.Reclaimable(), b.Reclaimable()),
		compareBool(b.Urgent, a.Urgent),
		compareBool(c.isAnyWholeShape(b), c.isAnyWholeShape(a)),
		cmp.Compare(a.Class, b.Class),
		compareSizes(a, b),
	)
}

// compareSizes orders jobs by total accelerators, then slots, the largest first.
func compareSizes(a, b *state.Job) int {
	x, y := a.Shape.Total(), b.Shape.Total()
	return cmp.Or(cmp.Compare(y.Accelerators, x.Accelerators), cmp.Compare(y.Slots, x.Slots), cmp.Compare(a.ID, b.ID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// charge charges a shape to the guarantee if it fits. An adjacent gang is charged to one guaranteed
// gang, any other to the unused tasks of all gangs. Several small tasks may share one guaranteed
// task.
func (u *guaranteeUsage) charge(s structs.Shape) bool {
	per := s.Task.CountIn(u.guarantee.Shape.Task)
	if per == 0 {
		return false
	}
	oneTask := s.Tasks <= per
	if s.Adjacent && !oneTask {
		if !u.guarantee.Shape.Adjacent {
			return false
		}
		return u.chargeAdjacentGang(s, per)
	}
	if oneTask && s.Adjacent {
		return u.chargeOneTask(s)
	}
	return u.chargeSpread(s, per)
}

// chargeOneTask charges an adjacent gang whose tasks all fit into one guaranteed task.
func (u *guaranteeUsage) chargeOneTask(s structs.Shape) bool {
	total := s.Total()
	for i := range u.remainders {
		if total.Fits(u.remainders[i]) {
			u.remainders[i] = u.remainders[i].Sub(total)
			return true
		}
	}
	for i := range u.unusedTasks {
		if u.unusedTasks[i] > 0 {
			u.unusedTasks[i]--
			u.remainders = append(u.remainders, u.guarantee.Shape.Task.Sub(total))
			return true
		}
	}
	return false
}

// chargeAdjacentGang charges an adjacent gang to the guaranteed gang with the fewest unused tasks that
// can hold it.
func (u *guaranteeUsage) chargeAdjacentGang(s structs.Shape, per int) bool {
	units := (s.Tasks + per - 1) / per
	best := -1
	for i, left := range u.unusedTasks {
		if left >= units && (best < 0 || left < u.unusedTasks[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	u.unusedTasks[best] -= units
	u.addRemainders(s, per, s.Tasks)
	return true
}

// addRemainders records what is left of the guaranteed tasks that hold count tasks, up to per in each.
func (u *guaranteeUsage) addRemainders(s structs.Shape, per, count int) {
	for count > 0 {
		n := min(per, count)
		if remainder := u.guarantee.Shape.Task.Sub(s.Task.Mul(n)); remainder.Slots > 0 {
			u.remainders = append(u.remainders, remainder)
		}
		count -= n
	}
}

// chargeSpread charges a shape that need not be adjacent to the remainders and the unused tasks of all
// gangs.
func (u *guaranteeUsage) chargeSpread(s structs.Shape, per int) bool {
	have := 0
	for i := range u.remainders {
		have += s.Task.CountIn(u.remainders[i])
	}
	for _, left := range u.unusedTasks {
		have += left * per
	}
	if have < s.Tasks {
		return false
	}
	need := s.Tasks
	for i := range u.remainders {
		n := min(need, s.Task.CountIn(u.remainders[i]))
		u.remainders[i] = u.remainders[i].Sub(s.Task.Mul(n))
		need -= n
	}
	untouched := need
	for i := range u.unusedTasks {
		for u.unusedTasks[i] > 0 && need > 0 {
			u.unusedTasks[i]--
			need -= per
		}
	}
	u.addRemainders(s, per, untouched)
	return true
}

// charged reports whether the active job is charged to its workspace's guarantee and covered by it.
func (c *cycle) charged(j *state.Job) bool {
	asg := c.assignments[j.Workspace]
	return j.Guaranteed && asg != nil && asg.covered[j.ID]
}

// fitsGuarantee returns the assignment of its workspace's guarantees with the queued job added, if
// the job fits. The job may displace reclaimable jobs of its own workspace with a lower rank. Those
// continue as work outside the guarantee.
func (c *cycle) fitsGuarantee(j *state.Job) (*assignment, bool) {
	old := c.assignments[j.Workspace]
	if old == nil || !slices.ContainsFunc(c.guaranteesByWorkspace[j.Workspace], func(g *state.Guarantee) bool { return canHold(g, j.Shape) }) {
		return nil, false
	}
	// A job that uses only part of a guaranteed shape and cannot be displaced would block the
	// workspace's claim to the whole shape.
	if !j.Reclaimable() && !j.Urgent && !c.isAnyWholeShape(j) {
		return nil, false
	}
	asg := c.assignJobs(j.Workspace, append(slices.Clip(old.charged), j))
	if !asg.covered[j.ID] {
		return nil, false
	}
	for _, o := range old.charged {
		if old.covered[o.ID] && !asg.covered[o.ID] && !c.mayDisplace(j, o) {
			return nil, false
		}
	}
	if len(asg.covered) < len(asg.charged) {
		// Assign again without the displaced jobs, as the next decision will.
		asg = c.assignJobs(j.Workspace, slices.DeleteFunc(slices.Clone(asg.charged), func(o *state.Job) bool { return !asg.covered[o.ID] }))
	}
	return asg, true
}

// mayDisplace reports whether the queued job j may displace the charged job o.
func (c *cycle) mayDisplace(j, o *state.Job) bool {
	if !o.Reclaimable() || o.Status != state.Running {
		return false
	}
	if j.Urgent != o.Urgent {
		return j.Urgent
	}
	if a, b := c.isAnyWholeShape(j), c.isAnyWholeShape(o); a != b {
		return a
	}
	return j.Class < o.Class
}

// unmetDemands appends to out the shapes that the workspace can still claim.
func (asg *assignment) unmetDemands(out []demand) []demand {
	for i := range asg.guarantees {
		u := &asg.guarantees[i]
		for _, left := range u.unusedTasks {
			if left > 0 {
				out = append(out, demand{workspace: u.guarantee.Workspace, shape: structs.Shape{Tasks: left, Task: u.guarantee.Shape.Task, Adjacent: u.guarantee.Shape.Adjacent && left > 1}})
			}
		}
		for _, remainder := range u.remainders {
			if remainder.Slots > 0 {
				out = append(out, demand{workspace: u.guarantee.Workspace, shape: structs.Shape{Tasks: 1, Task: remainder}})
			}
		}
	}
	return out
}
