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
	// bytesPerToken is the approximate length of a token of text.
	bytesPerToken = 4
	// defaultResponseTokens is the expected response length of a request without max_tokens.
	defaultResponseTokens = 256
	// plainCallWorkUnits is the load of one call to a plain service. Load means are integers, so a call must be worth many units for
	// the load bound to be exact with only a few calls per upstream.
	plainCallWorkUnits = 100
)

// exchange holds the state of one caller's request. It is used only by the goroutine that serves the request.
type exchange struct {
	e        *Entry
	id       wire.RequestID
	snapshot *node.Snapshot
	route    rules.Route
	service  rules.Service
	method   string
	path     string
	// contentType is the Content-Type of the request body, or empty if the caller sent none.
	contentType    string
	body           []byte
	team           string
	chat           uint64
	hasChat        bool
	idempotencyKey string
	deadline       time.Duration
	priority       rules.Priority
	workUnits      uint32
	response       responseWriter

	// plan is the shift that was in progress when the request was routed, or nil.
	plan     *shift.Plan
	attempts []retry.Attempt
	// deliveredChunks is the number of chunks sent to the caller.
	deliveredChunks uint32
	// retryAfter is the shortest retry delay received from a sidecar.
	retryAfter time.Duration
}

// outcome is the final result of a request or an attempt.
type outcome struct {
	code       result.Code
	status     int
	reason     string
	retryAfter time.Duration
	upstream   string
	chunks     uint32
	// contentType and location are response headers of a plain service.
	contentType, location string
}

// estimateWork sets the expected load of the request in work units. For a model that is the estimated number of prompt and response
// tokens.
func (x *exchange) estimateWork() {
	if x.service.Kind != rules.Model {
		x.workUnits = plainCallWorkUnits
		return
	}
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	answer := defaultResponseTokens
	if json.Unmarshal(x.body, &request) == nil && request.MaxTokens > 0 {
		answer = request.MaxTokens
	}
	x.workUnits = uint32(min(len(x.body)/bytesPerToken+answer, math.MaxInt32))
}

// run tries candidates until the request succeeds or must not be retried.
func (x *exchange) run(ctx context.Context) outcome {
	x.countRequest()
	var buffer [maxCandidates]candidate.Candidate
	routing := x.e.routing.Load()
	c := x.selectCandidates(routing, x.versionsByPreference(), buffer[:0])
	if len(c.all) == 0 {
		return outcome{code: result.NoUpstream}
	}
	for {
		target := routing.sidecars[c.next().ID]
		last := x.tryUpstream(ctx, target)
		if last.code == result.OK {
			return last
		}
		decision := x.decideRetry(ctx, last, target.DataCentre, x.remainingCandidates(last.code, &c))
		if decision.Action == retry.GiveUp {
			last.code = decision.Code
			last.retryAfter = x.retryAfter
			return last
		}
		x.pruneCandidates(&c, target, last.code, decision)
		metrics.Add("retries", 1)
		if !sleep.For(ctx, decision.Backoff) {
			last.code = retry.FinalCode(retry.Request{Attempts: x.attempts, Delivered: x.deliveredChunks})
			return last
		}
	}
}

// countRequest adds the request to the retry budget.
func (x *exchange) countRequest() {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.budget.AddRequest(time.Now())
}

// decideRetry applies the retry policy after a failed attempt and keeps the shortest Retry-After seen so far.
func (x *exchange) decideRetry(ctx context.Context, last outcome, dataCentre string, left int) retry.Decision {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	request := retry.Request{
		Attempts: x.attempts, Idempotent: x.route.Idempotent, Delivered: x.deliveredChunks, Resumable: x.service.Kind == rules.Model,
		TimeLeft: deadline.Sub(now), CandidatesLeft: left,
	}
	if last.retryAfter > 0 && (x.retryAfter == 0 || last.retryAfter < x.retryAfter) {
		x.retryAfter = last.retryAfter
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	return x.e.policy.Decide(now, request, x.e.budget, x.e.random)
}
