package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["lasting-gang"] = lastingGang }

const (
	lastingJob  = "00000000000000c1"
	gangStep    = lastingJob + ".0.1."
	gangTasks   = 4
	racks       = 4
	perRack     = 6
	drainTime   = 2500 * time.Millisecond // at least DrainMs
	restartTime = 6 * time.Second         // after the last run of a lasting task
)

// running returns how many tasks run whose names begin so, and the workers of them.
func (f *fleet) running(prefix string) (workers []*worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for task := range w.runs {
			if strings.HasPrefix(task, prefix) {
				workers = append(workers, w)
			}
		}
	}
	return workers
}

// idleWorkers returns how many workers run nothing that takes accelerators.
func (f *fleet) idleWorkers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := 0
	for _, w := range f.workers {
		taken := false
		for task := range w.runs {
			taken = taken || !strings.HasPrefix(task, lastingJob+".0.0.")
		}
		if !taken && w.leaves.IsZero() {
			idle++
		}
	}
	return idle
}

// lastingGang plays a job of two lasting steps: one task, and a gang that prefers a single rack. One worker of the gang is
// emptied and taken away.
func lastingGang(s *system, trouble bool) bool {
	s.fleet.lasts = func(string) bool { return true }
	s.fleet.gang = gangStep
	s.begin(racks*perRack, 3)
	for rack := range racks { // half of the workers of each rack are taken, in the first one less
		taken := perRack / 2
		if rack == 0 {
			taken = perRack - gangTasks
		}
		if !s.submit(fmt.Sprintf("/replan/00000000000000d%d", rack), map[string]any{"Spec": "web", "Steps": []any{map[string]any{"Count": taken, "Cpu": 100000,
			"MemMb": 1000, "Gpu": 8, "LongRunning": true, "AntiAffinity": 1, "Constraints": fmt.Sprintf("r1-%d", rack+1)}}}) {
			s.rec.fail("a job was not accepted")
		}
	}
	taken := perRack - gangTasks + (racks-1)*perRack/2
	if !waitFor(10*time.Second, func() bool { return len(s.fleet.running("00000000000000d")) == taken }) {
		s.rec.fail("the other jobs do not run")
	}
	if !s.submit("/replan/"+lastingJob, map[string]any{"Spec": "model", "Steps": []any{
		map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "LongRunning": true},
		map[string]any{"Count": gangTasks, "Cpu": 50000, "MemMb": 1000, "Gpu": 8, "EstimateMs": 60000, "LongRunning": true, "Gang": true, "SameRack": true}}}) {
		s.rec.fail("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return len(s.fleet.running(lastingJob)) == 1+gangTasks }) {
		s.rec.fail("the job does not run")
	}
	s.rec.say("the gang runs; %d workers have all of their accelerators free", s.fleet.idleWorkers())
	time.Sleep(10 * time.Second) // the store has answered all calls for long
	if trouble {
		w := s.fleet.running(gangStep)[0]
		s.rec.say("worker %s of the gang drains and leaves", w.id)
		s.fleet.drain(w, drainTime)
	}
	time.Sleep(restartTime + 4*time.Second)
	broken := s.stands(gangStep, gangTasks)
	s.rec.say("%d workers have all of their accelerators free", s.fleet.idleWorkers())
	return broken
}
