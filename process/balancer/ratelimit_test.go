package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/version/routing"
)

// limitedUpstream returns balancers of entries that know the rate limit of an upstream.
func limitedUpstream(entries int, perSecond float64) []*Balancer {
	service := &routing.Service{Name: "model"}
	u := directory.Upstream{Entry: directory.Entry{ID: "a", Service: "model", Slots: 64}}
	var all []*Balancer
	for i := range entries {
		config := DefaultConfig("here")
		config.Seed = upstreamHash(fmt.Sprint(i))
		b := New(config)
		b.SetEntries(entries)
		b.SetPosition(i, time.Duration(-i)*time.Minute) // the clocks of the entries differ
		b.SetUpstreams([]directory.Upstream{u}, nil, func(string) *routing.Service { return service })
		b.AddRateLimit(RateLimit{upstreamHash("a"), perSecond, at(0)})
		all = append(all, b)
	}
	return all
}

// The requests of all entries to an upstream with a rate limit must not exceed it, beyond five requests in any 4 s, and must use most of it.
func TestPick_NamedRateLimit(t *testing.T) {
	const window, endMS = 4000, 60_000
	for _, test := range []struct {
		entries   int
		perSecond float64
	}{{4, 2.8}, {4, 0.3}, {5, 40}, {31, 2.8}, {31, 13}, {300, 2.8}} {
		t.Run(fmt.Sprintf("%d entries, %v per second", test.entries, test.perSecond), func(t *testing.T) {
			sent := make([]int, endMS)
			total := 0
			for i, b := range limitedUpstream(test.entries, test.perSecond) {
				for ms := range endMS {
					now := at(ms).Add(time.Duration(i) * time.Minute)
					if c := b.Pick(now, Query{Service: "model"}); c != nil {
						c.Done(now, health.Answered)
						sent[ms]++
						total++
					}
				}
			}
			sum, most := 0, 0
			for ms := range endMS {
				sum += sent[ms]
				if ms >= window {
					sum -= sent[ms-window]
				}
				most = max(most, sum)
			}
			t.Logf("at most %d in %d ms, %d in all", most, window, total)
			must.LessEq(t, int(test.perSecond*window/1000)+5, most)
			must.Greater(t, int(test.perSecond*endMS/1000*0.8), total)
		})
	}
}

// The newest answer must decide on the limit, whichever entry it was for, and the peers must be told of changes only.
func TestRateLimit_NewestAnswerCounts(t *testing.T) {
	b := limitedUpstream(2, 2.8)[0]
	must.Len(t, 1, b.TakeRateLimits())
	must.EqOp(t, "", b.AddRateLimit(RateLimit{upstreamHash("a"), 2.8, at(100)}))
	must.EqOp(t, "a", b.AddRateLimit(RateLimit{upstreamHash("a"), NoRateLimit, at(200)}))
	must.EqOp(t, "", b.AddRateLimit(RateLimit{upstreamHash("a"), 2.8, at(150)}))
	must.SliceEmpty(t, b.RateLimits())
	must.Len(t, 1, b.TakeRateLimits())
	c := b.Pick(at(300), Query{Service: "model"})
	must.True(t, c.RecordRateLimit(at(300), 1.5))
	must.False(t, c.RecordRateLimit(at(400), 1.5))
	must.Eq(t, []RateLimit{{upstreamHash("a"), 1.5, at(400)}}, b.RateLimits())
}

// An upstream that names no rate at all must still get a request now and then, whose answer shows whether it takes more.
func TestPick_RateLimitOfZeroCanEnd(t *testing.T) {
	b := limitedUpstream(1, 0)[0]
	sent := 0
	for ms := range 60_000 {
		if c := b.Pick(at(ms), Query{Service: "model"}); c != nil {
			c.Done(at(ms), health.Answered)
			sent++
		}
	}
	must.Between(t, 2, sent, 7)
}
