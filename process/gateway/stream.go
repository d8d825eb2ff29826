package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/eventstream"
	"github.com/jayridge/jayridge/request/result"
)

// stream forwards a response's events as they arrive. Only complete events are forwarded, so that a broken stream can be resumed after the
// last one.
func (a *attempt) stream(response *upstream.Response) result.Code {
	c := a.call
	if !a.isAuthentic(response) {
		a.outcome = health.Broken
		return result.BadAnswer
	}
	events := eventstream.NewReader(response.Body)
	control := http.NewResponseController(c.writer)
	for {
		chunk, err := events.Next()
		if errors.Is(err, io.EOF) {
			response.MarkBodyRead()
			return a.streamEnded(response)
		}
		if err != nil {
			return a.interrupted()
		}
		a.timeoutTimer.Reset(c.gapTimeout())
		c.beginStream(response)
		a.reportEvents(chunk)
		if a.events += eventstream.Count(chunk); a.events >= soundEvents {
			a.proveSound()
		}
		if id, found := eventstream.LastID(chunk); found {
			c.progress.lastEvent, c.progress.resumable = id, true
		}
		if _, err := c.writer.Write(chunk); err != nil {
			a.inconclusive = true
			return result.Canceled
		}
		if err := control.Flush(); err != nil {
			a.inconclusive = true
			return result.Canceled
		}
	}
}

// streamEnded finishes a stream that the upstream ended in an orderly way.
func (a *attempt) streamEnded(response *upstream.Response) result.Code {
	a.call.beginStream(response)
	if a.mayBeTruncated = response.IsCloseDelimited() && !a.provenSound; a.events > 0 && !a.mayBeTruncated {
		a.proveSound()
	}
	a.outcome = health.Answered
	return result.OK
}

// beginStream sends the response headers to the caller before the first event.
func (c *call) beginStream(response *upstream.Response) {
	if c.progress.answered {
		return
	}
	h := c.writer.Header()
	for name, values := range c.g.headers.CallerHeaders(response.Header) {
		h[name] = values
	}
	c.progress.answered = true
	c.writer.WriteHeader(response.Status)
	c.g.metrics.record(c.g.metrics.firstEvent, time.Since(c.started))
}

// gapTimeout returns how long to wait for the next event before the stream is resumed at another upstream.
func (c *call) gapTimeout() time.Duration {
	left := time.Until(c.deadline)
	if !c.route.Resumable || c.route.TargetEventGap <= 0 || !c.progress.resumable || c.progress.possibleRuns()+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(minResponseTimeout, gapTimeoutFactor*c.route.TargetEventGap))
}
