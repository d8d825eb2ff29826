// Package httpengine talks to model engines and plain services over HTTP.
//
// Calls are never repeated by this package: connections are not reused after an error, and net/http's own retry of requests on a
// reused connection is off, because a plain service's call may have run.
package httpengine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Config describes an upstream.
type Config struct {
	// URL is the upstream's base URL.
	URL string
	// ConnectTimeout bounds the TCP connect. Zero: 1 s.
	ConnectTimeout time.Duration
	// MaxAnswerBytes bounds the body of an answer that is not streamed. Zero: 16 MiB.
	MaxAnswerBytes int64
}

// Client implements services.Engine and services.PlainService. It may be used by several goroutines.
type Client struct {
	cfg    Config
	client *http.Client
}

var (
	_ services.Engine       = (*Client)(nil)
	_ services.PlainService = (*Client)(nil)
)

// New returns a client of the upstream.
func New(cfg Config) *Client {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = time.Second
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = 16 << 20
	}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{cfg: cfg, client: &http.Client{Transport: transport, CheckRedirect: keepRedirect}}
}

// keepRedirect returns redirects to the caller. Followed here, a redirect to an address that refuses connections would make a call that
// has run look as if it was never sent.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// do sends one request. An error that wraps services.ErrUnavailable means that no connection was made.
func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	// net/http repeats a request on a new connection if it has no body, or has GetBody, and carries an Idempotency-Key. A
	// body without GetBody, even an empty one, prevents that.
	var reader io.Reader
	if method != http.MethodGet || len(body) > 0 {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.ContentLength = int64(len(body))
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil && refused(err) {
		return nil, trace.Wrap(fmt.Errorf("%w: %w", services.ErrUnavailable, err))
	}
	return resp, trace.Wrap(err)
}

// withSendHook calls hook when the request has a connection, before its first byte is written.
func withSendHook(ctx context.Context, hook func()) context.Context {
	if hook == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hook() }})
}

// refused reports whether the upstream accepted no connection, so that nothing was sent.
func refused(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Call implements services.PlainService.
func (c *Client) Call(ctx context.Context, call services.CallRequest) (services.CallResponse, error) {
	ctx = withSendHook(ctx, call.OnSend)
	header := http.Header{"Content-Type": {cmp.Or(call.ContentType, "application/json")}}
	if call.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{call.IdempotencyKey}
	}
	resp, err := c.do(ctx, call.Method, call.Path, call.Body, header)
	if err != nil {
		return services.CallResponse{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswerBytes+1))
	if err != nil {
		return services.CallResponse{}, trace.Wrap(err)
	}
	if int64(len(body)) > c.cfg.MaxAnswerBytes {
		return services.CallResponse{}, trace.LimitExceeded("answer exceeds %d bytes", c.cfg.MaxAnswerBytes)
	}
	return services.CallResponse{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Location: resp.Header.Get("Location"), Body: body,
	}, nil
}

// generateBody is the body of POST /v1/generate.
type generateBody struct {
	ID       string `json:"id"`
	Path     string `json:"path"`
	Body     []byte `json:"body"`
	Chat     uint64 `json:"chat"`
	Priority int    `json:"priority"`
	Offset   uint32 `json:"offset"`
}

// Generate implements services.Engine. The stream ends the generation when ctx ends.
func (c *Client) Generate(ctx context.Context, req services.GenerateRequest) (services.TokenStream, error) {
	ctx = withSendHook(ctx, req.OnSend)
	body, err := json.Marshal(generateBody{req.ID, req.Path, req.Body, req.Chat, req.Priority, req.Offset})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.do(ctx, http.MethodPost, "/v1/generate", body, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswerBytes))
		return nil, &services.StatusError{Status: resp.StatusCode, Body: text}
	}
	return &tokenStream{body: resp.Body, dec: json.NewDecoder(resp.Body)}, nil
}

// tokenStream reads newline-delimited parts until the one that says done.
type tokenStream struct {
	body io.ReadCloser
	dec  *json.Decoder
}

// Next implements services.TokenStream.
func (t *tokenStream) Next() ([]byte, error) {
	var part struct {
		Data string `json:"data"`
		Done bool   `json:"done"`
	}
	err := t.dec.Decode(&part)
	if errors.Is(err, io.EOF) {
		return nil, trace.Wrap(io.ErrUnexpectedEOF)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if part.Done {
		return nil, io.EOF
	}
	return []byte(part.Data), nil
}

// Close implements services.TokenStream. Closing the connection cancels the generation.
func (t *tokenStream) Close() error { return t.body.Close() }

// Load implements services.Engine and services.PlainService.
func (c *Client) Load(ctx context.Context) (services.EngineLoad, error) {
	var load services.EngineLoad
	return load, c.getJSON(ctx, "/v1/load", &load)
}

// CacheEvents implements services.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]services.CacheEvent, error) {
	var events []services.CacheEvent
	return events, c.getJSON(ctx, fmt.Sprintf("/v1/cache-events?after=%d", after), &events)
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Wrap(&services.StatusError{Status: resp.StatusCode})
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(into))
}

// Order implements services.Engine.
func (c *Client) Order(ctx context.Context, order services.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.do(ctx, http.MethodPost, "/v1/orders", body, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return trace.Wrap(services.ErrStaleFence)
	default:
		return trace.Wrap(&services.StatusError{Status: resp.StatusCode})
	}
}

// ExportCache implements services.Engine.
func (c *Client) ExportCache(ctx context.Context, chat uint64) (io.ReadCloser, error) {
	resp, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/cache/%d", chat), nil, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, trace.Wrap(services.ErrNotFound)
	}
	return nil, trace.Wrap(&services.StatusError{Status: resp.StatusCode})
}

// ImportCache implements services.Engine.
func (c *Client) ImportCache(ctx context.Context, chat uint64, cache io.Reader) error {
	body, err := io.ReadAll(cache)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.do(ctx, http.MethodPut, fmt.Sprintf("/v1/cache/%d", chat), body, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Wrap(&services.StatusError{Status: resp.StatusCode})
	}
	return nil
}
