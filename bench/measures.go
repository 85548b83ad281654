package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	ratioScale      = 1000 // histograms hold completion ratios in thousandths
	maxRatio        = 1e9
	claimStartLimit = 2500 * time.Millisecond // target from claim to start, without the checkpoint grace
	windowMargin    = 10 * time.Minute        // before the withdrawal of the data centre and after its return
)

// claim is a queued job that a guarantee of its workspace covers.
type claim struct {
	centre    *centre
	since     time.Time
	reclaimed bool // resources are reclaimed for it
}

// collector measures one simulation. Work is in worker-seconds of the job's dominant resource.
type collector struct {
	sim                             *simulation
	lastAt                          time.Time
	ratios                          [3]*hdrhistogram.Histogram
	claimDelays                     *hdrhistogram.Histogram // claim to start of reclaimed guarantees, in ms
	completion, runTime             float64                 // sums in seconds
	completed, missedDeadlines      int
	lostJobs, wronglyRefused        int
	preemptions, guaranteeBreaches  int
	lostWork                        float64
	adjacentStarts, multiRackStarts float64 // starts of adjacent gangs, and those on more than one rack
	runningTasks                    int     // summed over samples
	demand                          float64 // size of the jobs in the system
	usefulWork, possibleWork        float64 // in the window around the withdrawal
	unusableFree, free              float64 // accelerators, summed over samples in which jobs wait
	largestGang, largestGangPacked  float64 // free whole workers; packed: if the free accelerators were on as few workers as possible
	claims                          map[string]*claim
}

func newCollector(r *simulation) *collector {
	m := &collector{sim: r, lastAt: epoch, claimDelays: hdrhistogram.New(1, 1e8, 3), claims: map[string]*claim{}}
	for i := range m.ratios {
		m.ratios[i] = hdrhistogram.New(1, maxRatio, 3)
	}
	return m
}

// demand returns the size of the job, or 0 for a job that can never run.
func (j *job) demand() float64 {
	if j.neverFits {
		return 0
	}
	return j.size()
}

// window returns the time around the withdrawal in which useful and possible work are measured.
func (m *collector) window() (from, to time.Time) {
	return epoch.Add(m.sim.withdrawAt - windowMargin), epoch.Add(m.sim.returnAt + windowMargin)
}

// secondsInWindow returns how many seconds of the interval lie in the window.
func (m *collector) secondsInWindow(from, to time.Time) float64 {
	start, end := m.window()
	if from.Before(start) {
		from = start
	}
	if to.After(end) {
		to = end
	}
	return max(0, to.Sub(from).Seconds())
}

// advance adds the work that is possible until the next event: the capacity of the workers that are not
// bad in data centres that allow starts, and of the jobs that still run in the others, limited to the
// demand.
func (m *collector) advance(to time.Time) {
	if seconds := m.secondsInWindow(m.lastAt, to); seconds > 0 {
		capacity := 0.0
		for _, c := range m.sim.centres {
			for _, w := range c.SortedWorkers {
				if c.Stage.AllowsStarts() && !m.sim.badWorkers[w.ID] {
					capacity++
				}
			}
			for _, x := range c.Active {
				if !c.Stage.AllowsStarts() {
					capacity += m.sim.jobs[x.ID].size()
				}
			}
		}
		m.possibleWork += min(capacity, m.demand) * seconds
	}
	m.lastAt = to
}

// addUseful counts work of an attempt that is not lost.
func (m *collector) addUseful(x *state.Job, from, to time.Time) {
	m.usefulWork += m.sim.jobs[x.ID].size() * m.secondsInWindow(from, to)
}

// addLost counts the work since a time as lost by a stop or failure.
func (m *collector) addLost(x *state.Job, since time.Time) {
	m.lostWork += m.sim.jobs[x.ID].size() * m.sim.now.Sub(since).Seconds()
}

func (m *collector) recordEnd(j *job, succeeded bool) {
	if !succeeded || j.excluded() {
		return
	}
	m.recordCompletion(j, m.sim.now)
}

func (m *collector) recordCompletion(j *job, at time.Time) {
	elapsed := at.Sub(j.Submitted)
	_ = m.ratios[j.Class].RecordValue(min(int64(float64(elapsed)/float64(j.idealBound)*ratioScale), maxRatio))
	m.completion += elapsed.Seconds()
	m.runTime += j.runTime.Seconds()
	m.completed++
	if at.After(j.Deadline) {
		m.missedDeadlines++
	}
}

// finish records the jobs that are still in the system as if they completed now.
func (m *collector) finish() {
	for _, c := range m.sim.centres {
		for _, x := range c.Jobs {
			if j := m.sim.jobs[x.ID]; !j.excluded() {
				m.recordCompletion(j, m.sim.now)
			}
		}
	}
}

// coveredJobs returns the queued jobs that guarantees cover. The active jobs charged to guarantees (for a
// baseline policy, which charges none, all active jobs) and the queued jobs found covered so far use up the
// count of the guarantees and the guaranteed resources of the workspace; a job is covered if enough of both
// remains for it. Not deducted are charged jobs that are being cancelled or preempted, and those of its
// workspace that the job may displace. Jobs are considered by class, the most urgent first, then in queue
// order.
func (m *collector) coveredJobs(c *centre) map[string]bool {
	covered := map[string]bool{}
	if len(c.Guarantees) == 0 {
		return covered
	}
	charged := slices.Clone(c.Active)
	charged = slices.DeleteFunc(charged, func(x *state.Job) bool {
		return x.Cancelled || x.Status == state.Preempting || !x.Guaranteed && !m.sim.policy.baseline
	})
	queue := slices.Clone(c.Queue)
	slices.SortStableFunc(queue, func(a, b *state.Job) int { return cmp.Compare(a.Class, b.Class) })
	for _, x := range queue {
		var total, used structs.Resources
		var covering []*state.Guarantee
		remaining := 0
		for i := range c.Guarantees {
			if g := &c.Guarantees[i]; g.Workspace == x.Workspace {
				total = total.Add(g.Shape.Total().Mul(g.Count))
				if scheduler.Covers(g, &x.Job) {
					remaining += g.Count
					covering = append(covering, g)
				}
			}
		}
		if remaining == 0 {
			continue
		}
		for _, y := range charged {
			if y.Workspace != x.Workspace || x.Class < y.Class && y.Reclaimable() {
				continue
			}
			used = used.Add(y.Shape.Total())
			if slices.ContainsFunc(covering, func(g *state.Guarantee) bool { return scheduler.Covers(g, &y.Job) }) {
				remaining--
			}
		}
		if remaining > 0 && used.Add(x.Shape.Total()).Fits(total) {
			covered[x.ID] = true
			charged = append(charged, x)
		}
	}
	return covered
}

// updateClaims records since when a guarantee covers each queued job, and deletes the claims of jobs that
// are no longer covered. A job that is still queued claimStartLimit plus the checkpoint grace after its
// claim is a breach of the guarantee.
func (m *collector) updateClaims(c *centre) {
	covered := m.coveredJobs(c)
	for _, x := range c.Queue {
		current := m.claims[x.ID]
		switch {
		case !covered[x.ID]:
			delete(m.claims, x.ID)
		case current == nil || current.centre != c:
			current = &claim{centre: c, since: m.sim.now}
			m.claims[x.ID] = current
			m.sim.after(claimStartLimit+m.sim.grace, func() {
				if y := c.Job(x.ID); m.claims[x.ID] == current && y != nil && y.Status == state.Queued {
					m.guaranteeBreaches++
				}
			})
		}
	}
}

// markReclaimed marks the job's claim as one for which resources are being reclaimed.
func (m *collector) markReclaimed(job string) {
	if k := m.claims[job]; k != nil {
		k.reclaimed = true
	}
}

func (m *collector) recordStart(c *centre, x *state.Job) {
	if k := m.claims[x.ID]; k != nil && k.reclaimed {
		_ = m.claimDelays.RecordValue(max(1, m.sim.now.Sub(k.since).Milliseconds()))
	}
	delete(m.claims, x.ID)
	if !x.Shape.Adjacent || x.Shape.Tasks == 1 {
		return
	}
	m.adjacentStarts++
	if slices.ContainsFunc(x.Placements, func(p structs.Placement) bool {
		return c.Workers[p.Worker].Rack != c.Workers[x.Placements[0].Worker].Rack
	}) {
		m.multiRackStarts++
	}
}

// sample adds the running tasks, the largest gangs and, where jobs wait, the fragmentation: the free
// accelerators on which no task of the largest waiting job fits.
func (m *collector) sample() {
	whole := acc(1, workerCapacity.Accelerators).Task
	for _, c := range m.sim.centres {
		for _, x := range c.Active {
			m.runningTasks += len(x.Placements)
		}
		var waiting structs.Shape
		for _, x := range c.Queue {
			if j := m.sim.jobs[x.ID]; !j.neverFits && x.Shape.Total().Accelerators > waiting.Total().Accelerators {
				waiting = x.Shape
			}
		}
		if !c.Stage.AllowsStarts() {
			continue
		}
		free, usable, gang := 0, 0, 0
		for _, w := range c.SortedWorkers {
			if w.Usable() {
				free += w.Free.Accelerators
				usable += waiting.Task.CountIn(w.Free) * waiting.Task.Accelerators
				gang += whole.CountIn(w.Free)
			}
		}
		m.largestGang += float64(gang)
		m.largestGangPacked += float64(free / workerCapacity.Accelerators)
		if waiting.Tasks > 0 {
			m.free += float64(free)
			m.unusableFree += float64(free - usable)
		}
	}
}

// measurement is a named result of one simulation.
type measurement struct {
	name  string
	value float64
}

func (m *collector) measurements() []measurement {
	var result []measurement
	add := func(name string, v float64) { result = append(result, measurement{name, v}) }
	for class, h := range m.ratios {
		for _, q := range []float64{50, 95, 99} {
			add(fmt.Sprintf("class %d completion p%.0f (ratio to bound)", class, q), float64(h.ValueAtQuantile(q))/ratioScale)
		}
	}
	add(meanCompletion, m.completion/max(1, float64(m.completed)))
	add(meanRunTime, m.runTime/max(1, float64(m.completed)))
	add("deadline misses (share of jobs)", float64(m.missedDeadlines)/max(1, float64(m.completed)))
	add(fragmentation, m.unusableFree/max(1, m.free))
	add("unusable accelerators where jobs wait (mean of fleet)", m.unusableFree/m.sim.arrivalSpan.Minutes())
	add("largest gang of whole workers (share of possible)", m.largestGang/max(1, m.largestGangPacked))
	add("adjacent gangs on more than one rack (share of starts)", m.multiRackStarts/max(1, m.adjacentStarts))
	add(usefulWorkShare, m.usefulWork/max(1, m.possibleWork))
	add("work lost to stops (worker-hours)", m.lostWork/3600)
	add("tasks running (mean)", float64(m.runningTasks)/m.sim.arrivalSpan.Minutes())
	add("preemptions", float64(m.preemptions))
	add("jobs lost", float64(m.lostJobs))
	add("jobs refused wrongly", float64(m.wronglyRefused))
	add(guaranteeBreaches, float64(m.guaranteeBreaches))
	add("claim to start p50 (s)", float64(m.claimDelays.ValueAtQuantile(50))/1000)
	add(claimToStart, float64(m.claimDelays.Max())/1000)
	add("jobs not ended", float64(m.sim.unfinished))
	return result
}

const (
	interactiveP99    = "class 0 completion p99 (ratio to bound)"
	meanCompletion    = "mean completion (s)"
	meanRunTime       = "mean run time (s)"
	fragmentation     = "fragmentation (share of free accelerators)"
	usefulWorkShare   = "useful work in the withdrawal (share of possible)"
	guaranteeBreaches = "guarantee breaches"
	claimToStart      = "claim to start max (s)"
)
