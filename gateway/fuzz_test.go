package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/claims"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/standin"
)

const (
	fuzzInstances = 3
	fuzzWorkers   = 4
	fuzzIDs       = 8
)

// submission is a request of the fuzz test and its reply.
type submission struct {
	request
	reply
	done bool
}

// cluster is a group of instances that share a store and workers.
type cluster struct {
	store                    *standin.Store
	entries                  [fuzzInstances]*fixture
	ledgers                  [fuzzInstances]*claims.Ledger
	mu                       sync.Mutex
	sent                     []*submission
	wg                       sync.WaitGroup
	shardOwners              [fuzzInstances]int // each instance's view of the owner of all shards
	partitioned, dropReplies bool               // faults between instances
}

// link connects an instance to its peers. As the client of one peer, it forwards calls to the ledger of
// that peer.
type link struct {
	peer.DRPCPeerClient
	c    *cluster
	from int // calling instance
	to   int // called instance; used only as the client of one peer
}

func instanceName(i int) string { return fmt.Sprint("i", i) }

func (l *link) ShardOwner(uint32) string {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return instanceName(l.c.shardOwners[l.from])
}

func (l *link) Client(_ context.Context, instance string) (peer.DRPCPeerClient, error) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.partitioned {
		return nil, context.DeadlineExceeded
	}
	for i := range fuzzInstances {
		if instanceName(i) == instance {
			return &link{c: l.c, from: l.from, to: i}, nil
		}
	}
	return nil, context.DeadlineExceeded
}

func (l *link) target() (ledger *claims.Ledger, dropReply bool) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.c.ledgers[l.to], l.c.dropReplies
}

func (l *link) Claim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	ledger, dropReply := l.target()
	reply, err := ledger.HandleClaim(ctx, r)
	if dropReply {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

func (l *link) Release(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	ledger, dropReply := l.target()
	reply, err := ledger.HandleRelease(ctx, r)
	if dropReply {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

// instanceLedger forwards to the current ledger of instance i.
type instanceLedger struct {
	c *cluster
	i int
}

func (l instanceLedger) current() *claims.Ledger {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.c.ledgers[l.i]
}

func (l instanceLedger) Claim(ctx context.Context, workspace, id string) (claims.Claim, error) {
	return l.current().Claim(ctx, workspace, id)
}

func (l instanceLedger) Release(ctx context.Context, claim claims.Claim) error {
	return l.current().Release(ctx, claim)
}

// replaceLedger replaces the ledger of an instance by an empty one, as after a restart.
func (c *cluster) replaceLedger(i int) {
	l := claims.New(claims.Options{
		Instance: instanceName(i), Store: c.store, Peers: &link{c: c, from: i}, Metrics: metrics.NewRegistry(),
		Instances: func() int { return fuzzInstances },
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledgers[i] = l
}

func newCluster(t tb) *cluster {
	c := &cluster{store: standin.NewStore()}
	for i := range fuzzInstances {
		c.replaceLedger(i)
	}
	c.entries[0] = newFixture(t, fuzzWorkers, 2, 10*time.Millisecond, standin.Upstream{}, instanceLedger{c, 0})
	for i := 1; i < fuzzInstances; i++ {
		c.entries[i] = c.entries[0].newInstance(t, instanceName(i), instanceLedger{c, i})
	}
	return c
}

// submit sends a request with a unique body and stores its reply.
func (c *cluster) submit(entry int, id string, idempotent bool, callerWaits time.Duration) *submission {
	c.mu.Lock()
	s := &submission{request: request{
		workspace: "verband", service: "rota", id: id, idempotent: idempotent, body: fmt.Sprint("body", len(c.sent)),
	}}
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
		defer cancel()
		r := c.entries[entry].do(ctx, s.request)
		c.mu.Lock()
		defer c.mu.Unlock()
		s.reply, s.done = r, true
	})
	return s
}

// check compares the replies received so far with the number of runs counted by the workers.
func (c *cluster) check(t require.TestingT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range fuzzIDs {
		id := fmt.Sprint("n", i)
		runs, answered, possibleRuns := c.entries[0].runs("verband", id), 0, 0
		for _, s := range c.sent {
			if s.id != id || s.done && (s.err.RunState == errkind.NotRun || s.err.Kind == errkind.DuplicateRequest) {
				continue
			}
			possibleRuns++
			if s.done && s.status == http.StatusOK {
				answered++
			}
		}
		require.LessOrEqual(t, runs, 1, "%s ran more than once", id)
		require.LessOrEqual(t, answered, runs, "%s was answered successfully more often than it ran", id)
		if possibleRuns == 0 {
			require.Zero(t, runs, "%s ran although every reply reported that it did not", id)
		}
	}
	for _, s := range c.sent {
		if s.done && s.status == http.StatusOK {
			require.Equal(t, "done:"+s.request.body, s.reply.body, "response of another attempt")
		}
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			synctest.Wait() // completes each action before the next, so that a seed is reproducible
			c.check(t)
		},
		"submit": func(t *rapid.T) {
			waits := rapid.SampledFrom([]time.Duration{time.Minute, time.Minute, 15 * time.Millisecond}).Draw(t, "caller waits")
			c.submit(pick(t, "entry", fuzzInstances), fmt.Sprint("n", pick(t, "id", fuzzIDs)), false, waits)
		},
		"submit idempotent": func(t *rapid.T) {
			c.submit(pick(t, "entry", fuzzInstances), fmt.Sprint("i", pick(t, "id", fuzzIDs)), true, time.Minute)
		},
		"wait": func(t *rapid.T) {
			time.Sleep(rapid.SampledFrom([]time.Duration{time.Millisecond, 25 * time.Millisecond, time.Second}).Draw(t, "time"))
		},
		"store fault": func(t *rapid.T) {
			c.store.SetFaults(rapid.SampledFrom([]standin.StoreFaults{
				{}, {}, {Down: true}, {LoseWriteReplies: 1}, {LoseWriteReplies: 3}, {DelayedWrites: 1}, {DelayedWrites: 2}, {StaleReads: true},
				{CallDelay: 100 * time.Millisecond}, {CallDelay: time.Second}, {LoseWriteReplies: 1, StaleReads: true},
			}).Draw(t, "faults"))
		},
		// Combines a claim whose write is lost or late, a store that may be unable to return the outcome
		// of the write, and a duplicate at any instance. Independent random actions rarely produce this
		// sequence.
		"duplicate after a lost write": func(t *rapid.T) {
			id := fmt.Sprint("n", pick(t, "id", fuzzIDs))
			c.store.SetFaults(rapid.SampledFrom([]standin.StoreFaults{{LoseWriteReplies: 1}, {DelayedWrites: 1}, {DelayedWrites: 2}}).Draw(t, "write"))
			c.submit(pick(t, "first entry", fuzzInstances), id, false, time.Minute)
			time.Sleep(rapid.SampledFrom([]time.Duration{30 * time.Millisecond, 520 * time.Millisecond}).Draw(t, "time of the write"))
			c.store.SetFaults(rapid.SampledFrom([]standin.StoreFaults{{}, {Down: true}, {Down: true}, {StaleReads: true}}).Draw(t, "store"))
			time.Sleep(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "time until the duplicate"))
			c.store.SetFaults(standin.StoreFaults{})
			c.submit(pick(t, "second entry", fuzzInstances), id, false, time.Minute)
		},
		"worker fault": func(t *rapid.T) {
			c.entries[0].workers[pick(t, "worker", fuzzWorkers)].SetFaults(rapid.SampledFrom([]standin.WorkerFaults{
				{}, {}, {Down: true}, {FailAll: true}, {CloseBeforeReply: true}, {WrongAttemptID: true}, {TruncateReplies: true}, {ReplyDelay: 6 * time.Second},
			}).Draw(t, "faults"))
		},
		"worker leaves": func(t *rapid.T) {
			c.entries[0].workers[pick(t, "worker", fuzzWorkers)].SetLeaving(rapid.Bool().Draw(t, "leaving"))
		},
		"peers": func(t *rapid.T) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.shardOwners[pick(t, "instance", fuzzInstances)] = pick(t, "owner", fuzzInstances)
			c.partitioned, c.dropReplies = rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "lose")
		},
		"replace ledger": func(t *rapid.T) {
			c.replaceLedger(pick(t, "instance", fuzzInstances))
		},
	}
}

// clearFaults removes all faults and waits for the requests in flight.
func (c *cluster) clearFaults() {
	c.store.SetFaults(standin.StoreFaults{})
	c.mu.Lock()
	c.partitioned, c.dropReplies, c.shardOwners = false, false, [fuzzInstances]int{}
	c.mu.Unlock()
	for _, w := range c.entries[0].workers {
		w.SetFaults(standin.WorkerFaults{})
		w.SetLeaving(false)
	}
	c.wg.Wait()
	time.Sleep(time.Minute)
}

// checkNotRunReplies resubmits the ids for which every reply was "not run". All of them must run now.
func (c *cluster) checkNotRunReplies(t require.TestingT) {
	neverRan := map[string]bool{}
	for _, s := range c.sent {
		if !s.idempotent {
			before, seen := neverRan[s.id]
			neverRan[s.id] = (before || !seen) && s.err.RunState == errkind.NotRun
		}
	}
	for id, ok := range neverRan {
		if !ok {
			continue
		}
		s := c.submit(0, id, false, time.Minute)
		c.wg.Wait()
		require.Equal(t, http.StatusOK, s.status, "%s never ran but is refused: %s\nits replies: %v", id, s.reply.body, c.replies(id))
	}
}

// replies returns the bodies of the replies to all submissions of an id.
func (c *cluster) replies(id string) (list []string) {
	for _, s := range c.sent {
		if s.id == id {
			list = append(list, s.reply.body)
		}
	}
	return list
}

// Guards against a second run of a non-idempotent id, a wrong "not run" reply, and the response of
// another attempt, under faults of the store, the workers and the connections between instances.
func TestFuzzClaimsAndDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// rapid calls Deadline on a *testing.T, which panics in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			c := newCluster(t)
			t.Repeat(c.actions())
			c.clearFaults()
			c.check(t)
			c.checkNotRunReplies(t)
			c.check(t)
		})
	})
}
