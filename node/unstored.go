package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// lagFactor is how often a call to a peer waits for the CPU of this instance, from the request until its answer
	// is processed.
	lagFactor = 4
	// maxLagAllowance limits what that adds to a call. Nothing starts before the answers of the peers.
	maxLagAllowance = time.Second
)

// unstoredQuery asks the peers for what a former owner observed but could not store. No caller has seen it, but a new
// owner that misses it waits for workers that have left, and runs tasks again of which no worker holds the end any more.
type unstoredQuery struct {
	peers func() []ownership.Instance
	call  func(ctx context.Context, address string) (jobowner.Unstored, error)
	lag   func() time.Duration // how late the goroutines of this process run
	log   *zap.Logger
}

// collect returns the answers of the peers that answer within peerTimeout and what the lag of this process may add to it.
func (q unstoredQuery) collect(ctx context.Context) jobowner.Unstored {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+min(lagFactor*q.lag(), maxLagAllowance))
	defer cancel()
	var (
		mu    sync.Mutex
		all   jobowner.Unstored
		calls sync.WaitGroup
	)
	for _, p := range q.peers() {
		calls.Go(func() {
			u, err := q.call(ctx, p.Address)
			if err != nil {
				q.log.Debug("request to peer for unstored ends failed", zap.String("peer", p.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.Add(u)
		})
	}
	calls.Wait()
	return all
}

// collectUnstored returns what former owners observed but could not store: that of the peers that answer in time, and that
// of this instance's previous term.
func (n *Node) collectUnstored(ctx context.Context) jobowner.Unstored {
	u := unstoredQuery{peers: n.elector.Peers, call: n.unstoredOf, lag: n.lag.Lag, log: n.log}.collect(ctx)
	if previous := n.previousTerm.Load(); previous != nil {
		u.Add(previous.Unstored())
	}
	return u
}

func (n *Node) unstoredOf(ctx context.Context, address string) (u jobowner.Unstored, _ error) {
	reply, err := relay.NewDRPCRelayClient(n.clients.Conn(address)).Completed(ctx, &relay.CompletedRequest{})
	if err != nil {
		return u, err
	}
	u.Completed = reply.Jobs
	for _, e := range reply.Ends {
		u.Ends = append(u.Ends, workerapi.EndedRun{Task: e.Task, Run: int(e.Run), Outcome: jobstate.End(e.Outcome), Checkpoint: e.Checkpoint})
	}
	return u, nil
}

// unstoredReply returns what the terms of this instance observed but could not store.
func (n *Node) unstoredReply() *relay.CompletedReply {
	var u jobowner.Unstored
	for _, term := range []*jobowner.Term{n.previousTerm.Load(), n.term.Load()} {
		if term != nil {
			u.Add(term.Unstored())
		}
	}
	reply := &relay.CompletedReply{Jobs: u.Completed}
	for _, e := range u.Ends {
		reply.Ends = append(reply.Ends, &relay.EndedRun{Task: e.Task, Run: int64(e.Run), Outcome: string(e.Outcome), Checkpoint: e.Checkpoint})
	}
	return reply
}
