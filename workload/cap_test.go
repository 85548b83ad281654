package workload

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against the refusal of a submission that can run in waves or under a cap without limit, and against the
// acceptance of a gang or a task that waits forever. The error must name workspace, resource, need and cap.
func TestCheckCap(t *testing.T) {
	task := Resources{MilliCPU: 1000, MemoryMB: 500, Accelerators: 8}
	for name, c := range map[string]struct {
		cap  Resources
		step Step
		want string
	}{
		"no cap":                   {Resources{}, Step{Tasks: MaxTasks, Demand: Resources{maxAmount, maxAmount, maxAmount}, Gang: true}, ""},
		"cap of exactly one gang":  {Resources{4000, 2000, 32}, Step{Tasks: 4, Demand: task, Gang: true}, ""},
		"gang above accelerators":  {Resources{Accelerators: 31}, Step{Tasks: 4, Demand: task, Gang: true}, `steps[0]: the gang needs 32 accelerators at a time; the cap of workspace "team" is 31`},
		"gang above memory only":   {Resources{MemoryMB: 1999, Accelerators: 32}, Step{Tasks: 4, Demand: task, Gang: true}, `steps[0]: the gang needs 2000 MB of memory at a time; the cap of workspace "team" is 1999`},
		"tasks in waves":           {Resources{Accelerators: 8}, Step{Tasks: 1000, Demand: task}, ""},
		"task above processors":    {Resources{MilliCPU: 999}, Step{Tasks: 1, Demand: task}, `steps[0]: a task needs 1000 thousandths of a core at a time; the cap of workspace "team" is 999`},
		"fillers reserve no core":  {Resources{MilliCPU: 1}, Step{Tasks: 9, Demand: task, Gang: true, Filler: true}, ""},
		"largest possible demands": {Resources{MilliCPU: 1}, Step{Tasks: MaxTasks, Demand: Resources{MilliCPU: maxAmount}, Gang: true}, `steps[0]: the gang needs 10737418240000 thousandths of a core at a time; the cap of workspace "team" is 1`},
	} {
		w := Workspace{Name: "team", Cap: c.cap}
		err := w.CheckCap(&Submission{Steps: []Step{c.step}})
		if c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.EqualError(t, err, c.want, name)
		}
		assert.Equal(t, c.want == "", c.step.FitsCap(c.cap), name)
	}
}
