package demo

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// withdrawalGrace is the time after a withdrawal in which tasks may still start in the data centre.
const withdrawalGrace = 2 * time.Second

// check compares the callers' replies with the runs and starts recorded by the workers.
func (s *session) check() error {
	for _, f := range []func() error{s.checkRequests, s.checkJobs, s.checkGangs, s.checkWithdrawals} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// runCounts returns the number of runs of each short request, over all workers.
func (s *session) runCounts() map[string]int {
	total := map[string]int{}
	for _, w := range s.fleet.Workers {
		for id, n := range w.Runs() {
			total[id] += n
		}
	}
	return total
}

func (s *session) checkRequests() error {
	runs := s.runCounts()
	answered := map[string]int{}
	for _, q := range s.sent {
		id := q.Workspace + "/" + q.ID
		switch {
		case q.reply.ok():
			answered[id]++
			if got, want := string(q.reply.Body), "done:"+q.Body; got != want {
				return fmt.Errorf("request %s: reply is %q, want %q", id, got, want)
			}
			if runs[id] == 0 {
				return fmt.Errorf("request %s was answered but ran on no worker", id)
			}
		case q.reply.Status == 0:
			return fmt.Errorf("request %s got no reply: %s", id, q.reply.Message)
		case q.reply.RunState == errkind.NotRun && runs[id] > 0:
			return fmt.Errorf("request %s was refused with run state not_run but ran %d times", id, runs[id])
		}
		if !q.Idempotent && runs[id] > 1 {
			return fmt.Errorf("non-idempotent request %s ran %d times", id, runs[id])
		}
	}
	if n := answered[s.manifest.Workspaces[0].Name+"/sent-twice"]; n != 1 {
		return fmt.Errorf("request sent-twice was answered %d times, want 1", n)
	}
	return nil
}

func (s *session) checkJobs() error {
	for _, j := range s.jobs {
		if !j.reply.ok() {
			if j.reply.RunState != errkind.NotRun {
				return fmt.Errorf("job %s was refused with run state %q", j.id, j.reply.RunState)
			}
			continue
		}
		if j.record.Outcome != structs.OutcomeSucceeded {
			return fmt.Errorf("job %s ended as %s: %s", j.id, j.record.Outcome, j.record.Reason)
		}
	}
	return nil
}

// attempt identifies an attempt of a job.
type attempt struct {
	job    string
	number int
}

// taskStarts returns the task starts of each attempt.
func (s *session) taskStarts() map[attempt][]standin.StartRecord {
	starts := map[attempt][]standin.StartRecord{}
	for _, w := range s.fleet.Workers {
		for _, r := range w.Starts() {
			a := attempt{r.Task.Job, r.Task.Attempt}
			starts[a] = append(starts[a], r)
		}
	}
	return starts
}

func (s *session) checkGangs() error {
	starts := s.taskStarts()
	for _, j := range s.jobs {
		attempts := 0
		for a, records := range starts {
			if a.job != j.id {
				continue
			}
			if len(records) != j.tasks {
				return fmt.Errorf("attempt %d of job %s started %d of %d tasks", a.number, a.job, len(records), j.tasks)
			}
			attempts++
		}
		if (attempts > 0) != j.reply.ok() {
			return fmt.Errorf("job %s: accepted is %v, but it has %d attempts", j.id, j.reply.ok(), attempts)
		}
	}
	return nil
}

func (s *session) checkWithdrawals() error {
	for _, o := range s.withdrawals {
		for _, w := range s.fleet.Workers {
			if w.Info().DataCentre != o.dataCentre {
				continue
			}
			for _, r := range w.Starts() {
				if r.StartedAt.After(o.withdrawnAt.Add(withdrawalGrace)) && r.StartedAt.Before(o.returnStart) {
					return fmt.Errorf("%v started in %s %v after the data centre was taken out", r.Task, o.dataCentre, r.StartedAt.Sub(o.withdrawnAt))
				}
			}
		}
	}
	return nil
}

// report prints the counts of replies, the outcomes of the jobs and the placements of the gangs.
func (s *session) report() {
	counts := map[string]int{}
	for _, q := range s.sent {
		switch {
		case q.reply.ok():
			counts["answered"]++
		default:
			counts[fmt.Sprintf("refused %s (%s)", q.reply.Kind, q.reply.RunState)]++
		}
	}
	s.printf("\nshort requests: %d sent\n", len(s.sent))
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		s.printf("  %-40s %d\n", what, counts[what])
	}
	s.printf("gang jobs: %d submitted\n", len(s.jobs))
	for _, j := range s.jobs {
		if j.reply.ok() {
			s.printf("  %-24s %s in attempt %d, answer %q\n", j.id, j.record.Outcome, j.record.Attempt, j.record.Answer)
		}
	}
	s.reportPlacements()
}

func (s *session) reportPlacements() {
	s.printf("placements\n")
	starts := s.taskStarts()
	attempts := slices.SortedFunc(maps.Keys(starts), func(a, b attempt) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.number, b.number))
	})
	workerOf := map[attempt][]string{}
	for _, w := range s.fleet.Workers {
		for _, r := range w.Starts() {
			a := attempt{r.Task.Job, r.Task.Attempt}
			workerOf[a] = append(workerOf[a], w.Info().ID)
		}
	}
	for _, a := range attempts {
		slices.Sort(workerOf[a])
		s.printf("  %-24s attempt %d: %v\n", a.job, a.number, workerOf[a])
	}
}
