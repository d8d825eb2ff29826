package shift

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
)

// platformTimeout bounds one call to the key-value service.
const platformTimeout = 3 * time.Second

// errLeaseLost says that a write was not sent because the lease had been lost.
var errLeaseLost = errors.New("the lease was lost before the write")

// keepLease starts or ends this entry's try to hold the lease on a service's shift.
func (d *Driver) keepLease(r *running, leads bool) {
	if !leads || d.opts.KV == nil {
		r.endLease()
		return
	}
	if r.keeper != nil {
		return
	}
	keeper := lease.NewKeeper(d.opts.Lease, d.opts.KV, "rollout/"+r.shift.ID, d.opts.Instance, rand.Uint64())
	ctx, cancel := context.WithCancel(context.Background())
	r.keeper = keeper
	r.stopKeeper = cancel
	d.opts.Host.Go(func(process context.Context) {
		stop := context.AfterFunc(process, cancel)
		defer stop()
		keeper.Run(ctx)
	})
}

// endLease gives the lease up in the background.
func (r *running) endLease() {
	if r.keeper == nil {
		return
	}
	r.stopKeeper()
	r.keeper = nil
}

// handle does what a machine asks for.
func (d *Driver) handle(now time.Time, r *running, out rollout.Output) {
	for _, m := range out.Messages {
		event.Log(m.Event, "rollout", m.Rollout, "text", m.Text)
	}
	if out.Stop != nil && r.stop == nil {
		r.stop = out.Stop
		d.publish(now)
		d.opts.Host.GossipSome()
	}
	if d.opts.KV == nil {
		return
	}
	if out.Read && (r.keeper != nil || !now.Before(r.readFrom)) {
		d.opts.Host.Go(func(ctx context.Context) { d.read(ctx, r) })
	}
	if out.Write != nil {
		keeper := r.keeper
		d.opts.Host.Go(func(ctx context.Context) { d.write(ctx, keeper, r, *out.Write) })
	}
}

// read runs on a worker goroutine.
func (d *Driver) read(process context.Context, r *running) {
	ctx, cancel := context.WithTimeout(process, platformTimeout)
	defer cancel()
	kv, err := d.opts.KV.Get(ctx, rollout.RecordKey(r.shift.ID))
	d.answer(process, r, func(now time.Time) rollout.Output {
		if errors.Is(err, services.ErrNotFound) {
			return r.machine.RecordMissing(now)
		}
		if err != nil {
			return r.machine.PlatformDown(now)
		}
		record, err := rollout.DecodeRecord(kv.Value)
		if err != nil {
			return r.machine.PlatformDown(now)
		}
		r.keep(record, kv.Revision)
		return r.machine.RecordRead(now, record, kv.Revision)
	})
}

// write runs on a worker goroutine. The lease is checked immediately before the write, because the process may have been paused; a stop
// needs no lease.
func (d *Driver) write(process context.Context, keeper *lease.Keeper, r *running, w rollout.Write) {
	ctx, cancel := context.WithTimeout(process, platformTimeout)
	defer cancel()
	revision, err := d.compareAndSwap(ctx, keeper, r, w)
	d.answer(process, r, func(now time.Time) rollout.Output {
		if err != nil {
			return r.machine.WriteFailed(now, err)
		}
		r.keep(w.Record, revision)
		return r.machine.Written(now, w, revision)
	})
}

func (d *Driver) compareAndSwap(ctx context.Context, keeper *lease.Keeper, r *running, w rollout.Write) (services.Revision, error) {
	value, err := w.Record.Encode()
	if err != nil {
		return 0, err
	}
	if w.Record.State != rollout.RolledBack && !holds(keeper, w.Record.Fence) {
		return 0, errLeaseLost
	}
	return d.opts.KV.CompareAndSwap(ctx, rollout.RecordKey(r.shift.ID), w.Previous, value, 0)
}

func holds(keeper *lease.Keeper, fence uint64) bool {
	if keeper == nil {
		return false
	}
	held, ok := keeper.Held(time.Now())
	return ok && held == fence
}

// answer brings the outcome of a call back to the control goroutine. It tries until the queue has room, because a machine waits for the
// answer to its write.
func (d *Driver) answer(ctx context.Context, r *running, apply func(now time.Time) rollout.Output) {
	f := func() {
		now := time.Now()
		if d.shifts[r.shift.ID] == r {
			before := r.revision
			d.handle(now, r, apply(now))
			d.publish(now)
			if r.revision > before {
				d.opts.Host.GossipSome()
			}
		}
	}
	for !d.opts.Host.Post(f) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// keep remembers the newest record for gossip, without the counts that only a leader needs.
func (r *running) keep(record rollout.Record, revision services.Revision) {
	if revision <= r.revision {
		return
	}
	record.Past = nil
	data, err := record.Encode()
	if err != nil {
		return
	}
	r.record = data
	r.revision = revision
	r.recordSent = 0
}

// Gossip adds the rollouts' digests to a message.
func (d *Driver) Gossip(g *wire.Gossip) {
	for _, id := range d.order {
		r := d.shifts[id]
		if r.stop != nil {
			g.Stops = append(g.Stops, *r.stop)
		}
		if r.record != nil && r.recordIsDue() {
			g.Rollouts = append(g.Rollouts, wire.RolloutRecord{Rollout: id, Revision: uint64(r.revision), Data: r.record})
		}
	}
}

// Records are gossiped in each of the first messages after they changed, with which a rumour reaches 800 processes with high
// probability, then rarely, for processes that were away.
const (
	recordRounds   = 12
	recordInterval = 8
)

func (r *running) recordIsDue() bool {
	r.recordSent++
	return r.recordSent <= recordRounds || r.recordSent%recordInterval == 0
}

// HandleGossip takes a peer's digests.
func (d *Driver) HandleGossip(now time.Time, g *wire.Gossip) {
	for _, stop := range g.Stops {
		if r := d.shifts[stop.Rollout]; r != nil {
			d.handle(now, r, r.machine.StopReceived(now, stop))
		}
	}
	for _, m := range g.Rollouts {
		r := d.shifts[m.Rollout]
		if r == nil || services.Revision(m.Revision) <= r.revision {
			continue
		}
		record, err := rollout.DecodeRecord(m.Data)
		if err != nil {
			continue
		}
		r.keep(record, services.Revision(m.Revision))
		d.handle(now, r, r.machine.RecordHeard(now, record, services.Revision(m.Revision)))
		d.publish(now)
	}
}
