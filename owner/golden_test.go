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

// shownFields are the fields of a log event that a session shows, in this order.
var shownFields = []string{"job", "kind", "attempt", "shape", "placements", "for", "to", "checkpoint", "phase", "running", "unknown", "may_have_run", "held", "outcome", "reason", "worker", "instance", "pending", "error"}

// sessionLog renders the numbered log events of instances, by time.
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

// Guards against a change of the order, the reasons or the timing of decisions that no
// other test states. Update with: go test ./owner -run TestSessions -update
func TestSessions(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		play    func(t *testing.T, s *site) []*instance
	}{
		{"withdrawal", 2, playWithdrawal},
		{"reclaim", 2, playReclaim},
		{"lost_answer", 1, playLostAnswer},
		{"owner_death", 2, playOwnerDeath},
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

// playWithdrawal takes the data centre out under a running gang and brings it back.
func playWithdrawal(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	j := jobOf("gang", 2, 20*time.Second)
	j.Checkpoint = true
	require.Empty(t, in.submit(j))
	after(10 * time.Second)
	s.commit(structs.StageOut, in)
	after(10 * time.Second)
	s.commit(structs.StageReturning, in)
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/gang", 2*time.Minute).Outcome)
	return []*instance{in}
}

// playReclaim lets a workspace claim its guarantee while another uses all the room.
func playReclaim(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	rev := s.revision()
	rev.Number++
	rev.Manifest.Workspaces = []structs.Workspace{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	shape := structs.Shape{Tasks: 1, Task: wholeWorker}
	in.c.Configure(rev, map[string][]state.Guarantee{dcA: {{Workspace: "y", Guarantee: structs.Guarantee{Name: "one", Shape: shape, Count: 1}}}})
	after(time.Millisecond)
	lent := jobOf("lent", 2, 30*time.Second)
	lent.Checkpoint = true
	require.Empty(t, in.submit(lent))
	after(10 * time.Second)
	claim := jobOf("claim", 1, 10*time.Second)
	claim.ID, claim.Workspace = "y/claim", "y"
	require.Empty(t, in.submit(claim))
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "y/claim", 2*time.Minute).Outcome)
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/lent", 2*time.Minute).Outcome)
	return []*instance{in}
}

// playLostAnswer loses the answer to a job's first record, then takes the store down.
func playLostAnswer(t *testing.T, s *site) []*instance {
	in := s.elect("i1", 1)
	s.store.SetFaults(standin.StoreFaults{LoseWrites: 1})
	require.Empty(t, in.submit(jobOf("first", 1, 5*time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	after(time.Second)
	s.store.SetFaults(standin.StoreFaults{Down: true})
	after(20 * time.Second)
	require.Equal(t, "store_unavailable", in.submit(jobOf("second", 1, 5*time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	after(2 * time.Second)
	require.Empty(t, in.submit(jobOf("second", 1, 5*time.Second)))
	require.Equal(t, structs.OutcomeSucceeded, in.status(t, "x/second", 2*time.Minute).Outcome)
	return []*instance{in}
}

// playOwnerDeath kills the owner under a running gang while another job waits.
func playOwnerDeath(t *testing.T, s *site) []*instance {
	first := s.elect("i1", 1)
	require.Empty(t, first.submit(jobOf("gang", 2, 30*time.Second)))
	after(time.Second)
	require.Empty(t, first.submit(jobOf("next", 1, 5*time.Second)))
	after(10 * time.Second)
	first.kill()
	after(12 * time.Second)
	second := s.elect("i2", 2)
	require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/gang", 2*time.Minute).Outcome)
	require.Equal(t, structs.OutcomeSucceeded, second.status(t, "x/next", 2*time.Minute).Outcome)
	return []*instance{first, second}
}
