package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	cancelBound = 3 * time.Second         // cancel_ms
	patience    = 60 * time.Millisecond   // of a caller who leaves early
	lateBy      = 5500 * time.Millisecond // of a write without an answer: 1 to 6 s
)

// cancelledUnknown: the store's answer to a submission is lost, and the write is executed seconds later. The caller leaves and
// cancels the job at another instance.
func cancelledUnknown(s *scene) error {
	if err := s.begin(8, 3); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	others := make(chan struct{})
	before := s.st.writes()
	go func() { // other callers, whose jobs are stored and answered
		defer close(others)
		for n := range 12 {
			s.sys.call(s.sys.instances[n%3], "POST", fmt.Sprintf("/q1/0d0e7a21%08x", n), `{"Spec":"work_ms=1000","Steps":[{"Count":2,"Cpu":15000,"MemMb":1024,"Gpu":1,"EstimateMs":1000}]}`)
			time.Sleep(80 * time.Millisecond)
		}
		s.rec.line("12 other callers were answered; the store has executed %d writes meanwhile", s.st.writes()-before)
	}()
	if s.trouble {
		s.st.executeLate("cy/in/"+id+"/j", lateBy)
	}
	s.sys.callFor(s.sys.instances[0], patience, "POST", "/q0/"+id, `{"Spec":"work_ms=1000","Steps":[{"Count":2,"Cpu":15000,"MemMb":1024,"Gpu":1,"EstimateMs":1000}]}`)
	time.Sleep(100 * time.Millisecond)
	status, _ := s.sys.call(s.sys.instances[1], "DELETE", "/q0/"+id, "")
	if status != 200 && status != 410 {
		return fmt.Errorf("the cancelling was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	<-others
	time.Sleep(lateBy + 3*time.Second)
	s.sys.call(s.sys.instances[2], "GET", "/q0/"+id, "")
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for task, at := range s.fleet.lastStart {
		if strings.HasPrefix(task, id) && at.Sub(acknowledged) > cancelBound {
			s.rec.broken("UNASKED", "%s starts %v after the job's cancelling was acknowledged with %d", task, at.Sub(acknowledged).Round(10*time.Millisecond), status)
		}
	}
	return nil
}
