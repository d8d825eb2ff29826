package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/assembly"
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
	body     []byte
	team     string
	chat     uint64
	inChat   bool
	key      string
	deadline time.Duration
	priority rules.Priority
	work     uint32
	answer   answer

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
			last.code = x.afterDeadline()
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

// afterDeadline is the result when the deadline passes between two attempts.
func (x *exchange) afterDeadline() result.Code {
	for _, a := range x.attempts {
		if a.Accepted || a.Code.Outcome() != result.NotRun {
			return a.Code
		}
	}
	return result.DeadlineBeforeRun
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

// try makes one attempt and records it.
func (x *exchange) try(ctx context.Context, target platform.Instance) outcome {
	if !x.answer.streams() {
		// What an earlier attempt left must not precede the answer of this one.
		x.answer.reset()
	}
	a := attempt{x: x, target: target, start: time.Now()}
	o := a.run(ctx)
	o.upstream = target.ID
	x.observe(target, o.code, a.latency())
	if o.code != result.OK {
		x.attempts = append(x.attempts, retry.Attempt{Code: o.code, Accepted: a.accepted, DataCentre: target.DataCentre})
	}
	return o
}

// attempt is one attempt of a request at one upstream.
type attempt struct {
	x        *exchange
	target   platform.Instance
	accepted bool
	// shown is the configuration version in the Open, zero if it had none.
	shown uint64
	start time.Time
	// first is the time to the first part of the answer; zero until then.
	first time.Duration
}

// latency is the time to the first part of the answer, or to the end if there was none.
func (a *attempt) latency() time.Duration {
	if a.first == 0 {
		return time.Since(a.start)
	}
	return a.first
}

func (a *attempt) run(ctx context.Context) outcome {
	x := a.x
	conn, err := x.e.node.Pool().Get(ctx, a.target)
	if err != nil {
		return outcome{code: a.unsent(ctx), reason: err.Error()}
	}
	open := a.open(ctx)
	stream, err := conn.Open(ctx, open)
	if err != nil {
		return outcome{code: a.unsent(ctx), reason: err.Error()}
	}
	defer stream.Cancel()
	body := assembly.New(open.Identity, x.delivered)
	for {
		m, err := stream.Recv(ctx)
		if err != nil {
			stream.Cancel()
			return outcome{code: a.interrupted(ctx, stream.Sent()), reason: err.Error()}
		}
		switch m := m.(type) {
		case *wire.Accepted:
			a.accepted = true
		case *wire.Chunk:
			if code := a.chunk(body, m); code != result.OK {
				return outcome{code: code}
			}
		case *wire.End:
			return a.end(conn, body, m)
		}
	}
}

func (a *attempt) open(ctx context.Context) *wire.Open {
	x := a.x
	deadline, _ := ctx.Deadline()
	open := &wire.Open{
		Identity: wire.Identity{Request: x.id, Attempt: uint8(len(x.attempts) + 1)},
		Service:  x.service.Name, Route: x.route.Path, Team: x.team, Priority: int8(x.priority - rules.Normal),
		DeadlineMS: uint32(max(0, time.Until(deadline).Milliseconds())), IdempotencyKey: x.key, Stream: x.answer.streams(),
		WorkUnits: x.work, ResumeOffset: x.delivered, Method: x.method, Path: x.path, Body: x.body,
	}
	open.ConfigVersion = x.e.shower.InOpen(time.Now(), x.snapshot.Version(), x.e.node.Shown(a.target.ID), !x.route.Idempotent)
	a.shown = open.ConfigVersion
	if x.inChat {
		open.Chat = x.chat
	}
	open.Suspect = x.brokeUpstream()
	x.e.mu.Lock()
	open.MeanLoad = x.e.loads.Hint(time.Now(), a.loadKey())
	x.e.mu.Unlock()
	return open
}

// brokeUpstream reports whether an upstream broke during an earlier attempt.
func (x *exchange) brokeUpstream() bool {
	for _, a := range x.attempts {
		if a.Code == result.UpstreamBroken {
			return true
		}
	}
	return false
}

func (a *attempt) loadKey() load.Upstream {
	// The versions of a service have a mean each, because a shift gives them unequal traffic.
	return load.Upstream{ID: a.target.ID, DataCentre: a.target.DataCentre, Group: a.target.Service + "/" + a.target.Version}
}

// unsent is the result of an attempt of which nothing was sent.
func (a *attempt) unsent(ctx context.Context) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlineBeforeRun
	case ctx.Err() != nil:
		return result.CanceledBeforeRun
	default:
		return result.Unreachable
	}
}

// interrupted is the result of an attempt that ended without the sidecar's word. From the moment the Open may have been sent the
// request may have run.
func (a *attempt) interrupted(ctx context.Context, sent bool) result.Code {
	switch {
	case !sent:
		return a.unsent(ctx)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlineInRun
	case ctx.Err() != nil:
		return result.Canceled
	default:
		return result.ConnectionLost
	}
}

// chunk passes one part of the answer on. Parts that are not this attempt's next are dropped by the assembly.
func (a *attempt) chunk(body *assembly.Assembly, m *wire.Chunk) result.Code {
	data, err := body.Chunk(m)
	if errors.Is(err, assembly.ErrDropped) {
		metrics.Add("chunks_dropped", 1)
		return result.OK
	}
	if err != nil {
		return result.BadAnswer
	}
	if a.first == 0 {
		a.first = time.Since(a.start)
	}
	if err := a.x.answer.write(data); err != nil {
		if errors.Is(err, io.ErrShortBuffer) {
			return result.BadAnswer
		}
		return result.Canceled
	}
	if a.x.answer.streams() {
		a.x.delivered++
	}
	return result.OK
}

// hear takes the sidecar's configuration version. A sidecar that ran the request and names none has the one of the Open.
func (a *attempt) hear(conn *link.Conn, m *wire.End) {
	version := m.ConfigVersion
	if version == 0 && a.accepted {
		version = a.shown
	}
	if version > 0 {
		a.x.e.node.Hear(conn, version)
	}
}

// end checks that the answer is whole.
func (a *attempt) end(conn *link.Conn, body *assembly.Assembly, m *wire.End) outcome {
	x := a.x
	a.hear(conn, m)
	if m.Load != nil {
		x.e.mu.Lock()
		x.e.loads.Report(time.Now(), a.loadKey(), *m.Load)
		x.e.mu.Unlock()
	}
	o := outcome{
		code: result.Code(m.Result), status: int(m.Status), reason: m.Reason, chunks: m.Chunks,
		retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}
	if o.code.Outcome() == result.NotRun && !a.accepted {
		return o
	}
	if err := body.End(m); err != nil {
		o.code = result.BadAnswer
		o.reason = err.Error()
	}
	return o
}
