package gateway

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/buffer"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/routing"
)

// progress is the state of a request across its attempts.
type progress struct {
	// attempts are the failed attempts.
	attempts []retry.Attempt
	// sends is the number of attempts started.
	sends int
	// tried are the upstreams that must not get the request again.
	tried []string
	// answered means that the response headers were sent to the caller, broken that the rest of the response is lost.
	answered, broken bool
	// lastEvent is the ID of the last event sent to the caller. resumable means that there is one.
	lastEvent string
	resumable bool
	// retryPaid means that the cost of the next retry has been taken from the budget.
	retryPaid bool
	// failure is the latest error response of an upstream. The caller gets it if no other upstream succeeds.
	failure *bufferedResponse
	// upstream, first, cached and load are for the log: the latest upstream, the time to the first response, and the upstream's cached
	// prompt tokens and load when it was chosen.
	upstream     string
	first        time.Duration
	cached, load int
	// loadLimit and totalAge are for the log: the load from which upstreams took no more requests when the latest one was chosen, and the age of the
	// answer in which it had told its load.
	loadLimit float64
	totalAge  time.Duration
	// brokenBy is for the log: the error that ended the latest attempt early, nil if there was none.
	brokenBy error
	// answering is how long the latest upstream had been answering when the attempt ended, zero if it sent no response headers.
	answering time.Duration
	// fetched is the number of prompt tokens whose cache entries the upstream copies from another upstream.
	fetched int
	// waited is how long the request waited for places. refusalReason and retryAfter say why the latest wait for a place, or its refusal, ended
	// without one, and when the caller should return.
	waited        time.Duration
	refusalReason queueing.Reason
	retryAfter    time.Duration
	// passedOver is an upstream that has more of the prompt cached and was not chosen, with its load and pending tokens.
	passedOver                        string
	passedOverLoad, passedOverPending int
}

// possibleRuns returns the number of failed attempts that may have run.
func (p *progress) possibleRuns() int {
	n := 0
	for _, a := range p.attempts {
		if a.Accepted {
			n++
		}
	}
	return n
}

// run sends the request to upstreams until one succeeds or the retry policy gives up.
func (c *call) run() result.Code {
	for {
		code, accepted := c.attempt()
		if code == result.OK {
			return code
		}
		p := &c.progress
		p.attempts = append(p.attempts, retry.Attempt{Code: code, Accepted: accepted})
		decision := c.decide()
		fields := []any{
			"request", c.id, "attempt", len(p.attempts), "result", code.String(), "sent", accepted,
			"upstream", p.upstream, "load", p.load, "next", decision.Action.String(), "left_ms", time.Until(c.deadline).Milliseconds(),
			"fingerprint", uint64(c.fingerprint()), "parts", c.sharedPartIDs(), "answering_ms", p.answering.Milliseconds(),
		}
		if p.brokenBy != nil {
			fields = append(fields, "error", p.brokenBy)
		}
		event.LogSampled(event.AttemptFailed, fields...)
		if decision.Action == retry.GiveUp {
			return c.giveUp(decision.Code)
		}
		sleep.For(c.request.Context(), decision.Backoff)
	}
}

// decide asks the retry policy what to do after the latest attempt.
func (c *call) decide() retry.Decision {
	p := &c.progress
	r := retry.Request{
		Attempts:       p.attempts,
		Idempotent:     c.route.SafeToRetry(),
		Resumable:      c.route.Kind == routing.Streaming && c.route.Resumable && p.resumable,
		TimeLeft:       time.Until(c.deadline),
		CandidatesLeft: 1,
		Paid:           p.retryPaid,
	}
	p.retryPaid = false
	if p.answered {
		r.Delivered = 1
	}
	if last := p.attempts[len(p.attempts)-1].Code; last == result.CallerNotReading {
		return retry.Decision{Action: retry.GiveUp, Code: last}
	}
	if c.request.Context().Err() != nil {
		return retry.Decision{Action: retry.GiveUp, Code: c.canceledCode(retry.FinalCode(r))}
	}
	if c.isQuarantined() {
		return retry.Decision{Action: retry.GiveUp, Code: retry.FinalCode(r)}
	}
	return c.g.budgets.decide(bootclock.Now(), c.service, c.route.MaxAttempts, r)
}

// canceledCode returns the result of a request whose caller disconnected or that was aborted because the gateway stops, given the result that it
// would have otherwise.
func (c *call) canceledCode(code result.Code) result.Code {
	notRun := code.Outcome() == result.NotRun
	aborted := errors.Is(context.Cause(c.request.Context()), errStopping)
	switch {
	case aborted && notRun:
		return result.Leaving
	case aborted:
		return result.ConnectionLost
	case notRun:
		return result.CanceledBeforeRun
	default:
		return result.Canceled
	}
}

// giveUp ends a request without a successful response. An upstream's own error response is forwarded.
func (c *call) giveUp(code result.Code) result.Code {
	p := &c.progress
	if p.answered {
		p.broken = true
		return code
	}
	if p.failure != nil && code == result.UpstreamError {
		if written := c.writeResponse(p.failure); written != result.OK {
			p.broken = true
			return written
		}
	}
	return code
}

// seeker returns what chooses the next upstream by a rollout's plan.
func (c *call) seeker(plan *shift.Plan) *callSeeker {
	g, route := c.g, c.route
	q := balancer.Query{
		Service:    c.service,
		DataCentre: func(name string) bool { return g.isAllowedIn(route, name) },
		Placement: placement.Request{
			Session:      c.prompt.Session(),
			SharedTokens: c.prompt.SharedTokens(),
			Tokens:       c.prompt.Tokens,
		},
		Parts: c.prompt.SharedParts(),
		Tried: c.progress.tried,
		Class: xxhash.Sum64String(c.route.Name),

		Started: c.progress.answered,
	}
	return &callSeeker{balancer: g.balancer, query: q, versions: c.versions(plan)}
}

// setFailure sets the error response that the caller gets if no other upstream succeeds.
func (c *call) setFailure(r *bufferedResponse) {
	if old := c.progress.failure; old != nil {
		old.memory.Release()
	}
	c.progress.failure = r
}

// writeResponse writes an upstream's complete response to the caller.
func (c *call) writeResponse(r *bufferedResponse) result.Code {
	if r.hasLength {
		c.writer.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	}
	c.writeHead(r)
	if r.hasLength {
		if err := c.writeBody(&r.body); err != nil {
			return callerGoneCode(err)
		}
	}
	c.g.metrics.record(c.g.metrics.latency, time.Since(c.started))
	return result.OK
}

// writeHead writes the head of a response.
func (c *call) writeHead(r *bufferedResponse) {
	h := c.writer.Header()
	for name, values := range c.g.headers.CallerHeaders(r.header) {
		h[name] = values
	}
	c.progress.answered = true
	c.announceLeaving()
	c.writer.WriteHeader(r.status)
}

func (c *call) writeBody(b *buffer.Buffer) error {
	for _, segment := range b.Segments() {
		if _, err := c.writer.Write(segment); err != nil {
			return err
		}
	}
	return nil
}

// callerGoneCode returns the result of a request whose response could not be written.
func callerGoneCode(err error) result.Code {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.CallerNotReading
	}
	return result.Canceled
}
