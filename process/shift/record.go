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

// errLeaseLost means that a write was not sent because the lease had been lost.
var errLeaseLost = errors.New("the lease was lost before the write")

// updateLease starts the lease keeper of a rollout if this entry is the leader, and stops it otherwise.
func (d *Driver) updateLease(r *activeRollout, leads bool) {
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

// endLease stops the lease keeper, which releases the lease in the background.
func (r *activeRollout) endLease() {
	if r.keeper == nil {
		return
	}
	r.stopKeeper()
	r.keeper = nil
}

// applyOutput performs the actions that a state machine requested.
func (d *Driver) applyOutput(now time.Time, r *activeRollout, out rollout.Output) {
	for _, m := range out.Messages {
		event.Log(m.Event, "rollout", m.Rollout, "text", m.Text)
	}
	switch {
	case out.Stop == nil:
		r.stopNotice = nil
	case r.stopNotice == nil:
		r.stopNotice = out.Stop
		d.publish(now)
		d.opts.Host.GossipNow()
	}
	if d.opts.KV == nil {
		return
	}
	if out.Read && (r.keeper != nil || !now.Before(r.readNotBefore)) {
		d.opts.Host.Go(func(ctx context.Context) { d.read(ctx, r) })
	}
	if out.Write != nil {
		keeper := r.keeper
		d.opts.Host.Go(func(ctx context.Context) { d.write(ctx, keeper, r, *out.Write) })
	}
}

// read fetches the rollout record and passes it to the state machine. It runs on a worker goroutine.
func (d *Driver) read(process context.Context, r *activeRollout) {
	ctx, cancel := context.WithTimeout(process, platformTimeout)
	defer cancel()
	kv, err := d.opts.KV.Get(ctx, rollout.RecordKey(r.shift.ID))
	d.postResult(process, r, func(now time.Time) rollout.Output {
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
		r.storeRecord(record, kv.Revision)
		return r.machine.RecordRead(now, record, kv.Revision)
	})
}

// write writes the rollout record. It runs on a worker goroutine. It checks the lease immediately before the write, because the process
// may have been paused since the write was requested. A rollback needs no lease.
func (d *Driver) write(process context.Context, keeper *lease.Keeper, r *activeRollout, w rollout.Write) {
	ctx, cancel := context.WithTimeout(process, platformTimeout)
	defer cancel()
	revision, err := d.compareAndSwap(ctx, keeper, r, w)
	d.postResult(process, r, func(now time.Time) rollout.Output {
		if err != nil {
			return r.machine.WriteFailed(now, err)
		}
		r.storeRecord(w.Record, revision)
		return r.machine.WriteSucceeded(now, w, revision)
	})
}

func (d *Driver) compareAndSwap(ctx context.Context, keeper *lease.Keeper, r *activeRollout, w rollout.Write) (services.Revision, error) {
	value, err := w.Record.Encode()
	if err != nil {
		return 0, err
	}
	if w.Record.State != rollout.RolledBack && !holdsLease(keeper, w.Record.Fence) {
		return 0, errLeaseLost
	}
	return d.opts.KV.CompareAndSwap(ctx, rollout.RecordKey(r.shift.ID), w.Previous, value, 0)
}

func holdsLease(keeper *lease.Keeper, fence uint64) bool {
	if keeper == nil {
		return false
	}
	held, ok := keeper.Held()
	return ok && held == fence
}

// postResult applies the result of a call on the control goroutine. It retries until the queue has room, because the state machine waits
// for the result of its write.
func (d *Driver) postResult(ctx context.Context, r *activeRollout, apply func(now time.Time) rollout.Output) {
	f := func() {
		now := time.Now()
		if d.shifts[r.shift.ID] == r {
			before := r.revision
			d.applyOutput(now, r, apply(now))
			d.publish(now)
			if r.revision > before {
				d.opts.Host.GossipNow()
			}
		}
	}
	for !d.opts.Host.Post(f) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// storeRecord keeps the newest record for gossip, without the old version's past counts, which only a leader needs. A record in state Done is
// kept for good: a store that came back from an older copy may not have it.
func (r *activeRollout) storeRecord(record rollout.Record, revision services.Revision) {
	newer, done := revision > r.revision, record.State == rollout.Done
	r.revision = max(r.revision, revision)
	if r.done && !done || !newer && r.done == done {
		return
	}
	record.History = nil
	data, err := record.Encode()
	if err != nil {
		return
	}
	r.record, r.recordRevision, r.done = data, revision, done
	r.recordSent = 0
}

// AppendGossip adds the stops and records of the rollouts to a message.
func (d *Driver) AppendGossip(g *wire.Gossip) {
	for _, id := range d.order {
		r := d.shifts[id]
		if r.stopNotice != nil {
			g.Stops = append(g.Stops, *r.stopNotice)
		}
		if r.record != nil && r.nextSendIncludesRecord() {
			g.Rollouts = append(g.Rollouts, wire.RolloutRecord{Rollout: id, Revision: uint64(r.recordRevision), Data: r.record})
		}
	}
}

// A changed record is part of the next recordInitialSends digests, which spread it to 800 processes with high probability. After that it
// is part of every recordResendInterval-th digest, for processes that were unreachable before.
const (
	recordInitialSends   = 12
	recordResendInterval = 8
)

func (r *activeRollout) nextSendIncludesRecord() bool {
	r.recordSent++
	return r.recordSent <= recordInitialSends || r.recordSent%recordResendInterval == 0
}

// HandleGossip applies the stops and records of a peer's message.
func (d *Driver) HandleGossip(now time.Time, g *wire.Gossip) {
	for _, stop := range g.Stops {
		if r := d.shifts[stop.Rollout]; r != nil {
			d.applyOutput(now, r, r.machine.RollbackReceived(now, stop))
		}
	}
	for _, m := range g.Rollouts {
		if r := d.shifts[m.Rollout]; r != nil {
			d.handleRecord(now, r, services.Revision(m.Revision), m.Data)
		}
	}
}

// handleRecord applies a record that a peer or the copy of the platform's store holds. A record from before the platform came back from an older
// copy still matters if it is in state Done.
func (d *Driver) handleRecord(now time.Time, r *activeRollout, revision services.Revision, data []byte) {
	newer, earlierEpoch := revision > r.revision, revision.Epoch() < r.revision.Epoch()
	if !newer && (!earlierEpoch || r.done) {
		return
	}
	record, err := rollout.DecodeRecord(data)
	if err != nil {
		return
	}
	r.storeRecord(record, revision)
	d.applyOutput(now, r, r.machine.RecordForwarded(now, record, revision))
	d.publish(now)
	if newer && record.State != r.machine.State() && (r.done || r.machine.State() == rollout.RolledBack) {
		// The record is behind what this process knows to be final. Whoever wrote it has to learn of that.
		r.recordSent = 0
		d.opts.Host.GossipNow()
	}
}
