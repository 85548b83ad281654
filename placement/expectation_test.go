package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// learned answers with fixed run times by workspace, and with the declared one for others.
type learned struct {
	median, high map[string]time.Duration
	speed        map[string]float64
}

func (l learned) Expect(q runtimes.Query) runtimes.Expectation {
	if m, ok := l.median[q.Workspace]; ok {
		return runtimes.Expectation{Median: m, High: max(m, l.high[q.Workspace]), Learned: true}
	}
	return runtimes.Expectation{Median: q.Declared, High: q.Declared}
}

func (l learned) Speed(worker string) float64 {
	if s, ok := l.speed[worker]; ok {
		return s
	}
	return 1
}

// use replaces the fixture's policy by one with learned run times.
func (w *fixture) use(l placement.RunTimes, uses string) {
	u, err := placement.ParseUses(uses)
	if err != nil {
		panic(err)
	}
	w.p = placement.New(placement.Options{FarFactor: 3, StopTimeout: 900 * time.Millisecond, RunTimes: l, Uses: u})
}

// Guards against a switch that changes another decision than its own, and against a misspelt one that has no effect.
func TestParseUses(t *testing.T) {
	for list, want := range map[string]placement.Uses{
		"": {}, "order": {Order: true}, "loss, leave": {Loss: true, Leave: true}, "straggler,rack": {Straggler: true, Rack: true},
	} {
		got, err := placement.ParseUses(list)
		require.NoError(t, err)
		assert.Equal(t, want, got, list)
	}
	_, err := placement.ParseUses("order,losses")
	require.ErrorContains(t, err, `"losses"`)
	assert.True(t, placement.Uses{Rack: true}.Any())
	assert.False(t, placement.Uses{}.Any())
}

// Two steps declare an hour; one is known to take a second and has the earlier deadline. Guards against an order by
// declared run times alone, and against one that changes without the switch.
func TestOrderByLearnedRunTime(t *testing.T) {
	for uses, first := range map[string]string{"": "declared", "order": "short", "loss,leave,straggler,rack": "declared"} {
		w := newFixture(1, 1)
		w.use(learned{median: map[string]time.Duration{"short": time.Second}}, uses)
		w.submit(batch, "declared", step(8, 1, time.Hour))
		w.submit(batch, "short", step(8, 1, time.Hour))
		plan := w.advance(0)
		require.NotEmpty(t, plan.Starts)
		assert.Equal(t, first, plan.Starts[0].Task.Step.Occurrence.Job.Submission.Workspace, "uses %q", uses)
	}
}

// All workers hold runs of a less urgent job, half of them near their end by expectation. Guards against preemption of
// runs that end as soon as the stop would, whose work is nearly whole.
func TestRunNearItsEndIsNotPreempted(t *testing.T) {
	for uses, near := range map[string]bool{"": true, "loss": false} {
		w := newFixture(1, 2)
		w.use(learned{median: map[string]time.Duration{"ending": 5 * time.Second, "long": time.Minute}}, uses)
		w.submit(batch, "long", step(8, 1, 10*time.Second))
		w.advance(500 * time.Millisecond)
		w.submit(batch, "ending", step(8, 1, 10*time.Second))
		w.advance(4500 * time.Millisecond)
		w.submit(urgent, "u", step(1, 8, 2500*time.Millisecond))
		plan := w.decide()
		require.NotEmpty(t, plan.Stops, "uses %q", uses)
		for _, r := range plan.Stops {
			assert.Equal(t, near, r.Task.Step.Occurrence.Job.Submission.Workspace == "ending", "uses %q", uses)
		}
	}
}

// A worker leaves in 5 s. Runs that declare an hour and take 2 s end before; runs that declare a second, take 20 s and
// have no rate do not. Guards against stops and lost work by declared run times that are wrong.
func TestLeavingWorkerByLearnedRunTime(t *testing.T) {
	l := learned{median: map[string]time.Duration{"short": 2 * time.Second, "long": 20 * time.Second}}
	for uses, stopped := range map[string]string{"": "short", "leave": "long"} {
		w := newFixture(1, 1)
		w.use(l, uses)
		w.submit(batch, "short", step(2, 1, time.Hour))
		w.submit(batch, "long", step(2, 1, time.Second))
		w.advance(500 * time.Millisecond)
		for _, worker := range w.c.Workers {
			worker.Draining, worker.LeavesAt = true, w.now.Add(5*time.Second)
		}
		plan := w.decide()
		require.Len(t, plan.Stops, 2, "uses %q", uses)
		for _, r := range plan.Stops {
			assert.Equal(t, stopped, r.Task.Step.Occurrence.Job.Submission.Workspace, "uses %q", uses)
		}
	}
}

// A run of 4 s, with a high quantile of twice that, has worked for 0.5 s when its worker announces that it leaves in 3.6 s.
// Guards against a rest of half of the high quantile, 3.75 s, before the median has passed.
func TestRestOfARunBeforeItsMedian(t *testing.T) {
	w := newFixture(1, 1)
	w.use(learned{median: map[string]time.Duration{"a": 4 * time.Second}, high: map[string]time.Duration{"a": 8 * time.Second}}, "leave")
	w.submit(batch, "a", step(1, 1, time.Hour))
	w.advance(500 * time.Millisecond)
	w.announceLeave(w.c.SortedWorkers()[0], 3600*time.Millisecond)
	assert.Empty(t, w.decide().Stops)
}

// A single task runs far beyond the high quantile. Guards against a task that works on to its end on a worker that is
// slow for other steps too, and against the stop of a task that is long itself, on a worker of usual speed.
func TestLongSingleTaskOnSlowWorker(t *testing.T) {
	for _, c := range []struct {
		uses  string
		speed float64
		stops int
	}{{"", 0.5, 0}, {"straggler", 0.5, 1}, {"straggler", 1, 0}} {
		w := newFixture(1, 2)
		w.submit(batch, "a", step(1, 1, 2*time.Second))
		runs := w.startAnswered()
		require.Len(t, runs, 1)
		w.use(learned{median: map[string]time.Duration{"a": 2 * time.Second}, high: map[string]time.Duration{"a": 3 * time.Second},
			speed: map[string]float64{runs[0].Worker.ID: c.speed}}, c.uses)
		for range 10 {
			w.now = w.now.Add(500 * time.Millisecond)
			w.observe(5, nil)
		}
		plan := w.decide()
		assert.Len(t, plan.Stops, c.stops, "uses %q, speed %v", c.uses, c.speed)
	}
}

// Guards against a wait for the preferred rack by a declared run time that is far too long: the wait costs more than the
// rack saves.
func TestRackWaitByLearnedRunTime(t *testing.T) {
	for uses, want := range map[string]time.Duration{"": 10 * time.Second, "rack": 2 * time.Second} {
		w := newFixture(2, 1)
		w.use(learned{median: map[string]time.Duration{"a": time.Second}}, uses)
		s := step(1, 1, 10*time.Second)
		s.DataRack = "r0"
		j := w.submit(batch, "a", s)
		wait := w.p.Explain(w.c, j.Occurrences[0].Steps[0], w.workspace, w.now).Rack.Wait
		assert.InDelta(t, want.Seconds(), wait.Seconds(), 0.7, "uses %q", uses)
	}
}

// Guards against intervals of rates by a declared run time of an hour: the rate of a task of 2 s would never be known.
func TestRateIntervalByLearnedRunTime(t *testing.T) {
	for uses, known := range map[string]bool{"": false, "straggler": true} {
		w := newFixture(1, 1)
		w.use(learned{median: map[string]time.Duration{"a": 2 * time.Second}}, uses)
		w.submit(batch, "a", step(1, 1, time.Hour))
		runs := w.startAnswered()
		w.now = w.now.Add(time.Second)
		w.observe(50, nil)
		assert.Equal(t, known, runs[0].HasRate, "uses %q", uses)
	}
}

// exactRunTimes is a model that has seen runs of the given steps, which took the declared time up to the resolution of
// the clock, and speeds of workers that it knows.
type exactRunTimes struct {
	*runtimes.Model
	*runtimes.Speeds
}

func (e exactRunTimes) Speed(worker string) float64 { return e.Of(worker) }

func newExactRunTimes(samples int, jobs ...*jobstate.Job) exactRunTimes {
	e := exactRunTimes{runtimes.NewModel(), runtimes.NewSpeeds()}
	for _, j := range jobs {
		q := placement.RunTimeQuery(j.Occurrences[0].Steps[0])
		for range samples {
			e.Model.Observe(runtimes.Sample{Query: q, Actual: q.Declared, Weight: 1})
		}
	}
	return e
}

const allUses = "order,loss,leave,straggler,rack"

// Guards against any use that changes a decision while nothing is learned, while what is learned equals the declared run
// times, or for a declared run time of zero or a year: starts, stops for urgent steps, and runs on workers that leave.
func TestLearnedRunTimesThatEqualDeclaredOnes(t *testing.T) {
	stops := 0
	for _, samples := range []int{0, 2, 30} {
		for _, estimate := range []time.Duration{0, 2 * time.Second, 6 * time.Second, 365 * 24 * time.Hour} {
			for _, notice := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, time.Hour} {
				plain, with := newFixture(2, 2), newFixture(2, 2)
				plain.use(nil, "") // with the same time-out of stops
				for _, w := range []*fixture{plain, with} {
					near := step(4, 1, estimate)
					near.DataRack = "r0"
					jobs := []*jobstate.Job{w.submit(batch, "a", step(20, 1, estimate)), w.submit(draft, "b", gang(3, 4, estimate)),
						w.submit(batch, "d", step(1, 1, estimate)), w.submit(batch, "e", near)}
					if w == with {
						w.use(newExactRunTimes(samples, jobs...), allUses)
					}
				}
				for n := range 8 {
					if n == 2 {
						for _, w := range []*fixture{plain, with} {
							w.announceLeave(w.c.SortedWorkers()[0], notice)
						}
					}
					if n == 5 {
						for _, w := range []*fixture{plain, with} {
							w.submit(urgent, "c", gang(2, 8, estimate))
						}
					}
					a, b := plain.advance(time.Second), with.advance(time.Second)
					stops += len(a.Stops)
					assert.Equal(t, names(a.Starts), names(b.Starts), "%d samples, %v, notice %v", samples, estimate, notice)
					assert.Equal(t, names(a.Stops), names(b.Stops), "%d samples, %v, notice %v", samples, estimate, notice)
				}
			}
		}
	}
	assert.GreaterOrEqual(t, stops, 12, "the scenarios have to stop runs")
}

func names(runs []*jobstate.Run) []string {
	var list []string
	for _, r := range runs {
		list = append(list, r.Task.Name().String()+"@"+r.Worker.ID)
	}
	return list
}
