package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// repeatingUpstream is an upstream that refuses every second request of a connection and writes a copy of that refusal before the answer to the
// next one, or instead of it.
type repeatingUpstream struct {
	*fakeUpstream
	mu sync.Mutex
	// runs counts the executions by request ID.
	runs map[string]int
	// refusals are the latest refusals by connection.
	refusals map[net.Conn]string
	// splits counts the refusals that arrived in two parts. Each is split at another byte.
	splits int
}

// repeatedRefusal describes the copy of a refusal.
type repeatedRefusal struct {
	status int
	// id returns the lines of its head that name the refused request.
	id func(request string) []string
	// lineEnd is the end of the lines of its head.
	lineEnd string
	// split makes it arrive in two parts, the first of which mostly ends within a line.
	split bool
	// instead means that it takes the place of the true answer; otherwise it precedes it.
	instead bool
}

func newRepeatingUpstream(t *testing.T, id string, how repeatedRefusal) *repeatingUpstream {
	u := &repeatingUpstream{runs: make(map[string]int), refusals: make(map[net.Conn]string)}
	u.fakeUpstream = newUpstream(t, id, func(conn net.Conn, r *http.Request, _ string) bool { return u.answer(conn, r, how) })
	return u
}

func (u *repeatingUpstream) answer(conn net.Conn, r *http.Request, how repeatedRefusal) bool {
	id := r.Header.Get("Test-Id")
	u.mu.Lock()
	refusal, refused := u.refusals[conn]
	if refused {
		delete(u.refusals, conn)
		u.runs[id]++
		u.splits++
	} else {
		lines := slices.Concat([]string{fmt.Sprintf("HTTP/1.1 %d X", how.status), "Test-Not-Run: 1"}, how.id(id), []string{"Content-Length: 0", "", ""})
		u.refusals[conn] = strings.Join(lines, how.lineEnd)
	}
	splits := u.splits
	u.mu.Unlock()
	if !refused {
		return refuseNotRun(conn, r, "")
	}
	first, second := refusal, ""
	if how.split {
		at := splits * 7 % len(refusal)
		first, second = refusal[:at], refusal[at:]
	}
	_, _ = io.WriteString(conn, first)
	time.Sleep(20 * time.Millisecond) // the request runs; a second part of the refusal arrives separately
	_, _ = io.WriteString(conn, second)
	if how.instead {
		return true
	}
	return respond(conn, id, http.StatusOK, "", "done")
}

// A refusal that an upstream writes once more on a kept connection must not be taken for the answer to the request that runs there: the caller
// would be told that it did not run, or it would run a second time.
func TestServe_RefusalRepeatedOnKeptConnection(t *testing.T) {
	own := func(request string) []string { return []string{"Test-Id: " + request} }
	none := func(string) []string { return nil }
	empty := func(string) []string { return []string{"Test-Id: "} }
	for name, how := range map[string]repeatedRefusal{
		"its own ID":              {status: 503, id: own, lineEnd: "\r\n"},
		"no ID":                   {status: 503, id: none, lineEnd: "\r\n"},
		"empty ID":                {status: 503, id: empty, lineEnd: "\r\n"},
		"no ID, 429":              {status: 429, id: none, lineEnd: "\r\n"},
		"no ID, 421":              {status: 421, id: none, lineEnd: "\r\n"},
		"no ID, bare line feeds":  {status: 503, id: none, lineEnd: "\n"},
		"no ID, in two parts":     {status: 503, id: none, lineEnd: "\r\n", split: true},
		"no ID, instead":          {status: 503, id: none, lineEnd: "\r\n", instead: true},
		"its own ID, instead":     {status: 503, id: own, lineEnd: "\r\n", instead: true},
		"own ID, in two LF parts": {status: 421, id: own, lineEnd: "\n", split: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRepeatingUpstream(t, "a", how)
			f := newFixture(t, u.fakeUpstream, newUpstream(t, "b", refuseNotRun))
			gateways := []*Gateway{f.gateway, f.start("two")}
			f.waitReady(gateways[1])
			outcomes := f.sendConcurrently(gateways, 24)
			served := 0
			for id, status := range outcomes {
				u.mu.Lock()
				runs := u.runs[id]
				u.mu.Unlock()
				must.LessEq(t, 1, runs, must.Sprintf("%s ran %d times", id, runs))
				if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
					must.Zero(t, runs, must.Sprintf("%s ran, and its caller got %d", id, status))
				}
				if runs > 0 && !how.instead {
					must.EqOp(t, http.StatusOK, status, must.Sprint(id))
				}
				served += runs
			}
			must.Positive(t, served)
		})
	}
}

// A refusal that an upstream writes once more while its connection is idle must not be taken for the answer to the request that is sent there next,
// also if the connection is kept for longer than the upstream keeps it.
func TestServe_RefusalOnIdleConnection(t *testing.T) {
	const requests = 40
	for name, how := range map[string]struct {
		keepAlive string
		pause     time.Duration
	}{
		"soon":                {"", 10 * time.Millisecond},
		"past its keep-alive": {"Keep-Alive: timeout=1\r\n", 350 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			runs, refused := make(map[string]int), make(map[net.Conn]bool)
			late := 0
			serve := func(conn net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				defer mu.Unlock()
				id := r.Header.Get("Test-Id")
				if refused[conn] = !refused[conn]; !refused[conn] {
					runs[id]++
					return respond(conn, id, http.StatusOK, how.keepAlive, "done")
				}
				kept := respond(conn, id, http.StatusServiceUnavailable, "Test-Not-Run: 1\r\n"+how.keepAlive, "")
				late++
				time.AfterFunc(how.pause*time.Duration(late%8)/2, func() { _, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n") })
				return kept
			}
			f := newFixture(t, newUpstream(t, "a", serve), newUpstream(t, "b", refuseNotRun))
			for i := range requests {
				got := f.send(f.gateway, http.MethodPost, fmt.Sprintf("/book/%d", i), nil)
				mu.Lock()
				ran := runs[fmt.Sprintf("id-book-%d", i)]
				mu.Unlock()
				want := http.StatusServiceUnavailable
				if ran > 0 {
					want = http.StatusOK
				}
				must.EqOp(t, want, got.status, must.Sprintf("request %d, which ran %d times", i, ran))
				must.LessEq(t, 1, ran)
				time.Sleep(how.pause * time.Duration(i%3) / 2) // the refusal arrives before, while or after the next request is sent
			}
			must.Positive(t, len(runs))
		})
	}
}

// A refusal without the request's ID does not show that the request did not run, also as the first response on a connection.
func TestServe_RefusalWithoutID(t *testing.T) {
	for _, status := range []int{421, 429, 503} {
		anonymous := func(conn net.Conn, _ *http.Request, _ string) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status)
			return err == nil
		}
		f := newFixture(t, newUpstream(t, "a", anonymous))
		must.EqOp(t, http.StatusBadGateway, f.send(f.gateway, http.MethodPost, "/book/1", nil).status, must.Sprint(status))
	}
}

// sendConcurrently sends requests that must not be repeated, a few at a time, by turns to the gateways. It returns the statuses by request ID.
func (f *fixture) sendConcurrently(gateways []*Gateway, requests int) map[string]int {
	const senders = 4
	outcomes := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for s := range senders {
		all.Go(func() {
			for i := range requests / senders {
				path := fmt.Sprintf("/book/%d-%d", s, i)
				got := f.send(gateways[i%len(gateways)], http.MethodPost, path, func(r *http.Request) { r.Header.Set("Test-Deadline", "700") })
				mu.Lock()
				outcomes["id-"+strings.ReplaceAll(path[1:], "/", "-")] = got.status
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return outcomes
}

// A stream that broke off must not contain anything of the answer of the next upstream unless that is a stream too, and must not look complete.
func TestStream_NextUpstreamFails(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	breaks := map[string]string{"after an event": "", "within a field": "id: 3\nda", "within an ID": "id: ", "between fields": "id: 3\ndata: c\n"}
	const head, signed = "HTTP/1.1 %s\r\nTest-Id: %s\r\n", "HTTP/1.1 %s\r\nTest-Id: %s\r\nTest-Signature: s\r\n"
	answers := map[string]struct{ status, head, rest string }{
		"plain error":          {"500 X", signed, "Content-Length: 8\r\n\r\nnext: no"},
		"chunked error":        {"500 X", signed, "Transfer-Encoding: chunked\r\n\r\n8\r\nnext: no\r\n0\r\n\r\n"},
		"error as events":      {"500 X", signed, "Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 3\ndata: no\n\n\n"},
		"unframed error":       {"500 X", signed, "Connection: close\r\n\r\nnext: no\n\n"},
		"unauthorized":         {"401 X", signed, "Content-Length: 8\r\n\r\nnext: no"},
		"other type":           {"200 X", signed, "Content-Type: text/plain\r\nContent-Length: 10\r\n\r\nnext: no\n\n"},
		"unsigned stream":      {"200 X", head, "Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 3\ndata: no\n\n\n"},
		"refusal":              {"503 X", head, "Test-Not-Run: 1\r\nContent-Length: 8\r\n\r\nnext: no"},
		"bare line feeds":      {"500 X", "HTTP/1.1 %s\nTest-Id: %s\n", "Test-Signature: s\nContent-Length: 8\n\nnext: no"},
		"head breaks off":      {"200 X", signed, "Content-Type: text/event-stream\r\nContent-Le"},
		"stream without event": {"200 X", signed, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nnext: no\r\n"},
	}
	for breakName, rest := range breaks {
		for answerName, answer := range answers {
			t.Run(breakName+"/"+answerName, func(t *testing.T) {
				t.Parallel()
				serve := func(conn net.Conn, r *http.Request, _ string) bool {
					if r.Header.Get("Last-Event-Id") == "" {
						return writeEventStream(conn, r, events+rest, false)
					}
					text := fmt.Sprintf(answer.head, answer.status, r.Header.Get("Test-Id")) + answer.rest
					_, _ = io.WriteString(conn, text[:len(text)/2])
					time.Sleep(10 * time.Millisecond) // the parts arrive separately
					_, _ = io.WriteString(conn, text[len(text)/2:])
					return false
				}
				a, b := newUpstream(t, "a", serve), newUpstream(t, "b", serve)
				f := newFixture(t, a, b)
				gateways := []*Gateway{f.gateway, f.start("two")}
				f.waitReady(gateways[1])
				var all sync.WaitGroup
				for i, path := range []string{"/chat/1", "/chat/2", "/talk/1", "/talk/2"} {
					all.Go(func() {
						got := f.send(gateways[i%2], http.MethodPost, path, nil)
						if got.body != events || got.err == nil {
							t.Errorf("%s: body %q, error %v", path, got.body, got.err)
						}
					})
				}
				all.Wait()
				resumed := 0
				for _, r := range slices.Concat(a.received(), b.received()) {
					if r.Header.Get("Last-Event-Id") == "2" {
						resumed++
					}
				}
				must.EqOp(t, 2, resumed, must.Sprint("both resumable streams are continued"))
			})
		}
	}
}

// An answer whose head breaks off must not reach the caller as a success, whatever part of it has arrived.
func TestServe_HeadBreaksOff(t *testing.T) {
	const full = "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n"
	for name, lineEnd := range map[string]string{"CRLF": "\r\n", "LF": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var broken atomic.Int64
			serve := func(conn net.Conn, r *http.Request, _ string) bool {
				var n int
				if _, err := fmt.Sscanf(r.Header.Get("Test-Tokens"), "%d", &n); err != nil {
					return succeed(conn, r, "")
				}
				broken.Add(1)
				head := strings.ReplaceAll(fmt.Sprintf(full, r.Header.Get("Test-Id")), "\r\n", lineEnd)
				_, _ = io.WriteString(conn, head[:min(n, len(head)-len(lineEnd))])
				return false
			}
			f := newFixture(t, newUpstream(t, "a", serve))
			for n := range len(full) + 8 {
				for _, path := range []string{"book", "look", "chat"} {
					got := f.send(f.gateway, http.MethodPost, fmt.Sprintf("/%s/%d", path, n), func(r *http.Request) { r.Header.Set("Test-Tokens", fmt.Sprint(n)) })
					must.GreaterEq(t, http.StatusInternalServerError, got.status, must.Sprintf("%s, %d bytes of the head", path, n))
					must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status) // keeps the upstream healthy
				}
			}
			must.EqOp(t, 3*(len(full)+8), int(broken.Load()))
		})
	}
}
