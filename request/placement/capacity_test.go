package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Without differences between upstreams, decisions must be those of the code before upstreams had a speed, from which the hash comes.
func TestChoose_NoDifferences(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	hash := uint64(14695981039346656037)
	for range 20_000 {
		ups := newUpstreams(1 + random.IntN(14))
		for i := range ups {
			u := &ups[i]
			u.Load, u.Slots, u.Chats = float64(random.IntN(60)), random.IntN(3)*20, random.IntN(30)
			u.PendingTokens, u.CachedTokens = float64(random.IntN(9000)), random.IntN(3)*400
			u.FailureRate, u.Excluded, u.FetchSource = 0.4*random.Float64(), random.IntN(5) == 0, random.IntN(2) == 0
			u.Speed = float64(i % 2)
		}
		r := Request{Session: uint64(random.IntN(3)), SharedTokens: random.IntN(2) * 800}
		if random.IntN(3) > 0 {
			r.Tokens, r.FetchTokensPerMS = r.SharedTokens+random.IntN(500)+1, float64(random.IntN(2)*200)
		}
		chosen, source := Choose(DefaultConfig(), r, ups, random.Float64())
		hash = (hash ^ uint64(chosen+1)<<8 ^ uint64(source+1)) * 1099511628211
	}
	must.EqOp(t, 1460508885345249931, hash)
}

// A slow upstream must get fewer requests, but its capacity must be used when the others are busy.
func TestChoose_SlowUpstream(t *testing.T) {
	for _, r := range []Request{{Tokens: 400}, {}} {
		ups := newUpstreams(3)
		for i := range ups {
			ups[i].Slots, ups[i].Load = 6, 2
		}
		ups[1].Speed = 0.4
		for tie := range 10 {
			must.NotEqOp(t, 1, choose(DefaultConfig(), r, ups, float64(tie)/10))
		}
		ups[0].Load, ups[2].Load, ups[1].Load = 12, 12, 0
		must.EqOp(t, 1, choose(DefaultConfig(), r, ups, 0))
	}
}

// An upstream must get no more than its useful load, unless all others are full; the service must refuse nothing because of it.
func TestChoose_UsefulLoad(t *testing.T) {
	for _, r := range []Request{{Tokens: 400}, {}} {
		ups := newUpstreams(3)
		for i := range ups {
			ups[i].Slots, ups[i].Load = 64, 24
		}
		ups[1].Load, ups[1].UsefulLoad = 20, 20
		for tie := range 10 {
			must.NotEqOp(t, 1, choose(DefaultConfig(), r, ups, float64(tie)/10))
		}
		ups[1].Load = 19
		must.EqOp(t, 1, choose(DefaultConfig(), r, ups, 0))
		ups[0].Excluded, ups[2].Excluded, ups[1].Load = true, true, 20
		must.EqOp(t, 1, choose(DefaultConfig(), r, ups, 0))
	}
}

// The load bound must hold for a fast upstream too.
func TestChoose_LoadBoundOfFastUpstream(t *testing.T) {
	ups := newUpstreams(4)
	for i := range ups {
		ups[i].Slots, ups[i].Load, ups[i].Speed = 64, 10, 0.2
	}
	ups[2].Speed, ups[2].Load = 5, 18
	must.EqOp(t, 2, choose(DefaultConfig(), Request{Tokens: 400}, ups, 0))
	c := DefaultConfig()
	ups[2].Load = c.LoadLimit(ups)
	must.NotEqOp(t, 2, choose(DefaultConfig(), Request{Tokens: 400}, ups, 0))
}
