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

// appliedHeader says "no" in a response that the service sent before it did anything.
const appliedHeader = "Kv-Applied"

// access is whether a call changes the service's state; it decides what a missing response means.
type access bool

const (
	read  access = false
	write access = true
)

// sent records whether a request got a connection. Without one, nothing can have reached the service.
type sent struct{ connected atomic.Bool }

func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// failure classifies an error of the transport. A request whose last attempt failed to dial was never sent: the transport
// only dials again after an attempt that wrote nothing, because writes carry no header that marks them as repeatable.
func (s *sent) failure(kind access, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if kind == read || dialFailed || !s.connected.Load() {
		return fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", services.ErrOutcomeUnknown, err)
}

// statusError classifies a response that is not 200 or 204.
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
