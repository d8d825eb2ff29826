// Package httpengine implements HTTP clients of model engines and plain services.
//
// The package never retries a call, because a call to a plain service may have taken effect: connections are not reused after an
// error, and the automatic retry of net/http on reused connections is disabled.
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

	"github.com/jayridge/jayridge/connection/orderly"
	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/services"
)

// Config configures a client of an upstream.
type Config struct {
	// URL is the base URL of the upstream, without a trailing slash.
	URL string
	// ConnectTimeout limits the time to establish a TCP connection. Zero: 1 s.
	ConnectTimeout time.Duration
	// MaxAnswerBytes limits the size of a response body that is not streamed. Zero: 16 MiB.
	MaxAnswerBytes int64
}

// Client implements services.Engine and services.PlainService. It is safe for concurrent use.
type Client struct {
	cfg    Config
	client *http.Client
}

var (
	_ services.Engine       = (*Client)(nil)
	_ services.PlainService = (*Client)(nil)
)

// New returns a client of the upstream. It does not connect.
func New(cfg Config) *Client {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = time.Second
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = 16 << 20
	}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return orderly.New(conn), nil
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{cfg: cfg, client: &http.Client{Transport: transport, CheckRedirect: returnRedirect}}
}

// returnRedirect stops the client from following redirects, so that the caller gets them as responses. If a redirect were followed and its
// target refused the connection, a call that took effect would be reported as not sent.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// do sends one request. The error wraps services.ErrUnavailable only if no connection was established, and upstream.ErrInvalidStatus if the status is
// none of HTTP.
func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	// net/http retries a request that carries an Idempotency-Key on a new connection if the request has no body or has GetBody set.
	// A body without GetBody, even an empty one, prevents the retry.
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
	if err != nil && dialFailed(err) {
		return nil, trace.Wrap(fmt.Errorf("%w: %w", services.ErrUnavailable, err))
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := upstream.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // nothing of the response is used
		return nil, trace.Wrap(err)
	}
	return resp, nil
}

// withSendHook returns a context in which hook is called once the request has a connection, before its first byte is written.
func withSendHook(ctx context.Context, hook func()) context.Context {
	if hook == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hook() }})
}

// dialFailed reports whether no connection could be established, so that nothing was sent.
func dialFailed(err error) bool {
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

// Generate implements services.Engine. The generation is canceled when ctx ends.
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

// tokenStream reads newline-delimited parts until the one in which done is set.
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
