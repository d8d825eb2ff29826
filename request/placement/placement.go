// Package placement selects the upstream that serves a request.
//
// Every eligible upstream gets an expected cost in time: prefill of the prompt tokens that it has not cached, prefill already queued there,
// the requests that share its engine steps, the network hop between data centres, and its failure rate. The upstream with the lowest cost
// gets the request. If no eligible upstream is known to have a chat's prompt cached, the cost also includes a charge for each chat that an
// upstream already has cached, and the upstream with the highest rendezvous hash gets a small bonus, so that entries that decide
// concurrently choose the same one.
//
// A decision is a pure function of its inputs; it uses no clock and no I/O.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the weights of the cost model.
type Config struct {
	// PrefillTokensPerMS is the prefill speed of a model upstream, in tokens per millisecond.
	PrefillTokensPerMS float64
	// PrefillFactor weighs the prefill time of a request against the time that its caller waits: prefill also delays all other requests on
	// the upstream, and a second copy of the prompt takes cache memory from theirs.
	PrefillFactor float64
	// RunningRequestCost is the cost of each request that already runs on a model upstream.
	RunningRequestCost time.Duration
	// AnswerTimeCost is the cost of an answer that takes twice as long as on the typical upstream. It is much lower than the time itself, since a slow
	// upstream has to get a share of the requests: its capacity counts when the others are busy, and its recovery shows in answers.
	AnswerTimeCost time.Duration
	// CachedChatCost is the cost of each chat that an upstream has cached. It applies to the initial placement of a chat.
	CachedChatCost time.Duration
	// RendezvousBonus is subtracted from the cost of the upstream with the highest rendezvous hash. It applies to the initial placement of
	// a chat.
	RendezvousBonus time.Duration
	// FetchFactor weighs the time of a fetch, in which an upstream copies a part of a prompt from another upstream instead of computing it.
	// Fetches do not delay engine steps; they only use memory and the links between upstreams.
	FetchFactor float64
	// FetchSetupTime is the latency before a fetch begins.
	FetchSetupTime time.Duration
	// MinFetchTokens is the minimum length of a fetch; shorter parts are prefilled.
	MinFetchTokens int
	// CrossDataCentreCost is the cost of an upstream outside the entry's data centre.
	CrossDataCentreCost time.Duration
	// FailurePenalty is the cost of a failure rate of 1. It applies to the part of an upstream's failure rate that exceeds the lowest rate by
	// more than FailureRateTolerance: failures that all upstreams have in common are no reason to choose another one.
	FailurePenalty       time.Duration
	FailureRateTolerance float64
	// LoadFactor limits the requests on an upstream to a multiple of the mean of its service. EligibleLoadFactor is the lowest limit, as a multiple of
	// the mean of the upstreams that can take the request: it applies if many others are idle. LoadSlack is added to both.
	LoadFactor, EligibleLoadFactor, LoadSlack float64
	// SlotFactor limits the requests on a model upstream to a multiple of its slots. A request beyond the slots waits until others end, and
	// callers leave when that takes seconds.
	SlotFactor float64
}

// DefaultConfig returns weights for engines that prefill about 60 prompt tokens per millisecond.
func DefaultConfig() Config {
	return Config{
		PrefillTokensPerMS:   60,
		PrefillFactor:        6,
		FetchFactor:          2,
		FetchSetupTime:       3 * time.Millisecond,  // as specified by engines that support fetches
		MinFetchTokens:       64,                    // prefilled in about 1 ms, less than FetchSetupTime
		RunningRequestCost:   2 * time.Millisecond,  // each running request slows down every step slightly
		AnswerTimeCost:       30 * time.Millisecond, // 80 ms gave 2% fewer answers in time at 1.2 times the load, see docs/design/learned-capacity.md
		CachedChatCost:       8 * time.Millisecond,  // a short cached prefix offsets a few more chats than other upstreams have cached
		RendezvousBonus:      4 * time.Millisecond,
		CrossDataCentreCost:  2 * time.Millisecond, // one round trip
		FailurePenalty:       2 * time.Second,
		FailureRateTolerance: 0.15, // allows for a single failure among the most recent requests
		LoadFactor:           1.5,  // three quarters of the load bound of 2, since entries see different loads
		EligibleLoadFactor:   1.1,  // room for an uneven distribution
		LoadSlack:            2,
		SlotFactor:           1.25,
	}
}

// Upstream is an entry's view of an upstream at the time of the decision.
type Upstream struct {
	// Hash identifies the upstream in rendezvous hashing.
	Hash uint64
	// Local reports whether the upstream is in the entry's data centre.
	Local bool
	// Load is the number of requests on the upstream, from all entries.
	Load float64
	// Slots is the number of requests that the upstream runs concurrently; zero or less means unknown.
	Slots int
	// PendingTokens is the number of prompt tokens that wait for prefill.
	PendingTokens float64
	// CachedTokens is the number of the request's prompt tokens that the upstream is known to have cached.
	CachedTokens int
	// Chats is the number of chats that the upstream is known to have cached.
	Chats int
	// FailureRate is the fraction of requests that fail on the upstream.
	FailureRate float64
	// Speed is the speed of the upstream compared with the typical one of its service; zero or less means unknown, which counts as 1.
	Speed float64
	// UsefulLoad is the number of requests beyond which the upstream slows down; zero or less means that there is no such number.
	UsefulLoad float64
	// FetchSource reports whether other upstreams can fetch cached prompts from this one. It is independent of Excluded.
	FetchSource bool
	// Excluded reports that the upstream cannot take the request: it is down, full, cold with its cold-start rate exhausted, or has already
	// been tried.
	Excluded bool
	// Serving reports that an excluded upstream nevertheless counts towards the mean load of its service: it is up.
	Serving bool
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Session identifies the chat; zero means none.
	Session uint64
	// SharedTokens is the length of the prompt prefix that the requests of a chat share, Tokens that of the whole prompt. Both are zero for
	// plain services.
	SharedTokens, Tokens int
	// FetchTokensPerMS is the speed at which upstreams of the service fetch prompts from each other, in tokens per millisecond; zero if they
	// cannot.
	FetchTokensPerMS float64
}

// Choose returns the index of the upstream for a request, or -1 if none can take it, and the index of the upstream from which the chosen one
// should fetch a part of the prompt, or -1. tie is uniformly distributed in [0, 1) and breaks ties.
func Choose(c Config, r Request, upstreams []Upstream, tie float64) (chosen, source int) {
	source = bestFetchSource(r, upstreams)
	available := 0
	if source >= 0 {
		available = upstreams[source].CachedTokens
	}
	chosen = c.cheapest(r, upstreams, available, tie)
	if chosen < 0 || source < 0 || c.fetchTokens(available, &upstreams[chosen]) == 0 {
		return chosen, -1
	}
	return chosen, source
}

// bestFetchSource returns the index of the fetch source with the most cached tokens of the prompt, or -1.
func bestFetchSource(r Request, upstreams []Upstream) int {
	if r.FetchTokensPerMS <= 0 {
		return -1
	}
	source := -1
	for i := range upstreams {
		u := &upstreams[i]
		if u.FetchSource && u.CachedTokens > 0 && (source < 0 || u.CachedTokens > upstreams[source].CachedTokens) {
			source = i
		}
	}
	return source
}

// fetchTokens returns the number of tokens that an upstream fetches from a source that has available tokens cached.
func (c *Config) fetchTokens(available int, u *Upstream) int {
	if n := available - u.CachedTokens; n >= c.MinFetchTokens {
		return n
	}
	return 0
}

// cheapest returns the index of the upstream with the lowest cost, or -1. available is the number of the prompt's tokens that can be fetched.
//
// A request of a chat goes to an upstream that has the chat cached or to one of those that rank highest by rendezvous hash. Entries learn of each
// other's requests late; if each of them looked for the best of all upstreams, all would choose the same one until then.
func (c *Config) cheapest(r Request, upstreams []Upstream, available int, tie float64) int {
	if differ(upstreams) {
		for _, a := range []avoidance{{slow: true, waits: true}, {waits: true}} {
			if best := c.cheapestWithin(r, upstreams, available, tie, a); best >= 0 {
				return best
			}
		}
	}
	return c.cheapestWithin(r, upstreams, available, tie, avoidance{})
}

// avoidance tells which upstreams are avoided as long as others can take the request.
type avoidance struct {
	// slow are upstreams beyond their useful load, waits model upstreams without a free slot. Without the latter, the costs of slow upstreams would make
	// requests wait at full ones while slots are free.
	slow, waits bool
}

func (a avoidance) includes(r Request, u *Upstream) bool {
	return a.slow && u.UsefulLoad > 0 && u.Load+1 > max(1, u.UsefulLoad) || a.waits && r.Tokens > 0 && u.Slots > 0 && u.Load+1 > float64(u.Slots)
}

// differ reports whether any upstream is known to differ from the typical one.
func differ(upstreams []Upstream) bool {
	for i := range upstreams {
		if u := &upstreams[i]; u.speed() != 1 || u.UsefulLoad > 0 {
			return true
		}
	}
	return false
}

// cheapestWithin returns the index of the upstream with the lowest cost of those that are not avoided, or -1.
func (c *Config) cheapestWithin(r Request, upstreams []Upstream, available int, tie float64, avoided avoidance) int {
	limit := c.LoadLimit(upstreams)
	tolerated := lowestFailureRate(upstreams) + c.FailureRateTolerance
	takes := func(i int) bool {
		u := &upstreams[i]
		return !u.Excluded && u.Load+1 <= limit && !c.isFull(r, u) && !avoided.includes(r, u)
	}
	ranked := rank(r.Session, upstreams, func(i int) bool { return takes(i) && upstreams[i].FailureRate <= tolerated })
	initial := needsInitialPlacement(r, upstreams)
	best, bestCost := -1, math.Inf(1)
	start := int(tie * float64(len(upstreams)))
	for offset := range upstreams {
		// The scan starts at a random index, which spreads requests over upstreams of equal cost.
		i := (start + offset) % len(upstreams)
		u := &upstreams[i]
		if !takes(i) || !ranked.contains(i) && !holdsChat(r, u) {
			continue
		}
		cost := c.cost(r, u, available) + max(0, u.FailureRate-tolerated)*milliseconds(c.FailurePenalty)
		if initial {
			cost += float64(u.Chats) / u.speed() * milliseconds(c.CachedChatCost)
		}
		if initial && ranked.first() == i {
			cost -= milliseconds(c.RendezvousBonus)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// holdsChat reports whether an upstream has the shared prefix of the request's chat cached.
func holdsChat(r Request, u *Upstream) bool {
	return r.SharedTokens > 0 && u.CachedTokens >= r.SharedTokens
}

// isFull reports whether a model upstream has so many requests that another one would not start in time.
func (c *Config) isFull(r Request, u *Upstream) bool {
	return r.Tokens > 0 && u.Slots > 0 && u.Load >= c.SlotFactor*float64(u.Slots)
}

// needsInitialPlacement reports whether no eligible upstream is known to have the chat's shared prefix cached.
func needsInitialPlacement(r Request, upstreams []Upstream) bool {
	if r.SharedTokens == 0 {
		return false
	}
	for i := range upstreams {
		if !upstreams[i].Excluded && holdsChat(r, &upstreams[i]) {
			return false
		}
	}
	return true
}

// LoadLimit returns the maximum number of requests on one upstream: a multiple of the mean of the service. It is never so low that the eligible
// upstreams could not take all requests.
func (c *Config) LoadLimit(upstreams []Upstream) float64 {
	var sum, eligibleSum float64
	var n, eligible int
	for i := range upstreams {
		u := &upstreams[i]
		if !u.Excluded {
			eligibleSum += u.Load
			eligible++
		}
		if !u.Excluded || u.Serving {
			sum += u.Load
			n++
		}
	}
	if eligible == 0 {
		return 0
	}
	return max(c.LoadFactor*(sum+1)/float64(n), c.EligibleLoadFactor*(eligibleSum+1)/float64(eligible)) + c.LoadSlack
}

// rankedUpstreams is the number of upstreams that are considered for a chat by their rendezvous scores.
const rankedUpstreams = 4

// ranking holds the indices of the upstreams with the highest rendezvous scores for a chat, in descending order of score.
type ranking struct {
	indices [rankedUpstreams]int
	scores  [rankedUpstreams]uint64
	n       int
	// all means that every upstream is considered.
	all bool
}

// rank returns the highest ranked of the eligible upstreams for a chat. Requests without a chat have no ranking, and without an eligible upstream
// all are considered.
func rank(session uint64, upstreams []Upstream, eligible func(i int) bool) ranking {
	r := ranking{all: session == 0}
	if r.all {
		return r
	}
	for i := range upstreams {
		if eligible(i) {
			r.insert(i, rendezvousScore(session, upstreams[i].Hash))
		}
	}
	r.all = r.n == 0
	return r
}

// insert adds an upstream if it is among the highest so far.
func (r *ranking) insert(index int, score uint64) {
	at := r.n
	for at > 0 && r.scores[at-1] < score {
		at--
	}
	if at == rankedUpstreams {
		return
	}
	r.n = min(r.n+1, rankedUpstreams)
	copy(r.indices[at+1:r.n], r.indices[at:])
	copy(r.scores[at+1:r.n], r.scores[at:])
	r.indices[at], r.scores[at] = index, score
}

func (r *ranking) contains(index int) bool {
	for _, i := range r.indices[:r.n] {
		if i == index {
			return true
		}
	}
	return r.all
}

// first returns the index of the highest ranked upstream, or -1 if there is none.
func (r *ranking) first() int {
	if r.n == 0 {
		return -1
	}
	return r.indices[0]
}

// rendezvousScore hashes the pair of a chat and an upstream.
func rendezvousScore(session, upstream uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(session >> (8 * i))
		b[8+i] = byte(upstream >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// lowestFailureRate returns the lowest failure rate of the eligible upstreams.
func lowestFailureRate(upstreams []Upstream) float64 {
	lowest := 1.0
	for i := range upstreams {
		if !upstreams[i].Excluded {
			lowest = min(lowest, upstreams[i].FailureRate)
		}
	}
	return lowest
}

// cost returns the expected cost of the request on an upstream, in milliseconds.
func (c *Config) cost(r Request, u *Upstream, available int) float64 {
	cost := 0.0
	if !u.Local {
		cost += milliseconds(c.CrossDataCentreCost)
	}
	if r.Tokens == 0 {
		return cost + queueingDelay(u)/u.speed() + (1/u.speed()-1)*milliseconds(plainServiceTime)
	}
	fetched := c.fetchTokens(available, u)
	if fetched > 0 {
		cost += c.FetchFactor * (float64(fetched)/r.FetchTokensPerMS + milliseconds(c.FetchSetupTime))
	}
	prefill := float64(max(0, r.Tokens-u.CachedTokens-fetched))
	cost += (c.PrefillFactor*prefill + u.PendingTokens) / (c.PrefillTokensPerMS * u.speed())
	// The request itself runs longer on a slow upstream too.
	return cost + u.Load/u.speed()*milliseconds(c.RunningRequestCost) + (1/u.speed()-1)*milliseconds(c.AnswerTimeCost)
}

// speed returns Speed, or 1 if it is unknown.
func (u *Upstream) speed() float64 {
	if u.Speed <= 0 {
		return 1
	}
	return u.Speed
}

// plainServiceTime is the assumed run time of a request to a plain service. The latency objective is several times that.
const plainServiceTime = 30 * time.Millisecond

// queueingDelay returns the expected wait for a slot of a plain service, in milliseconds. Half a request's time is added for each running
// request, since entries see the load from other entries with a delay.
func queueingDelay(u *Upstream) float64 {
	if u.Slots <= 0 {
		return u.Load * milliseconds(plainServiceTime)
	}
	waiting := max(0, u.Load+1-float64(u.Slots))
	busy := min(1, u.Load/float64(u.Slots))
	return (waiting/float64(u.Slots) + busy/2) * milliseconds(plainServiceTime)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
