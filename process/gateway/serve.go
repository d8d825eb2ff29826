package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/result"
)

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.calls.requests.Add(1)
	defer g.calls.requests.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{g: g, writer: w, request: r, started: time.Now()}
	code := c.admit()
	if code == result.OK {
		g.budgets.request(bootclock.Now(), c.service)
		code = c.run()
	}
	g.metrics.answered(code)
	c.log(code)
	if c.progress.answered {
		if c.progress.broken {
			// The connection ends before the answer does, so that it does not look complete.
			panic(http.ErrAbortHandler)
		}
		return
	}
	c.refuse(code)
}

const (
	// comeAgain is the time after which a caller should come again to another gateway.
	comeAgain = 50 * time.Millisecond
	// comeAgainLoaded is the time after which a caller should come again when no upstream could take the request.
	comeAgainLoaded = 250 * time.Millisecond
)

// refuse answers a request for which no upstream's answer can be passed on.
func (c *call) refuse(code result.Code) {
	info := code.Info()
	status := info.HTTPStatus
	h := c.writer.Header()
	if c.id != "" {
		h.Set(c.g.headers.RequestID, c.id)
	}
	switch {
	case code == result.BadRequest || code == result.BodyTooLarge || code == result.NoRoute || code == result.UnknownKey:
	case info.Outcome == result.NotRun:
		// The request was given up before it ran: it can safely come again.
		status = http.StatusServiceUnavailable
		after := comeAgain
		if code == result.NoUpstream || code == result.Full || code == result.OverBound {
			after = comeAgainLoaded
		}
		after = max(after, c.rejectedFor)
		// Spread over as long again, so that callers that were refused together do not return together.
		after += time.Duration(point(c.id) * float64(after))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	case status < http.StatusInternalServerError:
		status = http.StatusBadGateway
	}
	text := info.Name + ": " + info.Text + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write([]byte(text)) // a caller that left needs no answer
}

// log writes the line that tells how the request ended and from what.
func (c *call) log(code result.Code) {
	id := event.RequestAnswered
	switch {
	case code == result.Canceled || code == result.CanceledBeforeRun:
		id = event.CallerLeft
	case code.Outcome() == result.NotRun:
		id = event.RequestRefused
	case code != result.OK:
		id = event.RequestFailed
	}
	fields := []any{
		"request", c.id, "result", code.String(), "ms", milliseconds(time.Since(c.started)), "config_age_ms", c.g.configAge().Milliseconds(),
	}
	if c.view != nil {
		fields = append(fields, "config", c.view.table.Version(), "revision", c.view.revision)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "kind", c.route.Kind.String(), "team", c.team, "service", c.service)
	}
	if p := &c.progress; p.sends > 0 {
		fields = append(fields, "upstream", p.upstream, "attempts", p.sends, "first_ms", milliseconds(p.first), "load", p.load)
	}
	if c.prompt.Tokens > 0 {
		fields = append(fields, "session", strconv.FormatUint(c.prompt.Session(), 36), "tokens", c.prompt.Tokens, "shared", c.prompt.SharedTokens(),
			"cached", c.progress.cached, "fetched", c.progress.fetched)
	}
	if p := &c.progress; p.passed != "" {
		fields = append(fields, "passed_over", p.passed, "passed_load", p.passedLoad, "passed_pending", p.passedPending)
	}
	event.Sampled(id, fields...)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// point maps a request id to a number in [0, 1).
func point(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
