package jobowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against an unexpected error in a decision that ends the process of the owner, and against
// work that is lost or run again because of it.
func TestDecisionThatFailsEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "urgent", tasks(3, 1))
		time.Sleep(100 * time.Millisecond)
		s.faulty.Store(true)
		s.submit("next", "urgent", tasks(2, 1))
		time.Sleep(500 * time.Millisecond)
		s.faulty.Store(false)
		assert.Equal(t, workload.Completed, s.settle(t, "job", 5*time.Second))
		assert.Equal(t, workload.Completed, s.settle(t, "next", 10*time.Second))
		assert.Equal(t, 5, s.fleet.StartCount())
		s.requireRules(t)
	})
}
