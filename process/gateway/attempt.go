package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// maxReplyBytes bounds an answer that is not a stream.
	maxReplyBytes = 16 << 20
	// onceIdle is how long a connection may have been idle to carry a request that must not be repeated: such a request is lost with
	// a connection that the upstream closes at the same moment.
	onceIdle = 500 * time.Millisecond
	// patienceFactor times the route's objective is the time without an answer after which a request that can be repeated goes to
	// another upstream.
	patienceFactor = 2
	// minPatience is the least such time; below it a busy upstream would be left for nothing.
	minPatience = 400 * time.Millisecond
	// gapFactor times the longest pause that callers should see is the pause after which a resumable stream goes on elsewhere.
	gapFactor = 4
)

// errNoProgress ends an attempt whose upstream did not answer in time.
var errNoProgress = errors.New("no answer in time")

// reply is an upstream's whole answer.
type reply struct {
	status    int
	header    http.Header
	body      []byte
	hasLength bool
}

func (r *reply) length() string { return strconv.Itoa(len(r.body)) }

// attempt sends the request to one upstream. accepted says that it may have run there.
func (c *call) attempt() (code result.Code, accepted bool) {
	if c.keyed && !c.g.keysCurrent() {
		return result.StaleConfig, false
	}
	if time.Until(c.deadline) < time.Millisecond {
		return result.DeadlineBeforeRun, false
	}
	choice := c.pick()
	if choice == nil {
		return result.NoUpstream, false
	}
	p := &c.progress
	p.upstream, p.cached, p.load = choice.ID, choice.Cached, choice.Load
	p.passed, p.passedLoad, p.passedPending = choice.PassedOver, choice.PassedLoad, choice.PassedPending
	p.fetched = choice.Fetched
	p.tried = append(p.tried, choice.ID)
	p.sends++
	c.g.metrics.attempts.Add(1)

	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	a := &attempt{call: c, choice: choice, ctx: ctx, started: time.Now()}
	a.patience = time.AfterFunc(c.patience(choice), func() {
		if time.Now().Before(c.deadline) {
			cancel(errNoProgress)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	defer a.patience.Stop()
	code, accepted = a.do()
	a.settle(code)
	a.observe(code)
	return code, accepted
}

// patience is how long the upstream may take for its answer or the first event.
func (c *call) patience(choice *balancer.Choice) time.Duration {
	left := time.Until(c.deadline)
	if !c.route.Repeatable() || choice.Candidates < 2 || c.progress.sent()+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(minPatience, patienceFactor*c.route.Objective))
}

// attempt is one send of a request to an upstream.
type attempt struct {
	call   *call
	choice *balancer.Choice
	ctx    context.Context
	// patience ends the attempt unless it is stopped or prolonged. It never runs beyond the deadline.
	patience *time.Timer
	// outcome is what the attempt says about the upstream.
	outcome health.Outcome
	started time.Time
	// answered is the time to the head of the answer, zero if there was none.
	answered time.Duration
	// silent says that the attempt says nothing about the upstream.
	silent bool
}

// settle gives the place back and reports what the attempt says about the upstream.
func (a *attempt) settle(code result.Code) {
	if a.silent {
		a.choice.Release()
		return
	}
	now := bootclock.Now()
	down := a.choice.Done(now, a.outcome)
	switch a.outcome {
	case health.Broken:
		a.call.g.crashes.broke(now, a)
		if !down {
			a.call.g.check(a.choice.Upstream)
		}
	case health.Answered:
		a.call.g.crashes.answered(a.call)
	}
	if down {
		a.call.g.wentDown(now, &a.choice.Upstream, "outcome", a.outcome.String(), "result", code.String(), "request", a.call.id)
	}
}

// do exchanges the request and passes the answer on.
func (a *attempt) do() (result.Code, bool) {
	c := a.call
	answer, err := a.exchange()
	if err != nil {
		return a.failed(err)
	}
	defer answer.Close()
	a.begun(answer)
	h := &c.g.headers
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		// Another upstream has the address: this one is gone.
		a.outcome = health.Unreachable
		return result.Unreachable, false
	case answer.Header.Get(h.NotRun) != "":
		a.outcome = health.Rejected
		a.drain(answer)
		return result.Full, false
	case answer.Status == http.StatusOK && isEventStream(answer.Header) && c.route.Kind == routing.Streaming:
		return a.stream(answer), true
	case c.progress.answered:
		// Only a stream can continue a stream.
		a.outcome = health.Failed
		return result.BadAnswer, true
	default:
		return a.whole(answer), true
	}
}

// exchange sends the request and returns the head of the answer.
func (a *attempt) exchange() (*upstream.Answer, error) {
	c := a.call
	pool := c.g.pools.get(a.choice.Address)
	maxIdle := time.Duration(1<<63 - 1)
	if !c.route.Repeatable() {
		maxIdle = onceIdle
	}
	conn, err := pool.Get(a.ctx, maxIdle)
	if err != nil {
		return nil, errors.Join(upstream.ErrNotSent, err)
	}
	if !conn.Reused() {
		c.g.metrics.dials.Add(1)
	}
	header := c.header.Clone()
	header.Set(c.g.headers.Upstream, a.choice.ID)
	header.Set(c.g.headers.Deadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if a.choice.FetchFrom != "" {
		header.Set(c.g.headers.FetchFrom, a.choice.FetchFrom)
	}
	if c.progress.answered {
		header.Set(c.g.headers.LastEventID, c.progress.lastEvent)
	}
	return upstream.Exchange(a.ctx, conn, &upstream.Request{
		Method:   c.request.Method,
		Target:   c.request.RequestURI,
		Host:     c.request.Host,
		Header:   header,
		Body:     c.body,
		IDHeader: c.g.headers.RequestID,
		ID:       c.id,
	})
}

// begun records the answer's head.
func (a *attempt) begun(answer *upstream.Answer) {
	c := a.call
	a.answered = time.Since(a.started)
	total := -1
	if load, ok := c.g.headers.ReadLoad(answer.Header); ok {
		total = load.Running + load.Waiting
	}
	a.choice.Begun(bootclock.Now(), total)
	if c.progress.first == 0 {
		c.progress.first = time.Since(c.started)
	}
}

// failed maps an exchange that brought no answer.
func (a *attempt) failed(err error) (result.Code, bool) {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, upstream.ErrTooManyConnections):
		a.silent = true
		return result.Full, false
	case errors.Is(err, upstream.ErrNotSent) && cause == nil:
		a.outcome = health.Unreachable
		return result.Unreachable, false
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(cause, errNoProgress):
		a.outcome = health.Unanswered
		return result.Unreachable, false
	case errors.Is(err, upstream.ErrNotSent):
		a.silent = true
		return result.DeadlineBeforeRun, false
	default:
		return a.interrupted(), true
	}
}

// interrupted maps an exchange that ended early after the request was sent.
func (a *attempt) interrupted() result.Code {
	cause := context.Cause(a.ctx)
	switch {
	case a.call.request.Context().Err() != nil:
		a.silent = true
		return result.Canceled
	case errors.Is(cause, errNoProgress):
		a.outcome = health.Unanswered
		return result.ConnectionLost
	case cause != nil:
		a.outcome = health.Unanswered
		return result.DeadlineInRun
	default:
		a.outcome = health.Broken
		return result.ConnectionLost
	}
}

// drain reads a short body that nobody needs, so that the connection can be kept.
func (a *attempt) drain(answer *upstream.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxDrainBytes)); err == nil {
		answer.Done()
	}
}

// maxDrainBytes bounds a body that is read only to keep the connection.
const maxDrainBytes = 64 << 10

// whole reads an answer that is not a stream, checks it and passes it on.
func (a *attempt) whole(answer *upstream.Answer) result.Code {
	c := a.call
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes+1))
	if err != nil {
		return a.interrupted()
	}
	if len(body) > maxReplyBytes || !a.genuine(answer) {
		a.outcome = health.Broken
		return result.BadAnswer
	}
	answer.Done()
	r := &reply{status: answer.Status, header: answer.Header, body: body, hasLength: c.request.Method != http.MethodHead}
	if answer.Status >= http.StatusInternalServerError {
		a.outcome = health.Failed
		if promisesNotRun(answer.Status) {
			// Without the header that says so the request has run, and the status would tell the caller otherwise.
			return result.UpstreamBroken
		}
		c.progress.failure = r
		return result.UpstreamError
	}
	a.outcome = health.Answered
	if promisesNotRun(answer.Status) {
		return result.UpstreamBroken
	}
	c.pass(r)
	c.g.metrics.record(c.g.metrics.latency, time.Since(c.started))
	return result.OK
}

// genuine says whether the answer is the upstream's own and belongs to the request.
func (a *attempt) genuine(answer *upstream.Answer) bool {
	h := &a.call.g.headers
	return answer.Identified && answer.Header.Get(h.Signature) != "" && answer.Header.Get("Content-Encoding") == ""
}

// promisesNotRun says whether callers take a status as a promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
