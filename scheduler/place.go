package scheduler

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// maxFutureShapes limits the histogram of shapes by which placements are scored.
	maxFutureShapes = 8
	// taskLossWeight is the weight of the lost tasks of a gang relative to a lost whole gang.
	taskLossWeight = 0.25
	// leftoverWeight breaks ties in favour of the worker with the least free resources.
	leftoverWeight = 1e-4
)

// futureShape is a shape that may be requested later.
type futureShape struct {
	shape      structs.Shape
	level      level
	weight     float64 // share of the histogram
	counts     []int   // tasks that fit into the free resources of each node
	rackCounts []int   // tasks that fit into the free resources of each rack
}

// shapeHistogram returns the most frequent shapes among the guarantees and the queued jobs, with
// the number of tasks of each that fit into the free resources.
func (c *cycle) shapeHistogram() []futureShape {
	weights := map[structs.Shape]float64{}
	for i := range c.d.Guarantees {
		g := &c.d.Guarantees[i]
		weights[g.Shape] += float64(g.Count)
	}
	for _, j := range c.d.Queue[:min(len(c.d.Queue), c.opts.ScanLimit)] {
		weights[j.Shape]++
	}
	out := make([]futureShape, 0, len(weights))
	total := 0.0
	for s, w := range weights {
		total += w
		out = append(out, futureShape{shape: s, weight: w})
	}
	slices.SortFunc(out, func(a, b futureShape) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareShapes(b.shape, a.shape))
	})
	out = out[:min(len(out), maxFutureShapes)]
	for k := range out {
		f := &out[k]
		f.weight /= total
		f.level = c.levelOf(f.shape)
		f.counts = make([]int, len(c.nodes))
		f.rackCounts = make([]int, len(c.racks))
		for i := range c.nodes {
			f.counts[i] = f.shape.Task.CountIn(c.nodes[i].free)
			f.rackCounts[c.nodes[i].rack] += f.counts[i]
		}
	}
	return out
}

func compareShapes(a, b structs.Shape) int {
	return cmp.Or(
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.Task.Accelerators, b.Task.Accelerators),
		cmp.Compare(a.Task.Slots, b.Task.Slots),
		cmp.Compare(a.Task.Processors, b.Task.Processors),
		cmp.Compare(a.Task.MemoryMB, b.Task.MemoryMB),
		compareBool(a.Adjacent, b.Adjacent),
	)
}

// updateHistogram updates the counts after the free resources of the nodes have changed.
func (c *cycle) updateHistogram(nodes []int) {
	for k := range c.futureShapes {
		f := &c.futureShapes[k]
		for _, i := range nodes {
			n := f.shape.Task.CountIn(c.nodes[i].free)
			f.rackCounts[c.nodes[i].rack] += n - f.counts[i]
			f.counts[i] = n
		}
	}
}

// nodeLoss returns the weighted loss of placements of future shapes if count tasks are placed on
// the node.
func (c *cycle) nodeLoss(i int, task structs.Resources, count int) float64 {
	n := &c.nodes[i]
	after := n.free.Sub(task.Mul(count))
	loss := leftoverWeight * after.DominantShare(n.w.Worker.Capacity)
	for k := range c.futureShapes {
		f := &c.futureShapes[k]
		lost := f.counts[i] - f.shape.Task.CountIn(after)
		if lost <= 0 {
			continue
		}
		loss += f.weight * taskLossWeight * float64(lost) / float64(f.shape.Tasks)
		switch f.level {
		case levelRack, levelRackPair:
			// Approximation: for a pair of racks, only the rack of the node is counted.
			have := f.rackCounts[n.rack]
			gangs := have/f.shape.Tasks - (have-lost)/f.shape.Tasks
			loss += f.weight * float64(gangs)
		case levelWorker:
			gangs := f.counts[i]/f.shape.Tasks - (f.counts[i]-lost)/f.shape.Tasks
			loss += f.weight * float64(gangs)
		default:
			loss += f.weight * float64(lost) / float64(f.shape.Tasks)
		}
	}
	return loss
}

// candidate is a node with the number of tasks that it can take and the loss per task.
type candidate struct {
	node, count int
	loss        float64
}

// place finds nodes for the whole gang within one domain of its level, with the least loss of future
// shapes. The function available returns the resources of a node that may be used.
func (c *cycle) place(s structs.Shape, available func(*node) structs.Resources) ([]int, bool) {
	l := c.levelOf(s)
	if l == levelNone {
		return nil, false
	}
	counts := make([]int, len(c.nodes))
	total := 0
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			counts[i] = min(s.Task.CountIn(available(n)), s.Tasks)
			total += counts[i]
		}
	}
	if total < s.Tasks {
		return nil, false
	}
	losses := lossCache{c: c, task: s.Task, losses: map[lossKey]float64{}}
	var best []int
	bestLoss := 0.0
	c.domains(l, func(r span) bool {
		nodes, loss := c.fillDomain(s, r, counts, &losses)
		if nodes != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = nodes, loss
		}
		return true
	})
	return best, best != nil
}

// fillDomain picks the nodes of the domain with the least loss per task and returns them with their
// loss. It returns nil if the domain cannot hold the gang.
func (c *cycle) fillDomain(s structs.Shape, r span, counts []int, losses *lossCache) ([]int, float64) {
	sum := 0
	for i := r.lo; i < r.hi; i++ {
		sum += counts[i]
	}
	if sum < s.Tasks {
		return nil, 0
	}
	list := losses.list[:0]
	for i := r.lo; i < r.hi; i++ {
		if counts[i] > 0 {
			list = append(list, candidate{node: i, count: counts[i], loss: losses.get(i, counts[i]) / float64(counts[i])})
		}
	}
	losses.list = list
	if len(list) > 1 {
		slices.SortFunc(list, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.count, a.count), cmp.Compare(a.node, b.node))
		})
	}
	nodes := make([]int, 0, s.Tasks)
	loss := 0.0
	for _, k := range list {
		n := min(k.count, s.Tasks-len(nodes))
		loss += losses.get(k.node, n)
		for range n {
			nodes = append(nodes, k.node)
		}
		if len(nodes) == s.Tasks {
			break
		}
	}
	return nodes, loss
}

// lossKey identifies nodes with the same loss within one call of place.
type lossKey struct {
	free        structs.Resources
	rack, count int
}

// lossCache caches the losses of one call of place. Most nodes of a rack have the same key.
type lossCache struct {
	c      *cycle
	task   structs.Resources
	losses map[lossKey]float64
	list   []candidate
}

func (l *lossCache) get(i, count int) float64 {
	n := &l.c.nodes[i]
	key := lossKey{n.free, n.rack, count}
	loss, ok := l.losses[key]
	if !ok {
		loss = l.c.nodeLoss(i, l.task, count)
		l.losses[key] = loss
	}
	return loss
}
