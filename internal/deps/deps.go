//go:build deps

// Package deps keeps the libraries of the project in go.mod until each has its first user.
package deps

import (
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/goccy/go-yaml"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sebdah/goldie/v2"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcpool"
	_ "storj.io/drpc/drpcserver"
)
