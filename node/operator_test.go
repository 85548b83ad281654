package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

// An instance restarts while the store does not answer it and reads the configuration from its peers.
// Guards against the configuration of a peer that has long had no access to the store, and that still
// contains an API key revoked in the meantime.
func TestRestartedInstanceRejectsConfigOfPartitionedPeer(t *testing.T) {
	reply := func(revision uint64, reachable bool) *relay.OperatorReply {
		return &relay.OperatorReply{Revision: revision, Reachable: reachable}
	}
	for name, c := range map[string]struct {
		replies    []*relay.OperatorReply
		configured bool
		want       uint64 // revision of the selected reply; 0 for none
	}{
		"no peer answers":                      {nil, false, 0},
		"one peer without access to the store": {[]*relay.OperatorReply{reply(5, false)}, false, 0},
		"one peer without access to the store, instance has a configuration": {[]*relay.OperatorReply{reply(5, false)}, true, 5},
		"a peer with access to the store":                                    {[]*relay.OperatorReply{reply(9, false), reply(7, true)}, false, 7},
		"enough peers without access to the store":                           {[]*relay.OperatorReply{reply(5, false), reply(8, false), reply(6, false)}, false, 8},
	} {
		var got uint64
		if r := selectReply(c.replies, c.configured); r != nil {
			got = r.Revision
		}
		assert.Equal(t, c.want, got, name)
	}
}

// Most instances have lost power, and the store answers one that is left again while it asks the others. Guards
// against a round of queries that asks all of them first: the instance counts as partitioned until the end of the
// round, and does not campaign.
func TestRoundOfPeerQueriesEndsWhenTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := testplatform.NewStore().NewClient()
		store := metastore.NewMonitor(client)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go store.Run(ctx)
		elector := ownership.New(ownership.Options{Store: store, Log: zap.NewNop()})
		for n := range 96 {
			elector.Apply(metastore.Change{Item: metastore.Item{Key: fmt.Sprint(ownership.InstancesPrefix, n), Value: fmt.Appendf(nil, `{"name":"i%d"}`, n)}})
		}
		client.SetFault(func(string) testplatform.Fault { return testplatform.Refused })
		assert.False(t, store.Check(ctx, 0))
		o := &operatorData{n: &Node{store: store, elector: elector, log: zap.NewNop()}}
		time.AfterFunc(2*time.Second, func() { client.SetFault(func(string) testplatform.Fault { return testplatform.None }) })
		began := time.Now()
		o.queryPeers(ctx, func(ctx context.Context, _ string) (*relay.OperatorReply, error) {
			wait.For(ctx, peerQueryTimeout)
			return nil, context.DeadlineExceeded
		})
		assert.Less(t, time.Since(began), 4*time.Second)
	})
}
