package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

func newLedger(name string, store remote.Store, peers Peers) *Ledger {
	return New(Options{Instance: name, Store: store, Peers: peers, Metrics: metrics.NewRegistry()})
}

func claimErrorKind(t *testing.T, l *Ledger, id string) errkind.Kind {
	t.Helper()
	_, err := l.Claim(t.Context(), "w", id)
	if err == nil {
		return ""
	}
	return errkind.Of(err)
}

// lostWriteStore loses the answer of a write and is unreachable afterwards. With noEffect, it
// loses the write itself and stays reachable, but later reads are stale.
type lostWriteStore struct {
	*standin.Store
	noEffect bool
}

func (s lostWriteStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if s.noEffect {
		s.SetFaults(standin.StoreFaults{StaleReads: true})
		return 0, errLost
	}
	s.SetFaults(standin.StoreFaults{LoseWriteReplies: 1})
	_, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.SetFaults(standin.StoreFaults{Down: true})
	return 0, err
}

// Guards against a claim that is reported as failed, or written twice, because the answer of its
// write was lost or the write arrived late.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		l := newLedger("i1", store, nil)
		store.SetFaults(standin.StoreFaults{LoseWriteReplies: 1})
		require.Empty(t, claimErrorKind(t, l, "lost"))
		store.SetFaults(standin.StoreFaults{DelayedWrites: 2})
		require.Empty(t, claimErrorKind(t, l, "late"))
		for _, id := range []string{"lost", "late"} {
			require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, l, id))
			require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, newLedger("i2", store, nil), id))
		}
	})
}

// Guards against a claim that is reported as "not run" although it may be in the store: the answer
// of its write is lost and the store stays unreachable.
func TestUnresolvedWriteIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lostWriteStore{Store: standin.NewStore()}
		require.Equal(t, errkind.ClaimUncertain, claimErrorKind(t, newLedger("i1", store, nil), "r"))
		require.Equal(t, errkind.MayHaveRun, errkind.AnswerOf(errkind.ClaimUncertain).RunState)
		store.SetFaults(standin.StoreFaults{})
		require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, newLedger("i2", store.Store, nil), "r"))
	})
}

// Guards against claims that are recorded, or reported as uncertain, although the store was down
// before they were made, and against a store call for each of them.
func TestStoreDownRefusesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		l := newLedger("i1", store, nil)
		for i := range 64 { // every shard is loaded before the outage
			require.Empty(t, claimErrorKind(t, l, fmt.Sprint("before", i)))
		}
		store.SetFaults(standin.StoreFaults{Down: true})
		uncertain := 0
		for i := range 200 {
			switch kind := claimErrorKind(t, l, fmt.Sprint("r", i)); kind {
			case errkind.ClaimUncertain: // the claim whose write detects the outage
				uncertain++
			default:
				require.Equal(t, errkind.StoreUnavailable, kind)
			}
		}
		require.LessOrEqual(t, uncertain, 1)
		require.Less(t, store.Calls()["get"], 64+2*int(batchTimeout/retryDelay))
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(time.Second)
		require.Empty(t, claimErrorKind(t, l, "r199"))
	})
}

// Guards against a second claim of an id, and so a second run of its request, after a stale read
// that shows the shard without the first claim.
func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		first := newLedger("i1", store, nil)
		require.Empty(t, claimErrorKind(t, first, "r"))
		require.NoError(t, first.Release(t.Context(), mustClaim(first.Claim(t.Context(), "w", "other"))))
		for i := range 40 {
			require.Empty(t, claimErrorKind(t, first, fmt.Sprint(i)))
		}
		store.SetFaults(standin.StoreFaults{StaleReads: true})
		for i := range 40 {
			kind := claimErrorKind(t, newLedger("i2", store, nil), fmt.Sprint(i))
			require.Contains(t, []errkind.Kind{errkind.DuplicateRequest, errkind.StoreUnavailable}, kind)
		}
	})
}

func mustClaim(c Claim, err error) Claim {
	if err != nil {
		panic(err)
	}
	return c
}

// Guards against a release that is reported as done because of a stale read, although its write
// was lost.
func TestStaleReadAfterLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		first := newLedger("i1", store, nil)
		claims := map[uint32][]Claim{}
		for i := 0; len(claims) < ShardCount || len(claims[0]) < 2; i++ {
			c := mustClaim(first.Claim(t.Context(), "w", fmt.Sprint(i)))
			claims[c.Shard] = append(claims[c.Shard], c)
		}
		newest := claims[0][len(claims[0])-1]
		require.Error(t, newLedger("i2", lostWriteStore{store, true}, nil).Release(t.Context(), newest))
	})
}

// Guards against an id that is granted twice when several instances write its shard at the same
// time, as they do when each takes itself for the shard's owner.
func TestConcurrentWritersOfShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		ledgers := []*Ledger{newLedger("i1", store, nil), newLedger("i2", store, nil), newLedger("i3", store, nil)}
		var mu sync.Mutex
		grantedTo := map[string]int{}
		var wg sync.WaitGroup
		for i := range 300 {
			id := fmt.Sprint("r", i%100)
			wg.Go(func() {
				_, err := ledgers[i/100].Claim(t.Context(), "w", id)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					grantedTo[id]++
				} else if errkind.Of(err) != errkind.DuplicateRequest {
					t.Errorf("claim %s: %v", id, err)
				}
			})
		}
		wg.Wait()
		require.Len(t, grantedTo, 100)
		for id, n := range grantedTo {
			require.Equal(t, 1, n, id)
		}
	})
}

// ownerPeer makes one ledger the owner of every shard and simulates faults of the calls to it.
type ownerPeer struct {
	peer.DRPCPeerClient
	owner       *Ledger
	loseAnswers bool
	unreachable bool
}

var errLost = errors.New("answer lost")

func (p *ownerPeer) ShardOwner(uint32) string { return "owner" }

func (p *ownerPeer) Client(context.Context, string) (peer.DRPCPeerClient, error) {
	if p.unreachable {
		return nil, errLost
	}
	return p, nil
}

func (p *ownerPeer) Claim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	reply, err := p.owner.HandleClaim(ctx, r)
	if p.loseAnswers {
		return nil, errLost
	}
	return reply, err
}

func (p *ownerPeer) Release(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	reply, err := p.owner.HandleRelease(ctx, r)
	if p.loseAnswers {
		return nil, errLost
	}
	return reply, err
}

// Guards against a claim that is lost, granted twice or falsely reported as "not run" when it is
// forwarded to the shard's owner, and against a released id that stays claimed.
func TestForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		p := &ownerPeer{owner: newLedger("owner", store, nil)}
		l := newLedger("i1", store, p)
		for _, name := range []string{"reached", "lost", "unreachable"} {
			p.loseAnswers, p.unreachable = name == "lost", name == "unreachable"
			c, err := l.Claim(t.Context(), "w", name)
			require.NoError(t, err, name)
			require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, l, name))
			require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, p.owner, name))
			require.NoError(t, l.Release(t.Context(), c))
			require.Empty(t, claimErrorKind(t, p.owner, name))
		}
		p.loseAnswers, p.unreachable = true, false
		store.SetFaults(standin.StoreFaults{Down: true})
		require.Equal(t, errkind.ClaimUncertain, claimErrorKind(t, l, "down"), "the owner may write it later")
	})
}

// Guards against a claim that blocks its id although it was granted after its caller's deadline,
// so that the request was not dispatched.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		store.SetFaults(standin.StoreFaults{CallDelay: 100 * time.Millisecond})
		l := newLedger("i1", store, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := l.Claim(ctx, "w", "r")
		require.Equal(t, errkind.ClaimUncertain, errkind.Of(err))
		time.Sleep(2 * time.Second)
		require.Empty(t, claimErrorKind(t, l, "r"))
	})
}

// Guards against a full shard that does not fit in a value of the store, and against ids that stay
// claimed after ClaimTTL.
func TestFullShardAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		for shard := range ShardCount {
			c := newContents(maxEntries)
			for i := range maxEntries {
				c.claims[idHash{uint64(i), uint64(shard)}] = record{token: 1, expires: uint32(time.Now().Add(ClaimTTL).Unix())}
			}
			value := c.encode()
			require.Less(t, len(value), remote.MaxValueBytes)
			_, err := store.CompareAndSwap(t.Context(), fmt.Sprintf("claim/%d", shard), 0, value, 0)
			require.NoError(t, err)
		}
		l := newLedger("i1", store, nil)
		require.Equal(t, errkind.StoreUnavailable, claimErrorKind(t, l, "r"))
		time.Sleep(ClaimTTL)
		require.Empty(t, claimErrorKind(t, l, "r"))
		require.Equal(t, errkind.DuplicateRequest, claimErrorKind(t, l, "r"))
		time.Sleep(ClaimTTL + time.Second)
		require.Empty(t, claimErrorKind(t, l, "r"))
	})
}

// Guards against a write for each claim, in many shards or in one, which would exceed the store's
// write rate.
func TestClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		l := newLedger("i1", store, nil)
		claim := func(goroutines, each int, shard func(uint32) bool) (elapsed time.Duration, writes int) {
			began, before := time.Now(), store.Calls()["swap"]
			var wg sync.WaitGroup
			for g := range goroutines {
				wg.Go(func() {
					for i := 0; i < each; {
						id := fmt.Sprint(before, "-", g, "-", i, "-", rand.Uint64())
						if !shard(uint32(hashOf("w", id)[0] % ShardCount)) {
							continue
						}
						i++
						if _, err := l.Claim(t.Context(), "w", id); err != nil {
							t.Error(err)
						}
					}
				})
			}
			wg.Wait()
			return time.Since(began), store.Calls()["swap"] - before
		}
		elapsed, writes := claim(2000, 1, func(uint32) bool { return true })
		require.LessOrEqual(t, writes, ShardCount+int(elapsed.Seconds()*fleetWritesPerSec))
		elapsed, writes = claim(5, 10, func(s uint32) bool { return s == 3 })
		require.LessOrEqual(t, writes, 1+int(elapsed/minWriteInterval))
	})
}
