// Package upstream maintains pooled HTTP/1.1 connections to one upstream and exchanges requests and responses over them.
//
// The Transport of net/http is not used because it retries some requests on its own and cannot tell a response that belongs to
// an earlier request from the expected one. Messages are written and parsed by net/http. A connection carries one request at a
// time. It is reused only if the response ended cleanly and the request was sent completely.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/jayridge/jayridge/connection/orderly"
)

// Config holds the settings of a Pool's connections.
type Config struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// MaxIdle is the time after which an idle connection is closed.
	MaxIdle time.Duration
	// MaxUnackedTime is how long sent bytes may stay unacknowledged before the connection fails, and the time after which keepalive
	// probes find that the peer is gone.
	MaxUnackedTime time.Duration
	// BufferBytes is the size of a connection's read buffer.
	BufferBytes int
}

// DefaultConfig returns settings for upstreams within a region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    500 * time.Millisecond, // a lost SYN is retransmitted after a second, which is too late for most callers
		MaxIdle:        20 * time.Second,
		MaxUnackedTime: 2 * time.Second,
		BufferBytes:    2 << 10, // fits most responses and all events
	}
}

// ErrTooManyConnections means that the pool has reached its limit of open connections; nothing was sent.
var ErrTooManyConnections = trace.LimitExceeded("too many connections to the upstream")

// Pool manages the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	config  Config
	// checking is set while a Check is running.
	checking atomic.Bool
	mu       sync.Mutex
	idle     []*Conn // most recently used last
	open     int
	limit    int
	closed   bool
}

// NewPool returns a pool for a TCP address, without a limit on connections.
func NewPool(address string, config Config) *Pool {
	return &Pool{address: address, config: config}
}

// SetLimit changes the limit on open connections; zero means unlimited.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Get returns an idle connection that was last used within maxIdle, or a new one. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	if c := p.takeIdle(min(maxIdle, p.config.MaxIdle)); c != nil {
		return c, nil
	}
	return p.Dial(ctx)
}

// takeIdle returns a usable idle connection, or nil. It closes connections that were idle for too long or have unread data.
func (p *Pool) takeIdle(maxIdle time.Duration) *Conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		idle := time.Since(c.usedAt)
		if idle < min(maxIdle, c.keepAlive) && c.reusable() {
			c.reused = true
			return c
		}
		if idle < min(p.config.MaxIdle, c.keepAlive) && c.reusable() {
			// Requests that may be repeated can still use this connection; all others in the pool have been idle for longer.
			p.put(c)
			return nil
		}
		c.Close()
	}
}

// pop removes and returns the most recently used idle connection, or nil if there is none.
func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// takeOldest removes and returns the idle connection that was used longest ago, or nil if there is none.
func (p *Pool) takeOldest() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	return c
}

// put adds an idle connection to the pool, or closes it if the pool is closed.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// Dial opens a new connection. If the limit is reached, it takes the place of the connection that has been idle for longest: that one may be too old
// for the request.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	for !p.reserve() {
		oldest := p.takeOldest()
		if oldest == nil {
			return nil, ErrTooManyConnections
		}
		oldest.Close()
	}
	dialer := net.Dialer{
		Timeout: p.config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: p.config.MaxUnackedTime, Interval: time.Second, Count: 2,
		},
		Control: p.setUserTimeout,
	}
	nc, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.release()
		return nil, trace.ConnectionProblem(err, "dial %s", p.address)
	}
	conn := orderly.New(nc)
	limited := newLimitedReader(conn)
	return &Conn{
		pool:      p,
		nc:        conn,
		limited:   limited,
		reader:    bufio.NewReaderSize(limited, p.config.BufferBytes),
		keepAlive: p.config.MaxIdle,
		usedAt:    time.Now(),
	}, nil
}

// Check tests whether the upstream can be reached. It keeps the connection that it opens for the next request. It does nothing
// while another Check is running.
func (p *Pool) Check(ctx context.Context) error {
	if !p.checking.CompareAndSwap(false, true) {
		return nil
	}
	defer p.checking.Store(false)
	c, err := p.Dial(ctx)
	if err != nil {
		return err
	}
	c.returnToPool()
	return nil
}

// setUserTimeout makes sends fail if the peer is gone without a reset.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.config.MaxUnackedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// reserve counts a new connection. It returns false if the limit is reached.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseExpired closes connections that have been idle for longer than MaxIdle or that the upstream has closed.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	var kept []*Conn
	for _, c := range idle {
		if time.Since(c.usedAt) < min(p.config.MaxIdle, c.keepAlive) && c.reusable() {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(kept, p.idle...)
	}
	p.mu.Unlock()
	if closed {
		closeAll(kept)
	}
}

// CloseIdle closes all idle connections, for example after a restart of the upstream.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}
