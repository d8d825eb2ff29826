package balancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// All entries together must not send a cold upstream more than its rate: each must keep to its share.
func TestPick_ColdShare(t *testing.T) {
	const entries, seconds = 5, 3
	service := &routing.Service{Name: "model", MaxColdRate: 10}
	cold := directory.Upstream{
		Entry: directory.Entry{ID: "a", Service: "model", Slots: 64}, ColdUntil: at(1000 * seconds),
	}
	sent := 0
	for range entries {
		b := New(DefaultConfig("here"))
		b.SetEntries(entries)
		b.SetUpstreams([]directory.Upstream{cold}, nil, func(string) *routing.Service { return service })
		for ms := range 1000 * seconds {
			if c := b.Pick(at(ms), Query{Service: "model"}); c != nil {
				c.Done(at(ms), health.Answered)
				sent++
			}
		}
	}
	must.LessEq(t, 10*seconds+entries, sent)
	must.Greater(t, 10*seconds/2, sent)
}

// Many entries must not use their accumulated share of a cold upstream's rate at the same moment: 31 entries sent 31 requests within a
// second to an upstream with a rate of 13.
func TestPick_ColdSharesDoNotComeTogether(t *testing.T) {
	const entries, idleMS, endMS, perSecond = 31, 5000, 9000, 13
	service := &routing.Service{Name: "model", MaxColdRate: perSecond}
	cold := directory.Upstream{Entry: directory.Entry{ID: "a", Service: "model", Slots: 64}, ColdUntil: at(endMS)}
	sent := make([]int, endMS)
	for i := range entries {
		config := DefaultConfig("here")
		config.Seed = upstreamHash(string(rune(i)))
		b := New(config)
		b.SetEntries(entries)
		b.SetUpstreams([]directory.Upstream{cold}, nil, func(string) *routing.Service { return service })
		for ms := range endMS {
			if ms < idleMS && ms > 10 {
				continue
			}
			if c := b.Pick(at(ms), Query{Service: "model"}); c != nil {
				c.Done(at(ms), health.Answered)
				sent[ms]++
			}
		}
	}
	total := 0
	for from := 0; from+1000 <= endMS; from++ {
		window := 0
		for _, n := range sent[from : from+1000] {
			window += n
		}
		must.LessEq(t, perSecond*3/2+5, window, must.Sprintf("from %d ms", from))
		total = max(total, window)
	}
	must.Greater(t, perSecond/2, total)
}

// An upstream that is down must get no requests until a probe succeeds, and its cold start must be observed after that.
func TestPick_DownUntilProbed(t *testing.T) {
	b := newModelBalancer(1000, "a", "b")
	for range 20 {
		c := b.Pick(at(0), Query{Service: "model"})
		if c.ID == "a" {
			must.True(t, c.Done(at(0), health.Unreachable))
			break
		}
		c.Done(at(0), health.Answered)
	}
	for i := range 50 {
		c := b.Pick(at(i), Query{Service: "model"})
		must.EqOp(t, "b", c.ID)
		c.Done(at(i), health.Answered)
	}
	due := b.ProbesDue(at(300))
	must.Len(t, 1, due)
	must.True(t, b.RecordProbe(at(310), due[0], true, 2*time.Second))
	picked := 0
	for i := range 100 {
		c := b.Pick(at(311+i), Query{Service: "model", Tried: []string{"b"}})
		if c != nil {
			picked++
			c.Done(at(311+i), health.Answered)
		}
	}
	must.Between(t, 1, picked, 3)
}

// The cold start of an upstream that is reachable again must not end when the upstream list, which lacks its cold start, is published
// again.
func TestSetUpstreams_KeepsColdStart(t *testing.T) {
	b := newModelBalancer(1000, "a")
	b.Pick(at(0), Query{Service: "model"}).Done(at(0), health.Unreachable)
	due := b.ProbesDue(at(300))
	must.Len(t, 1, due)
	must.True(t, b.RecordProbe(at(300), due[0], true, 2*time.Second))
	b.SetUpstreams(due, nil, func(string) *routing.Service { return &routing.Service{Name: "model", MaxColdRate: 10} })
	picked := 0
	for i := range 50 {
		if c := b.Pick(at(400+i), Query{Service: "model"}); c != nil {
			picked++
			c.Done(at(400+i), health.Answered)
		}
	}
	must.Between(t, 1, picked, 2)
}

// The load bound must include the requests of peers, but not outdated load reports of a peer.
func TestPick_CountsPeersRequests(t *testing.T) {
	b := newModelBalancer(100_000, "a", "b", "c", "d")
	b.SetEntries(2)
	q := Query{Service: "model", Placement: placement.Request{Session: 1, SharedTokens: 10_000, Tokens: 10_100},
		Parts: []placement.Part{{ID: 1, Tokens: 10_000}}}
	home := b.Pick(at(0), q)
	home.Done(at(0), health.Answered)
	again := b.Pick(at(1), q)
	must.EqOp(t, home.ID, again.ID)
	again.Done(at(1), health.Answered)
	b.SetPeerLoad(at(2), "peer", map[uint32]Load{uint32(upstreamHash(home.ID)): {Requests: 40}})
	other := b.Pick(at(3), q)
	must.NotEqOp(t, home.ID, other.ID)
	must.EqOp(t, home.ID, other.PassedOver)
	other.Done(at(3), health.Answered)
	later := b.Pick(at(3000), Query{Service: "model", Placement: q.Placement, Parts: q.Parts, Tried: []string{other.ID}})
	must.EqOp(t, home.ID, later.ID)
	later.Done(at(3000), health.Answered)
}

// A restarted upstream must not be credited with the prompts that it held before.
func TestSetUpstreams_RestartDropsPrompts(t *testing.T) {
	b := newModelBalancer(100_000, "a")
	b.AddHolder(at(0), Holder{"a", []placement.Part{{ID: 1, Tokens: 10}}})
	must.Len(t, 1, b.Holders())
	restarted := directory.Upstream{Entry: directory.Entry{ID: "a", Service: "model", DataCentre: "here", Slots: 64, Started: 9}}
	b.SetUpstreams([]directory.Upstream{restarted}, nil, func(string) *routing.Service { return &routing.Service{CacheTokens: 100} })
	must.SliceEmpty(t, b.Holders())
}

// When a chat's upstream is leaving, its prompt must be copied from there instead of being processed completely again.
func TestPick_CopiesPromptsFromLeavingUpstreams(t *testing.T) {
	b := New(DefaultConfig("here"))
	upstream := func(id string) directory.Upstream {
		return directory.Upstream{Entry: directory.Entry{ID: id, Service: "model", Address: id + ":80", DataCentre: "here", Slots: 64}}
	}
	service := func(string) *routing.Service { return &routing.Service{CacheTokens: 100_000, FetchTokensPerMS: 200} }
	parts := []placement.Part{{ID: 1, Tokens: 10_000}}
	q := Query{Service: "model", Placement: placement.Request{Session: 1, SharedTokens: 10_000, Tokens: 10_100}, Parts: parts}
	b.SetUpstreams([]directory.Upstream{upstream("a"), upstream("b")}, nil, service)
	b.AddHolder(at(0), Holder{"a", parts})
	b.SetUpstreams([]directory.Upstream{upstream("b")}, []directory.Upstream{upstream("a")}, service)
	c := b.Pick(at(1), q)
	must.EqOp(t, "b", c.ID)
	must.EqOp(t, "a:80", c.FetchFrom)
	must.EqOp(t, 10_000, c.Fetched)
	c.Done(at(1), health.Answered)
	b.SetUpstreams(nil, []directory.Upstream{upstream("a"), upstream("b")}, service)
	must.Nil(t, b.Pick(at(2), q))
}

// Idle upstreams that shut down belong to their service until they are gone, and must lower the limit of the others.
func TestPick_LimitCountsUpstreamsThatShutDown(t *testing.T) {
	b := New(DefaultConfig("here"))
	var ready, leaving []directory.Upstream
	for i := range 8 {
		u := directory.Upstream{Entry: directory.Entry{ID: string(rune('a' + i)), Service: "model", DataCentre: "here", Slots: 64}}
		if i < 4 {
			ready = append(ready, u)
			continue
		}
		u.State = directory.Draining
		leaving = append(leaving, u)
	}
	service := func(string) *routing.Service { return &routing.Service{Name: "model"} }
	limit := func() float64 {
		c := b.Pick(at(0), Query{Service: "model", Placement: placement.Request{Tokens: 100}})
		c.Release()
		return c.LoadLimit
	}
	b.SetUpstreams(ready, leaving, service)
	loads := make(map[uint32]Load)
	for _, u := range ready {
		loads[uint32(upstreamHash(u.ID))] = Load{Requests: 6}
	}
	b.SetPeerLoad(at(0), "peer", loads)
	const bound = 2*3 + 3
	must.Less(t, bound, limit())
	b.SetUpstreams(ready, nil, service)
	must.Greater(t, bound, limit())
}
