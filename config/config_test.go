package config_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Guards against a commit that is reported as failed, or written twice, when the store's answer is
// lost after the write took effect while reads are stale.
func TestCommitWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.nodes[0].store.set(func(s *nodeStore) { s.loseAnswers, s.staleReads = 1, true })
		result, err := c.nodes[0].commit("a", structs.StageOut)
		require.NoError(t, err)
		require.True(t, result.Lost)
		require.Equal(t, uint64(2), result.Revision)
		require.Equal(t, []string{"n1", "n2"}, result.Acked)
		require.Len(t, c.written(), 2)
		require.Equal(t, result.CommitID, c.written()[1].revision.CommitID)
	})
}

// Guards against a commit that is reported as failed when its write took effect, the answer was
// lost, and another operator's commit replaced the revision before it was read back.
func TestCommitWithLostAnswerAndLaterCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.nodes[0].store.set(func(s *nodeStore) { s.loseAnswers = 1 })
		done := make(chan config.CommitResult, 1)
		go func() {
			result, err := c.nodes[0].commit("a", structs.StageOut)
			require.NoError(t, err)
			done <- result
		}()
		time.Sleep(5 * time.Millisecond)
		c.nodes[0].store.set(func(s *nodeStore) { s.down = true })
		time.Sleep(2 * time.Second)
		_, err := c.nodes[1].commit("b", structs.StageDraining)
		require.NoError(t, err)
		c.nodes[0].store.set(func(s *nodeStore) { s.down = false })
		require.Equal(t, uint64(2), (<-done).Revision)
		time.Sleep(2 * time.Second)
		c.forEachNode(func(n *node) { require.Equal(t, uint64(3), n.config.Status().Revision) })
	})
}

// Guards against a return to an older revision when the store or a peer delivers one.
func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		n := c.nodes[1]
		old, _ := n.config.Current()
		var seen []uint64
		n.config.Subscribe(func(r structs.Revision) { seen = append(seen, r.Number) })
		_, err := c.nodes[0].commit("a", structs.StageOut)
		require.NoError(t, err)
		kv, err := c.store.Get(t.Context(), config.Key)
		require.NoError(t, err)
		_, err = c.store.CompareAndSwap(t.Context(), config.Key, kv.Revision, encode(t, old), 0)
		require.NoError(t, err)
		_, err = n.config.HandleAnnounce(t.Context(), &peer.AnnounceRequest{Revision: 1, CommitId: old.CommitID, Document: encode(t, old)})
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		synctest.Wait() // orders the subscriber's writes before the reads here
		require.Equal(t, uint64(2), n.config.Status().Revision)
		require.Equal(t, []uint64{1, 2}, seen)
		require.Equal(t, config.SourcePeers, n.config.Status().Source, "a store that returns an older revision confirms nothing")
	})
}

// Guards against two concurrent commits that both succeed on the same revision, and against a
// conflict error that does not list the changes.
func TestConcurrentCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		errs := make(chan error, 2)
		for i, stage := range []structs.Stage{structs.StageOut, structs.StageDraining} {
			go func() {
				_, err := c.nodes[i].commit("a", stage)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		require.NoError(t, second)
		require.Equal(t, errkind.ManifestConflict, errkind.Of(first))
		var conflict *config.ConflictError
		require.ErrorAs(t, first, &conflict)
		require.Len(t, conflict.Changes, 1)
		require.Equal(t, "data_centres[a].stage", conflict.Changes[0].Field)
		require.False(t, conflict.ComparedToProposal)
		require.Len(t, c.written(), 2)
		_, err := c.nodes[0].config.Commit(t.Context(), twoDataCentres(), 1)
		require.Equal(t, errkind.ManifestConflict, errkind.Of(err), "commit on an old revision")
		time.Sleep(time.Second)
		c.forEachNode(func(n *node) { require.Empty(t, n.config.Status().Intents) })
	})
}

// Guards against starts at an instance that reaches neither the store nor any peer.
func TestIsolatedInstanceStopsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		n := c.nodes[2]
		n.store.set(func(s *nodeStore) { s.down = true })
		c.network.SetPartitioned("n2", "n0", true)
		c.network.SetPartitioned("n2", "n1", true)
		_, err := c.nodes[0].commit("a", structs.StageOut)
		require.NoError(t, err)
		time.Sleep(config.FreshnessBound)
		require.Equal(t, errkind.StaleManifest, errkind.Of(n.config.MayStart("a")))
		require.Equal(t, errkind.StaleManifest, errkind.Of(n.config.MayStart("b")))
		c.network.SetPartitioned("n2", "n1", false) // one peer that reaches the store is enough
		time.Sleep(3 * time.Second)
		require.NoError(t, n.config.MayStart("b"))
		require.Error(t, n.config.MayStart("a"))
		require.Equal(t, config.SourcePeer, n.config.Status().Source)
	})
}

// Guards against a store answer, delayed by a pause of the instance, that confirms the manifest as
// of its arrival, and against starts after a peer has reported a newer revision.
func TestDelayedAnswerConfirmsAsOfSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		n := c.nodes[2]
		c.network.Pause("n2")
		time.Sleep(600 * time.Millisecond)
		go func() { _, _ = c.nodes[0].commit("a", structs.StageOut) }()
		time.Sleep(800 * time.Millisecond) // the commit took effect after the watch ended
		require.Len(t, c.written(), 2)
		n.store.set(func(s *nodeStore) { s.noWatch = true }) // the delayed answer still arrives
		c.network.SetPartitioned("n2", "n0", true)
		c.network.SetPartitioned("n2", "n1", true)
		c.network.Resume("n2")
		time.Sleep(time.Until(c.written()[1].at.Add(config.FreshnessBound + 10*time.Millisecond)))
		require.Error(t, n.config.MayStart("a"))
		require.NoError(t, c.nodes[1].config.MayStart("b"))
		c.nodes[1].config.RecordPeerRevision("n0", 99, time.Time{}, -1)
		require.ErrorContains(t, c.nodes[1].config.MayStart("b"), "revision 99 exists")
	})
}

// Guards against starts that stop during an outage of the store for one or all instances, and
// against starts in an outage for all while a listed peer does not answer.
func TestStartsContinueDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.nodes[1].store.set(func(s *nodeStore) { s.down = true })
		for range 600 { // one instance cannot reach the store
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, c.nodes[1].config.MayStart("a"))
		}
		c.forEachNode(func(n *node) { n.store.set(func(s *nodeStore) { s.down = true }) })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			c.forEachNode(func(n *node) { require.NoError(t, n.config.MayStart("a")) })
		}
		_, err := c.nodes[0].commit("a", structs.StageOut)
		require.Error(t, err)
		c.network.Pause("n3")
		time.Sleep(config.FreshnessBound + 100*time.Millisecond)
		for _, n := range c.nodes[:3] {
			require.Error(t, n.config.MayStart("b"))
		}
		c.network.Resume("n3")
	})
}

// Guards against starts between the intent of a withdrawal and its commit, and against a block
// that persists after the commit has been fenced off.
func TestWithdrawalIntentBlocksStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.nodes[0].store.set(func(s *nodeStore) { s.down = true })
		go func() { _, _ = c.nodes[0].commit("a", structs.StageOut) }()
		time.Sleep(50 * time.Millisecond)
		c.forEachNode(func(n *node) {
			require.Error(t, n.config.MayStart("a"))
			require.NoError(t, n.config.MayStart("b"))
			require.Equal(t, uint64(1), n.config.Status().Revision)
		})
		time.Sleep(10 * time.Second)
		c.forEachNode(func(n *node) { require.Error(t, n.config.MayStart("a"), "blocked while the commit is unresolved") })
		time.Sleep(10 * time.Second) // peers that reach the store fence off the commit
		c.forEachNode(func(n *node) {
			require.NoError(t, n.config.MayStart("a"))
			require.Empty(t, n.config.Status().Unresolved)
		})
		require.Len(t, c.written(), 1)
	})
}

// Guards against a confirmation by all peers while one of them has an unresolved commit, and
// against an intent that is not sent again to a peer that missed it.
func TestUnresolvedCommitPreventsConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.network.SetPartitioned("n0", "n3", true)
		c.forEachNode(func(n *node) { n.store.set(func(s *nodeStore) { s.down = n.id != "n0" }) })
		c.nodes[0].store.set(func(s *nodeStore) { s.loseAnswers, s.noWatch = 1, true })
		go func() { _, _ = c.nodes[0].commit("a", structs.StageOut) }()
		time.Sleep(600 * time.Millisecond) // the announcement to n3 has timed out, and the write has been sent
		c.forEachNode(func(n *node) { n.store.set(func(s *nodeStore) { s.down = true }) })
		c.network.SetPartitioned("n0", "n3", false)
		require.NoError(t, c.nodes[3].config.MayStart("a"), "the intent has not reached n3 yet")
		time.Sleep(config.FreshnessBound)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			c.forEachNode(func(n *node) { require.Error(t, n.config.Fresh()) })
		}
		require.Len(t, c.written(), 2)
		require.NotEmpty(t, c.nodes[3].config.Status().Intents)
		c.forEachNode(func(n *node) { n.store.set(func(s *nodeStore) { s.down, s.noWatch = false, false }) })
		time.Sleep(5 * time.Second)
		c.forEachNode(func(n *node) {
			require.Equal(t, uint64(2), n.config.Status().Revision)
			require.NoError(t, n.config.MayStart("b"))
		})
	})
}

// Guards against a data centre that accepts starts again before its return is committed.
func TestReturnTakesEffectOnCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		_, err := c.nodes[0].commit("a", structs.StageOut)
		require.NoError(t, err)
		c.nodes[1].store.set(func(s *nodeStore) { s.down = true })
		go func() { _, _ = c.nodes[1].commit("a", structs.StageReturning) }()
		time.Sleep(5 * time.Second)
		c.forEachNode(func(n *node) { require.Error(t, n.config.MayStart("a")) })
		c.nodes[1].store.set(func(s *nodeStore) { s.down = false })
		time.Sleep(10 * time.Second)
		_, err = c.nodes[2].commit("a", structs.StageReturning)
		require.NoError(t, err)
		c.forEachNode(func(n *node) { require.NoError(t, n.config.MayStart("a")) })
	})
}

// Guards against a delayed intent or an older revision that overrides a newer commit, when two operators
// withdraw and return a data centre within seconds.
func TestWithdrawAndReturnWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for i := range 6 {
			stage := structs.StageOut
			if i%2 == 1 {
				stage = structs.StageOpen
			}
			_, err := c.nodes[i%2].commit("a", stage)
			require.NoError(t, err)
			for _, n := range c.nodes {
				require.Equal(t, stage.AllowsStarts(), n.config.MayStart("a") == nil)
			}
			time.Sleep(300 * time.Millisecond)
		}
		late := &peer.AnnounceRequest{Instance: "n0", Revision: 6, CommitId: "late", Withdraw: []string{"a"}}
		_, err := c.nodes[2].config.HandleAnnounce(t.Context(), late)
		require.NoError(t, err)
		require.NoError(t, c.nodes[2].config.MayStart("a"))
	})
}

// Guards against a withdrawal that does not take effect in time when watches lag, and against a
// commit result that does not list the peers that lack the revision.
func TestWithdrawalTakesEffectDespiteWatchLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.network.SetPartitioned("n0", "n2", true)
		c.store.SetFaults(standin.StoreFaults{WatchLag: time.Hour})
		result, err := c.nodes[0].commit("a", structs.StageOut)
		require.NoError(t, err)
		require.Equal(t, []string{"n1"}, result.Acked)
		require.Equal(t, []string{"n2"}, result.Missing)
		time.Sleep(config.FreshnessBound)
		c.forEachNode(func(n *node) { require.Error(t, n.config.MayStart("a")) })
	})
}

// Guards against an instance that starts work before it has a revision or while the store is
// empty, or accepts commits before it has been listed for long enough, and against polling of
// the store.
func TestNewInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store, list := standin.NewStore(), standin.NewList(config.DefaultListLag)
		store.SetFaults(standin.StoreFaults{Down: true})
		self := structs.Instance{ID: "n0", PeerAddr: "n0"}
		list.SetInstances([]structs.Instance{self})
		members := membership.New(membership.Options{Self: self, List: list, Metrics: metrics.NewRegistry()})
		c := config.New(config.Options{Store: store, Peers: members, Metrics: metrics.NewRegistry()})
		members.SetConfig(c)
		go members.Run(ctx)
		go c.Run(ctx)
		time.Sleep(5 * time.Second)
		_, known := c.Current()
		require.False(t, known)
		require.Equal(t, errkind.StaleManifest, errkind.Of(c.MayStart("a")))
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		r, known := c.Current()
		require.True(t, known)
		require.Zero(t, r.Number)
		require.NoError(t, c.Fresh())
		require.Error(t, c.MayStart("a"))
		_, err := c.Commit(ctx, twoDataCentres(), 0)
		require.ErrorContains(t, err, "once it has been listed for 10s")
		time.Sleep(10 * time.Second)
		_, err = c.Commit(ctx, twoDataCentres(), 0)
		require.NoError(t, err)
		require.NoError(t, c.MayStart("a"))
		before := store.Calls()["watch"]
		time.Sleep(100 * time.Second)
		require.LessOrEqual(t, store.Calls()["watch"]-before, 101, "one waiting watch per second")
		require.Zero(t, store.Calls()["get"], "the store is not polled")
	})
}

func encode(t *testing.T, r structs.Revision) []byte {
	t.Helper()
	value, err := json.Marshal(r)
	require.NoError(t, err)
	require.Less(t, len(value), remote.MaxValueBytes)
	return value
}

// Guards against a confirmation by all listed peers that leaves out a committing instance which is
// missing from the local list. In the first case a third instance has the commit and prevents the
// confirmation; in the second, the missing instance itself must still confirm within the lag.
func TestConfirmationWithDifferingLists(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		hidden time.Duration // before the commit
	}{{"third instance", 3, time.Minute}, {"lagging list", 2, config.DefaultListLag}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, c.size)
				isolated := cl.nodes[1]
				cl.forEachNode(func(n *node) { n.store.set(func(s *nodeStore) { s.down = n.id != "n0" }) })
				time.Sleep(5 * time.Second)
				require.NoError(t, isolated.config.MayStart("a"))
				isolated.list.hidden.Store("n0")
				time.Sleep(c.hidden)
				if c.size > 2 {
					require.NoError(t, isolated.config.MayStart("a"), "the third instance confirms")
				}
				cl.network.SetPartitioned("n0", "n1", true)
				_, err := cl.nodes[0].commit("a", structs.StageOut)
				require.NoError(t, err)
				time.Sleep(config.FreshnessBound)
				require.Error(t, isolated.config.MayStart("a"))
				cl.network.SetPartitioned("n0", "n1", false)
				isolated.list.hidden.Store("")
				time.Sleep(10 * time.Second)
				require.Equal(t, uint64(2), isolated.config.Status().Revision)
				require.NoError(t, isolated.config.MayStart("b"))
			})
		})
	}
}
