package placement

import (
	"testing"

	"github.com/shoenig/test/must"
)

// newUpstreams returns n idle upstreams in the entry's data centre.
func newUpstreams(n int) []Upstream {
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{Hash: uint64(i + 1), Slots: 64, Local: true}
	}
	return ups
}

// New chats must spread over all upstreams, and entries that decide concurrently must choose the same one.
func TestChoose_NewChatsSpread(t *testing.T) {
	ups, counts := newUpstreams(12), make([]int, 12)
	for session := uint64(1); session <= 600; session++ {
		r := Request{Session: session, SharedTokens: 700, Tokens: 800}
		at := choose(DefaultConfig(), r, ups, 0.1)
		must.EqOp(t, at, choose(DefaultConfig(), r, ups, 0.9))
		counts[at]++
	}
	for _, n := range counts {
		must.Between(t, 25, n, 80)
	}
}

// New chats must go to upstreams with few chats, even if another upstream has a short prefix of the prompt cached.
func TestChoose_InitialPlacementIsBalanced(t *testing.T) {
	ups := newUpstreams(3)
	r := Request{Session: 7, SharedTokens: 700, Tokens: 800}
	ups[0].Chats, ups[0].CachedTokens = 3, 300
	ups[1].Chats, ups[2].Chats = 1, 1
	must.EqOp(t, 0, choose(DefaultConfig(), r, ups, 0))
	ups[0].Chats = 9
	must.NotEqOp(t, 0, choose(DefaultConfig(), r, ups, 0))
}

// A chat must return to the upstream that has its prompt cached, for any tie breaker, and move to another one only when the queue there costs
// more than a new prefill.
func TestChoose_ReturnsUntilWaitingCostsMore(t *testing.T) {
	ups := newUpstreams(12)
	r := Request{Session: 7, SharedTokens: 10_000, Tokens: 10_500}
	ups[5].CachedTokens, ups[5].Chats = 10_000, 40
	must.EqOp(t, 5, choose(DefaultConfig(), r, ups, 0))
	must.EqOp(t, 5, choose(DefaultConfig(), r, ups, 0.9))
	ups[5].PendingTokens = 25_000
	must.EqOp(t, 5, choose(DefaultConfig(), r, ups, 0))
	ups[5].PendingTokens = 75_000
	must.NotEqOp(t, 5, choose(DefaultConfig(), r, ups, 0))
}

// No upstream may exceed the load bound, even if it is the only one with the prompt cached.
func TestChoose_LoadBound(t *testing.T) {
	ups := newUpstreams(4)
	for i := range ups {
		ups[i].Load = 4
	}
	r := Request{Session: 7, SharedTokens: 10_000, Tokens: 10_500}
	ups[2].Load, ups[2].CachedTokens = 16, 10_500
	must.NotEqOp(t, 2, choose(DefaultConfig(), r, ups, 0))
}

// An upstream that fails half of its requests must be avoided while healthy ones are available, and used when it is the only one.
func TestChoose_AvoidsFailing(t *testing.T) {
	ups := newUpstreams(3)
	ups[1].FailureRate = 0.5
	for session := uint64(1); session < 50; session++ {
		must.NotEqOp(t, 1, choose(DefaultConfig(), Request{Session: session, SharedTokens: 100, Tokens: 200}, ups, 0.5))
	}
	ups[0].Excluded, ups[2].Excluded = true, true
	must.EqOp(t, 1, choose(DefaultConfig(), Request{Session: 1, Tokens: 10}, ups, 0.5))
	ups[1].Excluded = true
	must.EqOp(t, -1, choose(DefaultConfig(), Request{Session: 1, Tokens: 10}, ups, 0.5))
}

// Requests to a plain service must go to the upstream with free slots rather than queue.
func TestChoose_PlainServicePrefersFreeSlots(t *testing.T) {
	ups := []Upstream{{Hash: 1, Slots: 6, Load: 6, Local: true}, {Hash: 2, Slots: 6, Load: 2}, {Hash: 3, Slots: 6, Load: 5}}
	must.EqOp(t, 1, choose(DefaultConfig(), Request{}, ups, 0))
}

// Parts evicted beyond the capacity must not count as cached, nor parts whose prefix was evicted.
func TestCache_EvictsLeastRecentlyUsed(t *testing.T) {
	c := NewCache(1000)
	a := []Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 400}}
	b := []Part{{ID: 1, Tokens: 100}, {ID: 3, Tokens: 600}}
	must.Eq(t, a, c.Record(a))
	must.SliceEmpty(t, c.Record(a))
	must.EqOp(t, 500, c.CachedTokens(a))
	must.EqOp(t, 100, c.CachedTokens(b))
	must.Eq(t, b[1:], c.Record(b))
	must.EqOp(t, 700, c.CachedTokens(b))
	c.Record([]Part{{ID: 4, Tokens: 250}})
	must.EqOp(t, 100, c.CachedTokens(a))
	must.EqOp(t, 700, c.CachedTokens(b))
	must.Eq(t, []Part{{1, 100}, {3, 600}, {4, 250}}, c.Parts())
}

// Failures that all upstreams have in common must not move chats: a move costs a new prefill and gains nothing.
func TestChoose_CommonFailuresMoveNoChat(t *testing.T) {
	ups := newUpstreams(12)
	for i := range ups {
		ups[i].FailureRate = 0.4 + 0.01*float64(i)
	}
	ups[11].CachedTokens = 700
	must.EqOp(t, 11, choose(DefaultConfig(), Request{Session: 7, SharedTokens: 700, Tokens: 800}, ups, 0))
}

// choose returns only the chosen upstream.
func choose(c Config, r Request, upstreams []Upstream, tie float64) int {
	at, _ := Choose(c, r, upstreams, tie)
	return at
}

// A chat that moves must have its prompt fetched from its previous upstream instead of prefilled again, even if that upstream is excluded. An
// upstream that others cannot fetch from must not be returned as the source.
func TestChoose_FetchesCachedPrompt(t *testing.T) {
	ups := newUpstreams(4)
	r := Request{Session: 7, SharedTokens: 10_000, Tokens: 10_500, FetchTokensPerMS: 200}
	ups[2].CachedTokens, ups[2].FetchSource, ups[2].Excluded = 10_000, true, true
	at, source := Choose(DefaultConfig(), r, ups, 0)
	must.NotEqOp(t, 2, at)
	must.EqOp(t, 2, source)
	ups[2].FetchSource = false
	_, source = Choose(DefaultConfig(), r, ups, 0)
	must.EqOp(t, -1, source)
	ups[2].FetchSource, r.FetchTokensPerMS = true, 0
	_, source = Choose(DefaultConfig(), r, ups, 0)
	must.EqOp(t, -1, source)
}

// An upstream that has little more load than the others must keep its chats: a fetch takes memory on both upstreams and waits for the links.
// A difference below MinFetchTokens must not cause a fetch.
func TestChoose_FetchesOnlyIfCheaper(t *testing.T) {
	ups := newUpstreams(4)
	r := Request{Session: 7, SharedTokens: 10_000, Tokens: 10_500, FetchTokensPerMS: 200}
	ups[2].CachedTokens, ups[2].FetchSource, ups[2].Load = 10_000, true, 2
	at, source := Choose(DefaultConfig(), r, ups, 0)
	must.EqOp(t, 2, at)
	must.EqOp(t, -1, source)
	ups[1].CachedTokens, ups[1].FetchSource = 9_990, true
	at, source = Choose(DefaultConfig(), r, ups, 0)
	must.EqOp(t, 1, at)
	must.EqOp(t, -1, source)
}

// If only one model upstream can take requests, it must not get more than it can start in time, however many the others refuse.
func TestChoose_LastModelUpstreamIsNotOverloaded(t *testing.T) {
	upstreams := []Upstream{{Hash: 1, Slots: 64, Load: 79}, {Hash: 2, Slots: 64, Excluded: true}}
	model, plain := Request{Tokens: 500}, Request{}
	chosen, _ := Choose(DefaultConfig(), model, upstreams, 0)
	must.EqOp(t, 0, chosen)
	upstreams[0].Load = 80
	chosen, _ = Choose(DefaultConfig(), model, upstreams, 0)
	must.EqOp(t, -1, chosen)
	chosen, _ = Choose(DefaultConfig(), plain, upstreams, 0)
	must.EqOp(t, 0, chosen)
	upstreams[0].Slots = 0
	chosen, _ = Choose(DefaultConfig(), model, upstreams, 0)
	must.EqOp(t, 0, chosen)
}

// Entries that know nothing of each other's latest requests must not all send new chats to the upstream that seems best, such as one that has just
// been added.
func TestChoose_NewUpstreamIsNotChosenForAllChats(t *testing.T) {
	ups, counts := newUpstreams(40), make([]int, 40)
	for i := range ups {
		ups[i].Chats, ups[i].Load = 20, 6
	}
	ups[39].Chats, ups[39].Load = 0, 0
	const chats = 4000
	for session := uint64(1); session <= chats; session++ {
		counts[choose(DefaultConfig(), Request{Session: session, SharedTokens: 700, Tokens: 800}, ups, 0.5)]++
	}
	must.Between(t, chats/40, counts[39], chats/8)
}

// Idle upstreams that a request may not use, such as those of a new version, must lower the limit of the others, but not below what these need.
func TestLoadLimit_CountsIdleUpstreams(t *testing.T) {
	c, ups := DefaultConfig(), newUpstreams(20)
	for i := range ups {
		ups[i].Load = 8
	}
	alone := c.LoadLimit(ups[:10])
	for i := range ups[10:] {
		ups[10+i].Load, ups[10+i].Excluded, ups[10+i].Serving = 0, true, true
	}
	const bound = 2*4 + 3
	must.Less(t, bound, c.LoadLimit(ups))
	must.Greater(t, 8+1, c.LoadLimit(ups))
	for i := range ups[10:] {
		ups[10+i].Serving = false
	}
	must.EqOp(t, alone, c.LoadLimit(ups))
}
