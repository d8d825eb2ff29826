package gateway

import (
	"context"
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

// crashMode is what an upstream has sent of its answer when it crashes.
type crashMode int

const (
	crashBeforeHead crashMode = iota
	crashAfterHead
	crashAfterEvent
)

const (
	// crashDelay is the time from the start of an answer to the crash.
	crashDelay = 30 * time.Millisecond
	// crashDowntime is the time until a crashed upstream is back under a new ID.
	crashDowntime = 700 * time.Millisecond
	// stableWindow is the time after the fifth crash within which the gateways have to reject the part.
	stableWindow = 3 * time.Second
	// maxLateRequests is the number of requests with the part that may reach upstreams later.
	maxLateRequests = 3
)

// crashFleet is a fleet whose upstreams crash on requests with certain prompt parts.
type crashFleet struct {
	t       *testing.T
	store   *fakeStore
	mode    crashMode
	parts   []string
	mu      sync.Mutex
	crashes []time.Time
	// arrivals are the times at which requests with one of the parts reached an upstream.
	arrivals []time.Time
	byID     map[string]*fakeUpstream
	restarts int
	stopped  bool
}

func newCrashFleet(t *testing.T, upstreams int, mode crashMode, parts ...string) (*crashFleet, *fixture) {
	fleet := &crashFleet{t: t, mode: mode, parts: parts, byID: make(map[string]*fakeUpstream)}
	var all []*fakeUpstream
	for i := range upstreams {
		all = append(all, fleet.newUpstream(fmt.Sprint("u", i)))
	}
	f := newFixture(t, all...)
	fleet.mu.Lock()
	fleet.store = f.store
	fleet.mu.Unlock()
	t.Cleanup(func() {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		fleet.stopped = true
	})
	return fleet, f
}

func (s *crashFleet) newUpstream(id string) *fakeUpstream {
	u := newUpstream(s.t, id, nil)
	u.serve = func(conn net.Conn, r *http.Request, _ string) bool { return s.serve(u, conn, r) }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = u
	return u
}

func (s *crashFleet) isCrashing(r *http.Request) bool {
	listed := strings.Split(r.Header.Get("Test-Parts"), ",")
	for _, part := range listed[:len(listed)-1] {
		id, _, _ := strings.Cut(part, ":")
		if slices.Contains(s.parts, id) {
			return true
		}
	}
	return false
}

// serve streams three events, or crashes the upstream if the request has one of the parts.
func (s *crashFleet) serve(u *fakeUpstream, conn net.Conn, r *http.Request) bool {
	crashes := s.isCrashing(r)
	if crashes {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
	}
	if !crashes || s.mode != crashBeforeHead {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
	}
	for i := range 3 {
		if crashes && (i > 0 || s.mode != crashAfterEvent) {
			time.Sleep(crashDelay)
			s.crash(u)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// crash ends the upstream and lists it under a new ID some time later.
func (s *crashFleet) crash(u *fakeUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[u.id] == nil {
		return
	}
	delete(s.byID, u.id)
	s.crashes = append(s.crashes, time.Now())
	s.restarts++
	next := fmt.Sprint(u.id, "-", s.restarts)
	u.crash()
	time.AfterFunc(crashDowntime, func() { s.restart(u.id, next) })
}

func (s *crashFleet) restart(old, next string) {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		return
	}
	u := s.newUpstream(next)
	s.store.remove("upstream/" + old)
	s.store.put("upstream/"+next, u.entry())
}

// crashOne crashes an upstream for no reason.
func (s *crashFleet) crashOne() {
	s.mu.Lock()
	var any *fakeUpstream
	for _, u := range s.byID {
		any = u
	}
	s.mu.Unlock()
	if any != nil {
		s.crash(any)
	}
}

// nthCrash returns the time of a crash, zero if there were fewer.
func (s *crashFleet) nthCrash(n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < n {
		return time.Time{}
	}
	return s.crashes[n-1]
}

// lateArrivals returns how many requests with one of the parts reached upstreams later than a time.
func (s *crashFleet) lateArrivals(after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// chat is the outcome of one request.
type chat struct {
	sentAt      time.Time
	crashing    bool
	served      bool
	quarantined bool
}

// chats sends requests and collects their outcomes.
type chats struct {
	f       *fixture
	mu      sync.Mutex
	all     []chat
	pending sync.WaitGroup
	sent    int
}

// send sends a request with the given prompt parts, of which none but those is the same in any two requests.
func (c *chats) send(g *Gateway, crashing bool, parts ...string) {
	c.sent++
	n := c.sent
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		result := chat{sentAt: time.Now(), crashing: crashing}
		result.served, result.quarantined = c.exchange(g, n, parts)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all = append(c.all, result)
	}()
}

func (c *chats) exchange(g *Gateway, n int, parts []string) (served, quarantined bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.settings.CallersAddress+"/chat/", strings.NewReader(fmt.Sprint("body ", n)))
	if err != nil {
		return false, false
	}
	r.Host = "a.test"
	r.Header.Set("Test-Id", fmt.Sprint("id-", n))
	r.Header.Set("Test-Deadline", "3000")
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Test-Parts", strings.Join(append(slices.Clone(parts), fmt.Sprintf("f%07x:40", n)), ","))
	response, err := c.f.client.Do(r)
	if err != nil {
		return false, false
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK, strings.HasPrefix(string(body), "quarantined")
}

// soundSince returns the numbers of sound requests sent after a time: all, served, and rejected as quarantined.
func (c *chats) soundSince(at time.Time) (all, served, quarantined int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.all {
		if r.crashing || r.sentAt.Before(at) {
			continue
		}
		all++
		if r.served {
			served++
		}
		if r.quarantined {
			quarantined++
		}
	}
	return all, served, quarantined
}

// Requests that differ except for a prompt part that crashes upstreams must be rejected soon after the fifth crash, and sound requests that
// share their other parts must be served.
func TestServe_PromptPartThatCrashesUpstreams(t *testing.T) {
	for _, test := range []struct {
		name  string
		mode  crashMode
		parts []string
	}{
		{"before any byte", crashBeforeHead, []string{"bad"}},
		{"after the head", crashAfterHead, []string{"bad"}},
		{"after an event", crashAfterEvent, []string{"bad"}},
		{"two parts", crashAfterHead, []string{"bad", "bad2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet, f := newCrashFleet(t, 10, test.mode, test.parts...)
			gateways := []*Gateway{f.gateway, f.start("two")}
			f.waitReady(gateways[1])
			c := &chats{f: f}
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			started := time.Now()
			for i := 0; ; i++ {
				<-ticker.C
				fifth := fleet.nthCrash(5)
				if !fifth.IsZero() && time.Since(fifth) > 3*stableWindow || time.Since(started) > 5*stableWindow {
					break
				}
				own := fmt.Sprintf("5e%06x:60", i)
				if i%4 == 0 {
					c.send(gateways[(i/4)%2], true, "c0de:800", "5a:300", test.parts[(i/4)%len(test.parts)]+":200", own)
				} else {
					c.send(gateways[i%2], false, "c0de:800", "5a:300", fmt.Sprintf("a%d:200", i%7), own)
				}
			}
			c.pending.Wait()
			fifth := fleet.nthCrash(5)
			must.False(t, fifth.IsZero(), must.Sprint("there were fewer than five crashes"))
			late := fleet.lateArrivals(fifth.Add(stableWindow))
			all, served, quarantined := c.soundSince(fifth.Add(2 * stableWindow))
			t.Logf("%d requests with the part reached upstreams late; of %d sound requests sent later, %d were served, %d quarantined", late, all, served, quarantined)
			must.LessEq(t, maxLateRequests, late)
			must.GreaterEq(t, 20, all)
			must.GreaterEq(t, all/2, served)
			must.EqOp(t, 0, quarantined)
		})
	}
}

// Prompt parts that all requests have must not be rejected because upstreams crash for another reason.
func TestServe_UpstreamsCrashOnTheirOwn(t *testing.T) {
	fleet, f := newCrashFleet(t, 8, crashAfterHead)
	gateways := []*Gateway{f.gateway, f.start("two")}
	f.waitReady(gateways[1])
	c := &chats{f: f}
	started := time.Now()
	for i := range 300 {
		if i%35 == 34 {
			fleet.crashOne()
		}
		c.send(gateways[i%2], false, "c0de:800", "5a:300", fmt.Sprintf("5e%06x:60", i))
		time.Sleep(20 * time.Millisecond)
	}
	c.pending.Wait()
	all, served, quarantined := c.soundSince(started)
	t.Logf("%d of %d requests served, %d quarantined", served, all, quarantined)
	must.EqOp(t, 0, quarantined)
	must.GreaterEq(t, all*9/10, served)
}
