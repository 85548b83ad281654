package scheduler

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// line is one guarantee of a workspace with what its charged jobs leave of it.
type guaranteeUsage struct {
	guarantee *state.Guarantee
	// gangs holds the unused tasks of each guaranteed gang.
	unusedTasks []int
	// open holds the unused rest of tasks that are partly used by smaller tasks.
	remainders []structs.Resources
}

// match assigns the charged jobs of a workspace to its guarantees.
type assignment struct {
	guarantees []guaranteeUsage
	covered    map[string]bool
	charged    []*state.Job
}

// readGuarantees groups the guarantees, and the jobs charged to them, by workspace.
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

// admits reports whether the shape fits into the guarantee when nothing else uses it.
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

// fills reports whether the shape is one guaranteed shape rather than a part of one.
func isWholeShape(g *state.Guarantee, s structs.Shape) bool {
	return s.Tasks == g.Shape.Tasks && s.Task.CountIn(g.Shape.Task) == 1 && (g.Shape.Adjacent || !s.Adjacent)
}

// fillsAny reports whether the job asks for one of its workspace's guaranteed shapes.
func (c *cycle) isAnyWholeShape(j *state.Job) bool {
	return slices.ContainsFunc(c.guaranteesByWorkspace[j.Workspace], func(g *state.Guarantee) bool { return isWholeShape(g, j.Shape) })
}

// matchJobs assigns the charged jobs of a workspace to its guarantees: the largest first
// if all fit that way, else those that cannot be displaced first, then urgent ones, then
// those that ask for a guaranteed shape, then by class and size.
func (c *cycle) assignJobs(ws string, charged []*state.Job) *assignment {
	m := c.assignInOrder(ws, charged, compareSizes)
	if len(m.covered) < len(charged) {
		m = c.assignInOrder(ws, charged, c.compareDisplacement)
	}
	return m
}

// matchIn assigns the jobs to the workspace's guarantees in the given order.
func (c *cycle) assignInOrder(ws string, charged []*state.Job, compare func(a, b *state.Job) int) *assignment {
	declared := c.guaranteesByWorkspace[ws]
	m := &assignment{covered: make(map[string]bool, len(charged)), charged: charged, guarantees: make([]guaranteeUsage, len(declared))}
	for i, g := range declared {
		l := guaranteeUsage{guarantee: g, unusedTasks: make([]int, g.Count)}
		for k := range l.unusedTasks {
			l.unusedTasks[k] = g.Shape.Tasks
		}
		m.guarantees[i] = l
	}
	sorted := slices.Clone(charged)
	slices.SortFunc(sorted, compare)
	for _, j := range sorted {
		for i := range m.guarantees {
			if m.guarantees[i].charge(j.Shape) {
				m.covered[j.ID] = true
				break
			}
		}
	}
	return m
}

func (c *cycle) compareDisplacement(a, b *state.Job) int {
	return cmp.Or(
		compareBool(a.Reclaimable(), b.Reclaimable()),
		compareBool(b.Urgent, a.Urgent),
		compareBool(c.isAnyWholeShape(b), c.isAnyWholeShape(a)),
		cmp.Compare(a.Class, b.Class),
		compareSizes(a, b),
	)
}

// compareSizes orders jobs by size, the largest first.
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

// take charges a shape to the line if it fits: an adjacent gang into one guaranteed
// gang, any other into the unused tasks of all gangs. Several small tasks may share one
// guaranteed task.
func (l *guaranteeUsage) charge(s structs.Shape) bool {
	per := s.Task.CountIn(l.guarantee.Shape.Task)
	if per == 0 {
		return false
	}
	oneTask := s.Tasks <= per
	if s.Adjacent && !oneTask {
		if !l.guarantee.Shape.Adjacent {
			return false
		}
		return l.chargeAdjacentGang(s, per)
	}
	if oneTask && s.Adjacent {
		return l.chargeOneTask(s)
	}
	return l.chargeSpread(s, per)
}

// takeTask charges a gang whose tasks all fit into one guaranteed task.
func (l *guaranteeUsage) chargeOneTask(s structs.Shape) bool {
	total := s.Total()
	for i := range l.remainders {
		if total.Fits(l.remainders[i]) {
			l.remainders[i] = l.remainders[i].Sub(total)
			return true
		}
	}
	for i := range l.unusedTasks {
		if l.unusedTasks[i] > 0 {
			l.unusedTasks[i]--
			l.remainders = append(l.remainders, l.guarantee.Shape.Task.Sub(total))
			return true
		}
	}
	return false
}

func (l *guaranteeUsage) chargeAdjacentGang(s structs.Shape, per int) bool {
	units := (s.Tasks + per - 1) / per
	best := -1
	for i, left := range l.unusedTasks {
		if left >= units && (best < 0 || left < l.unusedTasks[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	l.unusedTasks[best] -= units
	l.addRemainders(s, per, s.Tasks)
	return true
}

// openRests records the unused rest of the guaranteed tasks that hold count tasks.
func (l *guaranteeUsage) addRemainders(s structs.Shape, per, count int) {
	for count > 0 {
		n := min(per, count)
		if remainder := l.guarantee.Shape.Task.Sub(s.Task.Mul(n)); remainder.Slots > 0 {
			l.remainders = append(l.remainders, remainder)
		}
		count -= n
	}
}

func (l *guaranteeUsage) chargeSpread(s structs.Shape, per int) bool {
	have := 0
	for i := range l.remainders {
		have += s.Task.CountIn(l.remainders[i])
	}
	for _, left := range l.unusedTasks {
		have += left * per
	}
	if have < s.Tasks {
		return false
	}
	need := s.Tasks
	for i := range l.remainders {
		n := min(need, s.Task.CountIn(l.remainders[i]))
		l.remainders[i] = l.remainders[i].Sub(s.Task.Mul(n))
		need -= n
	}
	untouched := need
	for i := range l.unusedTasks {
		for l.unusedTasks[i] > 0 && need > 0 {
			l.unusedTasks[i]--
			need -= per
		}
	}
	l.addRemainders(s, per, untouched)
	return true
}

// charged reports whether the active job is inside its workspace's guarantee.
func (c *cycle) charged(j *state.Job) bool {
	m := c.assignments[j.Workspace]
	return j.Guaranteed && m != nil && m.covered[j.ID]
}

// fitsGuarantee returns the match with the queued job inside its workspace's guarantee.
// The job may displace reclaimable jobs of its own workspace that rank lower; those go on
// as lent work.
func (c *cycle) fitsGuarantee(j *state.Job) (*assignment, bool) {
	old := c.assignments[j.Workspace]
	if old == nil || !slices.ContainsFunc(c.guaranteesByWorkspace[j.Workspace], func(g *state.Guarantee) bool { return canHold(g, j.Shape) }) {
		return nil, false
	}
	// A part of a guaranteed shape that cannot be displaced would keep the workspace from
	// the whole shape.
	if !j.Reclaimable() && !j.Urgent && !c.isAnyWholeShape(j) {
		return nil, false
	}
	m := c.assignJobs(j.Workspace, append(slices.Clip(old.charged), j))
	if !m.covered[j.ID] {
		return nil, false
	}
	for _, o := range old.charged {
		if old.covered[o.ID] && !m.covered[o.ID] && !c.mayDisplace(j, o) {
			return nil, false
		}
	}
	if len(m.covered) < len(m.charged) {
		// The next decision sees only the jobs that stay charged.
		m = c.assignJobs(j.Workspace, slices.DeleteFunc(slices.Clone(m.charged), func(o *state.Job) bool { return !m.covered[o.ID] }))
	}
	return m, true
}

// outranks reports whether the queued job may displace a charged one.
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

// unmet lists the shapes that the workspace can still claim.
func (m *assignment) unmetDemands(out []demand) []demand {
	for i := range m.guarantees {
		l := &m.guarantees[i]
		for _, left := range l.unusedTasks {
			if left > 0 {
				out = append(out, demand{workspace: l.guarantee.Workspace, shape: structs.Shape{Tasks: left, Task: l.guarantee.Shape.Task, Adjacent: l.guarantee.Shape.Adjacent && left > 1}})
			}
		}
		for _, remainder := range l.remainders {
			if remainder.Slots > 0 {
				out = append(out, demand{workspace: l.guarantee.Workspace, shape: structs.Shape{Tasks: 1, Task: remainder}})
			}
		}
	}
	return out
}
