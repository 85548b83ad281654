package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

const (
	// lagFactor is how often a call to a peer waits for the CPU of this instance, from the request until its answer
	// is processed.
	lagFactor = 4
	// maxLagAllowance limits what that adds to a call. Nothing starts before the answers of the peers.
	maxLagAllowance = time.Second
)

// completedQuery asks the peers for the jobs whose completion a former owner observed but could not store. No caller
// has seen it, but a new owner that misses one of them runs tasks again of which no worker holds the end any more.
type completedQuery struct {
	peers func() []ownership.Instance
	call  func(ctx context.Context, address string) ([]string, error)
	lag   func() time.Duration // how late the goroutines of this process run
	log   *zap.Logger
}

// jobs returns the jobs of the peers that answer within peerTimeout and what the lag of this process may add to it.
func (q completedQuery) jobs(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+min(lagFactor*q.lag(), maxLagAllowance))
	defer cancel()
	var (
		mu    sync.Mutex
		jobs  []string
		calls sync.WaitGroup
	)
	for _, p := range q.peers() {
		calls.Go(func() {
			completed, err := q.call(ctx, p.Address)
			if err != nil {
				q.log.Debug("request to peer for completed jobs failed", zap.String("peer", p.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			jobs = append(jobs, completed...)
		})
	}
	calls.Wait()
	return jobs
}

// collectCompleted returns the jobs whose completion a former owner observed but could not store: those of the peers
// that answer in time, and those of this instance's previous term.
func (n *Node) collectCompleted(ctx context.Context) []string {
	jobs := completedQuery{peers: n.elector.Peers, call: n.completedOf, lag: n.lag.Lag, log: n.log}.jobs(ctx)
	if previous := n.previousTerm.Load(); previous != nil {
		jobs = append(jobs, previous.UnstoredCompletions()...)
	}
	return jobs
}

func (n *Node) completedOf(ctx context.Context, address string) ([]string, error) {
	reply, err := relay.NewDRPCRelayClient(n.clients.Conn(address)).Completed(ctx, &relay.CompletedRequest{})
	if err != nil {
		return nil, err
	}
	return reply.Jobs, nil
}
