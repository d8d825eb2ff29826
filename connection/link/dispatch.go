package link

import (
	"fmt"

	"github.com/jayridge/jayridge/connection/wire"
)

// dispatch handles one frame on the reader goroutine. An error closes the connection.
func (c *Conn) dispatch(f wire.Frame) error {
	if f.Message == nil {
		skippedTypes.Add(1)
		c.stats.received(f.Stream == wire.ControlStream, f.Bytes)
		return nil
	}
	control := isControl(f.Message)
	c.stats.received(control, f.Bytes)
	if control {
		return c.dispatchControl(f.Message)
	}
	if c.server != nil {
		return c.dispatchServing(f)
	}
	return c.dispatchDialed(f)
}

// isControl reports whether a message belongs to no request.
func isControl(m wire.Message) bool {
	switch m.Type() {
	case wire.TypeOpen, wire.TypeAccepted, wire.TypeChunk, wire.TypeEnd, wire.TypeCancel, wire.TypeWindow:
		return false
	default:
		return true
	}
}

// dispatchControl answers a Ping, retires the connection if the peer is leaving, and passes the message to the handler.
func (c *Conn) dispatchControl(m wire.Message) error {
	switch m := m.(type) {
	case *wire.Hello:
		return fmt.Errorf("%w: second Hello", errProtocol)
	case *wire.Ping:
		// If the queue has no room for the Pong, other frames are already on their way and serve the peer's keepalive as well.
		_ = c.out.pushControl(&wire.Pong{ConfigVersion: c.local().ConfigVersion})
	case *wire.Leaving:
		if c.server == nil && (m.Instance == "" || m.Instance == c.remote.Instance) {
			c.retire(ErrPeerLeaving)
		}
	}
	c.handler.HandleControl(c, m)
	return nil
}

// dispatchDialed handles the frames that respond to this end's requests.
func (c *Conn) dispatchDialed(f wire.Frame) error {
	switch m := f.Message.(type) {
	case *wire.Accepted:
		if s := c.lookupStream(f.Stream, m.Identity); s != nil {
			s.handleAccepted(m)
		}
	case *wire.Chunk:
		if s := c.lookupStream(f.Stream, m.Identity); s != nil {
			return s.handleChunk(m)
		}
	case *wire.End:
		if s := c.lookupStream(f.Stream, m.Identity); s != nil {
			s.handleEnd(m)
			c.remove(s)
		}
	default:
		return fmt.Errorf("%w: %T from the serving side", errProtocol, f.Message)
	}
	return nil
}

// lookupStream returns the stream that a frame belongs to. If there is none, it counts the frame as dropped and returns nil.
func (c *Conn) lookupStream(number uint32, id wire.Identity) *Stream {
	c.mu.Lock()
	s := c.streams[number]
	c.mu.Unlock()
	if s == nil {
		droppedUnknownStream.Add(1)
		return nil
	}
	if s.id != id {
		droppedIdentity.Add(1)
		return nil
	}
	return s
}

// dispatchServing handles the frames of the peer's requests.
func (c *Conn) dispatchServing(f wire.Frame) error {
	switch m := f.Message.(type) {
	case *wire.Open:
		return c.serveOpen(f.Stream, m)
	case *wire.Cancel:
		if r := c.lookupResponder(f.Stream, m.Identity); r != nil {
			c.unregister(r)
			r.cancel()
		}
	case *wire.Window:
		r := c.lookupResponder(f.Stream, m.Identity)
		if r != nil && !r.grant(m.Bytes) {
			return fmt.Errorf("%w: credit of stream %d exceeds 4 GiB", errProtocol, f.Stream)
		}
	default:
		return fmt.Errorf("%w: %T from the dialing side", errProtocol, f.Message)
	}
	return nil
}

// lookupResponder returns the responder that a frame belongs to. If there is none, it counts the frame as dropped and returns
// nil.
func (c *Conn) lookupResponder(number uint32, id wire.Identity) *Responder {
	c.mu.Lock()
	r := c.responders[number]
	c.mu.Unlock()
	if r == nil {
		droppedUnknownStream.Add(1)
		return nil
	}
	if r.id != id {
		droppedIdentity.Add(1)
		return nil
	}
	return r
}
