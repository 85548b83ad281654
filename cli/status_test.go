package cli

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/instance"
)

// Guards against an explanation that shows a refused request as one sent to a worker, or that shows
// a request as refused although it may have run.
func TestExplanationOfRefusals(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var out strings.Builder
	require.NoError(t, renderExplanation(&out, instance.Explanation{ID: "verband/a1", Requests: []gateway.Decision{
		{At: at, Service: "rota", Refused: true, Kind: "rate_limited", Message: "the workspace is above its request rate"},
		{At: at, Worker: "w1", DataCentre: "dc1", Attempt: "i1-1", Ended: true, Took: time.Millisecond},
		{At: at, Service: "rota", Refused: true, Kind: "duplicate_request", Message: "used before"},
		{At: at, Refused: true, Kind: "bad_request", Message: "bad name"},
	}}))
	require.Equal(t, `verband/a1
  03:04:05.000 refused, service rota: rate_limited: the workspace is above its request rate
  03:04:05.000 request to w1 in dc1, attempt i1-1: answered after 1ms
  03:04:05.000 not accepted, may have run, service rota: duplicate_request: used before
  03:04:05.000 refused, an invalid service name: bad_request: bad name
`, out.String())
}
