package balancer

import (
	"slices"
	"time"
)

// A plain service has fewer slots than there are entries: 12 to 18 before 28. Loads are known 0.2 s late, in which each slot runs five requests.
// Free slots therefore say nothing about the present, and an entry may not even have one request at an upstream all the time. Each entry sends at
// such a rate that its requests take its share of the places on average, by the time that its own requests take. This time grows with the
// requests that wait at the upstreams, which lowers the rates of all entries before upstreams refuse.
const (
	// maxPlacesPerSlot is the number of requests that upstreams of a plain service should hold for each slot if their queues take them. Entries get
	// requests unevenly, and what an entry does not use another one learns too late: with 1.1, a tenth of what upstreams could have run was refused.
	maxPlacesPerSlot = 2.0
	// minPlacesPerSlot is that number if upstreams refuse more. More than one keeps slots from being idle.
	minPlacesPerSlot = 1.1
	// refusedPlaces is how much a refusal by an upstream lowers that number, answeredPlaces how much an answer raises it. They balance when one request
	// in a thousand is refused; a short queue is found out with few refusals.
	refusedPlaces, answeredPlaces = 0.5, 0.0005
	// latencyGain is the weight of a new response time in the mean.
	latencyGain = 0.2
	// minLatency is the lowest mean response time, about a round trip. A mean of zero would never grow.
	minLatency = time.Millisecond
	// assumedLatency is the response time before the first response.
	assumedLatency = 60 * time.Millisecond
	// maxPaceWait limits the time until a place, which is infinite while no upstream has slots.
	maxPaceWait = time.Minute
	// latencyGrowth limits a response time to a multiple of the mean: a few requests that wait for a failing upstream must not stop the entry.
	latencyGrowth = 4
	// savedPlaces is the number of places beyond its share that an entry keeps while no request takes them: as many as some requests have to leave
	// free for more urgent ones, and one.
	savedPlaces = 3
)

// pace limits the rate at which an entry sends the requests of a plain service.
type pace struct {
	tokens    float64
	updatedAt time.Time
	// latency is the mean response time in seconds, zero if it is not known.
	latency float64
	// placesPerSlot is the number of requests that upstreams should hold for each slot.
	placesPerSlot float64
	// perSecond is the rate of places.
	perSecond float64
	// wait is the time until the latest request that got no place would have got one.
	wait time.Duration
}

func newPace() *pace { return &pace{placesPerSlot: maxPlacesPerSlot} }

// refused records that an upstream did not take a request.
func (p *pace) refused() { p.placesPerSlot = max(minPlacesPerSlot, p.placesPerSlot-refusedPlaces) }

// answered records the response time of a request.
func (p *pace) answered(d time.Duration) {
	p.placesPerSlot = min(maxPlacesPerSlot, p.placesPerSlot+answeredPlaces)
	if p.latency == 0 {
		p.latency = d.Seconds()
	}
	p.latency = max(minLatency.Seconds(), p.latency+latencyGain*(min(d.Seconds(), latencyGrowth*p.latency)-p.latency))
}

// advance adds the places that became free since the last call. window is the number of places that this entry may hold on average.
func (p *pace) advance(now time.Time, window float64) {
	latency := p.latency
	if latency == 0 {
		latency = assumedLatency.Seconds()
	}
	p.perSecond = window / latency
	if p.updatedAt.IsZero() {
		p.tokens, p.updatedAt = 1, now
	}
	elapsed := max(0, now.Sub(p.updatedAt))
	p.tokens = min(max(1, window)+savedPlaces, p.tokens+p.perSecond*elapsed.Seconds())
	p.updatedAt = now
}

// take takes one place and leaves reserve. It returns false if there are not as many.
func (p *pace) take(reserve float64) bool {
	if missing := 1 + reserve - p.tokens; missing > 0 {
		p.wait = time.Duration(min(missing/p.perSecond, maxPaceWait.Seconds()) * float64(time.Second))
		return false
	}
	p.tokens--
	p.wait = 0 // if no upstream takes the request, it is not for want of places
	return true
}

// paceOf returns the pace of a service. The caller holds b.mu.
func (b *Balancer) paceOf(service string) *pace {
	p := b.paces[service]
	if p == nil {
		p = newPace()
		b.paces[service] = p
	}
	return p
}

// SetQueueing sets whether requests that get no place wait for one. Only then are requests of plain services limited by their share of the
// places: they would be refused otherwise.
func (b *Balancer) SetQueueing(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queueing = on
	if !on {
		clear(b.claims)
		clear(b.paces)
	}
}

// SetClaim sets the fraction of the free places of a service that this entry may fill. Zero means an equal share.
func (b *Balancer) SetClaim(service string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if fraction <= 0 {
		delete(b.claims, service)
		return
	}
	b.claims[service] = min(fraction, 1)
}

// Yield gives up one place of a service in favour of other entries.
func (b *Balancer) Yield(service string, plain bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if plain {
		b.paceOf(service).tokens--
	} else {
		b.creditOf(service).requests--
	}
}

// takePlace takes the place of one request while places are scarce. The caller holds b.mu, and b.scratch holds the upstreams.
func (b *Balancer) takePlace(now time.Time, q *Query, free float64) bool {
	reserve := func(perSecond float64) float64 {
		if q.Reserve == nil {
			return 0
		}
		return q.Reserve(perSecond)
	}
	share := func(of float64) float64 {
		if claim := b.claims[q.Service]; claim > 0 {
			return of * claim
		}
		return of / float64(b.entries)
	}
	if q.Placement.Tokens > 0 {
		if !b.queueing {
			return b.creditOf(q.Service).take(now, share(free), reserve(0), 0)
		}
		if net := netFreeSlots(b.scratch); net < 0 {
			free = net
		}
		return b.creditOf(q.Service).take(now, share(free), reserve(0), savedPlaces)
	}
	return b.takePlainPlace(now, q, share, reserve)
}

// takePlainPlace is takePlace for a request of a plain service. It makes the loads in b.scratch equal but for this entry's own requests.
func (b *Balancer) takePlainPlace(now time.Time, q *Query, share, reserve func(float64) float64) bool {
	p := b.paceOf(q.Service)
	places, load, remote, n := 0.0, 0.0, 0.0, 0.0
	for i := range b.scratch {
		if u := &b.scratch[i]; !u.Excluded {
			places += p.placesPerSlot * float64(u.Slots)
			load += u.Load
			remote += u.Load - float64(b.services[q.Service][i].inFlight)
			n++
		}
	}
	limit := b.config.Placement.LoadLimit(b.scratch)
	for i := range b.scratch {
		u := &b.scratch[i]
		if u.Excluded {
			continue
		}
		u.Excluded = u.Load+1 > limit
		// The entries see the same loads and would all choose the same upstream until they learn of each other's requests.
		u.Load = float64(b.services[q.Service][i].inFlight) + remote/n
	}
	// What the entries with fewer requests leave is divided among the others.
	p.advance(now, places/float64(b.entries)+share(max(0, places-load)))
	return p.take(reserve(p.perSecond))
}

// PlaceIn returns the time until the request of a plain service that Pick refused last would have got a place, zero if it is not known.
func (b *Balancer) PlaceIn(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.paces[service]; p != nil {
		return p.wait
	}
	return 0
}

// returnPlace returns the place that takePlace took for a request that was not sent. The caller holds b.mu.
func (b *Balancer) returnPlace(q *Query) {
	if q.Placement.Tokens > 0 {
		b.creditOf(q.Service).ended()
		return
	}
	b.paceOf(q.Service).tokens++
}

// HasCandidate reports whether an upstream is up that may run a request, regardless of its places.
func (b *Balancer) HasCandidate(q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[q.Service], func(e *backend) bool {
		return !e.leaving && !e.monitor.Down() && !slices.Contains(q.Tried, e.ID) &&
			(q.DataCentre == nil || q.DataCentre(e.DataCentre)) && (q.Versions == nil || q.Versions(e.Version))
	})
}

// Free returns the number of free slots of a service's upstreams that are up.
func (b *Balancer) Free(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := 0.0
	for _, e := range b.services[service] {
		if e.leaving || e.monitor.Down() {
			continue
		}
		requests, _ := b.remoteLoad(now, e)
		free += max(0, float64(e.Slots-e.inFlight-requests))
	}
	return free
}
