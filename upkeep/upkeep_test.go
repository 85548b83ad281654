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

const awayFor = 2 * time.Second

// yard is a cloud and the workers on its machines. It checks the promises of a wave.
type yard struct {
	limit int // machines that may be down at once

	mu       sync.Mutex
	upAt     map[string]time.Time // of machines that are down
	begun    []string
	token    map[string]uint64
	refused  int             // orders that are refused
	lost     int             // answers that are lost after the order was carried out
	busy     map[string]bool // workers with work
	blocked  map[string]bool
	reserved map[string]bool
	vacated  []string
	wrong    []string
}

func newYard(limit int) *yard {
	return &yard{limit: limit, upAt: map[string]time.Time{}, token: map[string]uint64{}, busy: map[string]bool{}, blocked: map[string]bool{}, reserved: map[string]bool{}}
}

func (y *yard) names(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("m", i))
	}
	return names
}

func (y *yard) down() int {
	n := 0
	for _, at := range y.upAt {
		if time.Now().Before(at) {
			n++
		}
	}
	return n
}

// Machines implements upkeep.Cloud.
func (y *yard) Machines(context.Context) (list []upkeep.Machine, _ error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, name := range y.names(6) {
		list = append(list, upkeep.Machine{Name: name, Worker: "w-" + name, Up: !time.Now().Before(y.upAt[name])})
	}
	return list, nil
}

// Upkeep implements upkeep.Cloud.
func (y *yard) Upkeep(ctx context.Context, o upkeep.Order) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	if o.Token < y.token[o.Machine] {
		return upkeep.ErrFenced
	}
	y.token[o.Machine] = o.Token
	if _, done := y.upAt[o.Machine]; done {
		return nil
	}
	if y.refused--; y.refused >= 0 {
		return upkeep.ErrBusy
	}
	if y.down() >= y.limit {
		y.wrong = append(y.wrong, "LIMIT: "+o.Machine)
	}
	if y.busy["w-"+o.Machine] {
		y.wrong = append(y.wrong, "work thrown away on "+o.Machine)
	}
	y.upAt[o.Machine] = time.Now().Add(awayFor)
	y.begun = append(y.begun, o.Machine)
	if y.lost--; y.lost >= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// Load implements upkeep.Workers.
func (y *yard) Load(worker string) upkeep.Load {
	y.mu.Lock()
	defer y.mu.Unlock()
	return upkeep.Load{Idle: !y.busy[worker], Blocked: y.blocked[worker], UnsavedCoreSeconds: float64(len(worker))}
}

// Reserve implements upkeep.Workers.
func (y *yard) Reserve(worker string, reserved bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.reserved[worker] = reserved
}

// StopRuns implements upkeep.Workers.
func (y *yard) StopRuns(worker string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.vacated = append(y.vacated, worker)
	y.busy[worker] = false
}

// WorkerEnded implements upkeep.Workers.
func (y *yard) WorkerEnded(string) {}

// owner is a term that carries waves out.
type owner struct {
	controller *upkeep.Controller
	over       atomic.Bool
	stop       func()
}

func (y *yard) own(s *testplatform.Store, token uint64) *owner {
	s.Put("owner", []byte(fmt.Sprint(token)))
	item, err := s.NewClient().Get(context.Background(), "owner")
	if err != nil {
		panic(err)
	}
	o := &owner{}
	ctx, cancel := context.WithCancel(context.Background())
	o.controller = upkeep.New(upkeep.Options{
		Cloud: y, Store: s.NewClient(), Workers: y, Holder: fmt.Sprint("i", token), Token: token, WallClock: time.Now, Log: zap.NewNop(),
		Fence: metastore.Condition{Key: "owner", Revision: item.Revision},
		Status: func(_ int64, completed bool) metastore.Put {
			return metastore.Put{Key: "status", Value: fmt.Append(nil, completed)}
		},
		OnOwnershipLost: func(string) { o.over.Store(true); cancel() },
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

func (y *yard) check(t *testing.T, begun int) {
	t.Helper()
	y.mu.Lock()
	defer y.mu.Unlock()
	assert.Empty(t, y.wrong)
	assert.Len(t, y.begun, begun)
}

// Guards against a wave that is not carried out, that takes more machines down at once than it
// may, and that is called completed before each machine has begun.
func TestWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(2)
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(5), Duration: time.Minute, Cap: 2})
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, "false", status(s))
		y.check(t, 2)
		time.Sleep(15 * time.Second)
		assert.Equal(t, "true", status(s))
		y.check(t, 5)
	})
}

// Guards against a second machine taken down for one whose order was carried out and whose answer
// was lost, and against a wave that never ends because of it.
func TestWaveWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		y.lost = 3
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(4), Duration: time.Minute, Cap: 1})
		time.Sleep(30 * time.Second)
		assert.Equal(t, "true", status(s))
		y.check(t, 4)
	})
}

// Guards against a new owner that forgets which machines its predecessor took down, and against
// a former owner that goes on.
func TestWaveGoesOnUnderANewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		wave := upkeep.Wave{Number: 1, Machines: y.names(4), Duration: time.Minute, Cap: 1}
		former := y.own(s, 1)
		former.controller.SetWave(wave)
		time.Sleep(100 * time.Millisecond) // the first machine is down
		next := y.own(s, 2)
		defer next.stop()
		next.controller.SetWave(wave)
		time.Sleep(30 * time.Second)
		former.stop()
		assert.True(t, former.over.Load())
		assert.Equal(t, "true", status(s))
		y.check(t, 4)
	})
}

// Load: a wave over machines with work. Guards against work that is thrown away while there is
// time, against a wave that is late because it waits for work that does not end, against long-running
// tasks that may not be missed, and against new work on the machine that is next.
func TestWaveOverBusyMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		y.busy = map[string]bool{"w-m0": true, "w-m1": true, "w-m2": true}
		y.blocked["w-m2"] = true
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(3), Duration: time.Minute, Cap: 1})
		time.Sleep(5 * time.Second)
		y.check(t, 0)
		y.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": true}, y.reserved, "one at a time")
		y.mu.Unlock()
		time.Sleep(25 * time.Second)
		y.check(t, 2)
		y.mu.Lock()
		assert.Equal(t, []string{"w-m0", "w-m1"}, y.vacated)
		y.mu.Unlock()
		assert.Equal(t, "false", status(s))
		y.mu.Lock()
		y.blocked["w-m2"], y.busy["w-m2"] = false, false
		y.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, "true", status(s))
		y.check(t, 3)
	})
}

// Guards against a wave that is late because each machine's work is waited for.
func TestWaveInAHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		for _, name := range y.names(4) {
			y.busy["w-"+name] = true
		}
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(4), Duration: 20 * time.Second, Cap: 1})
		time.Sleep(20 * time.Second)
		y.check(t, 4)
	})
}

// Guards against a worker that gets no work for ever because the wave that it was reserved for was
// withdrawn.
func TestWithdrawnWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		y.busy["w-m0"] = true
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(1), Duration: time.Minute, Cap: 1})
		time.Sleep(3 * time.Second)
		o.controller.RemoveWave(1)
		time.Sleep(3 * time.Second)
		y.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": false}, y.reserved)
		y.mu.Unlock()
		y.check(t, 0)
	})
}

// Guards against an order that was refused and counts as given, and against a worker that gets no
// work although its machine stays.
func TestRefusedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, y := testplatform.NewStore(), newYard(1)
		y.refused = 1
		o := y.own(s, 1)
		defer o.stop()
		o.controller.SetWave(upkeep.Wave{Number: 1, Machines: y.names(1), Duration: time.Minute, Cap: 1})
		time.Sleep(500 * time.Millisecond)
		y.mu.Lock()
		assert.Equal(t, map[string]bool{"w-m0": false}, y.reserved)
		y.mu.Unlock()
		y.check(t, 0)
		assert.Equal(t, "false", status(s))
		time.Sleep(5 * time.Second)
		y.check(t, 1)
		assert.Equal(t, "true", status(s))
	})
}
