package main

import (
	"fmt"
	"time"
)

// foreignEntry: an entry of another writer, whose service no configuration names, stands under servers/ with the
// address of a worker. The worker is sound all the while.
func foreignEntry(s *scene) error {
	if err := s.begin(8, 3); err != nil {
		return err
	}
	for n := range 3 {
		status, body := s.sys.call(s.sys.instances[n%3], "POST", fmt.Sprintf("/q1/5c0e7a21d94b36f%d", n),
			`{"Spec":"work_ms=12000","Steps":[{"Count":4,"Cpu":52000,"MemMb":16384,"Gpu":4,"EstimateMs":12000}]}`)
		if status != 200 {
			return fmt.Errorf("job not accepted: %d %s", status, body)
		}
	}
	if err := await(5*time.Second, "12 runs", func() bool { return s.fleet.running() == 12 }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var victim *worker
	for _, w := range s.workers {
		if s.fleet.runningOn(w) > 0 && victim == nil {
			victim = w
		}
	}
	if s.trouble {
		s.rec.line("another writer puts servers/probe-0001 with the address of worker %s", victim.id)
		entry := victim.entry()
		entry["Service"], entry["born"] = "lagebild", time.Now().UnixMilli()
		s.st.put("servers/probe-0001", entry)
	}
	return await(25*time.Second, "all jobs completed", func() bool {
		time.Sleep(500 * time.Millisecond)
		for n := range 3 {
			if _, body := s.sys.call(s.sys.instances[0], "GET", fmt.Sprintf("/q1/5c0e7a21d94b36f%d", n), ""); body != `{"State":"completed"}` {
				return false
			}
		}
		return true
	})
}
