// Package admission determines which workspaces have sent more work than can be done in time. It performs no I/O and
// takes the time as an argument. The owner updates a Monitor with the state of the service; each instance decides by
// the resulting overloads whether it refuses a submission.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// enterFactor is how far the expected wait must exceed the limit of the jobs at hand before the workspace counts as
	// overloaded. It ceases to be at the limit itself. A wait near the limit would otherwise begin and end an overload
	// with each task.
	enterFactor = 1.25
	// settleTime is how long a backlog must have lasted before the use that was measured shows how fast it drains. It
	// covers the start of work in room that is free or is reclaimed from less urgent work.
	settleTime = 2 * time.Second
	// grownFactor is how far the demand of the waiting tasks must have grown, and risenFactor how far the use, for the
	// time of a backlog to begin anew. Less is usual while tasks end and others start.
	grownFactor = 1.5
	risenFactor = 1.1
	// useHalfLife is the time after which past use counts half in the measured drain rate. It is long compared with an
	// outage of the store, in which runs end and none start.
	useHalfLife = 10 * time.Second
	// maxWait limits an expected wait.
	maxWait = 24 * time.Hour
)

// Work is a number of equal tasks that run or wait.
type Work struct {
	Priority int
	Demand   workload.Resources // of all tasks together
	Time     time.Duration      // expected from now, or from its start, to the end of each of them
	Running  bool
	// Of waiting tasks: when placement wants them to end, from now, and whether that has become useless.
	Deadline time.Duration
	TooLate  bool
}

// Load is what a workspace runs and waits for. Work without an expected end is left out of Work.
type Load struct {
	Name      string
	Weight    float64
	Cap       workload.Resources
	Limited   bool               // a weight or a cap is configured; others only count in the shares
	Guarantee int                // accelerators that its work of priority 0 gets before the work of others
	Use       workload.Resources // by its runs
	Waits     bool               // tasks that could run have no run
	Work      []Work
	// Limits has, by priority, the shortest time within which the end of an open job is of use.
	Limits map[int]time.Duration
}

// Service is the state of the service.
type Service struct {
	Total workload.Resources // of all workers
	Loads []Load
}

// Overload says that a workspace has more work of a priority, and of more urgent ones, than can be done in time.
type Overload struct {
	Workspace string
	Priority  int
	Wait      time.Duration // expected until a new job of this priority, or of a less urgent one, can begin
	// RefuseFor is how long it is certain that as many jobs were accepted as the workspace is owed; 0 if fewer were.
	RefuseFor time.Duration
}

// Change reports that a workspace begins or ceases to be overloaded at a priority.
type Change struct {
	Overload
	Begins  bool
	Backlog workload.Resources // demand of the tasks that run or wait
	Rate    workload.Resources // that the workspace is expected to use while its backlog drains
	Cap     workload.Resources
	Weight  float64
}

// Monitor follows the workspaces. It is not safe for concurrent use, except Accepted and the Snapshots.
type Monitor struct {
	accepted   *accepted
	workspaces map[string]*workspace
	updatedAt  time.Time
}

type workspace struct {
	weight     float64
	use        vector    // decaying peak
	since      time.Time // when its backlog began, or has last grown; zero without one
	waiting    vector    // least demand of the waiting tasks since then
	risen      vector    // use then
	waits      []Overload
	overloaded map[int]bool
	estimates  estimates
	ahead      []Work // memory for the result of Load.ahead
}

func NewMonitor() *Monitor {
	return &Monitor{accepted: newAccepted(), workspaces: map[string]*workspace{}}
}

func (m *Monitor) workspace(name string) *workspace {
	w := m.workspaces[name]
	if w == nil {
		w = &workspace{overloaded: map[int]bool{}}
		m.workspaces[name] = w
	}
	return w
}

// Update applies the state of the service at now and returns which overloads have begun or ended.
func (m *Monitor) Update(s Service, now time.Time) []Change {
	elapsed := now.Sub(m.updatedAt)
	m.updatedAt = now
	weights, present := 0.0, map[string]bool{}
	for n := range s.Loads {
		if l := &s.Loads[n]; len(l.Work) > 0 || l.Use != (workload.Resources{}) {
			weights += share(l.Weight)
		}
	}
	var changes []Change
	for n := range s.Loads {
		l := &s.Loads[n]
		if l.Limited {
			present[l.Name] = true
			w := m.workspace(l.Name)
			w.weight = l.Weight
			w.measure(l, elapsed, now)
			changes = append(changes, w.assess(&s, l, weights, now)...)
		}
	}
	for name, w := range m.workspaces {
		if !present[name] {
			changes = append(changes, w.end(name)...)
			delete(m.workspaces, name)
			m.accepted.forget(name)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority))
	})
	return changes
}

// share returns the weight that counts in the shares of the service. Without a configured weight it is 1.
func share(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// measure updates the measured drain rate. While a backlog grows clearly, or the use still rises, past use does not show
// what the workspace can get.
func (w *workspace) measure(l *Load, elapsed time.Duration, now time.Time) {
	use, waiting := vectorOf(l.Use), vector{}
	w.use.follow(use, elapsed)
	for _, k := range l.Work {
		if !k.Running {
			waiting = waiting.plus(vectorOf(k.Demand))
		}
	}
	switch {
	case !l.Waits:
		w.since = time.Time{}
	case w.since.IsZero() || waiting.exceeds(w.waiting, grownFactor) || use.exceeds(w.risen, risenFactor):
		w.since, w.waiting, w.risen = now, waiting, use
	default:
		w.waiting = w.waiting.least(waiting)
	}
}

// rate returns what the workspace is expected to use at most, within its cap, while its backlog of the priority drains.
// A new backlog may get any room. Later that is the workspace's share of the service, or what it has used: it has then
// got the room that is free and suits its tasks, or that others must leave to it. Guaranteed work gets accelerators up
// to the guarantee, with whatever else its tasks need.
func (w *workspace) rate(s *Service, l *Load, priority int, weights float64, now time.Time) vector {
	rate, limit := vectorOf(s.Total), vectorOf(l.Cap)
	if !w.since.IsZero() && now.Sub(w.since) >= settleTime {
		guaranteed := vector{}
		if priority == 0 && l.Guarantee > 0 {
			guaranteed = rate
			guaranteed[2] = min(rate[2], float64(l.Guarantee))
		}
		for r := range rate {
			rate[r] = max(rate[r]*share(l.Weight)/max(weights, share(l.Weight)), w.use[r], guaranteed[r])
		}
	}
	for r := range rate {
		if limit[r] > 0 {
			rate[r] = min(rate[r], limit[r])
		}
	}
	return rate
}

// assess computes the expected waits of the workspace and returns the changes of its overloads.
func (w *workspace) assess(s *Service, l *Load, weights float64, now time.Time) []Change {
	slices.SortFunc(l.Work, func(a, b Work) int { return cmp.Compare(a.Time, b.Time) })
	w.waits = w.waits[:0]
	var changes []Change
	for _, p := range l.priorities(w.overloaded) {
		rate := w.rate(s, l, p, weights, now)
		w.ahead = l.ahead(w.ahead[:0], p)
		wait := expectedWait(w.ahead, p, rate)
		w.waits = append(w.waits, Overload{Workspace: l.Name, Priority: p, Wait: wait})
		limit, known := l.Limits[p]
		begins := known && float64(wait) > enterFactor*float64(limit)
		continues := w.overloaded[p] && wait > 0 && (!known || wait > limit)
		if over := begins || continues; over != w.overloaded[p] {
			w.setOverloaded(p, over)
			changes = append(changes, Change{Overload: Overload{Workspace: l.Name, Priority: p, Wait: wait}, Begins: over,
				Backlog: demand(w.ahead), Rate: rate.resources(), Cap: l.Cap, Weight: l.Weight})
		}
	}
	return changes
}

func (w *workspace) setOverloaded(priority int, over bool) {
	if over {
		w.overloaded[priority] = true
	} else {
		delete(w.overloaded, priority)
	}
}

// end returns the ends of the overloads of a workspace that has no weight and no cap any more.
func (w *workspace) end(name string) []Change {
	var changes []Change
	for p := range w.overloaded {
		changes = append(changes, Change{Overload: Overload{Workspace: name, Priority: p}})
	}
	return changes
}

// priorities returns the priorities of open jobs, and of overloads that have not ended, in ascending order.
func (l *Load) priorities(overloaded map[int]bool) []int {
	var list []int
	for p := range l.Limits {
		list = append(list, p)
	}
	for p := range overloaded {
		list = append(list, p)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// ahead appends the work that placement orders before the first step of a new job of the priority: all that runs or is
// more urgent, and of that priority what is not too late and has an earlier deadline. The new job is one with the
// shortest objective of the open jobs; a longer one only has more ahead of it.
func (l *Load) ahead(list []Work, priority int) []Work {
	limit, known := l.Limits[priority]
	for _, k := range l.Work {
		behind := !k.Running && k.Priority == priority && (k.TooLate || known && k.Deadline > limit/workload.LateFactor)
		if k.Priority <= priority && !behind {
			list = append(list, k)
		}
	}
	return list
}

// demand returns the demand of all the work.
func demand(work []Work) (sum workload.Resources) {
	for _, k := range work {
		sum = sum.Add(k.Demand)
	}
	return sum
}

// Snapshot is the result of an Update. It is safe for concurrent use.
type Snapshot struct {
	updatedAt  time.Time
	overloaded []weighted
	accepted   *accepted
}

type weighted struct {
	Overload
	weight float64
}

// Snapshot returns the result of the last Update.
func (m *Monitor) Snapshot() *Snapshot {
	s := &Snapshot{updatedAt: m.updatedAt, accepted: m.accepted}
	for _, w := range m.workspaces {
		for _, o := range w.waits {
			if w.overloaded[o.Priority] {
				s.overloaded = append(s.overloaded, weighted{o, w.weight})
			}
		}
	}
	slices.SortFunc(s.overloaded, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority))
	})
	return s
}

// Overloads returns the overloads as of now, by workspace and priority.
func (s *Snapshot) Overloads(now time.Time) []Overload {
	var list []Overload
	for _, w := range s.overloaded {
		w.Wait = max(0, w.Wait-now.Sub(s.updatedAt))
		w.RefuseFor = s.accepted.refuseFor(w.Workspace, w.weight, now)
		list = append(list, w.Overload)
	}
	return list
}

// Overloads returns the overloads of the last Update as of now, by workspace and priority.
func (m *Monitor) Overloads(now time.Time) []Overload { return m.Snapshot().Overloads(now) }

// Waits calls f with the longest expected wait of each workspace.
func (m *Monitor) Waits(f func(workspace string, wait time.Duration)) {
	for name, w := range m.workspaces {
		longest := time.Duration(0)
		for _, o := range w.waits {
			longest = max(longest, o.Wait)
		}
		f(name, longest)
	}
}
