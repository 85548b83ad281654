package runtimes

import (
	"math"
	"math/bits"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// maxKeys bounds the number of keys of a model. At 630 workers a handful of routes with some shapes each are in
	// use; the rest is for workspaces.
	maxKeys = 512
	// maxWorkspaceKeys bounds the keys of a model that one workspace causes, so that many shapes of its steps do not evict
	// what is known of other workspaces.
	maxWorkspaceKeys = 32
	// minRunTime and maxRunTime bound what the model takes in and gives out.
	minRunTime = time.Millisecond
	maxRunTime = 365 * 24 * time.Hour
	// maxCorrection bounds the ratio of an expectation to the declared run time. A declared value that is off by 0.9
	// of itself is a tenth of the actual one.
	maxCorrection = 16
	// minJobs is the weight of ended jobs from which a key is used instead of the one above it.
	minJobs = 3
	// learnedGain is the ratio of the error of the learned expectation to that of the declared one below which the
	// learned one is used. Where both are about equal, decisions stay as they are.
	learnedGain = 0.9
	// minDeclaredError is the error of the declared run times below which they are kept: a decision does not gain from a
	// tenth, and clocks have a resolution of a millisecond.
	minDeclaredError = 0.1
	// declaredHigh is the logarithm of the ratio of the 0.9 quantile to the declared run time before any run ended.
	declaredHigh = 0.69
)

// Shape describes the tasks of a step.
type Shape struct {
	Tasks  int
	Demand workload.Resources
	Gang   bool
}

// Query asks for the run time of a task.
type Query struct {
	Route, Workspace string
	Shape            Shape
	Declared         time.Duration // 0 if the submission declares none
}

// Sample is the run time of a task, at nominal speed of the worker.
type Sample struct {
	Query
	Actual time.Duration
	// Weight is the share of a job that the sample stands for. The run times of one job are strongly correlated, so
	// that all samples of a job together weigh 1.
	Weight float64
	// Censored is set if the task has not ended after Actual. Such a sample may raise expectations, and never lowers
	// one.
	Censored bool
}

// Expectation is the distribution of a run time.
type Expectation struct {
	Median  time.Duration
	High    time.Duration // the 0.9 quantile
	Samples float64       // weight of the ended jobs behind it; decays
	Learned bool          // false if Median is the declared run time
}

// key selects a set of earlier runs. Fields that do not matter at its level are zero.
type key struct {
	Route, Workspace string
	Shape            Shape
	Undeclared       bool
}

// levels returns the keys of the query, the most general one first.
func (q *Query) levels() [3]key {
	none, shape := q.Declared <= 0, q.Shape.class()
	return [3]key{
		{Route: q.Route, Undeclared: none},
		{Route: q.Route, Shape: shape, Undeclared: none},
		{Route: q.Route, Shape: shape, Workspace: q.Workspace, Undeclared: none},
	}
}

// class returns the shape with the number of tasks, cores, memory and accelerators as powers of two: shapes that differ by
// less do not keep apart what is learned, and cannot be sent in any number.
func (s Shape) class() Shape {
	power := func(n int) int { return bits.Len(uint(max(n, 0))) }
	return Shape{Tasks: power(s.Tasks), Gang: s.Gang, Demand: workload.Resources{
		MilliCPU: power(s.Demand.MilliCPU), MemoryMB: power(s.Demand.MemoryMB), Accelerators: power(s.Demand.Accelerators)}}
}

// predictor returns the independent variable of the regression: the logarithm of the declared run time in seconds, or 0 without one.
func (q *Query) predictor() float64 {
	if q.Declared <= 0 {
		return 0
	}
	return logSeconds(q.Declared)
}

// prior returns the line that holds before any run has ended: the declared run time.
func (q *Query) prior() line { return line{slope: 1, vague: q.Declared <= 0} }

func logSeconds(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

func fromLog(y float64) time.Duration {
	y = min(max(y, logSeconds(minRunTime)), logSeconds(maxRunTime))
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// Model learns run times from ended runs. It has no clock: earlier runs lose weight as later ones end. It is not safe
// for concurrent use.
type Model struct {
	keys    map[key]*fit
	skipped int
	use     uint64 // counts uses of keys
	changes uint64
}

// NewModel returns a model that has seen no run.
func NewModel() *Model { return &Model{keys: map[key]*fit{}} }

// Changes returns a number that grows with each sample that was taken in.
func (m *Model) Changes() uint64 { return m.changes }

// Keys returns the number of keys of which the model knows anything.
func (m *Model) Keys() int { return len(m.keys) }

// Observe takes in a sample. One without a positive run time or weight is ignored.
func (m *Model) Observe(s Sample) {
	if s.Actual <= 0 || !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
		return
	}
	m.changes++
	x, y, weight := s.predictor(), logSeconds(s.Actual), min(s.Weight, 1)
	above := s.prior()
	levels := s.levels()
	for n := range levels {
		owner := s.Workspace
		if n == 0 {
			owner = ""
		}
		f := m.fit(levels[n], owner, s.Censored)
		if f == nil {
			return // a run that has not ended creates no key
		}
		w := weight
		if levels[n].Workspace == "" {
			w *= f.limitShare(s.Workspace, weight)
		}
		next := f.line(above)
		if s.Censored {
			f.raise(x, y, w, above)
		} else {
			f.observe(x, y, w, weight*leastAgeing, above, s.Declared > 0)
		}
		above = next
	}
	for n := range levels { // the more general keys are evicted last
		m.touch(m.keys[levels[len(levels)-1-n]])
	}
}

// Expect returns what to expect of a task: from the most specific key with enough ended jobs, or the declared run time.
func (m *Model) Expect(q Query) Expectation {
	x := q.predictor()
	declared := Expectation{Median: max(0, q.Declared), High: high(max(0, q.Declared), declaredHigh)}
	above := q.prior()
	result := declared
	for _, k := range q.levels() {
		f := m.keys[k]
		if f == nil {
			break
		}
		above = f.line(above)
		if f.Jobs < minJobs {
			continue
		}
		result = f.expect(q.Declared, above.at(x))
	}
	return result
}

func (f *fit) expect(declared time.Duration, y float64) Expectation {
	if declared > 0 && (f.DeclaredError < minDeclaredError || f.LearnedError >= learnedGain*f.DeclaredError) {
		return Expectation{Median: declared, High: high(declared, f.DeclaredHigh), Samples: f.Jobs}
	}
	if declared > 0 {
		x := logSeconds(declared)
		y = min(max(y, x-math.Log(maxCorrection)), x+math.Log(maxCorrection))
	}
	median := fromLog(y)
	return Expectation{Median: median, High: high(median, f.LearnedHigh), Samples: f.Jobs, Learned: true}
}

// high returns the duration times the exponential of the quantile of the residuals.
func high(median time.Duration, quantile float64) time.Duration {
	if median <= 0 {
		return 0
	}
	return time.Duration(min(float64(median)*math.Exp(quantile), float64(2*maxRunTime)))
}

// fit returns the fit of the key. Unless existing is set, it adds one that counts for the workspace owner, and evicts the
// least recently used one of this workspace or of all if there are too many.
func (m *Model) fit(k key, owner string, existing bool) *fit {
	f := m.keys[k]
	if f != nil || existing {
		m.touch(f)
		return f
	}
	if owner != "" {
		m.evictOf(owner)
	}
	evictOldest(m.keys, maxKeys, func(f *fit) uint64 { return f.used })
	f = newFit()
	f.owner = owner
	m.keys[k] = f
	m.touch(f)
	return f
}

// evictOf removes the least recently used key of the workspace if it has maxWorkspaceKeys.
func (m *Model) evictOf(owner string) {
	own := map[key]*fit{}
	for k, f := range m.keys {
		if f.owner == owner {
			own[k] = f
		}
	}
	if len(own) >= maxWorkspaceKeys {
		delete(m.keys, oldest(own, func(f *fit) uint64 { return f.used }))
	}
}

func (m *Model) touch(f *fit) {
	if f == nil {
		return
	}
	m.use++
	f.used = m.use
}
