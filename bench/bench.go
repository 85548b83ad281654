// Package bench measures placement policies. It drives the decision core, state and
// scheduler, over virtual time with generated workloads, and compares the policies with
// each other and with the project's targets.
package bench

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
)

// Options choose what Run measures. Zero fields stand for the defaults.
type Options struct {
	Seeds       int      // seeds 1 to Seeds; 10 by default
	Parallel    int      // runs at the same time; 4 by default
	Workloads   []string // all by default
	WorkerSizes []int    // sizes for the time per decision; 50, 630 and 5000 by default
}

const (
	firstFitName  = "first-fit"
	bestFitName   = "best-fit"
	schedulerName = "scheduler"
)

// candidate is a policy that takes part in the comparison.
type candidate struct {
	name     string
	policy   scheduler.Policy
	baseline bool // has no guarantees and transfers; the harness moves the queue of a leaving data centre
}

func candidates() []candidate {
	return []candidate{
		{firstFitName, scheduler.FirstFit{}, true},
		{bestFitName, scheduler.BestFit{}, true},
		{schedulerName, scheduler.New(scheduler.Options{}), false},
	}
}

// Run measures every policy on every workload with every seed.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Seeds <= 0 {
		o.Seeds = 10
	}
	if o.Parallel <= 0 {
		o.Parallel = 4
	}
	if o.WorkerSizes == nil {
		o.WorkerSizes = []int{50, 630, 5000}
	}
	var report Report
	for _, s := range specs() {
		if len(o.Workloads) > 0 && !slices.Contains(o.Workloads, s.name) {
			continue
		}
		w, err := measure(ctx, s, o)
		if err != nil {
			return Report{}, fmt.Errorf("workload %s: %w", s.name, err)
		}
		report.Workloads = append(report.Workloads, w)
	}
	if len(report.Workloads) == 0 {
		return Report{}, fmt.Errorf("no workload among %v", o.Workloads)
	}
	for _, n := range o.WorkerSizes {
		for _, p := range candidates() {
			d, err := decisionTime(ctx, p, n)
			if err != nil {
				return Report{}, err
			}
			report.Decisions = append(report.Decisions, d)
		}
	}
	report.judge()
	return report, nil
}

func measure(ctx context.Context, s *spec, o Options) (WorkloadReport, error) {
	policies := candidates()
	figures := make([][][]figure, len(policies)) // by policy and seed
	offered := make([]float64, o.Seeds)
	jobs := make([]float64, o.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.Parallel)
	for i, p := range policies {
		figures[i] = make([][]figure, o.Seeds)
		for k := range o.Seeds {
			group.Go(func() error {
				w := generate(s, uint64(k+1))
				r := newRun(w, p, uint64(k+1))
				err := r.loop(ctx)
				figures[i][k] = r.m.figures()
				if i == 0 {
					offered[k], jobs[k] = w.offered, float64(len(w.jobs))
				}
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return WorkloadReport{}, err
	}
	report := WorkloadReport{Name: s.name, Seeds: o.Seeds, Grace: s.grace.Seconds(), Offered: newMetric("offered load", offered), Jobs: newMetric("jobs", jobs)}
	for i, p := range policies {
		pr := PolicyReport{Policy: p.name}
		for f := range figures[i][0] {
			values := make([]float64, o.Seeds)
			for k := range values {
				values[k] = figures[i][k][f].value
			}
			pr.Metrics = append(pr.Metrics, newMetric(figures[i][0][f].name, values))
		}
		report.Policies = append(report.Policies, pr)
	}
	return report, nil
}
