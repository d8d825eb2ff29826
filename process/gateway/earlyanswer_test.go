package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/earlyserver"
)

// earlyBodyBytes is the size of a request that does not fit into the buffers of the sockets between the gateway and an upstream.
const earlyBodyBytes = 3_900_000

// newEarlyUpstream returns an upstream that answers when it has the head of a request, and calls end with the body unread.
func newEarlyUpstream(t *testing.T, id, protocol, answer string, end func(*net.TCPConn)) *fakeUpstream {
	server, err := earlyserver.Start(func(r *http.Request) string {
		if r.URL.Path == "/health" {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Upstream-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
		}
		return fmt.Sprintf("%s 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nConnection: close\r\n%s", protocol, r.Header.Get("Test-Id"), answer)
	}, end)
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Listener().Close() })
	return &fakeUpstream{id: id, listener: server.Listener()}
}

// sendLong sends requests with long bodies, a few at a time, and counts those that are answered with 200 and a whole body.
func (f *fixture) sendLong(path string, requests int) int {
	var complete atomic.Int32
	var senders sync.WaitGroup
	body := strings.Repeat("x", earlyBodyBytes)
	for sender := range 4 {
		senders.Go(func() {
			for i := sender; i < requests; i += 4 {
				r, err := http.NewRequest(http.MethodPost, fmt.Sprint("http://", f.gateway.settings.CallersAddress, path, i), strings.NewReader(body))
				if err != nil {
					panic(err)
				}
				r.Host = "a.test"
				r.Header.Set("Test-Id", fmt.Sprint("id-", i))
				r.Header.Set("Test-Deadline", "5000")
				r.Header.Set("Authorization", "Bearer key")
				response, err := f.client.Do(r)
				if err != nil {
					continue // aborted before the head
				}
				if _, err = io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
					complete.Add(1)
				}
				_ = response.Body.Close()
			}
		})
	}
	senders.Wait()
	return int(complete.Load())
}

// Guards against an answer without a length passing as complete although its connection was reset while the request was being written. Which of a read
// and a write meets the reset is a matter of chance, hence the number of requests.
func TestServe_ResetDuringUpload(t *testing.T) {
	const requests = 32
	answers := map[string]string{
		"/book/": "Content-Type: text/plain\r\n\r\nthe first part",
		"/look/": "Content-Type: text/plain\r\n\r\nthe first part",
		"/chat/": "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"/talk/": "Content-Type: text/event-stream\r\n\r\ndata: a\n\n",
	}
	for name, end := range map[string]func(*net.TCPConn){
		"reset": earlyserver.Reset, "closed with unread bytes": earlyserver.CloseUnread,
	} {
		for path, answer := range answers {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(name+path+protocol, func(t *testing.T) {
					f := newFixture(t, newEarlyUpstream(t, "a", protocol, answer, end))
					must.EqOp(t, 0, f.sendLong(path, requests))
				})
			}
		}
	}
}

// An answer that is complete before its request has been read must be passed on, however its end is told.
func TestServe_CompleteAnswerDuringUpload(t *testing.T) {
	const requests = 8
	for name, c := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
	}{
		"length":                {"Content-Length: 5\r\n\r\nwhole", earlyserver.Reset},
		"chunks":                {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", earlyserver.Reset},
		"end of the connection": {"\r\nwhole", earlyserver.EndThenReset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newEarlyUpstream(t, "a", "HTTP/1.1", c.answer, c.end))
			must.EqOp(t, requests, f.sendLong("/book/", requests))
		})
	}
}

// Guards against a stream that breaks off looking complete to a caller with HTTP/1.0, which has no chunks: only a reset shows it.
func TestStream_BrokenForCallerWithoutChunks(t *testing.T) {
	for name, complete := range map[string]bool{"broken": false, "complete": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
				return writeEventStream(conn, r, "data: a\n\n", complete)
			}))
			conn, err := net.Dial("tcp", f.gateway.settings.CallersAddress)
			must.NoError(t, err)
			defer conn.Close() //nolint:errcheck // ends with the test
			_, err = io.WriteString(conn, "GET /talk/1 HTTP/1.0\r\nHost: a.test\r\nTest-Id: 1\r\nAuthorization: Bearer key\r\n\r\n")
			must.NoError(t, err)
			text, err := io.ReadAll(conn)
			must.EqOp(t, complete, err == nil)
			if complete {
				must.StrHasSuffix(t, "\r\n\r\ndata: a\n\n", string(text))
			}
		})
	}
}
