package scheduler

import (
	"slices"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// maxExactSteps limits the backtracking of one decision. It suffices for small, tight cases that the
// greedy packing may miss; 4,000 steps take about 0.3 ms.
const maxExactSteps = 4000

// exactPacker packs guarantees by backtracking over the nodes of each task.
type exactPacker struct {
	c       *cycle
	demands []demand
	packed  []packedDemand
}

// packExact searches for a packing of all guarantees after the greedy packing left some out. It returns
// false if there is none or if the step limit was reached first.
func (c *cycle) packExact(demands []demand) bool {
	if c.exactSteps >= maxExactSteps {
		return false
	}
	n := slices.IndexFunc(demands, func(d demand) bool { return d.slots })
	if n < 0 {
		n = len(demands)
	}
	if !c.totalFits(demands[:n]) {
		return false
	}
	previous := c.packing
	c.setPacking(nil)
	x := exactPacker{c: c, demands: demands[:n]}
	if !x.packFrom(0) {
		c.setPacking(previous)
		return false
	}
	c.setPacking(x.packed)
	c.unpacked = unpacked{byWorkspace: map[string]int{}}
	for _, d := range demands[n:] {
		c.packSameShape([]demand{d})
	}
	return true
}

// totalFits is a cheap necessary condition: the sum of the demands fits into the sum of the resources.
func (c *cycle) totalFits(demands []demand) bool {
	var need, have structs.Resources
	for _, d := range demands {
		need = need.Add(d.shape.Total())
	}
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			have = have.Add(n.available())
		}
	}
	return need.Fits(have)
}

// packFrom packs the demands from index k on.
func (x *exactPacker) packFrom(k int) bool {
	if k == len(x.demands) {
		return true
	}
	shape := x.demands[k].shape
	found := false
	x.c.domains(x.c.levelOf(shape), func(r span) bool {
		have := 0
		for i := r.lo; i < r.hi && have < shape.Tasks; i++ {
			have += x.c.nodes[i].packableTasks(shape.Task, false)
		}
		found = have >= shape.Tasks && x.packTask(k, r, r.lo, nil)
		return !found && x.c.exactSteps < maxExactSteps
	})
	return found
}

// packTask packs the next task of demand k on the nodes of r from node lo on, then the rest of the
// demands. To avoid symmetric packings, the equal tasks of a gang take nodes in ascending order,
// and of the nodes of a rack with equal unearmarked resources only the first is tried.
func (x *exactPacker) packTask(k int, r span, lo int, nodes []int) bool {
	d := x.demands[k]
	if len(nodes) == d.shape.Tasks {
		x.packed = append(x.packed, packedDemand{demand: d, nodes: slices.Clone(nodes)})
		if x.packFrom(k + 1) {
			return true
		}
		x.packed = x.packed[:len(x.packed)-1]
		return false
	}
	for i := lo; i < r.hi; i++ {
		n := &x.c.nodes[i]
		if !n.usable || !d.shape.Task.Fits(n.unearmarked()) || x.equalNodeTried(lo, i) {
			continue
		}
		if x.c.exactSteps++; x.c.exactSteps > maxExactSteps {
			return false
		}
		n.earmark(d.shape.Task, false)
		done := x.packTask(k, r, i, append(nodes, i))
		n.unearmark(d.shape.Task, false)
		if done {
			return true
		}
	}
	return false
}

// equalNodeTried reports whether a node from lo up to i is in the same rack and has the same
// resources left.
func (x *exactPacker) equalNodeTried(lo, i int) bool {
	for o := i - 1; o >= lo && x.c.nodes[o].rack == x.c.nodes[i].rack; o-- {
		if x.c.nodes[o].usable && x.c.nodes[o].unearmarked() == x.c.nodes[i].unearmarked() {
			return true
		}
	}
	return false
}
