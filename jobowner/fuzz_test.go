package jobowner_test

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// step is one event of a fuzzed day.
type step struct {
	after  time.Duration
	action string
	target int
	amount int
}

var actions = []string{"submit", "submit", "submit", "gang", "chain", "placed", "lasting", "evacuate", "cancel", "kill", "restart", "reborn",
	"drain", "store", "orders", "cut", "compact", "calm", "suspend"}

func drawSteps(t *rapid.T) []step {
	n := rapid.IntRange(5, 40).Draw(t, "steps")
	steps := make([]step, n)
	for i := range steps {
		steps[i] = step{
			after:  time.Duration(rapid.IntRange(1, 1500).Draw(t, "after_ms")) * time.Millisecond,
			action: rapid.SampledFrom(actions).Draw(t, "action"),
			target: rapid.IntRange(0, 5).Draw(t, "target"),
			amount: rapid.IntRange(1, 6).Draw(t, "amount"),
		}
	}
	return steps
}

// day plays the steps on a system of its own.
type day struct {
	*system
	jobs    []string
	lasting []string // those that run until they are cancelled
	next    int
	fault   map[string]testplatform.Fault // of orders, by worker; "" for all
	calmAt  atomic.Pointer[time.Time]     // when the last fault ended; nil before
}

const (
	fuzzWorkers = 6
	// settleTime is how long after a fault its consequences may be seen.
	settleTime = 6 * time.Second
)

func newDay() *day {
	d := &day{system: newSystem(), fault: map[string]testplatform.Fault{}}
	d.fleet.Fate = func(name workload.TaskName, run int) (time.Duration, jobstate.End) {
		seed := len(name.Job)*7 + name.Index*13 + run*5 + name.Step
		if name.Job[0] == 'l' { // runs until it is cancelled, or fails
			return time.Duration(2+seed%40) * time.Second, jobstate.EndFailed
		}
		length := time.Duration(300+seed%11*400) * time.Millisecond
		if seed%17 == 0 {
			return length, jobstate.EndFailed
		}
		return length, jobstate.EndDone
	}
	d.fleet.SetFault(func(worker, call string) testplatform.Fault {
		d.mu.Lock()
		defer d.mu.Unlock()
		if f, ok := d.fault[worker]; ok {
			return f
		}
		return d.fault[""]
	})
	d.fleet.Calm = func() bool {
		at := d.calmAt.Load()
		return at != nil && time.Since(*at) > settleTime
	}
	for n := range fuzzWorkers {
		d.addWorker(fmt.Sprint("w", n), n/3)
	}
	d.start("i0")
	d.start("i1")
	return d
}

func (d *day) id(prefix string) string {
	d.next++
	id := fmt.Sprint(prefix, d.next)
	d.jobs = append(d.jobs, id)
	return id
}

func (d *day) setFault(worker string, f testplatform.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f == testplatform.None {
		delete(d.fault, worker)
		return
	}
	d.fault[worker] = f
}

func (d *day) play(s step) {
	time.Sleep(s.after)
	faults := []testplatform.Fault{testplatform.Refused, testplatform.Lost, testplatform.Late, testplatform.Silent}
	fault := faults[s.amount%len(faults)]
	worker := fmt.Sprint("w", s.target)
	instance := fmt.Sprint("i", s.target%2)
	route := []string{"urgent", "batch"}[s.amount%2]
	switch s.action {
	case "submit":
		d.submit(d.id("t"), route, tasks(s.amount, s.target%4+1))
	case "gang":
		g := gang(s.amount, s.target%8+1)
		g.SameRack = s.amount%2 == 0
		g.Checkpointing = s.target%2 == 0
		d.submit(d.id("g"), route, g)
	case "chain":
		second := tasks(s.amount, 1)
		second.After = []int{0}
		d.submit(d.id("c"), route, gang(2, s.target%8+1), second)
	case "placed":
		placed := tasks(s.amount, 1)
		placed.Label = fmt.Sprint("rack-", s.target%2)
		placed.MaxPerWorker = (s.amount+2)/3 + s.target%2 // three workers have the label
		d.submit(d.id("p"), route, placed)
	case "lasting":
		lasting := tasks(s.amount, 1)
		lasting.LongRunning, lasting.MaxUnavailable = true, 1
		d.lasting = append(d.lasting, d.submit(d.id("l"), "batch", lasting).ID)
	case "evacuate":
		zone := fmt.Sprint("zone-", s.target%2)
		d.evacuate(zone, !d.evacuated[zone])
	case "cancel":
		if len(d.jobs) > 0 {
			d.cancelJob(d.jobs[s.target%len(d.jobs)])
		}
	case "kill":
		d.kill(instance)
	case "restart":
		d.kill(instance)
		d.start(instance)
	case "reborn":
		d.addWorker(worker, s.target/3)
	case "drain":
		d.drainAndReplace(worker, s.target/3)
	case "store":
		d.faultStore(instance, fault)
	case "orders":
		d.setFault("", fault)
	case "cut":
		d.setFault(worker, testplatform.Silent)
	case "compact":
		d.store.Compact()
	case "suspend":
		d.slept.Add(int64(suspension)) // all permissions are that much older at once
	case "calm":
		d.calm()
	}
}

// suspension is for how long machines are suspended.
const suspension = 5 * time.Second

func (d *day) drainAndReplace(worker string, rack int) {
	d.list(d.fleet.Drain(worker))
	time.Sleep(2500 * time.Millisecond)
	d.fleet.Leave(worker)
	d.store.Remove(workersPrefix + worker)
	time.Sleep(500 * time.Millisecond)
	d.addWorker(worker, rack)
}

func (d *day) faultStore(instance string, f testplatform.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.instances[instance]
	if c == nil {
		return
	}
	n := 0
	c.client.SetFault(func(string) testplatform.Fault {
		if n++; n%3 == 0 {
			return testplatform.None
		}
		return f
	})
}

// calm ends all faults.
func (d *day) calm() {
	d.mu.Lock()
	d.fault = map[string]testplatform.Fault{}
	for _, c := range d.instances {
		c.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
	}
	d.mu.Unlock()
}

// finish ends the faults and waits until all jobs have ended. It returns what is wrong.
func (d *day) finish(t *testing.T) []string {
	d.calm()
	now := time.Now()
	d.calmAt.Store(&now)
	for _, name := range []string{"i0", "i1"} {
		if d.instances[name] == nil {
			d.start(name)
		}
	}
	for _, id := range d.lasting {
		d.cancelJob(id)
	}
	for _, zone := range []string{"zone-0", "zone-1"} {
		d.evacuate(zone, false)
	}
	deadline := time.Now().Add(4 * time.Minute)
	var wrong []string
	for _, id := range d.jobs {
		state := d.settle(t, id, time.Until(deadline))
		if !state.Ended() {
			wrong = append(wrong, fmt.Sprintf("LOST: job %s is %s long after the last fault", id, state))
		}
		d.fleet.CheckShown(id, state)
	}
	d.reclaim(t)
	time.Sleep(5 * time.Second)
	if n := d.fleet.Running(); n > 0 {
		wrong = append(wrong, fmt.Sprintf("UNASKED: %d runs after all jobs have ended", n))
	}
	return append(wrong, d.fleet.Violations()...)
}

// reclaim fills all workers but one, which drains, and asks for the guarantee of the workspace; the
// oracle checks that it is met in time, and that the draining worker gets nothing.
func (d *day) reclaim(t *testing.T) {
	time.Sleep(2 * settleTime)
	d.list(d.fleet.Drain(fmt.Sprint("w", fuzzWorkers-1)))
	time.Sleep(3 * time.Second)
	d.submit("fill", "batch", tasks(8*fuzzWorkers, 1))
	time.Sleep(time.Second)
	d.submit("owed", "urgent", gang(2, guarantee/2))
	d.settle(t, "owed", time.Minute)
	d.settle(t, "fill", time.Minute)
}

// playDay plays the steps inside a bubble of its own and returns what was wrong.
func playDay(t *testing.T, steps []step) (wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay()
		defer d.stop()
		for _, s := range steps {
			d.play(s)
		}
		wrong = d.finish(t)
	})
	return wrong
}

// Guards against a broken rule of running tasks (LIMIT, TWICE, ORDER, BUDGET, GANG,
// UNASKED, DRAIN) and against lost jobs under owner changes and lost, late and refused
// calls. JOBOWNER_FUZZ_CHECKS sets how many days are played; JOBOWNER_FUZZ_SEED plays one.
func TestFuzzTerms(t *testing.T) {
	checks := 60
	if n, err := strconv.Atoi(os.Getenv("JOBOWNER_FUZZ_CHECKS")); err == nil {
		checks = n
	}
	first := 0
	if n, err := strconv.Atoi(os.Getenv("JOBOWNER_FUZZ_SEED")); err == nil {
		first, checks = n, 1
	}
	for seed := first; seed < first+checks; seed++ {
		steps := rapid.Custom(drawSteps).Example(seed)
		if wrong := playDay(t, steps); len(wrong) > 0 {
			t.Errorf("seed %d: %v\nsteps: %+v", seed, wrong, steps)
		}
	}
}
