package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// demand is a shape that must stay claimable: the unmet part of a guaranteed gang, or the
// minimum slots of a service.
type demand struct {
	workspace string // empty for the slots of a service
	shape     structs.Shape
	slots     bool
}

// piece is a demand and the nodes that its tasks are packed on.
type packedDemand struct {
	demand
	nodes []int
}

// unpacked counts the tasks of demands that could not be packed.
type unpacked struct {
	tasks       int            // of guarantees
	slots       int            // of the services' minimum
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

// maxRepacks bounds the full packings of one decision. A start that needs one more waits
// for the next decision.
const maxRepacks = 12

// ensurePacked packs all unmet demands once per decision.
func (c *cycle) ensurePacked() {
	if !c.packedOnce {
		c.packedOnce = true
		c.packAll()
	}
}

// packAttempts is how many orders a packing tries. Each new order begins with the shapes
// that the one before could not pack.
const packAttempts = 4

// packAll packs every unmet guarantee and the minimum slots of the services into free,
// leaving and reclaimable room, the hardest shapes first and slots last.
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

// setPieces replaces the packing.
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

// packOrder packs the demands in their order, runs of equal shapes together.
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

// compareDemands orders demands by how hard they are to pack.
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

// packSame packs demands of one shape. Nodes are filled in the order of the tasks that
// they can hold, so that whole nodes stay together.
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

// packing places demands of one shape one after the other.
type shapePacker struct {
	c          *cycle
	shape      structs.Shape
	level      level
	counts     []int
	order      []int // nodes by count, for the worker and data centre levels
	pos        int
	rackTotals []int // tasks by rack, for the rack levels
}

// next returns the nodes for one more gang, or nil.
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
		spare       structs.Resources
	}
	keys := make([]key, 0, len(p.counts))
	for i, n := range p.counts {
		if n > 0 {
			keys = append(keys, key{n, i, p.c.nodes[i].unearmarked()})
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.count, b.count), compareSpare(a.spare, b.spare), cmp.Compare(a.node, b.node))
	})
	p.order = make([]int, len(keys))
	for k := range keys {
		p.order[k] = keys[k].node
	}
}

func compareSpare(a, b structs.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Processors, b.Processors))
}

// tightest returns the node that a single task or gang on one worker fills best, or nil.
// It spares the sort when only one is packed.
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

// compareNodes orders nodes by the tasks that they can hold, then by their spare room.
func (p *shapePacker) compareNodes(a, b int) int {
	if n := cmp.Compare(p.counts[a], p.counts[b]); n != 0 {
		return n
	}
	return compareSpare(p.c.nodes[a].unearmarked(), p.c.nodes[b].unearmarked())
}

// fill takes tasks from the nodes in order. It changes nothing if they do not suffice.
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

// nextRack picks the rack, or pair of racks, that the gang fills best.
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

// savepoint undoes a tentative change of nodes and packing.
type savepoint struct {
	nodes    []node
	packing  []packedDemand
	unpacked unpacked
	victims  int
}

// save makes a savepoint in a buffer: that of the outer search, or the inner one for a
// savepoint that is made during an outer search.
func (c *cycle) save(buffer *[]node) savepoint {
	*buffer = append((*buffer)[:0], c.nodes...)
	u := c.unpacked
	u.byWorkspace = maps.Clone(u.byWorkspace)
	return savepoint{nodes: *buffer, packing: slices.Clone(c.packing), unpacked: u, victims: len(c.victims)}
}

// worse reports whether more stays unpacked than at the savepoint. Work inside a guarantee
// may take the room of minimum slots, which are weaker.
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

// takeFixed takes room for good at the nodes if every unmet guarantee stays packed. m is
// the workspace's match with the job charged, or nil for a job outside its guarantee.
// Nothing changes if it returns false.
func (c *cycle) takeUnreclaimable(ws string, task structs.Resources, nodes []int, m *assignment) bool {
	c.ensurePacked()
	s := c.save(&c.buffers.innerSavepoint)
	old := c.assignments[ws]
	if m != nil {
		c.releaseDisplaced(old, m)
		c.assignments[ws] = m
		c.repackWorkspace(ws, m)
	}
	for _, i := range nodes {
		c.nodes[i].free = c.nodes[i].free.Sub(task)
	}
	if c.staysPacked(&s, nodes, ws, m != nil) {
		return true
	}
	c.restore(s)
	if old != nil {
		c.assignments[ws] = old
	}
	return false
}

// staysPacked reports whether the guarantees stay packed after room was taken at the
// nodes, if need be in a new packing.
func (c *cycle) staysPacked(s *savepoint, nodes []int, ws string, guaranteed bool) bool {
	intact := c.earmarksFit(nodes) && !c.packsLess(s, guaranteed)
	if intact && c.unpacked.tasks == 0 {
		return true
	}
	// Pieces added one by one may miss a packing that exists.
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
	// A guarantee that cannot be packed whole must still serve what it can.
	return intact || guaranteed && s.unpacked.byWorkspace[ws] > 0
}

// displace counts jobs that lost their charge as lent.
func (c *cycle) releaseDisplaced(old, m *assignment) {
	for _, o := range old.charged {
		if old.covered[o.ID] && !m.covered[o.ID] && !o.NoPreemptBefore.After(c.now) && o.Reclaimable() {
			c.addReclaimable(o)
		}
	}
}

// rematch replaces the workspace's pieces by those that m leaves unmet. Pieces whose
// shape is still unmet stay where they are.
func (c *cycle) repackWorkspace(ws string, m *assignment) {
	c.unpacked.tasks -= c.unpacked.byWorkspace[ws]
	c.unpacked.byWorkspace[ws] = 0
	missing := m.unmetDemands(nil)
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

// keptAt reports whether the room kept at the nodes is still there.
func (c *cycle) earmarksFit(nodes []int) bool {
	for _, i := range nodes {
		n := &c.nodes[i]
		if !n.earmarked.Fits(n.available()) || !n.earmarkedSlots.Fits(n.available().Sub(n.slowReclaimable)) {
			return false
		}
	}
	return true
}
