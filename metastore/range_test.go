package metastore_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// mirrorOverSlowLink returns how long a mirror needs to read a range of n items over a link that takes perItem
// for each item, or 0 if it has not read it within a minute.
func mirrorOverSlowLink(t *testing.T, n int, perItem time.Duration, o metastore.MirrorOptions) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := testplatform.NewStore()
		for i := range n {
			store.Put(fmt.Sprintf("p/%04d", i), []byte("x"))
		}
		began := time.Now()
		applied := 0
		var synced atomic.Int64
		o.Store, o.Prefix, o.Log = slowLinkStore{store.NewClient(), perItem}, "p/", zap.NewNop()
		o.Apply = func(metastore.Change) { applied++ }
		o.Synced = func(time.Time) { synced.CompareAndSwap(0, int64(time.Since(began))) }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { metastore.NewMirror(o).Run(ctx); close(done) }()
		time.Sleep(time.Minute)
		cancel()
		<-done
		if took = time.Duration(synced.Load()); took != 0 {
			assert.Equal(t, n, applied)
		}
	})
	return took
}

// A range of many pages takes longer over a slow link than one call may take. Guards against a full read that is
// started over without end: a new owner would never start a job.
func TestMirrorReadsManyPagesOverASlowLink(t *testing.T) {
	took := mirrorOverSlowLink(t, 200, 20*time.Millisecond, metastore.MirrorOptions{Wait: 2 * time.Second})
	assert.NotZero(t, took)
	assert.Less(t, took, 6*time.Second, "the transfer alone takes 4 s")
}

// A page takes longer than the first timeout. Guards against a page that is requested without end with the same
// timeout: the list of workers would stay too old to start work on any of them.
func TestMirrorReadsALargePageOverASlowLink(t *testing.T) {
	took := mirrorOverSlowLink(t, 20, 100*time.Millisecond,
		metastore.MirrorOptions{Wait: 300 * time.Millisecond, Slack: 300 * time.Millisecond, Pause: 300 * time.Millisecond, ReloadOnFailure: true})
	assert.NotZero(t, took)
	assert.Less(t, took, 8*time.Second, "the transfer alone takes 2 s")
}

// The store is down for 10 s while a mirror reads its range. Guards against a page timeout that has grown in the
// outage: the list of workers would be unread for seconds after its end.
func TestFullReadDetectsTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		s.Put("p/a", []byte("1"))
		f := follow(s)
		defer f.cancel()
		f.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(10 * time.Second)
		f.client.SetFault(func(string) testplatform.Fault { return testplatform.None })
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, "1", f.get("p/a"))
	})
}

// A watch has missed more changes than fit into its timeout. Guards against a watch that is repeated without
// end, with more changes to read each time: submissions would reach the owner only when the history is compacted.
func TestWatchCatchesUpOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testplatform.NewStore()
		client := store.NewClient()
		var applied atomic.Int64
		m := metastore.NewMirror(metastore.MirrorOptions{Store: slowLinkStore{client, 10 * time.Millisecond}, Prefix: "p/", Wait: 2 * time.Second,
			Log: zap.NewNop(), Apply: func(metastore.Change) { applied.Add(1) }})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
		time.Sleep(4 * time.Second)
		for n := range 200 {
			store.Put(fmt.Sprintf("p/%04d", n), []byte("x"))
		}
		client.SetFault(func(string) testplatform.Fault { return testplatform.None })
		time.Sleep(8 * time.Second)
		assert.EqualValues(t, 200, applied.Load(), "the transfer alone takes 2 s")
		cancel()
		<-done
	})
}

// Applying one item of a full read panics once. Guards against a read that counts as complete without the item: a
// new owner would stop the runs of that job as unknown.
func TestFullReadIsCompleteAfterFailedChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testplatform.NewStore()
		store.Put("p/a", []byte("1"))
		panics, applied := 1, 0
		var appliedAtSync atomic.Int64
		m := metastore.NewMirror(metastore.MirrorOptions{Store: store.NewClient(), Prefix: "p/", Wait: time.Second, Log: zap.NewNop(),
			Guard: contain.New(zap.NewNop(), metrics.NewRegistry()), Apply: func(metastore.Change) {
				if panics--; panics >= 0 {
					panic("once")
				}
				applied++
			}, Synced: func(time.Time) { appliedAtSync.CompareAndSwap(0, int64(1+applied)) }})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(2 * time.Second)
		cancel()
		<-done
		assert.EqualValues(t, 2, appliedAtSync.Load())
		assert.Equal(t, 1, applied)
	})
}

// Watches get no answer while the store answers all other calls. Guards against submissions that never reach the
// owner because only a watch would deliver them.
func TestMirrorReadsTheRangeWhileWatchesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testplatform.NewStore()
		client := store.NewClient()
		client.SetFault(func(call string) testplatform.Fault {
			if call == "watch" {
				return testplatform.Silent
			}
			return testplatform.None
		})
		monitor := metastore.NewMonitor(client)
		var applied atomic.Int64
		m := metastore.NewMirror(metastore.MirrorOptions{Store: monitor, Prefix: "p/", Wait: 2 * time.Second, Log: zap.NewNop(),
			StoreHealthy: monitor.Healthy, Apply: func(metastore.Change) { applied.Add(1) }})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { monitor.Run(ctx) })
		running.Go(func() { m.Run(ctx) })
		time.Sleep(10 * time.Second)
		for n := range 5 {
			store.Put(fmt.Sprint("p/", n), []byte("x"))
			time.Sleep(4 * time.Second)
			assert.EqualValues(t, n+1, applied.Load())
		}
		cancel()
		running.Wait()
	})
}

// The store answers no call for 10 s. Guards against mirrors of all instances that read their whole ranges after
// an outage, although the history has all changes.
func TestMirrorContinuesTheWatchAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testplatform.NewStore()
		client := store.NewClient()
		monitor := metastore.NewMonitor(client)
		m := metastore.NewMirror(metastore.MirrorOptions{Store: monitor, Prefix: "p/", Wait: 2 * time.Second, Log: zap.NewNop(),
			StoreHealthy: monitor.Healthy, Apply: func(metastore.Change) {}})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { monitor.Run(ctx) })
		running.Go(func() { m.Run(ctx) })
		time.Sleep(time.Second)
		var reads atomic.Int64
		answerWith := func(fault testplatform.Fault) {
			client.SetFault(func(call string) testplatform.Fault {
				if call == "range" {
					reads.Add(1)
				}
				return fault
			})
		}
		answerWith(testplatform.Silent)
		time.Sleep(10 * time.Second)
		answerWith(testplatform.None)
		time.Sleep(5 * time.Second)
		assert.Zero(t, reads.Load())
		cancel()
		running.Wait()
	})
}

// A probe gets no answer in time while another call is answered, because the link is busy. Guards against an owner that
// counts as cut off from the store and hands over, so that its successor has to read all jobs over a busy link too.
func TestBusyLinkIsNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := testplatform.NewStore().NewClient()
		m := metastore.NewMonitor(client)
		client.SetLatencyOf("get", time.Second)
		client.SetLatencyOf("range", 300*time.Millisecond)
		go func() { _, _ = m.Range(context.Background(), "p/", "") }() // only that it is answered counts
		assert.True(t, m.ProbeNow(context.Background()))
		assert.False(t, m.ProbeNow(context.Background()), "no other call is answered")
	})
}
