package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Load: 100 jobs of 16 tasks of 1 s arrive at once on 16 accelerators. After 20 s all that wait are too late, and
// placement runs new jobs first. Guards against refusals of new jobs because of them, which would end in time.
func TestWorkThatIsTooLateDelaysNoNewJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 16}})
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		a := s.start("a")
		time.Sleep(time.Second)
		for n := range 100 {
			s.submitAs(a, "hot", fmt.Sprint("old", n), tasks(16, 1))
		}
		time.Sleep(600 * time.Millisecond) // covers an assessment and an idle loop
		list, _ := overloaded(s.currentTerm(a), "hot")
		assert.Len(t, list, 1)
		time.Sleep(20 * time.Second)
		list, ok := overloaded(s.currentTerm(a), "hot")
		assert.True(t, ok)
		assert.Empty(t, list)
		began := time.Now()
		s.submitAs(a, "hot", "new", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "new", time.Minute))
		assert.Less(t, time.Since(began), 4*time.Second)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "old99", 5*time.Minute), "too late, but not lost")
		s.requireNoViolations(t)
	})
}
