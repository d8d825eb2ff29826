package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/services/budget"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/version/config"
)

const (
	// watchersPerDataCentre is how many entries of a data centre watch the configuration head. Each watch is a call to the
	// platform's key-value service, so most instances receive a change from their peers instead.
	watchersPerDataCentre = 2
	// maxBackoff is the maximum time between retries while the platform is unavailable.
	maxBackoff = 5 * time.Second
	// firstReadJitter spreads the first reads of many instances that start at the same time.
	firstReadJitter = 500 * time.Millisecond
	// sidecarReadDelay gives entries time to send the configuration to a new sidecar before the sidecar reads it from the platform.
	sidecarReadDelay = 3 * time.Second
)

// updateWatch starts or stops this entry's watch of the configuration head, depending on the eligible entries.
func (c *control) updateWatch(ctx context.Context, entries []services.Instance) {
	if c.n.opts.KV == nil || c.n.opts.Settings.Role != settings.RoleEntry {
		return
	}
	watch := shouldWatch(c.n.opts.Settings, entries)
	switch {
	case watch && c.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		c.stopWatch = cancel
		c.n.run(func() { c.n.watchHead(watchCtx) })
	case !watch && c.stopWatch != nil:
		c.stopWatch()
		c.stopWatch = nil
	}
}

// shouldWatch reports whether the instance is among the watchersPerDataCentre entries of its data centre with the lowest hashes of their
// ids. An instance that is not yet in the list watches too, because there may be no other watcher.
func shouldWatch(s *settings.Settings, entries []services.Instance) bool {
	var hashes []uint64
	listed := false
	for _, e := range entries {
		if e.DataCentre == s.DataCentre {
			hashes = append(hashes, xxhash.Sum64String(e.ID))
			listed = listed || e.ID == s.Instance
		}
	}
	slices.Sort(hashes)
	position, _ := slices.BinarySearch(hashes, xxhash.Sum64String(s.Instance))
	return !listed || position < watchersPerDataCentre
}

// watchHead queues each new configuration head for the control goroutine until ctx ends.
func (n *Node) watchHead(ctx context.Context) {
	var after services.Revision
	backoff := newBackoff()
	for ctx.Err() == nil {
		kv, err := n.opts.KV.Watch(ctx, config.HeadKey, after)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded) {
				event.Log(event.ConfigWatchFailed, "error", err)
				sleep.For(ctx, backoff.next())
			}
			continue
		}
		backoff.reset()
		// A revision lower than one already seen is from a stale read, which config.State ignores as well.
		after = max(after, kv.Revision)
		n.handleHead(ctx, kv)
	}
}

func (n *Node) handleHead(ctx context.Context, kv services.KeyValue) {
	head, err := config.DecodeHead(kv.Value)
	if err == nil {
		head, err = config.CompleteHead(ctx, n.opts.KV, head, n.Snapshot().Config)
	}
	if err != nil {
		event.Log(event.ConfigInvalid, "peer", "key-value service", "error", err)
		return
	}
	n.postReliably(func(c *control) { c.adoptHead(ctx, head, false) })
}

// readFullHead reads the configuration head with its full rules text, after its latest changes could not be applied to the adopted
// configuration.
func (n *Node) readFullHead(ctx context.Context) {
	head, err := config.ReadHead(ctx, n.opts.KV, nil)
	if err != nil {
		event.Log(event.ConfigWatchFailed, "error", err)
		return
	}
	n.postReliably(func(c *control) { c.adoptHead(ctx, head, true) })
}

// fetchInitialConfig reads the configuration head from the platform until a configuration has been adopted.
func (n *Node) fetchInitialConfig(ctx context.Context) {
	delay := jitter(firstReadJitter)
	if n.opts.Settings.Role == settings.RoleSidecar {
		delay += sidecarReadDelay
	}
	backoff := newBackoff()
	for sleep.For(ctx, delay) && n.Snapshot().Config == nil {
		kv, err := n.opts.KV.Get(ctx, config.HeadKey)
		if err == nil {
			n.handleHead(ctx, kv)
		}
		delay = backoff.next()
	}
}

// pollInstances queues each update of the instance list for the control goroutine until ctx ends.
func (n *Node) pollInstances(ctx context.Context) {
	interval := settings.Milliseconds(n.opts.Settings.Instances.PollIntervalMS)
	var revision uint64
	failing := false
	for {
		update, err := n.opts.List.List(ctx, revision)
		if err != nil && ctx.Err() == nil && !failing {
			event.Log(event.InstanceListUnavailable, "error", err)
		}
		failing = err != nil
		if err == nil && update.Revision != revision {
			if n.post(func(c *control) { c.applyList(update) }) {
				revision = update.Revision
			}
		}
		// The jitter spreads the polls of many instances over the interval.
		if !sleep.For(ctx, interval/2+jitter(interval)) {
			return
		}
	}
}

// applyList applies a complete instance list or an incremental update. It probes the connections to instances that are no longer listed,
// because the keepalive probes idle connections rarely.
func (c *control) applyList(update services.InstanceUpdate) {
	if update.Full {
		c.members.ApplyList(update.Instances)
	} else {
		c.members.ApplyChanges(update.Instances, update.Removed)
	}
	for _, id := range c.members.ConnectedUnlisted() {
		if conn := c.n.pool.Connected(id); conn != nil {
			conn.Probe()
		}
	}
}

// initialBackoff is the upper bound of the delay after the first failure; the bound doubles with each further failure.
const initialBackoff = 100 * time.Millisecond

// backoff computes the delays between retries, with exponential backoff and full jitter.
type backoff struct {
	random  *rand.Rand
	attempt int
}

func newBackoff() *backoff {
	return &backoff{random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (b *backoff) next() time.Duration {
	d := budget.FullJitter(b.random, b.attempt, initialBackoff, maxBackoff)
	b.attempt++
	return d
}

func (b *backoff) reset() { b.attempt = 0 }
