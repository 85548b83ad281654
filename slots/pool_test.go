package slots

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/testlease"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// ownersByDataCentre routes lease calls by data centre.
type ownersByDataCentre map[string]*testlease.Owner

func (o ownersByDataCentre) LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	return o[r.DataCentre].LeaseSlots(ctx, r)
}

func workersOf(dc string, n, slots int) []structs.Worker {
	list := make([]structs.Worker, n)
	for i := range list {
		list[i] = structs.Worker{ID: fmt.Sprintf("%s-w%d", dc, i), DataCentre: dc, Capacity: structs.Resources{Slots: slots}}
	}
	return list
}

type fixture struct {
	*Pool
	owners   ownersByDataCentre
	startErr atomic.Pointer[error] // result of MayStart
	stop     func()
}

// start runs a pool over the owners until the end of the test.
func start(t *testing.T, o ownersByDataCentre, names ...string) *fixture {
	f := &fixture{owners: o}
	f.Pool = New(Options{
		Instance: "i1", Leaser: o, DataCentres: func() []string { return names }, Metrics: metrics.NewRegistry(),
		MayStart: func(string) error {
			if err := f.startErr.Load(); err != nil {
				return *err
			}
			return nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- f.Run(ctx) }()
	f.stop = sync.OnceFunc(func() { cancel(); <-stopped })
	t.Cleanup(f.stop)
	return f
}

func (f *fixture) acquire(t *testing.T, w Requirements) *Slot {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := f.Acquire(ctx, w)
	require.NoError(t, err)
	return s
}

var idempotentRequest = Requirements{Service: "rota", Idempotent: true}

// run sends n requests sequentially. fails reports whether a worker fails them, without a run time.
func (f *fixture) run(t *testing.T, n int, fails func(worker string) bool) (failures int) {
	for range n {
		s := f.acquire(t, idempotentRequest)
		if fails(s.Worker) {
			failures++
			s.Done(Outcome{Result: Failed})
			continue
		}
		time.Sleep(5 * time.Millisecond)
		s.Done(Outcome{Result: Succeeded})
	}
	return failures
}

func (f *fixture) ejected() (ids []string) {
	for _, w := range f.Status().Workers {
		if w.Ejected {
			ids = append(ids, w.Worker)
		}
	}
	return ids
}

// leaseSlots acquires n slots at a time and releases them, so that the pool leases enough slots.
func (f *fixture) leaseSlots(t *testing.T, n int) {
	held := make([]*Slot, n)
	for i := range held {
		held[i] = f.acquire(t, idempotentRequest)
	}
	for _, s := range held {
		s.Done(Outcome{Result: Succeeded})
	}
}

// Guards against a worker that fails requests immediately and attracts more of them, because it always
// has free slots. It must be ejected, and readmitted only after a successful probe.
func TestFastFailingWorkerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, ownersByDataCentre{"dc1": testlease.NewOwner(workersOf("dc1", 4, 4)...)}, "dc1")
		failing := true
		fails := func(worker string) bool { return failing && worker == "dc1-w0" }
		// All granted slots except the headroom are in use, so that the failing worker is chosen too.
		failures := 0
		var held []*Slot
		for range 100 {
			for len(held) < 7 {
				held = append(held, f.acquire(t, idempotentRequest))
			}
			time.Sleep(5 * time.Millisecond)
			for _, s := range held {
				if fails(s.Worker) {
					failures++
					s.Done(Outcome{Result: Failed})
				} else {
					s.Done(Outcome{Result: Succeeded})
				}
			}
			held = held[:0]
			if len(f.ejected()) > 0 {
				break
			}
		}
		require.Equal(t, []string{"dc1-w0"}, f.ejected())
		require.LessOrEqual(t, failures, 2*ejectMinFailures)
		f.leaseSlots(t, 7) // slots of the other workers replace those of the ejected one
		require.LessOrEqual(t, f.run(t, 2000, fails), 4, "probes are due after 1, 3 and 7 s of the 10 s")
		require.Equal(t, []string{"dc1-w0"}, f.ejected())
		failing = false
		require.Zero(t, f.run(t, 4000, fails))
		require.Empty(t, f.ejected())
	})
}

// Guards against the ejection of healthy workers because of requests that fail on every worker, also
// when their first attempts were all sent to the same worker.
func TestRequestFailingOnAllWorkersEjectsNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, ownersByDataCentre{"dc1": testlease.NewOwner(workersOf("dc1", 10, 1)...)}, "dc1")
		round := func(end func(s *Slot)) {
			held := make([]*Slot, 10)
			for i := range held {
				held[i] = f.acquire(t, idempotentRequest)
			}
			slices.SortFunc(held, func(a, b *Slot) int { return strings.Compare(b.Worker, a.Worker) }) // w0 last
			for _, s := range held {
				end(s)
			}
			time.Sleep(time.Millisecond)
		}
		for range 20 {
			round(func(s *Slot) { s.Done(Outcome{Result: Failed}) })
		}
		require.Empty(t, f.ejected(), "every request fails")
		time.Sleep(5 * time.Minute)
		for range 20 {
			round(func(s *Slot) {
				if s.Worker != "dc1-w0" {
					s.Done(Outcome{Result: Succeeded})
					return
				}
				s.Done(Outcome{Result: Failed})
				second := f.acquire(t, Requirements{Service: "rota", ExcludedWorkers: []string{s.Worker}})
				second.Done(Outcome{Result: Failed, FailedOn: s.Worker})
			})
		}
		require.Empty(t, f.ejected(), "each request failed on two workers")
	})
}

// Guards against ejecting so many workers that the remaining ones are overloaded.
func TestAtMostThirtyPercentAreEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, ownersByDataCentre{"dc1": testlease.NewOwner(workersOf("dc1", 10, 1)...)}, "dc1")
		fails := map[string]bool{"dc1-w0": true, "dc1-w1": true, "dc1-w2": true, "dc1-w3": true}
		for range 20 {
			held := make([]*Slot, 0, 10)
			for len(held) < 7 {
				held = append(held, f.acquire(t, Requirements{Service: "rota"}))
			}
			for _, s := range held {
				r := Succeeded
				if fails[s.Worker] {
					r = Failed
				}
				s.Done(Outcome{Result: r})
			}
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, len(f.ejected()), 3)
		require.NotEmpty(t, f.ejected())
		for _, id := range f.ejected() {
			require.True(t, fails[id], id)
		}
	})
}

// delayedOwner answers the first call after a delay. Later calls fail.
type delayedOwner struct {
	*testlease.Owner
	delay time.Duration
}

func (s *delayedOwner) LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	reply, err := s.Owner.LeaseSlots(ctx, r)
	s.Set(func(o *testlease.Owner) { o.Down = true })
	time.Sleep(s.delay)
	return reply, err
}

// Guards against dispatches under a grant that has expired at the owner: its validity counts from
// when the request was sent, and a failed renewal does not extend it.
func TestGrantIsUnusableWithinExpiryMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := testlease.NewOwner(workersOf("dc1", 1, 1)...)
		f := start(t, ownersByDataCentre{"dc1": owner}, "dc1")
		f.opts.Leaser = &delayedOwner{owner, 700 * time.Millisecond}
		began := time.Now()
		s := f.acquire(t, idempotentRequest)
		time.Sleep(3*time.Second - expiryMargin - time.Since(began) - time.Millisecond)
		require.NoError(t, s.CheckUsable())
		time.Sleep(time.Millisecond)
		require.Equal(t, errkind.UpstreamRefused, errkind.Of(s.CheckUsable()))
		s.Done(Outcome{Result: Unused})
		require.Nil(t, f.TryAcquire(idempotentRequest))
	})
}

// Guards against an instance that keeps slots it does not use.
func TestIdleSlotsAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := testlease.NewOwner(workersOf("dc1", 4, 8)...)
		f := start(t, ownersByDataCentre{"dc1": owner}, "dc1")
		f.leaseSlots(t, 20)
		used, _ := owner.Used()
		require.GreaterOrEqual(t, total(used), 20)
		time.Sleep(2500 * time.Millisecond) // some of the slots have been returned
		owner.Set(func(o *testlease.Owner) { o.Down = true })
		var held []*Slot
		for s := f.TryAcquire(idempotentRequest); s != nil; s = f.TryAcquire(idempotentRequest) {
			held = append(held, s)
		}
		used, _ = owner.Used()
		require.Less(t, total(used), 20)
		require.Len(t, held, total(used), "returned slots must not be used")
		for _, s := range held {
			s.Done(Outcome{Result: Unused})
		}
		owner.Set(func(o *testlease.Owner) { o.Down = false })
		time.Sleep(30 * time.Second)
		used, calls := owner.Used()
		require.Zero(t, total(used))
		time.Sleep(20 * time.Second)
		_, later := owner.Used()
		require.Equal(t, calls, later, "an idle pool makes no calls")
		f.leaseSlots(t, 20)
		f.stop()
		used, _ = owner.Used()
		require.Zero(t, total(used), "a stopped pool keeps no slots")
	})
}

func total(used map[string]int) (n int) {
	for _, u := range used {
		n += u
	}
	return n
}

// Guards against starts in a data centre whose stage forbids them, also on slots acquired earlier, and
// against waiting for a slot when no data centre allows starts.
func TestStageForbidsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, ownersByDataCentre{"dc1": testlease.NewOwner(workersOf("dc1", 1, 2)...)}, "dc1")
		s := f.acquire(t, idempotentRequest)
		stale := errkind.New(errkind.StaleManifest, "stale")
		f.startErr.Store(&stale)
		require.Equal(t, errkind.StaleManifest, errkind.Of(s.CheckUsable()))
		s.Done(Outcome{Result: Unused})
		require.Nil(t, f.TryAcquire(idempotentRequest))
		_, err := f.Acquire(t.Context(), idempotentRequest)
		require.Equal(t, errkind.StaleManifest, errkind.Of(err))
		f.startErr.Store(nil)
		f.acquire(t, idempotentRequest).Done(Outcome{Result: Succeeded})
	})
}

// Guards against new work on a leaving worker, whether the owner revokes its grants or the worker
// refuses an attempt, and against revoked slots that are not returned.
func TestLeavingWorkerGetsNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := testlease.NewOwner(workersOf("dc1", 3, 2)...)
		f := start(t, ownersByDataCentre{"dc1": owner}, "dc1")
		f.leaseSlots(t, 6)
		owner.Set(func(o *testlease.Owner) { o.Revoked = map[string]bool{"dc1-w0": true} })
		time.Sleep(renewInterval)
		synctest.Wait()
		first, last := f.acquire(t, idempotentRequest), "dc1-w1"
		require.NotEqual(t, "dc1-w0", first.Worker)
		if first.Worker == last {
			last = "dc1-w2"
		}
		other := f.acquire(t, Requirements{Service: "rota", ExcludedWorkers: []string{"dc1-w0", last}})
		require.Equal(t, first.Worker, other.Worker)
		first.Done(Outcome{Result: Leaving})
		require.Error(t, other.CheckUsable(), "the worker has refused an attempt as leaving")
		other.Done(Outcome{Result: Unused})
		for range 50 {
			s := f.acquire(t, idempotentRequest)
			require.Equal(t, last, s.Worker)
			s.Done(Outcome{Result: Succeeded})
		}
		time.Sleep(renewInterval)
		synctest.Wait()
		used, _ := owner.Used()
		require.Zero(t, used["dc1-w0"])
	})
}

// Guards against slots of other data centres that stay unused during a shortage in the preferred one,
// and against the use of remote slots while the preferred data centre has free ones.
func TestShortageInPreferredDataCentreUsesNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, ownersByDataCentre{
			"dc1": testlease.NewOwner(workersOf("dc1", 1, 2)...), "dc2": testlease.NewOwner(workersOf("dc2", 1, 2)...),
		}, "dc1", "dc2")
		a, b := f.acquire(t, idempotentRequest), f.acquire(t, idempotentRequest)
		require.Equal(t, []string{"dc1", "dc1"}, []string{a.DataCentre, b.DataCentre})
		c := f.acquire(t, idempotentRequest)
		require.Equal(t, "dc2", c.DataCentre)
		for _, s := range []*Slot{a, b, c} {
			s.Done(Outcome{Result: Succeeded})
		}
		f.owners["dc1"].Set(func(o *testlease.Owner) { o.Down = true })
		time.Sleep(4 * time.Second)
		require.Equal(t, "dc2", f.acquire(t, idempotentRequest).DataCentre, "the owner of dc1 is down")
	})
}
