package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	tick      = 50 * time.Millisecond
	taskTime  = 2 * time.Second
	jobTasks  = 10
	usefulFor = 3 * 3300 * time.Millisecond // 3 x (1.5 x 2 s + 0.3 s)
)

// customer is a workspace of a simulated service, which starts its jobs in order as far as its cap allows.
type customer struct {
	weight   float64
	cap      int // accelerators
	perTick  float64
	pending  float64 // fraction of a job that is due
	waiting  int     // jobs
	ends     []time.Time
	accepted []time.Time
	refused  []refusedJob
}

type refusedJob struct {
	at         time.Time
	drain      time.Duration // until a new job would begin within its limit
	retryAfter time.Duration
}

// simulation has one tick of work in the order: ends, starts, assessment, submissions. Each submission is decided by a
// copy of the overloads that is up to half a second old.
type simulation struct {
	now       time.Time
	monitor   *Monitor
	customers []*customer
	copied    time.Time
	overloads []Overload
	changes   int
}

func (s *simulation) step() {
	s.now = s.now.Add(tick)
	service := Service{Total: accelerators(1000)}
	for n, c := range s.customers {
		c.ends = slices.DeleteFunc(c.ends, func(end time.Time) bool { return !end.After(s.now) })
		for c.waiting > 0 && (len(c.ends)+1)*jobTasks <= c.cap {
			c.waiting--
			c.ends = append(c.ends, s.now.Add(taskTime))
		}
		load := Load{Name: fmt.Sprint(n), Limited: true, Weight: c.weight, Cap: accelerators(c.cap), Use: accelerators(len(c.ends) * jobTasks),
			Waits: c.waiting > 0, Limits: map[int]time.Duration{}}
		for _, end := range c.ends {
			load.Work = append(load.Work, Work{Demand: accelerators(jobTasks), Time: end.Sub(s.now), Running: true})
		}
		if c.waiting > 0 {
			load.Work = append(load.Work, Work{Demand: accelerators(c.waiting * jobTasks), Time: taskTime})
		}
		if len(load.Work) > 0 {
			load.Limits[0] = usefulFor
		}
		service.Loads = append(service.Loads, load)
	}
	if s.now.Sub(s.monitor.updatedAt) >= 250*time.Millisecond {
		s.changes += len(s.monitor.Update(service, s.now))
	}
	for n, c := range s.customers {
		for c.pending += c.perTick; c.pending >= 1; c.pending-- {
			s.submit(n, c)
		}
	}
}

func (s *simulation) submit(n int, c *customer) {
	if s.now.Sub(s.copied) >= 500*time.Millisecond {
		s.copied, s.overloads = s.now, s.monitor.Overloads(s.now)
	}
	var mine Overloads
	for _, o := range s.overloads {
		if o.Workspace == fmt.Sprint(n) {
			mine = append(mine, o)
		}
	}
	job := &workload.Submission{Queue: workload.Route{Stretch: 1.5, TargetLatency: 300 * time.Millisecond}, Steps: []workload.Step{{Tasks: jobTasks, Estimate: taskTime}}}
	if after, refused := mine.Refusal(job, s.now.Sub(s.copied), 0); refused {
		work := time.Duration(c.waiting*jobTasks) * taskTime
		for _, end := range c.ends {
			work += jobTasks * end.Sub(s.now)
		}
		c.refused = append(c.refused, refusedJob{s.now, work/time.Duration(c.cap) - usefulFor, after})
		return
	}
	c.waiting++
	c.accepted = append(c.accepted, s.now)
	s.monitor.Accepted(fmt.Sprint(n), c.weight, s.now)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// One workspace sends 7 times its usual 4 jobs a second for 8 s beside nine calm ones; its cap lets 5 a second run.
// Guards against refused jobs of the calm ones, against refusals while the hot one has not got its weight in jobs a
// second, against a Retry-After that is shorter than its backlog takes to drain, against an overload that begins and
// ends again and again, and against refusals that go on after the backlog has drained.
func TestHotWorkspaceBesideCalmOnes(t *testing.T) {
	s := &simulation{now: time.Unix(1e9, 0), monitor: NewMonitor()}
	for range 10 {
		s.customers = append(s.customers, &customer{weight: 3, cap: 100, perTick: 4 * tick.Seconds()})
	}
	hot := s.customers[0]
	s.run(5 * time.Second)
	hot.perTick *= 7
	s.run(8 * time.Second)
	hot.perTick /= 7
	assert.Equal(t, 1, s.changes, "the overload has begun and has not ended")
	s.run(30 * time.Second)
	assert.Equal(t, 2, s.changes, "the overload has ended")
	for n, c := range s.customers[1:] {
		assert.Empty(t, c.refused, "calm workspace %d", n+1)
		assert.Less(t, c.waiting, 3)
	}
	assert.Greater(t, len(hot.refused), 50)
	for _, r := range hot.refused {
		recent := 0
		for _, at := range hot.accepted {
			if !at.After(r.at) && r.at.Sub(at) <= time.Second {
				recent++
			}
		}
		assert.GreaterOrEqual(t, recent, 3, "accepted in the second before a refusal")
		assert.GreaterOrEqual(t, r.retryAfter, r.drain)
		assert.GreaterOrEqual(t, r.retryAfter, time.Second)
		assert.LessOrEqual(t, r.retryAfter, max(0, r.drain)+taskTime+3*time.Second, "the wait may be a task and 0.75 s too long; 1 s is added, and it is rounded up")
	}
	refused := len(hot.refused)
	hot.perTick = 0
	s.run(20 * time.Second)
	hot.perTick = 4 * tick.Seconds()
	s.run(20 * time.Second)
	assert.Len(t, hot.refused, refused, "no refusal after the backlog has drained")
}

// The configuration of an overloaded workspace loses its weight and its cap. Guards against overloads, and memory, that
// stay with it.
func TestOverloadEndsWithTheLimits(t *testing.T) {
	m, now := NewMonitor(), time.Unix(1e9, 0)
	load := Load{Name: "w", Limited: true, Cap: accelerators(1), Work: []Work{{Demand: accelerators(100), Time: time.Second}}, Waits: true, Limits: map[int]time.Duration{0: time.Second}}
	changes := m.Update(Service{Total: accelerators(8), Loads: []Load{load}}, now)
	assert.Len(t, changes, 1)
	assert.Equal(t, []Overload{{Workspace: "w", Wait: 100 * time.Second, RefuseFor: maxWait}}, m.Overloads(now))
	changes = m.Update(Service{}, now.Add(time.Second))
	assert.Len(t, changes, 1)
	assert.False(t, changes[0].Begins)
	assert.Empty(t, m.Overloads(now))
	assert.Empty(t, m.workspaces)
	assert.Empty(t, m.accepted.times)
}

// A cap has components without a limit. Guards against a rate, and a wait, that take 0 as the limit.
func TestCapOfZeroComponents(t *testing.T) {
	work := []Work{{Demand: workload.Resources{MilliCPU: 64000, MemoryMB: 64000, Accelerators: 64}, Time: time.Second}}
	total := workload.Resources{MilliCPU: 64000, MemoryMB: 64000, Accelerators: 32}
	for limit, want := range map[workload.Resources]time.Duration{
		{}: 2 * time.Second, {MilliCPU: 16000}: 4 * time.Second, {MemoryMB: 60000}: 2 * time.Second, {Accelerators: 8}: 8 * time.Second,
	} {
		m, now := NewMonitor(), time.Unix(1e9, 0)
		m.Update(Service{Total: total, Loads: []Load{{Name: "w", Limited: true, Weight: 1, Cap: limit, Work: work, Waits: true, Limits: map[int]time.Duration{0: time.Second}}}}, now)
		m.Waits(func(_ string, wait time.Duration) { assert.Equal(t, want, wait, limit) })
		assert.Equal(t, want > 0, len(m.Overloads(now)) == 1, limit)
	}
}

// The expected wait goes up and down around the limit. Guards against an overload that begins and ends with each task,
// and against one that lasts while new jobs can be in time.
func TestOverloadDoesNotFlap(t *testing.T) {
	m, now := NewMonitor(), time.Unix(1e9, 0)
	for n, c := range []struct {
		wait       float64 // as a multiple of the limit
		overloaded bool
	}{{0.9, false}, {1.1, false}, {0.95, false}, {1.2, false}, {1.3, true}, {1.1, true}, {1.25, true}, {1.01, true}, {1, false}, {1.2, false}, {0, false}} {
		load := Load{Name: "w", Limited: true, Cap: accelerators(10), Waits: true, Limits: map[int]time.Duration{0: 10 * time.Second},
			Work: []Work{{Demand: accelerators(int(math.Round(100 * c.wait))), Time: time.Second}}}
		now = now.Add(250 * time.Millisecond)
		m.Update(Service{Total: accelerators(10), Loads: []Load{load}}, now)
		assert.Equal(t, c.overloaded, len(m.Overloads(now)) == 1, "update %d: wait of %v", n, c.wait)
	}
}

// A workspace with a backlog uses 20 of 100 accelerators beside another one of the same weight; its work waits 16 s at
// its share of 50, and 8 s at all 100. Guards against refusals that are not certain: before the backlog has got what it
// can get, of urgent jobs within the guarantee, after an outage in which its runs ended, and of what it drains itself at
// more than its share.
func TestDrainRate(t *testing.T) {
	for name, c := range map[string]struct {
		guarantee, cap, before, use int
		elapsed                     time.Duration
		want                        time.Duration
	}{
		"new backlog":                        {0, 0, 20, 20, 0, 8 * time.Second},
		"new backlog under a cap":            {0, 40, 20, 20, 0, 20 * time.Second},
		"backlog of 2 s at less than share":  {0, 0, 20, 20, 2 * time.Second, 16 * time.Second},
		"backlog of 2 s, use has risen":      {0, 0, 20, 80, 2 * time.Second, 8 * time.Second},
		"backlog of 2 s at more than share":  {0, 0, 80, 80, 2 * time.Second, 10 * time.Second},
		"backlog of 2 s, guaranteed":         {64, 0, 20, 20, 2 * time.Second, 12500 * time.Millisecond},
		"backlog of 2 s, above the service":  {640, 0, 20, 20, 2 * time.Second, 8 * time.Second},
		"backlog of 2 s, cap below share":    {64, 25, 20, 20, 2 * time.Second, 32 * time.Second},
		"outage of 4 s in which all has run": {0, 0, 100, 0, 4 * time.Second, time.Duration(8 * math.Exp2(0.4) * float64(time.Second))},
	} {
		m, now := NewMonitor(), time.Unix(1e9, 0)
		update := func(use int) {
			hot := Load{Name: "hot", Limited: true, Weight: 2, Cap: accelerators(c.cap), Guarantee: c.guarantee, Use: accelerators(use), Waits: true,
				Work: []Work{{Demand: accelerators(800), Time: time.Second}}, Limits: map[int]time.Duration{0: time.Second}}
			m.Update(Service{Total: accelerators(100), Loads: []Load{hot, {Name: "other", Limited: true, Weight: 2, Use: accelerators(1)}}}, now)
		}
		update(c.before)
		if c.elapsed > 0 {
			now = now.Add(c.elapsed)
			update(c.use)
		}
		assert.InDelta(t, c.want.Seconds(), m.Overloads(now)[0].Wait.Seconds(), 1e-6, name)
	}
}

// Load: of 5,000 accelerators 4,900 are free; a task has waited for a minute when 2,000 tasks of 2 s arrive, and start
// within some seconds. Guards against a burst that is judged by the use before it.
func TestBurstBesideATaskThatHasWaitedLong(t *testing.T) {
	m, now := NewMonitor(), time.Unix(1e9, 0)
	var others []Load
	for n := range 97 {
		others = append(others, Load{Name: fmt.Sprint("other", n), Limited: true, Weight: 1, Use: accelerators(1)})
	}
	update := func(use, waiting int) time.Duration {
		hot := Load{Name: "hot", Limited: true, Weight: 1, Use: accelerators(use), Waits: true,
			Work: []Work{{Demand: accelerators(waiting), Time: 2 * time.Second}}, Limits: map[int]time.Duration{0: 10 * time.Second}}
		if use > 0 {
			hot.Work = append(hot.Work, Work{Demand: accelerators(use), Time: 2 * time.Second, Running: true})
		}
		now = now.Add(250 * time.Millisecond)
		m.Update(Service{Total: accelerators(5000), Loads: append(others, hot)}, now)
		got := time.Duration(0)
		m.Waits(func(name string, wait time.Duration) { got = max(got, wait) })
		return got
	}
	for range 240 {
		update(0, 1)
	}
	for started := 0; started < 1000; started += 50 { // 5 s
		assert.Less(t, update(started, 2000-started), 10*time.Second, "%d have started", started)
	}
	for range 8 {
		update(1000, 1000)
	}
	assert.InDelta(t, 4, update(1000, 1000).Seconds(), 1, "judged by its use after 2 s without growth")
}
