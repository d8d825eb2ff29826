package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
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
}

// repeatedRefusal describes the copy of a refusal.
type repeatedRefusal struct {
	status int
	// id returns the lines of its head that name the refused request.
	id func(request string) []string
	// lineEnd is the end of the lines of its head.
	lineEnd string
	// split makes it arrive in two parts, the first of which ends within a line.
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
	} else {
		lines := slices.Concat([]string{fmt.Sprintf("HTTP/1.1 %d X", how.status), "Test-Not-Run: 1"}, how.id(id), []string{"Content-Length: 0", "", ""})
		u.refusals[conn] = strings.Join(lines, how.lineEnd)
	}
	u.mu.Unlock()
	if !refused {
		return refuseNotRun(conn, r, "")
	}
	first, second := refusal, ""
	if how.split {
		first, second = refusal[:len(refusal)/2], refusal[len(refusal)/2:]
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
