package link

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/result"
)

// serveOpen starts the handler of a request, or refuses the request. It runs on the reader goroutine.
func (c *Conn) serveOpen(number uint32, open *wire.Open) error {
	if err := c.out.checkOverflow(); err != nil {
		return err
	}
	r := newResponder(c, number, open)
	refusal, err := c.admit(r)
	if err != nil {
		r.cancel()
		return err
	}
	if refusal != result.OK {
		streamsRefused.Add(1)
		// A failure means that the connection ended, which the peer notices itself.
		_ = r.End(wire.End{Result: uint8(refusal), ConfigVersion: c.local().ConfigVersion})
		r.cancel()
		return nil
	}
	c.scheduleCheck()
	go c.handle(open, r)
	return nil
}

// admit registers a request. The result is OK or the reason for a refusal; an error closes the connection.
func (c *Conn) admit(r *Responder) (result.Code, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Stream numbers only increase, so that no late or repeated frame starts a request twice.
	if r.number <= c.lastStream {
		return result.OK, fmt.Errorf("%w: stream %d opened after %d", errProtocol, r.number, c.lastStream)
	}
	c.lastStream = r.number
	if c.activeHandlers >= c.cfg.MaxStreams {
		return result.Full, nil
	}
	if c.cause != nil {
		// The response could not be sent, so the request is not started.
		return result.Leaving, nil
	}
	// The request is counted before draining is read: a concurrent Drain either waits for it or refuses it.
	c.server.requestCount.add(1)
	if c.server.draining.Load() {
		c.server.requestCount.add(-1)
		return result.Leaving, nil
	}
	if c.activeHandlers == 0 {
		c.busySince = time.Since(c.start)
	}
	c.activeHandlers++
	if c.responders == nil {
		c.responders = make(map[uint32]*Responder)
	}
	c.responders[r.number] = r
	return result.OK, nil
}

// handle runs the handler of one request in its own goroutine.
func (c *Conn) handle(open *wire.Open, r *Responder) {
	defer c.server.requestCount.add(-1)
	defer c.handlerDone(r)
	defer c.endUnanswered(r)
	defer recoverHandler(open)
	c.handler.HandleOpen(r.ctx, c, open, r)
}

// recoverHandler prevents a panic in one request's handler from ending the other requests of the process.
func recoverHandler(open *wire.Open) {
	if p := recover(); p != nil {
		event.Log(event.RequestFailed, "request", fmt.Sprintf("%x", open.Request), "route", open.Route,
			"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// endUnanswered sends an End for a handler that returned without one.
func (c *Conn) endUnanswered(r *Responder) {
	if r.checkSendable() != nil {
		return
	}
	handlersWithoutEnd.Add(1)
	_ = r.End(wire.End{
		Result:        uint8(result.InternalError),
		Reason:        "the handler returned without a result",
		ConfigVersion: c.local().ConfigVersion,
	})
}

// handlerDone removes a request whose handler has returned.
func (c *Conn) handlerDone(r *Responder) {
	r.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.responders, r.number)
	c.activeHandlers--
}

// unregister removes a request that was ended or canceled, so that its later frames are dropped.
func (c *Conn) unregister(r *Responder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.responders, r.number)
}
