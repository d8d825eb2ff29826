package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jayridge/jayridge/internal/socket"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/settings"
)

// connections returns both ends of a caller's connection. The gateway's end is tracked by calls.
func connections(t *testing.T, calls *callerTracker) (caller, ours net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	caller, err = net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	defaults := settings.GatewayDefaults()
	ours, err = callerListener{inner, bufferbudget.New(1 << 20), &defaults, newCallerGuard("callers", smallLimits(8), smallServing)}.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = ours.Close() })
	calls.track(ours, http.StateIdle)
	return caller, ours
}

// A connection from which part of the next request has been read must not be closed as idle, even if the server has not yet reported it as
// active: the request would be forwarded and its response lost.
func TestCloseIdle_RequestAlreadyRead(t *testing.T) {
	calls := newCallerTracker()
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

// A request that arrives while its connection is being closed must not be forwarded.
func TestCloseIdle_RequestDuringClose(t *testing.T) {
	calls := newCallerTracker()
	caller, ours := connections(t, calls)
	ours.(*callerConn).state.Store(connClosing) // between the decision and the end of the connection
	_, err := caller.Write([]byte("GET"))
	must.NoError(t, err)
	var b [8]byte
	n, err := ours.Read(b[:])
	must.EqOp(t, 0, n)
	must.Error(t, err)
}

// A connection on which a request has arrived must not be closed as idle although the server has not read it yet: the caller would get no answer.
func TestCloseIdle_RequestNotReadYet(t *testing.T) {
	calls := newCallerTracker()
	caller, ours := connections(t, calls)
	_, err := caller.Write([]byte("GET"))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return socket.Peek(ours.(*callerConn).TCPConn) == socket.Readable }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	must.EqOp(t, 1, calls.closeIdle(-1))
	var b [8]byte
	n, err := ours.Read(b[:])
	must.NoError(t, err)
	must.EqOp(t, 3, n)
	must.Zero(t, calls.closeIdle(-1), must.Sprint("its handler counts a request that has been read"))
	_, err = ours.Write([]byte("HTTP"))
	must.NoError(t, err)
}
