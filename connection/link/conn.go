package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
)

// readBufferBytes is small because a process holds thousands of connections; larger reads bypass the buffer.
const readBufferBytes = 4 << 10

// Handler is implemented by users of connections. One Handler may serve many connections, which call it from different
// goroutines.
type Handler interface {
	// HandleOpen handles one request. It is called on the serving side only, in a separate goroutine for each request. It may
	// block; ctx ends when the peer cancels the request or the connection ends. If it returns without calling End, link sends
	// an End with result.InternalError.
	HandleOpen(ctx context.Context, c *Conn, open *wire.Open, r *Responder)
	// HandleControl gets Gossip, ConfigPull, ConfigPush, Leaving, Ping and Pong frames. Link has already answered a Ping; it
	// is passed on for its configuration version. It is called from the connection's reader goroutine, in order, and must not
	// block, because no other frame of the connection is read meanwhile.
	HandleControl(c *Conn, m wire.Message)
	// HandleClose is called exactly once for each connection, after its last HandleControl and before Done is closed. err
	// wraps ErrConnectionLost. HandleOpen calls may still be in progress; their ctx has ended. HandleClose may block, which
	// delays Done.
	HandleClose(c *Conn, err error)
}

// ConnectHandler is an optional interface of a Handler.
type ConnectHandler interface {
	// HandleConnect is called once for each connection that a Server accepted, after the handshake and before any other
	// method, from the connection's reader goroutine. It must not block.
	HandleConnect(c *Conn)
}

// Conn is a connection after its handshake. All methods are safe for concurrent use.
type Conn struct {
	cfg     Config
	nc      net.Conn
	frames  *wire.Reader
	handler Handler
	local   func() wire.Hello
	remote  wire.Hello
	server  *Server
	start   time.Time
	out     *outbox
	monitor keepaliveMonitor
	stats   stats
	// lastReceived is the time of the last received frame, in nanoseconds since start.
	lastReceived atomic.Int64
	// probeRequested is the time of the last call of Probe, in nanoseconds since start.
	probeRequested atomic.Int64

	// leavingSent is set when this end has announced that it is leaving.
	leavingSent atomic.Bool

	// ctx ends when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// cause is the reason why the connection ended or is being closed.
	cause error
	// retireCause is the reason why no more streams are opened, or nil while the connection accepts new streams.
	retireCause error
	// lastStream is the highest stream number used so far, by this end of a dialed connection or by the peer of an accepted
	// one.
	lastStream uint32
	// streams holds the streams of a dialed connection, responders those of an accepted one.
	streams    map[uint32]*Stream
	responders map[uint32]*Responder
	// activeHandlers is the number of HandleOpen calls in progress.
	activeHandlers int
	// busySince is the time since start at which the number of requests in progress last rose from zero.
	busySince time.Duration
}

func newConn(nc net.Conn, cfg Config, local func() wire.Hello, h Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		cfg:     cfg,
		nc:      nc,
		frames:  wire.NewReader(newReader(nc)),
		handler: h,
		local:   local,
		start:   time.Now(),
		out:     newOutbox(cfg),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
}

// Remote returns the peer's Hello. Its configuration version is that of the handshake.
func (c *Conn) Remote() wire.Hello { return c.remote }

// RemoteAddr returns the peer's network address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// Done is closed after the connection has ended and HandleClose has returned.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns nil while the connection is usable, afterwards an error that wraps ErrConnectionLost and the cause.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == nil {
		return nil
	}
	return lostError(c.cause)
}

// Stats returns the amount of data transferred so far.
func (c *Conn) Stats() Stats {
	return Stats{
		ControlIn:  c.stats.controlIn.load(),
		ControlOut: c.stats.controlOut.load(),
		TrafficIn:  c.stats.trafficIn.load(),
		TrafficOut: c.stats.trafficOut.load(),
	}
}

// Send queues a control frame without blocking. It fails with ErrQueueFull if the peer reads too slowly, and with
// ErrConnectionLost if the connection has ended.
func (c *Conn) Send(m wire.Message) error {
	if !isControl(m) || m.Type() == wire.TypeHello {
		return trace.BadParameter("%T is not a control frame", m)
	}
	if m.Type() == wire.TypeLeaving {
		c.leavingSent.Store(true)
	}
	return trace.Wrap(c.out.pushControl(m))
}

// Close closes the connection gracefully: the queued frames are written, then the peer has up to Config.CloseTimeout to close
// its end. Close does not wait for that; use Done. Requests in progress are lost. It returns nil and may be called more than
// once.
func (c *Conn) Close() error {
	c.closeGracefully(ErrClosed)
	return nil
}

// CloseWhenIdle stops opening streams, and closes the connection like Close once the requests in progress have ended. It does not
// wait for that. From now on, opening a stream fails with ErrClosed. CloseWhenIdle is meant for dialed connections.
func (c *Conn) CloseWhenIdle() { c.retire(ErrClosed) }

// retire stops new streams and closes the connection once it has none.
func (c *Conn) retire(cause error) {
	c.mu.Lock()
	c.retireCause = cause
	idle := len(c.streams) == 0
	c.mu.Unlock()
	if idle {
		c.closeGracefully(cause)
	}
}

// closeGracefully lets the writer write the queued frames and then close the connection.
func (c *Conn) closeGracefully(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	c.out.close(lostError(cause), false)
}

// abort ends the connection immediately and discards queued frames.
func (c *Conn) abort(cause error) {
	c.mu.Lock()
	if c.cause == nil {
		c.cause = cause
	}
	c.out.close(lostError(c.cause), true)
	c.mu.Unlock()
	c.cancel()
	// The connection is being aborted, so the error does not matter.
	_ = c.nc.Close()
}

// run reads frames until the connection ends, then releases everything that belongs to the connection.
func (c *Conn) run() {
	c.out.start(c.writeLoop)
	c.startMonitor()
	err := c.readLoop()
	c.reportBadFrame(err)
	c.abort(err)
	c.stopMonitor()
	c.out.writers.Wait()
	c.finish()
}

// closeWrite tells the peer that no more frames follow. The peer closes first, because an immediate close could make the
// peer's network stack discard the last frames.
func (c *Conn) closeWrite() {
	halfCloser, ok := c.nc.(interface{ CloseWrite() error })
	if !ok {
		c.abort(ErrClosed)
		return
	}
	err := errors.Join(c.nc.SetReadDeadline(time.Now().Add(c.cfg.CloseTimeout)), halfCloser.CloseWrite())
	if err != nil {
		c.abort(err)
	}
}

// finish reports the end of the connection to the streams and the handler. The writer has ended, so that the value of
// Stream.Sent is final.
func (c *Conn) finish() {
	c.mu.Lock()
	streams := c.streams
	c.streams, c.responders = nil, nil
	err := lostError(c.cause)
	c.mu.Unlock()
	for _, s := range streams {
		s.terminate(err)
	}
	connectionsLost.Add(1)
	c.handler.HandleClose(c, err)
	close(c.done)
}

// reportBadFrame counts and logs an error that was caused by a malformed or forbidden frame.
func (c *Conn) reportBadFrame(err error) {
	if !errors.Is(err, wire.ErrFrame) && !errors.Is(err, errProtocol) {
		return
	}
	badFrames.Add(1)
	event.Log(event.BadFrame, "peer", c.remote.Instance, "address", c.nc.RemoteAddr(), "error", err)
}

// readLoop reads and dispatches frames. It returns the reason why the connection ended, never nil.
func (c *Conn) readLoop() error {
	for {
		frame, err := c.frames.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("closed by the peer")
		}
		if err != nil {
			return err
		}
		c.lastReceived.Store(int64(time.Since(c.start)))
		if err := c.dispatch(frame); err != nil {
			return err
		}
	}
}
