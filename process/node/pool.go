package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// redialDelay is the minimum time between a failed attempt to dial an address and the next one.
const redialDelay = 250 * time.Millisecond

// ErrRecentlyFailed means that an attempt to dial an instance failed within redialDelay and was not repeated. Pool.Get joins it with the
// cause of that failure.
var ErrRecentlyFailed = trace.ConnectionProblem(nil, "instance could not be reached a moment ago")

// Pool keeps one connection to each instance that this process talks to. It may be used by any goroutine.
type Pool struct {
	n       *Node
	handler link.Handler

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool
}

// slot is the connection to one instance.
type slot struct {
	conn *link.Conn
	// address is the address that conn was dialed at.
	address string
	// dialing is closed when the current connection attempt ends; nil if there is none.
	dialing chan struct{}
	// failedAddress is the address of the last failed attempt, failedAt its time.
	failedAddress string
	failedAt      time.Time
	// failure is the cause of the last failed attempt.
	failure error
}

func newPool(n *Node, handler link.Handler) *Pool {
	return &Pool{n: n, handler: handler, slots: map[string]*slot{}}
}

// Get returns the connection to an instance and dials it if there is none. An instance without an id is a seed, of which only the address
// is known. Concurrent callers share one connection attempt. If the instance's address differs from that of the live connection, the
// connection stays in use until a handshake at the new address succeeds, because the instance list may be older than the connection. An
// error means that nothing was sent to the instance; it wraps link.ErrProtocolVersion for a peer with another major protocol version.
func (p *Pool) Get(ctx context.Context, instance services.Instance) (*link.Conn, error) {
	for {
		conn, dialing, err := p.connect(instance)
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// connect returns the live connection to an instance, or a channel that is closed when the current connection attempt ends.
func (p *Pool) connect(instance services.Instance) (*link.Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slot(instance)
	conn := s.live()
	if p.closed {
		return conn, nil, p.closedError(conn)
	}
	if s.dialing == nil && s.dialDue(conn, instance.Address) {
		s.dialing = make(chan struct{})
		p.n.run(func() { p.dial(instance, s) })
	}
	if conn == nil && s.dialing == nil {
		return nil, nil, errors.Join(ErrRecentlyFailed, s.failure)
	}
	return conn, s.dialing, nil
}

// dialDue reports whether to dial the address: there is no live connection to it, and no attempt failed within redialDelay.
func (s *slot) dialDue(conn *link.Conn, address string) bool {
	if conn != nil && s.address == address {
		return false
	}
	return s.failedAddress != address || time.Since(s.failedAt) >= redialDelay
}

// DialInBackground dials an instance in the background, unless it is connected or an attempt failed within redialDelay.
func (p *Pool) DialInBackground(instance services.Instance) {
	if p.Connected(instance.ID) != nil {
		return
	}
	p.n.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(p.n.opts.Settings.ConnectTimeoutMS))
		defer cancel()
		_, _ = p.Get(ctx, instance)
	})
}

func (p *Pool) closedError(conn *link.Conn) error {
	if conn == nil {
		return trace.ConnectionProblem(nil, "the process is stopping")
	}
	return nil
}

// slot returns the slot of an instance and creates it if needed. The caller holds p.mu.
func (p *Pool) slot(instance services.Instance) *slot {
	key := instance.ID
	if key == "" {
		key = instance.Address
	}
	s := p.slots[key]
	if s == nil {
		s = &slot{}
		p.slots[key] = s
	}
	return s
}

func (s *slot) live() *link.Conn {
	if s.conn == nil {
		return nil
	}
	select {
	case <-s.conn.Done():
		return nil
	default:
		return s.conn
	}
}

// Connected returns the live connection to an instance, or nil if there is none. It does not dial.
func (p *Pool) Connected(id string) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slots[id]; s != nil {
		return s.live()
	}
	return nil
}

func (p *Pool) dial(instance services.Instance, s *slot) {
	conn, err := p.handshake(instance)
	p.mu.Lock()
	var previous *link.Conn
	if err != nil {
		s.failedAddress, s.failedAt, s.failure = instance.Address, time.Now(), err
	} else {
		previous = s.live()
		s.conn, s.address = conn, instance.Address
	}
	closed := p.closed
	connected := s.live() != nil
	close(s.dialing)
	s.dialing = nil
	p.mu.Unlock()
	switch {
	case err != nil && !connected:
		p.n.postReliably(func(c *control) { c.members.Disconnected(time.Now(), instance.ID) })
	case err != nil:
	case closed:
		_ = conn.Close()
	default:
		p.n.handleConnected(conn)
		p.closeWhenIdle(previous)
	}
}

// handshake dials an instance and verifies the id of the peer: a lagging instance list may have an address that now belongs to another
// instance.
func (p *Pool) handshake(instance services.Instance) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(p.n.opts.Settings.ConnectTimeoutMS))
	defer cancel()
	conn, err := link.Dial(ctx, instance.Address, p.n.opts.Link, p.n.hello, p.handler)
	if err != nil {
		return nil, err
	}
	if remote := conn.Remote().Instance; instance.ID != "" && remote != instance.ID {
		event.Log(event.PeerMismatch, "peer", instance.ID, "address", instance.Address, "answered_by", remote)
		p.closeWhenIdle(conn)
		return nil, trace.NotFound("%s answers at the address of %s", remote, instance.ID)
	}
	return conn, nil
}

// closeWhenIdle closes a connection when its requests have ended or the node stops.
func (p *Pool) closeWhenIdle(conn *link.Conn) {
	if conn == nil {
		return
	}
	conn.CloseWhenIdle()
	p.n.run(func() {
		select {
		case <-conn.Done():
		case <-p.n.ctx.Done():
			_ = conn.Close()
			<-conn.Done()
		}
	})
}

// removeUnknown removes the slots of instances that are neither known nor connected.
func (p *Pool) removeUnknown(known ...[]services.Instance) {
	keep := map[string]bool{}
	for _, instances := range known {
		for _, i := range instances {
			keep[i.ID] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.slots {
		if !keep[id] && s.dialing == nil && s.live() == nil {
			delete(p.slots, id)
		}
	}
}

func (p *Pool) conns() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*link.Conn
	for _, s := range p.slots {
		if conn := s.live(); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

func (p *Pool) broadcast(m wire.Message) {
	for _, conn := range p.conns() {
		_ = conn.Send(m)
	}
}

// announce is like broadcast but skips the instances in notified, which got the message on another connection, and all sidecars. Sidecars
// send no work to this process, and an entry may be connected to 10,000 of them.
func (p *Pool) announce(m wire.Message, notified map[string]bool) {
	for _, conn := range p.conns() {
		if remote := conn.Remote(); remote.Role != settings.RoleSidecar && !notified[remote.Instance] {
			_ = conn.Send(m)
		}
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, conn := range p.conns() {
		_ = conn.Close()
	}
}
