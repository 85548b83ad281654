package jobowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against a job that callers see as running again after an owner showed it as completed in an outage of
// the store: the successor knows of the completion, and answers with the older stored state until it has stored it.
func TestSuccessorShowsCompletionOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submit("job", "batch", tasks(1, 1))
		time.Sleep(500 * time.Millisecond)
		a.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		s.outage.Store(true)
		time.Sleep(time.Second)
		state, _ := a.term.State(context.Background(), "job")
		assert.Equal(t, workload.Completed, state)
		s.outage.Store(false)
		b := s.start("b")
		term := func() *jobowner.Term {
			s.mu.Lock()
			defer s.mu.Unlock()
			return b.term
		}
		b.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" && term() != nil {
				return testplatform.Refused
			}
			return testplatform.None
		})
		for term() == nil || !term().HasJob("job") {
			time.Sleep(10 * time.Millisecond)
		}
		state, _ = term().State(context.Background(), "job")
		assert.Equal(t, workload.Completed, state)
	})
}
