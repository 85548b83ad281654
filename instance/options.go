// Package instance wires the parts of one instance: callers' gateway, data-centre owners,
// configuration, membership, and the listeners for callers, peers and operators.
package instance

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes kept-alive connections of callers without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// adminBodyLimit bounds an operator's body: a manifest.
	adminBodyLimit = 1 << 20
)

// Options configures an Instance. The instance closes the listeners.
type Options struct {
	ID         string
	DataCentre string
	Platform   string // IP:port of the platform's services
	Callers    net.Listener
	Peers      net.Listener
	Admin      net.Listener
	// ListLag is the assumed lag of the platform's list. A stopping instance keeps its
	// listeners open for this long, and a new one accepts commits after twice this time.
	ListLag          time.Duration
	DrainTimeout     time.Duration // longest graceful stop
	StoreCallsPerSec float64       // calls a second to the platform
	Policy           scheduler.Policy
	Log              *zap.Logger
	Metrics          metrics.Registry
}

func (o *Options) info() structs.Instance {
	return structs.Instance{
		ID: o.ID, DataCentre: o.DataCentre, PeerAddr: o.Peers.Addr().String(),
		CallerAddr: o.Callers.Addr().String(), AdminAddr: o.Admin.Addr().String(),
	}
}
