package jobowner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// advisorOf admits the given workers for all steps.
type advisorOf struct {
	admitted map[string]bool
	calls    atomic.Int32
}

func (a *advisorOf) Advise(_ context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	time.Sleep(20 * time.Millisecond)
	a.calls.Add(1)
	tickets := map[string]string{}
	for _, w := range workers {
		if a.admitted[w] {
			tickets[w] = "ticket for " + step
		}
	}
	return tickets, time.Minute, nil
}

// The first answer of the advice service admits fewer workers than a gang needs. Guards against a gang that never
// names other workers, and against calls that name workers again whose tickets are valid.
func TestFurtherWorkersAreNamedWhenTheAdmittedOnesDoNotSuffice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		a := &advisorOf{admitted: map[string]bool{"w00": true, "w08": true, "w16": true, "w24": true, "w32": true}}
		s.advisor = a
		for n := range 40 {
			s.addWorker(fmt.Sprintf("w%02d", n), 0)
		}
		s.start("a")
		time.Sleep(time.Second)
		job := &workload.Submission{ID: "job", Queue: *s.config.Load().Route("batch"), Steps: []workload.Step{gang(5, 8)}}
		job.Queue.Name, job.Queue.Advice = "advised", &workload.Advice{Decision: 20 * time.Millisecond, Valid: time.Minute}
		s.submitJob(job)
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "job", 4*time.Second))
		assert.LessOrEqual(t, a.calls.Load(), int32(2))
		s.requireNoViolations(t)
	})
}
