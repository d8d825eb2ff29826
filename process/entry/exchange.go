package entry

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
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
	// maxCandidates bounds the upstreams that a request may try.
	maxCandidates = 8
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
	all := x.candidates(routing, buffer[:0])
	if len(all) == 0 {
		return outcome{code: result.NoUpstream}
	}
	left := all
	for {
		if len(left) == 0 {
			left = all
		}
		target := left[0]
		left = left[1:]
		last := x.try(ctx, routing.sidecars[target.ID])
		if last.code == result.OK {
			return last
		}
		decision := x.decide(ctx, last, target.DataCentre, x.candidatesLeft(last.code, len(left), len(all)))
		switch {
		case decision.Action == retry.GiveUp:
			last.code = decision.Code
			last.retryAfter = x.retryAfter
			return last
		case decision.Action == retry.Resume:
			// Only the engine that produced the first parts continues them exactly.
			left = []candidate.Candidate{target}
		case decision.SkipDataCentre:
			left = skipDataCentre(left, target.DataCentre)
		}
		metrics.Add("retries", 1)
		if !pause(ctx, decision.Backoff) {
			last.code = retry.FinalCode(retry.Request{Attempts: x.attempts, Delivered: x.delivered})
			return last
		}
	}
}

// candidatesLeft returns how many candidates may be tried next. The list starts over after a refusal for load, because the load changes
// within milliseconds; an answer that has begun can only go on at its upstream.
func (x *exchange) candidatesLeft(last result.Code, left, all int) int {
	if x.delivered > 0 {
		return 1
	}
	if left == 0 && isLoadRefusal(last) {
		return all
	}
	return left
}

func isLoadRefusal(code result.Code) bool {
	return code == result.OverBound || code == result.ColdStart || code == result.Full
}

func (x *exchange) countRequest() {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.budget.Request(time.Now())
}

// candidates returns the upstreams that the request may try, in order: those of the preferred version that has any.
func (x *exchange) candidates(r *routing, dst []candidate.Candidate) []candidate.Candidate {
	for _, version := range x.versions() {
		if found := r.view.Candidates(x.service.Name, version, nil, x.chat, dst); len(found) > 0 {
			x.e.unresponsive.order(time.Now(), found)
			return found
		}
	}
	return nil
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

// skipDataCentre drops the candidates of a data centre unless no others are left.
func skipDataCentre(candidates []candidate.Candidate, dataCentre string) []candidate.Candidate {
	var others []candidate.Candidate
	for _, c := range candidates {
		if c.DataCentre != dataCentre {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return candidates
	}
	return others
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
