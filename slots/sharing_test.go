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
	shareSlots  = 8 // of each worker
	shareOneWay = 500 * time.Microsecond
	shareWork   = 100 * time.Millisecond // mean of the exponential run times
	shareWarmUp = 5 * time.Second
	shareSeed   = 1
)

// shareRun is one run of instances over the same workers.
type shareRun struct {
	instances, workers int
	load               float64 // share of the fleet's slots
	span               time.Duration

	mu      sync.Mutex
	running []int // by worker
	maximum int   // most requests that ran on one worker at a time
	measure bool
	lease   bool

	requests, refused, beyond, calls int
	waits                            *hdrhistogram.Histogram // microseconds
	served                           sync.WaitGroup
}

// shareOwner is a stand-in owner around the decision core, so that it shares, rebalances
// and revokes as an owner does. Each call decides.
type shareOwner struct {
	run     *shareRun
	mu      sync.Mutex
	d       *state.DataCentre
	policy  scheduler.Policy
	mistake error // of the state
}

func newShareOwner(r *shareRun, workers []structs.Worker) *shareOwner {
	o := &shareOwner{run: r, d: state.New("dc1"), policy: scheduler.New(scheduler.Options{})}
	for _, w := range workers {
		o.apply(state.WorkerJoined{Worker: w})
	}
	o.apply(state.Configured{Revision: 1, Stage: structs.StageOpen, Now: time.Now(), Services: []structs.Service{
		{Name: "rota", Kind: structs.KindRequest, SlotShape: structs.Resources{Slots: 1}},
	}})
	return o
}

func (o *shareOwner) apply(e state.Event) { o.mistake = errors.Join(o.mistake, o.d.Apply(e)) }

// LeaseSlots implements Leaser with one round trip.
func (o *shareOwner) LeaseSlots(_ context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	o.run.count(&o.run.calls)
	time.Sleep(shareOneWay)
	defer time.Sleep(shareOneWay)
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

func (r *shareRun) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.measure {
		*n++
	}
}

// attempt sends a request to a worker and returns after its run, or false after its refusal.
func (r *shareRun) attempt(worker int, work time.Duration, arrived time.Time, tries int) bool {
	time.Sleep(shareOneWay)
	r.mu.Lock()
	if r.running[worker] >= shareSlots {
		if r.measure {
			r.refused++
		}
		r.mu.Unlock()
		time.Sleep(shareOneWay)
		return false
	}
	r.running[worker]++
	r.maximum = max(r.maximum, r.running[worker])
	if r.measure {
		r.requests++
		if tries > 3 {
			r.beyond++
		}
		_ = r.waits.RecordValue((time.Since(arrived) - shareOneWay).Microseconds())
	}
	r.mu.Unlock()
	time.Sleep(work)
	r.mu.Lock()
	r.running[worker]--
	r.mu.Unlock()
	time.Sleep(shareOneWay)
	return true
}

// arrivals calls serve for each request of one instance until the end of the run.
func (r *shareRun) arrivals(instance int, serve func(arrived time.Time, work time.Duration)) {
	random := rand.New(rand.NewPCG(shareSeed, uint64(instance)))
	gap := float64(shareWork) * float64(r.instances) / (r.load * float64(r.workers*shareSlots))
	end := time.Now().Add(shareWarmUp + r.span)
	for next := time.Now(); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() * gap))
		time.Sleep(time.Until(next))
		serve(next, time.Duration(random.ExpFloat64()*float64(shareWork)))
	}
}

type shareArrival struct {
	at   time.Time
	work time.Duration
}

// leased serves the requests of one instance in their order from a pool of leased slots,
// as the gateway's queue does.
func (r *shareRun) leased(ctx context.Context, instance int, owner *shareOwner, index map[string]int) {
	pool := New(Options{
		Instance: fmt.Sprint("i", instance), Leaser: owner, Metrics: metrics.NewRegistry(),
		DataCentres: func() []string { return []string{"dc1"} }, MayStart: func(string) error { return nil },
	})
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { _ = pool.Run(ctx) })
	queue := make(chan shareArrival, 1<<20)
	background.Go(func() {
		for a := range queue {
			pool.SetWaiting("rota", len(queue))
			slot := pool.TryAcquire(anyIdempotent)
			for slot == nil {
				slot, _ = pool.Acquire(context.Background(), anyIdempotent)
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
	r.arrivals(instance, func(at time.Time, work time.Duration) { queue <- shareArrival{at, work} })
	close(queue)
	r.served.Wait()
	cancel()
	background.Wait()
}

// local serves the requests of one instance on the better of two random workers by its
// own requests, and on others after each refusal.
func (r *shareRun) local(instance int) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(shareSeed, uint64(1000+instance)))
	own := make([]int, r.workers)
	choose := func() int {
		mu.Lock()
		defer mu.Unlock()
		for {
			a, b := random.IntN(r.workers), random.IntN(r.workers)
			if own[b] < own[a] {
				a = b
			}
			if own[a] < shareSlots {
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

// do runs the instances and returns one row of the table.
func (r *shareRun) do(t *testing.T) string {
	r.running, r.waits = make([]int, r.workers), hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	list := workersOf("dc1", r.workers, shareSlots)
	owner, index := newShareOwner(r, list), map[string]int{}
	for i, w := range list {
		index[w.ID] = i
	}
	var instances sync.WaitGroup
	for i := range r.instances {
		instances.Go(func() {
			if r.lease {
				r.leased(context.Background(), i, owner, index)
				return
			}
			r.local(i)
		})
	}
	setMeasure := func(on bool) {
		r.mu.Lock()
		r.measure = on
		r.mu.Unlock()
	}
	time.Sleep(shareWarmUp)
	setMeasure(true)
	time.Sleep(r.span)
	setMeasure(false)
	instances.Wait()
	r.served.Wait()
	require.NoError(t, owner.mistake)
	kind := "local limits"
	if r.lease {
		kind = "leased slots"
	}
	ms := func(q float64) float64 { return float64(r.waits.ValueAtQuantile(q)) / 1e3 }
	return fmt.Sprintf("| %d, %d | %.0f%% | %s | %d | %.4f | %.2f%% | %.1f | %.1f | %.0f |", r.instances, r.workers, 100*r.load, kind, r.requests,
		float64(r.refused)/float64(r.requests), 100*float64(r.beyond)/float64(r.requests), ms(50), ms(99), 2*float64(r.calls)/r.span.Seconds())
}

// Guards against leased slots that lead to refused dispatches, and against a comparison in
// which a worker runs more than its slots. With -sharing it measures both real sizes.
func TestSharingOfSlots(t *testing.T) {
	sizes, loads := [][2]int{{4, 5}}, []float64{0.5, 0.95}
	if *sharing {
		sizes, loads = [][2]int{{8, 50}, {24, 630}}, []float64{0.5, 0.8, 0.95}
	}
	for _, size := range sizes {
		for _, load := range loads {
			for _, lease := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					r := &shareRun{instances: size[0], workers: size[1], load: load, lease: lease, span: 10 * time.Second}
					t.Log(r.do(t))
					require.Positive(t, r.requests)
					require.LessOrEqual(t, r.maximum, shareSlots)
					if lease {
						require.Zero(t, r.refused)
					}
				})
			}
		}
	}
}
