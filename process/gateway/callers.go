package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
)

const (
	// idleSweep is the time between looks for idle connections.
	idleSweep = 500 * time.Millisecond
	// drainPoll is the time between looks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
)

// callers are the connections and requests of callers.
type callers struct {
	requests atomic.Int64

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallers() *callers { return &callers{idle: make(map[net.Conn]time.Time)} }

// The states of a caller's connection.
const (
	connInUse int32 = iota
	connIdle
	connClosing
)

// callerConn is a caller's connection that is closed as idle only if nothing of a next request was read from it. net/http says that a
// connection is in use only after it has read the request, which is too late: the request would be passed on and get no answer.
type callerConn struct {
	*net.TCPConn
	state atomic.Int32
}

// Read implements net.Conn. What arrives at a connection that is being closed is dropped, so that the request is not passed on.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connInUse) && c.state.Load() == connClosing {
		return 0, net.ErrClosed
	}
	return n, err
}

// closeIdle closes the connection unless a request was read since it became idle.
func (c *callerConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosing) {
		_ = c.Close() // the server notices and forgets the connection
	}
}

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp}, err
	}
	return conn, err
}

// track implements http.Server.ConnState. The server's own idle timeout cannot change while it runs.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = time.Now()
	if caller, ok := conn.(*callerConn); ok {
		caller.state.Store(connIdle)
	}
}

// sweepIdle closes connections that have been idle for longer than the configuration says.
func (g *Gateway) sweepIdle() {
	for g.ctx.Err() == nil {
		sleep.For(g.ctx, idleSweep)
		limit := defaultIdleTimeout
		if v := g.view.Load(); v != nil && v.table.Limits().IdleTimeout > 0 {
			limit = v.table.Limits().IdleTimeout
		}
		g.calls.closeIdle(limit)
	}
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *callers) closeIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) <= limit {
			continue
		}
		delete(c.idle, conn)
		if caller, ok := conn.(*callerConn); ok {
			caller.closeIdle()
		}
	}
}

// drain closes the listeners and idle connections and waits for the requests in progress. http.Server.Shutdown is not used because it
// may close a connection whose request it has just read.
func (c *callers) drain(ctx context.Context, listeners []net.Listener) error {
	for _, l := range listeners {
		_ = l.Close() // it is closed either way
	}
	for c.closeIdle(0); c.requests.Load() > 0; c.closeIdle(0) {
		if err := ctx.Err(); err != nil {
			return trace.Wrap(err, "%d requests in progress", c.requests.Load())
		}
		sleep.For(ctx, drainPoll)
	}
	return nil
}
