// Package upstream keeps HTTP/1.1 connections to one upstream and exchanges requests and answers over them.
//
// net/http's Transport is not used because it repeats some requests by itself and cannot tell an answer that belongs to an earlier
// request from the one that is awaited. Messages are written and parsed by net/http. A connection carries one request at a time and
// is kept only if the answer ended cleanly and the request was sent to its end.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Config sets how a pool treats its connections.
type Config struct {
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// MaxIdle is how long an idle connection is kept.
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
		DialTimeout:    500 * time.Millisecond, // a lost opening packet is sent again after a second, which is too late for most callers
		MaxIdle:        20 * time.Second,
		MaxUnackedTime: 2 * time.Second,
		BufferBytes:    2 << 10, // most answers and all events fit
	}
}

// ErrTooManyConnections means that the pool is at its limit; nothing was sent.
var ErrTooManyConnections = trace.LimitExceeded("too many connections to the upstream")

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	config  Config
	// checking says that a Check runs.
	checking atomic.Bool
	mu       sync.Mutex
	idle     []*Conn // the most recently used last
	open     int
	limit    int
	closed   bool
}

// NewPool returns a pool for a TCP address, without a limit on connections.
func NewPool(address string, config Config) *Pool {
	return &Pool{address: address, config: config}
}

// SetLimit changes the bound on open connections; zero means none.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Get returns an idle connection that was used within maxIdle, or a new one. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	if c := p.take(min(maxIdle, p.config.MaxIdle)); c != nil {
		return c, nil
	}
	return p.Dial(ctx)
}

// take returns a usable idle connection, or nil. Those that were idle for too long or have unread bytes are closed.
func (p *Pool) take(maxIdle time.Duration) *Conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		idle := time.Since(c.usedAt)
		if idle < min(maxIdle, c.keepAlive) && c.quiet() {
			c.reused = true
			return c
		}
		if idle < min(p.config.MaxIdle, c.keepAlive) && c.quiet() {
			// Still good for requests that can be repeated; all others in the pool are older.
			p.put(c)
			return nil
		}
		c.Close()
	}
}

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

// Dial opens a connection.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	if !p.reserve() {
		return nil, ErrTooManyConnections
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
	return &Conn{
		pool:      p,
		nc:        nc,
		reader:    bufio.NewReaderSize(nc, p.config.BufferBytes),
		keepAlive: p.config.MaxIdle,
		usedAt:    time.Now(),
	}, nil
}

// Check finds out whether the upstream can be reached. The connection that it opens is kept for the next request. While a check runs,
// others do nothing.
func (p *Pool) Check(ctx context.Context) error {
	if !p.checking.CompareAndSwap(false, true) {
		return nil
	}
	defer p.checking.Store(false)
	c, err := p.Dial(ctx)
	if err != nil {
		return err
	}
	c.keep()
	return nil
}

// setUserTimeout makes a send to a peer that is gone without a reset fail.
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

// Trim closes connections that have been idle for longer than MaxIdle or that the upstream has closed.
func (p *Pool) Trim() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	var kept []*Conn
	for _, c := range idle {
		if time.Since(c.usedAt) < min(p.config.MaxIdle, c.keepAlive) && c.quiet() {
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

// DropIdle closes all idle connections, for instance because the upstream restarted.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Close closes the idle connections; those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.DropIdle()
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}
