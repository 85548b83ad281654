package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// The oracle computes its results from the state alone, without the scheduler's packing or domains.
//
// Each of its rules has been verified by fault injection: with the fixed seed, the rule fails when the
// scheduler is changed as follows:
//   - capacity: place counts one task more than fits;
//   - whole gangs: placements drops the last task;
//   - smallest domain: place searches the data centre instead of the shape's level;
//   - stage: planDrain runs only when the data centre is out, not when it is draining;
//   - usable workers: holds are ignored;
//   - guarantee invariant: starts that cannot be reclaimed ignore earmarked resources, or
//     staysPacked always returns true, or the resources of claims are not reserved;
//   - victims: canReclaim does not check Reclaimable, or does not check the cooldown;
//   - unneeded victims: victimsFor does not prune;
//   - urgent jobs: reclaim refuses urgent jobs;
//   - determinism: grants are read in map order.
//
// No injected fault fails the rule that victims are outside their guarantee: counting jobs inside a
// guarantee as reclaimable violates the guarantee invariant first.

// oracleLevels lists, by level from the narrowest, the sets of workers in which an adjacent gang
// may be placed.
func oracleLevels(d *state.DataCentre) [][][]*state.Worker {
	var worker, rack, pair [][]*state.Worker
	byRack := map[int][]*state.Worker{}
	for _, w := range d.SortedWorkers {
		worker = append(worker, []*state.Worker{w})
		byRack[w.Rack] = append(byRack[w.Rack], w)
	}
	for r, list := range byRack {
		rack = append(rack, list)
		if next := byRack[r+1]; next != nil {
			pair = append(pair, slices.Concat(list, next))
		}
	}
	return [][][]*state.Worker{worker, rack, pair, {d.SortedWorkers}}
}

// oracleDomains returns the domains of the narrowest level that can hold the shape when idle.
func oracleDomains(d *state.DataCentre, s structs.Shape) [][]*state.Worker {
	levels := oracleLevels(d)
	if !s.Adjacent {
		return levels[3]
	}
	for _, domains := range levels {
		for _, domain := range domains {
			n := 0
			for _, w := range domain {
				if !w.Leaving {
					n += s.Task.CountIn(w.Worker.Capacity)
				}
			}
			if n >= s.Tasks {
				return domains
			}
		}
	}
	return nil
}

// oracleUsage is a guarantee with the tasks and resources of each gang that charged jobs do not use.
type oracleUsage struct {
	guarantee   state.Guarantee
	unusedTasks []int
	remainders  []structs.Resources
}

// charge charges the shape to the guarantee if it fits.
func (u *oracleUsage) charge(s structs.Shape) bool {
	unit := u.guarantee.Shape.Task
	per := s.Task.CountIn(unit)
	if per == 0 {
		return false
	}
	if s.Adjacent {
		if s.Tasks <= per {
			s = structs.Shape{Tasks: 1, Task: s.Total()}
			per = 1
		} else if !u.guarantee.Shape.Adjacent {
			return false
		} else {
			need, best := (s.Tasks+per-1)/per, -1
			for i, n := range u.unusedTasks {
				if n >= need && (best < 0 || n < u.unusedTasks[best]) {
					best = i
				}
			}
			if best < 0 {
				return false
			}
			u.unusedTasks[best] -= need
			u.addRemainders(s, per, s.Tasks)
			return true
		}
	}
	have := 0
	for _, r := range u.remainders {
		have += s.Task.CountIn(r)
	}
	for _, n := range u.unusedTasks {
		have += n * per
	}
	if have < s.Tasks {
		return false
	}
	need := s.Tasks
	for i := range u.remainders {
		n := min(need, s.Task.CountIn(u.remainders[i]))
		u.remainders[i] = u.remainders[i].Sub(s.Task.Mul(n))
		need -= n
	}
	u.addRemainders(s, per, need)
	for i := range u.unusedTasks {
		for ; u.unusedTasks[i] > 0 && need > 0; need -= per {
			u.unusedTasks[i]--
		}
	}
	return true
}

func (u *oracleUsage) addRemainders(s structs.Shape, per, tasks int) {
	for ; tasks > 0; tasks -= per {
		u.remainders = append(u.remainders, u.guarantee.Shape.Task.Sub(s.Task.Mul(min(per, tasks))))
	}
}

// claimOf returns the claim of a queued job inside its guarantee, or nil. A claim with a worker
// that takes no new work is no longer valid.
func claimOf(d *state.DataCentre, j *state.Job, now time.Time) *state.Reservation {
	for i := range d.Reservations {
		r := &d.Reservations[i]
		if r.Guaranteed && r.Job == j.ID && j.Status == state.Queued && !slices.ContainsFunc(r.Placements, func(p structs.Placement) bool {
			w := d.Workers[p.Worker]
			return w == nil || !w.Usable() || onHold(w, now)
		}) {
			return r
		}
	}
	return nil
}

// oracleWholeShape reports whether the job requests a whole shape of any guarantee of its workspace.
func oracleWholeShape(d *state.DataCentre, j *state.Job) bool {
	return slices.ContainsFunc(d.Guarantees, func(g state.Guarantee) bool {
		one := j.Shape.Task.CountIn(g.Shape.Task) == 1 && j.Shape.Tasks == g.Shape.Tasks
		return one && g.Workspace == j.Workspace && (g.Shape.Adjacent || !j.Shape.Adjacent)
	})
}

// oracleCharge assigns the charged jobs of a workspace to its guarantees, the largest first. If not
// all fit that way, jobs that may not be displaced come first.
func oracleCharge(d *state.DataCentre, ws string, now time.Time) ([]oracleUsage, map[string]bool) {
	var jobs []*state.Job
	for _, j := range d.Jobs {
		running := j.Guaranteed && !j.Cancelled && (j.Status == state.Running || j.Status == state.Starting)
		if j.Workspace == ws && (running || claimOf(d, j, now) != nil) {
			jobs = append(jobs, j)
		}
	}
	size := func(j *state.Job) string {
		t := j.Shape.Total()
		return fmt.Sprintf("%04d %04d %s", 9999-t.Accelerators, 9999-t.Slots, j.ID)
	}
	byDisplacement := func(j *state.Job) string {
		return fmt.Sprintf("%t %t %t %d %s", j.Reclaimable(), !j.Urgent, !oracleWholeShape(d, j), j.Class, size(j))
	}
	usages, in := oracleAssign(d, ws, jobs, size)
	if len(in) < len(jobs) {
		usages, in = oracleAssign(d, ws, jobs, byDisplacement)
	}
	return usages, in
}

func oracleAssign(d *state.DataCentre, ws string, jobs []*state.Job, key func(*state.Job) string) ([]oracleUsage, map[string]bool) {
	var usages []oracleUsage
	for _, g := range d.Guarantees {
		if g.Workspace == ws {
			usages = append(usages, oracleUsage{guarantee: g, unusedTasks: slices.Repeat([]int{g.Shape.Tasks}, g.Count)})
		}
	}
	slices.SortFunc(jobs, func(a, b *state.Job) int { return cmp.Compare(key(a), key(b)) })
	in := map[string]bool{}
	for _, j := range jobs {
		for i := range usages {
			if usages[i].charge(j.Shape) {
				in[j.ID] = true
				break
			}
		}
	}
	return usages, in
}

// oracleUnmet lists the shapes that the workspaces can still claim, and the jobs that are inside their
// guarantee.
func oracleUnmet(d *state.DataCentre, now time.Time) ([]structs.Shape, map[string]bool) {
	var out []structs.Shape
	inside := map[string]bool{}
	var seen []string
	for _, g := range d.Guarantees {
		if slices.Contains(seen, g.Workspace) {
			continue
		}
		seen = append(seen, g.Workspace)
		usages, in := oracleCharge(d, g.Workspace, now)
		for id, ok := range in {
			inside[id] = ok
		}
		for _, u := range usages {
			for _, n := range u.unusedTasks {
				if n > 0 {
					out = append(out, structs.Shape{Tasks: n, Task: u.guarantee.Shape.Task, Adjacent: u.guarantee.Shape.Adjacent && n > 1})
				}
			}
			for _, r := range u.remainders {
				if r.Slots > 0 {
					out = append(out, structs.Shape{Tasks: 1, Task: r})
				}
			}
		}
	}
	return out, inside
}

func onHold(w *state.Worker, now time.Time) bool {
	return slices.ContainsFunc(w.Holds, func(h state.Hold) bool { return h.Until.After(now) })
}

// oracleResources returns the free, releasing and reclaimable resources by worker. With atOnce, it leaves
// out the resources of jobs that are still starting.
func oracleResources(d *state.DataCentre, now time.Time, inside map[string]bool, atOnce bool) map[string]structs.Resources {
	available := map[string]structs.Resources{}
	for _, w := range d.SortedWorkers {
		if !w.Usable() || onHold(w, now) {
			continue
		}
		available[w.ID] = w.Worker.Capacity
		for _, h := range w.Holds {
			available[w.ID] = available[w.ID].Sub(h.Resources)
		}
	}
	for _, j := range d.Active {
		releasing := j.Status == state.Preempting || j.Cancelled
		reclaimable := j.Reclaimable() && !inside[j.ID] && !j.NoPreemptBefore.After(now)
		if releasing || reclaimable && !(atOnce && j.Status == state.Starting) {
			continue
		}
		for _, p := range j.Placements {
			if r, ok := available[p.Worker]; ok {
				available[p.Worker] = r.Sub(j.Shape.Task)
			}
		}
	}
	for _, j := range d.Queue {
		if r := claimOf(d, j, now); r != nil {
			for _, p := range r.Placements {
				if have, ok := available[p.Worker]; ok {
					available[p.Worker] = have.Sub(j.Shape.Task)
				}
			}
		}
	}
	return available
}

// packer searches for a packing of shapes exhaustively, up to packerSteps steps.
type packer struct {
	d         *state.DataCentre
	available map[string]structs.Resources
	steps     int
}

const packerSteps = 20000

// oraclePacks reports whether all shapes fit together. complete is false if the search reached its
// step limit.
func oraclePacks(d *state.DataCentre, available map[string]structs.Resources, shapes []structs.Shape) (fits, complete bool) {
	shapes = slices.Clone(shapes)
	slices.SortStableFunc(shapes, func(a, b structs.Shape) int {
		return cmp.Or(-cmp.Compare(a.Task.Accelerators, b.Task.Accelerators), -cmp.Compare(a.Tasks, b.Tasks))
	})
	p := &packer{d: d, available: available}
	fits = p.shapes(shapes)
	return fits, fits || p.steps < packerSteps
}

func (p *packer) shapes(shapes []structs.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	for _, domain := range oracleDomains(p.d, shapes[0]) {
		if p.tasks(shapes[0].Task, shapes[0].Tasks, domain, shapes[1:]) {
			return true
		}
	}
	return false
}

func (p *packer) tasks(task structs.Resources, n int, domain []*state.Worker, rest []structs.Shape) bool {
	if n == 0 {
		return p.shapes(rest)
	}
	if p.steps++; p.steps >= packerSteps {
		return false
	}
	for i, w := range domain {
		free, ok := p.available[w.ID]
		if !ok || !task.Fits(free) {
			continue
		}
		p.available[w.ID] = free.Sub(task)
		// Tasks are equal, so later ones need not try earlier workers.
		done := p.tasks(task, n-1, domain[i:], rest)
		p.available[w.ID] = free
		if done {
			return true
		}
	}
	return false
}

// oracleAllPackable reports whether all unmet guarantees can be packed together. complete is false if
// the search reached its step limit.
func oracleAllPackable(d *state.DataCentre, now time.Time) (fits, complete bool) {
	shapes, inside := oracleUnmet(d, now)
	return oraclePacks(d, oracleResources(d, now, inside, false), shapes)
}
