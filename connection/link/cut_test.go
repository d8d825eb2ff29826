package link

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

var errCut = errors.New("cut")

// cutConn closes the connection after a number of bytes in one direction. It records the data transferred before that.
type cutConn struct {
	net.Conn
	mu        sync.Mutex
	writeLeft int
	readLeft  int
	written   []byte
	read      []byte
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	left := c.writeLeft
	c.mu.Unlock()
	n, err := c.Conn.Write(p[:min(left, len(p))])
	c.mu.Lock()
	c.writeLeft -= n
	c.written = append(c.written, p[:n]...)
	c.mu.Unlock()
	if err == nil && n < len(p) {
		err = errors.Join(errCut, c.Close())
	}
	return n, err
}

func (c *cutConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	left := c.readLeft
	c.mu.Unlock()
	if left == 0 {
		return 0, errors.Join(errCut, c.Close())
	}
	n, err := c.Conn.Read(p[:min(left, len(p))])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLeft -= n
	c.read = append(c.read, p[:n]...)
	return n, err
}

// boundaries returns the offsets at which the frames in data start and end.
func boundaries(t *testing.T, data []byte) (offsets []int) {
	frames := wire.NewReader(bytes.NewReader(data))
	at := 0
	for at < len(data) {
		offsets = append(offsets, at)
		f, err := frames.Next()
		must.NoError(t, err)
		at += f.Bytes
	}
	return append(offsets, at)
}

const unlimited = 1 << 30

// exchange performs a handshake and a request over a connection that is closed after the given number of bytes.
func exchange(t *testing.T, writeLeft, readLeft int) (nc *cutConn, s *Stream, data string, code result.Code, err error) {
	server, dial := startServer(t, DefaultConfig(), &testHandler{open: echo})
	defer func() { _ = server.Close() }()
	nc = &cutConn{Conn: dial(), writeLeft: writeLeft, readLeft: readLeft}
	h := &testHandler{}
	c, err := Client(t.Context(), nc, DefaultConfig(), testHello("client"), h)
	if err != nil {
		must.SliceEmpty(t, h.closed)
		return nc, nil, "", 0, err
	}
	s, err = c.Open(t.Context(), testOpen(1, "shirts"))
	if err == nil {
		data, code, err = collect(s)
	}
	_ = c.Close()
	<-c.Done()
	must.Len(t, 1, h.closed)
	must.ErrorIs(t, h.closed[0], ErrConnectionLost)
	return nc, s, data, code, err
}

// A response that was cut off must be reported as lost and never as complete. A request of which at least one byte was sent
// must never be reported as not sent, because its caller would run it again.
func TestCutAtEveryFrame(t *testing.T) {
	whole, _, data, code, err := exchange(t, unlimited, unlimited)
	must.NoError(t, err)
	must.Eq(t, "shirtsend", data)
	must.EqOp(t, result.OK, code)
	out, in := boundaries(t, whole.written), boundaries(t, whole.read)
	must.Len(t, 1+3, out) // Hello, Open, Window
	must.Len(t, 1+5, in)  // Hello, Accepted, two Chunks, End
	for _, direction := range []struct {
		name    string
		offsets []int
		// established is the offset of the first byte after the handshake.
		established int
	}{{"write", out, out[1]}, {"read", in, in[1]}} {
		total := direction.offsets[len(direction.offsets)-1]
		for _, offset := range direction.offsets {
			for cut := max(0, offset-1); cut <= min(offset+1, total); cut++ {
				t.Run(fmt.Sprint(direction.name, cut), func(t *testing.T) {
					writeLeft, readLeft := cut, unlimited
					if direction.name == "read" {
						writeLeft, readLeft = unlimited, cut
					}
					nc, s, data, _, err := exchange(t, writeLeft, readLeft)
					if cut == total {
						must.NoError(t, err)
						must.Eq(t, "shirtsend", data)
						return
					}
					must.Error(t, err)
					if s == nil {
						// Either the handshake failed, or the connection ended before Open.
						must.True(t, cut < direction.established || errors.Is(err, ErrConnectionLost))
						return
					}
					must.ErrorIs(t, err, ErrConnectionLost)
					test.EqOp(t, len(nc.written) > out[1], s.Sent())
				})
			}
		}
	}
}
