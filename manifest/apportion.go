package manifest

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Share is a part of a workspace's guarantee: Count is the number of shapes of the part.
type Share struct {
	Workspace string
	structs.Guarantee
}

// GuaranteeAssignment assigns guaranteed shapes to data centres.
type GuaranteeAssignment struct {
	Shares   map[string][]Share // by data centre, ordered by workspace and guarantee
	Unplaced []Share            // shapes that fit into no data centre in service
}

// Apportion returns the guaranteed shapes that each data centre in service must honour.
// It is a pure function of m.
func Apportion(m structs.Manifest) map[string][]Share {
	return AssignGuarantees(m).Shares
}

// AssignGuarantees apportions the guarantees of m under its stages. The home of each shape is
// chosen as if every data centre were in service, so it does not depend on stages.
// Shapes whose home is not in service go to a data centre that has room, in an order
// given by rendezvous hashing; other shapes move only when there is no room otherwise.
func AssignGuarantees(m structs.Manifest) GuaranteeAssignment {
	p := newPacking(m)
	units := p.units(m)
	p.placeHomes(units)
	for i, dc := range m.DataCentres {
		if dc.Stage.AllowsStarts() {
			continue
		}
		p.fleets[i].closed = true
		for _, u := range units {
			if u.home == i {
				u.home = -1
			}
		}
	}
	// A shape that found no place is not tried again for equal shapes: the search for a
	// shape to move would otherwise grow with the square of what cannot be placed.
	failed := map[structs.Shape]bool{}
	for _, u := range units {
		if u.home < 0 && !failed[u.shape] {
			failed[u.shape] = !p.placeRanked(u) && !p.placeByMove(u, units)
		}
	}
	return p.result(m, units)
}

// unit is one guaranteed shape.
type unit struct {
	workspace int
	guarantee int
	id        string // names the shape, for rendezvous hashing
	shape     structs.Shape
	size      float64
	home      int // data centre, or -1
	tasks     []int
}

// fleet is the room of one data centre while shapes are packed.
type fleet struct {
	name    string
	free    []structs.Resources // by worker, in rack order
	total   structs.Resources
	left    structs.Resources
	closed  bool
	missing []MissingSlots
}

// packing packs shapes into fleets. Within a data centre each task goes to the first
// worker that has room, in order of workers and racks, which keeps gangs together.
type packing struct {
	fleets []*fleet
}

func newPacking(m structs.Manifest) *packing {
	p := &packing{}
	for _, dc := range m.DataCentres {
		f := &fleet{name: dc.Name, total: dc.Fleet.Capacity.Mul(dc.Fleet.Workers)}
		f.left = f.total
		for range dc.Fleet.Workers {
			f.free = append(f.free, dc.Fleet.Capacity)
		}
		f.keepSlots(m.Services)
		p.fleets = append(p.fleets, f)
	}
	return p
}

// keepSlots takes the slots that services keep in each data centre, and notes the
// services for which there is no room.
func (f *fleet) keepSlots(services []structs.Service) {
	for _, s := range services {
		missing := s.MinSlots
		for w := 0; w < len(f.free) && missing > 0; w++ {
			n := min(missing, s.SlotShape.CountIn(f.free[w]))
			f.free[w] = f.free[w].Sub(s.SlotShape.Mul(n))
			f.left = f.left.Sub(s.SlotShape.Mul(n))
			missing -= n
		}
		if missing > 0 {
			f.missing = append(f.missing, MissingSlots{DataCentre: f.name, Service: s.Name, Slots: missing})
		}
	}
}

// units returns every guaranteed shape of m, the largest first.
func (p *packing) units(m structs.Manifest) []*unit {
	var total structs.Resources
	for _, f := range p.fleets {
		total = total.Add(f.total)
	}
	var units []*unit
	for w, ws := range m.Workspaces {
		for g, gt := range ws.Guarantees {
			for i := range gt.Count {
				units = append(units, &unit{workspace: w, guarantee: g, shape: gt.Shape,
					id: fmt.Sprintf("%s/%s/%d", ws.Name, gt.Name, i), size: gt.Shape.Total().DominantShare(total), home: -1})
			}
		}
	}
	slices.SortStableFunc(units, func(a, b *unit) int { return cmp.Compare(b.size, a.size) })
	return units
}

// place puts u on the workers of data centre i, or reports false and changes nothing.
func (p *packing) place(u *unit, i int) bool {
	f := p.fleets[i]
	if f.closed || !u.shape.Total().Fits(f.left) {
		return false
	}
	var tasks []int
	for w := 0; w < len(f.free) && len(tasks) < u.shape.Tasks; w++ {
		n := min(u.shape.Task.CountIn(f.free[w]), u.shape.Tasks-len(tasks))
		for range n {
			tasks = append(tasks, w)
		}
	}
	if len(tasks) < u.shape.Tasks {
		return false
	}
	for _, w := range tasks {
		f.free[w] = f.free[w].Sub(u.shape.Task)
	}
	f.left = f.left.Sub(u.shape.Total())
	u.home, u.tasks = i, tasks
	return true
}

// remove takes u off its workers.
func (p *packing) remove(u *unit) {
	f := p.fleets[u.home]
	for _, w := range u.tasks {
		f.free[w] = f.free[w].Add(u.shape.Task)
	}
	f.left = f.left.Add(u.shape.Total())
	u.home, u.tasks = -1, nil
}

// placeHomes spreads the shapes of each guarantee evenly, so that the loss of one data
// centre takes as few shapes of a guarantee as possible.
func (p *packing) placeHomes(units []*unit) {
	type key struct{ workspace, guarantee int }
	held := map[key][]int{}
	failed := map[structs.Shape]bool{} // room only shrinks, so equal shapes fail too
	order := make([]int, len(p.fleets))
	for i := range order {
		order[i] = i
	}
	for _, u := range units {
		if failed[u.shape] {
			continue
		}
		k := key{u.workspace, u.guarantee}
		if held[k] == nil {
			held[k] = make([]int, len(p.fleets))
		}
		rank := slices.Clone(order)
		slices.SortStableFunc(rank, func(a, b int) int {
			return cmp.Or(cmp.Compare(held[k][a], held[k][b]), cmp.Compare(p.used(a), p.used(b)),
				cmp.Compare(p.fleets[a].name, p.fleets[b].name))
		})
		for _, i := range rank {
			if p.place(u, i) {
				held[k][i]++
				break
			}
		}
		failed[u.shape] = u.home < 0
	}
}

// used returns the part of data centre i that is taken.
func (p *packing) used(i int) float64 {
	f := p.fleets[i]
	return f.total.Sub(f.left).DominantShare(f.total)
}

// placeRanked puts u into the first data centre with room in its rendezvous order,
// which a change of other data centres' stages does not alter.
func (p *packing) placeRanked(u *unit) bool {
	for _, i := range p.ranked(u) {
		if p.place(u, i) {
			return true
		}
	}
	return false
}

func (p *packing) ranked(u *unit) []int {
	weights := make([]uint64, len(p.fleets))
	rank := make([]int, len(p.fleets))
	for i, f := range p.fleets {
		rank[i] = i
		weights[i] = xxhash.Sum64String(u.id + "/" + f.name)
	}
	slices.SortFunc(rank, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return rank
}

// placeByMove makes room for u by moving one other shape, the smallest that suffices.
func (p *packing) placeByMove(u *unit, units []*unit) bool {
	for _, i := range p.ranked(u) {
		if p.fleets[i].closed {
			continue
		}
		for _, victim := range slices.Backward(units) {
			if victim.home != i || victim == u {
				continue
			}
			p.remove(victim)
			if p.place(u, i) {
				if p.placeRanked(victim) {
					return true
				}
				p.remove(u)
			}
			p.place(victim, i)
		}
	}
	return false
}

// result counts the shapes of each guarantee by data centre.
func (p *packing) result(m structs.Manifest, units []*unit) GuaranteeAssignment {
	a := GuaranteeAssignment{Shares: map[string][]Share{}}
	for i, dc := range m.DataCentres {
		if !p.fleets[i].closed {
			a.Shares[dc.Name] = collect(m, units, i)
		}
	}
	a.Unplaced = collect(m, units, -1)
	return a
}

func collect(m structs.Manifest, units []*unit, home int) []Share {
	counts := map[[2]int]int{}
	for _, u := range units {
		if u.home == home {
			counts[[2]int{u.workspace, u.guarantee}]++
		}
	}
	var shares []Share
	for w, ws := range m.Workspaces {
		for g, gt := range ws.Guarantees {
			if n := counts[[2]int{w, g}]; n > 0 {
				gt.Count = n
				shares = append(shares, Share{Workspace: ws.Name, Guarantee: gt})
			}
		}
	}
	return shares
}
