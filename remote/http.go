package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes = 1 << 20
	// maxReplyBytes limits a response. The largest is a page of store values in base64.
	maxReplyBytes = 16 << 20
)

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Request and response bodies of the store's HTTP/JSON protocol. Every call is a POST to
// /v1/store/<call>.
type (
	// GetBody requests one entry.
	GetBody struct {
		Key string `json:"key"`
	}
	// ListBody requests a page of entries.
	ListBody struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// SwapBody writes or deletes one entry.
	SwapBody struct {
		Key    string  `json:"key"`
		Expect uint64  `json:"expect"`
		Value  []byte  `json:"value"`
		Lease  LeaseID `json:"lease"`
	}
	// WatchBody requests the changes after a revision, and waits for the first one.
	WatchBody struct {
		Prefix     string `json:"prefix"`
		After      uint64 `json:"after"`
		WaitMillis int64  `json:"wait_ms"`
	}
	// WatchReply contains changed entries and the store's revision.
	WatchReply struct {
		Entries  []KV   `json:"entries"`
		Revision uint64 `json:"revision"`
	}
	// LeaseBody contains a lease, or the duration of a lease to be granted.
	LeaseBody struct {
		ID        LeaseID `json:"id"`
		TTLMillis int64   `json:"ttl_ms"`
	}
)

// Client calls the platform's services over HTTP/JSON. It counts calls in the metrics
// "platform.calls.<call>" and limits their rate.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	calls   metrics.Registry
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Address     string           // IP and port of the service
	Transport   *http.Transport  // nil for a transport of its own
	CallsPerSec float64          // rate limit; 0 for none
	Metrics     metrics.Registry // nil for the default registry
}

// NewClient returns a client for the service at o.Address.
func NewClient(o ClientOptions) *Client {
	c := &Client{base: "http://" + o.Address, http: &http.Client{Transport: o.Transport}, calls: o.Metrics}
	if c.calls == nil {
		c.calls = metrics.DefaultRegistry
	}
	if o.Transport == nil {
		c.http.Transport = NewTransport(0)
	}
	if o.CallsPerSec > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(o.CallsPerSec), int(o.CallsPerSec)+1)
	}
	return c
}

// NewTransport returns a transport for calls in the local network. maxPerHost limits the connections
// to a host; 0 means no limit.
func NewTransport(maxPerHost int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     maxPerHost,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// call posts in as JSON and decodes the response into out, unless out is nil. Requests have neither
// GetBody nor an idempotency header, so that the transport does not retry them on a new connection.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	metrics.GetOrRegisterCounter("platform.calls."+path, c.calls).Inc(1)
	if c.limiter != nil {
		if err := c.limiter.Wait(ctx); err != nil {
			return fmt.Errorf("%s: %w: %w", path, ErrRateLimited, err)
		}
	}
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: encode: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s: read answer: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(path, resp.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%s: decode answer: %w", path, err)
	}
	return nil
}

func decodeError(path string, status int, raw []byte) error {
	var e ErrorReply
	if err := json.Unmarshal(raw, &e); err != nil || e.Code == "" {
		return fmt.Errorf("%s: status %d", path, status)
	}
	return fmt.Errorf("%s: %w: %s", path, ErrorOf(e.Code), e.Message)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (kv KV, err error) {
	err = c.call(ctx, "store/get", GetBody{Key: key}, &kv)
	return kv, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (kvs []KV, err error) {
	err = c.call(ctx, "store/list", ListBody{Prefix: prefix, After: after, Limit: limit}, &kvs)
	return kvs, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error) {
	var kv KV
	err := c.call(ctx, "store/swap", SwapBody{Key: key, Expect: expect, Value: value, Lease: lease}, &kv)
	return kv.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.call(ctx, "store/delete", SwapBody{Key: key, Expect: expect}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KV, uint64, error) {
	var r WatchReply
	err := c.call(ctx, "store/watch", WatchBody{Prefix: prefix, After: after, WaitMillis: wait.Milliseconds()}, &r)
	return r.Entries, r.Revision, err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var l LeaseBody
	err := c.call(ctx, "store/lease/grant", LeaseBody{TTLMillis: ttl.Milliseconds()}, &l)
	return l.ID, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	return c.call(ctx, "store/lease/renew", LeaseBody{ID: id}, nil)
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.call(ctx, "store/lease/revoke", LeaseBody{ID: id}, nil)
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context) (list []structs.Instance, err error) {
	err = c.call(ctx, "list/instances", struct{}{}, &list)
	return list, err
}

// Workers implements InstanceList.
func (c *Client) Workers(ctx context.Context) (list []structs.Worker, err error) {
	err = c.call(ctx, "list/workers", struct{}{}, &list)
	return list, err
}

// WorkerClient calls the control interface of a worker.
type WorkerClient struct{ c *Client }

// NewWorkerClient returns a client for the worker at o.Address.
func NewWorkerClient(o ClientOptions) *WorkerClient {
	return &WorkerClient{c: NewClient(o)}
}

// Reserve implements Worker.
func (w *WorkerClient) Reserve(ctx context.Context, r ReserveRequest) error {
	return w.c.call(ctx, "task/reserve", r, nil)
}

// Start implements Worker.
func (w *WorkerClient) Start(ctx context.Context, r StartRequest) error {
	return w.c.call(ctx, "task/start", r, nil)
}

// Renew implements Worker.
func (w *WorkerClient) Renew(ctx context.Context, r RenewRequest) (reply RenewReply, err error) {
	err = w.c.call(ctx, "task/renew", r, &reply)
	return reply, err
}

// Release implements Worker.
func (w *WorkerClient) Release(ctx context.Context, r TaskRequest) error {
	return w.c.call(ctx, "task/release", r, nil)
}

// Checkpoint implements Worker.
func (w *WorkerClient) Checkpoint(ctx context.Context, r TaskRequest) error {
	return w.c.call(ctx, "task/checkpoint", r, nil)
}

// Throttle implements Worker.
func (w *WorkerClient) Throttle(ctx context.Context, r ThrottleRequest) error {
	return w.c.call(ctx, "task/throttle", r, nil)
}

// Stop implements Worker.
func (w *WorkerClient) Stop(ctx context.Context, r TaskRequest) error {
	return w.c.call(ctx, "task/stop", r, nil)
}

// Status implements Worker.
func (w *WorkerClient) Status(ctx context.Context, token uint64) (s WorkerStatus, err error) {
	err = w.c.call(ctx, "task/status", TaskRequest{Token: token}, &s)
	return s, err
}
