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

// Server accepts connections. All methods may be called from any goroutine.
type Server struct {
	cfg     Config
	local   func() wire.Hello
	handler Handler

	// conns counts connections, those in the handshake included; requests counts HandleOpen calls in progress.
	conns, requests gauge
	// draining refuses new requests, and closing ends the handshakes.
	draining atomic.Bool
	closing  chan struct{}

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// open has the value false while the connection is in the handshake.
	open   map[*Conn]bool
	closed bool
}

// NewServer returns a Server; see Dial for local. It panics if cfg is not valid, which the caller checks with Validate.
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
		open:      make(map[*Conn]bool),
	}
}

// Serve accepts connections from ln until Drain or Close, after which it returns nil. It closes ln. Another error is that of
// the listener.
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

// isTransient reports whether accepting may succeed again after a while, for lack of files or memory.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

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

func (s *Server) accept(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// As in Dial; a connection without it works all the same.
		_ = tcp.SetKeepAlive(false)
	}
	s.conns.add(1)
	go func() {
		defer s.conns.add(-1)
		s.serve(nc)
	}()
}

// serve performs the handshake and runs the connection to its end.
func (s *Server) serve(nc net.Conn) {
	c := newConn(nc, s.cfg, s.local, s.handler)
	c.server = s
	defer c.cancel()
	if !s.setConn(c, false) {
		_ = nc.Close()
		return
	}
	defer s.removeConn(c)
	if err := s.greet(c); err != nil {
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

// greet answers the peer's Hello, also if its version is refused, so that the peer can report it.
func (s *Server) greet(c *Conn) error {
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
	s.setConn(c, true)
	if s.draining.Load() {
		// The connection was accepted before the drain and may have missed its announcement.
		_ = c.Send(&wire.Leaving{Instance: s.local().Instance})
	}
	return nil
}

// setConn notes a connection and whether its handshake is complete. It reports false if the Server is closed.
func (s *Server) setConn(c *Conn, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[c] = complete
	return true
}

func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Conns returns the connections in use, in no order.
func (s *Server) Conns() []*Conn { return s.list(false) }

// list returns the connections in use, and on demand those in the handshake.
func (s *Server) list(handshakes bool) []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.open))
	for c, complete := range s.open {
		if complete || handshakes {
			conns = append(conns, c)
		}
	}
	return conns
}

// Broadcast sends a control frame to every connection. Connections whose queue is full are skipped and counted.
func (s *Server) Broadcast(m wire.Message) {
	for _, c := range s.Conns() {
		_ = c.Send(m)
	}
}

// Drain stops accepting connections, announces Leaving, refuses new requests with result.Leaving and waits until no request is
// in progress. Then it gives the peers up to Config.CloseTimeout to close their ends, closes the rest and waits for the end of
// all goroutines. If ctx ends first, it returns the error of ctx, and the Server remains to be closed.
func (s *Server) Drain(ctx context.Context) error {
	s.stopAccepting()
	s.announce()
	if err := s.requests.wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	patience, cancel := context.WithTimeout(ctx, s.cfg.CloseTimeout)
	defer cancel()
	if s.conns.wait(patience) == nil {
		return nil
	}
	for _, c := range s.Conns() {
		_ = c.Close()
	}
	return trace.Wrap(s.conns.wait(ctx))
}

// announce tells the peers that do not know it yet that the process leaves.
func (s *Server) announce() {
	for _, c := range s.Conns() {
		if !c.saidLeaving.Load() {
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

// Close ends all connections at once and waits for the end of all goroutines, those in HandleOpen included. It returns nil
// and may be called again. It must not be called from a Handler.
func (s *Server) Close() error {
	s.stopAccepting()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	for _, c := range s.list(true) {
		c.abort(ErrClosed)
	}
	_ = s.conns.wait(context.Background())
	_ = s.requests.wait(context.Background())
	return nil
}
