package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// limitWindow is the span in which the requests to an upstream with a rate limit are counted.
const limitWindow = 4 * time.Second

// maxInLimitWindow returns how many requests may reach an upstream in limitWindow.
func maxInLimitWindow(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// limitedUpstream names a rate limit in its answers while limited is set.
type limitedUpstream struct {
	*fakeUpstream
	limited  atomic.Bool
	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedUpstream(t *testing.T, id string, perSecond float64) *limitedUpstream {
	u := &limitedUpstream{}
	u.fakeUpstream = newUpstream(t, id, func(conn net.Conn, r *http.Request, _ string) bool {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, time.Now())
		u.mu.Unlock()
		header := ""
		if u.limited.Load() {
			header = fmt.Sprintf("Test-Limit: %g\r\n", perSecond)
		}
		return respond(conn, r.Header.Get("Test-Id"), 200, header, "done")
	})
	return u
}

// since returns the numbers of requests since a time: the most in any window, and all.
func (u *limitedUpstream) since(at time.Time) (most, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, from := range u.arrivals {
		if from.Before(at) {
			continue
		}
		all++
		n := 0
		for _, to := range u.arrivals[i:] {
			if to.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most, all
}

// An upstream that names a rate limit must get no more requests from all gateways together soon after, also from a gateway that starts later, and
// its usual share once it names none.
func TestServe_NamedRateLimit(t *testing.T) {
	const perSecond = 2.5
	limited := newLimitedUpstream(t, "limited", perSecond)
	others := []*fakeUpstream{limited.fakeUpstream, newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)}
	f := newFixture(t, others...)
	gateways := []*Gateway{f.gateway, f.start("two"), f.start("three")}
	for _, g := range gateways {
		f.waitReady(g)
	}
	sent := 0
	send := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); sent++ {
			got := f.send(gateways[sent%len(gateways)], http.MethodGet, fmt.Sprint("/look/", sent), nil)
			must.EqOp(t, http.StatusOK, got.status)
			time.Sleep(10 * time.Millisecond)
		}
	}
	limited.limited.Store(true)
	named := time.Now()
	send(2 * time.Second)
	gateways = append(gateways, f.start("four"))
	f.waitReady(gateways[3])
	send(stableWindow + limitWindow - 2*time.Second + time.Second)
	most, all := limited.since(named.Add(stableWindow))
	t.Logf("at most %d requests in %s, %d in all", most, limitWindow, all)
	must.LessEq(t, maxInLimitWindow(perSecond), most)
	must.Positive(t, all)

	limited.limited.Store(false)
	send(3 * time.Second)
	lifted := time.Now()
	send(time.Second)
	_, all = limited.since(lifted)
	must.Greater(t, int(2*perSecond), all)
}

// A gateway must apply the rate limit that only another gateway has been told, as soon as it hears of it.
func TestServe_NamedRateLimitOfOtherGateway(t *testing.T) {
	limited := newLimitedUpstream(t, "limited", 2.5)
	limited.limited.Store(true)
	f := newFixture(t, limited.fakeUpstream)
	other := f.start("two")
	f.waitReady(other)
	f.eventually("gateways are connected", func() bool { return len(other.peers.neighbourConns()) > 0 && len(f.gateway.peers.neighbourConns()) > 0 })
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, "/look/1", nil).status)
	f.eventually("the other gateway knows the limit", func() bool { return len(other.balancer.RateLimits()) == 1 })
}
