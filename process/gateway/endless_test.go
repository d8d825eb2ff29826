package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// endless returns the handler of an upstream that writes a response's begin and then repeat until the connection is closed.
func endless(begin, repeat string) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\n%s", r.Header.Get("Test-Id"), begin)
		for block := strings.Repeat(repeat, 4096); err == nil; {
			_, err = io.WriteString(conn, block)
		}
		return false
	}
}

// A response without end must be given up long before the deadline, and the request must be served by another upstream.
func TestServe_ResponseWithoutEnd(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n\r\n"
	cases := map[string]struct{ path, begin, repeat string }{
		"head":                {"/look/", "Long: ", "x"},
		"body without length": {"/look/", "\r\n", "x"},
		"body in chunks":      {"/look/", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"event":               {"/chat/", stream + "id: 1\ndata: a\n\ndata: ", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := func(conn net.Conn, r *http.Request, body string) bool {
				if c.path == "/chat/" {
					return writeEventStream(conn, r, "id: 2\ndata: b\n\n", true)
				}
				return succeed(conn, r, body)
			}
			sick := newUpstream(t, "a", endless(c.begin, c.repeat))
			f := newFixture(t, sick, newUpstream(t, "b", answer))
			for i := 0; len(sick.received()) == 0; i++ {
				got := f.send(f.gateway, http.MethodGet, fmt.Sprint(c.path, i), nil)
				must.NoError(t, got.err)
				must.EqOp(t, http.StatusOK, got.status)
				must.Less(t, 1000, i)
			}
		})
	}
}

// A response of the maximum size must be forwarded; a longer one must not be.
func TestServe_ResponseSizeLimit(t *testing.T) {
	const limit = 1 << 14
	sizes := map[string]int{"/look/fits": limit, "/look/exceeds": limit + 1}
	serve := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 200, "", strings.Repeat("x", sizes[r.URL.Path]))
	}
	f := newFixture(t, newUpstream(t, "a", serve))
	s := f.settings("small")
	s.MaxResponseMB = limit / float64(1<<20)
	g := f.startUnmanaged(s, f.store)
	t.Cleanup(func() { g.Stop(context.Background()) })
	f.waitReady(g)
	must.EqOp(t, limit, len(f.send(g, http.MethodGet, "/look/fits", nil).body))
	must.EqOp(t, http.StatusBadGateway, f.send(g, http.MethodGet, "/look/exceeds", nil).status)
}
