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

func isControl(m wire.Message) bool {
	switch m.Type() {
	case wire.TypeOpen, wire.TypeAccepted, wire.TypeChunk, wire.TypeEnd, wire.TypeCancel, wire.TypeWindow:
		return false
	default:
		return true
	}
}

func (c *Conn) dispatchControl(m wire.Message) error {
	switch m := m.(type) {
	case *wire.Hello:
		return fmt.Errorf("%w: second Hello", errProtocol)
	case *wire.Ping:
		// Without room for the Pong, other frames are on their way to the peer, which serve it as well.
		_ = c.out.pushControl(&wire.Pong{ConfigVersion: c.local().ConfigVersion})
	case *wire.Leaving:
		if c.server == nil && (m.Instance == "" || m.Instance == c.remote.Instance) {
			c.retire(ErrPeerLeaving)
		}
	}
	c.handler.HandleControl(c, m)
	return nil
}

// dispatchDialed handles the frames that answer this end's requests.
func (c *Conn) dispatchDialed(f wire.Frame) error {
	switch m := f.Message.(type) {
	case *wire.Accepted:
		if s := c.streamOf(f.Stream, m.Identity); s != nil {
			s.accept(m)
		}
	case *wire.Chunk:
		if s := c.streamOf(f.Stream, m.Identity); s != nil {
			return s.chunk(m)
		}
	case *wire.End:
		if s := c.streamOf(f.Stream, m.Identity); s != nil {
			s.end(m)
			c.remove(s)
		}
	default:
		return fmt.Errorf("%w: %T from the serving side", errProtocol, f.Message)
	}
	return nil
}

// streamOf returns the stream that a frame belongs to, or nil after it counted the frame as dropped.
func (c *Conn) streamOf(number uint32, id wire.Identity) *Stream {
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
		if r := c.responderOf(f.Stream, m.Identity); r != nil {
			c.forget(r)
			r.cancel()
		}
	case *wire.Window:
		r := c.responderOf(f.Stream, m.Identity)
		if r != nil && !r.grant(m.Bytes) {
			return fmt.Errorf("%w: credit of stream %d exceeds 4 GiB", errProtocol, f.Stream)
		}
	default:
		return fmt.Errorf("%w: %T from the dialing side", errProtocol, f.Message)
	}
	return nil
}

// responderOf returns the responder that a frame belongs to, or nil after it counted the frame as dropped.
func (c *Conn) responderOf(number uint32, id wire.Identity) *Responder {
	c.mu.Lock()
	r := c.serving[number]
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
