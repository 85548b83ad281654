package jobowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// storeValueBytes is the largest value that the users' store accepts.
const storeValueBytes = 1 << 20

// All tasks of a job of 16,000 tasks fit on the workers at the same time, but not into a record that the store accepts. Guards
// against a job whose first record is refused, so that it is accepted and never starts (LOST), and against one that stops half-way.
func TestJobWithMoreTasksThanARecordHoldsRunsInParts(t *testing.T) {
	for name, schedule := range map[string]workload.Schedule{"once": {}, "many times": {Occurrences: 8000, First: 1}} {
		t.Run(name, func(t *testing.T) {
			job := benchJob(0, 8000)
			job.Steps[0].Demand = workload.Resources{MilliCPU: 1}
			job.Steps = append(job.Steps, job.Steps[0])
			if schedule.Occurrences > 0 {
				job.Steps[0].Tasks, job.Steps[1].Tasks, job.Schedule = 1, 1, schedule
			}
			term := backlogTerm([]workload.Submission{job})
			now := time.Now()
			for n, w := range term.cluster.SortedWorkers() {
				w.ID, w.Incarnation, w.Address = fmt.Sprintf("i-%010d", n), 1_784_103_327_145, fmt.Sprintf("10.128.%d.%d:18080", n/250, n%250)
			}
			j := term.cluster.Jobs[job.ID]
			for round := 0; !j.State.Ended(); round++ {
				require.Less(t, round, 60, "the job makes no progress")
				now = now.Add(time.Second)
				term.openDue(now)
				plan := term.policy.Decide(term.cluster, term.workspace, now)
				raw, err := j.Record(1, 0, now).Encode()
				require.NoError(t, err)
				require.Less(t, len(raw), storeValueBytes)
				j.Recorded(len(raw))
				for _, r := range plan.Starts {
					r.Confirm(now)
					term.cluster.End(r, jobstate.EndDone, "", now)
				}
			}
			require.Equal(t, workload.Completed, j.State)
		})
	}
}
