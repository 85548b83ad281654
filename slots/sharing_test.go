package slots

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

var sharing = flag.Bool("sharing", false, "measure the sharing of slots at both sizes, see docs/experiments.md")

const (
	sharingSlots       = 8 // of each worker
	sharingLatency     = 500 * time.Microsecond
	sharingMeanRunTime = 100 * time.Millisecond // mean of the exponential run times
	sharingWarmUp      = 5 * time.Second
	sharingSeed        = 1
)

// sharingRun is one run in which several instances send requests to the same workers.
type sharingRun struct {
	instances, workers int
	load               float64 // fraction of the fleet's slots in use
	duration           time.Duration

	mu         sync.Mutex
	running    []int // requests, by worker
	maxRunning int   // highest number of concurrent requests on one worker
	measuring  bool
	useLeases  bool

	requests, refused, overThreeTries, calls int
	waits                                    *hdrhistogram.Histogram // microseconds
	served                                   sync.WaitGroup
}

// sharingOwner is a fake owner with the real state and scheduling policy, so that it distributes,
// rebalances and revokes grants like an owner. It makes a scheduling decision on each call.
type sharingOwner struct {
	run      *sharingRun
	mu       sync.Mutex
	d        *state.DataCentre
	policy   scheduler.Policy
	applyErr error // joined errors of state events
}

func newSharingOwner(r *sharingRun, workers []structs.Worker) *sharingOwner {
	o := &sharingOwner{run: r, d: state.New("dc1"), policy: scheduler.New(scheduler.Options{})}
	for _, w := range workers {
		o.apply(state.WorkerJoined{Worker: w})
	}
	o.apply(state.Configured{Revision: 1, Stage: structs.StageOpen, Now: time.Now(), Services: []structs.Service{
		{Name: "rota", Kind: structs.KindRequest, SlotShape: structs.Resources{Slots: 1}},
	}})
	return o
}

func (o *sharingOwner) apply(e state.Event) { o.applyErr = errors.Join(o.applyErr, o.d.Apply(e)) }

// LeaseSlots implements Leaser with the latency of one round trip.
func (o *sharingOwner) LeaseSlots(_ context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	o.run.count(&o.run.calls)
	time.Sleep(sharingLatency)
	defer time.Sleep(sharingLatency)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.apply(state.HoldsExpired{Now: now})
	o.apply(state.SlotsReleased{Instance: r.Instance, Grants: r.GiveBack})
	o.apply(state.SlotsRequested{
		Instance: r.Instance, Service: r.Service, Wanted: int(r.Wanted), Keep: r.Keep, Expires: now.Add(state.GrantTTL),
	})
	o.apply(state.PlanAccepted{Plan: o.policy.Decide(o.d, now), Now: now})
	reply := &peer.LeaseSlotsReply{Token: 1}
	for _, id := range slices.Sorted(maps.Keys(o.d.Grants)) {
		if g := o.d.Grants[id]; g.Instance == r.Instance {
			reply.Grants = append(reply.Grants, &peer.Grant{
				Id: g.ID, Worker: g.Worker, Slots: int32(g.Slots), TtlMs: g.Expires.Sub(now).Milliseconds(), Revoked: g.Revoking,
			})
		}
	}
	return reply, nil
}

func (r *sharingRun) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.measuring {
		*n++
	}
}

// attempt sends a request to a worker and waits for its end. It returns false if the worker refuses it.
func (r *sharingRun) attempt(worker int, work time.Duration, arrived time.Time, tries int) bool {
	time.Sleep(sharingLatency)
	r.mu.Lock()
	if r.running[worker] >= sharingSlots {
		if r.measuring {
			r.refused++
		}
		r.mu.Unlock()
		time.Sleep(sharingLatency)
		return false
	}
	r.running[worker]++
	r.maxRunning = max(r.maxRunning, r.running[worker])
	if r.measuring {
		r.requests++
		if tries > 3 {
			r.overThreeTries++
		}
		_ = r.waits.RecordValue((time.Since(arrived) - sharingLatency).Microseconds())
	}
	r.mu.Unlock()
	time.Sleep(work)
	r.mu.Lock()
	r.running[worker]--
	r.mu.Unlock()
	time.Sleep(sharingLatency)
	return true
}

// arrivals generates the requests of one instance and calls serve for each until the run ends.
func (r *sharingRun) arrivals(instance int, serve func(arrived time.Time, work time.Duration)) {
	rng := rand.New(rand.NewPCG(sharingSeed, uint64(instance)))
	gap := float64(sharingMeanRunTime) * float64(r.instances) / (r.load * float64(r.workers*sharingSlots))
	end := time.Now().Add(sharingWarmUp + r.duration)
	for next := time.Now(); next.Before(end); {
		next = next.Add(time.Duration(rng.ExpFloat64() * gap))
		time.Sleep(time.Until(next))
		serve(next, time.Duration(rng.ExpFloat64()*float64(sharingMeanRunTime)))
	}
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// serveLeased serves the requests of one instance in order of arrival from a pool of leased slots, like
// the gateway's queue.
func (r *sharingRun) serveLeased(ctx context.Context, instance int, owner *sharingOwner, index map[string]int) {
	pool := New(Options{
		Instance: fmt.Sprint("i", instance), Leaser: owner, Metrics: metrics.NewRegistry(),
		DataCentres: func() []string { return []string{"dc1"} }, MayStart: func(string) error { return nil },
	})
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { _ = pool.Run(ctx) })
	queue := make(chan arrival, 1<<20)
	background.Go(func() {
		for a := range queue {
			pool.SetWaiting("rota", len(queue))
			slot := pool.TryAcquire(idempotentRequest)
			for slot == nil {
				slot, _ = pool.Acquire(context.Background(), idempotentRequest)
			}
			r.served.Go(func() {
				result := Succeeded
				if !r.attempt(index[slot.Worker], a.work, a.at, 1) {
					result = Refused
				}
				slot.Done(Outcome{Result: result})
			})
		}
		r.served.Done()
	})
	r.served.Add(1)
	r.arrivals(instance, func(at time.Time, work time.Duration) { queue <- arrival{at, work} })
	close(queue)
	r.served.Wait()
	cancel()
	background.Wait()
}

// serveWithLocalLimits sends each request of one instance to the less loaded of two random workers, and
// again after each refusal. The load is the number of this instance's own requests on a worker.
func (r *sharingRun) serveWithLocalLimits(instance int) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(sharingSeed, uint64(1000+instance)))
	own := make([]int, r.workers)
	choose := func() int {
		mu.Lock()
		defer mu.Unlock()
		for {
			a, b := rng.IntN(r.workers), rng.IntN(r.workers)
			if own[b] < own[a] {
				a = b
			}
			if own[a] < sharingSlots {
				own[a]++
				return a
			}
		}
	}
	r.arrivals(instance, func(at time.Time, work time.Duration) {
		r.served.Go(func() {
			for try, done := 1, false; !done; try++ {
				w := choose()
				done = r.attempt(w, work, at, try)
				mu.Lock()
				own[w]--
				mu.Unlock()
			}
		})
	})
}

// execute runs the instances and returns one row of the result table.
func (r *sharingRun) execute(t *testing.T) string {
	r.running, r.waits = make([]int, r.workers), hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	list := workersOf("dc1", r.workers, sharingSlots)
	owner, index := newSharingOwner(r, list), map[string]int{}
	for i, w := range list {
		index[w.ID] = i
	}
	var instances sync.WaitGroup
	for i := range r.instances {
		instances.Go(func() {
			if r.useLeases {
				r.serveLeased(context.Background(), i, owner, index)
				return
			}
			r.serveWithLocalLimits(i)
		})
	}
	setMeasure := func(on bool) {
		r.mu.Lock()
		r.measuring = on
		r.mu.Unlock()
	}
	time.Sleep(sharingWarmUp)
	setMeasure(true)
	time.Sleep(r.duration)
	setMeasure(false)
	instances.Wait()
	r.served.Wait()
	require.NoError(t, owner.applyErr)
	kind := "local limits"
	if r.useLeases {
		kind = "leased slots"
	}
	ms := func(q float64) float64 { return float64(r.waits.ValueAtQuantile(q)) / 1e3 }
	return fmt.Sprintf("| %d, %d | %.0f%% | %s | %d | %.4f | %.2f%% | %.1f | %.1f | %.0f |", r.instances, r.workers, 100*r.load, kind, r.requests,
		float64(r.refused)/float64(r.requests), 100*float64(r.overThreeTries)/float64(r.requests), ms(50), ms(99), 2*float64(r.calls)/r.duration.Seconds())
}

// Guards against refused dispatches under leased slots, and against workers that run more requests
// than they have slots. With -sharing it measures both production sizes.
func TestSharingOfSlots(t *testing.T) {
	sizes, loads := [][2]int{{4, 5}}, []float64{0.5, 0.95}
	if *sharing {
		sizes, loads = [][2]int{{8, 50}, {24, 630}}, []float64{0.5, 0.8, 0.95}
	}
	for _, size := range sizes {
		for _, load := range loads {
			for _, lease := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					r := &sharingRun{instances: size[0], workers: size[1], load: load, useLeases: lease, duration: 10 * time.Second}
					t.Log(r.execute(t))
					require.Positive(t, r.requests)
					require.LessOrEqual(t, r.maxRunning, sharingSlots)
					if lease {
						require.Zero(t, r.refused)
					}
				})
			}
		}
	}
}
