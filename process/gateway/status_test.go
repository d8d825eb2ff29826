package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against waiting until the deadline after a response whose status is none of HTTP, and against passing it on.
func TestServe_InvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			sick := newUpstream(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Length: 6\r\n\r\nbroken", status, r.Header.Get("Test-Id"))
				return err == nil
			})
			f := newFixture(t, sick)
			got := f.send(f.gateway, http.MethodPost, "/book/1", nil)
			must.EqOp(t, http.StatusBadGateway, got.status)
			must.EqOp(t, "", got.header.Get("Test-Signature"))
			must.StrNotContains(t, got.body, "broken")

			// A request that may be repeated is served by another upstream.
			f = newFixture(t, sick, newUpstream(t, "b", succeed))
			seen := len(sick.received())
			for i := 0; len(sick.received()) == seen; i++ {
				must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, fmt.Sprint("/look/", i), nil).status)
				must.Less(t, 1000, i)
			}
		})
	}
}

// An interim response is followed by the final one.
func TestServe_InterimResponse(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		return err == nil && succeed(conn, r, body)
	}))
	got := f.send(f.gateway, http.MethodPost, "/book/1", nil)
	must.EqOp(t, http.StatusOK, got.status)
	must.EqOp(t, "done", got.body)
}
