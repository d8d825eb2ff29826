// Package capacity learns from answers how fast each upstream of a service is compared with the others, and from which load on it slows down.
//
// An observation is compared with what the typical upstream of the service takes for the same work: the time to read as many prompt tokens, the gap
// between events at as many requests, the response time of the same class of request at as many requests. Each of these expectations is learned
// too, so that a demanding request or a slow model is not taken for a slow machine. Deviations are relative to the median upstream: if all are
// slow, none is.
//
// Observations lose weight with time, and an upstream without recent ones counts as typical. A slow upstream therefore gets requests again after
// some seconds, whose answers show whether it has recovered; nothing is probed.
//
// The package uses no clock and no I/O. Its types are not safe for concurrent use.
package capacity

import (
	"math"
	"slices"
	"time"
)

// Config holds the constants of the estimate.
type Config struct {
	// Memory is the time in which the weight of an observation of an upstream's speed falls to 1/e.
	Memory time.Duration
	// CurveMemory is the same for the observations by load, which take longer to collect.
	CurveMemory time.Duration
	// Prior is the number of observations that the assumption of a typical upstream is worth.
	Prior float64
	// Tolerance is the deviation that is mostly ignored, as a logarithm of the time: phases of slowness and chance cause as much among equal
	// upstreams.
	Tolerance float64
	// SlowFactor is the increase of the time over that at lower loads from which an upstream counts as slowed down by its load.
	SlowFactor float64
	// MinCurveTime is the time that an upstream must have been observed at a load to judge it.
	MinCurveTime time.Duration
	// ReportMaxAge is the age at which a reported slowdown is worth nothing. Its weight falls linearly until then.
	ReportMaxAge time.Duration
	// MaxPeerWeight is the largest number of observations that a peer's estimate is worth, PeerMemory the time in which its worth falls to 1/e.
	MaxPeerWeight float64
	PeerMemory    time.Duration
}

// DefaultConfig returns the default constants.
func DefaultConfig() Config {
	return Config{
		Memory:        2 * time.Second, // a few phases of slowness of 600 ms, so that one of them does not count as a slow machine
		CurveMemory:   20 * time.Second,
		Prior:         6,                      // with 3, chance made equal upstreams differ
		Tolerance:     0.2,                    // phases that take 2.5 times as long and 15% of the time cause 0.18 within Memory
		SlowFactor:    1.5,                    // a phase of slowness also raises the load, but is over before the load has fallen again
		MinCurveTime:  2 * time.Second,        // several phases of slowness
		ReportMaxAge:  600 * time.Millisecond, // the length of a phase: at half of it, half of the phases that were reported are over
		MaxPeerWeight: 10,                     // a peer that errs must not outweigh own observations for long
		PeerMemory:    3 * time.Second,
	}
}

const (
	// MinSpeed and MaxSpeed bound Estimate.Speed.
	MinSpeed, MaxSpeed = 0.2, 5
	// MaxUsefulFactor bounds Estimate.UsefulLoad as a multiple of the upstream's slots.
	MaxUsefulFactor = 1.25
	// maxPeers is the number of peers whose estimates of an upstream are kept, the latest of each.
	maxPeers = 9
	// loadLevels is the number of ranges of load, up to MaxUsefulFactor times the slots, that are judged separately.
	loadLevels = 8
	// minMedianWeight is the number of observations from which an upstream counts for the median.
	minMedianWeight = 1
	// levelInterval is the time between observations of full weight at a load.
	levelInterval = 100 * time.Millisecond
	// belowShare is the fraction of Config.MinCurveTime, as a divisor, that is needed at lower loads: an upstream that slows down is seldom seen
	// there.
	belowShare = 4
	// refreshInterval is the time after which derived figures are computed anew.
	refreshInterval = 100 * time.Millisecond
	// maxSampleTime is the longest time that is taken for an observation.
	maxSampleTime = time.Minute
	// timeOffset is added to each time, so that differences of some milliseconds, which the network between data centres and the scheduling of
	// processes make, do not count as slowness of upstreams that answer within as much.
	timeOffset = 5 * time.Millisecond
	// fullPromptTokens is the number of tokens from which an observation of reading them has full weight. The time until the first event of a shorter
	// prompt consists mostly of other things.
	fullPromptTokens = 1000
)

// Sample is what one answer shows. Times of zero were not observed.
type Sample struct {
	// Requests is the number of requests at the upstream, this one included.
	Requests int
	// Class distinguishes requests to a plain service that take different times, for instance by their route.
	Class uint64
	// PromptTokens is the number of tokens that had to be read, PendingTokens the number that were to be read before them, and FirstEvent the time
	// from sending the request to the first event.
	PromptTokens, PendingTokens int
	FirstEvent                  time.Duration
	// EventGap is the mean time between successive events.
	EventGap time.Duration
	// Response is the response time of a plain service.
	Response time.Duration
}

// Estimate is what an upstream is believed to take.
type Estimate struct {
	// Speed is relative to the typical upstream of the service, within MinSpeed and MaxSpeed; 1 is typical.
	Speed float64
	// UsefulLoad is the number of requests beyond which the upstream slows down, at least 1 and at most MaxUsefulFactor times its slots. Zero means
	// that there is no such number.
	UsefulLoad float64
}

// Typical is the estimate of an upstream that nothing is known about.
var Typical = Estimate{Speed: 1}

// Estimator holds the estimates of the upstreams of one service.
type Estimator struct {
	config    Config
	expected  [kinds]expectation
	upstreams []*Upstream
	// median is the median deviation of the upstreams.
	median   float64
	medianAt time.Time
	scratch  []float64
}

// Upstream holds the observations of one upstream process.
type Upstream struct {
	estimator *Estimator
	slots     int
	speed     weighted
	levels    [loadLevels]weighted
	// useful is the last computed load from which the upstream slows down by its own observations, zero if there is none.
	useful   float64
	usefulAt time.Time
	// learned is the last computed estimate without the reported slowdown.
	learned   Estimate
	learnedAt time.Time
	// reported is the logarithm of the reported slowdown, at least zero.
	reported   float64
	reportedAt time.Time
	peers      [maxPeers]peerEstimate
}

// weighted is a sum of observations whose weight falls with time.
type weighted struct {
	sum, weight float64
	at          time.Time
}

type peerEstimate struct {
	peer     uint64
	slowness float64
	useful   float64
	weight   float64
	at       time.Time
}

// New returns an estimator without upstreams.
func New(config Config) *Estimator { return &Estimator{config: config} }

// NewUpstream returns the state of an upstream process without observations. It belongs to the estimator after SetUpstreams.
func (s *Estimator) NewUpstream() *Upstream { return &Upstream{estimator: s} }

// SetUpstreams sets the upstreams that are compared with each other.
func (s *Estimator) SetUpstreams(upstreams []*Upstream) {
	s.upstreams = upstreams
	s.scratch = make([]float64, 0, len(upstreams))
	s.medianAt = time.Time{}
}

// SetSlots sets the number of requests that the upstream runs at once, zero or less if that is unknown.
func (u *Upstream) SetSlots(slots int) {
	if u.slots != slots {
		u.slots, u.levels, u.useful = slots, [loadLevels]weighted{}, 0
	}
}

// Record adds what an answer of the upstream shows. Impossible figures are ignored.
func (u *Upstream) Record(now time.Time, x Sample) {
	if x.Requests < 0 || x.PromptTokens < 0 || x.PendingTokens < 0 {
		return
	}
	waits := u.slots > 0 && x.Requests > u.slots
	if x.FirstEvent > 0 && x.PromptTokens > 0 && !waits {
		tokens := float64(x.PromptTokens) + float64(x.PendingTokens)
		u.observe(now, x, promptRead, logLevel(tokens), x.FirstEvent, min(1, tokens/fullPromptTokens))
	}
	if x.EventGap > 0 {
		u.observe(now, x, eventGap, logLevel(float64(x.Requests)), x.EventGap, 1)
	}
	if x.Response > 0 {
		u.observe(now, x, response, logLevel(float64(x.Requests)), x.Response, 1)
	}
}

func (u *Upstream) observe(now time.Time, x Sample, k kind, level int, took time.Duration, weight float64) {
	if took > maxSampleTime {
		return
	}
	s := u.estimator
	value := math.Log(float64(took + timeOffset))
	deviation, usable := s.expected[k].compare(value, u.speed.mean(s.config.Prior), level, x.Class)
	if !usable {
		return
	}
	if now.Before(u.speed.at) {
		now = u.speed.at // goroutines may record in another order than they took the time
	}
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	u.speed.add(now, deviation, weight, s.config.Memory)
	if level := u.loadLevel(x.Requests); level >= 0 && k != promptRead {
		s.refreshMedian(now)
		l := &u.levels[level]
		// The weight is the time at this load: a short phase with many observations must not outweigh a long one.
		l.add(now, deviation-s.median, min(1, float64(now.Sub(l.at))/float64(levelInterval)), s.config.CurveMemory)
	}
}

// RecordSlowdown records the slowdown that the upstream reported, in percent. A speed above the usual one is not believed: only observed times
// show it.
func (u *Upstream) RecordSlowdown(now time.Time, percent int) {
	u.reported, u.reportedAt = 0, now
	if percent > 100 {
		u.reported = min(math.Log(float64(percent)/100), maxDeviation)
	}
}

// Estimate returns what the upstream takes, from all that is known. It does not allocate.
func (u *Upstream) Estimate(now time.Time) Estimate {
	s := u.estimator
	e := u.Learned(now)
	if age := now.Sub(u.reportedAt); u.reported > 0 && age < s.config.ReportMaxAge {
		worth := 1 - float64(max(0, age))/float64(s.config.ReportMaxAge)
		e.Speed = min(e.Speed, speedOf(worth*u.reported))
	}
	return e
}

// Learned returns the estimate without the slowdown that the upstream reported, which changes many times a second.
func (u *Upstream) Learned(now time.Time) Estimate {
	if isOld(now, u.learnedAt) {
		s := u.estimator
		s.refreshMedian(now)
		u.learned, u.learnedAt = Estimate{Speed: speedOf(s.ignoreTolerated(u.slowness(now))), UsefulLoad: u.usefulLoad(now)}, now
	}
	return u.learned
}

// isOld reports whether a figure derived at a time has to be computed anew.
func isOld(now, at time.Time) bool {
	elapsed := now.Sub(at)
	return at.IsZero() || elapsed < 0 || elapsed >= refreshInterval
}

// Own returns what the own observations alone show, for peers to combine with theirs, and the number of observations that it is based on.
func (u *Upstream) Own(now time.Time) (e Estimate, weight float64) {
	s := u.estimator
	s.refreshMedian(now)
	sum, weight := u.speed.decayed(now, s.config.Memory)
	if weight == 0 {
		return Typical, 0
	}
	return Estimate{Speed: speedOf(sum/weight - s.median), UsefulLoad: u.ownUsefulLoad(now)}, weight
}

// AddPeerEstimate takes over a peer's own estimate of the time at, based on weight observations. A later one of the same peer replaces it; older
// ones ignored. It returns false if the figures are out of bounds.
func (u *Upstream) AddPeerEstimate(peer uint64, at time.Time, e Estimate, weight float64) bool {
	if !(weight >= 0) || !(e.Speed >= MinSpeed && e.Speed <= MaxSpeed) || !(e.UsefulLoad == 0 || e.UsefulLoad >= 1) {
		return false
	}
	if limit := MaxUsefulFactor * float64(u.slots); u.slots > 0 && e.UsefulLoad > limit {
		return false
	}
	replaced := 0
	for i := range u.peers {
		if u.peers[i].peer == peer {
			replaced = i
			break
		}
		if u.peers[i].at.Before(u.peers[replaced].at) {
			replaced = i
		}
	}
	if p := &u.peers[replaced]; at.After(p.at) {
		u.learnedAt = time.Time{}
		*p = peerEstimate{peer: peer, slowness: -math.Log(e.Speed), useful: e.UsefulLoad, at: at, weight: min(weight, u.estimator.config.MaxPeerWeight)}
	}
	return true
}

// slowness returns the logarithm of the time that the upstream takes compared with the typical one.
func (u *Upstream) slowness(now time.Time) float64 {
	s := u.estimator
	sum, weight := u.speed.decayed(now, s.config.Memory)
	sum -= weight * s.median
	for i := range u.peers {
		if p := &u.peers[i]; !p.at.IsZero() {
			w := p.weight * decay(now.Sub(p.at), s.config.PeerMemory)
			sum += w * p.slowness
			weight += w
		}
	}
	return sum / (weight + s.config.Prior)
}

// ignoreTolerated removes a deviation within the tolerance, and keeps most of one well beyond it.
func (s *Estimator) ignoreTolerated(slowness float64) float64 {
	t := s.config.Tolerance
	if math.Abs(slowness) <= t {
		return 0
	}
	return slowness * (1 - t*t/(slowness*slowness))
}

func speedOf(slowness float64) float64 {
	if slowness == 0 {
		return 1
	}
	return min(max(math.Exp(-slowness), MinSpeed), MaxSpeed)
}

// loadLevel returns the range of load that a number of requests belongs to, negative if the slots are unknown.
func (u *Upstream) loadLevel(requests int) int {
	if u.slots <= 0 {
		return -1
	}
	return min(int(float64(requests)/u.levelWidth()), loadLevels-1)
}

func (u *Upstream) levelWidth() float64 { return MaxUsefulFactor * float64(u.slots) / loadLevels }

// usefulLoad returns the load from which the upstream slows down by own observations, or by those of a peer.
func (u *Upstream) usefulLoad(now time.Time) float64 {
	if useful := u.ownUsefulLoad(now); useful > 0 {
		return useful
	}
	latest, useful := time.Time{}, 0.0
	for i := range u.peers {
		if p := &u.peers[i]; p.at.After(latest) && now.Sub(p.at) < u.estimator.config.PeerMemory {
			latest, useful = p.at, p.useful
		}
	}
	return useful
}

func (u *Upstream) ownUsefulLoad(now time.Time) float64 {
	if u.slots <= 0 {
		return 0
	}
	if isOld(now, u.usefulAt) {
		u.useful, u.usefulAt = u.computeUsefulLoad(now), now
	}
	return u.useful
}

// computeUsefulLoad returns the largest number of requests below the lowest range of load in which the upstream takes SlowFactor times as long as
// in the ranges below it, zero if there is none.
func (u *Upstream) computeUsefulLoad(now time.Time) float64 {
	c := &u.estimator.config
	enough := float64(c.MinCurveTime) / float64(levelInterval)
	var below, belowWeight float64
	for i := range u.levels {
		sum, weight := u.levels[i].decayed(now, c.CurveMemory)
		useful := max(1, math.Ceil(float64(i)*u.levelWidth())-1)
		needed := math.Log(c.SlowFactor)
		if useful == u.useful {
			needed /= 2 // requests that were counted late blur the difference once the load is kept there
		}
		if belowWeight >= enough/belowShare && weight >= enough && sum/weight-below/belowWeight > needed {
			return useful
		}
		below += sum
		belowWeight += weight
	}
	return 0
}

// refreshMedian computes the median of the upstreams that have recent observations.
func (s *Estimator) refreshMedian(now time.Time) {
	if !isOld(now, s.medianAt) {
		return
	}
	s.medianAt = now
	s.scratch = s.scratch[:0]
	for _, u := range s.upstreams {
		if sum, weight := u.speed.decayed(now, s.config.Memory); weight >= minMedianWeight {
			s.scratch = append(s.scratch, sum/weight)
		}
	}
	slices.Sort(s.scratch)
	if n := len(s.scratch); n > 0 {
		s.median = (s.scratch[n/2] + s.scratch[(n-1)/2]) / 2
	}
}

func (w *weighted) add(now time.Time, value, weight float64, memory time.Duration) {
	sum, old := w.decayed(now, memory)
	w.sum, w.weight, w.at = sum+weight*value, old+weight, now
}

// decayed returns the sum and the weight at a time.
func (w *weighted) decayed(now time.Time, memory time.Duration) (sum, weight float64) {
	if w.weight == 0 {
		return 0, 0
	}
	d := decay(now.Sub(w.at), memory)
	return w.sum * d, w.weight * d
}

// mean returns the mean, to which prior observations of zero are added.
func (w *weighted) mean(prior float64) float64 { return w.sum / (w.weight + prior) }

func decay(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(memory))
}
