package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	badWorkerShare  = 0.02 // workers that fail everything they start
	wrongSizeShare  = 0.1  // jobs whose declared size is wrong
	neverFitsShare  = 0.005
	cancelledShare  = 0.15 // of the jobs of the two hours before a wave
	cancelledWindow = 2 * time.Hour
	drainTime       = 10 * time.Minute
	returningTime   = 15 * time.Minute
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	worker = structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}
)

// stream describes jobs of one service.
type stream struct {
	service    string
	class      structs.Class
	load       float64       // offered share of the fleet while the stream is active
	from, to   time.Duration // when the stream is active, on each day
	quiet      float64       // load at other times
	burst      time.Duration // jobs arrive in bursts of burstSpread with this period; 0: at random
	shapes     []structs.Shape
	median     time.Duration // run times are lognormal
	sigma      float64
	longest    time.Duration
	slack      time.Duration // deadline: twice the run time and slack after submission
	checkpoint bool
	idempotent float64 // share of the jobs that are safe to run again
}

const burstSpread = 3 * time.Minute

// spec describes a workload.
type spec struct {
	name                       string
	dataCentres, workers, rack int
	weights                    []int // of the workspaces
	guarantees                 func(weight int) []structs.Guarantee
	streams                    []stream
	span                       time.Duration // jobs arrive until then
	leaves, returns            time.Duration
	waves                      []time.Duration
	grace                      time.Duration // of a checkpoint
}

// job is a job with what its declaration does not tell.
type job struct {
	structs.Job
	run       time.Duration
	bound     time.Duration // ideal bound of its completion time
	cancelAt  time.Time
	neverFits bool
}

// size returns the job's share of one worker's capacity in its dominant resource.
func (j *job) size() float64 { return j.Shape.Total().DominantShare(worker) }

func (j *job) excluded() bool { return j.neverFits || !j.cancelAt.IsZero() }

// workload is one seeded instance of a spec.
type workload struct {
	*spec
	manifest structs.Manifest
	jobs     []*job
	bad      map[string]bool
	offered  float64 // share of the fleet's capacity until the end of the arrivals
}

func acc(tasks, n int) structs.Shape {
	return structs.Shape{Tasks: tasks, Task: structs.Resources{Slots: n, Processors: 12 * n, MemoryMB: 24576 * n, Accelerators: n}, Adjacent: n == worker.Accelerators}
}

func generate(s *spec, seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, uint64(len(s.name))))
	w := &workload{spec: s, bad: map[string]bool{}}
	for i := range s.dataCentres {
		n := s.workers/s.dataCentres + min(1, max(0, s.workers%s.dataCentres-i))
		w.manifest.DataCentres = append(w.manifest.DataCentres, structs.DataCentre{
			Name: fmt.Sprintf("dc%d", i+1), Stage: structs.StageOpen,
			Fleet: structs.FleetSpec{Workers: n, WorkersPerRack: s.rack, Capacity: worker, Connections: 64}})
	}
	for i, weight := range s.weights {
		w.manifest.Workspaces = append(w.manifest.Workspaces, structs.Workspace{
			Name: fmt.Sprintf("ws%02d", i+1), Weight: weight, Guarantees: s.guarantees(weight)})
	}
	for i := range s.streams {
		w.manifest.Services = append(w.manifest.Services, structs.Service{
			Name: s.streams[i].service, Kind: structs.KindJob, Class: s.streams[i].class, Grace: structs.Duration(s.grace)})
		w.arrivals(&s.streams[i], rng)
	}
	for _, x := range workersOf(&w.manifest) {
		w.bad[x.ID] = rng.Float64() < badWorkerShare
	}
	slices.SortFunc(w.jobs, func(a, b *job) int { return a.Submitted.Compare(b.Submitted) })
	for _, j := range w.jobs {
		for _, wave := range s.waves {
			if ago := epoch.Add(wave).Sub(j.Submitted); ago > 0 && ago < cancelledWindow && rng.Float64() < cancelledShare {
				j.cancelAt = epoch.Add(wave)
			}
		}
	}
	w.bounds()
	return w
}

func workersOf(m *structs.Manifest) (all []structs.Worker) {
	for _, dc := range m.DataCentres {
		for i := range dc.Fleet.Workers {
			all = append(all, structs.Worker{ID: fmt.Sprintf("%s-%04d", dc.Name, i), DataCentre: dc.Name,
				Rack: i / dc.Fleet.WorkersPerRack, Capacity: dc.Fleet.Capacity, Connections: dc.Fleet.Connections})
		}
	}
	return all
}

// arrivals adds the stream's jobs.
func (w *workload) arrivals(s *stream, rng *rand.Rand) {
	size := 0.0
	for _, shape := range s.shapes {
		size += shape.Total().DominantShare(worker) / float64(len(s.shapes))
	}
	mean := s.median.Seconds() * math.Exp(s.sigma*s.sigma/2)
	gap := size * mean / (s.load * float64(w.workers)) // seconds between jobs
	bias := make([]float64, len(w.weights))
	pick := []int{}
	for i, weight := range w.weights {
		bias[i] = rng.Float64() - 0.5
		pick = append(pick, slices.Repeat([]int{i}, weight)...)
	}
	for at, n := 0.0, 0; ; n++ {
		if at = s.next(at, gap*rng.ExpFloat64()); at >= w.span.Seconds() {
			return
		}
		start := at
		if s.burst > 0 {
			start = math.Floor(at/s.burst.Seconds())*s.burst.Seconds() + rng.Float64()*burstSpread.Seconds()
		}
		ws := pick[rng.IntN(len(pick))]
		run := min(time.Duration(s.median.Seconds()*math.Exp(s.sigma*rng.NormFloat64())*float64(time.Second)), s.longest)
		j := &job{run: run, neverFits: s.class != structs.ClassInteractive && rng.Float64() < neverFitsShare}
		wrong := math.Pow(10, min(max(bias[ws]+rng.NormFloat64()*0.3, -1), 1))
		submitted := epoch.Add(time.Duration(start * float64(time.Second)))
		j.Job = structs.Job{
			ID: fmt.Sprintf("%s/%s-%d", w.manifest.Workspaces[ws].Name, s.service, n), Workspace: w.manifest.Workspaces[ws].Name,
			Service: s.service, Class: s.class, Urgent: s.class == structs.ClassInteractive, Shape: s.shapes[rng.IntN(len(s.shapes))],
			Idempotent: rng.Float64() < s.idempotent, Checkpoint: s.checkpoint, Grace: w.grace, Submitted: submitted,
			Declared: time.Duration(float64(run) * wrong), Deadline: submitted.Add(2*run + s.slack),
		}
		if factor := math.Pow(10, 2*rng.Float64()-1); s.class != structs.ClassInteractive && rng.Float64() < wrongSizeShare {
			t := &j.Shape.Task
			t.Processors = min(max(int(float64(t.Processors)*factor), 1), worker.Processors)
			t.MemoryMB = min(max(int(float64(t.MemoryMB)*factor), 1), worker.MemoryMB)
		}
		if j.neverFits {
			j.Shape.Task.Accelerators = 2 * worker.Accelerators
		}
		w.jobs = append(w.jobs, j)
	}
}

// next returns the time of the arrival that follows at, when the gap at full load is given.
func (s *stream) next(at, gap float64) float64 {
	const day = 24 * 3600
	for {
		in := math.Mod(at, day)
		rate, until := s.quiet/s.load, s.from.Seconds()
		switch {
		case in >= s.to.Seconds():
			until = day + s.from.Seconds()
		case in >= s.from.Seconds():
			rate, until = 1, s.to.Seconds()
		}
		if gap < (until-in)*rate {
			return at + gap/rate
		}
		gap -= (until - in) * rate
		at += until - in
	}
}

// bounds sets the ideal bounds: a job's own run time, or the time that the whole
// capacity needs for the work of its class and of lower classes that is not done when
// the job arrives, with this job's, whichever is larger.
func (w *workload) bounds() {
	backlog := map[structs.Class]float64{}
	leaving := w.manifest.DataCentres[len(w.manifest.DataCentres)-1].Fleet.Workers
	last, total := epoch, 0.0
	for _, j := range w.jobs {
		if j.neverFits {
			continue
		}
		capacity := float64(w.workers)
		if at := j.Submitted.Sub(epoch); at >= w.leaves && at < w.returns {
			capacity -= float64(leaving)
		}
		work := j.size() * j.run.Seconds()
		total += work
		for c := structs.ClassInteractive; c <= structs.ClassArchive; c++ {
			backlog[c] = max(0, backlog[c]-capacity*j.Submitted.Sub(last).Seconds())
			if j.Class <= c {
				backlog[c] += work
			}
		}
		last = j.Submitted
		j.bound = max(j.run, time.Duration(backlog[j.Class]/capacity*float64(time.Second)))
	}
	w.offered = total / (float64(w.workers) * w.span.Seconds())
}
