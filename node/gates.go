package node

import (
	"net/http"

	"github.com/cyclamenyard/cyclamenyard/internal/ingress"
)

// gates bound what the clients of the listeners can hold. Each listener has its own, so that readiness and metrics are
// served while callers have reached their bounds.
type gates struct{ callers, ready, peers, admin *ingress.Gate }

func newGates(o Options) gates {
	gate := func(name string, limits ingress.Limits) *ingress.Gate {
		return ingress.New(ingress.Options{Name: name, Limits: limits, Log: o.Log, Metrics: o.Metrics})
	}
	s := o.Ingress
	return gates{callers: gate("callers", s.Callers()), ready: gate("ready", s.Probes()), peers: gate("peers", s.Peers()), admin: gate("admin", s.Probes())}
}

func newServer(g *ingress.Gate, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.Handler(handler), ConnContext: ingress.ConnContext, ConnState: ingress.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
