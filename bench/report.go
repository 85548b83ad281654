package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Report is the result of Run.
type Report struct {
	Workloads []WorkloadReport `json:"workloads"`
	Decisions []DecisionTime   `json:"decisions"`
	Targets   []Target         `json:"targets"`
}

// WorkloadReport is the result of one workload.
type WorkloadReport struct {
	Name     string         `json:"name"`
	Seeds    int            `json:"seeds"`
	Offered  Metric         `json:"offered_load"`
	Jobs     Metric         `json:"jobs"`
	Grace    float64        `json:"grace_s"` // for a checkpoint before a preemption
	Policies []PolicyReport `json:"policies"`
}

// PolicyReport is the result of one policy on one workload.
type PolicyReport struct {
	Policy  string   `json:"policy"`
	Metrics []Metric `json:"metrics"`
}

// Metric is a measurement over all seeds.
type Metric struct {
	Name   string    `json:"name"`
	Median float64   `json:"median"`
	Low    float64   `json:"low"`
	High   float64   `json:"high"`
	Values []float64 `json:"values"` // by seed
}

// Target reports whether a target is met on a workload.
type Target struct {
	Workload string  `json:"workload"`
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"`
	Figure   float64 `json:"figure"`
	Met      bool    `json:"met"`
}

func median(values []float64) float64 {
	v := slices.Sorted(slices.Values(values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

func newMetric(name string, values []float64) Metric {
	return Metric{Name: name, Median: median(values), Low: slices.Min(values), High: slices.Max(values), Values: values}
}

func (w *WorkloadReport) metric(policy, name string) Metric {
	for _, p := range w.Policies {
		for _, m := range p.Metrics {
			if p.Policy == policy && m.Name == name {
				return m
			}
		}
	}
	return Metric{Name: name, Median: math.NaN()}
}

// ratio returns the median over the seeds of the scheduler's metric divided by another policy's metric.
func (w *WorkloadReport) ratio(name, other, otherName string) float64 {
	values, base := w.metric(schedulerName, name), w.metric(other, otherName)
	ratios := make([]float64, len(values.Values))
	for i := range ratios {
		ratios[i] = values.Values[i] / base.Values[i]
	}
	return median(ratios)
}

// checkTargets compares the scheduler with the targets. Guarantee breaches and the time from claim to
// start are compared by their highest value over all seeds, other metrics by their median.
func (r *Report) checkTargets() {
	if !slices.ContainsFunc(candidates(), func(p candidate) bool { return p.name == schedulerName }) {
		return
	}
	atMost := func(workload, name string, figure, bound float64) {
		r.Targets = append(r.Targets, Target{workload, name, bound, figure, figure <= bound})
	}
	for i := range r.Workloads {
		w := &r.Workloads[i]
		atMost(w.Name, interactiveP99, w.metric(schedulerName, interactiveP99).Median, 1.2)
		usefulWork := w.metric(schedulerName, usefulWorkShare).Median
		r.Targets = append(r.Targets, Target{w.Name, usefulWorkShare, 0.95, usefulWork, usefulWork >= 0.95})
		atMost(w.Name, "fragmentation divided by first fit's", w.ratio(fragmentation, firstFitName, fragmentation), 1.0/3)
		atMost(w.Name, "mean completion divided by best fit's", w.ratio(meanCompletion, bestFitName, meanCompletion), 0.75)
		// No policy can have a lower mean completion than jobs that never wait.
		atMost(w.Name, "lowest possible of that: run time without any wait", w.ratio(meanRunTime, bestFitName, meanCompletion), 0.75)
		atMost(w.Name, guaranteeBreaches, w.metric(schedulerName, guaranteeBreaches).High, 0)
		atMost(w.Name, claimToStart, w.metric(schedulerName, claimToStart).High, claimStartLimit.Seconds()+w.Grace)
	}
	for _, d := range r.Decisions {
		if d.Policy == schedulerName && d.Workers == 630 {
			atMost("two-year", "decision at 630 workers p50 (ms)", d.P50, 1)
		}
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, w := range r.Workloads {
		fmt.Fprintf(t, "%s: %d seeds, %.0f jobs, offered load %.2f [%.2f, %.2f]\n", w.Name, w.Seeds, w.Jobs.Median, w.Offered.Median, w.Offered.Low, w.Offered.High)
		fmt.Fprint(t, "median [lowest, highest]")
		for _, p := range w.Policies {
			fmt.Fprintf(t, "\t%s", p.Policy)
		}
		for i, m := range w.Policies[0].Metrics {
			fmt.Fprintf(t, "\n%s", m.Name)
			for _, p := range w.Policies {
				fmt.Fprintf(t, "\t%.4g [%.4g, %.4g]", p.Metrics[i].Median, p.Metrics[i].Low, p.Metrics[i].High)
			}
		}
		fmt.Fprint(t, "\n\n")
	}
	fmt.Fprintln(t, "time per decision\tworkers\tqueued\tp50 ms\tp99 ms")
	for _, d := range r.Decisions {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\n", d.Policy, d.Workers, d.Queued, d.P50, d.P99)
	}
	fmt.Fprintln(t, "\ntarget\tworkload\tbound\tfigure\tmet")
	for _, x := range r.Targets {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%t\n", x.Name, x.Workload, x.Bound, x.Figure, x.Met)
	}
	return t.Flush()
}
