package scheduler

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// line is one guarantee of a workspace with what its charged jobs leave of it.
type line struct {
	g *state.Guarantee
	// gangs holds the unused tasks of each guaranteed gang.
	gangs []int
	// open holds the unused rest of tasks that are partly used by smaller tasks.
	open []structs.Resources
}

// match assigns the charged jobs of a workspace to its guarantees.
type match struct {
	lines   []line
	jobs    map[string]bool
	charged []*state.Job
}

// readGuarantees groups the guarantees, and the jobs charged to them, by workspace.
func (c *cycle) readGuarantees() {
	c.byWorkspace = map[string][]*state.Guarantee{}
	for i := range c.d.Guarantees {
		g := &c.d.Guarantees[i]
		if c.byWorkspace[g.Workspace] == nil {
			c.guaranteed = append(c.guaranteed, g.Workspace)
		}
		c.byWorkspace[g.Workspace] = append(c.byWorkspace[g.Workspace], g)
	}
	charged := map[string][]*state.Job{}
	for _, j := range c.d.Active {
		if j.Guaranteed && j.Status != state.Preempting && !j.Cancelled {
			charged[j.Workspace] = append(charged[j.Workspace], j)
		}
	}
	for _, ws := range c.guaranteed {
		c.matches[ws] = c.matchJobs(ws, charged[ws])
	}
}

// admits reports whether the shape fits into the guarantee when nothing else uses it.
func admits(g *state.Guarantee, s structs.Shape) bool {
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
func fills(g *state.Guarantee, s structs.Shape) bool {
	return s.Tasks == g.Shape.Tasks && s.Task.CountIn(g.Shape.Task) == 1 && (g.Shape.Adjacent || !s.Adjacent)
}

// fillsAny reports whether the job asks for one of its workspace's guaranteed shapes.
func (c *cycle) fillsAny(j *state.Job) bool {
	return slices.ContainsFunc(c.byWorkspace[j.Workspace], func(g *state.Guarantee) bool { return fills(g, j.Shape) })
}

// matchJobs assigns the charged jobs of a workspace to its guarantees: the largest first
// if all fit that way, else those that cannot be displaced first, then urgent ones, then
// those that ask for a guaranteed shape, then by class and size.
func (c *cycle) matchJobs(ws string, charged []*state.Job) *match {
	m := c.matchIn(ws, charged, compareSizes)
	if len(m.jobs) < len(charged) {
		m = c.matchIn(ws, charged, c.compareCharged)
	}
	return m
}

// matchIn assigns the jobs to the workspace's guarantees in the given order.
func (c *cycle) matchIn(ws string, charged []*state.Job, compare func(a, b *state.Job) int) *match {
	guarantees := c.byWorkspace[ws]
	m := &match{jobs: make(map[string]bool, len(charged)), charged: charged, lines: make([]line, len(guarantees))}
	for i, g := range guarantees {
		l := line{g: g, gangs: make([]int, g.Count)}
		for k := range l.gangs {
			l.gangs[k] = g.Shape.Tasks
		}
		m.lines[i] = l
	}
	sorted := slices.Clone(charged)
	slices.SortFunc(sorted, compare)
	for _, j := range sorted {
		for i := range m.lines {
			if m.lines[i].take(j.Shape) {
				m.jobs[j.ID] = true
				break
			}
		}
	}
	return m
}

func (c *cycle) compareCharged(a, b *state.Job) int {
	return cmp.Or(
		compareBool(a.Reclaimable(), b.Reclaimable()),
		compareBool(b.Urgent, a.Urgent),
		compareBool(c.fillsAny(b), c.fillsAny(a)),
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
func (l *line) take(s structs.Shape) bool {
	per := s.Task.CountIn(l.g.Shape.Task)
	if per == 0 {
		return false
	}
	oneTask := s.Tasks <= per
	if s.Adjacent && !oneTask {
		if !l.g.Shape.Adjacent {
			return false
		}
		return l.takeGang(s, per)
	}
	if oneTask && s.Adjacent {
		return l.takeTask(s)
	}
	return l.takeSpread(s, per)
}

// takeTask charges a gang whose tasks all fit into one guaranteed task.
func (l *line) takeTask(s structs.Shape) bool {
	total := s.Total()
	for i := range l.open {
		if total.Fits(l.open[i]) {
			l.open[i] = l.open[i].Sub(total)
			return true
		}
	}
	for i := range l.gangs {
		if l.gangs[i] > 0 {
			l.gangs[i]--
			l.open = append(l.open, l.g.Shape.Task.Sub(total))
			return true
		}
	}
	return false
}

func (l *line) takeGang(s structs.Shape, per int) bool {
	units := (s.Tasks + per - 1) / per
	best := -1
	for i, left := range l.gangs {
		if left >= units && (best < 0 || left < l.gangs[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	l.gangs[best] -= units
	l.openRests(s, per, s.Tasks)
	return true
}

// openRests records the unused rest of the guaranteed tasks that hold count tasks.
func (l *line) openRests(s structs.Shape, per, count int) {
	for count > 0 {
		n := min(per, count)
		if rest := l.g.Shape.Task.Sub(s.Task.Mul(n)); rest.Slots > 0 {
			l.open = append(l.open, rest)
		}
		count -= n
	}
}

func (l *line) takeSpread(s structs.Shape, per int) bool {
	have := 0
	for i := range l.open {
		have += s.Task.CountIn(l.open[i])
	}
	for _, left := range l.gangs {
		have += left * per
	}
	if have < s.Tasks {
		return false
	}
	need := s.Tasks
	for i := range l.open {
		n := min(need, s.Task.CountIn(l.open[i]))
		l.open[i] = l.open[i].Sub(s.Task.Mul(n))
		need -= n
	}
	fresh := need
	for i := range l.gangs {
		for l.gangs[i] > 0 && need > 0 {
			l.gangs[i]--
			need -= per
		}
	}
	l.openRests(s, per, fresh)
	return true
}

// charged reports whether the active job is inside its workspace's guarantee.
func (c *cycle) charged(j *state.Job) bool {
	m := c.matches[j.Workspace]
	return j.Guaranteed && m != nil && m.jobs[j.ID]
}

// fitsGuarantee returns the match with the queued job inside its workspace's guarantee.
// The job may displace reclaimable jobs of its own workspace that rank lower; those go on
// as lent work.
func (c *cycle) fitsGuarantee(j *state.Job) (*match, bool) {
	old := c.matches[j.Workspace]
	if old == nil || !slices.ContainsFunc(c.byWorkspace[j.Workspace], func(g *state.Guarantee) bool { return admits(g, j.Shape) }) {
		return nil, false
	}
	// A part of a guaranteed shape that cannot be displaced would keep the workspace from
	// the whole shape.
	if !j.Reclaimable() && !j.Urgent && !c.fillsAny(j) {
		return nil, false
	}
	m := c.matchJobs(j.Workspace, append(slices.Clip(old.charged), j))
	if !m.jobs[j.ID] {
		return nil, false
	}
	for _, o := range old.charged {
		if old.jobs[o.ID] && !m.jobs[o.ID] && !c.outranks(j, o) {
			return nil, false
		}
	}
	if len(m.jobs) < len(m.charged) {
		// The next decision sees only the jobs that stay charged.
		m = c.matchJobs(j.Workspace, slices.DeleteFunc(slices.Clone(m.charged), func(o *state.Job) bool { return !m.jobs[o.ID] }))
	}
	return m, true
}

// outranks reports whether the queued job may displace a charged one.
func (c *cycle) outranks(j, o *state.Job) bool {
	if !o.Reclaimable() || o.Status != state.Running {
		return false
	}
	if j.Urgent != o.Urgent {
		return j.Urgent
	}
	if a, b := c.fillsAny(j), c.fillsAny(o); a != b {
		return a
	}
	return j.Class < o.Class
}

// unmet lists the shapes that the workspace can still claim.
func (m *match) unmet(out []demand) []demand {
	for i := range m.lines {
		l := &m.lines[i]
		for _, left := range l.gangs {
			if left > 0 {
				out = append(out, demand{ws: l.g.Workspace, shape: structs.Shape{Tasks: left, Task: l.g.Shape.Task, Adjacent: l.g.Shape.Adjacent && left > 1}})
			}
		}
		for _, rest := range l.open {
			if rest.Slots > 0 {
				out = append(out, demand{ws: l.g.Workspace, shape: structs.Shape{Tasks: 1, Task: rest}})
			}
		}
	}
	return out
}
