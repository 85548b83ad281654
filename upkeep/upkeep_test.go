package upkeep_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
)

const downTime = 2 * time.Second

// fakeCloud simulates a cloud and the workers on its machines, each of which has a new worker after its upkeep. It
// records violations of the limit, losses of work and workers that are up and are recorded as ended.
type fakeCloud struct {
	limit  int  // machines that may be down at once
	keepID bool // the new worker of a machine has the id of the former one

	mu          sync.Mutex
	unavailable bool                 // no call gets an answer; orders are not carried out
	upAt        map[string]time.Time // when machines are up again
	begun       []string
	token       map[string]uint64
	refused     int             // number of orders to refuse
	lost        int             // number of answers to lose after carrying out the order
	dropped     int             // number of orders that are not carried out and get no answer
	busy        map[string]bool // workers with work
	blocked     map[string]bool
	reserved    map[string]bool
	stoppedRuns []string
	ended       []upkeep.WorkerIncarnation // workers that were recorded as ended
	violations  []string
}

func newFakeCloud(limit int) *fakeCloud {
	return &fakeCloud{limit: limit, upAt: map[string]time.Time{}, token: map[string]uint64{}, busy: map[string]bool{}, blocked: map[string]bool{}, reserved: map[string]bool{}}
}

func (f *fakeCloud) names(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("m", i))
	}
	return names
}

func (f *fakeCloud) down() int {
	n := 0
	for _, at := range f.upAt {
		if time.Now().Before(at) {
			n++
		}
	}
	return n
}

// worker returns the worker on the machine, and its incarnation.
func (f *fakeCloud) worker(machine string) (id string, incarnation int64) {
	id, incarnation = "w-"+machine, 1
	if at, begun := f.upAt[machine]; begun && !time.Now().Before(at) {
		incarnation = 2
		if !f.keepID {
			id += "-2"
		}
	}
	return id, incarnation
}

// incarnation returns the incarnation of the worker with the id if it is up, or else 0.
func (f *fakeCloud) incarnation(worker string) int64 {
	for _, name := range f.names(6) {
		if id, incarnation := f.worker(name); id == worker && !time.Now().Before(f.upAt[name]) {
			return incarnation
		}
	}
	return 0
}

func (f *fakeCloud) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// Machines implements upkeep.Cloud.
func (f *fakeCloud) Machines(context.Context) (list []upkeep.Machine, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, context.DeadlineExceeded
	}
	for _, name := range f.names(6) {
		worker, _ := f.worker(name)
		list = append(list, upkeep.Machine{Name: name, Worker: worker, Up: !time.Now().Before(f.upAt[name])})
	}
	return list, nil
}

// Upkeep implements upkeep.Cloud.
func (f *fakeCloud) Upkeep(ctx context.Context, o upkeep.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return context.DeadlineExceeded
	}
	if f.dropped--; f.dropped >= 0 {
		return context.DeadlineExceeded
	}
	if o.Token < f.token[o.Machine] {
		return upkeep.ErrStaleToken
	}
	f.token[o.Machine] = o.Token
	if _, done := f.upAt[o.Machine]; done {
		return nil
	}
	if f.refused--; f.refused >= 0 {
		return upkeep.ErrBusy
	}
	if f.down() >= f.limit {
		f.violations = append(f.violations, "LIMIT: "+o.Machine)
	}
	if f.busy["w-"+o.Machine] {
		f.violations = append(f.violations, "lost work on "+o.Machine)
	}
	f.upAt[o.Machine] = time.Now().Add(downTime)
	f.begun = append(f.begun, o.Machine)
	if f.lost--; f.lost >= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// Load implements upkeep.Workers.
func (f *fakeCloud) Load(worker string) upkeep.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return upkeep.Load{Incarnation: f.incarnation(worker), Idle: !f.busy[worker], Blocked: f.blocked[worker], UnsavedCoreSeconds: float64(len(worker))}
}

// Reserve implements upkeep.Workers.
func (f *fakeCloud) Reserve(worker string, reserved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved[worker] = reserved
}

// StopRuns implements upkeep.Workers.
func (f *fakeCloud) StopRuns(worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stoppedRuns = append(f.stoppedRuns, worker)
	f.busy[worker] = false
}

// WorkerEnded implements upkeep.Workers.
func (f *fakeCloud) WorkerEnded(worker upkeep.WorkerIncarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, worker)
	if up := f.incarnation(worker.ID); up != 0 && up <= worker.Number {
		f.violations = append(f.violations, worker.ID+" is up and is recorded as ended")
	}
}

// owner runs a controller for one term of ownership.
type owner struct {
	controller    *upkeep.Controller
	ownershipLost atomic.Bool
	stop          func()
}

func (f *fakeCloud) newOwner(s *testplatform.Store, token uint64) *owner {
	s.Put("owner", []byte(fmt.Sprint(token)))
	item, err := s.NewClient().Get(context.Background(), "owner")
	if err != nil {
		panic(err)
	}
	o := &owner{}
	ctx, cancel := context.WithCancel(context.Background())
	o.controller = upkeep.New(upkeep.Options{
		Cloud: f, Store: s.NewClient(), Workers: f, Holder: fmt.Sprint("i", token), Token: token, WallClock: time.Now, Log: zap.NewNop(),
		Fence: metastore.Condition{Key: "owner", Revision: item.Revision},
		Status: func(_ int64, completed bool) metastore.Put {
			return metastore.Put{Key: "status", Value: fmt.Append(nil, completed)}
		},
		OnOwnershipLost: func(string) { o.ownershipLost.Store(true); cancel() },
	})
	var running sync.WaitGroup
	running.Go(func() { o.controller.Run(ctx) })
	o.stop = func() { cancel(); running.Wait() }
	return o
}

func status(s *testplatform.Store) string {
	raw, _ := s.Value("status")
	return string(raw)
}

func (f *fakeCloud) check(t *testing.T, begun int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Empty(t, f.violations)
	assert.Len(t, f.begun, begun)
}

// Guards against a wave that is not carried out, that takes more machines down at once than its limit, or
// that is reported as completed before every machine has begun its upkeep.
func TestWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(2)
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(5), Duration: time.Minute, Cap: 2})
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, "false", status(s))
		f.check(t, 2)
		time.Sleep(15 * time.Second)
		assert.Equal(t, "true", status(s))
		f.check(t, 5)
	})
}

// An order is carried out and its answer is lost. Guards against a second machine that is taken down beyond
// the limit because of it, and against a wave that never completes.
func TestWaveWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		f.lost = 3
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(4), Duration: time.Minute, Cap: 1})
		time.Sleep(30 * time.Second)
		assert.Equal(t, "true", status(s))
		f.check(t, 4)
	})
}

// The owner changes during a wave. Guards against a new owner that does not count the machines that its
// predecessor took down, and against a former owner that continues the wave.
func TestNewOwnerContinuesWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		wave := upkeep.Wave{Number: 1, Machines: f.names(4), Duration: time.Minute, Cap: 1}
		former := f.newOwner(s, 1)
		former.controller.SetWave(wave)
		time.Sleep(100 * time.Millisecond) // the first machine is down
		next := f.newOwner(s, 2)
		defer next.stop()
		next.controller.SetWave(wave)
		time.Sleep(30 * time.Second)
		former.stop()
		assert.True(t, former.ownershipLost.Load())
		assert.Equal(t, "true", status(s))
		f.check(t, 4)
	})
}

// A wave covers machines with runs. Guards against lost work while there is time, against a wave that is late
// because of runs that do not end, against stopping long-running tasks that must not be interrupted, and
// against new work for the worker of the machine that goes down next.
func TestWaveOverBusyMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		f.busy = map[string]bool{"w-m0": true, "w-m1": true, "w-m2": true}
		f.blocked["w-m2"] = true
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(3), Duration: time.Minute, Cap: 1})
		time.Sleep(5 * time.Second)
		f.check(t, 0)
		f.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": true}, f.reserved, "one at a time")
		f.mu.Unlock()
		time.Sleep(25 * time.Second)
		f.check(t, 2)
		f.mu.Lock()
		assert.Equal(t, []string{"w-m0", "w-m1"}, f.stoppedRuns)
		f.mu.Unlock()
		assert.Equal(t, "false", status(s))
		f.mu.Lock()
		f.blocked["w-m2"], f.busy["w-m2"] = false, false
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, "true", status(s))
		f.check(t, 3)
	})
}

// Guards against a wave with little time that is late because it waits for each machine's runs.
func TestShortWaveStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		for _, name := range f.names(4) {
			f.busy["w-"+name] = true
		}
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(4), Duration: 20 * time.Second, Cap: 1})
		time.Sleep(20 * time.Second)
		f.check(t, 4)
	})
}

// Guards against a worker that gets no new work forever because the wave that it was reserved for was
// withdrawn.
func TestWithdrawnWaveReleasesReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		f.busy["w-m0"] = true
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(1), Duration: time.Minute, Cap: 1})
		time.Sleep(3 * time.Second)
		o.controller.RemoveWave(1)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": false}, f.reserved)
		f.mu.Unlock()
		f.check(t, 0)
	})
}

// Guards against treating a refused order as carried out, so that it is not sent again, and against a worker
// that gets no new work in the meantime.
func TestRefusedOrderIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		f.refused = 1
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(1), Duration: time.Minute, Cap: 1})
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": false}, f.reserved)
		f.mu.Unlock()
		f.check(t, 0)
		assert.Equal(t, "false", status(s))
		time.Sleep(5 * time.Second)
		f.check(t, 1)
		assert.Equal(t, "true", status(s))
	})
}

// An order is carried out, and the cloud answers no call until the machine is up again with a new worker. Guards against
// an answer to the repeated order that is taken for the end of the new worker: its runs would start elsewhere as well.
func TestRepeatedOrderKeepsTheNewWorker(t *testing.T) {
	for name, keepID := range map[string]bool{"new id": false, "same id": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, f := testplatform.NewStore(), newFakeCloud(1)
				f.lost, f.keepID = 1, keepID
				o := f.newOwner(s, 1)
				defer o.stop()
				o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(1), Duration: time.Minute, Cap: 1})
				time.Sleep(100 * time.Millisecond)
				f.setUnavailable(true)
				time.Sleep(2 * downTime)
				f.setUnavailable(false)
				time.Sleep(5 * time.Second)
				assert.Equal(t, "true", status(s))
				f.check(t, 1)
				assert.Equal(t, []upkeep.WorkerIncarnation{{ID: "w-m0", Number: 1}}, f.ended)
			})
		})
	}
}

// The record of a wave was written by a version that did not store the workers of ordered machines, and the machine is
// up again. Guards against an owner that takes its present worker for the one that has ended.
func TestRepeatedOrderOfARecordWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		f.upAt["m0"] = time.Now()
		f.begun = []string{"m0"}
		s.Put(upkeep.RecordPrefix+"1", fmt.Appendf(nil, `{"b":%d,"o":["m0"]}`, time.Now().UnixMilli()))
		o := f.newOwner(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: f.names(1), Duration: time.Minute, Cap: 1})
		time.Sleep(5 * time.Second)
		assert.Equal(t, "true", status(s))
		f.check(t, 1)
		assert.Empty(t, f.ended)
	})
}

// The order of a former owner was not carried out and got no answer, and the machine's worker has new runs. Guards
// against a new owner that repeats the order at once: it would end runs that it could wait for, or long-running tasks
// that must not be interrupted.
func TestRepeatedOrderWaitsForRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := testplatform.NewStore(), newFakeCloud(1)
		wave := upkeep.Wave{Number: 1, Machines: f.names(2), Duration: time.Minute, Cap: 1}
		f.dropped = 1
		former := f.newOwner(s, 1)
		former.controller.SetWave(wave)
		time.Sleep(100 * time.Millisecond)
		former.stop()
		f.mu.Lock()
		f.busy["w-m0"], f.blocked["w-m0"] = true, true
		f.mu.Unlock()
		next := f.newOwner(s, 2)
		defer next.stop()
		next.controller.SetWave(wave)
		time.Sleep(15 * time.Second)
		f.check(t, 0)
		f.mu.Lock()
		assert.Empty(t, f.stoppedRuns)
		f.blocked["w-m0"] = false
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.check(t, 0)
		f.mu.Lock()
		assert.True(t, f.reserved["w-m0"])
		f.mu.Unlock()
		time.Sleep(15 * time.Second)
		f.check(t, 2)
		f.mu.Lock()
		assert.Equal(t, []string{"w-m0"}, f.stoppedRuns)
		f.mu.Unlock()
		assert.Equal(t, "true", status(s))
	})
}

// Operators add machines to a wave while it runs, or after it was completed. Guards against a wave that is reported as
// completed although added machines have not begun their upkeep, also by an owner that finds it completed in the store.
func TestExtendedWave(t *testing.T) {
	for name, after := range map[string]time.Duration{"running": 100 * time.Millisecond, "completed": 20 * time.Second} {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " owner changes ", change), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, f := testplatform.NewStore(), newFakeCloud(1)
					o := f.newOwner(s, 1)
					wave := upkeep.Wave{Number: 1, Machines: f.names(2), Duration: time.Minute, Cap: 1}
					o.controller.SetWave(wave)
					time.Sleep(after)
					wave.Machines = f.names(4)
					if change {
						o.stop()
						o = f.newOwner(s, 2)
					}
					defer o.stop()
					o.controller.SetWave(wave)
					time.Sleep(1500 * time.Millisecond)
					assert.Equal(t, "false", status(s), "machines were added")
					time.Sleep(30 * time.Second)
					f.check(t, 4)
					assert.Equal(t, "true", status(s))
				})
			})
		}
	}
}
