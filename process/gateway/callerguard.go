package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jayridge/jayridge/connection/connlimit"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// reservedFiles is the number of descriptors for files and for sockets that are none of callers, upstreams, peers or the store.
	reservedFiles = 200
	// callerFilesShare is the part of the other descriptors for callers' connections. Connections to upstreams, peers and the store have the rest.
	callerFilesShare = 0.75
	// callerMemoryShare is the part of the process's memory for what connections hold that is not in the budget, at connectionCost each: the stack of
	// a goroutine and net/http's two buffers. 300 connections with part of a head took 6 MB.
	callerMemoryShare = 0.25
	connectionCost    = 20 << 10
	// perAddressShare is the part of the connections that one address may have.
	perAddressShare = 0.9
	// minCallerConnections is the minimum of the derived number of connections.
	minCallerConnections = 8
	// readyFilesShare, minReady and maxReady give the number of connections of the readiness listener, metricsConnections is that of the metrics
	// listener. Checks come from a few load balancers, mostly on a new connection each.
	readyFilesShare    = 1.0 / 32
	minReady, maxReady = 16, 128
	metricsConnections = 16
	// smallAddressShare is the part of these connections that one address may have.
	smallAddressShare = 0.75
	// smallBufferBytes and smallBufferShare limit the budget of the readiness and the metrics listener, in bytes and as a part of the process's
	// memory. It holds a head of 64 KiB in short fields.
	smallBufferBytes = 8 << 20
	smallBufferShare = 1.0 / 16
	// refuseTimeout is how long a refusal of a connection may take.
	refuseTimeout = 100 * time.Millisecond
	// maxAdmitTries is how often room is looked for while victims pass their requests on at the same time.
	maxAdmitTries = 8
	// callerServing and smallServing give the number of server goroutines as a factor of the number of connections.
	callerServing, smallServing = 1.25, 4
	// maxServingWait is longer than goroutines of closed connections last, servingPoll the interval of the checks.
	maxServingWait, servingPoll = time.Second, 2 * time.Millisecond
	// freedShare is the part of the connections that are closed if the process has no descriptor left, so that there are some for upstreams too.
	freedShare = 1.0 / 16
)

// availableFiles returns the number of descriptors that the process may have.
func availableFiles(s *settings.Gateway) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(s.MaxFiles) {
		return int(limit.Cur)
	}
	return s.MaxFiles
}

// smallLimits returns the limits of a listener with few connections.
func smallLimits(connections int) connlimit.Config {
	return connlimit.Config{Connections: connections, PerAddress: int(smallAddressShare * float64(connections))}
}

// readyLimits returns the limits of the readiness listener.
func readyLimits(files int) connlimit.Config {
	return smallLimits(max(minReady, min(maxReady, int(readyFilesShare*float64(files)))))
}

// callerLimits returns the limits of the callers' listener.
func callerLimits(s *settings.Gateway, files int) connlimit.Config {
	c := connlimit.Config{Connections: s.MaxConnections, PerAddress: s.MaxConnectionsPerAddress}
	if c.Connections == 0 {
		byFiles := callerFilesShare * float64(files-reservedFiles-metricsConnections-readyLimits(files).Connections)
		byMemory := callerMemoryShare * s.MemoryMB * (1 << 20) / connectionCost
		c.Connections = max(minCallerConnections, int(min(byFiles, byMemory)))
	}
	if c.PerAddress == 0 {
		c.PerAddress = max(1, int(perAddressShare*float64(c.Connections)))
	}
	return c
}

// smallBudget returns the memory budget of the readiness or the metrics listener.
func smallBudget(s *settings.Gateway) *bufferbudget.Budget {
	return bufferbudget.New(min(smallBufferBytes, int64(smallBufferShare*s.MemoryMB*(1<<20))))
}

// closedReason is why a connection was closed or refused.
type closedReason uint8

// The reasons.
const (
	// closedForRoom and closedForAddress mean that another connection needed the place, refusedFull that there was no place for a new one.
	closedForRoom closedReason = iota
	closedForAddress
	refusedFull
	// closedForMemory means that another message needed the memory, refusedMemory that there was none for a head.
	closedForMemory
	refusedMemory
	// closedForFiles means that the process had no descriptor left.
	closedForFiles
	refusedFields

	closedReasons
)

func (r closedReason) String() string {
	return [closedReasons]string{"connections", "address-connections", "full", "memory", "no-memory", "descriptors", "fields"}[r]
}

// callerGuard limits the connections of one listener.
type callerGuard struct {
	name string
	// serving is the number of connections whose server goroutines have not ended. net/http keeps one for half a second after it has answered a request
	// whose body was not read, also if the connection has been closed since. maxServing limits it, since each holds memory.
	serving    atomic.Int64
	maxServing int64
	closed     [closedReasons]atomic.Int64

	mu    sync.Mutex
	table *connlimit.Table[*callerConn]
}

func newCallerGuard(name string, limits connlimit.Config, servingFactor float64) *callerGuard {
	return &callerGuard{
		name: name, maxServing: int64(servingFactor * float64(limits.Connections)), table: connlimit.New[*callerConn](limits),
	}
}

// awaitRoom waits while too many server goroutines of closed connections have not ended, for maxServingWait at most. New connections wait in the
// kernel.
func (g *callerGuard) awaitRoom() {
	for start := time.Now(); g.serving.Load() >= g.maxServing && time.Since(start) < maxServingWait; {
		time.Sleep(servingPoll)
	}
}

// count counts and logs that a connection was closed or refused.
func (g *callerGuard) count(c *callerConn, reason closedReason) {
	g.closed[reason].Add(1)
	event.LogSampled(event.CallerConnectionClosed, "listener", g.name, "reason", reason.String(), "address", c.address.String(),
		"bytes", c.State().Bytes)
}

// connections returns the number of open connections.
func (g *callerGuard) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len()
}

// admit adds a new connection. If there is no room, the least useful one is closed. If all are needed, the new one is refused and closed.
func (g *callerGuard) admit(c *callerConn) bool {
	for range maxAdmitTries {
		g.mu.Lock()
		decision := g.table.Add(c)
		if decision == connlimit.Accepted {
			g.mu.Unlock()
			g.serving.Add(1)
			return true
		}
		victim, found := g.table.LeastUseful(bootclock.Now(), c, decision)
		g.mu.Unlock()
		if !found {
			break
		}
		reason := closedForRoom
		if decision == connlimit.AddressFull {
			reason = closedForAddress
		}
		victim.evict(reason)
	}
	g.count(c, refusedFull)
	c.refuse(unavailableResponse)
	_ = c.Close() // an error does not keep it open
	return false
}

// freeDescriptors closes some of the connections because the process has no descriptor left.
func (g *callerGuard) freeDescriptors() {
	for range max(1, int(freedShare*float64(g.connections()))) {
		g.mu.Lock()
		victim, found := g.table.LeastUseful(bootclock.Now(), nil, connlimit.Full)
		g.mu.Unlock()
		if !found {
			return
		}
		victim.evict(closedForFiles)
	}
}

func (g *callerGuard) remove(c *callerConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(c)
}

// The claims on a connection. Only an open one is closed to make room, and only the request of an open one is passed on.
const (
	connOpen int32 = iota
	connPassedOn
	connEvicted
)

// Address implements connlimit.Conn. It is the zero address for no connection.
func (c *callerConn) Address() netip.Addr {
	if c == nil {
		return netip.Addr{}
	}
	return c.address
}

// State implements connlimit.Conn.
func (c *callerConn) State() connlimit.State {
	return connlimit.State{
		Protected: c.claim.Load() != connOpen, // or it is being closed
		Bytes:     c.head.charged.Load() + c.bodyBytes.Load(),
		Progress:  time.Unix(0, c.progress.Load()),
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.guard.remove(c)
	return c.TCPConn.Close()
}

// ended records that the server goroutine of the connection ends.
func (c *callerConn) ended() {
	c.head.end()
	c.guard.serving.Add(-1)
}

// evict closes the connection to make room, unless its request is passed on.
func (c *callerConn) evict(reason closedReason) {
	if c.claim.CompareAndSwap(connOpen, connEvicted) {
		c.guard.count(c, reason)
		_ = c.Close() // the server's next read or write fails and it drops the connection
	}
}

// passOn records that the request is passed on to an upstream: from now on the connection is not closed to make room. It returns false if it has been
// closed for that.
func (c *callerConn) passOn() bool {
	return c.head.keep() == nil && c.claim.CompareAndSwap(connOpen, connPassedOn)
}

// Responses to requests that have not been read completely. Retry-After is overloadRetryAfter.
const (
	unavailableResponse   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooManyFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refuse writes a response to a request that has not been read completely. Nothing else may be written at the same time.
func (c *callerConn) refuse(response string) {
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout)) // fails only if the connection is closed
	_, _ = io.WriteString(c.TCPConn, response)            // fails only if the caller is gone
	_ = c.CloseWrite()                                    // fails only if the connection is closed
}

// maxDiscardedHead is how much of a refused head is read. A connection with unread bytes is reset when it is closed, and its peer may lose the
// response.
const maxDiscardedHead = 256 << 10

// refuseHead responds to a head that is not accepted and reads what follows into p. It returns an error after which the server writes no other
// response.
func (c *callerConn) refuseHead(p []byte, reason error) error {
	if errors.Is(reason, errTooManyFields) {
		c.guard.count(c, refusedFields)
		c.refuse(tooManyFieldsResponse)
	} else {
		c.guard.count(c, refusedMemory)
		c.refuse(unavailableResponse)
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
	for discarded := 0; discarded < maxDiscardedHead; {
		n, err := c.TCPConn.Read(p)
		if discarded += n; err != nil {
			break
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

func addressOf(conn *net.TCPConn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

const (
	// smallBody is the size up to which a body of a request to a small listener is read, smallBodyTimeout how long that may take.
	smallBody        = 4 << 10
	smallBodyTimeout = 10 * time.Millisecond
)

// smallHandler serves the requests of a listener with few connections, which do not use bodies. The connection of a request whose body is long or
// late is closed with the response: net/http would keep its goroutine for half a second more, so that a crowd of them would delay readiness checks
// by as much.
func smallHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := callerConnOf(r)
		if c == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.head.complete(r.ContentLength)
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(smallBodyTimeout)) // always supported by the net/http server's writer
		if _, err := io.CopyN(io.Discard, r.Body, smallBody+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{}) // always supported by the net/http server's writer
			next.ServeHTTP(w, r)
			return
		}
		conn, _, err := control.Hijack()
		if err != nil {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		defer c.ended()
		defer conn.Close() //nolint:errcheck // an error does not keep it open
		response := bareResponse{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(&response, r)
		_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout)) // fails only if the connection is closed
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			response.status, http.StatusText(response.status), response.body.Len(), response.body.Bytes()) // fails only if the caller is gone
	})
}

// bareResponse is a response that is held in memory.
type bareResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *bareResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *bareResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *bareResponse) Write(p []byte) (int, error) { return r.body.Write(p) }
