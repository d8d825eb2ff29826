package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/request/result"
)

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.callers.requests.Add(1)
	defer g.callers.requests.Add(-1)
	c := &call{g: g, writer: w, control: http.NewResponseController(w), conn: callerConnOf(r), request: r, started: time.Now()}
	c.ahead = c.conn.head.complete(r.ContentLength)
	c.conn.writes.begin(g.settings)
	defer c.releaseMemory()
	code := c.admit()
	if code == result.OK && !c.conn.passOn() {
		code = result.NoMemory
	}
	if code == result.OK {
		g.budgets.request(bootclock.Now(), c.service)
		if g.places.enabled.Load() {
			r := c.placeRequest()
			g.places.queue(c.service).arrived(bootclock.Now(), &r)
		}
		code = c.run()
		c.usageEnded()
	}
	g.metrics.countResult(code)
	c.logOutcome(code)
	if c.progress.answered {
		if c.progress.broken {
			c.abortResponse()
		}
		return
	}
	c.writeError(code)
}

// abortResponse ends the connection, so that the caller does not take a truncated response for a complete one. It does not return.
func (c *call) abortResponse() {
	if !c.request.ProtoAtLeast(1, 1) {
		// A response without a length has no chunks in HTTP/1.0: it ends with the connection, unless that is reset.
		_ = c.conn.SetLinger(0) // fails only if the connection is closed
	}
	panic(http.ErrAbortHandler)
}

const (
	// notRunRetryAfter is the Retry-After of a request that did not run; the retry may reach another gateway.
	notRunRetryAfter = 50 * time.Millisecond
	// overloadRetryAfter is the Retry-After if no upstream had capacity for the request, or if the gateway has no configuration yet.
	overloadRetryAfter = 250 * time.Millisecond
)

// writeError writes an error response for a request for which there is no upstream response to forward.
func (c *call) writeError(code result.Code) {
	info := code.Info()
	status := info.HTTPStatus
	h := c.writer.Header()
	if c.request.ContentLength != 0 && !c.bodyRead {
		c.limitDiscard()
		if code == result.NoMemory || code == result.CallerStalled {
			h.Set("Connection", "close") // the rest of the body is not read
		}
	}
	if c.id != "" {
		h.Set(c.g.headers.RequestID, c.id)
	}
	switch {
	case code == result.BadRequest || code == result.BodyTooLarge || code == result.NoRoute || code == result.UnknownKey:
	case code == result.CallerStalled:
	case info.Outcome == result.NotRun:
		// The request did not run, so it is safe to retry.
		status = http.StatusServiceUnavailable
		after := notRunRetryAfter
		if code == result.NoUpstream || code == result.Full || code == result.OverBound || code == result.NoMemory || code == result.NoConfiguration {
			after = overloadRetryAfter
		}
		after = max(after, c.quarantinedFor)
		if c.progress.retryAfter > 0 && c.quarantinedFor == 0 {
			h.Set("Retry-After", strconv.FormatFloat(c.progress.retryAfter.Seconds(), 'f', 3, 64)) // already spread
			break
		}
		// Up to 100% jitter, so that callers that were refused together do not retry together.
		after += time.Duration(hashFraction(c.id) * float64(after))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	case status < http.StatusInternalServerError:
		status = http.StatusBadGateway
	}
	text := info.Name + ": " + info.Text + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.announceLeaving()
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write([]byte(text)) // fails only if the caller has disconnected or does not read
}

// announceLeaving asks the caller to send its next request over a new connection if the gateway is leaving or the caller has sent too many requests
// ahead. It is called as late as possible: a request that was read before the gateway began to leave must not keep its connection either.
func (c *call) announceLeaving() {
	if c.g.leaving.Load() || c.ahead > c.g.settings.MaxRequestsAhead {
		c.writer.Header().Set("Connection", "close")
	}
}

// logOutcome logs the result of the request and the decisions that led to it.
func (c *call) logOutcome(code result.Code) {
	id := event.RequestCompleted
	switch {
	case code == result.Canceled || code == result.CanceledBeforeRun || code == result.CallerNotReading:
		id = event.CallerDisconnected
	case code.Outcome() == result.NotRun:
		id = event.RequestRefused
	case code != result.OK:
		id = event.RequestFailed
	}
	fields := []any{
		"request", c.id, "result", code.String(), "ms", milliseconds(time.Since(c.started)), "config_age_ms", c.configAge.Milliseconds(),
	}
	if c.view != nil {
		fields = append(fields, "config", c.view.table.Version(), "revision", c.view.revision)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "kind", c.route.Kind.String(), "team", c.team, "service", c.service)
	}
	if p := &c.progress; p.sends > 0 {
		fields = append(fields, "upstream", p.upstream, "attempts", p.sends, "first_ms", milliseconds(p.first), "load", p.load,
			"load_limit", math.Round(p.loadLimit*10)/10, "load_age_ms", p.totalAge.Milliseconds())
	}
	if p := &c.progress; p.waited > 0 || p.refusalReason != queueing.NotRefused {
		fields = append(fields, "waited_ms", milliseconds(p.waited), "refusal", p.refusalReason.String(), "priority", c.priority)
	}
	if c.prompt.Tokens > 0 {
		fields = append(fields, "session", strconv.FormatUint(c.prompt.Session(), 36), "tokens", c.prompt.Tokens, "shared", c.prompt.SharedTokens(),
			"cached", c.progress.cached, "fetched", c.progress.fetched)
	}
	if c.quarantinedPart != 0 {
		fields = append(fields, "quarantined_part", formatPart(c.quarantinedPart))
	}
	if p := &c.progress; p.passedOver != "" {
		fields = append(fields, "passed_over", p.passedOver, "passed_load", p.passedOverLoad, "passed_pending", p.passedOverPending)
	}
	event.LogSampled(id, fields...)
}

// maxLoggedParts is the maximum number of prompt parts in a log line.
const maxLoggedParts = 8

// sharedPartIDs returns the IDs of the first shared parts of the prompt as they are logged, separated by commas.
func (c *call) sharedPartIDs() string {
	var ids []string
	for _, part := range c.prompt.SharedParts() {
		if len(ids) == maxLoggedParts {
			break
		}
		ids = append(ids, strconv.FormatUint(part.ID, 36))
	}
	return strings.Join(ids, ",")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// hashFraction maps a request ID to a number in [0, 1).
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
