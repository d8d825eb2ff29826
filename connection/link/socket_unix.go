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

// readBuffers are pooled across connections: a process holds thousands of connections, and those waiting for data hold no
// buffer.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// newReader returns a buffered reader for a connection.
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
	r.tryReadFunc = r.tryRead
	return r
}

// socketReader reads from a socket through a pooled buffer, which it acquires when data has arrived and returns when all data
// has been read.
type socketReader struct {
	raw syscall.RawConn
	// tryReadFunc is the method value tryRead, kept because creating a method value allocates.
	tryReadFunc func(fd uintptr) bool
	buffer      *[readBufferBytes]byte
	// unread is the part of the buffer that has not been read yet.
	unread []byte
	// dst is the destination of the next read; nil means the buffer.
	dst []byte
	n   int
	err error
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
func (r *socketReader) receive(dst []byte) (int, error) {
	r.dst, r.n, r.err = dst, 0, nil
	err := r.raw.Read(r.tryReadFunc)
	r.dst = nil
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

// tryRead reads once. It returns false if no data has arrived; the runtime's poller then waits for data.
func (r *socketReader) tryRead(fd uintptr) bool {
	dst := r.dst
	if dst == nil {
		if r.buffer == nil {
			r.buffer = readBuffers.Get().(*[readBufferBytes]byte)
		}
		dst = r.buffer[:]
	}
	for {
		r.n, r.err = syscall.Read(int(fd), dst)
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

// release returns the buffer to the pool.
func (r *socketReader) release() {
	if r.buffer != nil {
		readBuffers.Put(r.buffer)
		r.buffer = nil
	}
}
