package ownership_test

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
	"github.com/cyclamenyard/cyclamenyard/ownership"
)

// candidate is an instance that takes part in the election.
type candidate struct {
	name        string
	client      *testplatform.Client
	elector     *ownership.Elector
	termToken   atomic.Uint64 // token of its current term, or 0
	partitioned atomic.Bool
	timeout     atomic.Int64 // of a renewal, nanoseconds
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

func startCandidate(s *testplatform.Store, name string, share float64, peer func() *ownership.Elector) *candidate {
	return startCandidateWithDelayedList(s, name, share, 0, peer)
}

// startCandidateWithDelayedList starts a candidate that first reads the list of instances after listDelay.
func startCandidateWithDelayedList(s *testplatform.Store, name string, share float64, listDelay time.Duration, peer func() *ownership.Elector) *candidate {
	c := &candidate{name: name, client: s.NewClient()}
	c.timeout.Store(int64(120 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.elector = ownership.New(ownership.Options{
		Store: c.client, Self: ownership.Instance{Name: name, CPUShare: share}, Log: zap.NewNop(), CallTimeout: c.callTimeout, Partitioned: c.partitioned.Load,
		DeposeViaPeer: func(ctx context.Context, token uint64) error { return peer().Depose(ctx, token) },
		RunTerm: func(ctx context.Context, token uint64, _ metastore.Condition) {
			c.termToken.Store(token)
			<-ctx.Done()
			c.termToken.Store(0)
		},
	})
	mirror := metastore.NewMirror(metastore.MirrorOptions{Store: c.client, Prefix: ownership.OwnerPrefix, Wait: 2 * time.Second, Log: zap.NewNop(),
		Apply: c.elector.Apply, Synced: c.elector.OwnerSynced})
	members := metastore.NewMirror(metastore.MirrorOptions{Store: c.client, Prefix: ownership.InstancesPrefix, Wait: 2 * time.Second, Log: zap.NewNop(),
		Apply: c.elector.Apply, Synced: c.elector.InstancesSynced})
	c.done.Go(func() { mirror.Run(ctx) })
	c.done.Go(func() {
		time.Sleep(listDelay)
		members.Run(ctx)
	})
	c.done.Go(func() { c.elector.Run(ctx) })
	c.done.Go(func() { c.elector.Announce(ctx) })
	return c
}

func (c *candidate) callTimeout(int) time.Duration {
	return time.Duration(c.timeout.Load())
}

func (c *candidate) blockStore() {
	c.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
}

func (c *candidate) stop() {
	c.cancel()
	c.done.Wait()
}

func owners(cs ...*candidate) (names []string) {
	for _, c := range cs {
		if c.termToken.Load() != 0 {
			names = append(names, c.name)
		}
	}
	return names
}

// Guards against two owners, no owner, or an owner on the weaker machine.
func TestOneOwnerOnTheStrongestInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		weak, strong := startCandidate(s, "weak", 0.1, nil), startCandidate(s, "strong", 0.8, nil)
		defer weak.stop()
		defer strong.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
		assert.Len(t, weak.elector.Peers(), 1)
	})
}

// Guards against a service that has no owner for longer than the lease after the owner crashed, or
// for longer than 300 ms after it resigned, and against tokens that do not increase.
func TestSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := startCandidate(s, "a", 0.8, nil), startCandidate(s, "b", 0.1, nil)
		defer b.stop()
		time.Sleep(time.Second)
		first := a.termToken.Load()
		a.blockStore() // simulates a power loss
		time.Sleep(2 * time.Second)
		assert.Greater(t, b.termToken.Load(), first)
		a.stop()
		c := startCandidate(s, "c", 0.8, nil)
		defer c.stop()
		time.Sleep(time.Second)
		second := b.termToken.Load()
		b.cancel()
		time.Sleep(300 * time.Millisecond)
		assert.Greater(t, c.termToken.Load(), second)
	})
}

// Guards against a restarted owner that waits until the lease of its earlier process expires.
func TestRestartedOwnerDoesNotWaitForItsFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := startCandidate(s, "a", 0.8, nil)
		time.Sleep(time.Second)
		first := a.termToken.Load()
		a.blockStore()
		a.stop()
		b := startCandidate(s, "b", 0.1, nil)
		defer b.stop()
		a = startCandidate(s, "a", 0.8, nil)
		defer a.stop()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, []string{"a"}, owners(a, b))
		assert.Greater(t, a.termToken.Load(), first)
	})
}

// Guards against a store outage that ends a term whose lease is paused rather than expired, and
// against an owner that keeps its term after another one was elected.
func TestOwnerDuringAndAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := startCandidate(s, "a", 0.8, nil), startCandidate(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		a.blockStore()
		b.blockStore()
		time.Sleep(time.Second)
		assert.Equal(t, []string{"a"}, owners(a, b))
		assert.True(t, a.elector.ConfirmedWithin(2*time.Second))
		time.Sleep(5 * time.Second)
		assert.False(t, a.elector.ConfirmedWithin(2*time.Second))
		up := func(string) testplatform.Fault { return testplatform.None }
		a.client.SetFault(up)
		b.client.SetFault(up)
		time.Sleep(3 * time.Second)
		assert.Len(t, owners(a, b), 1)
	})
}

// Guards against a wait for lease expiry when only the owner cannot reach the store.
func TestPartitionedOwnerHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		var a, b *candidate
		a = startCandidate(s, "a", 0.8, func() *ownership.Elector { return b.elector })
		b = startCandidate(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		a.blockStore()
		a.partitioned.Store(true)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, []string{"b"}, owners(a, b))
	})
}

// The owner loses power while the only other instance counts as partitioned, which ends later. Guards against
// an instance that looks at the vacant ownership only when it becomes vacant: no job would ever be started.
func TestVacancyIsFilledAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := startCandidate(s, "a", 0.8, nil)
		time.Sleep(time.Second)
		b := startCandidate(s, "b", 0.1, nil)
		defer b.stop()
		b.partitioned.Store(true)
		a.blockStore()
		a.stop()
		time.Sleep(4 * time.Second)
		assert.Empty(t, owners(b))
		b.partitioned.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, []string{"b"}, owners(b))
	})
}

// Guards against a won election that is treated as lost because the store's response was lost.
func TestElectionWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := startCandidate(s, "a", 0.8, nil)
		defer a.stop()
		lost := 0
		a.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" && lost < 2 {
				lost++
				return testplatform.AnswerLost
			}
			return testplatform.None
		})
		time.Sleep(3 * time.Second)
		assert.Equal(t, []string{"a"}, owners(a))
	})
}

// Guards against a lease that expires although the store works: two of three renewals, in a row, are
// executed seconds late and get no response.
func TestLateRenewalsDoNotEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := startCandidate(s, "a", 0.8, nil), startCandidate(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		token := a.termToken.Load()
		calls := 0
		a.client.SetFault(func(call string) testplatform.Fault {
			if call != "keepalive" {
				return testplatform.None
			}
			if calls++; calls%3 != 0 {
				return testplatform.Late
			}
			return testplatform.None
		})
		time.Sleep(10 * time.Second)
		assert.Equal(t, token, a.termToken.Load())
	})
}

// Guards against a weak owner of a large fleet, whose CPU share is too small for the jobs of the fleet,
// so that all jobs are delayed. The owner is stopped repeatedly, and 38 of 40 instances are weak.
func TestStrongInstanceSucceedsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		var all []*candidate
		for n := range 40 {
			share := 0.192
			if n%20 == 0 {
				share = 0.8
			}
			all = append(all, startCandidate(s, fmt.Sprint("i", n), share, nil))
		}
		time.Sleep(12 * time.Second)
		for range 20 {
			current := owners(all...)
			assert.Len(t, current, 1)
			assert.Contains(t, []string{"i0", "i20"}, current[0])
			for n, c := range all {
				if c.name == current[0] {
					c.stop()
					time.Sleep(time.Second)
					all[n] = startCandidate(s, c.name, 0.8, nil)
				}
			}
			time.Sleep(3 * time.Second)
		}
		for _, c := range all {
			c.stop()
		}
	})
}

// Guards against a weak owner that keeps the ownership after a strong instance has started, and
// against one that repeatedly hands over to an instance that is listed but cannot serve.
func TestWeakOwnerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		weak := startCandidate(s, "weak", 0.192, nil)
		defer weak.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, []string{"weak"}, owners(weak))
		strong := startCandidate(s, "strong", 0.8, nil)
		time.Sleep(6 * time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
		strong.blockStore()
		time.Sleep(4 * time.Second)
		assert.Equal(t, []string{"weak"}, owners(weak))
		token := weak.termToken.Load()
		time.Sleep(20 * time.Second)
		assert.Equal(t, token, weak.termToken.Load())
		strong.stop()
	})
}

// Guards against a weak owner after all instances were killed and restarted, a weak one first. If it
// campaigns before it has read the list of instances, it wins over the strong ones, and the jobs are
// delayed until it hands over.
func TestStrongInstanceWinsAfterAllWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		s.Put(ownership.InstancesPrefix+"strong", []byte(`{"name":"strong","cpu":0.8}`)) // its lease has not expired yet
		weak := startCandidateWithDelayedList(s, "weak", 0.192, 100*time.Millisecond, nil)
		defer weak.stop()
		time.Sleep(200 * time.Millisecond)
		strong := startCandidate(s, "strong", 0.8, nil)
		defer strong.stop()
		time.Sleep(time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
	})
}

// The owner lags by 250 ms, so that its calls take as long and get one second more, and the answer to a single renewal
// is lost. Guards against a renewal whose timeout leaves no time for another one before the lease ends.
func TestLostRenewalOfALaggingOwnerDoesNotEndTheTerm(t *testing.T) {
	const lag = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := startCandidate(s, "a", 0.8, nil)
		defer a.stop()
		m := metastore.NewMonitor(a.client)
		m.AllowFor(func() time.Duration { return lag })
		time.Sleep(time.Second)
		a.client.SetLatency(lag)
		for range 20 {
			_, err := m.Get(t.Context(), "cy/probe")
			assert.ErrorIs(t, err, metastore.ErrNotFound)
		}
		a.timeout.Store(int64(m.CallTimeout(1)))
		token := a.termToken.Load()
		var lost atomic.Bool
		a.client.SetFault(func(call string) testplatform.Fault {
			if call == "keepalive" && lost.CompareAndSwap(false, true) {
				return testplatform.Silent
			}
			return testplatform.None
		})
		time.Sleep(5 * time.Second)
		assert.True(t, lost.Load())
		assert.Equal(t, token, a.termToken.Load(), "timeout of a renewal: %v", time.Duration(a.timeout.Load()))
	})
}
