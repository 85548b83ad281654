package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	notice  = 4500 * time.Millisecond // NoticeMs
	startup = 500 * time.Millisecond  // of a task that lasts
	darkFor = 5500 * time.Millisecond // for_s of zone_loss
)

// lostReplica: a wave takes down the machine of one of two tasks that last, of which one may be missed, some seconds after the
// zone of the other one has lost power.
func lostReplica(s *scene) error {
	if err := s.begin(8, 4); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	if status, body := s.sys.call(s.sys.instances[0], "POST", "/q1/"+id,
		`{"Spec":"lasts","Steps":[{"Count":2,"Cpu":15000,"MemMb":1024,"LongRunning":true,"MayMiss":1,"AntiAffinity":1,"EstimateMs":500}]}`); status != 200 {
		return fmt.Errorf("job not accepted: %d %s", status, body)
	}
	if err := await(5*time.Second, "two tasks at work", func() bool { return s.fleet.running() == 2 }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var hosts []*worker
	for _, w := range s.workers {
		if s.fleet.runningOn(w) > 0 {
			hosts = append(hosts, w)
		}
	}
	owner := s.owner()
	if len(hosts) != 2 || hosts[0].zone == hosts[1].zone || owner == nil {
		return fmt.Errorf("the tasks are on %d workers of one zone, or there is no owner", len(hosts))
	}
	if hosts[0].zone == owner.zone {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	kept := s.cloud.machineOf(hosts[1])
	s.st.put("op/wave/1", map[string]any{"Wave": 1, "Machines": []string{kept.name}, "DurationS": 20, "Cap": 1})
	s.rec.line("operator: wave 1 asks for the upkeep of %s, with worker %s, in 20 s", kept.name, hosts[1].id)
	time.Sleep(5 * time.Second)
	if s.trouble {
		if err := s.loseZone(hosts[0].zone); err != nil {
			return err
		}
	}
	return await(30*time.Second, "wave completed", func() bool {
		raw, _ := s.st.get("status/wave/1")
		return strings.Contains(string(raw), "completed")
	})
}

// loseZone takes the power from the workers and the instances of the zone, and gives it back after darkFor.
func (s *scene) loseZone(zone string) error {
	s.rec.line("zone %s loses power for %v", zone, darkFor)
	var dark []*instance
	for _, i := range s.sys.instances {
		if i.zone == zone {
			_ = i.cmd.Process.Kill()
			<-i.ended
			dark = append(dark, i)
		}
	}
	for _, w := range s.workers {
		if w.zone == zone {
			w.crash()
			time.AfterFunc(3*heartbeat, func() { s.st.remove("servers/" + w.id) })
			time.AfterFunc(darkFor, func() {
				if _, err := s.fleet.start(w.id, w.zone, w.rack, w.address, time.Now().UnixMilli()); err != nil {
					s.rec.line("worker %s does not start: %v", w.id, err)
				}
			})
		}
	}
	time.AfterFunc(darkFor, func() {
		for _, i := range dark {
			if err := s.sys.start(i); err != nil {
				s.rec.line("instance %s does not start: %v", i.name, err)
			}
		}
	})
	return nil
}

// checkStop checks the rule AVAIL for a stop of a task that lasts. The caller holds the lock.
func (f *fleet) checkStop(r *run) {
	if !r.lasts || time.Since(r.began) < startup {
		return
	}
	for task, away := range f.awaySince {
		if task == r.task || away.IsZero() {
			continue
		}
		if gone := time.Since(away); gone > notice {
			f.rec.broken("AVAIL", "%s, at work on %s, is stopped while %s, the other task of its step, is not at work for %v", r.task, r.worker.id, task, gone.Round(10*time.Millisecond))
		}
	}
}
