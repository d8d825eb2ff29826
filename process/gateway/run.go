package gateway

import (
	"net/http"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/routing"
)

// progress is what has happened to a request so far.
type progress struct {
	// attempts are those that failed.
	attempts []retry.Attempt
	// sends is the number of upstreams that were chosen so far.
	sends int
	// tried are the upstreams that must not get the request again.
	tried []string
	// answered says that the head of an answer went to the caller, broken that its rest cannot follow.
	answered, broken bool
	// lastEvent is the id of the last event that went to the caller; resumable says that it has one.
	lastEvent string
	resumable bool
	// failure is the latest upstream's own answer that it failed, which the caller gets if no other upstream does better.
	failure *reply
	// For the log: the latest upstream, the time to its answer, and what the decision saw.
	upstream     string
	first        time.Duration
	cached, load int
	// fetched is the number of the prompt's tokens that the upstream copies from another.
	fetched int
	// passed is an upstream that holds more of the prompt and was not chosen, with its load and unread tokens.
	passed                    string
	passedLoad, passedPending int
}

// sent is the number of failed attempts that may have run.
func (p *progress) sent() int {
	n := 0
	for _, a := range p.attempts {
		if a.Accepted {
			n++
		}
	}
	return n
}

// run sends the request to upstreams until it is answered or given up.
func (c *call) run() result.Code {
	for {
		code, accepted := c.attempt()
		if code == result.OK {
			return code
		}
		p := &c.progress
		p.attempts = append(p.attempts, retry.Attempt{Code: code, Accepted: accepted})
		decision := c.decide()
		event.Sampled(event.AttemptFailed, "request", c.id, "attempt", len(p.attempts), "result", code.String(), "sent", accepted,
			"upstream", p.upstream, "load", p.load, "next", decision.Action.String(), "left_ms", time.Until(c.deadline).Milliseconds())
		if decision.Action == retry.GiveUp {
			return c.giveUp(decision.Code)
		}
		sleep.For(c.request.Context(), decision.Backoff)
	}
}

// decide says what to do after the latest attempt.
func (c *call) decide() retry.Decision {
	p := &c.progress
	r := retry.Request{
		Attempts:       p.attempts,
		Idempotent:     c.route.Repeatable(),
		Resumable:      c.route.Kind == routing.Streaming && c.route.Resumable && p.resumable,
		Left:           time.Until(c.deadline),
		CandidatesLeft: 1,
	}
	if p.answered {
		r.Delivered = 1
	}
	if c.request.Context().Err() != nil {
		return retry.Decision{Action: retry.GiveUp, Code: c.canceled(retry.FinalCode(r))}
	}
	return c.g.budgets.decide(bootclock.Now(), c.service, c.route.MaxAttempts, r)
}

func (c *call) canceled(code result.Code) result.Code {
	if code.Outcome() == result.NotRun {
		return result.CanceledBeforeRun
	}
	return result.Canceled
}

// giveUp ends a request that no upstream answered well. An upstream's own failure is passed on.
func (c *call) giveUp(code result.Code) result.Code {
	p := &c.progress
	if p.answered {
		p.broken = true
		return code
	}
	if p.failure != nil && code == result.UpstreamError {
		c.pass(p.failure)
	}
	return code
}

// pick chooses an upstream and takes a place there.
func (c *call) pick() *balancer.Choice {
	q := balancer.Query{
		Service:    c.service,
		DataCentre: c.mayRunIn,
		Placement: placement.Request{
			Session:      c.prompt.Session(),
			SharedTokens: c.prompt.SharedTokens(),
			Tokens:       c.prompt.Tokens,
		},
		Parts: c.prompt.Shared(),
		Tried: c.progress.tried,
	}
	for _, versions := range c.versions() {
		q.Versions = versions
		if choice := c.g.balancer.Pick(bootclock.Now(), q); choice != nil {
			return choice
		}
	}
	return nil
}

// pass writes an upstream's answer to the caller.
func (c *call) pass(r *reply) {
	h := c.writer.Header()
	for name, values := range c.g.headers.ToCaller(r.header) {
		h[name] = values
	}
	if r.hasLength {
		h.Set("Content-Length", r.length())
	}
	c.progress.answered = true
	c.writer.WriteHeader(r.status)
	if c.request.Method != http.MethodHead {
		_, _ = c.writer.Write(r.body) // a caller that left needs no answer
	}
}
