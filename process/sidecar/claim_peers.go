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

// roleClaims is the role in the Hello of a connection that is used only for claim batches. No requests are sent on it.
const roleClaims = "claims"

// errBatchOutcomeUnknown means that a peer may have appended the batch or may still do so.
var errBatchOutcomeUnknown = errors.New("unknown whether the claim batch was appended")

// claimPeers manages connections to the sidecars that write most of the claim shards. It is safe for concurrent use.
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

// Forward implements claim.Peers.
func (p *claimPeers) Forward(ctx context.Context, address string, shard int, batch []byte) (claim.AppendResult, error) {
	peer := p.peer(address)
	if peer == nil {
		return claim.AppendResult{}, fmt.Errorf("%w: the process is stopping", services.ErrUnavailable)
	}
	if err := peer.connect(ctx, p); err != nil {
		return claim.AppendResult{}, fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	return peer.sendBatch(ctx, &wire.Claims{Service: p.settings.Service, Shard: uint32(shard), Batch: batch})
}

// peer returns the peer at an address, or nil after close. It replaces a peer whose connection has failed or ended.
func (p *claimPeers) peer(address string) *claimPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	peer := p.peers[address]
	if peer == nil || peer.ended() {
		peer = &claimPeer{address: address, ready: make(chan struct{}), pending: map[uint64]chan *wire.ClaimsDone{}}
		p.peers[address] = peer
	}
	return peer
}

func (p *claimPeers) hello() wire.Hello {
	return wire.Hello{Instance: p.settings.Instance + "/claims", Role: roleClaims, DataCentre: p.settings.DataCentre}
}

// close closes all connections and waits until they have ended.
func (p *claimPeers) close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.mu.Unlock()
	for _, peer := range peers {
		peer.close()
	}
}

// claimPeer is a single connection to a peer, including the attempt to establish it.
type claimPeer struct {
	address string
	once    sync.Once
	// ready is closed once conn and err are set.
	ready chan struct{}
	conn  *link.Conn
	err   error

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *wire.ClaimsDone
	lost    bool
}

var _ link.Handler = (*claimPeer)(nil)

// connect establishes the connection if necessary. If it returns an error, nothing was sent.
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

// ended reports whether the connection could not be established or has ended.
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

// sendBatch sends a batch and waits for the response.
func (c *claimPeer) sendBatch(ctx context.Context, m *wire.Claims) (claim.AppendResult, error) {
	done := make(chan *wire.ClaimsDone, 1)
	if !c.register(m, done) {
		return claim.AppendResult{}, fmt.Errorf("%w: %w", services.ErrUnavailable, link.ErrConnectionLost)
	}
	defer c.unregister(m.ID)
	if err := c.conn.Send(m); err != nil {
		return claim.AppendResult{}, fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	}
	select {
	case answer := <-done:
		return batchOutcome(answer)
	case <-ctx.Done():
		return claim.AppendResult{}, fmt.Errorf("%w: %w", errBatchOutcomeUnknown, ctx.Err())
	}
}

// batchOutcome converts a response into the result of Forward. A nil message means that the connection was lost.
func batchOutcome(m *wire.ClaimsDone) (claim.AppendResult, error) {
	switch {
	case m != nil && m.Appended:
		return claim.AppendResult{TimeMS: m.TimeMS, Owned: m.Owned}, nil
	case m != nil && m.Refused:
		return claim.AppendResult{}, fmt.Errorf("%w: refused by the shard's writer", services.ErrUnavailable)
	default:
		return claim.AppendResult{}, errBatchOutcomeUnknown
	}
}

// register assigns an ID to a message and registers a channel for its response. It returns false if the connection has ended.
func (c *claimPeer) register(m *wire.Claims, done chan *wire.ClaimsDone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	m.ID = c.lastID
	if !c.lost {
		c.pending[m.ID] = done
	}
	return !c.lost
}

func (c *claimPeer) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// HandleOpen implements link.Handler. It is never called on the dialing side.
func (c *claimPeer) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleControl implements link.Handler.
func (c *claimPeer) HandleControl(_ *link.Conn, m wire.Message) {
	done, ok := m.(*wire.ClaimsDone)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.pending[done.ID]; answer != nil {
		delete(c.pending, done.ID)
		answer <- done
	}
}

// HandleClose implements link.Handler.
func (c *claimPeer) HandleClose(*link.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	for id, answer := range c.pending {
		delete(c.pending, id)
		answer <- nil
	}
}

// HandleClaims implements node.ClaimRole. It appends a batch of claims from another sidecar of the same service.
func (s *Sidecar) HandleClaims(ctx context.Context, m *wire.Claims) *wire.ClaimsDone {
	if s.claims == nil || m.Service != s.opts.Settings.Service {
		return &wire.ClaimsDone{ID: m.ID, Refused: true}
	}
	ctx, cancel := context.WithTimeout(ctx, claim.DefaultConfig(m.Service).ForwardTimeout)
	defer cancel()
	metrics.Add("claim_batches_received", 1)
	appended, err := s.claims.Append(ctx, int(m.Shard), m.Batch)
	if err != nil {
		return &wire.ClaimsDone{ID: m.ID, Refused: errors.Is(err, services.ErrUnavailable)}
	}
	return &wire.ClaimsDone{ID: m.ID, Appended: true, TimeMS: appended.TimeMS, Owned: appended.Owned}
}
