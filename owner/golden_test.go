package owner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// shownFields are the fields of a log event that a session log shows, in this order.
var shownFields = []string{"job", "kind", "attempt", "shape", "placements", "for", "to", "checkpoint", "phase", "running", "unknown", "may_have_run", "held", "outcome", "reason", "worker", "instance", "pending", "error"}

// sessionLog renders the numbered log events of the instances, ordered by time.
func sessionLog(began time.Time, instances ...*instance) string {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, in := range instances {
		for _, e := range in.logs.All() {
			fields := e.ContextMap()
			number, ok := fields["event"].(int64)
			if !ok {
				continue
			}
			text := fmt.Sprintf("%8.3f %s %s", e.Time.Sub(began).Seconds(), in.name, events.Catalogue()[events.ID(number)].Name)
			for _, name := range shownFields {
				value, ok := fields[name]
				raw, err := json.Marshal(value)
				if !ok || err != nil || string(raw) == `""` || string(raw) == "null" || string(raw) == "false" || string(raw) == "[]" {
					continue
				}
				text += fmt.Sprintf(" %s=%s", name, raw)
			}
			lines = append(lines, line{e.Time, text})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Or(a.at.Compare(b.at)) })
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l.text + "\n")
	}
	return b.String()
}

// Guards against unintended changes to the order, the reasons or the timing of decisions that no
// other test checks. Update with: go test ./owner -run TestSessions -update
func TestSessions(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		play    func(t *testing.T, s *site) []*instance
	}{
		{"withdrawal", 2, withdrawalSession},
		{"reclaim", 2, reclaimSession},
		{"lost_answer", 1, lostAnswerSession},
		{"owner_death", 2, ownerDeathSession},
	} {
		t.Run(c.name, func(t *testing.T) {
			var text string
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				s := newSite(c.workers)
				s.policy = scheduler.New(scheduler.Options{})
				instances := c.play(t, s)
				for _, in := range instances {
					in.stop()
				}
				text = sessionLog(began, instances...)
			})
			goldie.New(t).Assert(t, c.name, []byte(text))
		})
	}
}

// withdrawalSession sets the data centre to out while a gang runs, and then to returning.
func withdrawalSession(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	j := gangJob("gang", 2, 20*time.Second)
	j.Checkpoint = true
	require.Empty(t, in.submit(j))
	advance(10 * time.Second)
	s.commitStage(structs.StageOut, in)
	advance(10 * time.Second)
	s.commitStage(structs.StageReturning, in)
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/gang", 2*time.Minute).Outcome)
	return []*instance{in}
}

// reclaimSession submits a job inside a guarantee while another workspace uses all the capacity.
func reclaimSession(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	rev := s.revision()
	rev.Number++
	rev.Manifest.Workspaces = []structs.Workspace{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	shape := structs.Shape{Tasks: 1, Task: workerCapacity}
	in.c.Configure(rev, map[string][]state.Guarantee{dcA: {{Workspace: "y", Guarantee: structs.Guarantee{Name: "one", Shape: shape, Count: 1}}}})
	advance(time.Millisecond)
	lent := gangJob("lent", 2, 30*time.Second)
	lent.Checkpoint = true
	require.Empty(t, in.submit(lent))
	advance(10 * time.Second)
	claim := gangJob("claim", 1, 10*time.Second)
	claim.ID, claim.Workspace = "y/claim", "y"
	require.Empty(t, in.submit(claim))
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "y/claim", 2*time.Minute).Outcome)
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/lent", 2*time.Minute).Outcome)
	return []*instance{in}
}

// lostAnswerSession loses the answer to the write of a job's first record, then stops the store.
func lostAnswerSession(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	s.store.SetFaults(standin.StoreFaults{LoseWriteReplies: 1})
	require.Empty(t, in.submit(gangJob("first", 1, 5*time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	advance(time.Second)
	s.store.SetFaults(standin.StoreFaults{Down: true})
	advance(20 * time.Second)
	require.Equal(t, "store_unavailable", in.submit(gangJob("second", 1, 5*time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	advance(2 * time.Second)
	require.Empty(t, in.submit(gangJob("second", 1, 5*time.Second)))
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/second", 2*time.Minute).Outcome)
	return []*instance{in}
}

// ownerDeathSession kills the owner while a gang runs and another job is queued.
func ownerDeathSession(t *testing.T, s *site) []*instance {
	first := s.elect("i1", 1)
	require.Empty(t, first.submit(gangJob("gang", 2, 30*time.Second)))
	advance(time.Second)
	require.Empty(t, first.submit(gangJob("next", 1, 5*time.Second)))
	advance(10 * time.Second)
	first.kill()
	advance(12 * time.Second)
	second := s.elect("i2", 2)
	require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/gang", 2*time.Minute).Outcome)
	require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/next", 2*time.Minute).Outcome)
	return []*instance{first, second}
}
