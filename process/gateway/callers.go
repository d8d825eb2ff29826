package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/internal/socket"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// idleSweepPeriod is the interval of the checks for idle connections.
	idleSweepPeriod = 500 * time.Millisecond
	// drainPoll is the interval at which drain checks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
)

// callerTracker tracks the connections and counts the requests of callers.
type callerTracker struct {
	requests atomic.Int64

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallerTracker() *callerTracker { return &callerTracker{idle: make(map[net.Conn]time.Time)} }

// The states of a caller's connection.
const (
	connInUse int32 = iota
	connIdle
	connClosing
)

// callerConn is a caller's connection that is closed as idle only if no byte of a next request has been read from it. net/http reports a
// connection as active only after it has read the request, which is too late: the request would be forwarded and its response lost.
type callerConn struct {
	*net.TCPConn
	guard   *callerGuard
	address netip.Addr
	state   atomic.Int32
	// claim tells whether the connection may be closed to make room.
	claim atomic.Int32
	// progress is the time at which bytes arrived last, in nanoseconds of bootclock.
	progress atomic.Int64
	head     headMemory
	// bodyBytes is the memory that is reserved for the body of the request in progress.
	bodyBytes atomic.Int64
	// writes belongs to the goroutine that serves the connection.
	writes callerWrites
}

// callerConnKey is the key of the callerConn in the context of a request.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request. It is nil if that is not a TCP connection.
func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}

// Read implements net.Conn. Data that arrives while the connection is being closed is dropped, so that the request is not forwarded.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.state.CompareAndSwap(connIdle, connInUse) && c.state.Load() == connClosing {
		return 0, net.ErrClosed
	}
	c.progress.Store(bootclock.Now().UnixNano())
	if headErr := c.head.add(c, p[:n]); headErr != nil {
		return 0, c.refuseHead(p, headErr)
	}
	return n, err
}

// closeIdle closes the connection unless a request has been read or has arrived since it became idle. It returns false if one has arrived that is
// not read yet, which may take a while on a busy machine.
func (c *callerConn) closeIdle() bool {
	if socket.Peek(c.TCPConn) == socket.Readable {
		return false
	}
	if c.state.CompareAndSwap(connIdle, connClosing) {
		_ = c.Close() // the server's next read fails and it drops the connection
	}
	return true
}

// callerListener wraps accepted connections as callerConn.
type callerListener struct {
	net.Listener
	buffers  *bufferbudget.Budget
	settings *settings.Gateway
	guard    *callerGuard
}

// Accept implements net.Listener. It returns only connections for which there is room.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		l.guard.awaitRoom()
		conn, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.guard.freeDescriptors() // net/http waits before the next call
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok || err != nil {
			return conn, err
		}
		c := &callerConn{TCPConn: tcp, guard: l.guard, address: addressOf(tcp)}
		c.progress.Store(bootclock.Now().UnixNano())
		c.head.budget, c.head.maxFields = l.buffers, l.settings.MaxHeadFields
		c.head.begin()
		c.writes.begin(l.settings)
		if l.guard.admit(c) {
			return c, nil
		}
	}
}

// track is the http.Server.ConnState hook. It is used instead of the server's idle timeout, which cannot change while the server runs.
func (c *callerTracker) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller, ok := conn.(*callerConn)
	if ok && state == http.StateClosed {
		caller.ended()
	}
	if state != http.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = time.Now()
	if ok {
		caller.head.begin()
		caller.bodyBytes.Store(0)
		caller.claim.CompareAndSwap(connPassedOn, connOpen)
		caller.state.Store(connIdle)
	}
}

// sweepIdle closes connections that have been idle for longer than the configured timeout, until the gateway stops.
func (g *Gateway) sweepIdle() {
	for g.ctx.Err() == nil {
		sleep.For(g.ctx, idleSweepPeriod)
		limit := defaultIdleTimeout
		if v := g.view.Load(); v != nil && v.table.Limits().IdleTimeout > 0 {
			limit = v.table.Limits().IdleTimeout
		}
		g.callers.closeIdle(limit)
	}
}

// closeIdle closes the connections that have been idle for longer than limit. It returns the number of those that stay open because a request has
// arrived.
func (c *callerTracker) closeIdle(limit time.Duration) (unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) <= limit {
			continue
		}
		if caller, ok := conn.(*callerConn); ok && !caller.closeIdle() {
			unread++
			continue
		}
		delete(c.idle, conn)
	}
	return unread
}

// drain closes the listeners and idle connections and waits for the requests in progress. It does not use http.Server.Shutdown, which may
// close a connection from which it has just read a request.
func (c *callerTracker) drain(ctx context.Context, listeners []net.Listener) error {
	for _, l := range listeners {
		_ = l.Close() // an error does not keep it open
	}
	for c.closeIdle(0)+int(c.requests.Load()) > 0 {
		if err := ctx.Err(); err != nil {
			return trace.Wrap(err, "%d requests in progress", c.requests.Load())
		}
		sleep.For(ctx, drainPoll)
	}
	return nil
}
