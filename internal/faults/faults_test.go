// Package faults tests the whole program, as separate processes on the loopback interface, under kills,
// pauses, outages of the platform and changes by operators. Most checks do not depend on timing: lost and
// duplicated requests, requests refused as not run that have run, and partial gangs.
package faults

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

var measureAll = flag.Bool("measure", false, "run all fault phases (about 3 minutes) and print their table")

// startAfterWithdrawalLimit is the target for the latest start in a data centre after its withdrawal.
const startAfterWithdrawalLimit = 2 * time.Second

// fault is one phase of the test. inject causes the fault while load runs, and returns a note for the table.
type fault struct {
	name   string
	inCI   bool // also run without -measure
	inject func(c *cluster) string
}

var faultList = []fault{
	{"none", false, func(*cluster) string { time.Sleep(5 * time.Second); return "" }},
	{"two instances killed at once", true, killTwo},
	{"instance paused past its leases", false, pauseOne},
	{"rolling restart", false, rollingRestart},
	{"store down 60 s", false, func(c *cluster) string { return injectStoreFault(c, standin.StoreFaults{Down: true}, 60*time.Second) }},
	{"store slow (300 ms a call)", false, func(c *cluster) string {
		return injectStoreFault(c, standin.StoreFaults{CallDelay: 300 * time.Millisecond}, 8*time.Second)
	}},
	{"store answers lost", true, loseStoreAnswers},
	{"a worker fails everything", false, failingWorker},
	{"operators race", false, func(c *cluster) string {
		accepted, conflicts := c.raceCommits(10)
		return fmt.Sprintf("20 commits on 10 revisions: %d accepted, %d conflicts", accepted, conflicts)
	}},
	{"data centre out and in", true, withdrawAndReturn},
}

func killTwo(c *cluster) string {
	time.Sleep(2 * time.Second)
	for _, p := range c.instances[1:3] {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.instances[1:3] {
		_ = p.wait()
	}
	time.Sleep(3 * time.Second)
	for _, p := range c.instances[1:3] {
		c.startAndWait(p)
	}
	time.Sleep(2 * time.Second)
	return ""
}

func pauseOne(c *cluster) string {
	p := c.instances[3]
	p.signal(syscall.SIGSTOP)
	time.Sleep(14 * time.Second)
	p.signal(syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	return ""
}

func rollingRestart(c *cluster) string {
	unclean := 0
	for _, p := range c.instances {
		p.signal(syscall.SIGTERM)
		if err := p.wait(); err != nil {
			unclean++
		}
		c.startAndWait(p)
	}
	return fmt.Sprintf("%d of %d stops unclean", unclean, len(c.instances))
}

func injectStoreFault(c *cluster, f standin.StoreFaults, d time.Duration) string {
	c.store.SetFaults(f)
	time.Sleep(d)
	c.store.SetFaults(standin.StoreFaults{})
	time.Sleep(3 * time.Second)
	return ""
}

func loseStoreAnswers(c *cluster) string {
	for range 20 {
		c.store.SetFaults(standin.StoreFaults{LoseWriteReplies: 2})
		time.Sleep(200 * time.Millisecond)
	}
	c.store.SetFaults(standin.StoreFaults{})
	return "40 answers lost after the write"
}

func failingWorker(c *cluster) string {
	w := c.fleet.Workers[0]
	before := sum(w.Runs())
	w.SetFaults(standin.WorkerFaults{FailAll: true})
	time.Sleep(6 * time.Second)
	failed := sum(w.Runs()) - before
	w.SetFaults(standin.WorkerFaults{})
	return fmt.Sprintf("%d requests ran on the failing worker in 6 s", failed)
}

func withdrawAndReturn(c *cluster) string {
	dc := c.manifest.DataCentres[0].Name
	time.Sleep(2 * time.Second)
	outLatency := c.commit(c.withStage(dc, structs.StageOut))
	committed := time.Now()
	time.Sleep(5 * time.Second)
	lateStarts := 0
	var maxDelay time.Duration
	for _, w := range c.fleet.Workers {
		for _, r := range w.Starts() {
			if w.Info().DataCentre == dc && r.StartedAt.After(committed) {
				lateStarts++
				maxDelay = max(maxDelay, r.StartedAt.Sub(committed))
			}
		}
	}
	assert.LessOrEqual(c.t, maxDelay, startAfterWithdrawalLimit, "a task started in %s too late after it was withdrawn", dc)
	returnLatency := c.commit(c.withStage(dc, structs.StageOpen))
	time.Sleep(2 * time.Second)
	return fmt.Sprintf("in force everywhere after %v and %v; %d starts after the commit, the latest after %v",
		outLatency.Round(time.Millisecond), returnLatency.Round(time.Millisecond), lateStarts, maxDelay.Round(time.Millisecond))
}

func sum(runs map[string]int) int {
	n := 0
	for _, k := range runs {
		n += k
	}
	return n
}

// Guards against lost and duplicated requests, answers to other requests, refusals as not run of requests
// that have run, partial gangs and starts after a withdrawal, while real processes are killed, paused and
// cut off from the store.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	c := newCluster(t, 8, verbandManifest(t))
	var table []string
	for _, f := range faultList {
		if !f.inCI && !*measureAll {
			continue
		}
		l := c.startLoad(phaseID(f.name))
		note := f.inject(c)
		l.shutDown()
		table = append(table, c.checkPhase(l, f.name, note))
	}
	if *measureAll {
		fmt.Println("| fault | admitted | answered once | wrong | doubled | lost | refused as not run | may have run | jobs accepted / ended | notes |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
		fmt.Println(strings.Join(table, "\n"))
	}
}

// phaseID turns the name of a fault into a part of request ids.
func phaseID(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, name)
}

// checkPhase checks the results of a phase and returns its row of the table.
func (c *cluster) checkPhase(l *load, name, note string) string {
	runs := c.runs()
	var answered, wrong, duplicated, unanswered, refused, mayHaveRun int
	for _, q := range l.results {
		n := runs[q.workspace+"/"+q.id]
		switch {
		case q.succeeded == 1:
			answered++
		case q.mayHaveRun:
			mayHaveRun++
		case q.notRun != "":
			refused++
			// An earlier call whose connection was lost may have run. The refusal is certainly false only
			// if there was a single call.
			if n > 0 && q.calls == 1 {
				assert.Fail(c.t, "refused as not run, but it has run", "%s: %s %s", name, q.id, q.notRun)
			}
		default:
			unanswered++
			c.t.Logf("%s: %s not answered after %d calls: %s", name, q.id, q.calls, q.lastError)
		}
		if q.wrongAnswer {
			wrong++
		}
		if !q.idempotent && n > 1 {
			duplicated++
			c.t.Logf("%s: %s ran %d times", name, q.id, n)
		}
	}
	ended := c.awaitJobs(l)
	c.checkGangs(l)
	assert.Zero(c.t, wrong, "%s: answers of other requests", name)
	assert.Zero(c.t, duplicated, "%s: non-idempotent requests that ran twice", name)
	assert.Zero(c.t, unanswered, "%s: requests without an answer", name)
	assert.Equal(c.t, len(l.jobs), sum(ended), "%s: accepted jobs that have ended: %v", name, ended)
	row := fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d / %s | %s |", name, len(l.results)-refused, answered, wrong, duplicated,
		unanswered, refused, mayHaveRun, len(l.jobs), formatCounts(ended), strings.TrimSpace(note+" "+formatErrorAnswers(l.errorAnswers)))
	c.t.Log(row)
	return row
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(parts, ", ")
}

func formatErrorAnswers(m map[errkind.Kind]int) string {
	if len(m) == 0 {
		return ""
	}
	parts := map[string]int{}
	for k, n := range m {
		parts[string(k)] = n
	}
	return "refusals with repeats: " + formatCounts(parts)
}

func (c *cluster) runs() map[string]int {
	all := map[string]int{}
	for _, w := range c.fleet.Workers {
		for id, n := range w.Runs() {
			all[id] += n
		}
	}
	return all
}

// awaitJobs waits until all accepted jobs have ended and counts their outcomes.
func (c *cluster) awaitJobs(l *load) map[string]int {
	ended := map[string]int{}
	for id := range l.jobs {
		c.eventually("job "+id+" has ended", func() bool {
			resp, err := c.client.Get("http://" + c.instances[0].info.CallerAddr + "/v1/jobs/" + id + "?wait=2s")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			var r structs.JobRecord
			if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&r) != nil || r.Phase != structs.PhaseEnded {
				return false
			}
			ended[string(r.Outcome)]++
			if r.Outcome != structs.OutcomeSucceeded {
				c.t.Logf("job %s in %s: %s in attempt %d: %s", id, r.DataCentre, r.Outcome, r.Attempt, r.Reason)
			}
			return true
		})
	}
	return ended
}

// checkGangs checks, after the jobs have ended, that no task of them still runs and that no attempt
// started a task twice.
func (c *cluster) checkGangs(l *load) {
	type attempt struct {
		job string
		n   int
	}
	tasks, running := map[attempt]int{}, map[attempt]int{}
	for _, w := range c.fleet.Workers {
		for _, r := range w.Starts() {
			if _, ofPhase := l.jobs[r.Task.Job]; !ofPhase {
				continue
			}
			a := attempt{r.Task.Job, r.Task.Attempt}
			tasks[a]++
			if r.EndedAt.IsZero() {
				running[a]++
			}
		}
	}
	for a, n := range tasks {
		require.LessOrEqual(c.t, n, l.jobs[a.job], "attempt %d of %s started a task twice", a.n, a.job)
		require.Zero(c.t, running[a], "attempt %d of %s still runs after its job has ended", a.n, a.job)
	}
}
