//go:build unix

package link

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The pooled buffer must not lose, repeat or corrupt data, and must be returned while the connection waits for data. Read must
// report a deadline and the end of the connection.
func TestSocketReader(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	theirs, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	ours, err := ln.Accept()
	must.NoError(t, err)
	defer ours.Close()
	random := rand.New(rand.NewPCG(1, 1))
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(random.Uint32())
	}
	go func() {
		for rest := sent; len(rest) > 0; {
			n := min(1+rand.IntN(3*readBufferBytes), len(rest))
			_, _ = theirs.Write(rest[:n])
			rest = rest[n:]
		}
	}()
	reader := newReader(ours)
	var got []byte
	for len(got) < len(sent) {
		part := make([]byte, 1+random.IntN(2*readBufferBytes))
		n, err := reader.Read(part)
		must.NoError(t, err)
		got = append(got, part[:n]...)
	}
	must.True(t, bytes.Equal(sent, got))
	must.NoError(t, ours.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err = reader.Read(make([]byte, 10))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.Nil(t, reader.(*socketReader).buffer)
	must.NoError(t, ours.SetReadDeadline(time.Time{}))
	must.NoError(t, theirs.Close())
	_, err = reader.Read(make([]byte, 10))
	must.EqOp(t, io.EOF, err)
	must.NoError(t, ours.Close())
	_, err = reader.Read(make([]byte, 10))
	must.ErrorIs(t, err, net.ErrClosed)
}
