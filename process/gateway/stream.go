package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/eventstream"
	"github.com/jayridge/jayridge/request/result"
)

// maxHeldBytes is the maximum size of what an upstream may send before the first data of a stream without it being forwarded.
const maxHeldBytes = 4 << 10

// maxUnnoticedWrite is the time that the caller may take to read events without an effect on the observed pace of the upstream.
const maxUnnoticedWrite = 5 * time.Millisecond

// stream forwards a response's events as they arrive. Only complete events are forwarded, so that a broken stream can be resumed after the
// last one.
func (a *attempt) stream(response *upstream.Response) result.Code {
	c := a.call
	if !a.isAuthentic(response) {
		a.outcome = health.Broken
		return result.BadAnswer
	}
	a.choice.IgnoreResponseTime() // the times of the events are recorded
	// held is what came before the first data. Until then, the request may be sent to another upstream.
	var held []byte
	events := eventstream.NewReader(response.Body, a.reserve)
	for {
		chunk, err := events.Next()
		if errors.Is(err, io.EOF) {
			response.MarkBodyRead()
			return a.streamEnded(response, held)
		}
		if err != nil {
			return a.interrupted(err)
		}
		id, hasID := eventstream.LastID(chunk)
		progresses := hasID || !c.progress.resumable && eventstream.HasData(chunk)
		if hasID {
			c.progress.lastEvent, c.progress.resumable = id, true
		}
		if progresses {
			// Comments, and events without an ID among others with one, do not show that the response progresses.
			a.timeoutTimer.Reset(c.gapTimeout())
		} else if !c.progress.answered && len(held)+len(chunk) <= maxHeldBytes {
			held = append(held, chunk...)
			continue
		}
		if progresses {
			c.usageRan()
		}
		c.beginStream(response)
		chunk, held = append(held, chunk...), nil
		a.reportEvents(chunk)
		count := eventstream.Count(chunk)
		a.choice.Events(bootclock.Now(), count)
		if a.events += count; a.events >= soundEvents {
			a.proveSound()
		}
		writtenAt := time.Now()
		_, err = c.writer.Write(chunk)
		err = errors.Join(err, c.control.Flush())
		if time.Since(writtenAt) > maxUnnoticedWrite {
			a.choice.EventsDelayed()
		}
		if err != nil {
			a.inconclusive = true
			return callerGoneCode(err)
		}
	}
}

// streamEnded finishes a stream that the upstream ended in an orderly way.
func (a *attempt) streamEnded(response *upstream.Response, held []byte) result.Code {
	a.call.beginStream(response)
	if _, err := a.call.writer.Write(held); err != nil {
		a.inconclusive = true
		return callerGoneCode(err)
	}
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
	c.announceLeaving()
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
