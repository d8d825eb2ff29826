package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rules"
)

const (
	// tickInterval is the period of the control goroutine's timer-driven work: expiry, gossip and redialing.
	tickInterval = 250 * time.Millisecond
	// pullTimeout is how long to wait for the response to a configuration pull before another pull may be sent.
	pullTimeout = 300 * time.Millisecond
	// urgentPullAfter is how long an entry must have been behind before its pulls are urgent. Until then, peers with budget left answer
	// first. It leaves 10 s of the limit of 13 s within which a configuration change must take effect.
	urgentPullAfter = 3 * time.Second
	// unparsableRetryDelay is the time between pulls of a configuration that this binary cannot parse.
	unparsableRetryDelay = 10 * time.Second
	// adoptFanout is the number of random peers that are notified immediately of a newly adopted version. The others are notified by
	// requests and gossip.
	adoptFanout = 8
	// sidecarAdoptFanout replaces adoptFanout on a sidecar. Its peers are entries, most of which already have the version.
	sidecarAdoptFanout = 1
)

// control is the event loop of the control goroutine and the state that only this goroutine may access.
type control struct {
	n       *Node
	config  *config.State
	pacer   *config.Pacer
	members *membership.Table
	// lastPull is when the last configuration pull was sent; zero if none is outstanding.
	lastPull time.Time
	// behindSince is when pull was first called after the last adoption, whether or not it sent anything; zero before.
	behindSince time.Time
	// lastPullUrgent is set if the last pull was urgent.
	lastPullUrgent bool
	// pullNotBefore is the time before which no pull is sent. It is set when a configuration that this binary cannot parse was received.
	pullNotBefore time.Time
	// stopWatch cancels the watch of config.HeadKey, which holds the latest configuration version; nil while there is none.
	stopWatch  context.CancelFunc
	lastGossip time.Time
}

func newControl(n *Node) *control {
	return &control{n: n, config: config.New(config.DefaultConfig()), pacer: config.NewPacer(), members: membership.New(n.opts.Member)}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-c.n.events:
			f(c)
			c.applyBacklog()
			c.publishMembers(ctx)
		case <-ticker.C:
			c.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// applyBacklog applies the changes that did not fit into the queue, but only after the queue is empty, to preserve their order.
func (c *control) applyBacklog() {
	if len(c.n.events) > 0 {
		return
	}
	for _, f := range c.n.takeBacklog() {
		f(c)
	}
}

func (c *control) tick(ctx context.Context) {
	c.applyBacklog()
	c.publishMembers(ctx)
	now := time.Now()
	c.n.answerBudgetSpent.Store(c.pacer.Exhausted(now))
	c.n.opts.Role.Tick(now, c.n.Snapshot())
	if now.Sub(c.lastGossip) >= settings.Milliseconds(c.n.opts.Settings.GossipIntervalMS) {
		c.lastGossip = now
		c.n.opts.Role.Connect(c.n.Snapshot())
		c.redial(now)
		c.gossip(ctx)
	}
}

// redial dials the unreachable instances whose next attempt is due.
func (c *control) redial(now time.Time) {
	for _, instance := range c.members.DueRedials(now) {
		c.n.pool.DialInBackground(instance)
	}
}

// publishMembers acts if the eligible instances may have changed: it publishes a new snapshot, starts or stops the watch, and removes the
// connection pool's slots of unknown instances.
func (c *control) publishMembers(ctx context.Context) {
	now := time.Now()
	if !c.members.Changed(now) {
		return
	}
	next := *c.n.Snapshot()
	next.Sidecars = c.members.Eligible(now, settings.RoleSidecar)
	next.Entries = c.members.Eligible(now, settings.RoleEntry)
	c.publish(&next)
	c.updateWatch(ctx, next.Entries)
	c.n.pool.removeUnknown(c.members.Known(settings.RoleSidecar), c.members.Known(settings.RoleEntry))
}

func (c *control) publish(next *Snapshot) {
	c.n.opts.Role.Publish(next)
	c.n.snapshot.Store(next)
}

// publishAdopted publishes the newly adopted configuration and announces its version to some peers.
func (c *control) publishAdopted(source string) {
	next := *c.n.Snapshot()
	next.Config = c.config.Current()
	c.publish(&next)
	c.lastPull, c.behindSince = time.Time{}, time.Time{}
	nextAdopted := make(chan struct{})
	close(*c.n.adopted.Swap(&nextAdopted))
	event.Log(event.ConfigAdopted, "version", next.Config.Version, "author", next.Config.Author, "source", source)
	fanout := adoptFanout
	if c.n.opts.Settings.Role == settings.RoleSidecar {
		fanout = sidecarAdoptFanout
	}
	c.sendToRandomPeers(fanout, &wire.Gossip{ConfigVersion: next.Version()})
}

// gossipToRandomPeers sends the gossip message, which holds the configuration version and the role's digests, to up to k random connected
// peers.
func (c *control) gossipToRandomPeers(k int) { c.sendToRandomPeers(k, c.digest()) }

// sendToRandomPeers sends a message to up to k random connected peers.
func (c *control) sendToRandomPeers(k int, m *wire.Gossip) {
	conns := append(c.n.server.Conns(), c.n.pool.conns()...)
	rand.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	for _, conn := range conns[:min(k, len(conns))] {
		_ = conn.Send(m)
	}
}

func (c *control) digest() *wire.Gossip {
	g := &wire.Gossip{ConfigVersion: c.n.Snapshot().Version()}
	c.n.opts.Role.AppendGossip(g)
	return g
}

// gossip sends the gossip message to one random peer. An entry prefers other entries, because these are connected to all data centres. A
// sidecar has only the connections that entries made to it, and its seeds.
func (c *control) gossip(ctx context.Context) {
	peers := c.n.Snapshot().Entries
	if c.n.opts.Settings.Role != settings.RoleEntry || len(peers) <= 1 {
		c.gossipUnlessRedundant()
		c.connectToSeed(ctx)
		return
	}
	peer := peers[rand.IntN(len(peers))]
	if peer.ID == c.n.opts.Settings.Instance {
		c.gossipToRandomPeers(1)
		return
	}
	message := c.digest()
	c.n.run(func() {
		if conn, err := c.n.pool.Get(ctx, peer); err == nil {
			_ = conn.Send(message)
		}
	})
}

// gossipUnlessRedundant sends the gossip message to one random peer. It sends nothing if a peer reported its version within the gossip
// interval and the message has no content besides the version, because one message in either direction is enough for the outdated peer to
// notice.
func (c *control) gossipUnlessRedundant() {
	digest := c.digest()
	interval := settings.Milliseconds(c.n.opts.Settings.GossipIntervalMS)
	versionSeen := time.Since(time.Unix(0, c.n.lastVersionSeen.Load())) < interval
	if versionSeen && len(digest.Stops)+len(digest.Rollouts)+len(digest.Quarantine)+len(digest.Loads) == 0 {
		return
	}
	c.gossipToRandomPeers(1)
}

// connectToSeed connects to a random seed while no configuration is known, so that a replaced instance can obtain it during an outage of
// the platform.
func (c *control) connectToSeed(ctx context.Context) {
	seeds := c.n.opts.Settings.Seeds
	if c.n.Snapshot().Config != nil || len(seeds) == 0 {
		return
	}
	address := seeds[rand.IntN(len(seeds))]
	c.n.run(func() { _, _ = c.n.pool.Get(ctx, services.Instance{Address: address}) })
}

// pull requests the changes since the adopted version from a peer, unless an earlier pull is outstanding. A peer may ignore a non-urgent
// pull, so an urgent pull is sent even while a non-urgent one is outstanding. The pulls of an entry become urgent after urgentPullAfter,
// because an entry routes new requests by the rules.
func (c *control) pull(conn *link.Conn, version uint64, urgent bool) {
	now := time.Now()
	mine := c.n.Snapshot().Version()
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	urgent = urgent || c.n.opts.Settings.Role == settings.RoleEntry && now.Sub(c.behindSince) > urgentPullAfter
	outstanding := now.Sub(c.lastPull) < pullTimeout && (c.lastPullUrgent || !urgent)
	if version <= mine || outstanding || now.Before(c.pullNotBefore) {
		return
	}
	c.lastPull, c.lastPullUrgent = now, urgent
	if err := conn.Send(&wire.ConfigPull{Since: mine, AcceptsDeltas: true, Urgent: urgent}); err != nil {
		c.lastPull = time.Time{}
	}
}

func (c *control) answerPull(conn *link.Conn, pull wire.ConfigPull) {
	pushes := c.config.Answer(pull)
	allowed := c.pacer.Allow(time.Now(), pull, pushes)
	c.n.answerBudgetSpent.Store(c.pacer.Exhausted(time.Now()))
	if !allowed {
		return
	}
	for _, push := range pushes {
		if err := conn.Send(&push); err != nil {
			return
		}
	}
}

func (c *control) applyPush(conn *link.Conn, push wire.ConfigPush) {
	adopted, err := c.config.ApplyPush(push)
	if err != nil {
		event.Log(event.ConfigInvalid, "peer", conn.Remote().Instance, "error", err)
		c.lastPull = time.Time{}
		c.pullNotBefore = time.Now().Add(pullRetryDelay(err))
		return
	}
	if adopted {
		c.publishAdopted(conn.Remote().Instance)
	}
}

// pullRetryDelay returns how long to wait before the next pull after a push was rejected. Rules from a newer version of the program
// cannot be parsed until this instance is upgraded.
func pullRetryDelay(err error) time.Duration {
	var faults rules.Faults
	if errors.As(err, &faults) {
		return unparsableRetryDelay
	}
	return 0
}

// adoptHead adopts a configuration head from the platform. full is set if the head has the full rules text and
// not only the latest changes.
func (c *control) adoptHead(ctx context.Context, head config.Head, full bool) {
	adopted, err := c.config.AdoptHead(head)
	if err != nil {
		event.Log(event.ConfigInvalid, "peer", "key-value service", "error", err)
		if !full {
			c.n.run(func() { c.n.readFullHead(ctx) })
		}
		return
	}
	if adopted {
		c.publishAdopted("key-value service")
	}
}
