package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

// HTTP headers of the run protocol between an instance and a worker.
const (
	HeaderAttempt   = "X-Attempt-Id"
	HeaderRequest   = "X-Request-Id"
	HeaderToken     = "X-Fencing-Token"
	HeaderGrant     = "X-Slot-Grant"
	HeaderService   = "X-Service"
	HeaderWorkspace = "X-Workspace"
	HeaderHash      = "X-Body-Xxhash"
)

// maxErrorBytes limits the body of an error response.
const maxErrorBytes = 4 << 10

// UpstreamClient sends short requests to workers.
type UpstreamClient struct {
	transport *http.Transport
	template  *http.Request
}

// NewUpstreamClient returns a client that uses the transport.
func NewUpstreamClient(t *http.Transport) *UpstreamClient {
	// The template saves parsing a URL for each attempt. It is a POST without GetBody, so that the
	// transport cannot retry an attempt on a new connection after writing to a broken one.
	template := &http.Request{Method: http.MethodPost, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	return &UpstreamClient{transport: t, template: template}
}

// Run implements Upstream. Errors have the kind UpstreamRefused (the worker has not started the
// attempt), UpstreamUncertain, UpstreamFailed, AnswerTooLarge or AnswerInvalid.
func (u *UpstreamClient) Run(ctx context.Context, address string, r RunRequest) (RunReply, error) {
	req := u.template.WithContext(ctx)
	req.URL = &url.URL{Scheme: "http", Host: address, Path: "/v1/run"}
	req.Header = r.header()
	if len(r.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	// The transport is called directly, because an http.Client would follow redirects.
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		if NotExecuted(err) {
			return RunReply{}, errkind.Wrap(errkind.UpstreamRefused, err, "worker %s", address)
		}
		return RunReply{}, errkind.Wrap(errkind.UpstreamUncertain, err, "worker %s", address)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderAttempt); got != r.AttemptID {
		return RunReply{}, errkind.New(errkind.AnswerInvalid, "worker %s answered attempt %q to attempt %q", address, got, r.AttemptID)
	}
	if resp.StatusCode != http.StatusOK {
		return RunReply{}, runError(address, resp)
	}
	return readRunReply(address, resp, r.MaxAnswer)
}

// header returns the headers of the attempt under their canonical names. The values share one array
// to save allocations.
func (r *RunRequest) header() http.Header {
	v := [...]string{r.AttemptID, r.RequestID, strconv.FormatUint(r.Token, 10), r.GrantID, r.Service, r.Workspace}
	return http.Header{
		HeaderAttempt: v[0:1:1], HeaderRequest: v[1:2:2], HeaderToken: v[2:3:3],
		HeaderGrant: v[3:4:4], HeaderService: v[4:5:5], HeaderWorkspace: v[5:6:6],
	}
}

// runError maps an error response to an error with a kind. Only an error code from the worker itself
// can show that the attempt was not started.
func runError(address string, resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var e ErrorReply
	if err := json.Unmarshal(raw, &e); err != nil || e.Code == "" {
		return errkind.New(errkind.UpstreamUncertain, "worker %s answered status %d", address, resp.StatusCode)
	}
	err := fmt.Errorf("%w: %s", ErrorOf(e.Code), e.Message)
	if errors.Is(err, ErrTaskFailed) {
		return errkind.Wrap(errkind.UpstreamFailed, err, "worker %s", address)
	}
	if NotExecuted(err) {
		return errkind.Wrap(errkind.UpstreamRefused, err, "worker %s", address)
	}
	return errkind.Wrap(errkind.UpstreamUncertain, err, "worker %s", address)
}

// readRunReply reads the body and verifies its length, its size limit and its hash.
func readRunReply(address string, resp *http.Response, maxAnswer int64) (RunReply, error) {
	body, err := readBody(resp, maxAnswer)
	if err != nil {
		return RunReply{}, errkind.Wrap(errkind.AnswerInvalid, err, "worker %s: truncated answer", address)
	}
	if int64(len(body)) > maxAnswer {
		return RunReply{}, errkind.New(errkind.AnswerTooLarge, "worker %s: answer above %d bytes", address, maxAnswer)
	}
	if want := resp.Header.Get(HeaderHash); want != BodyHash(body) {
		return RunReply{}, errkind.New(errkind.AnswerInvalid, "worker %s: body hash does not match", address)
	}
	return RunReply{Body: body}, nil
}

// readBody reads at most maxAnswer+1 bytes, with a single allocation if the length is known.
func readBody(resp *http.Response, maxAnswer int64) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxAnswer {
		return io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// BodyHash returns the hash of a body in the format of HeaderHash.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
