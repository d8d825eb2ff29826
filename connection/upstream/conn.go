package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is one connection to an upstream. One goroutine uses it at a time; Abort may be called from any.
type Conn struct {
	pool   *Pool
	nc     net.Conn
	reader *bufio.Reader
	// keepAlive is how long the upstream keeps the connection when idle, as far as it says.
	keepAlive time.Duration
	usedAt    time.Time
	reused    bool
	once      sync.Once
}

// Reused says whether the connection served an earlier request. The upstream may have closed such a connection meanwhile.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.nc.Close() // the exchange is over; nothing depends on how the close went
		c.pool.release()
	})
}

// Abort makes reads and writes in progress fail.
func (c *Conn) Abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// keep returns the connection to its pool.
func (c *Conn) keep() {
	c.usedAt = time.Now()
	c.pool.put(c)
}

// quiet says whether an idle connection is open and has nothing to read. Bytes that arrive without a request belong to none.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
	})
	return err == nil && quiet
}
