package jobowner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/link"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// callBytes is the size of a call without its payload, with headers of all layers.
const callBytes = 400

// maxCallTime limits how long a call that was sent takes. It is shorter than the delay of late calls of testplatform.
const maxCallTime = 2 * time.Second

// uplink models the link over which an owner sends: calls queue for it in the order in which they are made. What was
// queued is sent although its caller has given up.
type uplink struct {
	bytesPerSecond int
	meter          *link.Meter
	starts         atomic.Int64 // start orders that were sent

	mu            sync.Mutex
	freeAt        time.Time
	started       map[string]bool // tasks whose start was sent
	unneededStops int             // stops of tasks whose start was not sent
}

func newUplink(bytesPerSecond int) *uplink {
	return &uplink{bytesPerSecond: bytesPerSecond, started: map[string]bool{}, meter: link.New(float64(bytesPerSecond) * 8 / 1e6)}
}

// meterOrNil returns the meter of the link, or nil if none is modelled.
func (l *uplink) meterOrNil() *link.Meter {
	if l == nil {
		return nil
	}
	return l.meter
}

// queue adds a call and returns how long it takes until the last byte is sent.
func (l *uplink) queue(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt.Sub(now)
}

func (l *uplink) countStart(task string) {
	l.starts.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started[task] = true
}

func (l *uplink) countStop(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started[task] {
		l.unneededStops++
	}
}

// overLink carries out a call over the link. It returns when the call is answered or ctx ends.
func overLink[T any](ctx context.Context, l *uplink, bytes int, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	delay := l.queue(bytes)
	l.meter.Sent(bytes)
	go func() {
		time.Sleep(delay)
		deliver, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCallTime)
		defer cancel()
		value, err := call(deliver)
		done <- result{value, err}
	}()
	select {
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	case r := <-done:
		return r.value, r.err
	}
}

// linkedStore is a store that is called over a link.
type linkedStore struct {
	metastore.Store
	l *uplink
}

func (s linkedStore) Commit(ctx context.Context, txn metastore.Txn) (uint64, error) {
	size := callBytes
	for _, p := range txn.Puts {
		size += len(p.Value) * 4 / 3
	}
	return overLink(ctx, s.l, size, func(ctx context.Context) (uint64, error) { return s.Store.Commit(ctx, txn) })
}

func (s linkedStore) KeepAlive(ctx context.Context, lease int64) error {
	_, err := overLink(ctx, s.l, callBytes, func(ctx context.Context) (int, error) { return 0, s.Store.KeepAlive(ctx, lease) })
	return err
}

// linkedWorkers are workers that are called over a link.
type linkedWorkers struct {
	workerapi.Client
	l *uplink
}

func (w linkedWorkers) Start(ctx context.Context, target workerapi.Target, o workerapi.Start) (int64, error) {
	w.l.countStart(o.Task)
	return overLink(ctx, w.l, callBytes+len(o.Payload), func(ctx context.Context) (int64, error) { return w.Client.Start(ctx, target, o) })
}

func (w linkedWorkers) Stop(ctx context.Context, target workerapi.Target, o workerapi.Stop) (int64, error) {
	w.l.countStop(o.Task)
	return overLink(ctx, w.l, callBytes, func(ctx context.Context) (int64, error) { return w.Client.Stop(ctx, target, o) })
}

func (w linkedWorkers) Renew(ctx context.Context, target workerapi.Target, o workerapi.Renew) (workerapi.Report, error) {
	return overLink(ctx, w.l, callBytes, func(ctx context.Context) (workerapi.Report, error) { return w.Client.Renew(ctx, target, o) })
}

// submitWithPayload submits a less urgent job whose start orders have a payload of the size.
func (s *system) submitWithPayload(id string, bytes int, steps ...workload.Step) {
	s.submitJob(&workload.Submission{ID: id, Queue: *s.config.Load().Route("batch"), Workspace: "team", Payload: strings.Repeat("x", bytes),
		Steps: steps, AcceptedAt: time.Now().UnixMilli()})
}

// Guards against an owner that fills its own link with a burst of orders and takes the delay for workers and a store
// that do not respond: it repeated and stopped the starts, which kept the link full, and lost its ownership, so that
// accepted jobs stood on an idle service.
func TestBurstOfStartsOverASlowLink(t *testing.T) {
	const workers = 60
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.linkBytesPerSecond = 250_000
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		for n := range workers {
			s.addWorker(fmt.Sprintf("w%02d", n), n/12)
		}
		s.start("a")
		s.start("b")
		time.Sleep(2 * time.Second)
		for n := range 12 {
			s.submitWithPayload(fmt.Sprint("job-", n), 1000, tasks(workers*8/12, 1))
		}
		time.Sleep(4500 * time.Millisecond) // the starts take 2.7 s of the link
		assert.Equal(t, workers*8, s.fleet.StartCount())
		sent := s.links[0].starts.Load() + s.links[1].starts.Load()
		assert.Equal(t, int64(workers*8), sent, "no start is repeated")
		assert.Len(t, s.terms, 1)
		s.requireNoViolations(t)
	})
}

// Guards against preempted runs whose start waits for a slow link: a stop for each of them, and an answer to it, kept
// their room from the urgent job and the link from other orders.
func TestStartThatWaitsForTheLinkIsWithdrawn(t *testing.T) {
	const workers = 20
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.linkBytesPerSecond = 125_000
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		for n := range workers {
			s.addWorker(fmt.Sprintf("w%02d", n), n/10)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		s.submitWithPayload("batch", 3000, tasks(workers*8, 1))
		time.Sleep(300 * time.Millisecond) // the starts take 4.4 s of the link
		s.submit("urgent", "urgent", tasks(guarantee, 1))
		time.Sleep(700 * time.Millisecond)
		for n := range guarantee {
			assert.True(t, s.fleet.HasStarted(fmt.Sprint("urgent.0.0.", n)))
		}
		assert.Zero(t, s.links[0].unneededStops)
		s.requireNoViolations(t)
	})
}

// Guards against starts of less urgent jobs that keep the start of an urgent job waiting for a slow link.
func TestUrgentStartPassesOthersOnASlowLink(t *testing.T) {
	const workers = 40
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.linkBytesPerSecond = 125_000
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		for n := range workers {
			s.addWorker(fmt.Sprintf("w%02d", n), n/10)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		for n := range 4 {
			s.submitWithPayload(fmt.Sprint("job-", n), 2000, tasks(60, 1))
		}
		time.Sleep(200 * time.Millisecond) // the starts take 4.6 s of the link
		s.submit("urgent", "urgent", tasks(4, 1))
		time.Sleep(500 * time.Millisecond)
		assert.True(t, s.fleet.Started("urgent"))
		s.requireNoViolations(t)
	})
}

// startsToUnresponsive counts the starts that are sent to workers that the owner has recorded as unresponsive.
type startsToUnresponsive struct {
	workerapi.Client
	s     *system
	count *atomic.Int64
}

func (c startsToUnresponsive) Start(ctx context.Context, target workerapi.Target, o workerapi.Start) (int64, error) {
	c.s.mu.Lock()
	term := c.s.instances["a"].term
	c.s.mu.Unlock()
	term.WithCluster(func(cluster *jobstate.Cluster) {
		if w := cluster.Workers[target.ID]; w != nil && w.Unresponsive {
			c.count.Add(1)
		}
	})
	return c.Client.Start(ctx, target, o)
}

// Reports of the workers get no answer while their starts wait for the owner's link. Guards against a start that grants
// a lease beyond the one that the records of an unresponsive worker show: the next owner would start its tasks a
// second time while they still run.
func TestWaitingStartIsNotSentToAnUnresponsiveWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		var count atomic.Int64
		s.wrapWorkers = func(c workerapi.Client) workerapi.Client { return startsToUnresponsive{c, s, &count} }
		s.linkBytesPerSecond = 125_000
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) { return 20 * time.Second, jobstate.EndDone }
		for n := range 20 {
			s.addWorker(fmt.Sprintf("w%02d", n), n/10)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		s.fleet.SetFault(func(_, call string) testplatform.Fault {
			if call == "hold" {
				return testplatform.Silent
			}
			return testplatform.None
		})
		s.submitWithPayload("job", 3000, tasks(20*8, 1)) // the starts take 4.4 s of the link
		time.Sleep(8 * time.Second)
		assert.Zero(t, count.Load())
		assert.Positive(t, s.fleet.StartCount())
	})
}
