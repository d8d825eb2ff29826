package claim

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/platform/budget"
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
	missing := errors.Is(ev.Err, platform.ErrNotFound)
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
		l.apply(ev.Value, ev.Revision)
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

// apply takes a later state of the segment at the position.
func (l *Log) apply(value []byte, revision platform.Revision) {
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
		l.applyBatch(&batches[i])
		sealed = batches[i].Sealed
	}
	l.settleWrite()
	if sealed {
		l.segment++
		l.revision, l.active = 0, nil
	}
}

func (l *Log) applyBatch(b *batch) {
	l.timeMS = max(l.timeMS, b.TimeMS)
	owner := l.index.ownerOf(b.Writer)
	var claims []*waiter
	if w := l.write; w != nil && owner == self && b.Sequence == w.batch.Sequence {
		w.found = true
		claims = w.claims
	}
	l.pace.saw(l.now, owner, b.claims())
	for i := range b.Records {
		r := &b.Records[i]
		switch r.Kind {
		case recordRelease:
			l.index.release(r, owner)
		case recordFinish:
			if l.index.finish(r, owner, l.segment) {
				l.keepBody(r)
			}
		case recordClaim:
			e := l.index.claim(r, b, owner)
			if len(claims) > 0 {
				l.decide(claims[0], e)
				claims = claims[1:]
			}
		}
	}
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
func (l *Log) settleWrite() {
	w := l.write
	switch {
	case w == nil:
	case w.found:
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
	}
}

// stop stops the log for good: what it cannot read it cannot rule on.
func (l *Log) stop(err error) {
	l.fault = err
	l.endAll(err)
}
