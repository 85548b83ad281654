package jobowner

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// newWithdrawTest returns a term with four planned runs of a workspace, the first two of them urgent, and a function that
// sets the cap. A cap of 0 removes it.
func newWithdrawTest(t *testing.T, now time.Time) (*Term, []*jobstate.Run, func(accelerators int)) {
	var config *workload.Config
	term := &Term{cluster: jobstate.New(), policy: placement.New(placement.Options{}), caps: newCapMonitor(metrics.NewRegistry())}
	term.opts.Config = func() *workload.Config { return config }
	set := func(accelerators int) {
		config = workload.NewConfig(workload.Config{Workspaces: []workload.Workspace{{Name: "a", Cap: workload.Resources{Accelerators: accelerators}}}})
	}
	w := term.cluster.EnsureWorker("w0", 1, now)
	w.Capacity, w.Listed, w.Answered, w.Confirmed = workload.Resources{Accelerators: 8}, true, true, true
	var runs []*jobstate.Run
	for priority, id := range []string{"urgent", "batch"} {
		j := term.cluster.AddJob(&workload.Submission{ID: id, Workspace: "a", Steps: []workload.Step{{Tasks: 2, Demand: workload.Resources{Accelerators: 1}}},
			Queue: workload.Route{Priority: priority, MaxAttempts: 1}}, now)
		j.OpenNext(now.UnixMilli(), now)
		for _, task := range j.Occurrences[0].Steps[0].Tasks {
			runs = append(runs, term.cluster.Place(task, w, 1, now))
		}
	}
	require.Len(t, runs, 4)
	set(8)
	term.followCaps(now.Add(-time.Second))
	return term, runs, set
}

func planned(runs []*jobstate.Run) (list []int) {
	for n, r := range runs {
		if r.Task.Run == r {
			list = append(list, n)
		}
	}
	return list
}

// Guards against a panic, which ends the term, if a workspace loses its cap while a decision under a lowered one is stored.
func TestWithdrawalAfterTheWorkspaceLostItsCap(t *testing.T) {
	now := time.Now()
	term, runs, set := newWithdrawTest(t, now)
	set(1)
	term.followCaps(now.Add(time.Second))
	set(0)
	assert.NotPanics(t, func() { term.withdrawAboveCap(runs, now.Add(2*time.Second)) })
	assert.Len(t, planned(runs), 4)
}

// Guards against the withdrawal of urgent runs while less urgent ones of the same workspace stay.
func TestLeastUrgentRunsAreWithdrawnFirst(t *testing.T) {
	now := time.Now()
	term, runs, set := newWithdrawTest(t, now)
	set(3)
	term.followCaps(now.Add(time.Second))
	runs[0], runs[3] = runs[3], runs[0]
	term.withdrawAboveCap(runs, now.Add(time.Second))
	assert.Equal(t, []int{0, 1, 3}, planned(runs))
	set(2)
	term.followCaps(now.Add(2 * time.Second))
	term.withdrawAboveCap(runs, now.Add(2*time.Second))
	assert.Equal(t, []int{1, 3}, planned(runs))
}
