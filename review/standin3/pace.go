package main

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["pace-after-restart"] = func(s *system, trouble bool) bool { return newPaceCase(s).play(trouble, false) }
	cases["pace-unanswered"] = func(s *system, trouble bool) bool { return newPaceCase(s).play(false, trouble) }
}

const (
	servingJob    = "00000000000000b1"
	fillingJob    = "00000000000000b2"
	servingTarget = 200 // TargetMs of the serving task
	calmTail      = 40  // its tail while its users send little
	busyTail      = 130 // its tail while they send much and nothing fills beside it
	disturbedTail = 450 // its tail then, with a filling task at work beside it
	fillingWork   = 8 * time.Second

	contact  = 3 * time.Second // ContactMs
	standing = 3 * time.Second // for which a job may have nothing running
	watched  = 30 * time.Second
)

// paceCase is a filling task beside a serving one whose users send much for a while.
type paceCase struct {
	*system
	busy atomic.Bool
	drop atomic.Bool // the next order on pace gets no answer and is not carried out
}

func newPaceCase(s *system) *paceCase {
	p := &paceCase{system: s}
	s.fleet.work = func(string, int) (time.Duration, string) { return fillingWork, "done" }
	s.fleet.lasts = func(task string) bool { return strings.HasPrefix(task, servingJob) }
	s.fleet.load = p.load
	s.fleet.before = func(_ *worker, call string, _ map[string]any) bool {
		return call != "/api/pace" || !p.drop.CompareAndSwap(true, false)
	}
	return p
}

// load returns the tail of the serving task.
func (p *paceCase) load(r *taskRun) float64 {
	switch {
	case !strings.HasPrefix(r.task, servingJob):
		return 1
	case !p.busy.Load():
		return calmTail
	}
	for _, beside := range r.worker.runs {
		if beside != r && beside.pace > 0 {
			return disturbedTail
		}
	}
	return busyTail
}

// look returns what the worker has of the filling task.
func (p *paceCase) look() (pace int, percent float64, running bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, w := range p.fleet.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, fillingJob) {
				return r.pace, r.percent, true
			}
		}
	}
	return 0, 0, false
}

func (p *paceCase) setBusy(on bool) {
	p.busy.Store(on)
	p.rec.say("the users of the serving task send much: %v", on)
}

// play returns whether the accepted filling job had nothing running for longer than the rule allows.
func (p *paceCase) play(restart, unanswered bool) bool {
	p.begin(12, 3)
	if !p.submit("/replan/"+servingJob, map[string]any{"Spec": "serve", "Steps": []any{
		map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 1000, "LongRunning": true, "Image": "web", "TargetMs": servingTarget}}}) ||
		!waitFor(5*time.Second, func() bool { return p.state("/replan/"+servingJob) == "running" }) {
		p.rec.fail("the serving job does not run")
	}
	if !p.submit("/salt/"+fillingJob, map[string]any{"Spec": "fill", "Steps": []any{
		map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 1000, "EstimateMs": 8000, "Fills": true, "Image": "fill"}}}) ||
		!waitFor(5*time.Second, func() bool { _, _, running := p.look(); return running }) {
		p.rec.fail("the filling task does not run")
	}
	p.setBusy(true)
	if !waitFor(20*time.Second, func() bool { pace, _, running := p.look(); return running && pace == 0 }) {
		p.rec.fail("the filling task was not paced down")
	}
	if restart {
		p.restartOwner()
	}
	time.Sleep(contact)
	if unanswered {
		p.rec.say("the next order on pace gets no answer and is not carried out")
		p.drop.Store(true)
	}
	p.setBusy(false)
	time.Sleep(standing + 4*time.Second) // the calm that the rule asks for
	return p.standsAtPace()
}

// restartOwner stops the elected instance as the platform does, and waits until another one is elected.
func (p *paceCase) restartOwner() {
	owner := p.owner()
	p.rec.say("the platform stops %s with SIGTERM and starts it again", owner.name)
	owner.signal(syscall.SIGTERM)
	if !waitFor(5*time.Second, func() bool { o := p.owner(); return o != nil && o != owner }) {
		p.rec.fail("no other instance was elected")
	}
}

// standsAtPace watches the filling job, and reports whether its only task did not work for longer than the rule allows, although
// nothing disturbs and the service is all but idle.
func (p *paceCase) standsAtPace() bool {
	var since time.Time
	longest, last := time.Duration(0), -1.0
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		pace, percent, running := p.look()
		if !running && p.state("/salt/"+fillingJob) == "completed" {
			p.rec.say("the filling job is completed; longest time without work in the calm: %v", longest.Round(time.Second/10))
			return longest > standing
		}
		p.rec.printf("filling task: at a worker %v, pace %d, %.1f%% done", running, pace, percent)
		if running && pace > 0 && percent > last || since.IsZero() {
			since = time.Now()
		}
		last = percent
		longest = max(longest, time.Since(since))
	}
	pace, percent, _ := p.look()
	p.rec.say("after %v of calm the filling job is %q; pace %d, %.0f%% done; longest time without work: %v",
		watched, p.state("/salt/"+fillingJob), pace, percent, longest.Round(time.Second/10))
	return longest > standing
}
