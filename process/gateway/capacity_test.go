package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
)

// answerAfter returns a handler that answers late with a load header.
func answerAfter(d time.Duration, load string) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		time.Sleep(d)
		return respond(conn, r.Header.Get("Test-Id"), 200, "Test-Load: "+load+"\r\n", "done")
	}
}

// slowIn reports whether a gateway takes the upstream "slow", and no other, for slower than the others.
func slowIn(g *Gateway) bool {
	estimates, _ := g.balancer.CapacityStatus(bootclock.Now(), 1)
	return len(estimates) == 1 && estimates[0].ID == "slow" && estimates[0].Speed < 0.9
}

// A gateway must learn from answers which upstream is slow and tell the others, also one that starts later. Malformed load headers must be counted.
func TestServe_SlowUpstreamIsLearned(t *testing.T) {
	ups := []*fakeUpstream{newUpstream(t, "slow", answerAfter(60*time.Millisecond, "1,0,4"))}
	for _, id := range []string{"a", "b", "c"} {
		ups = append(ups, newUpstream(t, id, answerAfter(10*time.Millisecond, "1,0,4,0")))
	}
	f := newFixture(t, ups...)
	f.gateway.balancer.SetLearnCapacity(false) // the slow one must get enough requests
	sent := 0
	learned := func(g *Gateway) func() bool {
		return func() bool {
			for range 10 {
				sent++
				must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, fmt.Sprint("/look/", sent), nil).status)
			}
			return slowIn(g)
		}
	}
	f.eventually("the gateway knows the slow upstream", learned(f.gateway))
	var metrics strings.Builder
	f.gateway.metrics.write(&metrics)
	must.StrContains(t, metrics.String(), `jayridge_upstream_speed_percent{upstream="slow"} `)
	must.StrContains(t, metrics.String(), `jayridge_upstream_useful_load{upstream="slow"} 0`)
	must.Positive(t, f.gateway.metrics.loadsMalformed.Load())
	other := f.start("two")
	f.waitReady(other)
	f.eventually("a gateway that started later knows it", learned(other))
}

// streamWithGap returns a handler that sends events with a pause between them.
func streamWithGap(gap time.Duration) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
		for end, id := time.Now().Add(500*time.Millisecond), 1; time.Now().Before(end); id++ {
			text := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
			time.Sleep(gap)
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		return err == nil
	}
}

// The pace of streams must show which upstream is slow, although their first events arrive equally soon.
func TestStream_SlowPaceIsLearned(t *testing.T) {
	ups := []*fakeUpstream{newUpstream(t, "slow", streamWithGap(60*time.Millisecond))}
	for _, id := range []string{"a", "b", "c"} {
		ups = append(ups, newUpstream(t, id, streamWithGap(12*time.Millisecond)))
	}
	f := newFixture(t, ups...)
	f.gateway.balancer.SetLearnCapacity(false) // the slow one must get enough requests
	sent := 0
	f.eventually("the gateway knows the slow upstream", func() bool {
		var streams sync.WaitGroup
		for range 8 {
			sent++
			path := fmt.Sprint("/chat/", sent)
			streams.Go(func() { f.send(f.gateway, http.MethodPost, path, nil) })
		}
		streams.Wait()
		return slowIn(f.gateway)
	})
}

// An upstream that rejects all requests at once must not be taken for a fast one and get more of them.
func TestServe_QuickRejectionsAreNotFast(t *testing.T) {
	ups := []*fakeUpstream{newUpstream(t, "broken", func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 404, "", "")
	})}
	for _, id := range []string{"a", "b", "c"} {
		ups = append(ups, newUpstream(t, id, answerAfter(20*time.Millisecond, "1,0,4")))
	}
	f := newFixture(t, ups...)
	f.gateway.balancer.SetLearnCapacity(false) // so that all get requests
	for i := range 150 {
		f.send(f.gateway, http.MethodGet, fmt.Sprint("/look/", i), nil)
		estimates, _ := f.gateway.balancer.CapacityStatus(bootclock.Now(), 4)
		for _, e := range estimates {
			must.True(t, e.ID != "broken" || e.Speed == 1)
		}
	}
	must.Positive(t, len(ups[0].received()))
}

// An older build's message has no estimates, and a nonsensical one must change nothing.
func TestApplyFleetState_Capacities(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed), newUpstream(t, "b", succeed))
	now := bootclock.Now()
	applyBalancerState(f.gateway.balancer, now, "two", &wire.FleetState{Partial: true})
	var all []wire.UpstreamCapacity
	for range 100 {
		all = append(all, wire.UpstreamCapacity{SpeedPercent: 1 << 31, UsefulLoad: 1 << 31, AgeMS: 1 << 31})
	}
	applyBalancerState(f.gateway.balancer, now, "two", &wire.FleetState{Partial: true, Capacities: all})
	estimates, ignored := f.gateway.balancer.CapacityStatus(now, 9)
	for _, e := range estimates {
		must.EqOp(t, 1, e.Speed)
	}
	must.Positive(t, ignored)
}
