package jobowner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// processor models the CPU of an owner: each call takes CPU time when it is sent and when it is answered, and
// calls queue for it in the order in which they come.
type processor struct {
	cost    time.Duration // of a call when it is sent, and again when it is answered
	turn    chan struct{}
	waiting atomic.Int64
	starts  atomic.Int64 // start orders that were sent
}

func newProcessor(cost time.Duration) *processor {
	return &processor{cost: cost, turn: make(chan struct{}, 1)}
}

func (p *processor) use() {
	p.waiting.Add(1)
	p.turn <- struct{}{}
	time.Sleep(p.cost)
	<-p.turn
	p.waiting.Add(-1)
}

// lag is how long a call waits for the CPU or the link now.
func (c *testInstance) lag() time.Duration {
	if c.cpu == nil {
		return max(c.ownLag, c.link.meterOrNil().Queue())
	}
	return time.Duration(c.cpu.waiting.Load()) * c.cpu.cost
}

func (p *processor) call(f func()) {
	p.use()
	f()
	p.use()
}

// clients returns the instance's clients of the store and of the workers.
func (s *system) clients(c *testInstance) (metastore.Store, workerapi.Client) {
	if s.linkBytesPerSecond > 0 {
		c.link = newUplink(s.linkBytesPerSecond)
		s.links = append(s.links, c.link)
		return linkedStore{c.client, c.link}, linkedWorkers{s.fleet, c.link}
	}
	if s.callCost == 0 {
		return rejectingStore{c.client, &s.rejected}, s.fleet
	}
	c.cpu = newProcessor(s.callCost)
	return busyStore{c.client, c.cpu}, busyWorkers{s.fleet, c.cpu}
}

// busyStore is a store that is called through a processor.
type busyStore struct {
	metastore.Store
	p *processor
}

func (s busyStore) Commit(ctx context.Context, txn metastore.Txn) (revision uint64, err error) {
	s.p.call(func() { revision, err = s.Store.Commit(ctx, txn) })
	return revision, err
}

func (s busyStore) KeepAlive(ctx context.Context, lease int64) (err error) {
	s.p.call(func() { err = s.Store.KeepAlive(ctx, lease) })
	return err
}

func (s busyStore) Watch(ctx context.Context, prefix string, after uint64, waitFor time.Duration) (changes []metastore.Change, asOf uint64, err error) {
	s.p.call(func() { changes, asOf, err = s.Store.Watch(ctx, prefix, after, waitFor) })
	return changes, asOf, err
}

// busyWorkers are workers that are called through a processor.
type busyWorkers struct {
	workerapi.Client
	p *processor
}

func (w busyWorkers) Start(ctx context.Context, target workerapi.Target, o workerapi.Start) (clock int64, err error) {
	w.p.starts.Add(1)
	w.p.call(func() { clock, err = w.Client.Start(ctx, target, o) })
	return clock, err
}

func (w busyWorkers) Stop(ctx context.Context, target workerapi.Target, o workerapi.Stop) (clock int64, err error) {
	w.p.call(func() { clock, err = w.Client.Stop(ctx, target, o) })
	return clock, err
}

func (w busyWorkers) Renew(ctx context.Context, target workerapi.Target, o workerapi.Renew) (report workerapi.Report, err error) {
	w.p.call(func() { report, err = w.Client.Renew(ctx, target, o) })
	return report, err
}

// Guards against an owner on a slow machine that takes the delay by its own burst of orders for unresponsive
// workers and an unresponsive store: it repeated and stopped the starts, lost its ownership, and its successor
// did the same, so that accepted jobs stood on an idle service.
func TestBurstOfStartsOnASlowMachine(t *testing.T) {
	const workers = 60
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.callCost = 1500 * time.Microsecond
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		for n := range workers {
			s.addWorker(fmt.Sprintf("w%02d", n), n/12)
		}
		s.start("a")
		s.start("b")
		time.Sleep(2 * time.Second)
		for n := range 12 {
			s.submit(fmt.Sprint("job-", n), "batch", tasks(workers*8/12, 1))
		}
		time.Sleep(4 * time.Second) // the CPU time of the starts is 1.5 s
		assert.Equal(t, workers*8, s.fleet.StartCount())
		sent := s.instances["a"].cpu.starts.Load() + s.instances["b"].cpu.starts.Load()
		assert.Equal(t, int64(workers*8), sent, "no start is repeated")
		assert.Len(t, s.terms, 1)
		s.requireNoViolations(t)
	})
}

// Guards against orders to workers that do not answer, as after a power loss, that keep those to others waiting.
func TestSilentWorkersDoNotDelayOrdersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 20 {
			s.addWorker(fmt.Sprintf("w%02d", n), n/10)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
			if worker < "w12" {
				return testplatform.Silent
			}
			return testplatform.None
		})
		s.submit("job", "batch", tasks(20*8, 1))
		time.Sleep(250 * time.Millisecond)
		assert.Equal(t, 8*8, s.fleet.StartCount())
	})
}
