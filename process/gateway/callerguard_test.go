package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/settings"
)

// startLimited starts a gateway with modified settings, stopped at the end of the test.
func (f *fixture) startLimited(modify func(*settings.Gateway)) *Gateway {
	s := f.settings("limited")
	modify(s)
	g := f.startUnmanaged(s, f.store)
	f.t.Cleanup(func() { g.Stop(context.Background()) })
	f.waitReady(g)
	return g
}

// status returns the status line of the next response on a connection, "" if the connection is closed.
func status(t *testing.T, conn net.Conn) string {
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	line, _ := bufio.NewReader(conn).ReadString('\n') // a closed connection has no line
	return strings.TrimSpace(line)
}

// A full listener must close connections without a complete request for new ones, the one longest without progress first, and never one whose request
// is at an upstream.
func TestGuard_LeastUsefulIsClosed(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		if strings.HasSuffix(r.URL.Path, "/held") {
			<-release
		}
		return succeed(conn, r, body)
	}))
	g := f.startLimited(func(s *settings.Gateway) { s.MaxConnections, s.MaxConnectionsPerAddress = 3, 3 })
	held := f.request(g, http.MethodGet, "/book/held", "")
	f.eventually("passed on", func() bool {
		return g.callers.requests.Load() == 1
	})
	f.eventually("at the upstream", func() bool { return len(g.balancer.Loads(time.Now())) > 0 })
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", g.settings.CallersAddress)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET /book/") // its server goroutine reads it before the next one is dialled
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		return conn
	}
	oldest, newer := dial(), dial()
	got := f.request(g, http.MethodGet, "/book/1", "")
	must.EqOp(t, "HTTP/1.1 200 OK", status(t, got))
	must.EqOp(t, "", status(t, oldest))
	_, err := io.WriteString(newer, "2 HTTP/1.1\r\nHost: a.test\r\nTest-Id: id\r\nAuthorization: Bearer key\r\n\r\n")
	must.NoError(t, err)
	must.EqOp(t, "HTTP/1.1 200 OK", status(t, newer))
	close(release)
	must.EqOp(t, "HTTP/1.1 200 OK", status(t, held))
}

// If all connections have requests at upstreams, a new one must be refused with a true response, and served once there is room.
func TestGuard_RefusesIfAllAreNeeded(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		<-release
		return succeed(conn, r, body)
	}))
	g := f.startLimited(func(s *settings.Gateway) { s.MaxConnections, s.MaxConnectionsPerAddress = 1, 1 })
	held := f.request(g, http.MethodGet, "/book/held", "Connection: close\r\n")
	f.eventually("at the upstream", func() bool { return len(g.balancer.Loads(time.Now())) > 0 })
	refused, err := net.Dial("tcp", g.settings.CallersAddress)
	must.NoError(t, err)
	defer refused.Close() //nolint:errcheck // the gateway has closed it
	must.EqOp(t, "HTTP/1.1 503 Service Unavailable", status(t, refused))
	close(release)
	must.EqOp(t, "HTTP/1.1 200 OK", status(t, held))
	f.eventually("served again", func() bool {
		conn := f.request(g, http.MethodGet, "/book/1", "Connection: close\r\n")
		return status(t, conn) == "HTTP/1.1 200 OK"
	})
}

// A head within the limits must be served while the gateway is calm, however many fields it has; one with more must be refused with 431, and one for
// which there is no memory with 503. None of the refused may reach an upstream, and all memory must be released.
func TestGuard_Heads(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "a%x:\r\n", i)
		}
		return b.String()
	}
	cases := map[string]struct {
		modify func(*settings.Gateway)
		header string
		want   string
	}{
		"62 KB of short fields":  {func(*settings.Gateway) {}, fields(8500), "HTTP/1.1 200 OK"},
		"little memory":          {func(s *settings.Gateway) { s.MemoryMB = 32 }, fields(8500), "HTTP/1.1 200 OK"},
		"62 KB in one field":     {func(*settings.Gateway) {}, "Long: " + strings.Repeat("x", 62_000) + "\r\n", "HTTP/1.1 200 OK"},
		"more than 64 KB":        {func(*settings.Gateway) {}, fields(12_000), "HTTP/1.1 431 Request Header Fields Too Large"},
		"more fields than set":   {func(s *settings.Gateway) { s.MaxHeadFields = 100 }, fields(200), "HTTP/1.1 431 Request Header Fields Too Large"},
		"as many fields as set":  {func(s *settings.Gateway) { s.MaxHeadFields = 100 }, fields(90), "HTTP/1.1 200 OK"},
		"no memory for the head": {func(s *settings.Gateway) { s.MemoryMB, s.BufferShare = 32, 0.01 }, fields(8500), "HTTP/1.1 503 Service Unavailable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			g := f.startLimited(c.modify)
			conn := f.request(g, http.MethodGet, "/book/1", c.header)
			must.EqOp(t, c.want, status(t, conn))
			must.EqOp(t, c.want == "HTTP/1.1 200 OK", len(u.received()) == 1)
			f.eventually("released", func() bool { return g.buffers.Stats().Reserved == 0 })
		})
	}
}

// Requests that are sent ahead must be served up to the limit. The connection must then be closed, which the last answer announces, and the requests
// that have no answer must not have run. A caller that waits for its answers must keep its connection.
func TestGuard_RequestsAhead(t *testing.T) {
	const limit = 5
	for name, body := range map[string]string{
		"without body": "\r\n", "with body": "Content-Length: 3\r\n\r\nabc", "in chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			g := f.startLimited(func(s *settings.Gateway) { s.MaxRequestsAhead = limit })
			text := "POST /book/1 HTTP/1.1\r\nHost: a.test\r\nTest-Id: id\r\nAuthorization: Bearer key\r\n" + body
			conn, err := net.Dial("tcp", g.settings.CallersAddress)
			must.NoError(t, err)
			defer conn.Close() //nolint:errcheck // the gateway sees the end either way
			reader := bufio.NewReader(conn)
			answer := func() (closes bool) {
				must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
				got, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				must.EqOp(t, http.StatusOK, got.StatusCode)
				_, err = io.Copy(io.Discard, got.Body)
				must.NoError(t, err)
				return got.Close
			}
			for range 3 * limit {
				_, err = io.WriteString(conn, text)
				must.NoError(t, err)
				must.False(t, answer())
			}
			_, err = io.WriteString(conn, strings.Repeat(text, 100))
			must.NoError(t, err)
			served := 1
			for !answer() {
				served++
			}
			must.Between(t, limit, served, 2*limit)
			must.EqOp(t, 3*limit+served, len(u.received()))
		})
	}
}

// headOf returns the head memory of a connection with a large budget.
func headOf() (*headMemory, *callerConn) {
	c := &callerConn{guard: newCallerGuard("test", smallLimits(8), smallServing), address: netip.MustParseAddr("127.0.0.1"), TCPConn: &net.TCPConn{}}
	c.head.budget, c.head.maxFields = bufferbudget.New(16<<20), 1000
	c.head.begin()
	return &c.head, c
}

// An ordinary head must reserve nothing and allocate nothing, also on a connection that is used again.
func TestHeadMemory_OrdinaryHeads(t *testing.T) {
	head, conn := headOf()
	text := "POST / HTTP/1.1\r\n" + strings.Repeat("Field: "+strings.Repeat("x", 40)+"\r\n", 22) + "\r\n"
	request := []byte(text + strings.Repeat("\n", 1000))
	must.EqOp(t, 0, testing.AllocsPerRun(10, func() {
		if err := head.add(conn, request); err != nil || head.complete(1000) != 0 || head.charged.Load() != 0 {
			t.Error("charged or taken for one sent ahead", err)
		}
		head.begin()
	}))
	must.EqOp(t, 0, head.budget.Stats().Reserved)
}

// The fields of a head that arrived in the buffer of the request before must be charged.
func TestHeadMemory_FieldsSentAhead(t *testing.T) {
	for name, content := range map[string]int64{"known length": 0, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			head, conn := headOf()
			must.NoError(t, head.add(conn, []byte("GET / HTTP/1.1\r\n\r\n"+strings.Repeat("a:\r\n", 900))))
			head.complete(content)
			must.NoError(t, head.add(conn, []byte("a"))) // net/http reads a byte while the request is in progress
			head.begin()
			must.NoError(t, head.add(conn, []byte("b:\r\n")))
			must.GreaterEq(t, 900*costPerField, int(head.charged.Load()))
			must.ErrorIs(t, head.add(conn, []byte(strings.Repeat("a:\r\n", 1001))), errTooManyFields)
			head.end()
			must.EqOp(t, 0, head.budget.Stats().Reserved)
		})
	}
}

// The derived limits must leave descriptors for files, upstreams, peers and the store, and keep the memory of idle connections to a part of the
// process's.
func TestCallerLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB        float64
		files           int
		least, atMost   int
		memoryIsTheLess bool
	}{
		{184, 4100, 2000, 2700, true}, {284, 6000, 3000, 4300, true}, {536, 8192, 5000, 5900, false}, {64, 256, minCallerConnections, 42, false},
	} {
		s := settings.GatewayDefaults()
		s.MemoryMB, s.MaxFiles = c.memoryMB, c.files
		got := callerLimits(&s, c.files)
		must.Between(t, c.least, got.Connections, c.atMost)
		must.Less(t, got.Connections, got.PerAddress)
		others := reservedFiles + metricsConnections + readyLimits(c.files).Connections
		must.Less(t, c.files, got.Connections+others)
		must.EqOp(t, c.memoryIsTheLess, got.Connections == int(callerMemoryShare*c.memoryMB*(1<<20)/connectionCost))
		s.MaxConnections, s.MaxConnectionsPerAddress = 77, 5
		got = callerLimits(&s, c.files)
		must.EqOp(t, 77, got.Connections)
		must.EqOp(t, 5, got.PerAddress)
	}
}

// Crowds at the readiness address must take no memory from callers, and a readiness check must be answered beside them.
func TestGuard_ReadyListenerHasItsOwnBounds(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	g := f.startLimited(func(s *settings.Gateway) { s.MaxFiles = 256 })
	text := "POST /readyz HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n" + strings.Repeat("a:\r\n", 10_000)
	for range 4 * minReady {
		conn, err := net.Dial("tcp", g.settings.ReadyAddress)
		must.NoError(t, err)
		defer conn.Close()                //nolint:errcheck // the gateway sees the end either way
		_, _ = io.WriteString(conn, text) // the gateway may refuse it at any time
	}
	f.eventually("ready", func() bool {
		got, err := f.client.Get("http://" + g.settings.ReadyAddress + "/readyz")
		if err != nil {
			return false
		}
		defer got.Body.Close() //nolint:errcheck // the status says it all
		return got.StatusCode == http.StatusOK
	})
	must.EqOp(t, 0, g.buffers.Stats().Reserved)
}

// A connection must not be closed to make room once its request is passed on, and no request must be passed on once its connection is being closed.
// The next request on the connection is not protected by the one before.
func TestGuard_Claims(t *testing.T) {
	calls := newCallerTracker()
	_, conn := connections(t, calls)
	c := conn.(*callerConn)
	must.True(t, c.passOn())
	c.evict(closedForRoom)
	_, err := c.Write([]byte("HTTP"))
	must.NoError(t, err)
	calls.track(c, http.StateIdle)
	must.False(t, c.State().Protected)
	c.evict(closedForRoom)
	must.False(t, c.passOn())
	_, err = c.Write([]byte("HTTP"))
	must.Error(t, err)
	must.EqOp(t, 1, c.guard.closed[closedForRoom].Load())
	must.EqOp(t, 0, c.guard.connections())
}

// Server goroutines of closed connections, which net/http keeps for a while, must not be started without limit.
func TestGuard_LingeringGoroutines(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	g := f.startLimited(func(s *settings.Gateway) { s.MaxConnections, s.MaxConnectionsPerAddress = 8, 8 })
	guard := g.metrics.guards[len(g.metrics.guards)-1]
	must.EqOp(t, "callers", guard.name)
	most := int64(0)
	for range 60 {
		conn := f.request(g, http.MethodPost, "/none/1", "Content-Length: 400000000\r\n")
		_, _ = conn.Write(make([]byte, 1000)) // the gateway refuses the request
		must.NoError(t, conn.Close())
		most = max(most, guard.serving.Load())
	}
	must.LessEq(t, guard.maxServing, most)
	f.eventually("ended", func() bool { return guard.serving.Load() == 0 && guard.connections() == 0 })
}

// A readiness check with a body must be answered, also if the body does not end, and its connection must not be kept: net/http would keep its
// goroutine for half a second, and a crowd of such requests would delay other checks.
func TestGuard_ReadyWithBody(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	guard := f.gateway.metrics.guards[0]
	must.EqOp(t, "ready", guard.name)
	for name, c := range map[string]struct {
		announced, sent int
		kept            bool
	}{
		"complete": {100, 100, true}, "unfinished": {100, 99, false}, "long": {1 << 20, 1000, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.gateway.settings.ReadyAddress)
			must.NoError(t, err)
			_, err = fmt.Fprintf(conn, "POST /readyz HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", c.announced, strings.Repeat("x", c.sent))
			must.NoError(t, err)
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			reader := bufio.NewReader(conn)
			got, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.EqOp(t, http.StatusOK, got.StatusCode)
			text, err := io.ReadAll(got.Body)
			must.NoError(t, err)
			must.EqOp(t, "ready\n", string(text))
			must.EqOp(t, c.kept, !got.Close)
			must.NoError(t, conn.Close())
			f.eventually("ended", func() bool { return guard.serving.Load() == 0 && guard.connections() == 0 })
		})
	}
}
