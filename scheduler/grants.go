package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// holder is an entry instance's demand for the slots of a service, and its grants.
type holder struct {
	instance string
	wanted   int
	held     int // excludes grants that are being revoked
	grants   []*state.Grant
}

// readGrants collects grants, services and slot demands. Grants and services are sorted, so that
// decisions do not depend on map order.
func (c *cycle) readGrants() {
	for _, g := range c.d.Grants {
		c.grants = append(c.grants, g)
	}
	slices.SortFunc(c.grants, func(a, b *state.Grant) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range c.d.Services {
		c.services = append(c.services, s)
		c.hasMinSlots = c.hasMinSlots || s.MinSlots > 0
	}
	slices.SortFunc(c.services, func(a, b structs.Service) int { return cmp.Compare(a.Name, b.Name) })
	c.holders = map[string][]*holder{}
	for _, n := range c.d.Demands {
		c.holders[n.Service] = append(c.holders[n.Service], &holder{instance: n.Instance, wanted: n.Wanted})
	}
	for _, g := range c.grants {
		if h := c.holder(g.Service, g.Instance); h != nil && !g.Revoking {
			h.held += g.Slots
			h.grants = append(h.grants, g)
		}
	}
}

func (c *cycle) holder(service, instance string) *holder {
	for _, h := range c.holders[service] {
		if h.instance == instance {
			return h
		}
	}
	return nil
}

// grantMinimum grants each service its minimum slots. It runs after the urgent jobs inside their
// guarantee are placed and before all other jobs.
func (c *cycle) grantMinimum() {
	for i := range c.services {
		s := &c.services[i]
		c.grantUpTo(s, s.MinSlots)
		if held, wanted := c.heldAndWanted(s.Name); held < min(s.MinSlots, wanted) {
			c.reclaimSlots(s, min(s.MinSlots, wanted)-held)
		}
	}
}

// grantDemands grants the slots that are free after the placement of jobs. It also revokes slots
// from holders with more than their share while others have too few.
func (c *cycle) grantDemands() {
	for i := range c.services {
		s := &c.services[i]
		_, wanted := c.heldAndWanted(s.Name)
		c.grantUpTo(s, wanted)
		c.rebalance(s)
	}
}

func (c *cycle) heldAndWanted(service string) (held, wanted int) {
	for _, h := range c.holders[service] {
		held += min(h.held, h.wanted)
		wanted += h.wanted
	}
	return held, wanted
}

// grantUpTo grants free slots until the holders of the service have limit slots in total. Each slot
// goes to the holder that has the fewest and wants more.
func (c *cycle) grantUpTo(s *structs.Service, limit int) {
	list := c.holders[s.Name]
	held, _ := c.heldAndWanted(s.Name)
	if len(list) == 0 || held >= limit || s.SlotShape.Slots <= 0 {
		return
	}
	granted := map[grantKey]int{}
	var order []grantKey
	for ; held < limit; held++ {
		h := fewestSlots(list)
		if h == nil || c.ramping && !s.SlotShape.Fits(c.rampLeft) {
			break
		}
		i, ok := c.slotNode(s, h, granted)
		if !ok {
			break
		}
		c.nodes[i].takeReclaimable(s.SlotShape)
		c.rampLeft = c.rampLeft.Sub(s.SlotShape)
		c.updateHistogram([]int{i})
		h.held++
		key := grantKey{h.instance, i}
		if granted[key]++; granted[key] == 1 {
			order = append(order, key)
		}
	}
	for _, key := range order {
		c.addAction(structs.Action{
			Kind: structs.ActionGrant, Instance: key.instance, Service: s.Name, Worker: c.nodes[key.node].w.ID, Slots: granted[key],
			Reason: fmt.Sprintf("slots of %s: %d of at least %d held", s.Name, held, s.MinSlots),
		})
	}
}

// grantKey identifies a grant planned in this decision.
type grantKey struct {
	instance string
	node     int
}

// fewestSlots returns the holder with the fewest slots among those that want more, or nil.
func fewestSlots(list []*holder) *holder {
	var best *holder
	for _, h := range list {
		if h.held < h.wanted && (best == nil || h.held < best.held) {
			best = h
		}
	}
	return best
}

// slotNode returns the node with the least loss of future shapes for one more slot. It limits the slots
// that this decision grants to a holder on one node to half of what the holder wants, so that a retried
// request finds a slot on another worker.
func (c *cycle) slotNode(s *structs.Service, h *holder, granted map[grantKey]int) (int, bool) {
	maxPerNode := max((h.wanted+1)/2, 1)
	best, bestLoss := -1, 0.0
	losses := lossCache{c: c, task: s.SlotShape, losses: map[lossKey]float64{}}
	for i := range c.nodes {
		n := &c.nodes[i]
		if !n.usable || !s.SlotShape.Fits(n.free) || granted[grantKey{h.instance, i}] >= maxPerNode {
			continue
		}
		if !s.SlotShape.Fits(c.limitByReservations(n.free, i, allReservations)) {
			continue
		}
		if loss := losses.get(i, 1); best < 0 || loss < bestLoss {
			best, bestLoss = i, loss
		}
	}
	return best, best >= 0
}

// reclaimSlots preempts jobs outside guarantees for the missing minimum slots of a service. Free and
// releasing resources are deducted from the missing slots first.
func (c *cycle) reclaimSlots(s *structs.Service, missing int) {
	for i := range c.nodes {
		if n := &c.nodes[i]; n.usable {
			missing -= s.SlotShape.CountIn(n.free.Add(n.releasing))
		}
	}
	claimant := "service/" + s.Name
	shape := structs.Shape{Tasks: 1, Task: s.SlotShape}
	for ; missing > 0; missing-- {
		best, found := reclaimOption{}, false
		for i := range c.nodes {
			o, ok := c.victimsFor(shape, span{i, i + 1}, func(v *victim) bool { return v.job != nil && c.reclaimsQuickly(&v.job.Job) })
			if ok && len(o.victims) > 0 && (!found || o.cost < best.cost) {
				best, found = o, true
			}
		}
		if !found {
			return
		}
		c.takeVictims(best.victims, 1)
		for _, id := range best.victims {
			c.wakeBy(c.evict(&c.victims[id], claimant))
		}
	}
}

// rebalance revokes grants that exceed what their holder wants. It also revokes at most one grant whose
// holder, without it, still has at least as many slots as the holder with the fewest would have with it.
func (c *cycle) rebalance(s *structs.Service) {
	list := c.holders[s.Name]
	if len(list) == 0 {
		return
	}
	lowest := fewestSlots(list)
	for _, h := range list {
		for _, g := range h.grants {
			surplus := h.held-g.Slots >= h.wanted
			unfair := lowest != nil && h.held-g.Slots >= lowest.held+g.Slots
			if !surplus && !unfair {
				continue
			}
			h.held -= g.Slots
			c.addAction(structs.Action{
				Kind: structs.ActionRevoke, GrantID: g.ID, Instance: g.Instance, Worker: g.Worker, Service: s.Name, Slots: g.Slots,
				Reason: fmt.Sprintf("%s holds more slots of %s than its share", h.instance, s.Name),
			})
			if unfair {
				return
			}
		}
	}
}
