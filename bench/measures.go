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
	ratioScale  = 1000 // histograms keep completion ratios in thousandths
	ratioLimit  = 1e9
	claimBound  = 2500 * time.Millisecond // from claim to start, plus the checkpoint grace
	windowAhead = 10 * time.Minute        // before the data centre leaves and after its return
)

// claim is a queued job that its workspace's guarantee covers.
type claim struct {
	centre    *centre
	since     time.Time
	reclaimed bool // room is taken back for it
}

// measures collects the figures of one run. Work is in worker-seconds of the job's
// dominant resource.
type measures struct {
	r                      *run
	last                   time.Time
	ratios                 [3]*hdrhistogram.Histogram
	waits                  *hdrhistogram.Histogram // claim to start of reclaimed guarantees, in ms
	completion, runTime    float64                 // sums in seconds
	done, missed           int
	lostJobs, refused      int
	preemptions, breaches  int
	lostWork               float64
	adjacent, spread       float64 // starts of adjacent gangs; those on more than one rack
	tasks                  int     // running, summed over samples
	present                float64 // size of the jobs that are in the system
	useful, possible       float64 // in the window of the withdrawal
	unusable, free         float64 // accelerators, summed over samples
	largest, largestPacked float64 // gangs of whole workers
	claimed                map[string]*claim
}

func newMeasures(r *run) *measures {
	m := &measures{r: r, last: epoch, waits: hdrhistogram.New(1, 1e8, 3), claimed: map[string]*claim{}}
	for i := range m.ratios {
		m.ratios[i] = hdrhistogram.New(1, ratioLimit, 3)
	}
	return m
}

// active returns what the job adds to the demand.
func (j *job) active() float64 {
	if j.neverFits {
		return 0
	}
	return j.size()
}

func (m *measures) window() (from, to time.Time) {
	return epoch.Add(m.r.leaves - windowAhead), epoch.Add(m.r.returns + windowAhead)
}

// clip returns the seconds of the interval that lie in the window.
func (m *measures) clip(from, to time.Time) float64 {
	start, end := m.window()
	if from.Before(start) {
		from = start
	}
	if to.After(end) {
		to = end
	}
	return max(0, to.Sub(from).Seconds())
}

// advance adds what the remaining capacity could do until the next event: the healthy
// workers of the data centres that allow starts and what runs in a draining one, but no
// more than the jobs in the system could use.
func (m *measures) advance(to time.Time) {
	if seconds := m.clip(m.last, to); seconds > 0 {
		capacity := 0.0
		for _, c := range m.r.centres {
			for _, w := range c.SortedWorkers {
				if c.Stage.AllowsStarts() && !m.r.bad[w.ID] {
					capacity++
				}
			}
			for _, x := range c.Active {
				if !c.Stage.AllowsStarts() {
					capacity += m.r.jobs[x.ID].size()
				}
			}
		}
		m.possible += min(capacity, m.present) * seconds
	}
	m.last = to
}

// kept counts work that is not repeated.
func (m *measures) kept(x *state.Job, from, to time.Time) {
	m.useful += m.r.jobs[x.ID].size() * m.clip(from, to)
}

// lost counts the work since a time as lost to a stop.
func (m *measures) lost(x *state.Job, since time.Time) {
	m.lostWork += m.r.jobs[x.ID].size() * m.r.now.Sub(since).Seconds()
}

func (m *measures) ended(j *job, done bool) {
	if !done || j.excluded() {
		return
	}
	m.complete(j, m.r.now)
}

func (m *measures) complete(j *job, at time.Time) {
	took := at.Sub(j.Submitted)
	_ = m.ratios[j.Class].RecordValue(min(int64(float64(took)/float64(j.bound)*ratioScale), ratioLimit))
	m.completion += took.Seconds()
	m.runTime += j.run.Seconds()
	m.done++
	if at.After(j.Deadline) {
		m.missed++
	}
}

// finish counts jobs that are still in the system as if they ended now.
func (m *measures) finish() {
	for _, c := range m.r.centres {
		for _, x := range c.Jobs {
			if j := m.r.jobs[x.ID]; !j.excluded() {
				m.complete(j, m.r.now)
			}
		}
	}
}

// covered lists the queued jobs that guarantees cover: as many as jobs charged to a
// guarantee leave of its count and of the workspace's guaranteed resources. A job that may
// displace a charged job of its own workspace does not count that one. Urgent jobs come
// first, then lower classes, then earlier arrivals.
func (m *measures) covered(c *centre) map[string]bool {
	covered := map[string]bool{}
	if len(c.Guarantees) == 0 {
		return covered
	}
	charged := slices.Clone(c.Active)
	charged = slices.DeleteFunc(charged, func(x *state.Job) bool {
		return x.Cancelled || x.Status == state.Preempting || !x.Guaranteed && !m.r.policy.baseline
	})
	queue := slices.Clone(c.Queue)
	slices.SortStableFunc(queue, func(a, b *state.Job) int { return cmp.Compare(a.Class, b.Class) })
	for _, x := range queue {
		var total, used structs.Resources
		var lines []*state.Guarantee
		left := 0
		for i := range c.Guarantees {
			if g := &c.Guarantees[i]; g.Workspace == x.Workspace {
				total = total.Add(g.Shape.Total().Mul(g.Count))
				if scheduler.Covers(g, &x.Job) {
					left += g.Count
					lines = append(lines, g)
				}
			}
		}
		if left == 0 {
			continue
		}
		for _, y := range charged {
			if y.Workspace != x.Workspace || x.Class < y.Class && y.Reclaimable() {
				continue
			}
			used = used.Add(y.Shape.Total())
			if slices.ContainsFunc(lines, func(g *state.Guarantee) bool { return scheduler.Covers(g, &y.Job) }) {
				left--
			}
		}
		if left > 0 && used.Add(x.Shape.Total()).Fits(total) {
			covered[x.ID] = true
			charged = append(charged, x)
		}
	}
	return covered
}

// claims starts the clock of every queued job that a guarantee covers.
func (m *measures) claims(c *centre) {
	covered := m.covered(c)
	for _, x := range c.Queue {
		k := m.claimed[x.ID]
		switch {
		case !covered[x.ID]:
			delete(m.claimed, x.ID)
		case k == nil || k.centre != c:
			k = &claim{centre: c, since: m.r.now}
			m.claimed[x.ID] = k
			m.r.after(claimBound+m.r.grace, func() {
				if y := c.Job(x.ID); m.claimed[x.ID] == k && y != nil && y.Status == state.Queued {
					m.breaches++
				}
			})
		}
	}
}

// reclaimed marks a claim for which room is being taken back.
func (m *measures) reclaimed(job string) {
	if k := m.claimed[job]; k != nil {
		k.reclaimed = true
	}
}

func (m *measures) started(c *centre, x *state.Job) {
	if k := m.claimed[x.ID]; k != nil && k.reclaimed {
		_ = m.waits.RecordValue(max(1, m.r.now.Sub(k.since).Milliseconds()))
	}
	delete(m.claimed, x.ID)
	if !x.Shape.Adjacent || x.Shape.Tasks == 1 {
		return
	}
	m.adjacent++
	if slices.ContainsFunc(x.Placements, func(p structs.Placement) bool {
		return c.Workers[p.Worker].Rack != c.Workers[x.Placements[0].Worker].Rack
	}) {
		m.spread++
	}
}

// sample adds the fragmentation of every data centre where jobs wait.
func (m *measures) sample() {
	whole := acc(1, worker.Accelerators).Task
	for _, c := range m.r.centres {
		for _, x := range c.Active {
			m.tasks += len(x.Placements)
		}
		var waiting structs.Shape
		for _, x := range c.Queue {
			if j := m.r.jobs[x.ID]; !j.neverFits && x.Shape.Total().Accelerators > waiting.Total().Accelerators {
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
		m.largest += float64(gang)
		m.largestPacked += float64(free / worker.Accelerators)
		if waiting.Tasks > 0 {
			m.free += float64(free)
			m.unusable += float64(free - usable)
		}
	}
}

// figure is one measured figure of one run.
type figure struct {
	name  string
	value float64
}

func (m *measures) figures() []figure {
	var all []figure
	add := func(name string, v float64) { all = append(all, figure{name, v}) }
	for class, h := range m.ratios {
		for _, q := range []float64{50, 95, 99} {
			add(fmt.Sprintf("class %d completion p%.0f (ratio to bound)", class, q), float64(h.ValueAtQuantile(q))/ratioScale)
		}
	}
	add(meanCompletion, m.completion/max(1, float64(m.done)))
	add(meanRunTime, m.runTime/max(1, float64(m.done)))
	add("deadline misses (share of jobs)", float64(m.missed)/max(1, float64(m.done)))
	add(fragmentation, m.unusable/max(1, m.free))
	add("unusable accelerators where jobs wait (mean of fleet)", m.unusable/m.r.span.Minutes())
	add("largest gang of whole workers (share of possible)", m.largest/max(1, m.largestPacked))
	add("adjacent gangs on more than one rack (share of starts)", m.spread/max(1, m.adjacent))
	add(workKept, m.useful/max(1, m.possible))
	add("work lost to stops (worker-hours)", m.lostWork/3600)
	add("tasks running (mean)", float64(m.tasks)/m.r.span.Minutes())
	add("preemptions", float64(m.preemptions))
	add("jobs lost", float64(m.lostJobs))
	add("jobs refused wrongly", float64(m.refused))
	add(breaches, float64(m.breaches))
	add("claim to start p50 (s)", float64(m.waits.ValueAtQuantile(50))/1000)
	add(claimToStart, float64(m.waits.Max())/1000)
	add("jobs not ended", float64(m.r.open))
	return all
}

const (
	interactiveP99 = "class 0 completion p99 (ratio to bound)"
	meanCompletion = "mean completion (s)"
	meanRunTime    = "mean run time (s)"
	fragmentation  = "fragmentation (share of free accelerators)"
	workKept       = "useful work in the withdrawal (share of possible)"
	breaches       = "guarantee breaches"
	claimToStart   = "claim to start max (s)"
)
