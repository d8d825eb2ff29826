// Package orderly tells the orderly end of the data of a TCP connection from a reset.
//
// The kernel reports a reset to the first call that meets it, and only to that one. If that call is a write, since a request is still being written when
// its connection is reset, reads return what has arrived and then io.EOF, as after an orderly end. A response that ends with its connection would look
// complete.
package orderly

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its data in an orderly way. One goroutine may read while another writes;
// the other methods may be called at any time.
type Conn struct {
	net.Conn
	// idle holds one value unless a write is in progress.
	idle chan struct{}
	// writeErr is the first error of a write. It may be accessed by the one who has taken the value from idle.
	writeErr error
}

// New returns a Conn that uses c, which must not be used directly any more.
func New(c net.Conn) *Conn {
	conn := &Conn{Conn: c, idle: make(chan struct{}, 1)}
	conn.idle <- struct{}{}
	return conn
}

// Write implements io.Writer. It fails with os.ErrDeadlineExceeded if it is in progress when Read meets the end of the peer's data.
func (c *Conn) Write(p []byte) (int, error) {
	<-c.idle
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.idle <- struct{}{}
	return n, err
}

// Read implements io.Reader. If the peer's data ends because the connection has failed, it returns that failure and not io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			return 0, fmt.Errorf("the connection failed before the end of the data: %w", failure)
		}
	}
	return n, err
}

// writeFailure ends a write in progress and returns the error with which the connection has failed in a write, nil if it has not.
func (c *Conn) writeFailure() error {
	// The write has met the failure, if there is one: otherwise the read would have met it. What it has left to write is of no use, since no answer
	// can follow.
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection was closed on this side, which ends the write as well
	<-c.idle
	err := c.writeErr
	c.idle <- struct{}{}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return nil // ended on this side
	case errors.Is(err, syscall.EPIPE):
		return nil // Linux reports a reset in this way if the peer had ended its data before
	default:
		return err
	}
}

// SyscallConn implements syscall.Conn. It fails if the connection is not a socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, trace.BadParameter("%T is not a socket", c.Conn)
	}
	return socket.SyscallConn()
}
