package orderly

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jayridge/jayridge/internal/socket"
)

// part is what the peer sends before it ends its data.
const part = "the first part"

// longWrite does not fit into the buffers of the two sockets.
const longWrite = 64 << 20

// connect returns both ends of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close() //nolint:errcheck // the connection stays open
	dialed, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	peer, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), peer.Close() })
	must.NoError(t, dialed.SetDeadline(time.Now().Add(20*time.Second)))
	return New(dialed), peer.(*net.TCPConn)
}

// writeLong writes more than the peer takes, and sends the error.
func writeLong(c *Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, longWrite))
		failed <- err
	}()
	return failed
}

func waitFor(t *testing.T, what string, condition func() bool) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

// blocked waits until a write has begun and makes no progress.
func blocked(t *testing.T, c *Conn) {
	before := -1
	waitFor(t, "the write is blocked", func() bool {
		time.Sleep(20 * time.Millisecond)
		unsent, ok := socket.Unsent(c)
		same := ok && unsent > 0 && unsent == before
		before = unsent
		return same
	})
}

// Guards against a reset that a write has met being read as the orderly end of the peer's data.
func TestRead_ResetDuringWrite(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"reset":                    func(peer *net.TCPConn) error { return errors.Join(peer.SetLinger(0), peer.Close()) },
		"closed with unread bytes": func(peer *net.TCPConn) error { return peer.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			failed := writeLong(c)
			_, err := io.WriteString(peer, part)
			must.NoError(t, err)
			blocked(t, c)
			must.NoError(t, end(peer))
			must.ErrorIs(t, <-failed, syscall.ECONNRESET)
			text, err := io.ReadAll(c)
			must.EqOp(t, part, string(text))
			must.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// The end of the peer's data is orderly although the peer does not read what is being written, and also if it resets the connection afterwards.
func TestRead_OrderlyEndDuringWrite(t *testing.T) {
	for name, resets := range map[string]bool{"stays open": false, "resets later": true} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			failed := writeLong(c)
			_, err := io.WriteString(peer, part)
			must.NoError(t, errors.Join(err, peer.CloseWrite()))
			blocked(t, c)
			if resets {
				must.NoError(t, errors.Join(peer.SetLinger(0), peer.Close()))
				must.ErrorIs(t, <-failed, syscall.EPIPE)
			}
			text, err := io.ReadAll(c)
			must.NoError(t, err)
			must.EqOp(t, part, string(text))
		})
	}
}

// The end of the data must be told without a write, after a complete one and for a reset that meets the read.
func TestRead_NoWriteInProgress(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			_, err := c.Write([]byte("request"))
			must.NoError(t, err)
			_, err = io.ReadFull(peer, make([]byte, len("request")))
			must.NoError(t, err)
			if reset {
				must.NoError(t, peer.SetLinger(0))
			}
			must.NoError(t, peer.Close())
			_, err = io.ReadAll(c)
			must.EqOp(t, reset, errors.Is(err, syscall.ECONNRESET))
			must.EqOp(t, !reset, err == nil)
		})
	}
}
