// Package faults measures the whole program, as separate processes on loopback, under
// kills, pauses, outages of the platform and operators' changes. The checks need no
// clock: lost and doubled requests, false refusals, half gangs.
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

var measure = flag.Bool("measure", false, "run the whole fault measurement (about 3 minutes) and print its table")

// withdrawalBound is the stated bound of a start after a withdrawal.
const withdrawalBound = 2 * time.Second

// fault is one phase of the measurement: load runs while act does its damage.
type fault struct {
	name  string
	short bool // part of the run in CI
	act   func(c *cluster) string
}

var faultList = []fault{
	{"none", false, func(*cluster) string { time.Sleep(5 * time.Second); return "" }},
	{"two instances killed at once", true, killTwo},
	{"instance paused past its leases", false, pauseOne},
	{"rolling restart", false, rollingRestart},
	{"store down 60 s", false, func(c *cluster) string { return storeFault(c, standin.StoreFaults{Down: true}, 60*time.Second) }},
	{"store slow (300 ms a call)", false, func(c *cluster) string {
		return storeFault(c, standin.StoreFaults{CallDelay: 300 * time.Millisecond}, 8*time.Second)
	}},
	{"store answers lost", true, loseAnswers},
	{"a worker fails everything", false, failingWorker},
	{"operators race", false, func(c *cluster) string {
		accepted, conflicts := c.race(10)
		return fmt.Sprintf("20 commits on 10 revisions: %d accepted, %d conflicts", accepted, conflicts)
	}},
	{"data centre out and in", true, outAndIn},
}

func killTwo(c *cluster) string {
	time.Sleep(2 * time.Second)
	for _, p := range c.instances[1:3] {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.instances[1:3] {
		_ = p.stopped()
	}
	time.Sleep(3 * time.Second)
	for _, p := range c.instances[1:3] {
		c.up(p)
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
		if err := p.stopped(); err != nil {
			unclean++
		}
		c.up(p)
	}
	return fmt.Sprintf("%d of %d stops unclean", unclean, len(c.instances))
}

func storeFault(c *cluster, f standin.StoreFaults, d time.Duration) string {
	c.store.SetFaults(f)
	time.Sleep(d)
	c.store.SetFaults(standin.StoreFaults{})
	time.Sleep(3 * time.Second)
	return ""
}

func loseAnswers(c *cluster) string {
	for range 20 {
		c.store.SetFaults(standin.StoreFaults{LoseWriteReplies: 2})
		time.Sleep(200 * time.Millisecond)
	}
	c.store.SetFaults(standin.StoreFaults{})
	return "40 answers lost after the write"
}

func failingWorker(c *cluster) string {
	w := c.fleet.Workers[0]
	before := total(w.Runs())
	w.SetFaults(standin.WorkerFaults{FailAll: true})
	time.Sleep(6 * time.Second)
	failed := total(w.Runs()) - before
	w.SetFaults(standin.WorkerFaults{})
	return fmt.Sprintf("%d requests ran on the failing worker in 6 s", failed)
}

func outAndIn(c *cluster) string {
	dc := c.manifest.DataCentres[0].Name
	time.Sleep(2 * time.Second)
	inForce := c.commit(c.withStage(dc, structs.StageOut))
	committed := time.Now()
	time.Sleep(5 * time.Second)
	late := 0
	var latest time.Duration
	for _, w := range c.fleet.Workers {
		for _, r := range w.Starts() {
			if w.Info().DataCentre == dc && r.StartedAt.After(committed) {
				late++
				latest = max(latest, r.StartedAt.Sub(committed))
			}
		}
	}
	assert.LessOrEqual(c.t, latest, withdrawalBound, "a task started in %s after it was taken out", dc)
	back := c.commit(c.withStage(dc, structs.StageOpen))
	time.Sleep(2 * time.Second)
	return fmt.Sprintf("in force everywhere after %v and %v; %d starts after the commit, the latest after %v",
		inForce.Round(time.Millisecond), back.Round(time.Millisecond), late, latest.Round(time.Millisecond))
}

func total(runs map[string]int) int {
	n := 0
	for _, k := range runs {
		n += k
	}
	return n
}

// Guards against lost, doubled and crossed answers, refusals that are not true, half gangs
// and starts after a withdrawal, while real processes are killed, paused and cut off.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	c := newCluster(t, 8, verband(t))
	var table []string
	for _, f := range faultList {
		if !f.short && !*measure {
			continue
		}
		l := c.startLoad(phaseID(f.name))
		note := f.act(c)
		l.end()
		table = append(table, c.judge(l, f.name, note))
	}
	if *measure {
		fmt.Println("| fault | admitted | answered once | wrong | doubled | lost | refused as not run | may have run | jobs accepted / ended | notes |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
		fmt.Println(strings.Join(table, "\n"))
	}
}

// phaseID turns a fault's name into a part of request ids.
func phaseID(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, name)
}

// judge checks a phase and returns its row of the table.
func (c *cluster) judge(l *load, name, note string) string {
	runs := c.runs()
	var answered, wrong, doubled, lost, notRun, mayHaveRun int
	for _, q := range l.results {
		n := runs[q.workspace+"/"+q.id]
		switch {
		case q.answered == 1:
			answered++
		case q.mayHaveRun:
			mayHaveRun++
		case q.notRun != "":
			notRun++
			// An earlier try whose connection was lost may have run; only a single try shows
			// that the refusal is false.
			if n > 0 && q.tries == 1 {
				assert.Fail(c.t, "refused as not run and has run", "%s: %s %s", name, q.id, q.notRun)
			}
		default:
			lost++
			c.t.Logf("%s: %s lost after %d tries: %s", name, q.id, q.tries, q.lastError)
		}
		if q.wrong {
			wrong++
		}
		if !q.idempotent && n > 1 {
			doubled++
			c.t.Logf("%s: %s ran %d times", name, q.id, n)
		}
	}
	ended := c.awaitJobs(l)
	c.checkGangs(l)
	assert.Zero(c.t, wrong, "%s: answers of other requests", name)
	assert.Zero(c.t, doubled, "%s: non-idempotent requests that ran twice", name)
	assert.Zero(c.t, lost, "%s: requests without an answer", name)
	assert.Equal(c.t, len(l.jobs), total(ended), "%s: accepted jobs that have ended: %v", name, ended)
	row := fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d / %s | %s |", name, len(l.results)-notRun, answered, wrong, doubled,
		lost, notRun, mayHaveRun, len(l.jobs), counts(ended), strings.TrimSpace(note+" "+refusals(l.refused)))
	c.t.Log(row)
	return row
}

func counts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(parts, ", ")
}

func refusals(m map[errkind.Kind]int) string {
	if len(m) == 0 {
		return ""
	}
	parts := map[string]int{}
	for k, n := range m {
		parts[string(k)] = n
	}
	return "refusals with repeats: " + counts(parts)
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

// awaitJobs waits for the end of the accepted jobs and counts their outcomes.
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

// checkGangs checks, once the jobs have ended, that no part of a gang runs on and that no
// task of an attempt was started twice.
func (c *cluster) checkGangs(l *load) {
	type attempt struct {
		job string
		n   int
	}
	tasks, running := map[attempt]int{}, map[attempt]int{}
	for _, w := range c.fleet.Workers {
		for _, r := range w.Starts() {
			if _, ours := l.jobs[r.Task.Job]; !ours {
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
