package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Figures of the rule LOST.
const (
	finish       = 14 * time.Second // finish_s
	idleSpan     = 3 * time.Second
	restartGrace = 6 * time.Second // from the last run of a task that lasts
	calmBefore   = 4 * time.Second
	crashFor     = 4500 * time.Millisecond // for_s of srv_crash: until then the crash counts as going on
)

// owner returns the instance that the store shows as the owner: that which last wrote to the store under a condition.
func (s *scene) owner() *instance {
	raw, _ := s.st.get("cy/owner")
	var v struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil
	}
	for _, i := range s.sys.instances {
		if i.name == v.Name {
			return i
		}
	}
	return nil
}

// vanished: a worker that runs a task that lasts crashes for good, and at the same moment the process is killed that last
// wrote to the store under a condition.
func vanished(s *scene) error {
	s.sys.grown = true
	if err := s.begin(8, 3); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	if status, body := s.sys.call(s.sys.instances[0], "POST", "/q1/"+id,
		`{"Spec":"lasts","Steps":[{"Count":1,"Cpu":15000,"MemMb":1024,"LongRunning":true,"EstimateMs":500}]}`); status != 200 {
		return fmt.Errorf("job not accepted: %d %s", status, body)
	}
	if err := await(5*time.Second, "the task at work", func() bool { return s.fleet.running() == 1 }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	ended, calm := time.Now(), time.Now()
	if s.trouble {
		i := s.owner()
		if i == nil {
			return fmt.Errorf("the store shows no owner")
		}
		_ = i.cmd.Process.Kill()
		s.rec.line("instance %s is killed", i.name)
		for _, w := range s.workers {
			if s.fleet.runningOn(w) > 0 {
				s.cloud.lose(s.cloud.machineOf(w))
				time.AfterFunc(3*heartbeat, func() { s.st.remove("servers/" + w.id) })
			}
		}
		<-i.ended
		time.Sleep(500 * time.Millisecond)
		if err := s.sys.start(i); err != nil {
			return err
		}
		calm = ended.Add(crashFor)
	}
	if err := await(40*time.Second, "the task at work again", func() bool { return s.fleet.running() == 1 }); err != nil {
		return err
	}
	from := ended.Add(restartGrace) // the process that was killed is back before
	if c := calm.Add(calmBefore); c.After(from) {
		from = c
	}
	s.rec.line("the task had no run for %v", time.Since(ended).Round(10*time.Millisecond))
	if stood := time.Since(from); stood > idleSpan {
		s.rec.broken("LOST", "the task that lasts has no run for %v, the last %v of it later than %v after its last run and %v after the last disruption; 7 workers are idle",
			time.Since(ended).Round(10*time.Millisecond), stood.Round(10*time.Millisecond), restartGrace, calmBefore)
	}
	return nil
}
