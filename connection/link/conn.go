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

// readBufferBytes is small because a process holds thousands of connections; larger frames bypass the buffer.
const readBufferBytes = 4 << 10

// Handler is implemented by the user of connections. One Handler may serve many connections, each from goroutines of its own.
type Handler interface {
	// HandleOpen answers one request. Link calls it on the serving side only, in a goroutine of its own for each request. It
	// may block; ctx ends when the peer cancels the request or the connection ends. If it returns without End, link sends an
	// End with result.InternalError.
	HandleOpen(ctx context.Context, c *Conn, open *wire.Open, r *Responder)
	// HandleControl gets Gossip, ConfigPull, ConfigPush, Leaving, Ping and Pong frames. Link has already answered a Ping; it
	// is passed on for its configuration version. It is called from the connection's reader goroutine, in order, and must not
	// block, because no other frame of the connection is read meanwhile.
	HandleControl(c *Conn, m wire.Message)
	// HandleClose is called exactly once for each connection, after its last HandleControl and before Done is closed. err
	// wraps ErrConnectionLost. Requests may still be in HandleOpen; their ctx has ended. It may block, which delays Done.
	HandleClose(c *Conn, err error)
}

// ConnectHandler may be implemented by a Handler.
type ConnectHandler interface {
	// HandleConnect is called once for each connection that a Server accepted, after the handshake and before any other
	// method, from the connection's reader goroutine. It must not block.
	HandleConnect(c *Conn)
}

// Conn is one connection after its handshake. All methods may be called from any goroutine.
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
	watch   watch
	stats   stats
	// lastReceived is when the last frame was received, in nanoseconds since start.
	lastReceived atomic.Int64
	// probeAsked is when Probe was last called, in nanoseconds since start.
	probeAsked atomic.Int64

	// saidLeaving is set when this end announced its departure.
	saidLeaving atomic.Bool

	// ctx ends when the connection does.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// cause is why the connection ended or is being closed.
	cause error
	// retired is why no more streams are opened; nil while they are.
	retired error
	// lastStream is the highest stream number that was opened, by this end of a dialed connection or by the peer.
	lastStream uint32
	// streams are those of a dialed connection, serving those of an accepted one.
	streams map[uint32]*Stream
	serving map[uint32]*Responder
	// handlers is the number of HandleOpen calls in progress.
	handlers int
	// busySince is when the first of the requests in progress began, since start.
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

// Err returns nil while the connection is in use, then an error that wraps ErrConnectionLost and the cause.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == nil {
		return nil
	}
	return lost(c.cause)
}

// Stats returns what the connection has transferred so far.
func (c *Conn) Stats() Stats {
	return Stats{
		ControlIn:  c.stats.controlIn.load(),
		ControlOut: c.stats.controlOut.load(),
		TrafficIn:  c.stats.trafficIn.load(),
		TrafficOut: c.stats.trafficOut.load(),
	}
}

// Send queues a control frame. It never waits: it fails with ErrQueueFull when the peer reads too slowly, and with
// ErrConnectionLost when the connection has ended.
func (c *Conn) Send(m wire.Message) error {
	if !isControl(m) || m.Type() == wire.TypeHello {
		return trace.BadParameter("%T is no control frame", m)
	}
	if m.Type() == wire.TypeLeaving {
		c.saidLeaving.Store(true)
	}
	return trace.Wrap(c.out.pushControl(m))
}

// Close ends the connection in an orderly way: it writes what is queued, then waits up to Config.CloseTimeout for the peer to
// close its end. It does not wait for that; use Done. Requests in progress are lost. It returns nil and may be called again.
func (c *Conn) Close() error {
	c.closeOrderly(ErrClosed)
	return nil
}

// Retire opens no more streams and closes the connection like Close when the requests in progress have ended. It does not wait for
// that. Opening a stream fails with ErrClosed from now on. It is for dialed connections.
func (c *Conn) Retire() { c.retire(ErrClosed) }

// retire stops new streams and closes the connection once it has none.
func (c *Conn) retire(cause error) {
	c.mu.Lock()
	c.retired = cause
	idle := len(c.streams) == 0
	c.mu.Unlock()
	if idle {
		c.closeOrderly(cause)
	}
}

func (c *Conn) closeOrderly(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	c.out.close(lost(cause), false)
}

// abort ends the connection at once.
func (c *Conn) abort(cause error) {
	c.mu.Lock()
	if c.cause == nil {
		c.cause = cause
	}
	c.out.close(lost(c.cause), true)
	c.mu.Unlock()
	c.cancel()
	// The error of closing a connection that is given up has no consequence.
	_ = c.nc.Close()
}

// run reads until the connection ends, then ends everything that belongs to it.
func (c *Conn) run() {
	c.out.start(c.write)
	c.startWatch()
	err := c.readLoop()
	c.reportBadFrame(err)
	c.abort(err)
	c.stopWatch()
	c.out.writers.Wait()
	c.finish()
}

// closeWrite tells the peer that no more frames follow. Closing at once could make the peer's network discard the last
// frames, so the peer closes first.
func (c *Conn) closeWrite() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok {
		c.abort(ErrClosed)
		return
	}
	err := errors.Join(c.nc.SetReadDeadline(time.Now().Add(c.cfg.CloseTimeout)), half.CloseWrite())
	if err != nil {
		c.abort(err)
	}
}

// finish reports the end to the streams and the handler. The writer has ended, so that what Stream.Sent says is final.
func (c *Conn) finish() {
	c.mu.Lock()
	streams := c.streams
	c.streams, c.serving = nil, nil
	err := lost(c.cause)
	c.mu.Unlock()
	for _, s := range streams {
		s.stop(err)
	}
	connectionsLost.Add(1)
	c.handler.HandleClose(c, err)
	close(c.done)
}

func (c *Conn) reportBadFrame(err error) {
	if !errors.Is(err, wire.ErrFrame) && !errors.Is(err, errProtocol) {
		return
	}
	badFrames.Add(1)
	event.Log(event.BadFrame, "peer", c.remote.Instance, "address", c.nc.RemoteAddr(), "error", err)
}

// readLoop reads and dispatches frames. It returns the cause of the connection's end, never nil.
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
