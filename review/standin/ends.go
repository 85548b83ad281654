package main

import (
	"errors"
	"sync/atomic"
	"time"
)

func init() { cases["many-ends"] = manyEnds }

// manyEnds plays a worker that is cut off from the instances for 5.5 s while more of its runs end than one response
// lists.
func manyEnds(s *system, trouble bool) error {
	const (
		jobs  = 13
		width = 94  // the most tasks of a step in the site file
		kind  = "b" // of two workers
		cut   = 5500 * time.Millisecond
	)
	var seen atomic.Int64
	s.fleet.outcome = func(string, int) (time.Duration, string) {
		return 4*time.Second + time.Duration(seen.Add(1)%2500)*time.Millisecond, "done"
	}
	if err := s.start(48, func(n int) string {
		if n < 2 {
			return kind
		}
		return "a"
	}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for range jobs {
		id, accepted := s.submit("salt", map[string]any{"Spec": "forecast", "Steps": []any{
			map[string]any{"Count": width, "Cpu": 200, "MemMb": 200, "EstimateMs": 5000, "Constraints": kind},
		}})
		if !accepted {
			return errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	if !await(20*time.Second, func() bool { return s.ledger.total() >= jobs*width }) {
		s.record.line("only %d starts", s.ledger.total())
	}
	if trouble {
		w := s.fleet.machines[0].current()
		w.cut.set(true)
		s.record.line("worker %s is cut off from the instances and runs on", w.id)
		time.Sleep(cut)
		w.cut.set(false)
		s.record.line("worker %s is reached again", w.id)
	}
	for _, id := range ids {
		if !await(40*time.Second, func() bool { return s.state("salt", id) == "completed" }) {
			return errors.New("a job was not completed")
		}
	}
	return nil
}
