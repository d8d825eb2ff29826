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
	if err := c.out.overflow(); err != nil {
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
		// The error is that of the connection, which the peer notices itself.
		_ = r.End(wire.End{Result: uint8(refusal), ConfigVersion: c.local().ConfigVersion})
		r.cancel()
		return nil
	}
	c.lookSoon()
	go c.handle(open, r)
	return nil
}

// admit registers a request. The result is OK, or why the request is refused; an error closes the connection.
func (c *Conn) admit(r *Responder) (result.Code, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Numbers only grow, so that no frame, however late or repeated, starts a request twice.
	if r.number <= c.lastStream {
		return result.OK, fmt.Errorf("%w: stream %d opened after %d", errProtocol, r.number, c.lastStream)
	}
	c.lastStream = r.number
	if c.handlers >= c.cfg.MaxStreams {
		return result.Full, nil
	}
	if c.cause != nil {
		// The answer could not be sent, so the request is not started.
		return result.Leaving, nil
	}
	// The request counts before draining is read: a Drain that starts meanwhile either waits for it or refuses it.
	c.server.requests.add(1)
	if c.server.draining.Load() {
		c.server.requests.add(-1)
		return result.Leaving, nil
	}
	if c.handlers == 0 {
		c.busySince = time.Since(c.start)
	}
	c.handlers++
	if c.serving == nil {
		c.serving = make(map[uint32]*Responder)
	}
	c.serving[r.number] = r
	return result.OK, nil
}

// handle runs the handler of one request in a goroutine of its own.
func (c *Conn) handle(open *wire.Open, r *Responder) {
	defer c.server.requests.add(-1)
	defer c.release(r)
	defer c.endUnanswered(r)
	defer recoverHandler(open)
	c.handler.HandleOpen(r.ctx, c, open, r)
}

// recoverHandler keeps a request that makes its handler panic from ending the other requests of the process.
func recoverHandler(open *wire.Open) {
	if p := recover(); p != nil {
		event.Log(event.RequestFailed, "request", fmt.Sprintf("%x", open.Request), "route", open.Route,
			"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// endUnanswered answers for a handler that did not.
func (c *Conn) endUnanswered(r *Responder) {
	if r.usable() != nil {
		return
	}
	handlersWithoutEnd.Add(1)
	_ = r.End(wire.End{
		Result:        uint8(result.InternalError),
		Reason:        "the handler returned without a result",
		ConfigVersion: c.local().ConfigVersion,
	})
}

// release forgets a request whose handler returned.
func (c *Conn) release(r *Responder) {
	r.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.serving, r.number)
	c.handlers--
}

// forget drops later frames of a request that ended or was canceled.
func (c *Conn) forget(r *Responder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.serving, r.number)
}
