package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
)

const (
	// peerSilenceTimeout is the time without a message after which a neighbour or its connection is considered dead and the connection is
	// replaced.
	peerSilenceTimeout = 3 * time.Second
	// minReportInterval is the minimum time between reports of crashes to the neighbours.
	minReportInterval = 20 * time.Millisecond
	// redialInterval is the minimum time between attempts to dial a neighbour.
	redialInterval = 250 * time.Millisecond
	// dialFallbackAfter is the time without a connection after which the neighbour with the larger name dials too. The other one may have
	// restarted while the store was down and then does not know its neighbours.
	dialFallbackAfter = 500 * time.Millisecond
	// countDeregisteredFor is how long a gateway that is no longer registered is still included in the division of the fleet's limits. It is
	// about the length of an outage of the store, during which registrations expire.
	countDeregisteredFor = 15 * time.Second
)

// peers maintains the connections to neighbours and exchanges messages with them.
type peers struct {
	g      *Gateway
	server *link.Server

	mu      sync.Mutex
	members map[string]member
	// links are the connections to neighbours and load peers by name.
	links map[string]*peerLink
	// directConns are the connections dialled by connTo, by name.
	directConns map[string]*link.Conn
	puller      *mirror.Puller
	// served belongs to the control goroutine.
	served servedValues
	// startID is a random ID of this process, new at each restart.
	startID string
	// neighbourAdded wakes run when there is a new neighbour, so that it is dialled immediately.
	neighbourAdded chan struct{}
	// taskShare is this gateway's share of the tasks that are divided among the registered gateways, nil before the first list.
	taskShare atomic.Pointer[taskShare]
	// deregisteredAt holds the time at which the registration ended, for members that are no longer registered and still
	// included in the gateway count.
	deregisteredAt map[string]time.Time
}

// peerLink is the connection to one neighbour or load peer. Of two gateways the one with the smaller name dials first.
type peerLink struct {
	// loadPeer means that the other gateway is not a neighbour: only loads are exchanged.
	loadPeer bool
	conn     *link.Conn
	address  string
	dialing  bool
	retryAt  time.Time
	// lostAt is the time at which the connection ended, or at which the link was created.
	lostAt        time.Time
	lastMessageAt time.Time
	// startID is the startID of the neighbour's process at the latest connection.
	startID string
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g: g, members: make(map[string]member), links: make(map[string]*peerLink), puller: mirror.NewPuller(pullConfig()), served: make(servedValues),
		neighbourAdded: make(chan struct{}, 1), directConns: make(map[string]*link.Conn),
		deregisteredAt: make(map[string]time.Time), startID: strconv.FormatUint(rand.Uint64(), 36),
	}
	p.server = link.NewServer(peerConfig(), p.hello, p)
	return p
}

// peerConfig returns settings for connections on which both ends send several messages a second.
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
		Version: p.startID,
	}
}

func (p *peers) listen() error {
	listener, err := net.Listen("tcp", p.g.settings.PeerAddress)
	if err != nil {
		event.Log(event.ListenerFailed, "address", p.g.settings.PeerAddress, "error", err)
		return trace.Wrap(err)
	}
	p.g.startWorker(func() { _ = p.server.Serve(listener) }) // ends when the server is closed
	return nil
}

// setMembers sets the registered gateways and updates the neighbours. It is called by the control goroutine.
func (p *peers) setMembers(members map[string]member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.members {
		if _, stays := members[name]; !stays {
			p.deregisteredAt[name] = time.Now()
		}
	}
	p.members = maps.Clone(members)
	names := slices.Sorted(maps.Keys(members))
	self := p.g.settings.Instance
	p.taskShare.Store(&taskShare{index: slices.Index(names, self), count: len(names)})
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	near := neighbours(self, p.dataCentres())
	linked := near
	if len(names) <= maxLoadMesh {
		linked = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	}
	for _, name := range linked {
		l := p.links[name]
		if l == nil {
			l = &peerLink{lostAt: time.Now()}
			p.links[name] = l
			select {
			case p.neighbourAdded <- struct{}{}:
			default: // a wake-up is already pending
			}
		}
		l.address = members[name].PeerAddress
		wasLoadPeer := l.loadPeer
		l.loadPeer = !slices.Contains(near, name)
		if wasLoadPeer && !l.loadPeer && l.conn != nil {
			p.sendKnown(l)
		}
	}
	for name, l := range p.links {
		if slices.Contains(linked, name) {
			continue
		}
		// The registration may have expired in an outage of the store although the gateway runs: the connection is kept while messages arrive.
		if l.conn != nil && time.Since(l.lastMessageAt) < peerSilenceTimeout {
			continue
		}
		p.disconnect(name, l)
		delete(p.links, name)
	}
	p.updateGatewayCount(names)
}

// updateGatewayCount updates the number of gateways among which the fleet's limits are divided. Members that are no longer registered
// are included for countDeregisteredFor, since a registration may expire while the gateway runs. The caller holds p.mu.
func (p *peers) updateGatewayCount(names []string) {
	counted := slices.Clone(names)
	for name, at := range p.deregisteredAt {
		if slices.Contains(names, name) || time.Since(at) > countDeregisteredFor {
			delete(p.deregisteredAt, name)
			continue
		}
		counted = append(counted, name)
	}
	slices.Sort(counted)
	n := len(counted)
	p.g.gatewayCount.Store(int64(n))
	p.g.balancer.SetEntries(n)
	p.g.balancer.SetPosition(slices.Index(counted, p.g.settings.Instance), time.Duration(time.Now().UnixNano()-bootclock.Now().UnixNano()))
	p.g.budgets.setGatewayCount(n)
}

// ownsTask reports whether a task is assigned to this gateway. Each task is assigned to one of the registered gateways. A gateway that is
// not registered owns all tasks.
func (p *peers) ownsTask(task uint64) bool {
	share := p.taskShare.Load()
	return share == nil || share.index < 0 || task%uint64(share.count) == uint64(share.index)
}

// isAssigned reports whether a task is assigned to this gateway among the registered ones. Unlike ownsTask, it is false for all tasks of a gateway
// that is not registered.
func (p *peers) isAssigned(task uint64) bool {
	share := p.taskShare.Load()
	return share != nil && share.index >= 0 && task%uint64(share.count) == uint64(share.index)
}

// taskShare is the position of this gateway in the sorted list of registered gateways, negative if it is not registered, and their number.
type taskShare struct{ index, count int }

// disconnect closes a neighbour's connection and discards its reported load. The caller holds p.mu.
func (p *peers) disconnect(name string, l *peerLink) {
	if l.conn != nil {
		_ = l.conn.Close() // an orderly close has no error
		l.conn, l.lostAt = nil, time.Now()
		event.Log(event.PeerLost, "peer", name, "heard_ms_ago", time.Since(l.lastMessageAt).Milliseconds())
	}
	p.g.balancer.RemovePeerLoad(name)
	p.g.places.forget(name)
	p.puller.RemovePeer(bootclock.Now(), name)
}

// run maintains the connections and sends periodic messages until the gateway stops.
func (p *peers) run() {
	var sendAt, reportAt time.Time
	for p.g.ctx.Err() == nil {
		p.maintain()
		now := time.Now()
		if !now.Before(sendAt) {
			sendAt = now.Add(statePeriod(p.fleetSize()))
			p.sendState()
		}
		if !now.Before(reportAt) {
			reportAt = now.Add(minReportInterval)
			p.sendReports()
		}
		p.sendPulls()
		p.wait(time.Until(sendAt), time.Until(reportAt))
	}
	_ = p.server.Close() // returns no error
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.links {
		p.disconnect(name, l)
	}
	for _, c := range p.directConns {
		_ = c.Close() // an orderly close has no error
	}
}

// wait returns after d. It returns earlier if a neighbour is added or the gateway stops, and after reportIn if there are crashes to report.
func (p *peers) wait(d, reportIn time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	reportTimer := time.NewTimer(reportIn)
	defer reportTimer.Stop()
	var reports <-chan struct{}
	for {
		select {
		case <-timer.C:
			return
		case <-reportTimer.C:
			reports = p.g.crashes.reportsQueued
		case <-reports:
			return
		case <-p.neighbourAdded:
			return
		case <-p.g.ctx.Done():
			return
		}
	}
}

// maintain dials neighbours without a connection, closes connections without recent messages and expires unanswered pulls.
func (p *peers) maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, l := range p.links {
		if l.conn != nil && now.Sub(l.lastMessageAt) > peerSilenceTimeout {
			p.disconnect(name, l)
		}
		dials := p.g.settings.Instance < name || now.Sub(l.lostAt) > dialFallbackAfter
		if l.conn == nil && !l.dialing && dials && now.After(l.retryAt) && l.address != "" {
			l.dialing = true
			l.retryAt = now.Add(redialInterval)
			address := l.address
			p.g.startWorker(func() { p.dial(name, address) })
		}
	}
	for _, name := range p.puller.Expire(bootclock.Now()) {
		event.LogSampled(event.StorePullExpired, "peer", name)
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
		event.LogSampled(event.PeerUnreachable, "peer", name, "address", address, "error", err)
		return
	}
	if l == nil || conn.Remote().Instance != name {
		_ = conn.Close() // an orderly close has no error
		return
	}
	p.connected(conn)
}

// connected registers a connection, whichever side dialled it.
func (p *peers) connected(conn *link.Conn) {
	name := conn.Remote().Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil {
		// The peer may know of this gateway's registration before this gateway knows of the peer's.
		l = &peerLink{loadPeer: !p.wouldBeNeighbour(name, conn.Remote().DataCentre)}
		p.links[name] = l
	}
	if l.conn != nil && l.conn != conn {
		_ = l.conn.Close()
	}
	l.conn = conn
	l.address = conn.Remote().Address
	l.lastMessageAt = time.Now()
	if !l.loadPeer {
		p.sendKnown(l)
	}
	event.Log(event.PeerConnected, "peer", name, "address", conn.RemoteAddr().String(), "load_peer", l.loadPeer)
}

// sendKnown sends a new neighbour what the earlier messages to neighbours contained. The caller holds p.mu.
func (p *peers) sendKnown(l *peerLink) {
	// A neighbour that reconnects without a restart still has the prompts that it was sent.
	if start := l.conn.Remote().Version; start != l.startID {
		l.startID = start
		p.sendKnownPrompts(l.conn)
	}
	p.sendKnownFaults(l.conn)
	p.sendRestored(l.conn)
	p.sendKnownCapacities(l.conn)
}

// wouldBeNeighbour reports whether a gateway that is not registered yet would be a neighbour. The caller holds p.mu.
func (p *peers) wouldBeNeighbour(name, dataCentre string) bool {
	all := p.dataCentres()
	all[name] = dataCentre
	return slices.Contains(neighbours(p.g.settings.Instance, all), name)
}

// dataCentres returns the data centres of the registered gateways and of this one, by name. The caller holds p.mu.
func (p *peers) dataCentres() map[string]string {
	all := map[string]string{p.g.settings.Instance: p.g.settings.DataCentre}
	for name, m := range p.members {
		all[name] = m.DataCentre
	}
	return all
}

// HandleConnect implements link.ConnectHandler.
func (p *peers) HandleConnect(c *link.Conn) { p.connected(c) }

// HandleOpen implements link.Handler. It does nothing, since gateways send each other no requests.
func (p *peers) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleClose implements link.Handler.
func (p *peers) HandleClose(c *link.Conn, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := c.Remote().Instance
	if l := p.links[name]; l != nil && l.conn == c {
		l.conn, l.lostAt = nil, time.Now()
		p.g.balancer.RemovePeerLoad(name)
		p.g.places.forget(name)
		p.puller.RemovePeer(bootclock.Now(), name)
		event.Log(event.PeerLost, "peer", name)
	}
}

// HandleControl implements link.Handler.
func (p *peers) HandleControl(c *link.Conn, m wire.Message) {
	name := c.Remote().Instance
	p.mu.Lock()
	if l := p.links[name]; l != nil && l.conn == c {
		l.lastMessageAt = time.Now()
	}
	p.mu.Unlock()
	switch m := m.(type) {
	case *wire.FleetState:
		p.applyFleetState(name, m)
	case *wire.StorePull:
		p.answerPull(c, m)
	case *wire.StorePush:
		p.sendFetch(c, p.applyPush(name, m))
	case *wire.StoreFetch:
		p.answerFetch(c, m)
	case *wire.StoreChunk:
		p.sendFetch(c, p.applyChunk(name, m))
	case *wire.Evidence:
		p.g.enqueueTask(func() { p.g.rollouts.driver.HandleEvidence(time.Now(), m) })
	case *wire.UsageCounts:
		p.g.usage.receive(m)
	case *wire.Gossip:
		p.g.enqueueTask(func() { p.g.rollouts.driver.HandleGossip(time.Now(), m) })
	}
}

// connTo returns a connection to another gateway. If there is no open one, it dials the gateway and keeps the connection for reuse.
func (p *peers) connTo(ctx context.Context, to services.Instance) (*link.Conn, error) {
	p.mu.Lock()
	candidates := []*link.Conn{p.directConns[to.ID]}
	if l := p.links[to.ID]; l != nil {
		candidates = []*link.Conn{l.conn, p.directConns[to.ID]}
	}
	p.mu.Unlock()
	for _, conn := range candidates {
		// A replacement of the gateway may have another address, while a connection to the former machine ends only later.
		if conn != nil && conn.Err() == nil && conn.Remote().Address == to.Address {
			return conn, nil
		}
	}
	conn, err := link.Dial(ctx, to.Address, peerConfig(), p.hello, p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.directConns[to.ID]; old != nil {
		_ = old.Close() // an orderly close has no error
	}
	p.directConns[to.ID] = conn
	return conn, nil
}

// neighbourConns returns the connections to the neighbours.
func (p *peers) neighbourConns() []*link.Conn {
	return p.conns(func(l *peerLink) bool { return !l.loadPeer })
}

// loadPeerConns returns the connections to the gateways with which only loads are exchanged.
func (p *peers) loadPeerConns() []*link.Conn {
	return p.conns(func(l *peerLink) bool { return l.loadPeer })
}

func (p *peers) conns(match func(*peerLink) bool) []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*link.Conn
	for _, l := range p.links {
		if l.conn != nil && match(l) {
			conns = append(conns, l.conn)
		}
	}
	return conns
}
