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
	// viewPoll is the time between looks for the first view after a start.
	viewPoll = 10 * time.Millisecond
	// learnTimeout bounds one upstream's answer about its prompts.
	learnTimeout = time.Second
	// minLearnTokens is the length from which a part is learned in a fleet where news pass from neighbour to neighbour. Most parts are the
	// ends of prompts that nobody asks for again; short ones cost less to read again than to tell to such a fleet.
	minLearnTokens = 3000
	// maxPromptsBytes bounds that answer; an upstream holds some thousand parts at most.
	maxPromptsBytes = 4 << 20
)

// learnPrompts asks the model upstreams once, after the gateway's start, which prompts they hold. Each gateway asks its share and tells
// the others, so that a fleet that restarts together sends chats back to where their prompts are.
func (g *Gateway) learnPrompts() {
	for g.view.Load() == nil {
		if sleep.For(g.ctx, viewPoll); g.ctx.Err() != nil {
			return
		}
	}
	v := g.view.Load()
	for _, u := range v.upstreams {
		if s := v.table.Service(u.Service); s == nil || s.CacheTokens == 0 || !g.peers.share(xxhash.Sum64String(u.ID)) {
			continue
		}
		g.work(func() { g.learnFrom(u) })
	}
}

func (g *Gateway) learnFrom(u directory.Upstream) {
	ctx, cancel := context.WithTimeout(g.ctx, learnTimeout)
	defer cancel()
	parts, err := g.promptsOf(ctx, u)
	if err != nil {
		event.Sampled(event.ProbeFailed, "upstream", u.ID, "address", u.Address, "asked", "prompts", "error", err)
		return
	}
	total := len(parts)
	if g.peers.sampled() {
		parts = slices.DeleteFunc(parts, func(p placement.Part) bool { return p.Tokens < minLearnTokens })
	}
	if len(parts) > 0 {
		g.balancer.Heard(bootclock.Now(), balancer.Holder{Upstream: u.ID, Parts: parts})
	}
	event.Log(event.PromptsLearned, "upstream", u.ID, "parts", total, "told", len(parts))
}

func (g *Gateway) promptsOf(ctx context.Context, u directory.Upstream) ([]placement.Part, error) {
	answer, err := g.ask(ctx, u, g.prompts.Path(), maxPromptsBytes)
	if err != nil {
		return nil, err
	}
	if answer.status != http.StatusOK {
		return nil, trace.BadParameter("upstream answered with status %d", answer.status)
	}
	return g.prompts.Decode(answer.body)
}
