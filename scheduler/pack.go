package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// demand is a shape for which resources must stay claimable: the unmet part of a guaranteed gang, or the
// minimum slots of a service.
type demand struct {
	workspace string // empty for the minimum slots of a service
	shape     structs.Shape
	slots     bool
}

// packedDemand is a demand with the nodes on which its tasks are packed.
type packedDemand struct {
	demand
	nodes []int
}

// unpacked counts the tasks of demands that could not be packed.
type unpacked struct {
	tasks       int            // of guarantees
	slots       int            // minimum slots of services
	byWorkspace map[string]int // of guarantees, by workspace
	// shapes lists the guaranteed shapes that were not packed.
	shapes []structs.Shape
}

func (u *unpacked) add(d demand) {
	if d.slots {
		u.slots += d.shape.Tasks
		return
	}
	u.shapes = append(u.shapes, d.shape)
	u.tasks += d.shape.Tasks
	u.byWorkspace[d.workspace] += d.shape.Tasks
}

// maxRepacks limits the full packings of one decision. A start that needs one more has to wait for
// the next decision.
const maxRepacks = 12

// ensurePacked packs all unmet demands once per decision.
func (c *cycle) ensurePacked() {
	if !c.packedOnce {
		c.packedOnce = true
		c.packAll()
	}
}

// packAttempts is the number of orders that a packing tries. Each further order begins with the
// shapes that the previous one could not pack.
const packAttempts = 4

// packAll packs every unmet guarantee and the minimum slots of the services into the available
// resources, the shapes that are hardest to pack first and slots last.
func (c *cycle) packAll() {
	var demands []demand
	for _, ws := range c.guaranteedWorkspaces {
		demands = c.assignments[ws].unmetDemands(demands)
	}
	for _, s := range c.services {
		if s.MinSlots > 0 {
			demands = append(demands, demand{shape: structs.Shape{Tasks: s.MinSlots, Task: s.SlotShape}, slots: true})
		}
	}
	slices.SortStableFunc(demands, compareDemands)
	c.packInOrder(demands)
	best, bestPacking := c.unpacked, c.packing
	for n := 1; n < packAttempts && c.unpacked.tasks > 0; n++ {
		failed := c.unpacked.shapes
		slices.SortStableFunc(demands, func(a, b demand) int {
			return compareBool(slices.Contains(failed, b.shape), slices.Contains(failed, a.shape))
		})
		if c.packInOrder(demands); c.unpacked.tasks < best.tasks {
			best, bestPacking = c.unpacked, c.packing
		}
	}
	if best.tasks < c.unpacked.tasks {
		c.unpacked = best
		c.setPacking(bestPacking)
	}
	if c.unpacked.tasks > 0 {
		slices.SortStableFunc(demands, compareDemands)
		c.packExact(demands)
	}
}

// setPacking replaces the packing and the earmarked resources of the nodes.
func (c *cycle) setPacking(packing []packedDemand) {
	for i := range c.nodes {
		c.nodes[i].earmarked, c.nodes[i].earmarkedSlots = structs.Resources{}, structs.Resources{}
	}
	c.packing = packing
	for _, p := range packing {
		for _, i := range p.nodes {
			c.nodes[i].earmark(p.shape.Task, p.slots)
		}
	}
}

// packInOrder packs the demands in the given order, runs of equal shapes together.
func (c *cycle) packInOrder(demands []demand) {
	c.setPacking(nil)
	c.unpacked = unpacked{byWorkspace: map[string]int{}}
	for len(demands) > 0 {
		n := 1
		for n < len(demands) && demands[n].shape == demands[0].shape && demands[n].slots == demands[0].slots {
			n++
		}
		c.packSameShape(demands[:n])
		demands = demands[n:]
	}
}

// compareDemands orders demands by difficulty of packing, the most difficult first.
func compareDemands(a, b demand) int {
	return cmp.Or(
		compareBool(a.slots, b.slots),
		compareBool(b.shape.Adjacent, a.shape.Adjacent),
		cmp.Compare(b.shape.Task.Accelerators, a.shape.Task.Accelerators),
		cmp.Compare(b.shape.Task.Slots, a.shape.Task.Slots),
		cmp.Compare(b.shape.Task.Processors, a.shape.Task.Processors),
		cmp.Compare(b.shape.Task.MemoryMB, a.shape.Task.MemoryMB),
		cmp.Compare(b.shape.Tasks, a.shape.Tasks),
	)
}

// packSameShape packs demands of one shape. Nodes that can hold fewer tasks are filled first, so
// that idle nodes stay whole.
func (c *cycle) packSameShape(demands []demand) {
	shape, slots := demands[0].shape, demands[0].slots
	l := c.levelOf(shape)
	counts := make([]int, len(c.nodes))
	for i := range c.nodes {
		counts[i] = c.nodes[i].packableTasks(shape.Task, slots)
	}
	p := shapePacker{c: c, shape: shape, level: l, counts: counts}
	for _, d := range demands {
		nodes := []int(nil)
		if l == levelWorker && len(demands) == 1 {
			nodes = p.bestFitNode()
		} else {
			nodes = p.nextGang()
		}
		if nodes == nil {
			c.unpacked.add(d)
			continue
		}
		for _, i := range nodes {
			c.nodes[i].earmark(shape.Task, slots)
		}
		c.packing = append(c.packing, packedDemand{demand: d, nodes: nodes})
	}
}

func (n *node) packableTasks(task structs.Resources, slots bool) int {
	if !n.usable {
		return 0
	}
	count := task.CountIn(n.unearmarked())
	if slots {
		count = min(count, task.CountIn(n.quickUnearmarked()))
	}
	return count
}

func (n *node) earmark(task structs.Resources, slots bool) {
	n.earmarked = n.earmarked.Add(task)
	if slots {
		n.earmarkedSlots = n.earmarkedSlots.Add(task)
	}
}

func (n *node) unearmark(task structs.Resources, slots bool) {
	n.earmarked = n.earmarked.Sub(task)
	if slots {
		n.earmarkedSlots = n.earmarkedSlots.Sub(task)
	}
}

// shapePacker packs demands of one shape one after the other.
type shapePacker struct {
	c          *cycle
	shape      structs.Shape
	level      level
	counts     []int
	order      []int // nodes by ascending count, for the worker and data centre levels
	pos        int
	rackTotals []int // tasks by rack, for the rack levels
}

// nextGang returns the nodes for one more gang, or nil.
func (p *shapePacker) nextGang() []int {
	switch p.level {
	case levelWorker:
		p.sortNodes()
		for ; p.pos < len(p.order); p.pos++ {
			if p.counts[p.order[p.pos]] >= p.shape.Tasks {
				return p.takeFrom(p.order[p.pos:p.pos+1], nil)
			}
		}
	case levelDataCentre:
		p.sortNodes()
		for p.pos < len(p.order) && p.counts[p.order[p.pos]] == 0 {
			p.pos++
		}
		return p.takeFrom(p.order[p.pos:], nil)
	case levelRack, levelRackPair:
		return p.bestFitRacks()
	}
	return nil
}

func (p *shapePacker) sortNodes() {
	if p.order != nil {
		return
	}
	type key struct {
		count, node int
		unearmarked structs.Resources
	}
	keys := make([]key, 0, len(p.counts))
	for i, n := range p.counts {
		if n > 0 {
			keys = append(keys, key{n, i, p.c.nodes[i].unearmarked()})
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.count, b.count), compareUnearmarked(a.unearmarked, b.unearmarked), cmp.Compare(a.node, b.node))
	})
	p.order = make([]int, len(keys))
	for k := range keys {
		p.order[k] = keys[k].node
	}
}

func compareUnearmarked(a, b structs.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Processors, b.Processors))
}

// bestFitNode returns the node with the least resources that holds the gang, repeated for each
// task, or nil. It avoids the sort of nextGang when only one gang is packed.
func (p *shapePacker) bestFitNode() []int {
	best := -1
	for i, n := range p.counts {
		if n >= p.shape.Tasks && (best < 0 || p.compareNodes(i, best) < 0) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return p.takeFrom([]int{best}, nil)
}

// compareNodes orders nodes by the number of tasks that they can hold, then by unearmarked resources.
func (p *shapePacker) compareNodes(a, b int) int {
	if n := cmp.Compare(p.counts[a], p.counts[b]); n != 0 {
		return n
	}
	return compareUnearmarked(p.c.nodes[a].unearmarked(), p.c.nodes[b].unearmarked())
}

// takeFrom appends nodes for one gang to out, filling them in the given order. It returns nil and
// changes nothing if the nodes cannot hold the gang.
func (p *shapePacker) takeFrom(order []int, out []int) []int {
	need := p.shape.Tasks
	for _, i := range order {
		for n := min(need, p.counts[i]); n > 0; n-- {
			out = append(out, i)
			need--
		}
		if need == 0 {
			for _, i := range out {
				p.counts[i]--
			}
			return out
		}
	}
	return nil
}

// bestFitRacks returns nodes for one gang in the rack, or pair of racks, with the least
// resources that hold it, or nil.
func (p *shapePacker) bestFitRacks() []int {
	c := p.c
	if p.rackTotals == nil {
		p.rackTotals = make([]int, len(c.racks))
		for i, n := range p.counts {
			p.rackTotals[c.nodes[i].rack] += n
		}
	}
	best, bestSum := span{}, 0
	c.domains(p.level, func(r span) bool {
		sum := p.rackTotals[c.nodes[r.lo].rack]
		if last := c.nodes[r.hi-1].rack; last != c.nodes[r.lo].rack {
			sum += p.rackTotals[last]
		}
		if sum >= p.shape.Tasks && (bestSum == 0 || sum < bestSum) {
			best, bestSum = r, sum
		}
		return true
	})
	if bestSum == 0 {
		return nil
	}
	order := make([]int, 0, best.hi-best.lo)
	for i := best.lo; i < best.hi; i++ {
		order = append(order, i)
	}
	slices.SortStableFunc(order, p.compareNodes)
	nodes := p.takeFrom(order, nil)
	for _, i := range nodes {
		p.rackTotals[c.nodes[i].rack]--
	}
	return nodes
}

// savepoint is a copy of nodes and packing, to undo a tentative change.
type savepoint struct {
	nodes    []node
	packing  []packedDemand
	unpacked unpacked
	victims  int
}

// save makes a savepoint in buffer. Savepoints are nested at most two deep: outerSavepoint is for
// the outer one and innerSavepoint for the one in takeUnreclaimable.
func (c *cycle) save(buffer *[]node) savepoint {
	*buffer = append((*buffer)[:0], c.nodes...)
	u := c.unpacked
	u.byWorkspace = maps.Clone(u.byWorkspace)
	return savepoint{nodes: *buffer, packing: slices.Clone(c.packing), unpacked: u, victims: len(c.victims)}
}

// packsLess reports whether more is unpacked than at the savepoint. Jobs inside a guarantee may take the
// resources of minimum slots, which have lower priority.
func (c *cycle) packsLess(s *savepoint, guaranteed bool) bool {
	return c.unpacked.tasks > s.unpacked.tasks || !guaranteed && c.unpacked.slots > s.unpacked.slots
}

func (c *cycle) restore(s savepoint) {
	copy(c.nodes, s.nodes)
	c.packing, c.unpacked = s.packing, s.unpacked
	for _, v := range c.victims[s.victims:] {
		for _, i := range v.nodes {
			c.victimsByNode[i] = slices.DeleteFunc(c.victimsByNode[i], func(id int32) bool { return int(id) >= s.victims })
		}
	}
	c.victims = c.victims[:s.victims]
}

// takeUnreclaimable takes resources at the nodes for a job that cannot be reclaimed afterwards, if
// every unmet guarantee stays packed. asg is the workspace's assignment with the job charged, or nil
// for a job outside its guarantee. Nothing changes if it returns false.
func (c *cycle) takeUnreclaimable(ws string, task structs.Resources, nodes []int, asg *assignment) bool {
	c.ensurePacked()
	s := c.save(&c.buffers.innerSavepoint)
	old := c.assignments[ws]
	if asg != nil {
		c.releaseDisplaced(old, asg)
		c.assignments[ws] = asg
		c.repackWorkspace(ws, asg)
	}
	for _, i := range nodes {
		c.nodes[i].free = c.nodes[i].free.Sub(task)
	}
	if c.staysPacked(&s, nodes, ws, asg != nil) {
		return true
	}
	c.restore(s)
	if old != nil {
		c.assignments[ws] = old
	}
	return false
}

// staysPacked reports whether the guarantees stay packed after resources were taken at the nodes.
// It packs again if the present packing no longer fits.
func (c *cycle) staysPacked(s *savepoint, nodes []int, ws string, guaranteed bool) bool {
	intact := c.earmarksFit(nodes) && !c.packsLess(s, guaranteed)
	if intact && c.unpacked.tasks == 0 {
		return true
	}
	// Demands packed one at a time may miss a packing that exists, so pack all of them again.
	if c.repacks++; c.repacks <= maxRepacks {
		packing, u := c.packing, c.unpacked
		c.packAll()
		if !c.packsLess(s, guaranteed) {
			return true
		}
		if intact {
			c.setPacking(packing)
			c.unpacked = u
		}
	}
	// A guarantee that could not be packed as a whole before still serves the jobs that fit.
	return intact || guaranteed && s.unpacked.byWorkspace[ws] > 0
}

// releaseDisplaced counts the jobs that old covers and asg does not as reclaimable.
func (c *cycle) releaseDisplaced(old, asg *assignment) {
	for _, o := range old.charged {
		if old.covered[o.ID] && !asg.covered[o.ID] && !o.NoPreemptBefore.After(c.now) && o.Reclaimable() {
			c.addReclaimable(o)
		}
	}
}

// repackWorkspace replaces the workspace's packed demands by those that asg leaves unmet. Demands
// that are still unmet stay where they are packed.
func (c *cycle) repackWorkspace(ws string, asg *assignment) {
	c.unpacked.tasks -= c.unpacked.byWorkspace[ws]
	c.unpacked.byWorkspace[ws] = 0
	missing := asg.unmetDemands(nil)
	remaining := c.packing[:0:0]
	for _, p := range c.packing {
		if p.workspace == ws && !p.slots {
			k := slices.Index(missing, p.demand)
			if k < 0 {
				for _, i := range p.nodes {
					c.nodes[i].unearmark(p.shape.Task, false)
				}
				continue
			}
			missing = slices.Delete(missing, k, k+1)
		}
		remaining = append(remaining, p)
	}
	c.packing = remaining
	slices.SortStableFunc(missing, compareDemands)
	for k := range missing {
		c.packSameShape(missing[k : k+1])
	}
}

// earmarksFit reports whether the earmarked resources of the nodes are still available.
func (c *cycle) earmarksFit(nodes []int) bool {
	for _, i := range nodes {
		n := &c.nodes[i]
		if !n.earmarked.Fits(n.available()) || !n.earmarkedSlots.Fits(n.available().Sub(n.slowReclaimable)) {
			return false
		}
	}
	return true
}
