package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// connections returns both ends of a caller's connection, the gateway's tracked by calls.
func connections(t *testing.T, calls *callers) (caller, ours net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	caller, err = net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	ours, err = callerListener{inner}.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = ours.Close() })
	calls.track(ours, http.StateIdle)
	return caller, ours
}

// A connection whose next request has been read must not be closed as idle, although the server has not said yet that it is in use: the
// request would be passed on and its caller get no answer.
func TestCloseIdle_RequestAlreadyRead(t *testing.T) {
	calls := newCallers()
	caller, ours := connections(t, calls)
	_, err := caller.Write([]byte("GET"))
	must.NoError(t, err)
	var b [8]byte
	n, err := ours.Read(b[:])
	must.NoError(t, err)
	must.EqOp(t, 3, n)
	calls.closeIdle(-1)
	_, err = ours.Write([]byte("HTTP"))
	must.NoError(t, err)
	calls.track(ours, http.StateIdle)
	calls.closeIdle(-1)
	_, err = ours.Write([]byte("HTTP"))
	must.Error(t, err)
}

// A request that crosses the close of its connection must not be passed on.
func TestCloseIdle_RequestCrosses(t *testing.T) {
	calls := newCallers()
	caller, ours := connections(t, calls)
	_, err := caller.Write([]byte("GET"))
	must.NoError(t, err)
	calls.closeIdle(-1)
	var b [8]byte
	n, err := ours.Read(b[:])
	must.EqOp(t, 0, n)
	must.Error(t, err)
}
