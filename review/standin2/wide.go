package main

import (
	"fmt"
	"time"
)

const (
	finish   = 14 * time.Second // finish_s
	idleSpan = 3 * time.Second  // of the rule LOST
)

// wideJob: a client submits one job with many small tasks, of which all workers together hold four times as many.
func wideJob(s *scene) error {
	if err := s.begin(48, 3); err != nil {
		return err
	}
	count := 400
	if s.trouble {
		count = 8000
	}
	status, body := s.sys.call(s.sys.instances[0], "POST", "/q1/5c0e7a21d94b36f8",
		fmt.Sprintf(`{"Spec":"work_ms=2000","Steps":[{"Count":%d,"Cpu":100,"MemMb":16,"EstimateMs":2000},{"Count":%d,"Cpu":100,"MemMb":16,"EstimateMs":2000}]}`, count, count))
	if status != 200 {
		return fmt.Errorf("job not accepted: %d %s", status, body)
	}
	accepted := time.Now()
	idleSince := time.Time{}
	for time.Since(accepted) < 60*time.Second {
		time.Sleep(250 * time.Millisecond)
		running := s.fleet.running()
		_, state := s.sys.call(s.sys.instances[1], "GET", "/q1/5c0e7a21d94b36f8", "")
		s.rec.line("%d runs at work, %d tasks started so far", running, s.fleet.tasksStarted())
		if state == `{"State":"completed"}` {
			return nil
		}
		switch {
		case running > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(accepted) > finish+idleSpan && time.Since(idleSince) > idleSpan:
			s.rec.broken("LOST", "the accepted job has nothing running for %v, %v after it was accepted; all workers are idle", time.Since(idleSince).Round(time.Second), time.Since(accepted).Round(time.Second))
			return nil
		}
	}
	return nil
}

// tasksStarted returns the number of tasks that were started at least once.
func (f *fleet) tasksStarted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}
