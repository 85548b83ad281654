package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/relay"
)

// Load: an instance starts again while the store turns it away, and asks its peers. Guards against a
// configuration of a peer that has been cut off for long, with a key that was withdrawn meanwhile.
func TestRestartedInstanceDoesNotTrustAPeerThatIsCutOff(t *testing.T) {
	reply := func(revision uint64, reachable bool) *relay.OperatorReply {
		return &relay.OperatorReply{Revision: revision, Reachable: reachable}
	}
	for name, c := range map[string]struct {
		replies    []*relay.OperatorReply
		configured bool
		want       uint64 // revision that is taken in; 0 for none
	}{
		"nobody answers":                            {nil, false, 0},
		"one peer, cut off":                         {[]*relay.OperatorReply{reply(5, false)}, false, 0},
		"one peer, cut off, and this one knows one": {[]*relay.OperatorReply{reply(5, false)}, true, 5},
		"a peer that the store answers":             {[]*relay.OperatorReply{reply(9, false), reply(7, true)}, false, 7},
		"the store answers nobody":                  {[]*relay.OperatorReply{reply(5, false), reply(8, false), reply(6, false)}, false, 8},
	} {
		var got uint64
		if r := trusted(c.replies, c.configured); r != nil {
			got = r.Revision
		}
		assert.Equal(t, c.want, got, name)
	}
}
