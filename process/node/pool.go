package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/settings"
)

// redialAfter is the time for which an instance that could not be reached is not dialed again.
const redialAfter = 250 * time.Millisecond

// ErrRecentlyFailed says that an instance could not be reached a moment ago and was not tried again. Pool.Get joins it with the cause.
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
	address  string
	conn     *link.Conn
	dialing  chan struct{}
	failedAt time.Time
	// failure is why the attempt at failedAt failed.
	failure error
}

func newPool(n *Node, handler link.Handler) *Pool {
	return &Pool{n: n, handler: handler, slots: map[string]*slot{}}
}

// Get returns the connection to an instance and makes it if needed. Concurrent callers share one attempt to connect. An error means
// that nothing was sent to the instance; it wraps link.ErrProtocolVersion for a peer of another major version.
func (p *Pool) Get(ctx context.Context, instance platform.Instance) (*link.Conn, error) {
	for {
		p.mu.Lock()
		s := p.slot(instance)
		if conn := s.live(); conn != nil || p.closed {
			p.mu.Unlock()
			return conn, p.closedError(conn)
		}
		if s.dialing == nil && time.Since(s.failedAt) < redialAfter {
			err := errors.Join(ErrRecentlyFailed, s.failure)
			p.mu.Unlock()
			return nil, err
		}
		if s.dialing == nil {
			s.dialing = make(chan struct{})
			p.n.run(func() { p.dial(instance, s) })
		}
		dialing := s.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// Prepare makes the connection to an instance in the background unless there is one or one failed a moment ago.
func (p *Pool) Prepare(instance platform.Instance) {
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

// slot returns the slot of an instance. A new address, as of a replaced instance, gets a fresh one. The lock is held.
func (p *Pool) slot(instance platform.Instance) *slot {
	s := p.slots[instance.ID]
	if s != nil && s.address != instance.Address && s.dialing == nil {
		if s.conn != nil {
			go s.conn.Close()
		}
		s = nil
	}
	if s == nil {
		s = &slot{address: instance.Address}
		p.slots[instance.ID] = s
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

// Connected returns the live connection to an instance, or nil, without making one.
func (p *Pool) Connected(id string) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slots[id]; s != nil {
		return s.live()
	}
	return nil
}

func (p *Pool) dial(instance platform.Instance, s *slot) {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(p.n.opts.Settings.ConnectTimeoutMS))
	defer cancel()
	conn, err := link.Dial(ctx, instance.Address, p.n.opts.Link, p.n.hello, p.handler)
	p.mu.Lock()
	s.conn = conn
	if err != nil {
		s.conn = nil
		s.failedAt, s.failure = time.Now(), err
	}
	closed := p.closed
	close(s.dialing)
	s.dialing = nil
	p.mu.Unlock()
	if err != nil {
		p.n.post(func(c *control) { c.members.Disconnected(time.Now(), instance.ID) })
		return
	}
	if closed {
		_ = conn.Close()
		return
	}
	p.n.connected(conn)
}

// retain forgets the instances that are neither known any more nor connected.
func (p *Pool) retain(known ...[]platform.Instance) {
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

// announce is broadcast without the instances that were told on another connection and without the sidecars: none of them sends work to
// this process, and an entry may be connected to 10,000.
func (p *Pool) announce(m wire.Message, told map[string]bool) {
	for _, conn := range p.conns() {
		if remote := conn.Remote(); remote.Role != settings.RoleSidecar && !told[remote.Instance] {
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
