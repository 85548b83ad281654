package jobstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against reports, and answers to starts, that the owner processes late and that make a run look slow, stalled or
// fast: only the worker's clock tells how long it took for its work.
func TestRateDoesNotDependOnWhenReportsAreProcessed(t *testing.T) {
	const percentPerSecond = 5.0
	estimate := 4 * time.Second
	began := time.Unix(1_000_000, 0)
	delay := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
	})
	rapid.Check(t, func(t *rapid.T) {
		gang := rapid.Bool().Draw(t, "gang")
		step := &Step{Spec: &workload.Step{Tasks: 2, Gang: gang, Estimate: estimate}, Occurrence: &Occurrence{Job: &Job{}}}
		var runs []*Run
		bootClocks := map[*Run]int64{} // the workers' clocks at began
		for n := range 2 {
			r := &Run{Task: &Task{Step: step, Index: n}, Worker: &Worker{}}
			r.Task.Run = r
			step.Tasks = append(step.Tasks, r.Task)
			bootClocks[r] = int64(rapid.IntRange(0, 1_000_000).Draw(t, "clock"))
			r.StartAnswered, r.StartSentAt, r.StartClock = true, began, bootClocks[r]
			r.Confirm(began.Add(delay.Draw(t, "delay of start answer")))
			runs = append(runs, r)
		}
		processed := began
		for worked := time.Duration(0); worked < 10*time.Second; {
			worked += time.Duration(rapid.IntRange(1, 1000).Draw(t, "interval")) * time.Millisecond
			processed = later(processed, began.Add(worked+delay.Draw(t, "delay of report")))
			for _, r := range runs {
				r.Observe(percentPerSecond*worked.Seconds(), bootClocks[r]+worked.Milliseconds(), processed)
				if r.HasRate {
					assert.InDelta(t, percentPerSecond, r.Rate, percentPerSecond/3)
					assert.False(t, r.Stalled)
				}
			}
		}
		assert.True(t, runs[0].HasRate)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
