package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jayridge/jayridge/connection/stall"
	"github.com/jayridge/jayridge/internal/socket"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// callerBytesPerSecond and upstreamBytesPerSecond are the rates from which a transfer is not considered stalled.
	callerBytesPerSecond   = 1 << 10
	upstreamBytesPerSecond = 16 << 10
)

// Errors of transfers.
var (
	// errCallerStalled means that the caller neither sent nor read enough for a while.
	errCallerStalled = errors.New("the caller has stalled")
	// errEvicted is the cancellation cause of the reading of a body that is given up for another one.
	errEvicted = errors.New("the memory is needed for another request")
	// errUpstreamStalled is the cancellation cause of an attempt whose upstream paused within its response for too long.
	errUpstreamStalled = errors.New("the upstream has stalled")
)

// callerBody reads the body of a caller's request. Its reads end with errCallerStalled if the caller stalls, and at the deadline of the request.
type callerBody struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time
	patience stall.Patience
	// ctx ends if the body is given up for another one.
	ctx context.Context
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	start := time.Now()
	until := start.Add(b.patience.Left())
	if until.After(b.deadline) {
		until = b.deadline
	}
	_ = b.control.SetReadDeadline(until) // always supported by the net/http server's writer
	if errors.Is(context.Cause(b.ctx), errEvicted) {
		return 0, bufferbudget.ErrNoRoom
	}
	n, err := b.body.Read(p)
	b.patience.Record(time.Since(start), n)
	switch {
	case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
		return n, err
	case errors.Is(context.Cause(b.ctx), errEvicted):
		return n, bufferbudget.ErrNoRoom
	case !time.Now().Before(b.deadline):
		return n, context.DeadlineExceeded
	default:
		return n, errCallerStalled
	}
}

// writePollInterval is the interval at which a write that waits for the caller checks whether the caller reads.
const writePollInterval = 250 * time.Millisecond

// callerWrites is how long a caller's connection waits for the caller to read. It belongs to the goroutine that serves the connection.
type callerWrites struct {
	patience stall.Patience
	// deadline is that of the request. lateLimit is how long the caller may pause after it.
	deadline  time.Time
	lateLimit time.Duration
}

// begin resets the time for the response to a request, whose deadline is not known yet.
func (w *callerWrites) begin(s *settings.Gateway) {
	limit := settings.FractionalMilliseconds(s.CallerStallMS)
	*w = callerWrites{
		patience:  stall.New(stall.Config{Limit: limit, BytesPerSecond: callerBytesPerSecond}),
		deadline:  time.Now().Add(defaultDeadline),
		lateLimit: min(limit, settings.FractionalMilliseconds(s.LateCallerStallMS)),
	}
}

// wait returns how long to wait for the caller before the next check. It is not positive if the caller has stalled.
func (w *callerWrites) wait(now time.Time) time.Duration {
	if !now.Before(w.deadline) {
		w.patience.Restrict(w.lateLimit)
	}
	return min(w.patience.Left(), writePollInterval)
}

// Write implements net.Conn. It fails with os.ErrDeadlineExceeded if the caller stops reading. This includes a caller that reads a response which is
// ready only after the deadline of the request. The kernel reports room for more only when much of its buffer is free, so that what the caller has
// acknowledged shows whether it reads.
func (c *callerConn) Write(p []byte) (int, error) {
	defer c.SetWriteDeadline(time.Time{}) //nolint:errcheck // fails only if the connection is closed
	c.head.answering.Store(true)
	written := 0
	for queued := -1; ; {
		start := time.Now()
		_ = c.SetWriteDeadline(start.Add(c.writes.wait(start))) // fails only if the connection is closed
		n, err := c.TCPConn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.writes.patience.Record(0, n)
			return written, err
		}
		read := n
		if unsent, ok := socket.Unsent(c.TCPConn); ok {
			if queued >= 0 {
				read = queued + n - unsent
			}
			queued = unsent
		}
		if c.writes.patience.Record(time.Since(start), read); c.writes.patience.Left() <= 0 {
			return written, err
		}
	}
}

// discardTimeout is how long net/http may read the rest of a body that the gateway did not read, before it responds.
const discardTimeout = 500 * time.Millisecond

// limitDiscard limits the time for which net/http reads the rest of the request's body before it writes the response.
func (c *call) limitDiscard() {
	_ = c.control.SetReadDeadline(time.Now().Add(discardTimeout)) // always supported by the net/http server's writer
}

// upstreamBody reads the body of an upstream's response that is not a stream. It cancels the attempt if the upstream stalls.
type upstreamBody struct {
	body     io.Reader
	timer    *time.Timer
	patience stall.Patience
}

func newUpstreamBody(body io.Reader, limit time.Duration, cancel context.CancelCauseFunc) *upstreamBody {
	return &upstreamBody{
		body: body, timer: time.AfterFunc(limit, func() { cancel(errUpstreamStalled) }),
		patience: stall.New(stall.Config{Limit: limit, BytesPerSecond: upstreamBytesPerSecond}),
	}
}

// Read implements io.Reader.
func (b *upstreamBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.patience.Left())
	start := time.Now()
	n, err := b.body.Read(p)
	b.timer.Stop()
	b.patience.Record(time.Since(start), n)
	return n, err
}
