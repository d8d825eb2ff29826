package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

const (
	// silentAfter is the time without a message after which a connection to a neighbour is replaced: the peer is gone or the connection
	// hangs.
	silentAfter = 3 * time.Second
	// redialPause is the time between attempts to reach a neighbour.
	redialPause = 250 * time.Millisecond
	// dialAnywayAfter is the time without a connection after which the neighbour with the larger name dials too. The other one may have
	// restarted while the store was down, and then knows of no neighbours.
	dialAnywayAfter = 500 * time.Millisecond
	// countLeftFor is how long a member that is no longer registered counts among those that share limits. Outages of the store, in which
	// registrations lapse, last about as long.
	countLeftFor = 15 * time.Second
)

// peers keeps connections with the gateway's neighbours.
type peers struct {
	g      *Gateway
	server *link.Server

	mu      sync.Mutex
	members map[string]member
	// links are the neighbours by name.
	links map[string]*peerLink
	// direct are connections to other gateways, by name.
	direct map[string]*link.Conn
	pulls  map[uint64]pull
	// nextPull numbers the questions.
	nextPull uint64
	// start names this start of the process.
	start string
	// joined wakes the speaker when a neighbour is new, so that it is dialled at once.
	joined chan struct{}
	// leftAt is when a member's registration ended, while the member still counts.
	leftAt map[string]time.Time
}

// peerLink is the connection with one neighbour. Of two neighbours the one whose name is smaller dials first.
type peerLink struct {
	conn    *link.Conn
	address string
	dialing bool
	retryAt time.Time
	// lostAt is when the connection ended, or the time of the link's creation.
	lostAt time.Time
	// heardAt is the time of the latest message.
	heardAt time.Time
	// start names the start of the neighbour's process that was last connected.
	start string
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g: g, members: make(map[string]member), links: make(map[string]*peerLink), pulls: make(map[uint64]pull),
		joined: make(chan struct{}, 1), direct: make(map[string]*link.Conn),
		leftAt: make(map[string]time.Time), start: strconv.FormatUint(rand.Uint64(), 36),
	}
	p.server = link.NewServer(peerConfig(), p.hello, p)
	return p
}

// peerConfig returns settings for connections on which both ends speak several times a second.
func peerConfig() link.Config {
	c := link.DefaultConfig()
	c.HandshakeTimeout = time.Second
	c.WriteTimeout = 2 * time.Second
	c.ControlQueueBytes = 2 << 20
	return c
}

func (p *peers) hello() wire.Hello {
	return wire.Hello{
		Instance: p.g.settings.Instance, Role: "gateway", DataCentre: p.g.settings.DataCentre, Address: p.g.settings.PeerAddress,
		Version: p.start,
	}
}

func (p *peers) listen() error {
	listener, err := net.Listen("tcp", p.g.settings.PeerAddress)
	if err != nil {
		event.Log(event.ListenerFailed, "address", p.g.settings.PeerAddress, "error", err)
		return trace.Wrap(err)
	}
	p.g.work(func() { _ = p.server.Serve(listener) }) // ends when the server is closed
	return nil
}

// setMembers takes the registered gateways. It is called by the control goroutine.
func (p *peers) setMembers(members map[string]member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.members {
		if _, stays := members[name]; !stays {
			p.leftAt[name] = time.Now()
		}
	}
	p.members = maps.Clone(members)
	names := slices.Sorted(maps.Keys(members))
	self := p.g.settings.Instance
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	near := neighbours(self, names)
	for _, name := range near {
		l := p.links[name]
		if l == nil {
			l = &peerLink{lostAt: time.Now()}
			p.links[name] = l
			select {
			case p.joined <- struct{}{}:
			default: // already woken
			}
		}
		l.address = members[name].PeerAddress
	}
	for name, l := range p.links {
		if slices.Contains(near, name) {
			continue
		}
		// A member whose registration lapsed with the store may live: the connection is kept while it speaks.
		if l.conn != nil && time.Since(l.heardAt) < silentAfter {
			continue
		}
		p.drop(name, l)
		delete(p.links, name)
	}
	p.count(names)
}

// count tells how many gateways share the fleet's limits. A member that left counts for a while: its registration may have lapsed while
// it lives. The lock is held.
func (p *peers) count(names []string) {
	n := len(names)
	for name, at := range p.leftAt {
		if slices.Contains(names, name) || time.Since(at) > countLeftFor {
			delete(p.leftAt, name)
			continue
		}
		n++
	}
	p.g.entries.Store(int64(n))
	p.g.balancer.SetEntries(n)
	p.g.budgets.setEntries(n)
}

// share says whether this gateway is the one of all registered that has a task, so that each task is done once.
func (p *peers) share(task uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := slices.Sorted(maps.Keys(p.members))
	at := slices.Index(names, p.g.settings.Instance)
	return at < 0 || task%uint64(len(names)) == uint64(at)
}

// drop ends a connection. The lock is held.
func (p *peers) drop(name string, l *peerLink) {
	if l.conn != nil {
		_ = l.conn.Close() // an orderly close has no error
		l.conn, l.lostAt = nil, time.Now()
		event.Log(event.PeerLost, "peer", name, "heard_ms_ago", time.Since(l.heardAt).Milliseconds())
	}
	p.g.balancer.ForgetPeer(name)
}

// run speaks with the neighbours until the gateway stops.
func (p *peers) run() {
	var pulledAt, sendAt time.Time
	for p.g.ctx.Err() == nil {
		p.maintain()
		if now := time.Now(); !now.Before(sendAt) {
			sendAt = now.Add(p.period())
			p.sendState()
		}
		if time.Since(pulledAt) >= pullPeriod && p.g.configAge() > pullAge {
			pulledAt = time.Now()
			p.pull()
		}
		p.wait(time.Until(sendAt))
	}
	_ = p.server.Close() // returns no error
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.links {
		p.drop(name, l)
	}
	for _, c := range p.direct {
		_ = c.Close() // an orderly close has no error
	}
}

// wait returns after a time, when a neighbour is new, or when the gateway stops.
func (p *peers) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.joined:
	case <-p.g.ctx.Done():
	}
}

// maintain dials neighbours and replaces silent connections.
func (p *peers) maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, l := range p.links {
		if l.conn != nil && now.Sub(l.heardAt) > silentAfter {
			p.drop(name, l)
		}
		mine := p.g.settings.Instance < name || now.Sub(l.lostAt) > dialAnywayAfter
		if l.conn == nil && !l.dialing && mine && now.After(l.retryAt) && l.address != "" {
			l.dialing = true
			l.retryAt = now.Add(redialPause)
			address := l.address
			p.g.work(func() { p.dial(name, address) })
		}
	}
	for id, q := range p.pulls {
		if now.Sub(q.sent) > pullTimeout {
			delete(p.pulls, id)
		}
	}
}

func (p *peers) dial(name, address string) {
	conn, err := link.Dial(p.g.ctx, address, peerConfig(), p.hello, p)
	p.mu.Lock()
	l := p.links[name]
	if l != nil {
		l.dialing = false
	}
	p.mu.Unlock()
	if err != nil {
		event.Sampled(event.PeerUnreachable, "peer", name, "address", address, "error", err)
		return
	}
	if l == nil || conn.Remote().Instance != name {
		_ = conn.Close() // an orderly close has no error
		return
	}
	p.connected(conn)
}

// connected takes a connection of either direction.
func (p *peers) connected(conn *link.Conn) {
	name := conn.Remote().Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil {
		// The peer may know of this gateway's registration before this gateway knows of the peer's.
		l = &peerLink{}
		p.links[name] = l
	}
	if l.conn != nil && l.conn != conn {
		_ = l.conn.Close()
	}
	l.conn = conn
	l.address = conn.Remote().Address
	l.heardAt = time.Now()
	// A neighbour that only lost its connection knows already.
	if start := conn.Remote().Version; start != l.start {
		l.start = start
		p.introduce(conn)
	}
	event.Log(event.PeerConnected, "peer", name, "address", conn.RemoteAddr().String())
}

// HandleConnect implements link.ConnectHandler.
func (p *peers) HandleConnect(c *link.Conn) { p.connected(c) }

// HandleOpen implements link.Handler. Gateways send each other no requests.
func (p *peers) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleClose implements link.Handler.
func (p *peers) HandleClose(c *link.Conn, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := c.Remote().Instance
	if l := p.links[name]; l != nil && l.conn == c {
		l.conn, l.lostAt = nil, time.Now()
		p.g.balancer.ForgetPeer(name)
		event.Log(event.PeerLost, "peer", name)
	}
}

// HandleControl implements link.Handler.
func (p *peers) HandleControl(c *link.Conn, m wire.Message) {
	name := c.Remote().Instance
	p.mu.Lock()
	if l := p.links[name]; l != nil && l.conn == c {
		l.heardAt = time.Now()
	}
	p.mu.Unlock()
	switch m := m.(type) {
	case *wire.FleetState:
		p.takeState(name, m)
	case *wire.StorePull:
		p.answer(c, m)
	case *wire.StorePush:
		p.takePush(name, m)
	case *wire.Evidence:
		p.g.postWait(func() { p.g.rollouts.driver.Evidence(time.Now(), m) })
	case *wire.Gossip:
		p.g.postWait(func() { p.g.rollouts.driver.HandleGossip(time.Now(), m) })
	}
}

// reach returns a connection to another gateway. One that is no neighbour is dialled; the connection is kept until it breaks.
func (p *peers) reach(ctx context.Context, to services.Instance) (*link.Conn, error) {
	p.mu.Lock()
	conn := p.direct[to.ID]
	if l := p.links[to.ID]; l != nil && l.conn != nil {
		conn = l.conn
	}
	p.mu.Unlock()
	if conn != nil && conn.Err() == nil {
		return conn, nil
	}
	conn, err := link.Dial(ctx, to.Address, peerConfig(), p.hello, p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.direct[to.ID]; old != nil {
		_ = old.Close() // an orderly close has no error
	}
	p.direct[to.ID] = conn
	return conn, nil
}

func (p *peers) conns() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*link.Conn
	for _, l := range p.links {
		if l.conn != nil {
			conns = append(conns, l.conn)
		}
	}
	return conns
}
