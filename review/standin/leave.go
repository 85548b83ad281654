package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["left-in-outage"] = leftInOutage }

// finish is finish_s: how long after the end of the traffic jobs are asked for.
const finish = 14 * time.Second

// leftInOutage plays an outage of the store in which three workers, which had reported before that they drain, finish
// their tasks and leave. The store removes their entries and the leases that run out.
func leftInOutage(s *system, trouble bool) error {
	const (
		leaving     = 3 // of 48 workers
		taskLength  = 6 * time.Second
		drainAfter  = 2500 * time.Millisecond // from the first start
		remaining   = 5 * time.Second         // from the report that the worker drains, at least
		outageAfter = 5 * time.Second
		outage      = 4500 * time.Millisecond
	)
	s.fleet.outcome = func(string, int) (time.Duration, string) { return taskLength, "done" }
	if err := s.start(48, func(int) string { return "a" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	id, accepted := s.submit("salt", map[string]any{"Spec": "forecast", "Steps": []any{
		map[string]any{"Count": 16, "Cpu": 11000, "MemMb": 29000, "Gpu": 1, "EstimateMs": taskLength.Milliseconds()},
		map[string]any{"Count": 4, "Cpu": 11000, "MemMb": 29000, "Gpu": 1, "EstimateMs": taskLength.Milliseconds(), "After": []int{0}},
	}})
	if !accepted {
		return errors.New("the job was not accepted")
	}
	trafficEnd := time.Now()
	s.record.line("end of the traffic; job %s", id)
	if !await(5*time.Second, func() bool { return len(s.ledger.running(id)) == 16 }) {
		return fmt.Errorf("only %d tasks started", len(s.ledger.running(id)))
	}
	first := time.Now()
	time.Sleep(time.Until(first.Add(drainAfter)))
	chosen := map[*worker]bool{}
	for _, r := range s.ledger.running(id) {
		if len(chosen) < leaving {
			chosen[r.worker] = true
		}
	}
	for w := range chosen {
		w.drain(remaining)
	}
	time.Sleep(time.Until(first.Add(outageAfter)))
	if trouble {
		s.record.line("the store is down")
		s.store.outage.set(true)
		time.AfterFunc(outage, func() {
			s.record.line("the store is back")
			s.store.outage.set(false)
		})
	}
	time.Sleep(time.Until(first.Add(drainAfter + remaining + 500*time.Millisecond)))
	for w := range chosen {
		s.fleet.kill(w.machine, "shut down after it had drained", true)
	}
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	s.record.line("%v after the end of the traffic", finish)
	s.checkNothingRuns("salt", id, 30*time.Second)
	return nil
}

// checkNothingRuns watches a job until it has ended. The workers have room for any of its tasks many times over, and under
// half of it is used. If the job has nothing running for 3 s, the rule LOST is broken.
func (s *system) checkNothingRuns(route, id string, limit time.Duration) {
	var idleSince time.Time
	reported := false
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		state := s.state(route, id)
		switch {
		case state == "completed" || state == "failed" || state == "cancelled":
			return
		case strings.HasPrefix(state, "(status 410"):
			s.record.breach("LOST", "job %s is not known", id)
			return
		}
		if len(s.ledger.running(id)) > 0 {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= 3*time.Second && !reported {
			reported = true
			s.record.breach("LOST", "job %s has nothing running for 3 s while it is shown as %s; tasks without an end as done: %v", id, state, s.ledger.open(id))
		}
	}
}
