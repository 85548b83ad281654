package instance

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

// serve starts the servers for callers, peers and operators. The peers' server stops when ctx ends; the
// caller closes the others.
func (i *Instance) serve(ctx context.Context, group *errgroup.Group) (callers, admin *http.Server, err error) {
	server, err := peer.NewServer(peer.ServerOptions{Handler: peerServer{i}, Log: i.log, Metrics: i.metrics})
	if err != nil {
		return nil, nil, err
	}
	group.Go(func() error { return server.Serve(ctx, i.opts.Peers) })
	callers = newHTTPServer(i.gateway.Handler())
	admin = newHTTPServer(i.adminHandler())
	serveHTTP(group, callers, i.opts.Callers)
	serveHTTP(group, admin, i.opts.Admin)
	return callers, admin, nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serveHTTP runs the server in the group. Its shutdown is not an error.
func serveHTTP(group *errgroup.Group, s *http.Server, l net.Listener) {
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
