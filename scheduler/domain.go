package scheduler

import (
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// span is the range of node indexes [lo, hi). Nodes are ordered by rack, so every domain is a span.
type span struct{ lo, hi int }

// level is the topology level within which the tasks of a gang must be placed.
type level int

// The levels, from the narrowest to the widest.
const (
	levelWorker level = iota
	levelRack
	levelRackPair // two racks with consecutive numbers
	levelDataCentre
	levelNone // no domain can hold the shape
)

func (l level) String() string {
	return [...]string{"worker", "rack", "neighbouring racks", "data centre", "none"}[l]
}

// buildDomains fills racks and pairs with the racks and the pairs of racks with consecutive numbers.
func (c *cycle) buildDomains() {
	for i := range c.nodes {
		if i == 0 || c.nodes[i].w.Rack != c.nodes[i-1].w.Rack {
			c.racks = append(c.racks, span{i, i})
		}
		r := len(c.racks) - 1
		c.racks[r].hi = i + 1
		c.nodes[i].rack = r
	}
	for r := 1; r < len(c.racks); r++ {
		a, b := c.racks[r-1], c.racks[r]
		if c.nodes[b.lo].w.Rack == c.nodes[a.lo].w.Rack+1 {
			c.pairs = append(c.pairs, span{a.lo, b.hi})
		}
	}
}

// domains calls f for each domain of the level until f returns false.
func (c *cycle) domains(l level, f func(span) bool) {
	var list []span
	switch l {
	case levelWorker:
		for i := range c.nodes {
			if !f(span{i, i + 1}) {
				return
			}
		}
		return
	case levelRack:
		list = c.racks
	case levelRackPair:
		list = c.pairs
	case levelDataCentre:
		f(span{0, len(c.nodes)})
		return
	}
	for _, s := range list {
		if !f(s) {
			return
		}
	}
}

// levelOf returns the narrowest level with a domain that can hold the shape when idle. A gang of several
// tasks that need not be adjacent is placed at the level of the data centre.
func (c *cycle) levelOf(s structs.Shape) level {
	if l, ok := c.levels[s]; ok {
		return l
	}
	l := levelNone
	prefix := c.capacityPrefix(s.Task)
	for try := levelWorker; try <= levelDataCentre && l == levelNone; try++ {
		if !s.Adjacent && s.Tasks > 1 && try != levelDataCentre {
			continue
		}
		c.domains(try, func(r span) bool {
			if prefix[r.hi]-prefix[r.lo] >= s.Tasks {
				l = try
			}
			return l == levelNone
		})
	}
	c.levels[s] = l
	return l
}

// capacityPrefix returns the prefix sums of the number of tasks that the nodes can hold when idle.
// Leaving workers are not counted, because they take no new work.
func (c *cycle) capacityPrefix(task structs.Resources) []int {
	prefix := make([]int, len(c.nodes)+1)
	var last structs.Resources
	count := 0
	for i := range c.nodes {
		w := c.nodes[i].w
		if w.Worker.Capacity != last {
			last = w.Worker.Capacity
			count = task.CountIn(last)
		}
		prefix[i+1] = prefix[i]
		if !w.Leaving {
			prefix[i+1] += count
		}
	}
	return prefix
}
