package balancer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/process/capacity"
)

const (
	// maxSharedCapacities is the maximum number of estimates in one message to the peers.
	maxSharedCapacities = 16
	// sharedChange is the relative change of an estimate from which the peers are told.
	sharedChange = 0.1
	// resendCapacityAfter is the time after which the peers are told of an upstream again that differs from the others: they forget what they are told
	// within some seconds.
	resendCapacityAfter = 2 * time.Second
	// announcedChange is the relative change of an estimate from which it is logged.
	announcedChange = 0.5
	// maxPeerCapacityAge is the age from which an estimate of a peer is ignored, since it says nothing about the present any more.
	maxPeerCapacityAge = 10 * time.Second
	// paceInterval is the time over which the gaps between the events of a stream are averaged to one observation.
	paceInterval = 200 * time.Millisecond
)

// capacities holds the estimators of the services, and the upstreams of all services in a fixed order.
type capacities struct {
	estimators map[string]*capacity.Estimator
	ordered    []*backend
	// byProcess are the upstreams by the hash of ID and start.
	byProcess map[uint64]*backend
	// next is the index in ordered of the first upstream that TakeCapacities looks at.
	next int
	// ignored is the number of estimates of peers that were out of bounds.
	ignored int
}

// estimator returns the estimator of a service, a new one if there is none.
func (s *capacities) estimator(service string, config capacity.Config) *capacity.Estimator {
	e := s.estimators[service]
	if e == nil {
		if s.estimators == nil {
			s.estimators = make(map[string]*capacity.Estimator)
		}
		e = capacity.New(config)
		s.estimators[service] = e
	}
	return e
}

// set sets the upstreams by service, and drops the estimators of services without any.
func (s *capacities) set(services map[string][]*backend) {
	s.ordered = s.ordered[:0]
	s.byProcess = make(map[uint64]*backend)
	for name, e := range s.estimators {
		group := services[name]
		if len(group) == 0 {
			delete(s.estimators, name)
			continue
		}
		var upstreams []*capacity.Upstream
		for _, b := range group {
			upstreams = append(upstreams, b.capacity)
			s.byProcess[b.processHash()] = b
		}
		e.SetUpstreams(upstreams)
		s.ordered = append(s.ordered, group...)
	}
	slices.SortFunc(s.ordered, func(a, b *backend) int { return strings.Compare(a.ID, b.ID) })
}

// processHash identifies the upstream and its start, so that what is said of a process does not apply to its successor.
func (e *backend) processHash() uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // spreads small differences between start times over all bits
	return e.hash ^ uint64(e.Started)*multiplier
}

// SetLearnCapacity sets whether the estimates are applied. They are learned in any case.
func (b *Balancer) SetLearnCapacity(learn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.LearnCapacity = learn
}

// observation is what is needed to learn from an answer.
type observation struct {
	// prompt is the number of tokens that the upstream has to read, pending the number before them, load the number of requests, this one included.
	prompt, pending, load int
	// plain means that the request has no prompt, class is its Query.Class.
	plain bool
	class uint64
	// answered is when the answer began.
	answered time.Time
	// events is the number of events since eventsSince, which is the time of an event; firstSeen is set from the first event on.
	events      int
	eventsSince time.Time
	firstSeen   bool
}

// RecordSlowdown records the slowdown that the upstream reported in its answer, in percent.
func (c *Choice) RecordSlowdown(now time.Time, percent int) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.backend.capacity.RecordSlowdown(now, percent)
}

// Events records the arrival of the next events of a stream. It must be called from one goroutine.
func (c *Choice) Events(now time.Time, n int) {
	o := &c.observed
	switch {
	case n <= 0:
		return
	case !o.firstSeen:
		o.firstSeen, o.eventsSince = true, now
		c.record(now, capacity.Sample{Requests: o.load, PromptTokens: o.prompt, PendingTokens: o.pending, FirstEvent: now.Sub(c.chosenAt)})
		return
	case o.eventsSince.IsZero():
		o.eventsSince = now
		return
	}
	o.events += n
	if elapsed := now.Sub(o.eventsSince); elapsed >= paceInterval {
		gap := elapsed / time.Duration(o.events)
		o.events, o.eventsSince = 0, now
		c.record(now, capacity.Sample{Requests: c.presentLoad(now), EventGap: gap})
	}
}

// EventsDelayed discards the events since the latest observation, for instance because the caller did not read: the gaps say nothing about the
// upstream.
func (c *Choice) EventsDelayed() { c.observed.events, c.observed.eventsSince = 0, time.Time{} }

// IgnoreResponseTime discards the response time, for instance because the upstream refused to do the work: else one that fails at once seems fast.
func (c *Choice) IgnoreResponseTime() { c.observed.plain = false }

func (c *Choice) presentLoad(now time.Time) int {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, _ := b.remoteLoad(now, c.backend)
	return c.backend.inFlight + requests
}

func (c *Choice) record(now time.Time, s capacity.Sample) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.backend.capacity.Record(now, s)
}

// observePlainResponse records the response time of a request without a prompt. The caller holds b.mu.
func (c *Choice) observePlainResponse(now time.Time) {
	o := &c.observed
	if o.plain && !o.firstSeen && !o.answered.IsZero() {
		c.backend.capacity.Record(now, capacity.Sample{Requests: o.load, Class: o.class, Response: o.answered.Sub(c.chosenAt)})
	}
}

// announcedCapacity is an estimate that others know, zero if they know none.
type announcedCapacity struct {
	estimate capacity.Estimate
	at       time.Time
}

// differs reports whether an estimate differs from the known one by more than a share.
func (a *announcedCapacity) differs(e capacity.Estimate, share float64) bool {
	known := a.estimate
	if a.at.IsZero() {
		known = capacity.Typical
	}
	return (known.UsefulLoad == 0) != (e.UsefulLoad == 0) || math.Abs(e.Speed-known.Speed) > share*known.Speed ||
		math.Abs(e.UsefulLoad-known.UsefulLoad) > share*known.UsefulLoad
}

// Capacity is an estimate of what an upstream takes, by the observations of one entry.
type Capacity struct {
	// Upstream is the hash of the upstream's ID and start.
	Upstream uint64
	capacity.Estimate
	// Weight is the number of observations that it is based on.
	Weight float64
	// At is when it was computed.
	At time.Time
}

// minSharedWeight is the number of observations from which the peers are told: in a large fleet, an entry alone sees few answers of each upstream.
const minSharedWeight = 1

// isAtypical reports whether an estimate differs from the typical one by more than sharedChange.
func isAtypical(e capacity.Estimate) bool {
	return e.UsefulLoad > 0 || math.Abs(e.Speed-1) > sharedChange
}

// TakeCapacities returns the estimates to tell the peers: those that changed since they were last told, and those of upstreams that are not
// typical if that was some time ago. There are at most maxSharedCapacities; the next call goes on after them.
func (b *Balancer) TakeCapacities(now time.Time) []Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Capacity
	all := b.capacities.ordered
	for range all {
		if len(out) == maxSharedCapacities {
			break
		}
		b.capacities.next = (b.capacities.next + 1) % len(all)
		e := all[b.capacities.next]
		own, weight := e.capacity.Own(now)
		if weight < minSharedWeight {
			continue
		}
		stale := isAtypical(own) && now.Sub(e.shared.at) >= resendCapacityAfter
		if stale || e.shared.differs(own, sharedChange) {
			e.shared = announcedCapacity{own, now}
			out = append(out, Capacity{e.processHash(), own, weight, now})
		}
	}
	return out
}

// Capacities returns all estimates of upstreams that are not typical, for a peer that has none, at most maxSharedCapacities in each element.
func (b *Balancer) Capacities(now time.Time) [][]Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Capacity
	for _, e := range b.capacities.ordered {
		if own, weight := e.capacity.Own(now); weight >= minSharedWeight && isAtypical(own) {
			all = append(all, Capacity{e.processHash(), own, weight, now})
		}
	}
	return slices.Collect(slices.Chunk(all, maxSharedCapacities))
}

// AddCapacities takes over estimates of a peer. Those of unknown or restarted upstreams, and old ones, have no effect; those out of bounds are
// ignored and counted.
func (b *Balancer) AddCapacities(now time.Time, peer string, estimates []Capacity) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if extra := len(estimates) - maxSharedCapacities; extra > 0 {
		b.capacities.ignored += extra
		estimates = estimates[:maxSharedCapacities]
	}
	for _, c := range estimates {
		if now.Sub(c.At) > maxPeerCapacityAge {
			continue
		}
		if e := b.capacities.byProcess[c.Upstream]; e != nil && !e.capacity.AddPeerEstimate(upstreamHash(peer), c.At, c.Estimate, c.Weight) {
			b.capacities.ignored++
		}
	}
}

// UpstreamCapacity is the estimate of what an upstream takes, from all that is known.
type UpstreamCapacity struct {
	ID, Service string
	capacity.Estimate
}

// CapacityStatus returns the estimates of the upstreams that differ most from the typical one, at most limit, and the number of estimates of peers
// that were ignored.
func (b *Balancer) CapacityStatus(now time.Time, limit int) (estimates []UpstreamCapacity, ignored int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.capacities.ordered {
		estimates = append(estimates, UpstreamCapacity{e.ID, e.Service, e.capacity.Estimate(now)})
	}
	difference := func(c UpstreamCapacity) float64 { return math.Abs(math.Log(c.Speed)) }
	slices.SortStableFunc(estimates, func(x, y UpstreamCapacity) int {
		switch dx, dy := difference(x), difference(y); {
		case dx > dy:
			return -1
		case dx < dy:
			return 1
		default:
			return 0
		}
	})
	return estimates[:min(limit, len(estimates))], b.capacities.ignored
}

// CapacityChanges returns the upstreams whose estimate, without the reported slowdown, changed much since they were last returned.
func (b *Balancer) CapacityChanges(now time.Time) []UpstreamCapacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []UpstreamCapacity
	for _, e := range b.capacities.ordered {
		learned := e.capacity.Learned(now)
		if e.announced.differs(learned, announcedChange) {
			e.announced = announcedCapacity{learned, now}
			changes = append(changes, UpstreamCapacity{e.ID, e.Service, learned})
		}
	}
	return changes
}
