package httpkv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jayridge/jayridge/process/services"
)

// appliedHeader is the response header that has the value "no" if the request changed nothing.
const appliedHeader = "Kv-Applied"

// access is whether a call changes the service's state. It decides what a missing response means: a read that fails has no effect,
// so its error is never ErrOutcomeUnknown.
type access bool

const (
	read  access = false
	write access = true
)

// connTracker records whether a request got a connection. Without one, nothing can have reached the service.
type connTracker struct{ connected atomic.Bool }

// withTrace returns a context that makes t record the connection of a request.
func (t *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// outcomeError classifies a transport error. A request whose last attempt failed to dial was never sent: the transport only dials
// again after an attempt that wrote nothing, because writes carry no header that marks them as idempotent.
func (t *connTracker) outcomeError(kind access, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if kind == read || dialFailed || !t.connected.Load() {
		return fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", services.ErrOutcomeUnknown, err)
}

// statusError classifies a response whose status is neither 200 nor 204.
func statusError(kind access, resp *http.Response, text string) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return services.ErrNotFound
	case http.StatusConflict:
		return services.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return services.ErrTooLarge
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return fmt.Errorf("%w: the service rejected the request: %s: %s", services.ErrUnavailable, resp.Status, text)
	}
	notApplied := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(appliedHeader) == "no"
	if kind == read || notApplied {
		return fmt.Errorf("%w: %s: %s", services.ErrUnavailable, resp.Status, text)
	}
	return fmt.Errorf("%w: %s: %s", services.ErrOutcomeUnknown, resp.Status, text)
}
