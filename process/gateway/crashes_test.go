package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/process/quarantine"
)

// A request that crashes the upstreams that run it must be rejected after the third crash, at other gateways too, and the response must say
// that it did not run.
func TestServe_RequestThatCrashesUpstreams(t *testing.T) {
	var upstreams []*fakeUpstream
	for i := range 8 {
		u := newUpstream(t, fmt.Sprint("u", i), nil)
		u.serve = func(conn net.Conn, r *http.Request, body string) bool {
			if strings.HasPrefix(r.URL.Path, "/book/crash") {
				u.crash()
				return false
			}
			return succeed(conn, r, body)
		}
		upstreams = append(upstreams, u)
	}
	f := newFixture(t, upstreams...)
	other := f.start("two")
	f.waitReady(other)
	f.eventually("gateways are connected", func() bool { return len(other.peers.neighbourConns()) > 0 && len(f.gateway.peers.neighbourConns()) > 0 })
	crashed := func() int {
		n := 0
		for _, u := range upstreams {
			for _, r := range u.received() {
				if strings.HasPrefix(r.URL.Path, "/book/crash") {
					n++
				}
			}
		}
		return n
	}
	for i, g := range []*Gateway{f.gateway, other, f.gateway} {
		must.EqOp(t, http.StatusBadGateway, f.send(g, http.MethodPost, "/book/crash", nil).status)
		f.eventually("both gateways know of the crash", func() bool {
			f.send(g, http.MethodGet, fmt.Sprint("/look/", i), nil) // makes the gateway detect that the upstream is down
			return crashCount(f.gateway) == i+1 && crashCount(other) == i+1
		})
	}
	for _, g := range []*Gateway{f.gateway, other} {
		got := f.send(g, http.MethodPost, "/book/crash", nil)
		must.EqOp(t, http.StatusServiceUnavailable, got.status)
		must.StrContains(t, got.body, "quarantined")
	}
	must.EqOp(t, 3, crashed())
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/other", nil).status)
}

// crashCount returns the number of crashes of the test's request that a gateway knows of.
func crashCount(g *Gateway) int {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return g.crashes.requests.Count(quarantine.FingerprintOf("drivers", "/book/crash", []byte("hello")))
}

// A crash was not counted if the process was paused between the two clock readings from which the start of the attempt was computed: the request then
// seemed to have been in flight at the crash before.
func TestRecordBroken_ProcessPaused(t *testing.T) {
	tracker := newCrashTracker(func(uint64) bool { return false })
	f := quarantine.FingerprintOf("drivers", "/book/crash", nil)
	known := bootclock.Now()
	tracker.recordFromPeer(known, []wire.RequestCrash{{Fingerprint: uint64(f), Upstream: 1}})
	sent := known.Add(time.Millisecond)
	a := &attempt{
		call:   &call{team: "drivers", request: &http.Request{RequestURI: "/book/crash"}},
		choice: &balancer.Choice{Upstream: directory.Upstream{Entry: directory.Entry{ID: "u"}}}, outcome: health.Broken,
		started: time.Now().Add(-20 * time.Millisecond), sentAt: sent,
	}
	tracker.recordBroken(sent.Add(time.Millisecond), a)
	tracker.recordDown(sent.Add(2*time.Millisecond), &a.choice.Upstream)
	must.EqOp(t, 2, tracker.requests.Count(f))
}
