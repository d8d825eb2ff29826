package link

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

// Stream is the dialing side of one attempt of a request. Recv must be called from one goroutine at a time; the other methods
// are safe for concurrent use.
type Stream struct {
	c      *Conn
	id     wire.Identity
	number uint32
	sent   atomic.Bool

	// notify wakes Recv. It has a capacity of one.
	notify chan struct{}

	mu       sync.Mutex
	queue    []wire.Message
	window   receiveWindow
	accepted bool
	// err is set when no more frames will be queued: io.EOF after End, otherwise the reason why the response is incomplete.
	err error
}

// Open sends a request. It waits while the connection's queue is full, until ctx ends; after that, ctx has no effect on the
// stream. If Open fails, nothing was sent. It fails with ErrPeerLeaving, ErrTooManyStreams, ErrConnectionLost, wire.ErrFrame
// for a request that exceeds a frame, or the error of ctx. The caller must call Recv until it fails, or Cancel.
func (c *Conn) Open(ctx context.Context, open *wire.Open) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	frame, err := wire.Encode(0, open)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	window, err := wire.Encode(0, &wire.Window{Identity: open.Identity, Bytes: c.cfg.WindowBytes})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.out.waitSpace(ctx, ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Stream{c: c, id: open.Identity, notify: make(chan struct{}, 1), window: newReceiveWindow(c.cfg.WindowBytes)}
	if err := c.register(s, frame, window); err != nil {
		return nil, trace.Wrap(err)
	}
	c.scheduleCheck()
	return s, nil
}

// register assigns the stream its number and queues its first frames in the order of the numbers.
func (c *Conn) register(s *Stream, frames ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cause != nil:
		return lostError(c.cause)
	case c.server != nil:
		return trace.BadParameter("only the dialing side opens streams")
	case c.retireCause != nil:
		return c.retireCause
	case len(c.streams) >= c.cfg.MaxStreams || c.lastStream == math.MaxUint32:
		return ErrTooManyStreams
	}
	s.number = c.lastStream + 1
	if err := c.out.pushOpen(s, frames...); err != nil {
		return err
	}
	c.lastStream = s.number
	if len(c.streams) == 0 {
		c.busySince = time.Since(c.start)
	}
	if c.streams == nil {
		c.streams = make(map[uint32]*Stream)
	}
	c.streams[s.number] = s
	return nil
}

// remove deletes a stream that has ended.
func (c *Conn) remove(s *Stream) {
	c.mu.Lock()
	delete(c.streams, s.number)
	cause := c.retireCause
	idle := len(c.streams) == 0
	c.mu.Unlock()
	if cause != nil && idle {
		c.closeGracefully(cause)
	}
}

// Recv returns the next frame of the response: *wire.Accepted, *wire.Chunk or *wire.End, in the order in which the peer sent
// them. After End it returns io.EOF. The error wraps ErrConnectionLost if the connection ended before End, or ErrCanceled
// after Cancel. It can also be the error of ctx, after which Recv may be called again. Recv does not check the order and
// completeness of the response; package assembly does.
func (s *Stream) Recv(ctx context.Context) (wire.Message, error) {
	for {
		m, grant, err := s.dequeue()
		if grant > 0 {
			// A failure means that the connection ended, which the next Recv reports.
			_ = s.c.out.pushTraffic(s.number, &wire.Window{Identity: s.id, Bytes: grant})
		}
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-s.notify:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// dequeue returns the first queued frame and the credit to grant for it.
func (s *Stream) dequeue() (m wire.Message, grant uint32, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, 0, s.err
	}
	m = s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	if chunk, ok := m.(*wire.Chunk); ok && s.err == nil {
		grant = s.window.consume(len(chunk.Data))
	}
	return m, grant, nil
}

// Sent reports whether the Open frame may have reached the peer. It is false only if no byte of it was written. The value is
// final once Recv has returned an error that wraps ErrConnectionLost, or Cancel has returned. Before that it may become true,
// and may become false again if the write fails.
func (s *Stream) Sent() bool { return s.sent.Load() }

// Cancel abandons the response. It notifies the peer, unless the Open has not been sent yet: the Open is then withdrawn and
// never sent. Cancel may be called more than once; after the end of the stream it has no effect. It does not block.
func (s *Stream) Cancel() {
	if !s.terminate(trace.Wrap(ErrCanceled)) {
		return
	}
	if !s.c.out.withdraw(s) {
		// A failure means that the connection ended, which ends the request at the peer too.
		_ = s.c.out.pushTraffic(s.number, &wire.Cancel{Identity: s.id})
	}
	s.mu.Lock()
	s.queue = nil
	s.mu.Unlock()
	s.c.remove(s)
}

// terminate ends the stream with err; queued frames remain. It returns false if the stream had already ended.
func (s *Stream) terminate(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return false
	}
	s.err = err
	s.wake()
	return true
}

func (s *Stream) handleAccepted(m *wire.Accepted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted || s.err != nil {
		droppedRepeated.Add(1)
		return
	}
	s.accepted = true
	s.enqueue(m)
}

func (s *Stream) handleChunk(m *wire.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		droppedUnknownStream.Add(1)
		return nil
	}
	if !s.window.receive(len(m.Data)) {
		return fmt.Errorf("%w: chunk of %d bytes exceeds the credit of stream %d", errProtocol, len(m.Data), s.number)
	}
	s.enqueue(m)
	return nil
}

func (s *Stream) handleEnd(m *wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		droppedUnknownStream.Add(1)
		return
	}
	s.err = io.EOF
	s.enqueue(m)
}

func (s *Stream) enqueue(m wire.Message) {
	s.queue = append(s.queue, m)
	s.wake()
}

func (s *Stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}
