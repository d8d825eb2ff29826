package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jayridge/jayridge/internal/socket"
)

// Conn is one connection to an upstream. It is used by one goroutine at a time; Abort may be called from any goroutine.
type Conn struct {
	pool *Pool
	nc   net.Conn
	// limited bounds what reader may read from nc.
	limited *limitedReader
	reader  *bufio.Reader
	// keepAlive is how long the upstream keeps the connection open while idle, as far as it states it.
	keepAlive time.Duration
	usedAt    time.Time
	reused    bool
	// skipped is the number of responses to other requests that were read. The connection is not reused after one.
	skipped int
	once    sync.Once
}

// Reused reports whether the connection has served an earlier request. The upstream may have closed such a connection in the
// meantime.
func (c *Conn) Reused() bool { return c.reused }

// Skipped returns the number of responses that were read during the exchange and belong to other requests.
func (c *Conn) Skipped() int { return c.skipped }

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.nc.Close() // the exchange is over, so the error has no consequence
		c.pool.release()
	})
}

// Abort makes reads and writes in progress fail.
func (c *Conn) Abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// returnToPool makes the connection available for another request.
func (c *Conn) returnToPool() {
	c.usedAt = time.Now()
	c.pool.put(c)
}

// reusable reports whether an idle connection is open and has no unread data. Data that arrives without a request belongs to
// no request.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.nc.(syscall.Conn); !ok {
		return true
	}
	return socket.Peek(c.nc) == socket.Empty
}
