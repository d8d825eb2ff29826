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

// stream passes an answer's events on as they arrive. Only whole events go to the caller, so that a stream that breaks can be continued
// after the last one.
func (a *attempt) stream(answer *upstream.Answer) result.Code {
	c := a.call
	if !a.genuine(answer) {
		a.outcome = health.Broken
		return result.BadAnswer
	}
	events := eventstream.NewReader(answer.Body)
	control := http.NewResponseController(c.writer)
	for {
		some, err := events.Next()
		if errors.Is(err, io.EOF) {
			answer.Done()
			return a.streamEnded(answer)
		}
		if err != nil {
			return a.interrupted()
		}
		a.patience.Reset(c.gapPatience())
		c.beginStream(answer)
		if id, found := eventstream.LastID(some); found {
			c.progress.lastEvent, c.progress.resumable = id, true
		}
		if _, err := c.writer.Write(some); err != nil {
			a.silent = true
			return result.Canceled
		}
		if err := control.Flush(); err != nil {
			a.silent = true
			return result.Canceled
		}
	}
}

// streamEnded finishes a stream that the upstream ended.
func (a *attempt) streamEnded(answer *upstream.Answer) result.Code {
	a.call.beginStream(answer)
	a.outcome = health.Answered
	return result.OK
}

// beginStream sends the answer's head to the caller before the first event.
func (c *call) beginStream(answer *upstream.Answer) {
	if c.progress.answered {
		return
	}
	h := c.writer.Header()
	for name, values := range c.g.headers.ToCaller(answer.Header) {
		h[name] = values
	}
	c.progress.answered = true
	c.writer.WriteHeader(answer.Status)
	c.g.metrics.record(c.g.metrics.first, time.Since(c.started))
}

// gapPatience is how long the next event may take before the stream goes on elsewhere.
func (c *call) gapPatience() time.Duration {
	left := time.Until(c.deadline)
	if !c.route.Resumable || c.route.MaxGap <= 0 || !c.progress.resumable || c.progress.sent()+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(minPatience, gapFactor*c.route.MaxGap))
}
