package runtimes_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

func observe(m *runtimes.Model, q runtimes.Query, actual time.Duration, times int) {
	for range times {
		m.Observe(runtimes.Sample{Query: q, Actual: actual, Weight: 1})
	}
}

// Guards against an expectation of nothing, or one that overflows, for jobs that declare no run time or a year, and
// against such jobs spoiling the expectations of others.
func TestDeclaredRunTimesOfZeroAndOfAYear(t *testing.T) {
	const year = 365 * 24 * time.Hour
	m := runtimes.NewModel()
	ordinary, none, long := query(kinds[0], "a", 10), query(kinds[0], "a", 0), query(kinds[0], "a", year.Seconds())
	assert.Zero(t, m.Expect(none).Median)
	assert.Equal(t, year, m.Expect(long).Median)
	assert.Positive(t, m.Expect(long).High)
	observe(m, ordinary, 10*time.Second, 20)
	observe(m, none, 2*time.Hour, 10)
	assert.InDelta(t, (2 * time.Hour).Seconds(), m.Expect(none).Median.Seconds(), 10)
	observe(m, long, 10*time.Second, 10)
	assert.GreaterOrEqual(t, m.Expect(long).Median, year/16)
	e := m.Expect(ordinary)
	assert.InDelta(t, 10, e.Median.Seconds(), 2.5)
	assert.GreaterOrEqual(t, e.High, e.Median)
	m.Observe(runtimes.Sample{Query: ordinary, Actual: 0, Weight: 1})
	m.Observe(runtimes.Sample{Query: ordinary, Actual: time.Hour, Weight: math.NaN()})
	assert.Equal(t, e, m.Expect(ordinary))
}

// Guards against expectations that stay at the earlier work of a route: 60 jobs after its work has become four times as
// long, they are those of the new work.
func TestRouteThatChangesItsWork(t *testing.T) {
	m := runtimes.NewModel()
	q := query(kinds[1], "a", 5)
	observe(m, q, 5*time.Second, 200)
	assert.Equal(t, 5*time.Second, m.Expect(q).Median, "a declared run time that proves right")
	observe(m, q, 20*time.Second, 60)
	assert.InDelta(t, 20, m.Expect(q).Median.Seconds(), 4)
	assert.True(t, m.Expect(q).Learned)
}

// One workspace sends ten times as many jobs as each of three others on the route, and its tasks run eight times as
// long as declared. Guards against expectations of the others that it bends: those of a workspace with runs of its own
// by a tenth, those of a new one by a factor of two.
func TestOneWorkspaceThatDeclaresFalsely(t *testing.T) {
	m := runtimes.NewModel()
	for range 60 {
		for _, name := range []string{"b", "c", "d"} {
			observe(m, query(kinds[2], name, 6), 6*time.Second, 1)
		}
		observe(m, query(kinds[2], "false", 6), 48*time.Second, 10)
	}
	assert.InDelta(t, 48, m.Expect(query(kinds[2], "false", 6)).Median.Seconds(), 10)
	assert.InDelta(t, 6, m.Expect(query(kinds[2], "b", 6)).Median.Seconds(), 0.6)
	assert.Less(t, m.Expect(query(kinds[2], "new", 6)).Median, 12*time.Second)
}

// A job with 230 tasks, all twice as long as declared, ends among jobs that took the declared time. Guards against one
// job that counts as many.
func TestTasksOfOneJobCountAsOneJob(t *testing.T) {
	m := runtimes.NewModel()
	q := query(kinds[2], "a", 6)
	observe(m, q, 6*time.Second, 10)
	for range 230 {
		m.Observe(runtimes.Sample{Query: q, Actual: 12 * time.Second, Weight: 1.0 / 230})
	}
	assert.Equal(t, 6*time.Second, m.Expect(q).Median)
	assert.InDelta(t, 11, m.Expect(q).Samples, 2)
}

// Guards against runs that were stopped, lapsed or still run counting as ended after that time: a censored run never
// lowers an expectation, never counts as a sample, and one that is beyond the expectation raises it.
func TestCensoredRunsNeverLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.9).Draw(t, "off"))
		m := runtimes.NewModel()
		l.run(m, rapid.IntRange(0, 40).Draw(t, "jobs"), 3)
		k := kinds[rapid.IntRange(0, 2).Draw(t, "kind")]
		probes := []runtimes.Query{query(k, "w0", 0.3), query(k, "w1", 6), query(k, "new", 90)}
		before := make([]runtimes.Expectation, len(probes))
		for n, q := range probes {
			before[n] = m.Expect(q)
		}
		for range rapid.IntRange(1, 20).Draw(t, "runs") {
			q := query(k, rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "workspace"), rapid.Float64Range(0, 30).Draw(t, "declared"))
			after := seconds(rapid.Float64Range(0, 200).Draw(t, "after"))
			m.Observe(runtimes.Sample{Query: q, Actual: after, Weight: 1, Censored: true})
		}
		for n, q := range probes {
			e := m.Expect(q)
			require.GreaterOrEqual(t, e.Median, before[n].Median-time.Microsecond, "%v", q)
			require.GreaterOrEqual(t, e.High, before[n].High-time.Microsecond, "%v", q)
			require.InDelta(t, before[n].Samples, e.Samples, 1e-9)
		}
	})
	m := runtimes.NewModel()
	q := query(kinds[0], "a", 1)
	observe(m, q, 5*time.Second, 20)
	before := m.Expect(q)
	m.Observe(runtimes.Sample{Query: q, Actual: time.Minute, Weight: 1, Censored: true})
	assert.Greater(t, m.Expect(q).Median, before.Median)
}

// Guards against memory that grows with the number of workspaces and shapes, and against a summary that is too large
// for its key in the store.
func TestMemoryAndSummaryAreBounded(t *testing.T) {
	m := runtimes.NewModel()
	for n := range 20_000 {
		q := query(kinds[n%3], fmt.Sprintf("a-workspace-with-a-long-name-%d", n), float64(n%100))
		q.Shape.Tasks = n % 300
		m.Observe(runtimes.Sample{Query: q, Actual: seconds(float64(1 + n%7)), Weight: 1})
	}
	assert.LessOrEqual(t, m.Keys(), 512)
	raw, err := m.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(raw), 16<<10)
}

// Guards against a new owner that expects something else than the one before.
func TestRestoredModelExpectsTheSame(t *testing.T) {
	m, restored := runtimes.NewModel(), runtimes.NewModel()
	newLoad(1, 0.9).run(m, 200, 4)
	raw, err := m.Snapshot()
	require.NoError(t, err)
	t.Logf("%d keys in %d bytes", m.Keys(), len(raw))
	require.NoError(t, restored.Restore(raw))
	for _, k := range kinds {
		for _, declared := range []float64{0.5, 5, 20} {
			q := query(k, "w1", declared)
			before, after := m.Expect(q), restored.Expect(q)
			assert.InEpsilon(t, before.Median.Seconds(), after.Median.Seconds(), 0.01)
			assert.InEpsilon(t, before.High.Seconds(), after.High.Seconds(), 0.01)
		}
	}
}

// Guards against a damaged summary that ends the process, or changes the model in part.
func TestMalformedSummaryChangesNothing(t *testing.T) {
	m := runtimes.NewModel()
	newLoad(1, 0.9).run(m, 50, 4)
	good, err := m.Snapshot()
	require.NoError(t, err)
	for _, raw := range []string{"", "{", "null", `{"Version":7}`, string(good[:len(good)/2])} {
		require.Error(t, m.Restore([]byte(raw)), raw)
		after, err := m.Snapshot()
		require.NoError(t, err)
		require.Equal(t, string(good), string(after))
	}
	rapid.Check(t, func(t *rapid.T) {
		raw := append([]byte(nil), good...)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			raw[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		m := runtimes.NewModel()
		if m.Restore(raw) == nil {
			e := m.Expect(query(kinds[0], "w0", 5))
			require.GreaterOrEqual(t, e.High, e.Median)
		} else {
			require.Zero(t, m.Keys())
		}
	})
}

// A workspace sends jobs of 230 tasks, eight times as long as declared, beside three others. Guards against a limit that
// the small weight of each task bypasses.
func TestShareOfManySmallSamplesIsLimited(t *testing.T) {
	for _, censored := range []bool{false, true} {
		m := runtimes.NewModel()
		for range 60 {
			for _, name := range []string{"b", "c", "d"} {
				observe(m, query(kinds[2], name, 6), 6*time.Second, 1)
			}
			for range 10 * 230 {
				m.Observe(runtimes.Sample{Query: query(kinds[2], "false", 6), Actual: 48 * time.Second, Weight: 1.0 / 230, Censored: censored})
			}
		}
		assert.InDelta(t, 6, m.Expect(query(kinds[2], "b", 6)).Median.Seconds(), 0.6, "censored %v", censored)
		assert.Less(t, m.Expect(query(kinds[2], "new", 6)).Median, 12*time.Second, "censored %v", censored)
	}
}

// 2,000 runs of a workspace are lost after ten times the declared run time. Guards against censored runs that count
// without limit in a key and in the key of others: an ended run moves the expectation as before.
func TestWeightOfCensoredRunsIsLimited(t *testing.T) {
	m := runtimes.NewModel()
	q := query(kinds[2], "a", 6)
	observe(m, q, 6*time.Second, 10)
	for range 2000 {
		m.Observe(runtimes.Sample{Query: query(kinds[2], "lost", 6), Actual: time.Minute, Weight: 1, Censored: true})
		m.Observe(runtimes.Sample{Query: q, Actual: time.Minute, Weight: 1, Censored: true})
	}
	observe(m, q, 6*time.Second, 40)
	assert.InDelta(t, 6, m.Expect(q).Median.Seconds(), 1.5)
	assert.Less(t, m.Expect(q).High, time.Minute)
	raw, err := m.Snapshot()
	require.NoError(t, err)
	require.NoError(t, runtimes.NewModel().Restore(raw))
}

// Guards against one implausible key that costs the knowledge of all others, or is taken in itself.
func TestImplausibleKeyIsSkipped(t *testing.T) {
	m := runtimes.NewModel()
	newLoad(1, 0.9).run(m, 50, 4)
	good, err := m.Snapshot()
	require.NoError(t, err)
	for _, bad := range []string{`[9,9,1e300,0,0,0,0,0,0,0,0]`, `[-1,-1]`, `[9,9,0,0,0,0,0.1,0.1,9,1,1]`} {
		raw := strings.Replace(string(good), `"Keys":[`, `"Keys":[{"k":{"Route":"bad"},"f":`+bad+`},`, 1)
		restored := runtimes.NewModel()
		require.NoError(t, restored.Restore([]byte(raw)), bad)
		assert.Equal(t, 1, restored.Skipped())
		assert.Equal(t, m.Keys(), restored.Keys())
		after, err := restored.Snapshot()
		require.NoError(t, err)
		assert.Equal(t, string(good), string(after))
	}
}

// Declared run times are right but for the resolution of the clock and a little noise. Guards against decisions that
// change by a millisecond: the declared run time is kept exactly.
func TestDeclaredRunTimeThatIsNearlyRightIsKept(t *testing.T) {
	m := runtimes.NewModel()
	q := query(kinds[0], "a", 5)
	for range 50 {
		observe(m, q, 5001*time.Millisecond, 1)
	}
	assert.Equal(t, 5*time.Second, m.Expect(q).Median)
	assert.False(t, m.Expect(q).Learned)
	observe(m, query(kinds[1], "a", 5), 5400*time.Millisecond, 50)
	assert.False(t, m.Expect(query(kinds[1], "a", 5)).Learned)
	observe(m, query(kinds[2], "a", 5), 6*time.Second, 50)
	assert.True(t, m.Expect(query(kinds[2], "a", 5)).Learned)
}

// One workspace sends 2,000 shapes of steps after three others have sent theirs. Guards against knowledge of the others
// that it evicts, in memory, in the summary and, because keys count for their workspace, after a restart.
func TestOneWorkspaceDoesNotEvictOthers(t *testing.T) {
	m := runtimes.NewModel()
	others := []string{"b", "c", "d"}
	for _, name := range others {
		observe(m, query(kinds[2], name, 6), 12*time.Second, 20)
	}
	flood := func() {
		for n := range 2000 {
			q := query(kinds[2], "many", 6)
			q.Shape.Tasks, q.Shape.Demand = 1<<(n%20), workload.Resources{MilliCPU: 1 << (n / 20 % 20), MemoryMB: 1 << (n / 400), Accelerators: n % 9}
			observe(m, q, 6*time.Second, 1)
		}
	}
	check := func() {
		for _, name := range others {
			e := m.Expect(query(kinds[2], name, 6))
			assert.InDelta(t, 12, e.Median.Seconds(), 1.5, name)
			assert.True(t, e.Learned)
		}
		assert.Less(t, m.Keys(), 50)
	}
	flood()
	check()
	raw, err := m.Snapshot()
	require.NoError(t, err)
	m = runtimes.NewModel()
	require.NoError(t, m.Restore(raw))
	check()
	flood()
	check()
}

// Guards against a model of its own for each number of accelerators.
func TestShapesWithSimilarAcceleratorsShareAKey(t *testing.T) {
	m := runtimes.NewModel()
	q := query(kinds[0], "a", 5)
	observe(m, q, 20*time.Second, 20)
	q.Shape.Demand.Accelerators = kinds[0].accelerators + 1
	assert.InDelta(t, 20, m.Expect(q).Samples, 6)
	assert.Equal(t, 3, m.Keys())
	observe(m, q, 20*time.Second, 1)
	assert.Equal(t, 3, m.Keys())
}

// The model changes between the copy and its encoding. Guards against an encoder that reads the model, which it must not do
// without the owner's lock.
func TestSummaryIsIndependentOfTheModel(t *testing.T) {
	m := runtimes.NewModel()
	newLoad(1, 0.9).run(m, 50, 4)
	want, err := m.Snapshot()
	require.NoError(t, err)
	summary := m.Summary()
	newLoad(2, 0.9).run(m, 50, 4)
	got, err := summary.Encode()
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))
}
