package jobowner_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// pause keeps all calls of the owner waiting for d.
func (p *processor) pause(d time.Duration) {
	p.turn <- struct{}{}
	time.Sleep(d)
	<-p.turn
}

// The owner pauses while all workers run at full speed and send reports in quick succession, because runs end on them.
// Guards against reports that are processed late and make runs look slow or stalled: the owner stopped them and avoided
// their workers, many at once.
func TestRunsAtFullSpeedAreNoStragglersForAnOwnerThatPauses(t *testing.T) {
	const workers, runs = 8, 64
	play := func(t *testing.T, pauseAfter time.Duration) (avoided, repeated int) {
		synctest.Test(t, func(t *testing.T) {
			s := newSystem()
			defer s.stop()
			s.callCost = 10 * time.Microsecond
			s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
				if strings.HasPrefix(name.Job, "short") {
					return 1500*time.Millisecond + time.Duration(name.Index)*55*time.Millisecond, jobstate.EndDone
				}
				return 40 * time.Second, jobstate.EndDone
			}
			for n := range workers {
				s.addWorker(fmt.Sprint("w", n), n/2)
			}
			a := s.start("a")
			time.Sleep(2 * time.Second)
			long := tasks(4, 1)
			long.Estimate = 4 * time.Second // a tenth of what the tasks take
			for n := range workers {
				s.submit(fmt.Sprint("long", n), "batch", long)
				s.submit(fmt.Sprint("short", n), "batch", tasks(4, 1))
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(pauseAfter)
			a.cpu.pause(700 * time.Millisecond)
			time.Sleep(time.Second)
			s.currentTerm(a).WithCluster(func(c *jobstate.Cluster) {
				for _, w := range c.Workers {
					if !w.AvoidUntil.IsZero() {
						avoided++
					}
				}
			})
			repeated = s.fleet.StartCount() - runs
			s.requireNoViolations(t)
		})
		return avoided, repeated
	}
	for pauseAfter := time.Second; pauseAfter < 1900*time.Millisecond; pauseAfter += 20 * time.Millisecond {
		avoided, repeated := play(t, pauseAfter)
		assert.Zero(t, avoided, "avoided workers of %d, paused after %v", workers, pauseAfter)
		assert.Zero(t, repeated, "repeated runs, paused after %v", pauseAfter)
	}
}

// A worker that was cut off has more ends to list than fit into one report. Guards against runs whose ends are not listed
// yet that count as gone: their tasks would start again although they have ended as done.
func TestRunsBeyondATruncatedReportAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.MaxReportedEnds = 3
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 3 * time.Second, jobstate.EndDone }
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(8, 1))
		time.Sleep(time.Second)
		s.isolateWorker("w0")
		time.Sleep(5 * time.Second)
		s.addWorker("w1", 0)
		s.fleet.SetFault(func(string, string) testplatform.Fault { return testplatform.None })
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 20*time.Second))
		assert.Equal(t, 8, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}
