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

// startRead reads the segment at the position, or the next one of the search for the first segment.
func (l *Log) startRead() {
	if !l.located && l.search == nil {
		l.search = &search{cutoffMS: l.now.UnixMilli() - l.cfg.Retention.Milliseconds()}
	}
	if l.search == nil {
		l.emit(Read{Op: l.startFlight(flightRead), Segment: l.segment})
		return
	}
	segment, more := l.search.probe()
	if !more {
		l.segment = l.search.low
		l.located, l.search = true, nil
		l.emit(Read{Op: l.startFlight(flightRead), Segment: l.segment})
		return
	}
	l.probing = segment
	l.emit(Read{Op: l.startFlight(flightProbe), Segment: segment})
}

func (l *Log) readResult(ev ReadResult) {
	if l.flight != flightRead && l.flight != flightProbe || ev.Op != l.op {
		return
	}
	probe := l.flight == flightProbe
	l.flight = flightNone
	missing := errors.Is(ev.Err, services.ErrNotFound)
	switch {
	case ev.Err != nil && !missing:
		l.fail(ev.Err)
	case probe && l.probed(ev, missing):
	default:
		l.readSegment(ev, missing)
	}
}

// probed takes a result of the search. It returns false if the result is also the first segment's.
func (l *Log) probed(ev ReadResult, missing bool) bool {
	var firstMS int64
	if !missing {
		batches, err := decodeBatches(ev.Value)
		if err != nil || len(batches) == 0 {
			l.stop(fmt.Errorf("segment %d: %w", l.probing, errors.Join(errCorrupt, err)))
			return true
		}
		firstMS = batches[0].TimeMS
	}
	l.succeed()
	if l.search.found(l.probing, !missing, firstMS) {
		return true
	}
	l.located, l.search = true, nil
	return false
}

func (l *Log) readSegment(ev ReadResult, missing bool) {
	w := l.write
	switch {
	case !missing && ev.Revision > l.revision:
		l.succeed()
		segment := l.segment
		l.apply(ev.Value, ev.Revision, false)
		l.synced = l.segment == segment
	case w != nil && w.passed:
		l.fail(errStale)
		return
	default:
		l.succeed()
		l.synced = true
		if w != nil {
			w.resend = true
		}
	}
	if l.synced {
		l.fresh, l.freshAt = ev.Op, l.now
	}
	l.placeAll()
}

// apply takes a later state of the segment at the position; mine says that it is what this store wrote.
func (l *Log) apply(value []byte, revision services.Revision, mine bool) {
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
		l.applyBatch(&batches[i], mine)
		sealed = batches[i].Sealed
	}
	l.settleWrite()
	if sealed {
		l.segment++
		l.revision, l.active = 0, nil
	}
}

func (l *Log) applyBatch(b *batch, mine bool) {
	l.timeMS = max(l.timeMS, b.TimeMS)
	owner := l.index.ownerOf(b.Writer)
	l.sequencesOf(b.Writer).saw(b.Sequence)
	l.notePace(b, owner, mine)
	p := l.awaited(b)
	var claims []*waiter
	if p != nil {
		claims = p.claims
	}
	var owned []bool
	for i := range b.Records {
		r := &b.Records[i]
		if r.Kind != recordClaim {
			l.applyResult(r, owner)
			continue
		}
		e := l.index.claim(r, b, owner)
		owned = append(owned, e != nil)
		switch {
		case len(claims) > 0:
			l.decide(claims[0], e)
			claims = claims[1:]
		case p == nil && owner == self && e != nil && l.index.live(r.Key, l.nextMS()) == e:
			// Another store appended the batch after it had been given up, and after the retention of its first copy.
			l.abandon(r.Key, e)
		}
	}
	if p != nil && p.received != 0 {
		l.emit(BatchDone{ID: p.received, Appended: Appended{TimeMS: b.TimeMS, Owned: owned}})
	}
}

// applyResult takes a release or response in the log.
func (l *Log) applyResult(r *record, owner uint32) {
	if address, ok := r.address(); ok {
		l.noteAddress(owner, address)
		return
	}
	if r.Kind == recordRelease {
		l.index.release(r, owner)
		return
	}
	if l.index.finish(r, owner, l.segment) {
		l.keepBody(r)
	}
}

// notePace counts the claims of a batch for the store that wrote it; batches that were handed over cost no write of their own.
func (l *Log) notePace(b *batch, owner uint32, mine bool) {
	switch {
	case mine:
		owner = self
	case owner == self:
		// It was counted when it was written or handed over.
		return
	}
	l.pace.saw(l.now, owner, b.claims())
	if owner != self {
		l.yield(1)
	}
}

// awaited returns the part of the pending write or the hand-over that has the batch, or nil. The part is settled.
func (l *Log) awaited(b *batch) *part {
	if l.write != nil {
		if p := findPart(l.write.parts, b); p != nil && !p.found {
			p.found = true
			return p
		}
	}
	if p := findPart(l.handed, b); p != nil {
		return l.takeHanded(p.op)
	}
	p := findPart(l.lost, b)
	if p != nil {
		l.lost = slices.DeleteFunc(l.lost, func(other *part) bool { return other == p })
	}
	return p
}

// decide answers an own claim that is in the log and of whose key the whole log before it has been seen. e is nil if another
// claim owns the key.
func (l *Log) decide(w *waiter, e *entry) {
	switch {
	case e == nil:
		l.pending = append(l.pending, w)
	case w.done:
		l.abandon(w.key, e)
	case l.now.UnixMilli()-e.atMS >= l.cfg.Retention.Milliseconds():
		l.abandon(w.key, e)
		l.answer(w, Decision{Kind: Unavailable}, ErrTooLate)
	default:
		l.held[w.key]++
		e.ambiguous = l.held[w.key] > 1
		l.answer(w, Decision{Kind: Granted}, nil)
	}
}

// settleWrite ends the pending write after a later revision of its segment was applied: the write is in it, or it never will be.
// Batches that were handed over may be there without it.
func (l *Log) settleWrite() {
	w := l.write
	switch {
	case w == nil:
	case !slices.ContainsFunc(w.parts, func(p *part) bool { return !p.found }):
		l.write = nil
	case l.revision > w.prev:
		l.atOnce = true
		l.discardWrite()
	}
}

// fail takes a failed call. Waiting claims are refused once patience is used up.
func (l *Log) fail(err error) {
	l.lastErr = err
	l.retryAt = l.now.Add(budget.FullJitter(l.random, l.failures, l.cfg.RetryBase, l.cfg.RetryMax))
	l.failures++
	if l.failures >= patience {
		queued := append(l.pending, l.stale...)
		l.pending, l.stale = nil, nil
		for _, w := range queued {
			l.end(w, err)
		}
		l.refuseReceived(err)
	}
}

// stop stops the log for good: what it cannot read it cannot rule on.
func (l *Log) stop(err error) {
	l.fault = err
	l.endAll(err)
	l.refuseReceived(err)
}
