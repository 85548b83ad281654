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

// withdrawalBound is how long after its withdrawal a data centre may still start work.
const withdrawalBound = 2 * time.Second

// check compares what callers got with what the workers saw.
func (s *session) check() error {
	for _, f := range []func() error{s.checkRequests, s.checkJobs, s.checkGangs, s.checkWithdrawals} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// runs returns how often each short request ran on any worker.
func (s *session) runs() map[string]int {
	total := map[string]int{}
	for _, w := range s.fleet.Workers {
		for id, n := range w.Runs() {
			total[id] += n
		}
	}
	return total
}

func (s *session) checkRequests() error {
	runs := s.runs()
	answered := map[string]int{}
	for _, q := range s.sent {
		id := q.Workspace + "/" + q.ID
		switch {
		case q.reply.ok():
			answered[id]++
			if got, want := string(q.reply.Body), "done:"+q.Body; got != want {
				return fmt.Errorf("request %s: answer %q is not that of the request, %q", id, got, want)
			}
			if runs[id] == 0 {
				return fmt.Errorf("request %s was answered and never ran", id)
			}
		case q.reply.Status == 0:
			return fmt.Errorf("request %s got no answer: %s", id, q.reply.Message)
		case q.reply.RunState == errkind.NotRun && runs[id] > 0:
			return fmt.Errorf("request %s was refused as not run and ran %d times", id, runs[id])
		}
		if !q.Idempotent && runs[id] > 1 {
			return fmt.Errorf("non-idempotent request %s ran %d times", id, runs[id])
		}
	}
	if n := answered[s.manifest.Workspaces[0].Name+"/sent-twice"]; n != 1 {
		return fmt.Errorf("the request that was sent twice was answered %d times", n)
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

// attempt names one attempt of a job.
type attempt struct {
	job    string
	number int
}

// starts returns the starts of every attempt.
func (s *session) starts() map[attempt][]standin.StartRecord {
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
	starts := s.starts()
	for _, j := range s.jobs {
		whole := 0
		for a, records := range starts {
			if a.job != j.id {
				continue
			}
			if len(records) != j.tasks {
				return fmt.Errorf("attempt %d of job %s started %d of %d tasks", a.number, a.job, len(records), j.tasks)
			}
			whole++
		}
		if (whole > 0) != j.reply.ok() {
			return fmt.Errorf("job %s: accepted %v, attempts %d", j.id, j.reply.ok(), whole)
		}
	}
	return nil
}

func (s *session) checkWithdrawals() error {
	for _, o := range s.outages {
		for _, w := range s.fleet.Workers {
			if w.Info().DataCentre != o.dataCentre {
				continue
			}
			for _, r := range w.Starts() {
				if r.StartedAt.After(o.committed.Add(withdrawalBound)) && r.StartedAt.Before(o.returned) {
					return fmt.Errorf("%v started in %s %v after it was taken out", r.Task, o.dataCentre, r.StartedAt.Sub(o.committed))
				}
			}
		}
	}
	return nil
}

// report prints what the callers got and where the gangs ran.
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
	starts := s.starts()
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
