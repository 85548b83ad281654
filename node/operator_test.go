package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
