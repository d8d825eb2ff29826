// Package httpkv implements services.KV over the HTTP/JSON protocol that internal/standin/kv documents.
//
// A write is reported as ErrUnavailable only if it cannot have reached the service: no connection could be made, or the
// service said in a 503 that it did nothing. If the response to a write is lost or late, the error is ErrOutcomeUnknown. No request
// is sent twice. Transport errors also wrap their cause, so errors.Is matches the error of the context as well.
package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// maxResponseBytes limits the size of a response body. It leaves room for a base64-encoded value of the maximum size, or a long list of
// keys.
const maxResponseBytes = 8 * services.MaxValueBytes

// maxErrorBytes limits how much of an error response is put into the error text.
const maxErrorBytes = 512

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ services.KV = (*Client)(nil)

// New returns a client. It does not connect.
func New(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type keyValue struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value"`
	Revision services.Revision `json:"revision"`
}

// Get implements services.KV.
func (c *Client) Get(ctx context.Context, key string) (services.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer cancel()
	var kv keyValue
	_, err := c.do(ctx, read, http.MethodGet, "/v1/key", url.Values{"key": {key}}, nil, &kv)
	return services.KeyValue(kv), trace.Wrap(err)
}

// CompareAndSwap implements services.KV. It returns ErrNotFound, and writes nothing, if the lease has expired.
func (c *Client) CompareAndSwap(ctx context.Context, key string, prev services.Revision, value []byte, lease services.LeaseID) (services.Revision, error) {
	if len(value) > services.MaxValueBytes {
		return 0, trace.Wrap(services.ErrTooLarge)
	}
	body := struct {
		Key   string            `json:"key"`
		Prev  services.Revision `json:"prev"`
		Value []byte            `json:"value"`
		Lease services.LeaseID  `json:"lease,omitempty"`
	}{key, prev, value, lease}
	var resp struct {
		Revision services.Revision `json:"revision"`
	}
	if err := c.doWrite(ctx, http.MethodPut, "/v1/key", body, &resp); err != nil {
		return 0, trace.Wrap(err)
	}
	return resp.Revision, nil
}

// List implements services.KV.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer cancel()
	var resp struct {
		Keys []string `json:"keys"`
	}
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	_, err := c.do(ctx, read, http.MethodGet, "/v1/keys", query, nil, &resp)
	return resp.Keys, trace.Wrap(err)
}

// Watch implements services.KV. It returns ErrUnavailable when a poll fails; retrying is up to the caller.
func (c *Client) Watch(ctx context.Context, key string, after services.Revision) (services.KeyValue, error) {
	query := url.Values{
		"key":     {key},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(c.cfg.WatchWait.Milliseconds(), 10)},
	}
	for {
		kv, changed, err := c.poll(ctx, query)
		if ctx.Err() != nil && !changed {
			return services.KeyValue{}, trace.Wrap(ctx.Err())
		}
		if changed || err != nil {
			return kv, trace.Wrap(err)
		}
	}
}

// poll makes one long-poll request. Its timeout is the time that the service may hold the request plus the timeout of a read.
func (c *Client) poll(ctx context.Context, query url.Values) (services.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchWait+c.cfg.ReadTimeout)
	defer cancel()
	var kv keyValue
	status, err := c.do(ctx, read, http.MethodGet, "/v1/watch", query, nil, &kv)
	return services.KeyValue(kv), err == nil && status == http.StatusOK, err
}

// Grant implements services.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (services.LeaseID, error) {
	body := struct {
		TTLMS int64 `json:"ttl_ms"`
	}{ttl.Milliseconds()}
	var resp struct {
		Lease services.LeaseID `json:"lease"`
	}
	err := c.doWrite(ctx, http.MethodPost, "/v1/leases", body, &resp)
	return resp.Lease, trace.Wrap(err)
}

// Renew implements services.KV.
func (c *Client) Renew(ctx context.Context, lease services.LeaseID) error {
	return trace.Wrap(c.doWrite(ctx, http.MethodPost, leasePath(lease)+"/renew", nil, nil))
}

// Revoke implements services.KV.
func (c *Client) Revoke(ctx context.Context, lease services.LeaseID) error {
	return trace.Wrap(c.doWrite(ctx, http.MethodDelete, leasePath(lease), nil, nil))
}

func leasePath(lease services.LeaseID) string {
	return "/v1/leases/" + strconv.FormatUint(uint64(lease), 10)
}

// doWrite sends a write with body encoded as JSON, and decodes the response into into unless that is nil.
func (c *Client) doWrite(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WriteTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	_, err = c.do(ctx, write, method, path, nil, encoded, into)
	return err
}

// do sends one request and returns the status of the response. A response that cannot be read completely is treated as lost.
func (c *Client) do(ctx context.Context, kind access, method, path string, query url.Values, body []byte, into any) (int, error) {
	target := c.cfg.BaseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	var tracker connTracker
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), method, target, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, tracker.outcomeError(kind, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return resp.StatusCode, nil
	default:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return resp.StatusCode, statusError(kind, resp, string(bytes.TrimSpace(text)))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && into != nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return resp.StatusCode, tracker.outcomeError(kind, err)
	}
	return resp.StatusCode, nil
}
