package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jayridge/jayridge/process/settings"
)

// startStalling starts a gateway with short times for stalled transfers.
func (f *fixture) startStalling(modify func(*settings.Gateway)) *Gateway {
	s := f.settings("stalling")
	s.CallerStallMS, s.LateCallerStallMS, s.UpstreamStallMS = 1000, 1000, 1000
	if modify != nil {
		modify(s)
	}
	g := f.startUnmanaged(s, f.store)
	f.t.Cleanup(func() { g.Stop(context.Background()) })
	f.waitReady(g)
	return g
}

// callerBufferBytes is the size of the receive buffers of callers that read slowly or not at all.
const callerBufferBytes = 4 << 10

// request writes the head of a request to a new connection, which reads with a small buffer.
func (f *fixture) request(g *Gateway, method, path, header string) net.Conn {
	conn, err := net.Dial("tcp", g.settings.CallersAddress)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(f.t, conn.(*net.TCPConn).SetReadBuffer(callerBufferBytes))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.test\r\nTest-Id: id%s\r\nAuthorization: Bearer key\r\n%s\r\n",
		method, path, strings.ReplaceAll(path, "/", "-"), header)
	must.NoError(f.t, err)
	return conn
}

// largeAnswer answers with a body of 3.9 MB.
func largeAnswer(conn net.Conn, r *http.Request, _ string) bool {
	return respond(conn, r.Header.Get("Test-Id"), 200, "", strings.Repeat("x", 3_900_000))
}

// A request whose caller does not read the answer must end soon after its deadline.
func TestServe_CallerDoesNotRead(t *testing.T) {
	event := "data: " + strings.Repeat("x", 16<<10) + "\n\n"
	answers := map[string]func(net.Conn, *http.Request, string) bool{
		"/chat/": endless("Content-Type: text/event-stream\r\n\r\n", event[:len(event)/64*64]),
		"/talk/": endless("Content-Type: text/event-stream\r\n\r\n", event),
		"/look/": largeAnswer,
		"/book/": largeAnswer,
	}
	for path, answer := range answers {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", answer))
			g := f.startStalling(func(s *settings.Gateway) { s.CallerStallMS, s.LateCallerStallMS = 5000, 1500 })
			const callers, deadline = 8, time.Second
			for i := range callers {
				f.request(g, http.MethodGet, fmt.Sprint(path, i), fmt.Sprintf("Test-Deadline: %d\r\n", deadline.Milliseconds()))
			}
			f.eventually("in progress", func() bool { return g.callers.requests.Load() == callers })
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return g.callers.requests.Load() == 0 }),
				wait.Timeout(deadline+2*time.Second), wait.Gap(10*time.Millisecond)))
			must.EqOp(t, 0, g.buffers.Stats().Reserved)
		})
	}
}

// A caller that reads slowly must get its whole answer, also after the deadline, and must not keep the upstream from other requests.
func TestServe_CallerReadsSlowly(t *testing.T) {
	const total = 15 << 20 // more than the kernel buffers
	f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 200, "", strings.Repeat("x", total))
	}))
	g := f.startStalling(func(s *settings.Gateway) { s.MaxResponseMB = 16 })
	conn := f.request(g, http.MethodGet, "/book/1", "Test-Deadline: 4000\r\nConnection: close\r\n")
	f.eventually("in progress", func() bool { return g.callers.requests.Load() == 1 && g.buffers.Stats().Reserved > 0 })
	f.eventually("taken", func() bool {
		load := g.balancer.Loads(time.Now())
		return len(load) == 0
	})
	must.EqOp(t, 1, g.callers.requests.Load())
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(1<<20)) // with the small one, loopback is slower than the caller
	read, start := 0, time.Now()
	for piece := make([]byte, 200<<10); ; time.Sleep(60 * time.Millisecond) {
		n, err := io.ReadFull(conn, piece)
		if read += n; err != nil {
			break
		}
	}
	must.GreaterEq(t, total, read)
	must.Greater(t, 4*time.Second, time.Since(start))
}

// A caller that sends its body slowly must be served; one that sends a byte now and then must be told that its request did not run.
func TestServe_SlowBodies(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	g := f.startStalling(nil)
	cases := map[string]struct {
		header, status string
		piece          int
	}{
		"sound":                   {fmt.Sprintf("Content-Length: %d\r\n", 3<<10), "HTTP/1.1 200", 100},
		"stalled":                 {fmt.Sprintf("Content-Length: %d\r\n", 3<<10), "HTTP/1.1 408", 1},
		"stalled before a denial": {fmt.Sprintf("Content-Length: %d\r\nAuthorization: Bearer other\r\n", 3<<10), "HTTP/1.1 ", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := f.request(g, http.MethodPost, "/book/"+name[:3], "Test-Deadline: 5000\r\n"+c.header)
			go func() {
				var err error
				for sent := 0; sent < 3<<10 && err == nil; sent += c.piece {
					_, err = conn.Write(bytes.Repeat([]byte("x"), min(c.piece, 3<<10-sent)))
					time.Sleep(50 * time.Millisecond)
				}
			}()
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(4*time.Second)))
			status := make([]byte, len(c.status))
			_, err := io.ReadFull(conn, status)
			must.NoError(t, err)
			must.EqOp(t, c.status, string(status))
			f.eventually("ended", func() bool { return g.callers.requests.Load() == 0 })
		})
	}
}

// slowly answers with a body of total bytes, in pieces with pauses.
func slowly(total, piece int, pause time.Duration) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Test-Id"), total)
		for sent := 0; sent < total && err == nil; sent += piece {
			_, err = conn.Write(bytes.Repeat([]byte("x"), min(piece, total-sent)))
			time.Sleep(pause)
		}
		return err == nil
	}
}

// An answer that arrives slowly must not be given up; one of which a byte arrives now and then must be, and another upstream must serve the request.
func TestServe_SlowAnswers(t *testing.T) {
	const total = 100_000
	cases := map[string]struct {
		serve func(net.Conn, *http.Request, string) bool
		want  int
	}{
		"sound":   {slowly(total, 8000, 50*time.Millisecond), total},
		"stalled": {slowly(total, 1, 50*time.Millisecond), len("done")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			slow := newUpstream(t, "a", c.serve)
			f := newFixture(t, slow, newUpstream(t, "b", succeed))
			for i := 0; len(slow.received()) == 0; i++ {
				got := f.send(f.gateway, http.MethodGet, fmt.Sprint("/look/", i), nil)
				must.EqOp(t, http.StatusOK, got.status)
				if len(slow.received()) > 0 {
					must.EqOp(t, c.want, len(got.body))
				}
				must.Less(t, 1000, i)
			}
		})
	}
}

// A stream on which only comments arrive must be resumed at another upstream.
func TestStream_CommentsAreNoProgress(t *testing.T) {
	for name, begin := range map[string]string{"after an event": "id: 1\ndata: a\n\n", "from the start": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			sick := newUpstream(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n%s",
					r.Header.Get("Test-Id"), begin)
				for ; err == nil; time.Sleep(50 * time.Millisecond) {
					_, err = io.WriteString(conn, ":\n\n")
				}
				return false
			})
			sound := newUpstream(t, "b", func(conn net.Conn, r *http.Request, _ string) bool {
				text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
				if r.Header.Get("Last-Event-Id") == "1" {
					text = "id: 2\ndata: b\n\n"
				}
				return writeEventStream(conn, r, text, true)
			})
			f := newFixture(t, sick, sound)
			f.config.Version = 2
			for i := range f.config.Routes {
				f.config.Routes[i].TargetEventGap = 100 * time.Millisecond
			}
			f.store.put("config", f.config)
			f.eventually("changed", func() bool { return f.gateway.view.Load().table.Version() == 2 })
			for i := 0; len(sick.received()) == 0; i++ {
				got := f.send(f.gateway, http.MethodGet, fmt.Sprint("/chat/", i), nil)
				must.NoError(t, got.err)
				must.StrContains(t, got.body, "id: 2\ndata: b\n\n")
				must.Less(t, 1000, i)
			}
		})
	}
}

// An answer for which there is no memory must reach the caller as it arrives, and must not look complete if the rest is lost.
func TestServe_AnswerWithoutMemory(t *testing.T) {
	const total = 1 << 20
	cases := map[string]struct {
		header string
		sent   int
	}{
		"whole":                  {fmt.Sprintf("Content-Length: %d\r\n", total), total},
		"cut":                    {fmt.Sprintf("Content-Length: %d\r\n", total), total / 2},
		"chunked":                {"Transfer-Encoding: chunked\r\n", total},
		"chunked, cut":           {"Transfer-Encoding: chunked\r\n", total / 2},
		"larger than any may be": {"Connection: close\r\n", 5 << 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
				text := strings.Repeat("x", c.sent)
				if strings.HasPrefix(c.header, "Transfer") {
					if text = fmt.Sprintf("%x\r\n%s", total, text); c.sent == total {
						text += "\r\n0\r\n\r\n"
					}
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\n%s\r\n%s", r.Header.Get("Test-Id"), c.header, text)
				return false
			}))
			g := f.startStalling(func(s *settings.Gateway) { s.MemoryMB, s.BufferShare = 32, 0.01 })
			got := f.send(g, http.MethodGet, "/look/1", nil)
			must.EqOp(t, http.StatusOK, got.status)
			must.EqOp(t, c.sent == total, got.err == nil, must.Sprint(got.err))
			if c.sent == total {
				must.EqOp(t, total, len(got.body))
			}
			f.eventually("released", func() bool { return g.buffers.Stats().Reserved == 0 })
		})
	}
}
