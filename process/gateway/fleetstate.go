package gateway

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/capacity"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/placement"
)

// The interval of FleetState messages. Loads change within tenths of a second.
const (
	// smallMeshStatePeriod applies in fleets of up to maxSmallMesh gateways, all of which tell each other their loads.
	smallMeshStatePeriod = 200 * time.Millisecond
	maxSmallMesh         = 40
	// largeMeshStatePeriod applies in larger fleets in which all gateways do. At 400 ms, fleets of 68 gateways exceeded the load bound.
	largeMeshStatePeriod = 300 * time.Millisecond
	// sampleStatePeriod applies in fleets in which the known loads are a sample.
	sampleStatePeriod = 400 * time.Millisecond
)

// fleetSize returns the number of registered gateways.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// statePeriod returns the interval of FleetState messages in a fleet of the given size.
func statePeriod(gateways int) time.Duration {
	switch {
	case gateways <= maxSmallMesh:
		return smallMeshStatePeriod
	case gateways <= maxLoadMesh:
		return largeMeshStatePeriod
	default:
		return sampleStatePeriod
	}
}

// isPartialMesh reports whether the neighbours are only some of the gateways in a fleet of the given size.
func isPartialMesh(gateways int) bool { return gateways > maxFullMesh }

// applyFleetState applies a neighbour's loads, crashes and cached prompts.
func (p *peers) applyFleetState(name string, m *wire.FleetState) {
	now := bootclock.Now()
	applyBalancerState(p.g.balancer, now, name, m)
	if !m.Partial {
		p.g.places.hear(now, name, m.Waiting)
	}
	if len(m.Crashes) > 0 {
		p.g.crashes.recordFromPeer(now, m.Crashes)
	}
	if m.Parts != nil {
		p.g.crashes.recordPartsFromPeer(now, m.Parts)
	}
	for _, l := range m.Limits {
		if id := p.g.balancer.AddRateLimit(balancer.RateLimit{Upstream: l.Upstream, PerSecond: l.PerSecond, At: ago(now, l.AgeMS)}); id != "" {
			event.LogSampled(event.UpstreamLimitChanged, "upstream", id, "per_second", l.PerSecond, "source", "peer", "peer", name)
		}
	}
	if m.Restored != nil {
		p.g.enqueueTask(func() { p.g.applyRestored(name, m.Restored) })
	}
}

// applyBalancerState applies a neighbour's loads and cached prompts.
func applyBalancerState(b *balancer.Balancer, now time.Time, name string, m *wire.FleetState) {
	if !m.Partial {
		b.SetPeerLoad(now, name, loadsOf(m))
	}
	for _, h := range m.Holders {
		holder := balancer.Holder{Upstream: h.Upstream}
		for _, part := range h.Parts {
			holder.Parts = append(holder.Parts, placement.Part{ID: part.ID, Tokens: int(part.Tokens)})
		}
		b.AddHolder(now, holder)
	}
	b.AddCapacities(now, name, capacitiesOf(now, m.Capacities))
}

func capacitiesOf(now time.Time, all []wire.UpstreamCapacity) []balancer.Capacity {
	var out []balancer.Capacity
	for _, c := range all {
		estimate := capacity.Estimate{Speed: float64(c.SpeedPercent) / 100, UsefulLoad: float64(c.UsefulLoad)}
		weight := max(1, float64(c.Observations)) // zero means unknown
		out = append(out, balancer.Capacity{Upstream: c.Upstream, Estimate: estimate, Weight: weight, At: ago(now, c.AgeMS)})
	}
	return out
}

func wireCapacities(now time.Time, all []balancer.Capacity) []wire.UpstreamCapacity {
	var out []wire.UpstreamCapacity
	for _, c := range all {
		out = append(out, wire.UpstreamCapacity{
			Upstream: c.Upstream, SpeedPercent: uint32(math.Round(100 * c.Speed)), UsefulLoad: uint32(c.UsefulLoad),
			Observations: uint32(math.Ceil(c.Weight)), AgeMS: age(now, c.At),
		})
	}
	return out
}

func loadsOf(m *wire.FleetState) map[uint32]balancer.Load {
	loads := make(map[uint32]balancer.Load, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Upstream] = balancer.Load{
			Requests: int(l.Requests), PendingTokens: int(l.PendingTokens), Total: int(l.TotalRequests), Age: time.Duration(l.AgeMS) * time.Millisecond,
		}
	}
	return loads
}

// sendState sends this gateway's loads to all gateways that it is connected to, and its new prompts and the changed rate limits to the neighbours.
func (p *peers) sendState() {
	now := bootclock.Now()
	m := takeFleetState(p.g.balancer, now)
	m.Waiting = p.g.places.takeReport(now)
	p.broadcast(m)
	p.logCapacityChanges()
	loads := loadsOnly(m)
	for _, c := range p.loadPeerConns() {
		_ = c.Send(loads) // a dead peer is detected by its silence
	}
}

// loadsOnly returns the part of the periodic message that goes to gateways that are not neighbours.
func loadsOnly(m *wire.FleetState) *wire.FleetState {
	return &wire.FleetState{Loads: m.Loads, Waiting: m.Waiting}
}

// takeFleetState returns the periodic message of a gateway, with what has changed since the last call.
func takeFleetState(b *balancer.Balancer, now time.Time) *wire.FleetState {
	m := &wire.FleetState{}
	for hash, l := range b.Loads(now) {
		m.Loads = append(m.Loads, wire.UpstreamLoad{
			Upstream: hash, Requests: uint32(l.Requests), PendingTokens: uint32(l.PendingTokens), TotalRequests: uint32(l.Total),
			AgeMS: uint32(l.Age.Milliseconds()),
		})
	}
	m.Holders = promptHolders(b.TakeHolderUpdates())
	m.Limits = wireLimits(now, b.TakeRateLimits())
	m.Capacities = wireCapacities(now, b.TakeCapacities(now))
	return m
}

func wireLimits(now time.Time, limits []balancer.RateLimit) []wire.UpstreamLimit {
	var out []wire.UpstreamLimit
	for _, l := range limits {
		out = append(out, wire.UpstreamLimit{Upstream: l.Upstream, PerSecond: l.PerSecond, AgeMS: age(now, l.At)})
	}
	return out
}

// sendReports sends the queued reports on crashes to all neighbours.
func (p *peers) sendReports() {
	now := bootclock.Now()
	m := &wire.FleetState{Partial: true, Crashes: p.g.crashes.takeReports(now), Parts: p.g.crashes.takePartReport(now)}
	if len(m.Crashes) > 0 || m.Parts != nil {
		p.broadcast(m)
	}
}

func (p *peers) broadcast(m *wire.FleetState) {
	for _, c := range p.neighbourConns() {
		_ = c.Send(m) // a dead neighbour is detected by its silence
	}
}

func promptHolders(holders []balancer.Holder) []wire.PromptHolder {
	var all []wire.PromptHolder
	for _, h := range holders {
		holder := wire.PromptHolder{Upstream: h.Upstream}
		for _, part := range h.Parts {
			holder.Parts = append(holder.Parts, wire.PromptPart{ID: part.ID, Tokens: uint32(part.Tokens)})
		}
		all = append(all, holder)
	}
	return all
}

// sendKnownPrompts sends all known cached prompts to a neighbour that may have restarted.
func (p *peers) sendKnownPrompts(c *link.Conn) {
	for _, h := range promptHolders(p.g.balancer.Holders()) {
		_ = c.Send(&wire.FleetState{Partial: true, Holders: []wire.PromptHolder{h}}) // a lost message costs repeated prefills
	}
}

// sendKnownCapacities sends a new neighbour the estimates of upstreams that differ from the typical one.
func (p *peers) sendKnownCapacities(c *link.Conn) {
	now := bootclock.Now()
	for _, some := range p.g.balancer.Capacities(now) {
		_ = c.Send(&wire.FleetState{Partial: true, Capacities: wireCapacities(now, some)}) // a lost message is replaced by the next change
	}
}

// logCapacityChanges logs which upstreams have become much slower or faster.
func (p *peers) logCapacityChanges() {
	for _, c := range p.g.balancer.CapacityChanges(bootclock.Now()) {
		event.LogSampled(event.UpstreamCapacityChanged, "upstream", c.ID, "service", c.Service, "speed", c.Speed, "useful_load", c.UsefulLoad)
	}
}

// sendKnownFaults sends a new neighbour what it must know before it sends requests: the prompt parts that crash upstreams, and the rate limits of
// upstreams.
func (p *peers) sendKnownFaults(c *link.Conn) {
	now := bootclock.Now()
	m := &wire.FleetState{Partial: true, Parts: p.g.crashes.knownParts(now), Limits: wireLimits(now, p.g.balancer.RateLimits())}
	if m.Parts != nil || len(m.Limits) > 0 {
		_ = c.Send(m) // if the connection is lost, the next one sends it again
	}
}

// sendRestored tells a new neighbour that the store was restored and that the configuration has not been confirmed since. A gateway that has started
// after that cannot know it. If the queue of tasks is full, the neighbour is not told.
func (p *peers) sendRestored(c *link.Conn) {
	select {
	case p.g.tasks <- func() {
		if revision, left := p.g.restored.unconfirmed(bootclock.Now()); revision > 0 {
			_ = c.Send(&wire.FleetState{Partial: true, Restored: &wire.RestoredStore{Revision: revision, LeftMS: uint32(left.Milliseconds())}})
		}
	}:
	default:
	}
}
