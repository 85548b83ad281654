package main

import (
	"fmt"
	"strings"
	"time"
)

const otherKey = "3hh2b9wu3fexd9dnn2ct" // of the second tenant

// sameID: two tenants hand in different jobs to different queues, and their clients have chosen the same ID.
func sameID(s *scene) error {
	if err := s.begin(8, 3); err != nil {
		return err
	}
	first, second := "0000000000000001", "0000000000000001"
	if !s.trouble {
		second = "0000000000000002"
	}
	if status, body := s.sys.call(s.sys.instances[0], "POST", "/q1/"+first, `{"Spec":"work_ms=1000","Steps":[{"Count":1,"Cpu":15000,"MemMb":1024,"EstimateMs":1000}]}`); status != 200 {
		return fmt.Errorf("first job not accepted: %d %s", status, body)
	}
	time.Sleep(4 * time.Second)
	s.sys.call(s.sys.instances[0], "GET", "/q1/"+first, "")
	status, body := s.sys.callAs(s.sys.instances[1], otherKey, "POST", "/q0/"+second, `{"Spec":"work_ms=1500","Steps":[{"Count":3,"Cpu":15000,"MemMb":1024,"EstimateMs":1500}]}`)
	if status == 429 || status == 503 {
		s.rec.line("the second job is refused: %d %s", status, body)
		return nil
	}
	if status != 200 {
		return fmt.Errorf("second job not answered: %d %s", status, body)
	}
	time.Sleep(finish)
	_, state := s.sys.callAs(s.sys.instances[2], otherKey, "GET", "/q0/"+second, "")
	ran := s.fleet.ran("work_ms=1500")
	s.rec.line("second job, of 3 tasks: accepted; %d of its tasks were started; its state is %s", ran, state)
	if strings.Contains(state, "completed") && ran < 3 {
		s.rec.broken("MIXED", "the second tenant's accepted job is shown as completed, and %d of its 3 tasks have run", ran)
	}
	return nil
}

// ran returns the number of starts with the Spec.
func (f *fleet) ran(spec string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[spec]
}
