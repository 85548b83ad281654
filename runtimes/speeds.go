package runtimes

import (
	"math"
	"time"
)

const (
	// MinSpeed and MaxSpeed bound the speed of a worker. Usual workers differ by 0.8 to 1.25; a worker that claims
	// more than twice that has another fault.
	MinSpeed, MaxSpeed = 0.5, 2.0
	// maxSpeedRatio bounds what a single run says about its worker. Tasks of one step differ by 0.3; of 3% of them,
	// which take seven times as long, nothing can be said.
	maxSpeedRatio = 3
	// speedPrior is the weight, in runs, with which a worker counts as one of nominal speed.
	speedPrior = 4
	// speedKeep is the factor by which the weight of earlier runs of a worker falls with each run: about the last 50
	// count.
	speedKeep = 0.98
	// meanClip bounds what a run adds to the mean of all workers, so that this is not that of a few odd ones.
	meanClip = 0.3
	// loneWeight is the weight of a run that is compared with the expectation only, which spreads more than the tasks of
	// one step do.
	loneWeight = 0.2
	// minPeers is the least number of other runs of a step for a comparison with these.
	minPeers = 2
	// maxWorkers and maxPeerSteps bound what is kept: twice the workers of a service, and the steps that end at the same time.
	maxWorkers   = 1300
	maxPeerSteps = 256
)

// Speeds estimates the speed of workers relative to each other from their runs. It is not safe for concurrent use.
type Speeds struct {
	workers map[string]*workerSpeed
	steps   map[string]*peerRuns
	use     uint64
	mean    float64 // decayed mean of the logarithm of all ratios, which is not due to single workers
	weight  float64
}

type workerSpeed struct {
	sum, weight float64 // of the logarithm of the speed
	used        uint64
}

// peerRuns is the mean of the logarithm of the run times of a step at nominal speed.
type peerRuns struct {
	sum  float64
	n    int
	used uint64
}

// NewSpeeds returns an estimate that counts every worker as one of nominal speed.
func NewSpeeds() *Speeds {
	return &Speeds{workers: map[string]*workerSpeed{}, steps: map[string]*peerRuns{}}
}

// Of returns the speed of the worker, from MinSpeed to MaxSpeed; 1 if nothing is known.
func (s *Speeds) Of(worker string) float64 {
	w := s.workers[worker]
	if w == nil {
		return 1
	}
	return min(max(math.Exp(w.sum/(w.weight+speedPrior)), MinSpeed), MaxSpeed)
}

// Observe takes in a run of a task of the step on the worker that took actual and was expected to take expected at
// nominal speed.
func (s *Speeds) Observe(worker, step string, expected, actual time.Duration) {
	if actual <= 0 {
		return
	}
	s.use++
	took := logSeconds(actual)
	peers := s.peers(step)
	ratio, weight := 0.0, 0.0
	switch {
	case peers.n >= minPeers:
		ratio, weight = peers.sum/float64(peers.n)-took, 1
	case expected > 0:
		ratio, weight = logSeconds(expected)-took, loneWeight
	}
	limit := math.Log(maxSpeedRatio)
	clipped := min(max(ratio, -limit), limit)
	peers.sum += took + (ratio - clipped) + math.Log(s.Of(worker))
	peers.n++
	if weight == 0 || math.Abs(ratio) > 2*limit {
		return // a longer task or an estimate that is far off says nothing about the worker
	}
	ratio = clipped
	s.weight = s.weight*(1-1/float64(maxWorkers)) + weight
	s.mean += weight / s.weight * min(max(ratio-s.mean, -meanClip), meanClip)
	w := s.worker(worker)
	w.sum = speedKeep*w.sum + weight*(ratio-s.mean)
	w.weight = speedKeep*w.weight + weight
}

func (s *Speeds) peers(step string) *peerRuns {
	p := s.steps[step]
	if p == nil {
		evictOldest(s.steps, maxPeerSteps, func(p *peerRuns) uint64 { return p.used })
		p = &peerRuns{}
		s.steps[step] = p
	}
	p.used = s.use
	return p
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
	var oldest K
	least := uint64(math.MaxUint64)
	for k, v := range entries {
		if used(v) < least {
			oldest, least = k, used(v)
		}
	}
	delete(entries, oldest)
}
