// Package placement decides which upstream gets a request.
//
// Each upstream that may take the request has an expected cost in time: reading the part of the prompt that it does not hold, the
// prompts that wait before it, the requests that share its steps, the way between data centres, and what its failures would cost. The
// cheapest one gets the request. A chat that no upstream is known to hold gets a home: upstreams with few chats cost less then, and the
// one that rendezvous hashing ranks first is preferred a little, so that entries that decide at the same moment agree.
//
// A decision is a function of its inputs, without clock or I/O.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config weighs the costs.
type Config struct {
	// ReadTokensPerMS is the speed at which a model upstream reads prompts, in tokens per millisecond.
	ReadTokensPerMS float64
	// ReadAgainFactor is the weight of the time that an upstream spends on a prompt against the time that the caller waits: reading
	// also delays all others there, and a copy of the prompt takes memory from theirs.
	ReadAgainFactor float64
	// PerRequest is the cost of each request that already runs at a model upstream.
	PerRequest time.Duration
	// PerChat is the cost of each chat that an upstream holds, when a chat gets a home.
	PerChat time.Duration
	// RankedFirst is the advantage of the upstream that rendezvous hashing ranks first, when a chat gets a home.
	RankedFirst time.Duration
	// FetchFactor is the weight of the time in which an upstream copies a part of a prompt from another one instead of reading it. Copies
	// delay nobody's steps; they only take memory and the links between upstreams.
	FetchFactor float64
	// FetchSetup is the time before a copy begins.
	FetchSetup time.Duration
	// MinFetchTokens is the least number of tokens worth a copy; what is shorter is read.
	MinFetchTokens int
	// OtherDataCentre is the cost of leaving the entry's data centre.
	OtherDataCentre time.Duration
	// FailurePenalty is the cost of a request that fails for certain. It counts for what an upstream fails beyond the least failing
	// one and FailureTolerance: failures that all have in common are no reason to choose another.
	FailurePenalty   time.Duration
	FailureTolerance float64
	// LoadFactor is the most requests that an upstream may hold as a multiple of the mean of its service, LoadSlack a number beyond it.
	LoadFactor, LoadSlack float64
}

// DefaultConfig returns weights for engines that read some 60 prompt tokens in a millisecond.
func DefaultConfig() Config {
	return Config{
		ReadTokensPerMS:  60,
		ReadAgainFactor:  6,
		FetchFactor:      2,
		FetchSetup:       3 * time.Millisecond, // stated by engines that copy
		MinFetchTokens:   64,                   // read in 1 ms, less than the setup
		PerRequest:       2 * time.Millisecond, // a running request delays each step a little
		PerChat:          8 * time.Millisecond, // a short common part is worth a few chats more than elsewhere
		RankedFirst:      4 * time.Millisecond,
		OtherDataCentre:  2 * time.Millisecond, // a round trip
		FailurePenalty:   2 * time.Second,
		FailureTolerance: 0.15, // a single failure among the latest requests
		LoadFactor:       1.5,  // three quarters of a bound of 2, as views of the load differ
		LoadSlack:        2,
	}
}

// Upstream is what an entry knows of an upstream at the moment of the decision.
type Upstream struct {
	// Hash identifies the upstream in rendezvous hashing.
	Hash uint64
	// Local says that the upstream is in the entry's data centre.
	Local bool
	// Load is the number of requests that it holds, from all entries.
	Load float64
	// Slots is the number of requests that it runs at once; zero means unknown.
	Slots int
	// PendingTokens are the prompt tokens that it has yet to read.
	PendingTokens float64
	// CachedTokens are those of the request's prompt that it is known to hold.
	CachedTokens int
	// Chats is the number of chats that it is known to hold.
	Chats int
	// FailureRate is the share of requests that fail there.
	FailureRate float64
	// Source says that other upstreams can copy from it what it holds, whether or not it takes requests.
	Source bool
	// Excluded upstreams cannot take the request: they are down, full, cold with nothing left of their rate, or were tried.
	Excluded bool
}

// Request is what placement needs to know of a request.
type Request struct {
	// Session identifies the chat, or zero.
	Session uint64
	// SharedTokens is the length of the prompt's part that the chat shares, Tokens that of the whole prompt. Zero for plain services.
	SharedTokens, Tokens int
	// FetchTokensPerMS is the speed at which upstreams of the service copy prompts from each other, in tokens per millisecond; zero if they
	// cannot.
	FetchTokensPerMS float64
}

// Choose returns the index of the upstream for a request, or -1 if none can take it, and the index of the one from which it should copy a
// part of the prompt, or -1. tie is uniform in [0, 1) and decides between equals.
func Choose(c Config, r Request, upstreams []Upstream, tie float64) (chosen, source int) {
	source = fullestSource(r, upstreams)
	available := 0
	if source >= 0 {
		available = upstreams[source].CachedTokens
	}
	chosen = c.cheapest(r, upstreams, available, tie)
	if chosen < 0 || source < 0 || c.fetched(available, &upstreams[chosen]) == 0 {
		return chosen, -1
	}
	return chosen, source
}

// fullestSource returns the index of the upstream that holds most of the prompt and can be copied from, or -1.
func fullestSource(r Request, upstreams []Upstream) int {
	if r.FetchTokensPerMS <= 0 {
		return -1
	}
	source := -1
	for i := range upstreams {
		u := &upstreams[i]
		if u.Source && u.CachedTokens > 0 && (source < 0 || u.CachedTokens > upstreams[source].CachedTokens) {
			source = i
		}
	}
	return source
}

// fetched is the number of tokens that an upstream copies if available ones can be had.
func (c *Config) fetched(available int, u *Upstream) int {
	if n := available - u.CachedTokens; n >= c.MinFetchTokens {
		return n
	}
	return 0
}

// cheapest returns the index of the upstream with the least cost, or -1. available is the number of the prompt's tokens that can be copied.
func (c *Config) cheapest(r Request, upstreams []Upstream, available int, tie float64) int {
	limit := c.loadLimit(upstreams)
	home := needsHome(r, upstreams)
	first := -1
	if home {
		first = rankedFirst(r.Session, upstreams)
	}
	common := leastFailing(upstreams) + c.FailureTolerance
	best, bestCost := -1, math.Inf(1)
	for at := range upstreams {
		// The scan begins at a random place, so that equals share the requests.
		i := (at + int(tie*float64(len(upstreams)))) % len(upstreams)
		u := &upstreams[i]
		if u.Excluded || u.Load+1 > limit {
			continue
		}
		cost := c.cost(r, u, available) + max(0, u.FailureRate-common)*milliseconds(c.FailurePenalty)
		if home {
			cost += float64(u.Chats) * milliseconds(c.PerChat)
		}
		if i == first {
			cost -= milliseconds(c.RankedFirst)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// needsHome says whether no upstream that can take the request is known to hold the chat's prompt.
func needsHome(r Request, upstreams []Upstream) bool {
	if r.SharedTokens == 0 {
		return false
	}
	for i := range upstreams {
		if !upstreams[i].Excluded && upstreams[i].CachedTokens >= r.SharedTokens {
			return false
		}
	}
	return true
}

// loadLimit is the most requests that an upstream may hold. Upstreams that take none do not lower the mean.
func (c *Config) loadLimit(upstreams []Upstream) float64 {
	sum, n := 0.0, 0
	for i := range upstreams {
		if upstreams[i].Excluded {
			continue
		}
		sum += upstreams[i].Load
		n++
	}
	if n == 0 {
		return 0
	}
	return c.LoadFactor*(sum+1)/float64(n) + c.LoadSlack
}

// rankedFirst returns the index of the chat's first upstream among those that take requests, or -1.
func rankedFirst(session uint64, upstreams []Upstream) int {
	if session == 0 {
		return -1
	}
	first, highest := -1, uint64(0)
	for i := range upstreams {
		if upstreams[i].Excluded {
			continue
		}
		if h := mix(session, upstreams[i].Hash); first < 0 || h > highest {
			first, highest = i, h
		}
	}
	return first
}

func mix(session, upstream uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(session >> (8 * i))
		b[8+i] = byte(upstream >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// leastFailing is the lowest failure rate of the upstreams that take requests.
func leastFailing(upstreams []Upstream) float64 {
	least := 1.0
	for i := range upstreams {
		if !upstreams[i].Excluded {
			least = min(least, upstreams[i].FailureRate)
		}
	}
	return least
}

// cost is the expected time that the request costs at an upstream, in milliseconds.
func (c *Config) cost(r Request, u *Upstream, available int) float64 {
	cost := 0.0
	if !u.Local {
		cost += milliseconds(c.OtherDataCentre)
	}
	if r.Tokens == 0 {
		return cost + queueing(u)
	}
	fetched := c.fetched(available, u)
	if fetched > 0 {
		cost += c.FetchFactor * (float64(fetched)/r.FetchTokensPerMS + milliseconds(c.FetchSetup))
	}
	read := float64(max(0, r.Tokens-u.CachedTokens-fetched))
	cost += (c.ReadAgainFactor*read + u.PendingTokens) / c.ReadTokensPerMS
	return cost + u.Load*milliseconds(c.PerRequest)
}

// plainWork is the time that a request to a plain service is taken to run; its objective is several times that.
const plainWork = 30 * time.Millisecond

// queueing is the wait for a slot of a plain service. Half a request's time is added for each that runs, since entries see the load of
// others with delay.
func queueing(u *Upstream) float64 {
	if u.Slots == 0 {
		return u.Load * milliseconds(plainWork)
	}
	waiting := max(0, u.Load+1-float64(u.Slots))
	busy := min(1, u.Load/float64(u.Slots))
	return (waiting/float64(u.Slots) + busy/2) * milliseconds(plainWork)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
