// Command compare plays the same days with the same seeds on two or more checkouts of the repository and
// prints the paired differences of their worth.
//
//	go -C tools run ./compare --bench PROGRAM --site FILE --old DIR --new DIR... [--day NAME]... [--seed N]... [--jobs N]
//
// Each checkout is built once. All plays of a day with a seed follow each other closely, so that the load of
// the machine affects them alike. A difference beyond twice its standard error is marked with an asterisk.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

type options struct {
	Bench string   `long:"bench" required:"true" description:"program of the users' bench"`
	Site  string   `long:"site" required:"true" description:"site file"`
	Old   string   `long:"old" required:"true" description:"checkout to compare with"`
	New   []string `long:"new" required:"true" description:"checkout to measure; repeat for more"`
	Days  []string `long:"day" description:"name of a day or path of a day file; all standard days with trouble if absent"`
	Seeds []int    `long:"seed" description:"seed; 1 to 4 if absent"`
	Jobs  int      `long:"jobs" default:"4" description:"plays at a time"`
	NoCPU bool     `long:"no-cpu" description:"charge no processor time"`
	JSON  string   `long:"json" description:"file that gets the figures of all plays"`
}

// significance is the multiple of the standard error beyond which a difference is marked.
const significance = 2

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var shown *flags.Error
		if errors.As(err, &shown) && shown.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(context.Background(), o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// play is the outcome of one day with one seed on one checkout.
type play struct {
	Worth   float64 `json:"worth"`
	Served  float64 `json:"served"`
	Starts  float64 `json:"starts"`  // runs that were started
	Stopped float64 `json:"stopped"` // runs that were stopped
	Wasted  float64 `json:"wasted"`  // worth lost by discarded work
	Parts   parts   `json:"parts"`
	Broken  string  `json:"broken,omitempty"` // broken rules and faults
}

// parts are the weighted parts of the worth before prices.
type parts struct {
	Day, Windows, Class, Tenants float64
}

// pair is a day with a seed, played on the old and on a new checkout.
type pair struct {
	Checkout string // the new one
	Day      string
	Seed     int
	Old, New play
}

func run(ctx context.Context, o options, out io.Writer) error {
	if len(o.Days) == 0 {
		o.Days = []string{"trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []int{1, 2, 3, 4}
	}
	for _, dir := range append([]string{o.Old}, o.New...) {
		if text, err := bench(ctx, o, dir, "build"); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", dir, err, text)
		}
	}
	pairs, err := playAll(ctx, o)
	if err != nil {
		return err
	}
	if o.JSON != "" {
		raw, err := json.MarshalIndent(pairs, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, raw, 0o644); err != nil {
			return err
		}
	}
	for _, dir := range o.New {
		own := slices.DeleteFunc(slices.Clone(pairs), func(p pair) bool { return p.Checkout != dir })
		if err := printTable(out, dir, o.Days, own); err != nil {
			return err
		}
	}
	return nil
}

// playAll plays each day with each seed once on the old checkout and once on each new one.
func playAll(ctx context.Context, o options) ([]pair, error) {
	pairs := make([]pair, 0, len(o.Days)*len(o.Seeds)*len(o.New))
	for _, day := range o.Days {
		for _, seed := range o.Seeds {
			for _, dir := range o.New {
				pairs = append(pairs, pair{Checkout: dir, Day: day, Seed: seed})
			}
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, o.Jobs))
	for same := range slices.Chunk(pairs, len(o.New)) {
		group.Go(func() error {
			old, err := playDay(ctx, o, o.Old, same[0].Day, same[0].Seed)
			for n := range same {
				same[n].Old = old
			}
			return err
		})
		for n := range same {
			p := &same[n]
			group.Go(func() (err error) { p.New, err = playDay(ctx, o, p.Checkout, p.Day, p.Seed); return err })
		}
	}
	return pairs, group.Wait()
}

func bench(ctx context.Context, o options, dir string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, o.Bench, args...)
	cmd.Dir = dir
	text, err := cmd.CombinedOutput()
	return string(text), err
}

func playDay(ctx context.Context, o options, dir, day string, seed int) (play, error) {
	tmp, err := os.MkdirTemp("", "compare")
	if err != nil {
		return play{}, err
	}
	defer os.RemoveAll(tmp)
	file := filepath.Join(tmp, "report.json")
	args := []string{"run", o.Site, day, "--seed", strconv.Itoa(seed), "--jobs", "1", "--report", file}
	if o.NoCPU {
		args = append(args, "--no-cpu")
	}
	text, err := bench(ctx, o, dir, args...)
	raw, readErr := os.ReadFile(file)
	if readErr != nil {
		return play{}, fmt.Errorf("%s, %s with seed %d: no report: %w\n%s", dir, day, seed, errors.Join(err, readErr), text)
	}
	return decode(raw)
}

// report is the part of the bench's report that is compared.
type report struct {
	Worth  float64         `json:"G"`
	Served float64         `json:"served"`
	Parts  [][]any         `json:"parts"`  // name, weight, value
	Prices [][]any         `json:"prices"` // name, amount, price
	Breaks map[string]any  `json:"breaks"`
	Fault  json.RawMessage `json:"fault"`
	Hints  []string        `json:"hints"`
}

var runCounts = regexp.MustCompile(`(\d+) runs: .* (\d+) stopped`)

func decode(raw []byte) (play, error) {
	var r report
	if err := json.Unmarshal(raw, &r); err != nil {
		return play{}, err
	}
	p := play{Worth: r.Worth, Served: r.Served}
	p.Parts = parts{
		Day:     value(r.Parts, "whole day"),
		Windows: value(r.Parts, "worst windows"),
		Class:   value(r.Parts, "worst class"),
		Tenants: value(r.Parts, "worst tenants"),
	}
	p.Wasted = value(r.Prices, "core-seconds of work thrown away")
	for _, hint := range r.Hints {
		if m := runCounts.FindStringSubmatch(hint); m != nil {
			p.Starts, _ = strconv.ParseFloat(m[1], 64)
			p.Stopped, _ = strconv.ParseFloat(m[2], 64)
		}
	}
	for rule := range r.Breaks {
		p.Broken += rule + " "
	}
	if len(r.Fault) > 0 && string(r.Fault) != "null" {
		p.Broken += string(r.Fault)
	}
	return p, nil
}

// value returns the third entry of the row with the name, or 0.
func value(rows [][]any, name string) float64 {
	for _, row := range rows {
		if len(row) == 3 && row[0] == name {
			v, _ := row[2].(float64)
			return v
		}
	}
	return 0
}

func printTable(out io.Writer, title string, days []string, pairs []pair) error {
	fmt.Fprintln(out, title)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\tplays\told\tnew\tdifference\terror\t\tstopped old\tnew\twasted old\tnew\tbroken old\tnew\t")
	for _, day := range days {
		var own []pair
		for _, p := range pairs {
			if p.Day == day {
				own = append(own, p)
			}
		}
		printRow(w, filepath.Base(day), own)
	}
	printRow(w, "all", pairs)
	return w.Flush()
}

func printRow(out io.Writer, name string, pairs []pair) {
	differences := column(pairs, func(p pair) float64 { return p.New.Worth - p.Old.Worth })
	mean, deviation := stat.MeanStdDev(differences, nil)
	err := stat.StdErr(deviation, float64(len(differences)))
	mark := ""
	if max(mean, -mean) > significance*err {
		mark = "*"
	}
	fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\t", name, len(pairs),
		average(pairs, func(p pair) float64 { return p.Old.Worth }), average(pairs, func(p pair) float64 { return p.New.Worth }), mean, err, mark)
	fmt.Fprintf(out, "%.1f%%\t%.1f%%\t", stoppedPercent(pairs, func(p pair) play { return p.Old }), stoppedPercent(pairs, func(p pair) play { return p.New }))
	fmt.Fprintf(out, "%.3f\t%.3f\t", average(pairs, func(p pair) float64 { return p.Old.Wasted }), average(pairs, func(p pair) float64 { return p.New.Wasted }))
	fmt.Fprintf(out, "%s\t%s\t\n", broken(pairs, func(p pair) play { return p.Old }), broken(pairs, func(p pair) play { return p.New }))
}

func column(pairs []pair, f func(pair) float64) []float64 {
	list := make([]float64, len(pairs))
	for n, p := range pairs {
		list[n] = f(p)
	}
	return list
}

func average(pairs []pair, f func(pair) float64) float64 { return stat.Mean(column(pairs, f), nil) }

// stoppedPercent returns the share of all starts that were stopped.
func stoppedPercent(pairs []pair, side func(pair) play) float64 {
	starts, stopped := 0.0, 0.0
	for _, p := range pairs {
		starts += side(p).Starts
		stopped += side(p).Stopped
	}
	if starts == 0 {
		return 0
	}
	return 100 * stopped / starts
}

// broken lists the plays that broke a rule or had a fault.
func broken(pairs []pair, side func(pair) play) string {
	text := ""
	for _, p := range pairs {
		if b := side(p).Broken; b != "" {
			text += fmt.Sprintf("%d: %s", p.Seed, b)
		}
	}
	return text
}
