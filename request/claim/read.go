package claim

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/services/budget"
)

// errStale means that a read returned an older state than is known to exist.
var errStale = errors.New("the key-value service answers with an old revision")

// startRead reads the segment at the read position, or the next segment that the search for the first one probes.
func (l *Log) startRead() {
	if !l.located && l.search == nil {
		l.search = &search{cutoffMS: l.now.UnixMilli() - l.cfg.Retention.Milliseconds()}
	}
	if l.search == nil {
		l.emit(Read{Op: l.startCall(callRead), Segment: l.segment})
		return
	}
	segment, more := l.search.next()
	if !more {
		l.segment = l.search.low
		l.located, l.search = true, nil
		l.emit(Read{Op: l.startCall(callRead), Segment: l.segment})
		return
	}
	l.probeSegment = segment
	l.emit(Read{Op: l.startCall(callProbe), Segment: segment})
}

func (l *Log) handleReadResult(ev ReadResult) {
	if l.inFlight != callRead && l.inFlight != callProbe || ev.Op != l.currentOp {
		return
	}
	probe := l.inFlight == callProbe
	l.inFlight = callNone
	missing := errors.Is(ev.Err, services.ErrNotFound)
	switch {
	case ev.Err != nil && !missing:
		l.handleFailure(ev.Err)
	case probe && l.handleProbeResult(ev, missing):
	default:
		l.readSegment(ev, missing)
	}
}

// handleProbeResult handles the result of a probe. It returns false if the search is over and the result is also that of
// reading the first segment.
func (l *Log) handleProbeResult(ev ReadResult, missing bool) bool {
	var firstMS int64
	if !missing {
		batches, err := decodeBatches(ev.Value)
		if err != nil || len(batches) == 0 {
			l.stop(fmt.Errorf("segment %d: %w", l.probeSegment, errors.Join(errCorrupt, err)))
			return true
		}
		firstMS = batches[0].TimeMS
	}
	l.clearFailures()
	if l.search.observe(l.probeSegment, !missing, firstMS) {
		return true
	}
	l.located, l.search = true, nil
	return false
}

func (l *Log) readSegment(ev ReadResult, missing bool) {
	w := l.write
	switch {
	case !missing && ev.Revision > l.revision:
		l.clearFailures()
		segment := l.segment
		l.apply(ev.Value, ev.Revision, false)
		l.synced = l.segment == segment
	case w != nil && w.superseded:
		l.handleFailure(errStale)
		return
	default:
		l.clearFailures()
		l.synced = true
		if w != nil {
			w.resend = true
		}
	}
	if l.synced {
		l.lastSyncOp, l.lastSyncAt = ev.Op, l.now
	}
	l.answerOrQueueAll()
}

// apply applies a later state of the segment at the read position. ownWrite is set if this store has just written it.
func (l *Log) apply(value []byte, revision services.Revision, ownWrite bool) {
	if !bytes.HasPrefix(value, l.active) {
		l.stop(fmt.Errorf("segment %d: %w: it does not begin as before", l.segment, errCorrupt))
		return
	}
	batches, err := decodeBatches(value[len(l.active):])
	if err != nil {
		l.stop(fmt.Errorf("segment %d: %w", l.segment, err))
		return
	}
	l.active, l.revision = value, revision
	sealed := false
	for i := range batches {
		l.applyBatch(&batches[i], ownWrite)
		sealed = batches[i].Sealed
	}
	l.settleWrite()
	if sealed {
		l.segment++
		l.revision, l.active = 0, nil
	}
}

func (l *Log) applyBatch(b *batch, ownWrite bool) {
	l.timeMS = max(l.timeMS, b.TimeMS)
	owner := l.index.ownerNumber(b.Writer)
	l.sequenceWindowOf(b.Writer).add(b.Sequence)
	l.updatePacer(b, owner, ownWrite)
	p := l.matchPending(b)
	var claims []*waiter
	if p != nil {
		claims = p.claims
	}
	var owned []bool
	for i := range b.Records {
		r := &b.Records[i]
		if r.Kind != recordClaim {
			l.applyReleaseOrFinish(r, owner)
			continue
		}
		e := l.index.applyClaim(r, b, owner)
		owned = append(owned, e != nil)
		switch {
		case len(claims) > 0:
			l.decide(claims[0], e)
			claims = claims[1:]
		case p == nil && owner == selfOwner && e != nil && l.index.claimedEntry(r.Key, l.nextBatchTimeMS()) == e:
			// Another store appended a second copy of the batch after it had been given up, and more than the retention
			// after the first copy.
			l.abandon(r.Key, e)
		}
	}
	if p != nil && p.receivedID != 0 {
		l.emit(BatchResult{ID: p.receivedID, Appended: AppendResult{TimeMS: b.TimeMS, Owned: owned}})
	}
}

// applyReleaseOrFinish applies a record in the log that is not a claim.
func (l *Log) applyReleaseOrFinish(r *record, owner uint32) {
	if address, ok := r.address(); ok {
		l.setAddress(owner, address)
		return
	}
	if r.Kind == recordRelease {
		l.index.applyRelease(r, owner)
		return
	}
	if l.index.applyFinish(r, owner, l.segment) {
		l.cacheBody(r)
	}
}

// updatePacer counts the claims of a batch for the store that wrote it. Forwarded batches cost no write of their own.
func (l *Log) updatePacer(b *batch, owner uint32, ownWrite bool) {
	switch {
	case ownWrite:
		owner = selfOwner
	case owner == selfOwner:
		// Counted already when the batch was written or forwarded.
		return
	}
	l.pacer.countClaims(l.now, owner, b.claimCount())
	if owner != selfOwner {
		l.delayNextWrite(1)
	}
}

// matchPending returns the pending batch that has arrived in the log as b, or nil. It is marked or removed, so that it matches
// only once.
func (l *Log) matchPending(b *batch) *pendingBatch {
	if l.write != nil {
		if p := findPending(l.write.batches, b); p != nil && !p.inLog {
			p.inLog = true
			return p
		}
	}
	if p := findPending(l.forwarded, b); p != nil {
		return l.removeForwarded(p.forwardOp)
	}
	p := findPending(l.unresolved, b)
	if p != nil {
		l.unresolved = slices.DeleteFunc(l.unresolved, func(other *pendingBatch) bool { return other == p })
	}
	return p
}

// decide answers a claim of this store that is in the log, after the whole log before it has been read. e is nil if another
// claim owns the key.
func (l *Log) decide(w *waiter, e *entry) {
	switch {
	case e == nil:
		l.pending = append(l.pending, w)
	case w.done:
		l.abandon(w.key, e)
	case l.now.UnixMilli()-e.lastClaimMS >= l.cfg.Retention.Milliseconds():
		l.abandon(w.key, e)
		l.answer(w, Decision{Kind: Unavailable}, ErrTooLate)
	default:
		l.openGrants[w.key]++
		e.ambiguous = l.openGrants[w.key] > 1
		l.answer(w, Decision{Kind: Granted}, nil)
	}
}

// settleWrite ends the pending write after a later revision of its segment was applied: either the write is in that revision
// or it will never take effect. Forwarded batches may be in the log without the write.
func (l *Log) settleWrite() {
	w := l.write
	switch {
	case w == nil:
	case !slices.ContainsFunc(w.batches, func(p *pendingBatch) bool { return !p.inLog }):
		l.write = nil
	case l.revision > w.prev:
		l.retryImmediately = true
		l.discardWrite()
	}
}

// handleFailure records a failed call. Waiting claims are refused from refuseAfterFailures consecutive failures on.
func (l *Log) handleFailure(err error) {
	l.lastErr = err
	l.retryAt = l.now.Add(budget.FullJitter(l.random, l.failures, l.cfg.RetryBase, l.cfg.RetryMax))
	l.failures++
	if l.failures >= refuseAfterFailures {
		queued := append(l.pending, l.awaitingRead...)
		l.pending, l.awaitingRead = nil, nil
		for _, w := range queued {
			l.endClaim(w, err)
		}
		l.refuseReceived(err)
	}
}

// stop permanently refuses all claims, because claims cannot be decided without reading the log.
func (l *Log) stop(err error) {
	l.fatalErr = err
	l.endAllClaims(err)
	l.refuseReceived(err)
}
