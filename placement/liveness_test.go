package placement_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const tick = 50 * time.Millisecond

// simulation is a service in simulated time with an oracle for jobs of which nothing runs.
type simulation struct {
	*fixture
	faulty map[*jobstate.Worker]bool        // fails all runs
	length map[*jobstate.Task]time.Duration // run time on one rack near the data
	idle   map[*jobstate.Job]time.Time      // since when nothing runs although there is room twice over
}

func drawWorkers(t *rapid.T) *simulation {
	size := rapid.SampledFrom([][2]int{{1, 4}, {2, 4}, {4, 12}, {7, 12}, {45, 12}}).Draw(t, "racks and workers in each")
	p := &simulation{fixture: newFixture(size[0], size[1]), faulty: map[*jobstate.Worker]bool{}, length: map[*jobstate.Task]time.Duration{},
		idle: map[*jobstate.Job]time.Time{}}
	share := rapid.SampledFrom([]int{0, 5, 20, 60, 100}).Draw(t, "percent of workers with a history")
	for _, w := range p.c.SortedWorkers() {
		w.Labels = []string{rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "label")}
		if rapid.IntRange(0, 99).Draw(t, "history") >= share {
			continue
		}
		later := time.Duration(rapid.IntRange(0, 16_000).Draw(t, "ms")) * time.Millisecond
		switch rapid.SampledFrom([]string{"failed", "slow", "draining", "unlisted", "blocked", "untracked", "faulty", "upkeep"}).Draw(t, "state") {
		case "failed":
			w.FailStreak, w.AvoidUntil = 3, p.now.Add(later)
		case "slow":
			w.StragglerStreak, w.AvoidUntil = 2, p.now.Add(later)
		case "draining":
			w.Draining, w.LeavesAt = true, p.now.Add(later)
		case "unlisted":
			w.Listed = false
		case "blocked":
			w.BlockedUntil = p.now.Add(later)
		case "untracked":
			w.AddUntracked("x", workload.Resources{MilliCPU: 100_000, Accelerators: 7})
		case "faulty":
			p.faulty[w] = true
		case "upkeep":
			w.UpkeepPending = true
		}
	}
	return p
}

// drawJob submits a job like those of the large deployments.
func (p *simulation) drawJob(t *rapid.T) {
	wide := len(p.c.Workers)
	accelerators := rapid.SampledFrom([]int{1, 2, 4, 8, 8}).Draw(t, "accelerators")
	var s workload.Step
	priority := rapid.SampledFrom([]int{urgent, draft, batch}).Draw(t, "priority")
	seconds := time.Duration(rapid.IntRange(5, 300).Draw(t, "estimate")) * time.Second / 10
	switch priority {
	case urgent:
		s = gang(rapid.IntRange(1, min(32, wide)).Draw(t, "width"), accelerators, seconds/4)
		s.SameRack = rapid.IntRange(0, 9).Draw(t, "same rack") < 8
	case draft:
		s = gang(rapid.IntRange(1, min(76, wide)).Draw(t, "width"), accelerators, seconds)
		s.SameRack = rapid.IntRange(0, 9).Draw(t, "same rack") < 6
		s.Checkpointing = rapid.Bool().Draw(t, "checkpoints")
	default:
		s = step(rapid.IntRange(1, 230).Draw(t, "width"), 1, seconds)
		s.Checkpointing = rapid.Bool().Draw(t, "checkpoints")
		s.MaxPerWorker = rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "limit per worker")
	}
	if priority != urgent {
		s.DataRack = rapid.SampledFrom([]string{"", "", "r0", "r1", "r9"}).Draw(t, "data rack")
		s.Label = rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "label")
	}
	j := p.submit(priority, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), s)
	j.Route.MaxAttempts = 0 // a job that has failed would end the check
	factor := float64(rapid.IntRange(5, 30).Draw(t, "length of the estimate, tenths")) / 10
	for _, task := range j.Occurrences[0].Steps[0].Tasks {
		p.length[task] = time.Duration(factor * float64(s.Estimate))
	}
}

// step makes a decision and lets a tick pass.
func (p *simulation) step(rackFactor time.Duration) {
	plan := p.decide()
	for _, r := range plan.Starts {
		r.Confirm(p.now)
		r.StartAnswered, r.StartSentAt, r.StartClock = true, r.StartedAt, r.StartedAt.UnixMilli()
	}
	p.now = p.now.Add(tick)
	for _, w := range p.c.SortedWorkers() {
		runs := slices.SortedFunc(maps.Keys(w.Runs), func(a, b *jobstate.Run) int {
			return cmp.Or(cmp.Compare(a.Task.Name().String(), b.Task.Name().String()), cmp.Compare(a.Number, b.Number))
		})
		for _, r := range runs {
			if _, present := w.Runs[r]; present { // the end of another member may have ended it
				p.work(w, r, rackFactor)
			}
		}
	}
}

// work ends the run if it is due, and reports its progress otherwise.
func (p *simulation) work(w *jobstate.Worker, r *jobstate.Run, rackFactor time.Duration) {
	s, age := r.Task.Step, p.now.Sub(r.StartedAt)
	length := p.length[r.Task]
	if s.Spec.DataRack != "" && s.Spec.DataRack != w.Rack {
		length *= rackFactor
	}
	switch {
	case r.Phase == jobstate.Stopping:
		if p.now.Sub(r.StopRequestedAt) >= 150*time.Millisecond {
			p.c.End(r, jobstate.EndStopped, "", p.now)
		}
	case p.faulty[w] && age >= 300*time.Millisecond:
		placement.RecordEnd(r, jobstate.EndFailed, p.now)
		p.c.End(r, jobstate.EndFailed, "", p.now)
		if s.Spec.Gang {
			for _, member := range s.Tasks {
				if member.Run != nil {
					p.c.End(member.Run, jobstate.EndGangBroken, "", p.now)
				}
			}
		}
	case age >= length || s.Done():
		placement.RecordEnd(r, jobstate.EndDone, p.now)
		p.c.End(r, jobstate.EndDone, "", p.now)
	case age%(500*time.Millisecond) < tick:
		r.Observe(100*float64(age)/float64(length), p.now.UnixMilli(), p.now)
	}
}

// idleJob returns a description of a job of which nothing has run for longer than maxIdle, or "".
func (p *simulation) idleJob() string {
	for _, id := range slices.Sorted(maps.Keys(p.c.Jobs)) {
		j := p.c.Jobs[id]
		s := j.Occurrences[0].Steps[0]
		if j.State.Ended() || len(j.Runs()) > 0 || !p.roomTwice(s) {
			delete(p.idle, j)
			continue
		}
		if p.idle[j].IsZero() {
			p.idle[j] = p.now
		}
		if since := p.now.Sub(p.idle[j]); since > maxIdle {
			return fmt.Sprintf("job %s of priority %d (%s, %d waiting) has nothing running for %s", j.Submission.ID, j.Route.Priority, s.Spec, s.Waiting(), since)
		}
	}
	return ""
}

// roomTwice reports whether the step, or one task of it if it is not a gang, fits twice into the free room of
// sound workers, reserved or not.
func (p *simulation) roomTwice(s *jobstate.Step) bool {
	need := 2
	if s.Spec.Gang {
		need = 2 * len(s.Tasks)
	}
	for _, w := range p.c.Workers {
		if !w.Listed || w.Draining || w.UpkeepPending || p.faulty[w] || p.now.Before(w.BlockedUntil) || !w.HasLabel(s.Spec.Label) {
			continue
		}
		free, a := w.Free(), s.Spec.Allocation()
		n := min(free.MilliCPU/a.MilliCPU, free.MemoryMB/a.MemoryMB, free.Accelerators/a.Accelerators)
		if s.Spec.MaxPerWorker > 0 {
			n = min(n, s.Spec.MaxPerWorker)
		}
		if need -= max(0, n); need <= 0 {
			return true
		}
	}
	return false
}

// Random jobs arrive at a service of up to 540 workers of which some failed, were slow, leave, or fail
// everything. Guards against any wait of the policy that keeps a job from starting while there is room for
// it twice over.
func TestNoJobIsKeptWaitingWhileThereIsRoom(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			require.NoError(t, flag.Set(name, value))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		p := drawWorkers(t)
		jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
		gap := rapid.SampledFrom([]int{0, 1, 4, 20}).Draw(t, "ticks between jobs")
		for n := range jobs*gap + 200 {
			for ; jobs > 0 && (gap == 0 || n%gap == 0); jobs-- {
				p.drawJob(t)
				if gap > 0 {
					jobs--
					break
				}
			}
			p.step(3)
			if text := p.idleJob(); text != "" {
				t.Fatalf("after %s: %s", time.Duration(n)*tick, text)
			}
		}
	})
}
