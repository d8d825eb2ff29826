package entry

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/rules"
)

const (
	// bytesPerToken is the usual rough length of a token of text.
	bytesPerToken = 4
	// defaultAnswerTokens is the expected length of an answer whose request does not say.
	defaultAnswerTokens = 256
	// plainCallUnits is the load of a call to a plain service. Means are whole numbers of units, so a call must be many units for the
	// load bound to be exact with a few calls per upstream.
	plainCallUnits = 100
)

// exchange is one caller's request. It lives on the goroutine that serves the caller.
type exchange struct {
	e        *Entry
	id       wire.RequestID
	snapshot *node.Snapshot
	route    rules.Route
	service  rules.Service
	method   string
	path     string
	// contentType is that of the body; empty if the caller gave none.
	contentType string
	body        []byte
	team        string
	chat        uint64
	inChat      bool
	key         string
	deadline    time.Duration
	priority    rules.Priority
	work        uint32
	answer      answer

	// plan is the shift between versions that the request was routed by, or nil.
	plan     *shift.Plan
	attempts []retry.Attempt
	// delivered is the number of chunks that went to the caller.
	delivered uint32
	// retryAfter is the shortest wait that a sidecar named.
	retryAfter time.Duration
}

// outcome is how a request ended.
type outcome struct {
	code       result.Code
	status     int
	reason     string
	retryAfter time.Duration
	upstream   string
	chunks     uint32
	// contentType and location are headers of a plain service's answer.
	contentType, location string
}

// estimateWork sets the expected load of the request in tokens: its prompt and its answer.
func (x *exchange) estimateWork() {
	if x.service.Kind != rules.Model {
		x.work = plainCallUnits
		return
	}
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	answer := defaultAnswerTokens
	if json.Unmarshal(x.body, &request) == nil && request.MaxTokens > 0 {
		answer = request.MaxTokens
	}
	x.work = uint32(min(len(x.body)/bytesPerToken+answer, math.MaxInt32))
}

// run tries candidates until the request ends.
func (x *exchange) run(ctx context.Context) outcome {
	x.countRequest()
	var buffer [maxCandidates]candidate.Candidate
	routing := x.e.routing.Load()
	c := x.choose(routing, x.versions(), buffer[:0])
	if len(c.all) == 0 {
		return outcome{code: result.NoUpstream}
	}
	for {
		target := routing.sidecars[c.next().ID]
		last := x.try(ctx, target)
		if last.code == result.OK {
			return last
		}
		decision := x.decide(ctx, last, target.DataCentre, x.candidatesLeft(last.code, &c))
		if decision.Action == retry.GiveUp {
			last.code = decision.Code
			last.retryAfter = x.retryAfter
			return last
		}
		x.narrow(&c, target, last.code, decision)
		metrics.Add("retries", 1)
		if !sleep.For(ctx, decision.Backoff) {
			last.code = retry.FinalCode(retry.Request{Attempts: x.attempts, Delivered: x.delivered})
			return last
		}
	}
}

func (x *exchange) countRequest() {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.budget.Request(time.Now())
}

func (x *exchange) decide(ctx context.Context, last outcome, dataCentre string, left int) retry.Decision {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	request := retry.Request{
		Attempts: x.attempts, Idempotent: x.route.Idempotent, Delivered: x.delivered, Resumable: x.service.Kind == rules.Model,
		Left: deadline.Sub(now), CandidatesLeft: left,
	}
	if last.retryAfter > 0 && (x.retryAfter == 0 || last.retryAfter < x.retryAfter) {
		x.retryAfter = last.retryAfter
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	return x.e.policy.Decide(now, request, x.e.budget, x.e.random)
}
