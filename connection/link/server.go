package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
)

// Server accepts connections. All methods are safe for concurrent use.
type Server struct {
	cfg     Config
	local   func() wire.Hello
	handler Handler

	// connCount is the number of connections, including those in the handshake; requestCount is the number of HandleOpen calls
	// in progress.
	connCount, requestCount activeCount
	// draining is set when new connections and requests are refused. closing is closed by Close; it ends the wait of Serve after
	// a failed Accept.
	draining atomic.Bool
	closing  chan struct{}

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// conns maps each connection to whether its handshake is complete.
	conns  map[*Conn]bool
	closed bool
}

// NewServer returns a Server; see Dial for local. It panics if cfg is invalid, which the caller checks with Validate.
func NewServer(cfg Config, local func() wire.Hello, h Handler) *Server {
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	return &Server{
		cfg:       cfg,
		local:     local,
		handler:   h,
		closing:   make(chan struct{}),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[*Conn]bool),
	}
}

// Serve accepts connections from ln until Drain or Close, after which it returns nil. It closes ln. If Accept fails
// permanently, it returns that error.
func (s *Server) Serve(ln net.Listener) error {
	defer func() { _ = ln.Close() }()
	if !s.addListener(ln) {
		return nil
	}
	var delay time.Duration
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			delay = 0
			s.accept(nc)
		case s.draining.Load():
			return nil
		case !isTransient(err):
			return trace.Wrap(err)
		default:
			delay = min(max(2*delay, 5*time.Millisecond), time.Second)
			s.pause(delay)
		}
	}
}

// isTransient reports whether Accept failed because the process is out of file descriptors or memory, or because a connection
// was aborted. In these cases it may succeed later.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// pause waits for d or until Close.
func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.closing:
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

// accept serves a network connection in a new goroutine.
func (s *Server) accept(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Ping frames replace TCP keepalive, as in Dial. The error does not matter, because the connection works with TCP
		// keepalive as well.
		_ = tcp.SetKeepAlive(false)
	}
	s.connCount.add(1)
	go func() {
		defer s.connCount.add(-1)
		s.serve(nc)
	}()
}

// serve performs the handshake and runs the connection until it ends.
func (s *Server) serve(nc net.Conn) {
	c := newConn(nc, s.cfg, s.local, s.handler)
	c.server = s
	defer c.cancel()
	if !s.trackConn(c, false) {
		_ = nc.Close()
		return
	}
	defer s.untrackConn(c)
	if err := s.serverHandshake(c); err != nil {
		connectionsRefused.Add(1)
		c.reportBadFrame(err)
		if errors.Is(err, ErrProtocolVersion) {
			event.Log(event.PeerRefused, "peer", c.remote.Instance, "address", nc.RemoteAddr(), "error", err)
		}
		_ = nc.Close()
		return
	}
	connectionsOpened.Add(1)
	if connect, ok := s.handler.(ConnectHandler); ok {
		connect.HandleConnect(c)
	}
	c.run()
}

// serverHandshake performs the handshake. It sends its Hello even if it rejects the peer's version, so that the peer can
// report both versions.
func (s *Server) serverHandshake(c *Conn) error {
	var refusal error
	receive := func() error {
		refusal = c.receiveHello()
		if errors.Is(refusal, ErrProtocolVersion) {
			return nil
		}
		return refusal
	}
	if err := c.handshake(receive, c.sendHello); err != nil {
		return err
	}
	if refusal != nil {
		return refusal
	}
	s.trackConn(c, true)
	if s.draining.Load() {
		// The connection was accepted before the drain and may have missed the Leaving frame.
		_ = c.Send(&wire.Leaving{Instance: s.local().Instance})
	}
	return nil
}

// trackConn registers a connection and whether its handshake is complete. It returns false if the Server is closed.
func (s *Server) trackConn(c *Conn, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = complete
	return true
}

func (s *Server) untrackConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Conns returns the established connections in no particular order.
func (s *Server) Conns() []*Conn { return s.listConns(false) }

// listConns returns the established connections and, if handshakes is set, those in the handshake.
func (s *Server) listConns(handshakes bool) []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c, complete := range s.conns {
		if complete || handshakes {
			conns = append(conns, c)
		}
	}
	return conns
}

// Broadcast sends a control frame on every connection. Connections with a full queue are skipped and counted.
func (s *Server) Broadcast(m wire.Message) {
	for _, c := range s.Conns() {
		_ = c.Send(m)
	}
}

// Drain stops accepting connections, announces Leaving, refuses new requests with result.Leaving and waits until no request is
// in progress. Then it gives the peers up to Config.CloseTimeout to close their ends, closes the remaining connections and
// waits for all goroutines to end. If ctx ends first, it returns the error of ctx, and the Server still has to be closed.
func (s *Server) Drain(ctx context.Context) error {
	s.stopAccepting()
	s.announceLeaving()
	if err := s.requestCount.wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	closeCtx, cancel := context.WithTimeout(ctx, s.cfg.CloseTimeout)
	defer cancel()
	if s.connCount.wait(closeCtx) == nil {
		return nil
	}
	for _, c := range s.Conns() {
		_ = c.Close()
	}
	return trace.Wrap(s.connCount.wait(ctx))
}

// announceLeaving sends Leaving on the connections on which Send has not been called with it yet.
func (s *Server) announceLeaving() {
	for _, c := range s.Conns() {
		if !c.leavingSent.Load() {
			_ = c.Send(&wire.Leaving{Instance: s.local().Instance})
		}
	}
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for ln := range s.listeners {
		_ = ln.Close()
		delete(s.listeners, ln)
	}
}

// Close ends all connections immediately and waits for all goroutines to end, including those in HandleOpen. It returns nil
// and may be called more than once. It must not be called from a Handler.
func (s *Server) Close() error {
	s.stopAccepting()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	for _, c := range s.listConns(true) {
		c.abort(ErrClosed)
	}
	_ = s.connCount.wait(context.Background())
	_ = s.requestCount.wait(context.Background())
	return nil
}
