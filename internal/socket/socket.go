// Package socket looks at sockets without reading from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a read from a socket would return.
type State uint8

// The states.
const (
	// Unknown means that the connection has no socket or the kernel did not tell.
	Unknown State = iota
	// Empty means that the connection is open and nothing has arrived.
	Empty
	// Readable means that data has arrived and has not been read.
	Readable
	// Ended means that the peer has closed or reset the connection.
	Ended
)

// Peek returns the state of a connection's socket. It costs one system call and does not block.
func Peek(conn net.Conn) State {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
			state = Empty
		default:
			state = Ended
		}
	})
	if err != nil {
		return Unknown
	}
	return state
}

// Unsent returns the number of bytes that were written to a connection and that its peer has not acknowledged. It returns false if the kernel did not
// tell.
func Unsent(conn syscall.Conn) (int, bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	var queryErr error
	err = raw.Control(func(fd uintptr) { n, queryErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n, err == nil && queryErr == nil
}
