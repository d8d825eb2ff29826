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
	// tickInterval is how often the control goroutine checks for time-dependent changes.
	tickInterval = 250 * time.Millisecond
	// pullTimeout is the time after which an unanswered configuration pull may be repeated with another peer.
	pullTimeout = 300 * time.Millisecond
	// entryUrgentDelay is how long the pulls of an entry are not urgent, so that peers with budget left answer first. It leaves 10 s
	// of the 13 s within which a change must be in effect.
	entryUrgentDelay = 3 * time.Second
	// unparsableRetryDelay is the time between pulls of a configuration that this version of the program cannot read.
	unparsableRetryDelay = 10 * time.Second
	// adoptFanout is the number of random peers that are notified at once of a newly adopted version. The others learn of it from
	// requests and gossip.
	adoptFanout = 8
	// sidecarAdoptFanout is adoptFanout for sidecars. Their peers are entries, most of which already have the version.
	sidecarAdoptFanout = 1
)

// control is the state owned by the control goroutine.
type control struct {
	n       *Node
	config  *config.State
	pacer   *config.Pacer
	members *membership.Table
	// lastPull is when the last configuration pull was sent; zero if none is outstanding.
	lastPull time.Time
	// behindSince is when the first pull after the version in force was sent; zero before.
	behindSince time.Time
	// lastPullUrgent is set if the last pull was urgent.
	lastPullUrgent bool
	// pullNotBefore suppresses pulls after a configuration that this version of the program cannot read was received.
	pullNotBefore time.Time
	// stopWatch cancels the watch of the configuration head; nil while there is none.
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

// redial starts connection attempts to the unreachable instances that are due.
func (c *control) redial(now time.Time) {
	for _, instance := range c.members.DueRedials(now) {
		c.n.pool.DialInBackground(instance)
	}
}

// publishMembers publishes a new snapshot if the eligible instances may have changed.
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
	c.n.pool.forgetUnknown(c.members.Known(settings.RoleSidecar), c.members.Known(settings.RoleEntry))
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
	fresh := make(chan struct{})
	close(*c.n.adopted.Swap(&fresh))
	event.Log(event.ConfigAdopted, "version", next.Config.Version, "author", next.Config.Author, "source", source)
	fanout := adoptFanout
	if c.n.opts.Settings.Role == settings.RoleSidecar {
		fanout = sidecarAdoptFanout
	}
	c.sendToRandomPeers(fanout, &wire.Gossip{ConfigVersion: next.Version()})
}

// gossipToRandomPeers sends the digests to up to k random connected peers.
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

// gossip sends the digests to one random peer. An entry prefers other entries, because these are connected to all data centres. A sidecar
// has only the connections that entries made to it, and its seeds.
func (c *control) gossip(ctx context.Context) {
	peers := c.n.Snapshot().Entries
	if c.n.opts.Settings.Role != settings.RoleEntry || len(peers) <= 1 {
		c.gossipUnlessVersionSeen()
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

// gossipUnlessVersionSeen sends the digests to one random peer. It sends nothing if a peer reported its version within the gossip
// interval and the digests have no other content: when two peers exchange versions, the outdated one learns of it in either direction.
func (c *control) gossipUnlessVersionSeen() {
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

// pull requests the changes since the version in force from a peer, unless an earlier pull is outstanding. A peer may leave a pull that is
// not urgent unanswered, so an urgent pull does not wait for it. The pulls of an entry become urgent after entryUrgentDelay, because the
// entry selects the upstreams of new work by the rules.
func (c *control) pull(conn *link.Conn, version uint64, urgent bool) {
	now := time.Now()
	mine := c.n.Snapshot().Version()
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	urgent = urgent || c.n.opts.Settings.Role == settings.RoleEntry && now.Sub(c.behindSince) > entryUrgentDelay
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

// pullRetryDelay returns how long to wait before the next pull after a push was rejected. A text that cannot be parsed, because it is from
// a newer version of the program, stays unreadable until this instance is replaced.
func pullRetryDelay(err error) time.Duration {
	var faults rules.Faults
	if errors.As(err, &faults) {
		return unparsableRetryDelay
	}
	return 0
}

// adoptHead adopts a configuration head from the platform. whole is set if the head has the complete text and not only the latest changes.
func (c *control) adoptHead(ctx context.Context, head config.Head, whole bool) {
	adopted, err := c.config.AdoptHead(head)
	if err != nil {
		event.Log(event.ConfigInvalid, "peer", "key-value service", "error", err)
		if !whole {
			c.n.run(func() { c.n.readWholeHead(ctx) })
		}
		return
	}
	if adopted {
		c.publishAdopted("key-value service")
	}
}
