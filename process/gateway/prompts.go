package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/placement"
)

const (
	// viewPoll is the interval at which fetchHeldPrompts checks for the first view.
	viewPoll = 10 * time.Millisecond
	// promptsTimeout is the timeout of the request for one upstream's prompts.
	promptsTimeout = time.Second
	// minGossipPartTokens is the minimum length of a prompt part that is recorded in a fleet where updates are forwarded from neighbour to
	// neighbour. Most parts are ends of prompts that are not used again, and for short ones a repeated prefill costs less than the gossip.
	minGossipPartTokens = 3000
	// maxPromptsBytes is the maximum size of the response. An upstream holds a few thousand parts at most.
	maxPromptsBytes = 4 << 20
)

// fetchHeldPrompts asks model upstreams once, after the gateway's start, which prompts they have cached. Each gateway asks its share of the
// upstreams and informs the others, so that after a restart of the entire fleet chats return to the upstreams that have their prompts.
func (g *Gateway) fetchHeldPrompts() {
	for g.view.Load() == nil {
		if sleep.For(g.ctx, viewPoll); g.ctx.Err() != nil {
			return
		}
	}
	v := g.view.Load()
	for _, u := range v.upstreams {
		if s := v.table.Service(u.Service); s == nil || s.CacheTokens == 0 || !g.peers.ownsTask(xxhash.Sum64String(u.ID)) {
			continue
		}
		g.startWorker(func() { g.fetchPromptsFrom(u) })
	}
}

// fetchPromptsFrom reports the prompts of one upstream to the balancer.
func (g *Gateway) fetchPromptsFrom(u directory.Upstream) {
	ctx, cancel := context.WithTimeout(g.ctx, promptsTimeout)
	defer cancel()
	parts, err := g.requestPrompts(ctx, u)
	if err != nil {
		event.LogSampled(event.ProbeFailed, "upstream", u.ID, "address", u.Address, "asked", "prompts", "error", err)
		return
	}
	total := len(parts)
	if isPartialMesh(g.peers.fleetSize()) {
		parts = slices.DeleteFunc(parts, func(p placement.Part) bool { return p.Tokens < minGossipPartTokens })
	}
	if len(parts) > 0 {
		g.balancer.AddHolder(bootclock.Now(), balancer.Holder{Upstream: u.ID, Parts: parts})
	}
	event.Log(event.PromptCacheReported, "upstream", u.ID, "parts", total, "told", len(parts))
}

func (g *Gateway) requestPrompts(ctx context.Context, u directory.Upstream) ([]placement.Part, error) {
	response, err := g.getFromUpstream(ctx, u, g.prompts.Path(), maxPromptsBytes)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, trace.BadParameter("upstream answered with status %d", response.status)
	}
	return g.prompts.Decode(response.body)
}
