package claim

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

const (
	// leaderClaimRatio is how many times as many recent claims as this store another store must have for this store to forward
	// its batches to it. Up to that ratio each store writes its own batches and the pacer divides the write rate.
	leaderClaimRatio = 2
	// followDuration is how long a store keeps reading the log periodically after it last forwarded a batch.
	followDuration = time.Minute
)

// leader returns the address of the store that writes most of the shard's claims, or "" if this store should write its batches
// itself.
func (l *Log) leader() string {
	owner, claims := l.pacer.busiestWriter(l.now)
	own := l.pacer.recentClaims[selfOwner] + float64(len(l.pending))
	if owner == selfOwner || claims <= leaderClaimRatio*own {
		return ""
	}
	return l.addresses[owner]
}

// forwardBatches forwards pending records to the shard's leader, which appends them with its own. A second writer would cost
// extra writes and conflicts. Nothing is forwarded while a write of this store is pending or the outcome of a forwarded batch
// is unknown.
func (l *Log) forwardBatches() {
	for l.located && l.fatalErr == nil && l.write == nil && len(l.unresolved) == 0 && l.writeDue() && !l.now.Before(l.forwardAllowedAt) {
		to := l.leader()
		if to == "" || !l.forwardBatch(to) {
			return
		}
	}
}

// forwardBatch forwards one batch, or returns false if there is nothing to forward.
func (l *Log) forwardBatch(to string) bool {
	p := &pendingBatch{batch: batch{Format: formatVersion, Writer: l.writer, Sequence: l.sequence + 1}, forwarded: true}
	// A quarter of a segment leaves the leader room for its own batch in the same write.
	space := max(l.cfg.SegmentBytes/4-batchOverhead, recordOverhead)
	// A single response with its body may exceed that; it is then forwarded alone.
	if len(l.releases) == 0 && len(l.finishes) > 0 {
		space = max(space, l.finishes[0].size())
	}
	space = l.addReleases(p, space)
	space = l.addFinishes(p, space)
	l.addClaims(p, space)
	encoded, err := encodeBatch(&p.batch)
	if len(p.batch.Records) == 0 || err != nil {
		l.requeueRecords(p)
		return false
	}
	l.sequence++
	l.lastForwardOp++
	p.forwardOp = l.lastForwardOp
	l.forwarded = append(l.forwarded, p)
	l.pacer.countClaims(l.now, selfOwner, len(p.claims))
	l.followUntil = l.now.Add(followDuration)
	l.emit(Forward{Op: p.forwardOp, To: to, Batch: encoded})
	return true
}

// handleForwardResult handles the reply to a forwarded batch, unless the batch was found in the log meanwhile.
func (l *Log) handleForwardResult(ev ForwardResult) {
	p := l.removeForwarded(ev.Op)
	switch {
	case p == nil:
	case ev.Err == nil && len(ev.Appended.Owned) == len(p.claims):
		l.applyAppended(p, ev.Appended)
	case errors.Is(ev.Err, services.ErrUnavailable):
		l.forwardAllowedAt = l.now.Add(l.cfg.ForwardRetryDelay)
		l.requeueRecords(p)
		l.answerOrQueueAll()
	default:
		// The other store may still append the batch until it is in the log. This store reads the log, and appends the batch
		// with the same sequence number if it is absent. Whichever write comes second fails with a conflict.
		l.forwardAllowedAt = l.now.Add(l.cfg.ForwardRetryDelay)
		l.unresolved = append(l.unresolved, p)
		l.synced = false
	}
}

// removeForwarded removes and returns the forwarded batch with the given op, or returns nil.
func (l *Log) removeForwarded(op uint64) *pendingBatch {
	for i, p := range l.forwarded {
		if p.forwardOp == op {
			l.forwarded = append(l.forwarded[:i:i], l.forwarded[i+1:]...)
			return p
		}
	}
	return nil
}

// applyAppended decides the claims of a batch that another store has appended. That store had read the whole log before the
// batch, so its reply about a key holds even if this store has read less.
func (l *Log) applyAppended(p *pendingBatch, a AppendResult) {
	p.batch.TimeMS = a.TimeMS
	for i, w := range p.claims {
		if !a.Owned[i] {
			l.requeueTaken(w)
			continue
		}
		r := record{Kind: recordClaim, Key: w.key, Fingerprint: w.fingerprint}
		l.decide(w, l.index.setOwned(&r, &p.batch))
	}
}

// requeueTaken queues a claim whose key is owned by another claim, according to a part of the log that this store has not read
// yet.
func (l *Log) requeueTaken(w *waiter) {
	w.afterOp, w.takenElsewhere = l.lastOp, true
	l.answerOrQueue(w)
}

// addUnresolved adds forwarded batches with an unknown outcome to a write, and returns the space left.
func (l *Log) addUnresolved(w *pendingWrite, space int) int {
	for len(l.unresolved) > 0 && (len(w.batches) == 0 || l.unresolved[0].batch.size() <= space) {
		p := l.unresolved[0]
		l.unresolved = l.unresolved[1:]
		space -= p.batch.size()
		w.batches = append(w.batches, p)
	}
	return space
}

// following reports whether the store forwarded a batch recently and reads the log periodically to stay close to its end.
func (l *Log) following() bool { return l.now.Before(l.followUntil) && !l.closing && l.fatalErr == nil }

// nextFollowRead is the time of the next periodic read.
func (l *Log) nextFollowRead() time.Time { return l.lastSyncAt.Add(l.cfg.FollowInterval) }
