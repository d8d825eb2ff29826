//go:build unix

package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// readBuffers are pooled across connections: a process holds thousands of connections, and those that wait for data hold none.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// newReader returns a buffered reader of a connection.
func newReader(nc net.Conn) io.Reader {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return bufio.NewReaderSize(nc, readBufferBytes)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return bufio.NewReaderSize(nc, readBufferBytes)
	}
	r := &socketReader{raw: raw}
	r.attempt = r.tryRead
	return r
}

// socketReader reads from a socket through a buffer that it takes from the pool when data has arrived and returns when all of it has
// been read.
type socketReader struct {
	raw syscall.RawConn
	// attempt is tryRead, kept because a method value allocates.
	attempt func(fd uintptr) bool
	buffer  *[readBufferBytes]byte
	// unread is the part of the buffer that has not been returned.
	unread []byte
	// into is where the next data goes; nil for the buffer.
	into []byte
	n    int
	err  error
}

// Read implements io.Reader. Reads of at least the size of the buffer bypass it.
func (r *socketReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if len(r.unread) == 0 {
		if len(p) >= readBufferBytes {
			return r.receive(p)
		}
		n, err := r.receive(nil)
		if err != nil {
			r.release()
			return 0, err
		}
		r.unread = r.buffer[:n]
	}
	n := copy(p, r.unread)
	if r.unread = r.unread[n:]; len(r.unread) == 0 {
		r.release()
	}
	return n, nil
}

// receive waits for data and reads it.
func (r *socketReader) receive(into []byte) (int, error) {
	r.into, r.n, r.err = into, 0, nil
	err := r.raw.Read(r.attempt)
	r.into = nil
	switch {
	case err != nil:
		return 0, err
	case r.err != nil:
		return 0, os.NewSyscallError("read", r.err)
	case r.n == 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// tryRead reads once. It returns false if no data has arrived; the runtime's poller then waits for some.
func (r *socketReader) tryRead(fd uintptr) bool {
	into := r.into
	if into == nil {
		if r.buffer == nil {
			r.buffer = readBuffers.Get().(*[readBufferBytes]byte)
		}
		into = r.buffer[:]
	}
	for {
		r.n, r.err = syscall.Read(int(fd), into)
		switch {
		case errors.Is(r.err, syscall.EINTR):
			continue
		case errors.Is(r.err, syscall.EAGAIN):
			r.release()
			return false
		}
		return true
	}
}

func (r *socketReader) release() {
	if r.buffer != nil {
		readBuffers.Put(r.buffer)
		r.buffer = nil
	}
}
