package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// 200 tasks of 1 s wait for ten accelerators; a new job is of use for 9 s. Guards against refusals
// because of work that placement runs after the new job.
func TestOnlyWorkBeforeANewJobCounts(t *testing.T) {
	for name, c := range map[string]struct {
		work Work
		want time.Duration
	}{
		"due before the new job":  {Work{Priority: 1, Deadline: 3 * time.Second}, 20 * time.Second},
		"late":                    {Work{Priority: 1, Deadline: -time.Second}, 20 * time.Second},
		"due after the new job":   {Work{Priority: 1, Deadline: 3*time.Second + 1}, 0},
		"too late":                {Work{Priority: 1, Deadline: -time.Minute, TooLate: true}, 0},
		"more urgent, too late":   {Work{Deadline: -time.Minute, TooLate: true}, 20 * time.Second},
		"more urgent, due later":  {Work{Deadline: time.Hour}, 20 * time.Second},
		"less urgent, due before": {Work{Priority: 2, Deadline: time.Second}, 0},
	} {
		m, now := NewMonitor(), time.Unix(1e9, 0)
		c.work.Demand, c.work.Time = accelerators(200), time.Second
		load := Load{Name: "w", Limited: true, Cap: accelerators(10), Work: []Work{c.work}, Limits: map[int]time.Duration{1: 9 * time.Second}}
		m.Update(Service{Total: accelerators(10), Loads: []Load{load}}, now)
		got := time.Duration(-1)
		m.Waits(func(_ string, wait time.Duration) { got = wait })
		assert.Equal(t, c.want, got, name)
	}
}
