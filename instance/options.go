// Package instance assembles an instance from its parts: the gateway for callers, the owners of data
// centres, configuration, membership, and the listeners for callers, peers and operators.
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
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a keep-alive connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
	// maxManifestBytes limits the body of an operator's request, which is a manifest.
	maxManifestBytes = 1 << 20
)

// Options configures an Instance, which closes the listeners when it stops.
type Options struct {
	ID         string
	DataCentre string
	Platform   string // IP:port of the platform's services
	Callers    net.Listener
	Peers      net.Listener
	Admin      net.Listener
	// ListLag is the assumed maximum delay until the platform's list shows a change. A stopping instance
	// keeps its listeners open for this long. A new one accepts commits when it has been listed for this
	// long plus a margin of 5 s.
	ListLag          time.Duration
	DrainTimeout     time.Duration // maximum duration of a graceful stop
	StoreCallsPerSec float64       // limit of calls per second to the platform
	Policy           scheduler.Policy
	Log              *zap.Logger
	Metrics          metrics.Registry
}

// info returns the instance's entry on the platform's list.
func (o *Options) info() structs.Instance {
	return structs.Instance{
		ID: o.ID, DataCentre: o.DataCentre, PeerAddr: o.Peers.Addr().String(),
		CallerAddr: o.Callers.Addr().String(), AdminAddr: o.Admin.Addr().String(),
	}
}
