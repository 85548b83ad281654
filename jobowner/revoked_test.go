package jobowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Jobs are cancelled before they are submitted, and the owner changes. Guards against a revocation that is removed while a write of
// the submission may still be executed (UNASKED), against revocations that stay in the store for good, and against an owner that
// takes one for a job.
func TestRevocationsAreRemovedAfterTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.retention = 30 * time.Second
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		revoked := func() (n int) {
			for k := range 100 {
				if _, ok := s.store.Value(jobowner.JobKey(fmt.Sprint("r", k))); ok {
					n++
				}
			}
			return n
		}
		for k := range 100 {
			s.store.Put(jobowner.JobKey(fmt.Sprint("r", k)), workload.Revocation())
		}
		time.Sleep(20 * time.Second)
		s.kill("a")
		b := s.start("b")
		time.Sleep(25 * time.Second)
		assert.Equal(t, 100, revoked(), "the next owner does not know since when they are stored")
		s.currentTerm(b).WithCluster(func(c *jobstate.Cluster) { assert.Empty(t, c.Jobs) })
		time.Sleep(30 * time.Second)
		assert.Zero(t, revoked())
		s.submit("job", "batch", tasks(1, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 4*time.Second))
		s.requireNoViolations(t)
	})
}
