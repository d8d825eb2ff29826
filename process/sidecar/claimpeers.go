package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/claim"
)

// rolePeer is the role in the Hello of a connection that carries claims only: no requests are sent to it.
const rolePeer = "claims"

// errBatchOpen means that another sidecar may have appended a batch or may yet do so.
var errBatchOpen = errors.New("it is not known whether the batch was appended")

// claimPeers connects a sidecar to those that write most of the shards of claims. It may be used by any goroutine.
type claimPeers struct {
	settings *settings.Settings

	mu     sync.Mutex
	peers  map[string]*claimPeer
	closed bool
}

var _ claim.Peers = (*claimPeers)(nil)

func newClaimPeers(s *settings.Settings) *claimPeers {
	return &claimPeers{settings: s, peers: map[string]*claimPeer{}}
}

// HandOver implements claim.Peers.
func (p *claimPeers) HandOver(ctx context.Context, address string, shard int, batch []byte) (claim.Appended, error) {
	peer := p.peer(address)
	if peer == nil {
		return claim.Appended{}, fmt.Errorf("%w: the process is stopping", services.ErrUnavailable)
	}
	if err := peer.connect(ctx, p); err != nil {
		return claim.Appended{}, fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	return peer.handOver(ctx, &wire.Claims{Service: p.settings.Service, Shard: uint32(shard), Batch: batch})
}

// peer returns the peer at an address, or nil after close. A peer whose connection has ended gives way to a new one.
func (p *claimPeers) peer(address string) *claimPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	peer := p.peers[address]
	if peer == nil || peer.ended() {
		peer = &claimPeer{address: address, ready: make(chan struct{}), waiting: map[uint64]chan *wire.ClaimsDone{}}
		p.peers[address] = peer
	}
	return peer
}

func (p *claimPeers) hello() wire.Hello {
	return wire.Hello{Instance: p.settings.Instance + "/claims", Role: rolePeer, DataCentre: p.settings.DataCentre}
}

// close ends all connections and waits for them.
func (p *claimPeers) close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.mu.Unlock()
	for _, peer := range peers {
		peer.close()
	}
}

// claimPeer is one connection, from the first attempt to make it to its end.
type claimPeer struct {
	address string
	once    sync.Once
	// ready is closed when conn and err are set.
	ready chan struct{}
	conn  *link.Conn
	err   error

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan *wire.ClaimsDone
	lost    bool
}

var _ link.Handler = (*claimPeer)(nil)

// connect makes the connection unless there is one. An error means that nothing was sent.
func (c *claimPeer) connect(ctx context.Context, p *claimPeers) error {
	c.once.Do(func() {
		c.conn, c.err = link.Dial(ctx, c.address, link.DefaultConfig(), p.hello, c)
		close(c.ready)
	})
	select {
	case <-c.ready:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ended says whether the connection failed or has ended.
func (c *claimPeer) ended() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Err() != nil
	default:
		return false
	}
}

func (c *claimPeer) close() {
	c.once.Do(func() {
		c.err = link.ErrClosed
		close(c.ready)
	})
	<-c.ready
	if c.conn != nil {
		_ = c.conn.Close()
		<-c.conn.Done()
	}
}

// handOver sends a batch and waits for the answer.
func (c *claimPeer) handOver(ctx context.Context, m *wire.Claims) (claim.Appended, error) {
	done := make(chan *wire.ClaimsDone, 1)
	if !c.await(m, done) {
		return claim.Appended{}, fmt.Errorf("%w: %w", services.ErrUnavailable, link.ErrConnectionLost)
	}
	defer c.forget(m.ID)
	if err := c.conn.Send(m); err != nil {
		return claim.Appended{}, fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	select {
	case answer := <-done:
		return outcome(answer)
	case <-ctx.Done():
		return claim.Appended{}, fmt.Errorf("%w: %w", errBatchOpen, ctx.Err())
	}
}

// outcome returns what an answer says; nil stands for a lost connection.
func outcome(m *wire.ClaimsDone) (claim.Appended, error) {
	switch {
	case m != nil && m.Appended:
		return claim.Appended{TimeMS: m.TimeMS, Owned: m.Owned}, nil
	case m != nil && m.Refused:
		return claim.Appended{}, fmt.Errorf("%w: refused by the shard's writer", services.ErrUnavailable)
	default:
		return claim.Appended{}, errBatchOpen
	}
}

// await numbers a message and registers for its answer. It reports false if the connection has ended.
func (c *claimPeer) await(m *wire.Claims, done chan *wire.ClaimsDone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	m.ID = c.lastID
	if !c.lost {
		c.waiting[m.ID] = done
	}
	return !c.lost
}

func (c *claimPeer) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// HandleOpen implements link.Handler; it is never called on the dialing side.
func (c *claimPeer) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleControl implements link.Handler.
func (c *claimPeer) HandleControl(_ *link.Conn, m wire.Message) {
	done, ok := m.(*wire.ClaimsDone)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.waiting[done.ID]; answer != nil {
		delete(c.waiting, done.ID)
		answer <- done
	}
}

// HandleClose implements link.Handler.
func (c *claimPeer) HandleClose(*link.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	for id, answer := range c.waiting {
		delete(c.waiting, id)
		answer <- nil
	}
}

// Claims implements node.ClaimRole.
func (s *Sidecar) Claims(ctx context.Context, m *wire.Claims) *wire.ClaimsDone {
	if s.claims == nil || m.Service != s.opts.Settings.Service {
		return &wire.ClaimsDone{ID: m.ID, Refused: true}
	}
	ctx, cancel := context.WithTimeout(ctx, claim.DefaultConfig(m.Service).HandOverTimeout)
	defer cancel()
	metrics.Add("claim_batches_received", 1)
	appended, err := s.claims.Append(ctx, int(m.Shard), m.Batch)
	if err != nil {
		return &wire.ClaimsDone{ID: m.ID, Refused: errors.Is(err, services.ErrUnavailable)}
	}
	return &wire.ClaimsDone{ID: m.ID, Appended: true, TimeMS: appended.TimeMS, Owned: appended.Owned}
}
