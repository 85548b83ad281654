package manifest

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Share is a part of a workspace's guarantee. Count is the number of shapes in the part.
type Share struct {
	Workspace string
	structs.Guarantee
}

// GuaranteeAssignment assigns guaranteed shapes to data centres.
type GuaranteeAssignment struct {
	Shares   map[string][]Share // by data centre, ordered by workspace and guarantee
	Unplaced []Share            // shapes that do not fit into any data centre in service
}

// Apportion returns the guaranteed shapes that each data centre in service must provide. The result
// depends only on m, so all instances compute the same one.
func Apportion(m structs.Manifest) map[string][]Share {
	return AssignGuarantees(m).Shares
}

// AssignGuarantees assigns the guaranteed shapes of m to the data centres that are in service. The
// home of each shape is chosen as if every data centre were in service, so it does not depend on
// stages. A shape whose home is not in service goes to the first data centre with room in an
// order given by rendezvous hashing. Other shapes are moved only if there is no room otherwise.
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
	// After a shape could not be placed, equal shapes are not tried. Otherwise the search for
	// shapes to move would be quadratic in the number of shapes that cannot be placed.
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
	id        string // key for rendezvous hashing
	shape     structs.Shape
	size      float64 // dominant share of the capacity of all fleets
	home      int     // index of the data centre, or -1
	workers   []int   // index of the worker of each task
}

// fleet is the capacity of one data centre during packing.
type fleet struct {
	name    string
	free    []structs.Resources // by worker, in rack order
	total   structs.Resources   // capacity of all workers
	unused  structs.Resources
	closed  bool           // not in service
	missing []MissingSlots // minimum slots of services that do not fit
}

// packing packs shapes into fleets. Within a data centre, each task goes to the first worker with
// room. Workers are ordered by rack, so the tasks of a gang are placed close together.
type packing struct {
	fleets []*fleet
}

func newPacking(m structs.Manifest) *packing {
	p := &packing{}
	for _, dc := range m.DataCentres {
		f := &fleet{name: dc.Name, total: dc.Fleet.Capacity.Mul(dc.Fleet.Workers)}
		f.unused = f.total
		for range dc.Fleet.Workers {
			f.free = append(f.free, dc.Fleet.Capacity)
		}
		f.reserveSlots(m.Services)
		p.fleets = append(p.fleets, f)
	}
	return p
}

// reserveSlots reserves the minimum slots of services, and records those for which there is no room.
func (f *fleet) reserveSlots(services []structs.Service) {
	for _, s := range services {
		missing := s.MinSlots
		for w := 0; w < len(f.free) && missing > 0; w++ {
			n := min(missing, s.SlotShape.CountIn(f.free[w]))
			f.free[w] = f.free[w].Sub(s.SlotShape.Mul(n))
			f.unused = f.unused.Sub(s.SlotShape.Mul(n))
			missing -= n
		}
		if missing > 0 {
			f.missing = append(f.missing, MissingSlots{DataCentre: f.name, Service: s.Name, Slots: missing})
		}
	}
}

// units returns every guaranteed shape of m, largest first.
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

// place assigns u to workers of data centre i. It reports false and changes nothing if u does not
// fit or the data centre is not in service.
func (p *packing) place(u *unit, i int) bool {
	f := p.fleets[i]
	if f.closed || !u.shape.Total().Fits(f.unused) {
		return false
	}
	var workers []int
	for w := 0; w < len(f.free) && len(workers) < u.shape.Tasks; w++ {
		n := min(u.shape.Task.CountIn(f.free[w]), u.shape.Tasks-len(workers))
		for range n {
			workers = append(workers, w)
		}
	}
	if len(workers) < u.shape.Tasks {
		return false
	}
	for _, w := range workers {
		f.free[w] = f.free[w].Sub(u.shape.Task)
	}
	f.unused = f.unused.Sub(u.shape.Total())
	u.home, u.workers = i, workers
	return true
}

// remove releases the workers of u.
func (p *packing) remove(u *unit) {
	f := p.fleets[u.home]
	for _, w := range u.workers {
		f.free[w] = f.free[w].Add(u.shape.Task)
	}
	f.unused = f.unused.Add(u.shape.Total())
	u.home, u.workers = -1, nil
}

// placeHomes distributes the shapes of each guarantee evenly over data centres, so that the loss of
// one affects as few shapes of a guarantee as possible.
func (p *packing) placeHomes(units []*unit) {
	type key struct{ workspace, guarantee int }
	placed := map[key][]int{}          // number of placed shapes by data centre
	failed := map[structs.Shape]bool{} // room only decreases, so equal shapes do not fit either
	order := make([]int, len(p.fleets))
	for i := range order {
		order[i] = i
	}
	for _, u := range units {
		if failed[u.shape] {
			continue
		}
		k := key{u.workspace, u.guarantee}
		if placed[k] == nil {
			placed[k] = make([]int, len(p.fleets))
		}
		rank := slices.Clone(order)
		slices.SortStableFunc(rank, func(a, b int) int {
			return cmp.Or(cmp.Compare(placed[k][a], placed[k][b]), cmp.Compare(p.used(a), p.used(b)),
				cmp.Compare(p.fleets[a].name, p.fleets[b].name))
		})
		for _, i := range rank {
			if p.place(u, i) {
				placed[k][i]++
				break
			}
		}
		failed[u.shape] = u.home < 0
	}
}

// used returns the dominant share of data centre i's capacity that is in use.
func (p *packing) used(i int) float64 {
	f := p.fleets[i]
	return f.total.Sub(f.unused).DominantShare(f.total)
}

// placeRanked places u in the first data centre with room in its rendezvous order. The order does
// not depend on stages.
func (p *packing) placeRanked(u *unit) bool {
	for _, i := range p.ranked(u) {
		if p.place(u, i) {
			return true
		}
	}
	return false
}

// ranked returns all data centres in the rendezvous order of u.
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

// placeByMove makes room for u by moving one other shape that still fits afterwards. It tries data
// centres in the rendezvous order of u, and the shapes in each from the smallest to the largest.
func (p *packing) placeByMove(u *unit, units []*unit) bool {
	for _, i := range p.ranked(u) {
		if p.fleets[i].closed {
			continue
		}
		for _, candidate := range slices.Backward(units) {
			if candidate.home != i || candidate == u {
				continue
			}
			p.remove(candidate)
			if p.place(u, i) {
				if p.placeRanked(candidate) {
					return true
				}
				p.remove(u)
			}
			p.place(candidate, i)
		}
	}
	return false
}

// result returns the shapes of each guarantee by data centre.
func (p *packing) result(m structs.Manifest, units []*unit) GuaranteeAssignment {
	a := GuaranteeAssignment{Shares: map[string][]Share{}}
	for i, dc := range m.DataCentres {
		if !p.fleets[i].closed {
			a.Shares[dc.Name] = sharesOf(m, units, i)
		}
	}
	a.Unplaced = sharesOf(m, units, -1)
	return a
}

// sharesOf returns the shapes assigned to data centre home as shares; -1 stands for no data centre.
func sharesOf(m structs.Manifest, units []*unit, home int) []Share {
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
