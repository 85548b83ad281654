package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MinSpeed and MaxSpeed bound the speed of a worker. Usual workers differ by 0.8 to 1.25; a worker that claims
	// more than twice that has another fault.
	MinSpeed, MaxSpeed = 0.5, 2.0
	// maxSpeedRatio bounds what a single run says about its worker: tasks of one step differ by 0.3, workers by 1.25.
	// From its square on the run is ignored, because 3% of the tasks take seven times as long.
	maxSpeedRatio = 2
	// speedPrior is the weight, in runs, with which a worker counts as one of nominal speed: ten runs give 0.82 for 0.8, and a
	// single clipped one stays above 0.7, from which on a worker counts as slow.
	speedPrior = 1
	// speedKeep is the factor by which the weight of earlier runs of a worker falls with each run: about the last 50
	// count.
	speedKeep = 0.98
	// loneWeight is the weight of a run that is compared with the learned expectation only, which spreads more than the
	// tasks of one step do; all of these runs of a worker together weigh maxLoneWeight at most.
	loneWeight    = 0.2
	maxLoneWeight = 2
	// loneKeep is the factor by which earlier runs lose weight in the mean of all such comparisons. It removes what the
	// expectations are off by for all workers.
	loneKeep = 0.99
	// minStepRuns is the least number of ended runs of a step for a comparison with each other.
	minStepRuns = 3
	// maxLevelOff bounds the logarithm of the speed of a worker, relative to the median one, in the mean speed: usual
	// workers are within 0.25, and a few odd ones do not move the others.
	maxLevelOff = 0.3
	// minLevelWeight is the weight of runs from which a worker counts in the mean speed.
	minLevelWeight = 2
	// maxWorkers, maxPeerSteps, maxPeerRuns and maxStepRuns bound what is kept: twice the workers of a service, the steps
	// that are compared and their runs (3 MB), 15 times what runs at the same time, and those of one step. A step with more runs
	// is compared in parts, which loses some of the difference between workers.
	maxWorkers   = 1300
	maxPeerSteps = 512
	maxPeerRuns  = 1 << 15
	maxStepRuns  = 1024
)

// Speeds estimates the speed of workers relative to each other from their runs. All runs of a step are compared with
// each other again whenever another one ends: the first ones to end are those on fast workers, so that a comparison
// with earlier runs only would hide about half of the difference. It is not safe for concurrent use.
type Speeds struct {
	workers  map[string]*workerSpeed
	steps    map[string]*stepRuns
	kept     int // runs of all steps
	use      uint64
	loneMean mean
	level    float64 // mean of the logarithms of the speeds of workers, which counts as nominal speed
	levelUse uint64  // value of use when level was computed
}

// mean is a decayed sum with its weight.
type mean struct{ sum, weight float64 }

func (m *mean) add(v, weight float64) { m.sum, m.weight = m.sum+weight*v, m.weight+weight }

func (m *mean) decay(keep float64) { m.sum, m.weight = m.sum*keep, m.weight*keep }

// value returns the mean, with a prior of 0 of the given weight.
func (m mean) value(prior float64) float64 { return m.sum / max(m.weight+prior, 1e-9) }

// workerSpeed holds the logarithm of the speed of a worker.
type workerSpeed struct {
	peers mean // by comparison with runs of the same step
	lone  mean // by comparison with expectations
	runs  int
	used  uint64
}

// log returns the logarithm of the speed relative to the level.
func (w *workerSpeed) log(level float64) float64 {
	lone := w.lone
	if lone.weight > maxLoneWeight {
		lone.decay(maxLoneWeight / lone.weight)
	}
	both := mean{w.peers.sum + lone.sum, w.peers.weight + lone.weight}
	if both.weight < minLevelWeight {
		level *= both.weight / minLevelWeight
	}
	return min(max(both.value(speedPrior)-level, math.Log(MinSpeed)), math.Log(MaxSpeed))
}

// stepRuns are the ended runs of a step.
type stepRuns struct {
	runs []*peerRun
	used uint64
}

// peerRun is an ended run with what it adds to the speed of its worker.
type peerRun struct {
	worker  *workerSpeed
	took    float64 // logarithm of the run time
	nominal float64 // logarithm of the run time at nominal speed
	index   int     // number of the run of its worker
	ratio   float64
	weight  float64
}

// NewSpeeds returns an estimate that counts every worker as one of nominal speed.
func NewSpeeds() *Speeds {
	return &Speeds{workers: map[string]*workerSpeed{}, steps: map[string]*stepRuns{}}
}

// Workers returns the number of workers of which anything is known.
func (s *Speeds) Workers() int { return len(s.workers) }

// Runs returns the number of runs that are kept for comparisons.
func (s *Speeds) Runs() int { return s.kept }

// Of returns the speed of the worker, from MinSpeed to MaxSpeed; 1 if nothing is known.
func (s *Speeds) Of(worker string) float64 {
	w := s.workers[worker]
	if w == nil {
		return 1
	}
	return math.Exp(w.log(s.level))
}

// Observe takes in a run of a task of the step on the worker that took actual. Expected is the learned expectation at
// nominal speed, or 0 if there is none; only steps of a single task are compared with it.
func (s *Speeds) Observe(worker, step string, single bool, expected, actual time.Duration) {
	if actual <= 0 {
		return
	}
	s.use++
	w := s.worker(worker)
	if single {
		s.compareWithExpectation(w, expected, actual)
		return
	}
	w.runs++
	w.peers.decay(speedKeep)
	for s.kept >= maxPeerRuns {
		s.evictStep()
	}
	runs := s.step(step)
	if len(runs.runs) >= maxStepRuns {
		s.kept -= len(runs.runs)
		runs.runs = nil
	}
	s.kept++
	runs.runs = append(runs.runs, &peerRun{worker: w, took: logSeconds(actual), index: w.runs})
	runs.compare(s.level)
	s.updateLevel()
}

// updateLevel computes the level from time to time, so that it costs little. Without it all speeds would rise together:
// the median of the logarithms of run times differs from their mean, and ratios are clipped.
func (s *Speeds) updateLevel() {
	if s.use-s.levelUse < uint64(len(s.workers)/8) {
		return
	}
	s.levelUse = s.use
	var logs []float64
	for _, w := range s.workers {
		if w.peers.weight >= minLevelWeight {
			logs = append(logs, w.peers.value(speedPrior))
		}
	}
	if len(logs) < minStepRuns {
		s.level = 0
		return
	}
	slices.Sort(logs)
	median := (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
	var m mean
	for _, v := range logs {
		m.add(min(max(v, median-maxLevelOff), median+maxLevelOff), 1)
	}
	s.level = m.value(0)
}

func (s *Speeds) compareWithExpectation(w *workerSpeed, expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	ratio, ok := clipRatio(logSeconds(expected) - logSeconds(actual))
	if !ok {
		return
	}
	s.loneMean.decay(loneKeep)
	s.loneMean.add(ratio, 1)
	w.lone.decay(speedKeep)
	w.lone.add(ratio-s.loneMean.value(speedPrior), loneWeight)
}

// compare updates what each run adds to the speed of its worker: the ratio of the median of the other runs, at nominal
// speed, to its own run time.
func (s *stepRuns) compare(level float64) {
	n := len(s.runs)
	if n < minStepRuns {
		return
	}
	ofWorker := make(map[*workerSpeed]int, n)
	for _, r := range s.runs {
		r.nominal = r.took + r.worker.log(level)
		ofWorker[r.worker]++
	}
	slices.SortFunc(s.runs, func(a, b *peerRun) int { return cmp.Compare(a.nominal, b.nominal) })
	for i, r := range s.runs {
		ratio, ok := clipRatio(s.medianWithout(i) - r.took)
		weight := 0.0
		if ok { // runs of the same worker say nothing about its speed
			weight = float64(n-ofWorker[r.worker]) / float64(n-1)
		}
		r.update(ratio, weight)
	}
}

// medianWithout returns the median of the sorted nominal run times without the one at i.
func (s *stepRuns) medianWithout(i int) float64 {
	at := func(k int) float64 {
		if k >= i {
			k++
		}
		return s.runs[k].nominal
	}
	n := len(s.runs) - 1
	return (at((n-1)/2) + at(n/2)) / 2
}

// update replaces what the run adds to the speed of its worker.
func (r *peerRun) update(ratio, weight float64) {
	if ratio == r.ratio && weight == r.weight {
		return
	}
	aged := math.Pow(speedKeep, float64(r.worker.runs-r.index))
	r.worker.peers.sum += aged * (weight*ratio - r.weight*r.ratio)
	r.worker.peers.weight = max(0, r.worker.peers.weight+aged*(weight-r.weight))
	r.ratio, r.weight = ratio, weight
}

// clipRatio bounds the logarithm of a ratio of run times. ok is false if the ratio says nothing about the worker.
func clipRatio(ratio float64) (clipped float64, ok bool) {
	limit := math.Log(maxSpeedRatio)
	return min(max(ratio, -limit), limit), math.Abs(ratio) < 2*limit
}

func (s *Speeds) step(name string) *stepRuns {
	p := s.steps[name]
	if p == nil {
		if len(s.steps) >= maxPeerSteps {
			s.evictStep()
		}
		p = &stepRuns{}
		s.steps[name] = p
	}
	p.used = s.use
	return p
}

// evictStep removes the least recently used step.
func (s *Speeds) evictStep() {
	name := oldest(s.steps, func(p *stepRuns) uint64 { return p.used })
	s.kept -= len(s.steps[name].runs)
	delete(s.steps, name)
}

func (s *Speeds) worker(id string) *workerSpeed {
	w := s.workers[id]
	if w == nil {
		evictOldest(s.workers, maxWorkers, func(w *workerSpeed) uint64 { return w.used })
		w = &workerSpeed{}
		s.workers[id] = w
	}
	w.used = s.use
	return w
}

// evictOldest removes the entry that was used least recently if the map holds limit entries.
func evictOldest[K comparable, V any](entries map[K]V, limit int, used func(V) uint64) {
	if len(entries) < limit {
		return
	}
	delete(entries, oldest(entries, used))
}

// oldest returns the key of the entry that was used least recently.
func oldest[K comparable, V any](entries map[K]V, used func(V) uint64) K {
	var first K
	least := uint64(math.MaxUint64)
	for k, v := range entries {
		if used(v) < least {
			first, least = k, used(v)
		}
	}
	return first
}
