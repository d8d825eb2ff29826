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
	// tickInterval is how often the control goroutine looks for changes that only time brings.
	tickInterval = 250 * time.Millisecond
	// pullTimeout is the time after which an unanswered configuration pull is repeated with another peer.
	pullTimeout = 300 * time.Millisecond
	// entryPatience is how long an entry asks without urgency, so that peers with budget left answer first. It leaves ten of the 13
	// seconds in which a change is to be in effect.
	entryPatience = 3 * time.Second
	// unreadablePause is the time between pulls of a configuration that this version of the program cannot read.
	unreadablePause = 10 * time.Second
	// adoptFanout is how many random peers hear at once of a version that was just adopted. Requests and gossip tell the rest.
	adoptFanout = 8
	// sidecarFanout is adoptFanout of a sidecar. Its peers are entries, which mostly have the version already.
	sidecarFanout = 1
)

// control is the state that the control goroutine owns.
type control struct {
	n       *Node
	config  *config.State
	pacer   *config.Pacer
	members *membership.Table
	// pulledAt is when the last configuration pull was sent; zero when none is under way.
	pulledAt time.Time
	// behindSince is when the first pull after the version in force was sent; zero before.
	behindSince time.Time
	// pulledUrgent says that a request waited for the last pull.
	pulledUrgent bool
	// noPullUntil holds pulls back after a configuration that this version of the program cannot read.
	noPullUntil time.Time
	// stopWatch ends the watch of the configuration head; nil while this process does not watch.
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

// applyBacklog applies the changes that did not fit the queue, once those that did are applied.
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
	c.n.answersSpent.Store(c.pacer.Spent(now))
	c.n.opts.Role.Tick(now, c.n.Snapshot())
	if now.Sub(c.lastGossip) >= settings.Milliseconds(c.n.opts.Settings.GossipIntervalMS) {
		c.lastGossip = now
		c.n.opts.Role.Connect(c.n.Snapshot())
		c.redial(now)
		c.gossip(ctx)
	}
}

// redial tries to reach some of the instances that could not be reached.
func (c *control) redial(now time.Time) {
	for _, instance := range c.members.DueRedials(now) {
		c.n.pool.Prepare(instance)
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
	c.chooseWatch(ctx, next.Entries)
	c.n.pool.retain(c.members.Known(settings.RoleSidecar), c.members.Known(settings.RoleEntry))
}

func (c *control) publish(next *Snapshot) {
	c.n.opts.Role.Publish(next)
	c.n.snapshot.Store(next)
}

// adopted publishes the configuration that the state just took over and tells some peers.
func (c *control) adopted(source string) {
	next := *c.n.Snapshot()
	next.Config = c.config.Current()
	c.publish(&next)
	c.pulledAt, c.behindSince = time.Time{}, time.Time{}
	fresh := make(chan struct{})
	close(*c.n.adopted.Swap(&fresh))
	event.Log(event.ConfigAdopted, "version", next.Config.Version, "author", next.Config.Author, "source", source)
	fanout := adoptFanout
	if c.n.opts.Settings.Role == settings.RoleSidecar {
		fanout = sidecarFanout
	}
	c.sendSome(fanout, &wire.Gossip{ConfigVersion: next.Version()})
}

// gossipSome sends the digests to up to k random connected peers.
func (c *control) gossipSome(k int) { c.sendSome(k, c.digest()) }

// sendSome sends a message to up to k random connected peers.
func (c *control) sendSome(k int, news *wire.Gossip) {
	conns := append(c.n.server.Conns(), c.n.pool.conns()...)
	rand.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	for _, conn := range conns[:min(k, len(conns))] {
		_ = conn.Send(news)
	}
}

func (c *control) digest() *wire.Gossip {
	g := &wire.Gossip{ConfigVersion: c.n.Snapshot().Version()}
	c.n.opts.Role.Gossip(g)
	return g
}

// gossip exchanges digests with one random peer. An entry prefers other entries, which reach all data centres; a sidecar has only
// the connections that entries made to it, and its seeds.
func (c *control) gossip(ctx context.Context) {
	peers := c.n.Snapshot().Entries
	if c.n.opts.Settings.Role != settings.RoleEntry || len(peers) <= 1 {
		c.gossipUnlessObserved()
		c.callSeed(ctx)
		return
	}
	peer := peers[rand.IntN(len(peers))]
	if peer.ID == c.n.opts.Settings.Instance {
		c.gossipSome(1)
		return
	}
	message := c.digest()
	c.n.run(func() {
		if conn, err := c.n.pool.Get(ctx, peer); err == nil {
			_ = conn.Send(message)
		}
	})
}

// gossipUnlessObserved sends the digests to one random peer, unless a peer showed its version within the gossip interval and there is nothing
// else to tell: of two peers that exchange versions, the one behind learns of it either way.
func (c *control) gossipUnlessObserved() {
	digest := c.digest()
	interval := settings.Milliseconds(c.n.opts.Settings.GossipIntervalMS)
	heard := time.Since(time.Unix(0, c.n.lastObserved.Load())) < interval
	if heard && len(digest.Stops)+len(digest.Rollouts)+len(digest.Quarantine)+len(digest.Loads) == 0 {
		return
	}
	c.gossipSome(1)
}

// callSeed connects to a random seed while no configuration is known, so that a replaced instance learns it in an outage.
func (c *control) callSeed(ctx context.Context) {
	seeds := c.n.opts.Settings.Seeds
	if c.n.Snapshot().Config != nil || len(seeds) == 0 {
		return
	}
	address := seeds[rand.IntN(len(seeds))]
	c.n.run(func() { _, _ = c.n.pool.Get(ctx, services.Instance{Address: address}) })
}

// pull asks a peer for the configuration after the version in force, unless an earlier question is still open. A peer may leave a
// question that is not urgent unanswered, so an urgent one does not wait for it. Those of an entry become urgent after a while, because it
// chooses the upstreams of new work by the rules.
func (c *control) pull(conn *link.Conn, version uint64, urgent bool) {
	now := time.Now()
	mine := c.n.Snapshot().Version()
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	urgent = urgent || c.n.opts.Settings.Role == settings.RoleEntry && now.Sub(c.behindSince) > entryPatience
	open := now.Sub(c.pulledAt) < pullTimeout && (c.pulledUrgent || !urgent)
	if version <= mine || open || now.Before(c.noPullUntil) {
		return
	}
	c.pulledAt, c.pulledUrgent = now, urgent
	if err := conn.Send(&wire.ConfigPull{Since: mine, Runs: true, Urgent: urgent}); err != nil {
		c.pulledAt = time.Time{}
	}
}

func (c *control) answerPull(conn *link.Conn, pull wire.ConfigPull) {
	pushes := c.config.Answer(pull)
	allowed := c.pacer.Allow(time.Now(), pull, pushes)
	c.n.answersSpent.Store(c.pacer.Spent(time.Now()))
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
		c.pulledAt = time.Time{}
		c.noPullUntil = time.Now().Add(pullPause(err))
		return
	}
	if adopted {
		c.adopted(conn.Remote().Instance)
	}
}

// pullPause is the time to wait before the next pull after a push was refused. A text that cannot be parsed, from a newer version of the
// program, stays so until this instance is replaced.
func pullPause(err error) time.Duration {
	var faults rules.Faults
	if errors.As(err, &faults) {
		return unreadablePause
	}
	return 0
}

// adoptHead takes over a head from the platform. whole says that it has the whole text and not only the latest changes.
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
		c.adopted("key-value service")
	}
}
