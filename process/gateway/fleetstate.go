package gateway

import (
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/request/placement"
)

const (
	// statePeriod is the time between two FleetState messages to each neighbour. Loads change within tenths of a second.
	statePeriod = 200 * time.Millisecond
	// sampledPeriod is that time in a fleet where neighbours are only some of the gateways, and their loads a sample.
	sampledPeriod = 400 * time.Millisecond
)

// sampled says whether the neighbours are only some of the gateways.
func (p *peers) sampled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members) > maxMesh
}

// period is the time between two messages to each neighbour.
func (p *peers) period() time.Duration {
	if p.sampled() {
		return sampledPeriod
	}
	return statePeriod
}

// takeState applies what a neighbour says of its requests.
func (p *peers) takeState(name string, m *wire.FleetState) {
	now := bootclock.Now()
	if !m.Partial {
		p.g.balancer.PeerLoad(now, name, loadsOf(m))
	}
	if len(m.Crashes) > 0 {
		p.g.crashes.heard(now, m.Crashes)
	}
	for _, h := range m.Holders {
		holder := balancer.Holder{Upstream: h.Upstream}
		for _, part := range h.Parts {
			holder.Parts = append(holder.Parts, placement.Part{ID: part.ID, Tokens: int(part.Tokens)})
		}
		p.g.balancer.Heard(now, holder)
	}
}

func loadsOf(m *wire.FleetState) map[uint32]balancer.Load {
	loads := make(map[uint32]balancer.Load, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Upstream] = balancer.Load{
			Requests: int(l.Requests), PendingTokens: int(l.PendingTokens), Total: int(l.Total), Age: time.Duration(l.AgeMS) * time.Millisecond,
		}
	}
	return loads
}

// sendState tells the neighbours about this gateway's requests.
func (p *peers) sendState() {
	m := &wire.FleetState{}
	for hash, l := range p.g.balancer.Loads(bootclock.Now()) {
		m.Loads = append(m.Loads, wire.UpstreamLoad{
			Upstream: hash, Requests: uint32(l.Requests), PendingTokens: uint32(l.PendingTokens), Total: uint32(l.Total),
			AgeMS: uint32(l.Age.Milliseconds()),
		})
	}
	m.Holders = promptHolders(p.g.balancer.News())
	m.Crashes = p.g.crashes.takeNews(bootclock.Now())
	for _, c := range p.conns() {
		_ = c.Send(m) // a neighbour that is gone or does not read shows in its silence
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

// introduce tells a neighbour that has just connected all that is known of prompts: it may have restarted.
func (p *peers) introduce(c *link.Conn) {
	for _, h := range promptHolders(p.g.balancer.Holders()) {
		_ = c.Send(&wire.FleetState{Partial: true, Holders: []wire.PromptHolder{h}}) // what is lost costs reading a prompt twice
	}
}
