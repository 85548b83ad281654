package main

import (
	"fmt"
	"time"
)

func init() { cases["upkeep-answer-lost"] = upkeepAnswerLost }

// upkeepAnswerLost plays a wave of upkeep during which the platform's service for machines is unavailable for 4.5 s. It
// has carried out the order that it received last, and does not answer it.
func upkeepAnswerLost(s *system, trouble bool) error {
	const (
		outage     = 4500 * time.Millisecond
		taskLength = 6800 * time.Millisecond // of route-replan
		jobTasks   = 5
		// jobInterval keeps all 48 workers busy with tasks that need all accelerators of a worker.
		jobInterval = 650 * time.Millisecond
		// loadAfterOutage is how long jobs are handed in after the outage has begun.
		loadAfterOutage = 2500 * time.Millisecond
	)
	s.fleet.outcome = func(string, int) (time.Duration, string) { return taskLength, "done" }
	begun := make(chan struct{})
	s.cloud.onUpkeep = func(machine string, n int) {
		if n != 2 {
			return
		}
		close(begun)
		if !trouble {
			return
		}
		s.cloud.outage.set(true)
		s.record.line("the service for machines is unavailable; it has carried out the order for %s", machine)
		time.AfterFunc(outage, func() {
			s.cloud.outage.set(false)
			s.record.line("the service for machines is available")
		})
	}
	if err := s.start(48, func(int) string { return "a" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	loadEnded := make(chan error, 1)
	go func() {
		for {
			select {
			case <-stop:
				loadEnded <- nil
				return
			case <-time.After(jobInterval):
			}
			job := map[string]any{"Spec": "plan", "Steps": []any{
				map[string]any{"Count": jobTasks, "Cpu": 52000, "MemMb": 110000, "Gpu": 8, "EstimateMs": taskLength.Milliseconds()},
			}}
			if id, accepted := s.submit("replan", job); !accepted {
				loadEnded <- fmt.Errorf("job %s was not accepted", id)
				return
			}
		}
	}()
	time.Sleep(taskLength + time.Second)
	var names []string
	for _, m := range s.fleet.machines[:3] {
		names = append(names, m.name)
	}
	s.store.put("op/wave/1", map[string]any{"Wave": 1, "Machines": names, "DurationS": 60, "Cap": 1})
	s.record.line("wave 1 requested: %v", names)
	select {
	case <-begun:
	case <-time.After(50 * time.Second):
		return fmt.Errorf("the second upkeep did not begin")
	}
	time.Sleep(loadAfterOutage)
	close(stop)
	if err := <-loadEnded; err != nil {
		return err
	}
	if !await(50*time.Second, func() bool { return s.store.value("status/wave/1") == `{"State":"completed"}` }) {
		return fmt.Errorf("wave not completed: %s", s.store.value("status/wave/1"))
	}
	time.Sleep(3 * time.Second)
	return nil
}
