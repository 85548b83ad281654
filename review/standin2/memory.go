package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryLimit is MemoryMb of the settings. The platform kills a process that exceeds it.
const memoryLimit = 284

// residentMB returns the resident memory of the process, in MiB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory and starts it again after a short
// delay. It counts these ends by instance until done is closed.
func (s *scene) watchMemory(done chan struct{}) func() map[string]int {
	var mu sync.Mutex
	ends := map[string]int{}
	var watching sync.WaitGroup
	for _, i := range s.sys.instances {
		watching.Go(func() {
			most := 0
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := residentMB(i.cmd.Process.Pid)
				if mb > most+20 {
					most = mb
					s.rec.line("instance %s: %d MB resident", i.name, mb)
				}
				if mb <= memoryLimit {
					continue
				}
				s.rec.line("instance %s exceeds its memory with %d MB: killed", i.name, mb)
				_ = i.cmd.Process.Kill()
				<-i.ended
				mu.Lock()
				ends[i.name]++
				mu.Unlock()
				most = 0
				time.Sleep(500 * time.Millisecond)
				if err := s.sys.start(i); err != nil {
					s.rec.line("instance %s does not start: %v", i.name, err)
					return
				}
			}
		})
	}
	return func() map[string]int {
		watching.Wait()
		mu.Lock()
		defer mu.Unlock()
		return ends
	}
}

// overdueRuns: clients submit twenty scheduled jobs whose times have come, a few a second, and then ordinary jobs.
func overdueRuns(s *scene) error {
	if err := s.begin(16, 3); err != nil {
		return err
	}
	done := make(chan struct{})
	ends := s.watchMemory(done)
	runs := 8
	if s.trouble {
		runs = 20000
	}
	first := time.Now().Add(-24 * time.Hour).UnixMilli()
	var posting sync.WaitGroup
	for n := range 20 {
		posting.Go(func() {
			for try := range 5 { // no answer: the same request again, at another instance
				status, _ := s.sys.call(s.sys.instances[(n+try)%3], "POST", fmt.Sprintf("/q2/5c0e7a21%08x", n),
					fmt.Sprintf(`{"Spec":"work_ms=1000","Steps":[{"Count":1,"Gpu":8,"EstimateMs":1000}],"RunCount":%d,"FirstRunMs":%d,"IntervalMs":1000}`, runs, first))
				if status != 0 && status != 504 {
					return
				}
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	posting.Wait()
	ordinary := func(n int) string { return fmt.Sprintf("/q0/0d0e7a21%08x", n) }
	var known []int
	posted := time.Now()
	for n := 0; n < 20 && time.Since(posted) < 25*time.Second; n++ {
		if status, _ := s.sys.callFor(s.sys.instances[n%3], 2*time.Second, "POST", ordinary(n), `{"Spec":"work_ms=1000","Steps":[{"Count":1,"Gpu":1,"EstimateMs":1000}]}`); status == 200 {
			known = append(known, n)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	busiest, ran := 0, map[string]bool{}
	for end := time.Now().Add(idleSpan + 200*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		busiest = max(busiest, s.fleet.running())
		s.fleet.noteRunning(ran)
	}
	var mu sync.Mutex
	var asking sync.WaitGroup
	open := 0
	for _, n := range known {
		asking.Go(func() {
			_, body := s.sys.callFor(s.sys.instances[n%3], 3*time.Second, "GET", ordinary(n), "")
			mu.Lock()
			defer mu.Unlock()
			if body != `{"State":"completed"}` && !ran[strings.TrimPrefix(ordinary(n), "/q0/")] {
				open++
			}
		})
	}
	asking.Wait()
	close(done)
	s.rec.line("%d ordinary jobs were accepted, each one task of 1 s; %v after the last %d are not completed and had nothing running; in the last %v at most %d of 16 workers were in use",
		len(known), finish+idleSpan, open, idleSpan, busiest)
	machines := 0
	for name, n := range ends() {
		s.rec.line("instance %s ended %d times by its memory", name, n)
		if n >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		s.rec.broken("Fault", "on %d of 3 machines processes end by themselves three times or more, with no disruption", machines)
	}
	if open > 0 && busiest < 8 {
		s.rec.broken("LOST", "%d of %d accepted ordinary jobs have nothing running %v after the last was accepted, while over half of the capacity is free", open, len(known), finish)
	}
	return nil
}

// noteRunning adds the jobs that have a run to the set.
func (f *fleet) noteRunning(jobs map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, runs := range f.active {
		if len(runs) > 0 {
			job, _, _ := strings.Cut(task, ".")
			jobs[job] = true
		}
	}
}
