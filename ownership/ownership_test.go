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

// candidate is an instance that stands for election.
type candidate struct {
	name    string
	client  *testplatform.Client
	elector *ownership.Elector
	leading atomic.Uint64 // token of its term
	cutOff  atomic.Bool
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func stand(s *testplatform.Store, name string, share float64, peer func() *ownership.Elector) *candidate {
	return standLate(s, name, share, 0, peer)
}

// standLate is the same for an instance that reads the list of instances some time after its start.
func standLate(s *testplatform.Store, name string, share float64, listAfter time.Duration, peer func() *ownership.Elector) *candidate {
	c := &candidate{name: name, client: s.NewClient()}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.elector = ownership.New(ownership.Options{
		Store: c.client, Self: ownership.Instance{Name: name, CPUShare: share}, Log: zap.NewNop(), Bound: func(int) time.Duration { return 120 * time.Millisecond }, CutOff: c.cutOff.Load,
		DeposeElsewhere: func(ctx context.Context, token uint64) error { return peer().Depose(ctx, token) },
		Lead: func(ctx context.Context, token uint64, _ metastore.Condition) {
			c.leading.Store(token)
			<-ctx.Done()
			c.leading.Store(0)
		},
	})
	mirror := metastore.NewMirror(metastore.MirrorOptions{Store: c.client, Prefix: ownership.OwnerPrefix, Wait: 2 * time.Second, Log: zap.NewNop(),
		Apply: c.elector.Apply, Synced: c.elector.Synced})
	members := metastore.NewMirror(metastore.MirrorOptions{Store: c.client, Prefix: ownership.InstancesPrefix, Wait: 2 * time.Second, Log: zap.NewNop(),
		Apply: c.elector.Apply, Synced: c.elector.MembersSynced})
	c.done.Go(func() { mirror.Run(ctx) })
	c.done.Go(func() {
		time.Sleep(listAfter)
		members.Run(ctx)
	})
	c.done.Go(func() { c.elector.Run(ctx) })
	c.done.Go(func() { c.elector.Announce(ctx) })
	return c
}

func (c *candidate) silence() {
	c.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
}

func (c *candidate) stop() {
	c.cancel()
	c.done.Wait()
}

func owners(cs ...*candidate) (names []string) {
	for _, c := range cs {
		if c.leading.Load() != 0 {
			names = append(names, c.name)
		}
	}
	return names
}

// Guards against two owners, none, or the weaker machine being chosen.
func TestOneOwnerOnTheStrongestInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		weak, strong := stand(s, "weak", 0.1, nil), stand(s, "strong", 0.8, nil)
		defer weak.stop()
		defer strong.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
		assert.Len(t, weak.elector.Peers(), 1)
	})
}

// Guards against a service without an owner for longer than its lease after the owner's
// death, and for longer than a moment after its resignation. Tokens rise.
func TestSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := stand(s, "a", 0.8, nil), stand(s, "b", 0.1, nil)
		defer b.stop()
		time.Sleep(time.Second)
		first := a.leading.Load()
		a.silence() // as if it had lost power
		time.Sleep(2 * time.Second)
		assert.Greater(t, b.leading.Load(), first)
		a.stop()
		c := stand(s, "c", 0.8, nil)
		defer c.stop()
		time.Sleep(time.Second)
		second := b.leading.Load()
		b.cancel()
		time.Sleep(300 * time.Millisecond)
		assert.Greater(t, c.leading.Load(), second)
	})
}

// Guards against a restarted owner that waits for the lease of the process that it replaces.
func TestRestartedOwnerDoesNotWaitForItsFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := stand(s, "a", 0.8, nil)
		time.Sleep(time.Second)
		first := a.leading.Load()
		a.silence()
		a.stop()
		b := stand(s, "b", 0.1, nil)
		defer b.stop()
		a = stand(s, "a", 0.8, nil)
		defer a.stop()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, []string{"a"}, owners(a, b))
		assert.Greater(t, a.leading.Load(), first)
	})
}

// Guards against an outage of the store ending a term whose lease is only paused, and
// against an owner that does not learn that another one was elected.
func TestOwnerDuringAndAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := stand(s, "a", 0.8, nil), stand(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		a.silence()
		b.silence()
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

// Guards against waiting for the lease when the store turns away the owner alone.
func TestOwnerThatIsCutOffHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		var a, b *candidate
		a = stand(s, "a", 0.8, func() *ownership.Elector { return b.elector })
		b = stand(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		a.silence()
		a.cutOff.Store(true)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, []string{"b"}, owners(a, b))
	})
}

// Guards against a won election that counts as lost because its answer did not come.
func TestLostAnswerOfAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a := stand(s, "a", 0.8, nil)
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

// Guards against a lease that runs out although the store works: a third of the renewals are
// carried out seconds late and not answered.
func TestLateRenewalsDoNotEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		a, b := stand(s, "a", 0.8, nil), stand(s, "b", 0.1, nil)
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		token := a.leading.Load()
		calls := 0
		a.client.SetFault(func(call string) testplatform.Fault {
			if call != "keepalive" {
				return testplatform.None
			}
			if calls++; calls%3 != 0 {
				return testplatform.Late // two of three, in a row
			}
			return testplatform.None
		})
		time.Sleep(10 * time.Second)
		assert.Equal(t, token, a.leading.Load())
	})
}

// Load: the machine of the owner of a large fleet is stopped again and again, and four of five
// instances are weak. Guards against a weak owner: its processor is not enough for the jobs of the
// fleet, and every job waits.
func TestStrongInstanceSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		var all []*candidate
		for n := range 40 {
			share := 0.192
			if n%20 == 0 {
				share = 0.8
			}
			all = append(all, stand(s, fmt.Sprint("i", n), share, nil))
		}
		time.Sleep(12 * time.Second)
		for range 20 {
			who := owners(all...)
			assert.Len(t, who, 1)
			assert.Contains(t, []string{"i0", "i20"}, who[0])
			for n, c := range all {
				if c.name == who[0] {
					c.stop()
					time.Sleep(time.Second)
					all[n] = stand(s, c.name, 0.8, nil)
				}
			}
			time.Sleep(3 * time.Second)
		}
		for _, c := range all {
			c.stop()
		}
	})
}

// Guards against a weak owner that keeps the ownership although a strong instance has come, and
// against one that gives it up again and again to an instance that is listed and does not serve.
func TestWeakOwnerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		weak := stand(s, "weak", 0.192, nil)
		defer weak.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, []string{"weak"}, owners(weak))
		strong := stand(s, "strong", 0.8, nil)
		time.Sleep(6 * time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
		strong.silence()
		time.Sleep(4 * time.Second)
		assert.Equal(t, []string{"weak"}, owners(weak))
		token := weak.leading.Load()
		time.Sleep(20 * time.Second)
		assert.Equal(t, token, weak.leading.Load())
		strong.stop()
	})
}

// Load: all instances of a large fleet were killed and start again, a weak one first. Guards against a
// weak owner: an instance that has just started does not know yet that strong ones are there, and the
// jobs of the fleet wait until it hands over.
func TestStrongInstanceWinsAfterAllWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		s.Put(ownership.InstancesPrefix+"strong", []byte(`{"name":"strong","cpu":0.8}`)) // its lease has not ended yet
		weak := standLate(s, "weak", 0.192, 100*time.Millisecond, nil)
		defer weak.stop()
		time.Sleep(200 * time.Millisecond)
		strong := stand(s, "strong", 0.8, nil)
		defer strong.stop()
		time.Sleep(time.Second)
		assert.Equal(t, []string{"strong"}, owners(weak, strong))
	})
}
