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
	badWorkerShare    = 0.02 // workers on which every task fails
	misdeclaredShare  = 0.1  // jobs whose declared processors and memory are wrong
	neverFitsShare    = 0.005
	cancelledShare    = 0.15 // of the jobs submitted within cancelledWindow before a mass cancellation
	cancelledWindow   = 2 * time.Hour
	drainDuration     = 10 * time.Minute
	returningDuration = 15 * time.Minute
)

var (
	epoch          = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	workerCapacity = structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}
)

// stream describes the jobs of one service.
type stream struct {
	service       string
	class         structs.Class
	load          float64       // offered load while the stream is active, as a share of the fleet
	from, to      time.Duration // when the stream is active, since the start of each day
	quietLoad     float64       // offered load at other times
	burstPeriod   time.Duration // period of bursts, in which jobs arrive within burstSpread; 0 for random arrivals
	shapes        []structs.Shape
	medianRunTime time.Duration // run times have a lognormal distribution
	sigma         float64
	maxRunTime    time.Duration
	slack         time.Duration // the deadline is twice the run time plus slack after submission
	checkpoint    bool
	idempotent    float64 // share of the jobs that are idempotent
}

const burstSpread = 3 * time.Minute

// spec describes a workload.
type spec struct {
	name                                 string
	dataCentres, workers, workersPerRack int
	weights                              []int // of the workspaces
	guarantees                           func(weight int) []structs.Guarantee
	streams                              []stream
	arrivalSpan                          time.Duration   // time in which jobs arrive
	withdrawAt, returnAt                 time.Duration   // of the last data centre
	cancellations                        []time.Duration // times at which many jobs are cancelled
	grace                                time.Duration   // for a checkpoint before a preemption
}

// job is a job with the facts that the scheduler cannot see.
type job struct {
	structs.Job
	runTime    time.Duration
	idealBound time.Duration // lower bound of its completion time, see setIdealBounds
	cancelAt   time.Time
	neverFits  bool
}

// size returns the job's share of one worker's capacity in its dominant resource.
func (j *job) size() float64 { return j.Shape.Total().DominantShare(workerCapacity) }

func (j *job) excluded() bool { return j.neverFits || !j.cancelAt.IsZero() }

// workload is a spec with the jobs generated from one seed.
type workload struct {
	*spec
	manifest    structs.Manifest
	jobs        []*job
	badWorkers  map[string]bool
	offeredLoad float64 // as a share of the fleet's capacity during arrivalSpan
}

// acc returns a shape of tasks with n accelerators each. Tasks that fill a worker are adjacent.
func acc(tasks, n int) structs.Shape {
	return structs.Shape{Tasks: tasks, Task: structs.Resources{Slots: n, Processors: 12 * n, MemoryMB: 24576 * n, Accelerators: n}, Adjacent: n == workerCapacity.Accelerators}
}

func generate(s *spec, seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, uint64(len(s.name))))
	w := &workload{spec: s, badWorkers: map[string]bool{}}
	for i := range s.dataCentres {
		n := s.workers/s.dataCentres + min(1, max(0, s.workers%s.dataCentres-i))
		w.manifest.DataCentres = append(w.manifest.DataCentres, structs.DataCentre{
			Name: fmt.Sprintf("dc%d", i+1), Stage: structs.StageOpen,
			Fleet: structs.FleetSpec{Workers: n, WorkersPerRack: s.workersPerRack, Capacity: workerCapacity, Connections: 64}})
	}
	for i, weight := range s.weights {
		w.manifest.Workspaces = append(w.manifest.Workspaces, structs.Workspace{
			Name: fmt.Sprintf("ws%02d", i+1), Weight: weight, Guarantees: s.guarantees(weight)})
	}
	for i := range s.streams {
		w.manifest.Services = append(w.manifest.Services, structs.Service{
			Name: s.streams[i].service, Kind: structs.KindJob, Class: s.streams[i].class, Grace: structs.Duration(s.grace)})
		w.addJobs(&s.streams[i], rng)
	}
	for _, x := range workersOf(&w.manifest) {
		w.badWorkers[x.ID] = rng.Float64() < badWorkerShare
	}
	slices.SortFunc(w.jobs, func(a, b *job) int { return a.Submitted.Compare(b.Submitted) })
	for _, j := range w.jobs {
		for _, at := range s.cancellations {
			if ago := epoch.Add(at).Sub(j.Submitted); ago > 0 && ago < cancelledWindow && rng.Float64() < cancelledShare {
				j.cancelAt = epoch.Add(at)
			}
		}
	}
	w.setIdealBounds()
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

// addJobs adds the stream's jobs.
func (w *workload) addJobs(s *stream, rng *rand.Rand) {
	size := 0.0
	for _, shape := range s.shapes {
		size += shape.Total().DominantShare(workerCapacity) / float64(len(s.shapes))
	}
	mean := s.medianRunTime.Seconds() * math.Exp(s.sigma*s.sigma/2)
	gap := size * mean / (s.load * float64(w.workers)) // seconds between jobs
	declaredBias := make([]float64, len(w.weights))
	byWeight := []int{}
	for i, weight := range w.weights {
		declaredBias[i] = rng.Float64() - 0.5
		byWeight = append(byWeight, slices.Repeat([]int{i}, weight)...)
	}
	for at, n := 0.0, 0; ; n++ {
		if at = s.nextArrival(at, gap*rng.ExpFloat64()); at >= w.arrivalSpan.Seconds() {
			return
		}
		start := at
		if s.burstPeriod > 0 {
			start = math.Floor(at/s.burstPeriod.Seconds())*s.burstPeriod.Seconds() + rng.Float64()*burstSpread.Seconds()
		}
		ws := byWeight[rng.IntN(len(byWeight))]
		run := min(time.Duration(s.medianRunTime.Seconds()*math.Exp(s.sigma*rng.NormFloat64())*float64(time.Second)), s.maxRunTime)
		j := &job{runTime: run, neverFits: s.class != structs.ClassInteractive && rng.Float64() < neverFitsShare}
		declaredFactor := math.Pow(10, min(max(declaredBias[ws]+rng.NormFloat64()*0.3, -1), 1))
		submitted := epoch.Add(time.Duration(start * float64(time.Second)))
		j.Job = structs.Job{
			ID: fmt.Sprintf("%s/%s-%d", w.manifest.Workspaces[ws].Name, s.service, n), Workspace: w.manifest.Workspaces[ws].Name,
			Service: s.service, Class: s.class, Urgent: s.class == structs.ClassInteractive, Shape: s.shapes[rng.IntN(len(s.shapes))],
			Idempotent: rng.Float64() < s.idempotent, Checkpoint: s.checkpoint, Grace: w.grace, Submitted: submitted,
			Declared: time.Duration(float64(run) * declaredFactor), Deadline: submitted.Add(2*run + s.slack),
		}
		if factor := math.Pow(10, 2*rng.Float64()-1); s.class != structs.ClassInteractive && rng.Float64() < misdeclaredShare {
			t := &j.Shape.Task
			t.Processors = min(max(int(float64(t.Processors)*factor), 1), workerCapacity.Processors)
			t.MemoryMB = min(max(int(float64(t.MemoryMB)*factor), 1), workerCapacity.MemoryMB)
		}
		if j.neverFits {
			j.Shape.Task.Accelerators = 2 * workerCapacity.Accelerators
		}
		w.jobs = append(w.jobs, j)
	}
}

// nextArrival returns the time of the arrival that follows at, in seconds. gap is the time between the
// two at the load of the stream's active time; it is longer while quietLoad applies.
func (s *stream) nextArrival(at, gap float64) float64 {
	const day = 24 * 3600
	for {
		timeOfDay := math.Mod(at, day)
		rate, rateEnd := s.quietLoad/s.load, s.from.Seconds()
		switch {
		case timeOfDay >= s.to.Seconds():
			rateEnd = day + s.from.Seconds()
		case timeOfDay >= s.from.Seconds():
			rate, rateEnd = 1, s.to.Seconds()
		}
		if gap < (rateEnd-timeOfDay)*rate {
			return at + gap/rate
		}
		gap -= (rateEnd - timeOfDay) * rate
		at += rateEnd - timeOfDay
	}
}

// setIdealBounds sets the lower bound of each job's completion time: the larger of its run time and the
// time in which the whole capacity could do the unfinished work of its class and of more urgent classes,
// this job included.
func (w *workload) setIdealBounds() {
	backlog := map[structs.Class]float64{}
	withdrawn := w.manifest.DataCentres[len(w.manifest.DataCentres)-1].Fleet.Workers
	last, total := epoch, 0.0
	for _, j := range w.jobs {
		if j.neverFits {
			continue
		}
		capacity := float64(w.workers)
		if at := j.Submitted.Sub(epoch); at >= w.withdrawAt && at < w.returnAt {
			capacity -= float64(withdrawn)
		}
		work := j.size() * j.runTime.Seconds()
		total += work
		for c := structs.ClassInteractive; c <= structs.ClassArchive; c++ {
			backlog[c] = max(0, backlog[c]-capacity*j.Submitted.Sub(last).Seconds())
			if j.Class <= c {
				backlog[c] += work
			}
		}
		last = j.Submitted
		j.idealBound = max(j.runTime, time.Duration(backlog[j.Class]/capacity*float64(time.Second)))
	}
	w.offeredLoad = total / (float64(w.workers) * w.arrivalSpan.Seconds())
}
