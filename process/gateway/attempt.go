package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/buffer"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// nonIdempotentMaxIdle is the maximum idle time of a connection that is reused for a request that must not be repeated: if the
	// upstream closes an idle connection just as the request is sent, the request is lost.
	nonIdempotentMaxIdle = 500 * time.Millisecond
	// responseTimeoutFactor times the route's latency objective is the time to wait for the response before a repeatable request is retried
	// at another upstream.
	responseTimeoutFactor = 2
	// minResponseTimeout is the minimum of that time; a shorter one would give up on upstreams that are only slow.
	minResponseTimeout = 400 * time.Millisecond
	// gapTimeoutFactor times the route's TargetEventGap is the pause between events after which a resumable stream is resumed at
	// another upstream.
	gapTimeoutFactor = 4
)

// errResponseTimeout is the cancellation cause of an attempt whose upstream did not respond in time.
var errResponseTimeout = errors.New("no answer in time")

// errUpstreamLeft is the error of an attempt whose upstream left, was drained or restarted before the request was sent.
var errUpstreamLeft = errors.New("the upstream has left")

// bufferedResponse is a complete upstream response held in memory.
type bufferedResponse struct {
	status    int
	header    http.Header
	body      buffer.Buffer
	hasLength bool
	// memory is what the body holds.
	memory *bufferbudget.Reservation
}

// attempt sends the request to one upstream. accepted reports whether it may have run there.
func (c *call) attempt() (code result.Code, accepted bool) {
	c.progress.brokenBy = nil
	c.configAge = c.g.configAge()
	if c.keyed && !c.g.acceptsKeys(c.configAge) {
		return result.StaleConfig, false
	}
	if time.Until(c.deadline) < time.Millisecond {
		return result.DeadlineBeforeRun, false
	}
	plan := c.g.rollouts.driver.Plan(c.service)
	choice, code := c.place(plan)
	if choice == nil {
		return code, false
	}
	p := &c.progress
	p.upstream, p.cached, p.load = choice.ID, choice.Cached, choice.Load
	p.loadLimit, p.totalAge = choice.LoadLimit, choice.TotalAge
	p.passedOver, p.passedOverLoad, p.passedOverPending = choice.PassedOver, choice.PassedLoad, choice.PassedPending
	p.fetched = choice.Fetched
	p.tried = append(p.tried, choice.ID)
	p.sends++
	c.g.metrics.attempts.Add(1)

	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	a := &attempt{call: c, choice: choice, plan: plan, ctx: ctx, started: time.Now(), sentAt: bootclock.Now()}
	a.cancel = cancel
	a.startTimeout(c.responseTimeout(choice))
	defer a.stopTimeout()
	a.memory = c.g.buffers.Open(bufferbudget.Answering, upstreamOwner(choice.ID), nil)
	c.usage.sent = false
	code, accepted = a.do()
	if !accepted {
		c.usageNotRun()
	}
	p.answering = a.answeringFor()
	a.release(code, accepted)
	a.reportToRollout(code)
	switch {
	case a.complete != nil:
		// The upstream is free for other requests while the caller reads.
		a.memory.Assign(teamOwner(c.team))
		code = c.writeResponse(a.complete)
		a.memory.Release()
	case c.progress.failure == nil || c.progress.failure.memory != a.memory:
		a.memory.Release()
	}
	return code, accepted
}

// startTimeout starts timeoutTimer.
func (a *attempt) startTimeout(d time.Duration) {
	a.timeoutMu.Lock()
	defer a.timeoutMu.Unlock()
	a.timeoutTimer = time.AfterFunc(d, a.timedOut)
}

// stopTimeout stops timeoutTimer for good.
func (a *attempt) stopTimeout() {
	a.timeoutMu.Lock()
	defer a.timeoutMu.Unlock()
	a.timeoutTimer.Stop()
	a.ended = true
}

// timedOut gives the attempt up if another one may succeed instead. An upstream that is only busy is waited for until the deadline: giving a request up
// that waits there, in favour of another busy one, would waste what the first has done and lose the place in its queue.
func (a *attempt) timedOut() {
	a.timeoutMu.Lock()
	defer a.timeoutMu.Unlock()
	c := a.call
	left := time.Until(c.deadline)
	switch {
	case a.ended || a.ctx.Err() != nil:
	case left <= 0:
		a.cancel(context.DeadlineExceeded)
	case a.headLatency.Load() == 0 && a.choice.Busy(bootclock.Now()), !c.g.budgets.reserve(bootclock.Now(), c.service, c.route.MaxAttempts):
		a.timeoutTimer.Reset(min(left, c.responseTimeout(a.choice)))
	default:
		c.progress.retryPaid = true
		a.cancel(errResponseTimeout)
	}
}

// responseTimeout returns how long to wait for the upstream's response or the first event.
func (c *call) responseTimeout(choice *balancer.Choice) time.Duration {
	left := time.Until(c.deadline)
	if !c.route.SafeToRetry() || choice.Candidates < 2 || c.progress.possibleRuns()+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(minResponseTimeout, responseTimeoutFactor*c.route.TargetLatency))
}

// attempt is one try to run a request at an upstream.
type attempt struct {
	call   *call
	choice *balancer.Choice
	// plan is the plan of the rollout by which the upstream was chosen, nil if there is none.
	plan   *shift.Plan
	ctx    context.Context
	cancel context.CancelCauseFunc
	// memory is what the parts of the response hold that are not delivered yet.
	memory *bufferbudget.Reservation
	// complete is the response to deliver, nil unless the upstream answered with a complete one.
	complete *bufferedResponse
	// timeoutMu guards ended, and retryPaid of the call until then. timeoutTimer calls timedOut unless it is stopped or reset; it never runs past the
	// deadline.
	timeoutMu    sync.Mutex
	timeoutTimer *time.Timer
	ended        bool
	// outcome is the outcome of the attempt for the health check of the upstream.
	outcome health.Outcome
	started time.Time
	// sentAt is the time of the start by bootclock, by which crashes are dated.
	sentAt time.Time
	// headLatency is the time until the response headers arrived in nanoseconds, zero if there was no response.
	headLatency atomic.Int64
	pace        streamPace
	// paceReported means that the rollout of the service has got an observation of the stream's speed.
	paceReported bool
	// events is the number of events forwarded, provenSound means that the answer has shown that the prompt does not crash the upstream.
	events      int
	provenSound bool
	// mayBeTruncated means that the answer ended with its connection, as it also does if the upstream crashes.
	mayBeTruncated bool
	// inconclusive means that the attempt shows nothing about the health of the upstream, and outcome is not set.
	inconclusive bool
}

// answeringFor returns the time since the response headers arrived, zero if there was no response.
func (a *attempt) answeringFor() time.Duration {
	head := a.headLatency.Load()
	if head == 0 {
		return 0
	}
	return time.Since(a.started) - time.Duration(head)
}

// release returns the reserved capacity and reports the outcome to the balancer and the crash tracker. accepted means that the request may have
// run.
func (a *attempt) release(code result.Code, accepted bool) {
	now := bootclock.Now()
	incomplete := a.inconclusive || a.outcome == health.Broken || a.outcome == health.Unanswered
	if accepted && (incomplete || a.mayBeTruncated) {
		a.call.g.crashes.recordBroken(now, a)
	}
	defer a.call.g.places.freed(now, a.call.service, accepted)
	if a.inconclusive {
		a.choice.Release()
		return
	}
	down := a.choice.Done(now, a.outcome)
	if a.outcome == health.Answered && !a.mayBeTruncated {
		a.call.g.crashes.recordAnswered(a.call)
	}
	if !down && (a.outcome == health.Broken || a.mayBeTruncated) {
		a.call.g.checkConnection(a.choice.Upstream)
	}
	if down {
		a.call.g.handleDown(now, &a.choice.Upstream, "outcome", a.outcome.String(), "result", code.String(), "request", a.call.id)
	}
}

// do sends the request and forwards the response. The second result reports whether the request may have run.
func (a *attempt) do() (result.Code, bool) {
	c := a.call
	response, err := a.exchange()
	if err != nil {
		return a.exchangeFailed(err)
	}
	defer response.Close()
	a.recordHead(response)
	h := &c.g.headers
	// Only a response with the request's ID shows that the request did not run. One without it may be to another request.
	own := response.HasRequestID
	switch {
	case own && response.Status == http.StatusMisdirectedRequest:
		// The address belongs to another upstream now, so the chosen one is not running there any more.
		a.outcome = health.Unreachable
		return result.Unreachable, false
	case own && response.Header.Get(h.NotRun) != "":
		a.outcome = health.Rejected
		a.discardBody(response)
		return result.Full, false
	case response.Status == http.StatusOK && isEventStream(response.Header) && c.route.Kind == routing.Streaming:
		return a.stream(response), true
	case c.progress.answered:
		// The caller has received part of a stream, and only another stream can continue it.
		a.outcome = health.Failed
		return result.BadAnswer, true
	default:
		if own {
			c.usageRan()
		}
		return a.forwardComplete(response), true
	}
}

// exchange sends the request and reads the response headers.
func (a *attempt) exchange() (*upstream.Response, error) {
	c := a.call
	pool := c.g.pools.get(a.choice.Address)
	maxIdle := time.Duration(1<<63 - 1)
	if !c.route.SafeToRetry() {
		maxIdle = nonIdempotentMaxIdle
	}
	conn, err := pool.Get(a.ctx, maxIdle)
	if err != nil {
		return nil, errors.Join(upstream.ErrNotSent, err)
	}
	if !conn.Reused() {
		c.g.metrics.dials.Add(1)
	}
	if !a.choice.Usable() {
		conn.Close()
		return nil, errors.Join(upstream.ErrNotSent, errUpstreamLeft)
	}
	header := c.header.Clone()
	header.Set(c.g.headers.Upstream, a.choice.ID)
	header.Set(c.g.headers.Deadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if c.statesPriority {
		header.Set(c.g.headers.Priority, strconv.Itoa(c.priority))
	}
	if a.choice.FetchFrom != "" {
		header.Set(c.g.headers.FetchFrom, a.choice.FetchFrom)
	}
	if c.progress.answered {
		header.Set(c.g.headers.LastEventID, c.progress.lastEvent)
	}
	c.usageSent()
	response, err := upstream.Exchange(a.ctx, conn, &upstream.Request{
		Method: c.request.Method,
		Target: c.request.RequestURI,
		Host:   c.request.Host,
		Header: header,

		Body: c.body.Reader(), BodyLength: c.body.Len(),
		Reserve:  a.reserve,
		IDHeader: c.g.headers.RequestID,
		ID:       c.id,
	})
	if n := conn.Skipped(); n > 0 {
		event.LogSampled(event.ForeignResponse, "upstream", a.choice.ID, "responses", n, "request", c.id)
	}
	return response, err
}

// recordHead records the arrival of the response headers and the load that they report.
func (a *attempt) recordHead(response *upstream.Response) {
	c := a.call
	a.headLatency.Store(int64(time.Since(a.started)))
	total := -1
	load, status := c.g.headers.ParseLoad(response.Header)
	if status == forward.LoadValid || status == forward.LoadPartial {
		total = load.Running + load.Waiting
	}
	if status == forward.LoadPartial || status == forward.LoadMalformed {
		c.g.metrics.loadsMalformed.Add(1)
	}
	now := bootclock.Now()
	a.choice.AnswerStarted(now, total)
	if load.Slowdown > 0 {
		a.choice.RecordSlowdown(now, load.Slowdown)
	}
	if response.Status < http.StatusOK || response.Status >= http.StatusMultipleChoices {
		a.choice.IgnoreResponseTime()
	}
	a.recordRateLimit(response)
	if c.progress.first == 0 {
		c.progress.first = time.Since(c.started)
	}
}

// recordRateLimit records the rate of requests that the upstream named. Only the upstream's own answer shows that there is no limit any more.
func (a *attempt) recordRateLimit(response *upstream.Response) {
	perSecond, named, err := a.call.g.headers.ParseRateLimit(response.Header)
	if err != nil {
		event.LogSampled(event.UpstreamLimitInvalid, "upstream", a.choice.ID, "error", err, "request", a.call.id)
		return
	}
	if !named {
		if !a.isAuthentic(response) {
			return
		}
		perSecond = balancer.NoRateLimit
	}
	if a.choice.RecordRateLimit(bootclock.Now(), perSecond) {
		event.LogSampled(event.UpstreamLimitChanged, "upstream", a.choice.ID, "per_second", perSecond, "source", "answer", "request", a.call.id)
	}
}

// exchangeFailed maps the error of an exchange without a response to a result, and reports whether the request may have run.
func (a *attempt) exchangeFailed(err error) (result.Code, bool) {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, upstream.ErrTooManyConnections):
		a.inconclusive = true
		return result.Full, false
	case errors.Is(err, errUpstreamLeft):
		a.inconclusive = true
		return result.Unreachable, false
	case errors.Is(err, upstream.ErrNotSent) && cause == nil:
		a.outcome = health.Unreachable
		return result.Unreachable, false
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(cause, errResponseTimeout):
		a.outcome = health.Unanswered
		return result.Unreachable, false
	case errors.Is(err, upstream.ErrNotSent):
		a.inconclusive = true
		return result.DeadlineBeforeRun, false
	case errors.Is(err, upstream.ErrHeadTooLong), errors.Is(err, upstream.ErrInvalidStatus), errors.Is(err, bufferbudget.ErrNoRoom):
		a.call.progress.brokenBy = err
		a.outcome = health.Broken
		return result.BadAnswer, true
	default:
		return a.interrupted(err), true
	}
}

// interrupted returns the result of an exchange that ended early, with err, after the request was sent.
func (a *attempt) interrupted(err error) result.Code {
	a.call.progress.brokenBy = err
	cause := context.Cause(a.ctx)
	switch {
	case a.call.request.Context().Err() != nil:
		a.inconclusive = true
		return result.Canceled
	case errors.Is(cause, errResponseTimeout), errors.Is(cause, errUpstreamStalled):
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

// discardBody reads and drops a short body, so that the connection can be reused.
func (a *attempt) discardBody(response *upstream.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes)); err == nil {
		response.MarkBodyRead()
	}
}

// maxDrainBytes is the maximum size of a body that is read only to keep the connection reusable.
const maxDrainBytes = 64 << 10

// reserve reserves memory for a part of the response.
func (a *attempt) reserve(bytes int) error { return a.memory.Reserve(a.ctx, bytes) }

// forwardComplete reads a response that is not a stream, validates it and forwards it. If there is no memory to hold all of it, it is forwarded as it
// arrives.
func (a *attempt) forwardComplete(response *upstream.Response) result.Code {
	c := a.call
	if !a.isAuthentic(response) {
		a.outcome = health.Broken
		return result.BadAnswer
	}
	// From here on, the upstream may take the time that its rate requires, but another upstream must have time for a retry.
	retryAfter, left := c.responseTimeout(a.choice), time.Until(c.deadline)
	stallLimit := min(settings.FractionalMilliseconds(c.g.settings.UpstreamStallMS), retryAfter)
	if retryAfter < left {
		a.timeoutTimer.Reset(max(retryAfter, left/2))
	}
	body := newUpstreamBody(response.Body, stallLimit, a.cancel)
	defer body.timer.Stop()
	r := &bufferedResponse{status: response.Status, header: response.Header, hasLength: c.request.Method != http.MethodHead, memory: a.memory}
	known := response.Length()
	if !r.hasLength {
		known = -1 // the response to HEAD has no body
	}
	err := r.body.Fill(body, known, a.maxBodyBytes(), a.reserve)
	switch {
	case errors.Is(err, buffer.ErrTooLong):
		a.outcome = health.Broken
		return result.BadAnswer
	case errors.Is(err, bufferbudget.ErrNoRoom) && mayForwardEarly(response.Status):
		return a.forwardAsItArrives(response, body, r)
	case errors.Is(err, bufferbudget.ErrNoRoom):
		a.outcome = health.Failed
		return result.UpstreamBroken
	case err != nil:
		return a.interrupted(err)
	}
	response.MarkBodyRead()
	if response.Status >= http.StatusInternalServerError {
		a.outcome = health.Failed
		if impliesNotRun(response.Status) {
			// Without the not-run header the request must be assumed to have run, and this status would tell the caller otherwise.
			return result.UpstreamBroken
		}
		c.setFailure(r)
		return result.UpstreamError
	}
	a.outcome = health.Answered
	if impliesNotRun(response.Status) {
		return result.UpstreamBroken
	}
	if a.mayBeTruncated = response.IsCloseDelimited(); response.Status < http.StatusMultipleChoices && r.body.Len() > 0 && !a.mayBeTruncated {
		a.proveSound()
	}
	a.complete = r
	return result.OK
}

func (a *attempt) maxBodyBytes() int { return int(a.call.g.settings.MaxResponseMB * (1 << 20)) }

// mayForwardEarly reports whether a response with this status is final, so that it can be forwarded before it is complete.
func mayForwardEarly(status int) bool {
	return status < http.StatusInternalServerError && !impliesNotRun(status)
}

// forwardPieceBytes is the size of the parts in which a response is forwarded for which there is no memory.
const forwardPieceBytes = 8 << 10

// forwardAsItArrives forwards a response of which the first part has been read into r. If the rest is lost, the caller's connection is aborted.
func (a *attempt) forwardAsItArrives(response *upstream.Response, rest io.Reader, r *bufferedResponse) result.Code {
	c := a.call
	if n := response.Length(); n >= 0 {
		c.writer.Header().Set("Content-Length", strconv.Itoa(n))
	}
	c.writeHead(r)
	forwarded := r.body.Len()
	err := c.writeBody(&r.body)
	r.body.Drop()
	a.memory.Release()
	piece := make([]byte, forwardPieceBytes)
	for err == nil {
		n, readErr := rest.Read(piece)
		if forwarded += n; forwarded > a.maxBodyBytes() {
			a.outcome = health.Broken
			return result.BadAnswer
		}
		_, err = c.writer.Write(piece[:n])
		switch {
		case err != nil:
		case errors.Is(readErr, io.EOF):
			response.MarkBodyRead()
			a.outcome = health.Answered
			a.mayBeTruncated = response.IsCloseDelimited()
			return result.OK
		case readErr != nil:
			return a.interrupted(readErr)
		}
	}
	a.inconclusive = true
	return callerGoneCode(err)
}

// isAuthentic reports whether the response was made by the upstream itself, unmodified, for this request: it contains the request ID and
// the upstream's signature, and its body is not re-encoded.
func (a *attempt) isAuthentic(response *upstream.Response) bool {
	h := &a.call.g.headers
	return response.HasRequestID && response.Header.Get(h.Signature) != "" && response.Header.Get("Content-Encoding") == ""
}

// impliesNotRun reports whether callers understand a status to mean that the request did not run.
func impliesNotRun(status int) bool {
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
