package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["completed-then-zone-lost"] = completedThenZoneLost }

// completedThenZoneLost plays an outage of the store in which a job ends and is shown as completed, and the loss of the
// zone of the owner and of the job's workers before the store is back.
func completedThenZoneLost(s *system, trouble bool) error {
	const (
		taskLength = 6 * time.Second
		outage     = 4500 * time.Millisecond
		// lossAfter is from the beginning of the outage to the loss of the zone.
		lossAfter = 4 * time.Second
		dark      = 5 * time.Second
	)
	s.fleet.outcome = func(string, int) (time.Duration, string) { return taskLength, "done" }
	if err := s.start(48, func(int) string { return "a" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	owner := s.owner()
	if owner == nil {
		return errors.New("the store shows no owner")
	}
	var ids []string
	for range 8 {
		id, accepted := s.submit("replan", map[string]any{"Spec": "plan", "Steps": []any{
			map[string]any{"Count": 5, "Cpu": 52000, "MemMb": 110000, "Gpu": 4, "EstimateMs": taskLength.Milliseconds()},
		}})
		if !accepted {
			return errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	if !await(5*time.Second, func() bool { return s.ledger.total() == 5*len(ids) }) {
		return fmt.Errorf("only %d tasks started", s.ledger.total())
	}
	time.Sleep(taskLength - 1500*time.Millisecond)
	begun := time.Now()
	if trouble {
		s.record.line("the store is down; the owner is %s", owner.name)
		s.store.outage.set(true)
		time.AfterFunc(outage, func() {
			s.record.line("the store is back")
			s.store.outage.set(false)
		})
	}
	for _, id := range ids { // a client asks for each job's state until it is shown as completed
		await(time.Until(begun.Add(lossAfter-200*time.Millisecond)), func() bool {
			if s.state("replan", id) != "completed" {
				return false
			}
			s.ledger.shown(id)
			return true
		})
	}
	if !trouble {
		time.Sleep(time.Until(begun.Add(outage + 20*time.Second)))
		s.ledger.checkStartsAfterShown(begun)
		return nil
	}
	time.Sleep(time.Until(begun.Add(lossAfter)))
	s.record.line("zone %s loses power for %v", owner.zone, dark)
	for _, i := range s.instances {
		if i.zone == owner.zone {
			i.holdBack(time.Now().Add(dark))
			i.signal(syscall.SIGKILL)
		}
	}
	for _, m := range s.fleet.machines {
		if m.zone == owner.zone {
			s.fleet.kill(m, "its zone has lost power", false)
			time.AfterFunc(dark, func() {
				if err := s.fleet.boot(m); err != nil {
					s.record.line("machine %s not started: %v", m.name, err)
				}
			})
		}
	}
	time.Sleep(time.Until(begun.Add(outage + 20*time.Second)))
	// Every machine is in touch when the last disruption, the return of the zone within 1.5 s, is ContactMs old.
	s.ledger.checkStartsAfterShown(begun.Add(lossAfter + dark + 1500*time.Millisecond + 3*time.Second))
	return nil
}
