package claim

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// pendingBatch is one batch of a write, or one that was forwarded to another store.
type pendingBatch struct {
	batch batch
	// claims are this store's claims in the batch, in order.
	claims []*waiter
	// receivedID identifies a batch received from another store; zero for this store's batches.
	receivedID uint64
	// deadline is when the other store stops waiting for its batch.
	deadline time.Time
	// forwarded is set if another store was asked to append the batch and may do so at any time. Until the batch is in the
	// log, no other batch may contain its records.
	forwarded bool
	// forwardOp is the Op of the Forward effect.
	forwardOp uint64
	inLog     bool
}

// pendingWrite is what one write appends. It exists from the first attempt until it is known whether the write is in the log.
type pendingWrite struct {
	batches []*pendingBatch
	segment uint64
	prev    services.Revision
	timeMS  int64
	value   []byte
	// uncertain is set if an attempt may have taken effect, or may yet do so.
	uncertain bool
	// superseded is set if the segment is known to have a later revision than prev.
	superseded bool
	// resend is set if the segment was read since the last attempt and the outcome of the write is still open.
	resend bool
}

// startWrite puts as much as fits into a write and sends it.
func (l *Log) startWrite() {
	w := &pendingWrite{segment: l.segment, prev: l.revision, timeMS: l.nextBatchTimeMS()}
	space := l.cfg.SegmentBytes
	space = l.addUnresolved(w, space)
	space = l.addReceived(w, space)
	if own := l.newOwnBatch(space); len(own.batch.Records) > 0 || len(w.batches) == 0 {
		w.batches = append(w.batches, own)
	}
	batches := make([]*batch, len(w.batches))
	for i, p := range w.batches {
		p.batch.TimeMS = w.timeMS
		batches[i] = &p.batch
	}
	value, err := appendBatches(l.active, batches, l.cfg.SegmentBytes)
	if err != nil {
		l.handleFailure(err)
		return
	}
	w.value = value
	l.write = w
	l.sendWrite()
}

// newOwnBatch returns a new batch of this store's pending records.
func (l *Log) newOwnBatch(space int) *pendingBatch {
	l.sequence++
	p := &pendingBatch{batch: batch{Format: formatVersion, Writer: l.writer, Sequence: l.sequence}}
	space -= batchOverhead
	space = l.addAddress(p, space)
	space = l.addReleases(p, space)
	space = l.addFinishes(p, space)
	l.addClaims(p, space)
	return p
}

// addReleases comes before addClaims, so that a claim of a released key in the same batch finds it free. If some releases do
// not fit, no claim fits either.
func (l *Log) addReleases(p *pendingBatch, space int) int {
	n := min(len(l.releases), max(0, space)/recordOverhead)
	p.batch.Records = append(p.batch.Records, l.releases[:n]...)
	l.releases = l.releases[n:]
	return space - n*recordOverhead
}

// addFinishes adds the stored responses that fit and returns the space left.
func (l *Log) addFinishes(p *pendingBatch, space int) int {
	n := 0
	for i := range l.finishes {
		size := l.finishes[i].size()
		if size > space {
			break
		}
		space -= size
		n++
	}
	p.batch.Records = append(p.batch.Records, l.finishes[:n]...)
	l.finishes = l.finishes[n:]
	return space
}

// addClaims skips claims of a key that the batch already claims: the outcome of the first claim decides them.
func (l *Log) addClaims(p *pendingBatch, space int) {
	var remaining []*waiter
	inBatch := map[Key]bool{}
	for _, c := range l.pending {
		switch {
		case c.done:
		case inBatch[c.key] || space < recordOverhead:
			remaining = append(remaining, c)
		default:
			inBatch[c.key] = true
			space -= recordOverhead
			p.claims = append(p.claims, c)
			p.batch.Records = append(p.batch.Records, record{Kind: recordClaim, Key: c.key, Fingerprint: c.fingerprint})
		}
	}
	l.pending = remaining
}

// sendWrite sends the pending write, or sends it again unchanged.
func (l *Log) sendWrite() {
	w := l.write
	w.resend = false
	l.emit(Write{Op: l.startCall(callWrite), Segment: w.segment, Prev: w.prev, Value: w.value})
}

func (l *Log) handleWriteResult(ev WriteResult) {
	if l.inFlight != callWrite || ev.Op != l.currentOp {
		return
	}
	l.inFlight = callNone
	w := l.write
	switch {
	case ev.Err == nil:
		l.clearFailures()
		l.conflicts = 0
		l.lastSyncOp, l.lastSyncAt = ev.Op, l.now
		l.apply(w.value, ev.Revision, true)
		l.answerOrQueueAll()
	case errors.Is(ev.Err, services.ErrConflict):
		// The conflict may be with an earlier attempt of the same write, so only a read can tell.
		l.clearFailures()
		l.backOffAfterConflict()
		w.superseded = true
	case !w.uncertain && (errors.Is(ev.Err, services.ErrUnavailable) || errors.Is(ev.Err, services.ErrTooLarge)):
		l.discardWrite()
		l.handleFailure(ev.Err)
	default:
		if !w.uncertain && !errors.Is(ev.Err, services.ErrUnavailable) {
			w.uncertain = true
			l.pacer.countClaims(l.now, selfOwner, w.claimCount())
		}
		l.handleFailure(ev.Err)
	}
}

// backOffAfterConflict delays the next call by a random time from the second consecutive conflict on. Otherwise a store whose
// attempts take as long as the interval between another store's writes would conflict every time.
func (l *Log) backOffAfterConflict() {
	l.conflicts++
	if l.conflicts > 1 {
		l.retryAt = l.now.Add(time.Duration(l.random.Int64N(int64(l.pacer.baseInterval))))
	}
}

// claimCount returns the number of claims in the write.
func (w *pendingWrite) claimCount() int {
	n := 0
	for _, p := range w.batches {
		n += p.batch.claimCount()
	}
	return n
}

// discardWrite drops a write that has not taken effect and never will, and queues again its batches that are not in the log.
func (l *Log) discardWrite() {
	w := l.write
	l.write = nil
	var received, lost []*pendingBatch
	for _, p := range w.batches {
		switch {
		case p.inLog:
		case p.receivedID != 0:
			received = append(received, p)
		case p.forwarded:
			lost = append(lost, p)
		default:
			l.requeueRecords(p)
		}
	}
	l.received = append(received, l.received...)
	l.unresolved = append(lost, l.unresolved...)
}

// requeueRecords queues again the records of a batch of this store that is not in the log and never will be.
func (l *Log) requeueRecords(p *pendingBatch) {
	var releases, finishes []record
	for i := range p.batch.Records {
		r := p.batch.Records[i]
		switch _, isAddress := r.address(); {
		case isAddress:
		case r.Kind == recordRelease:
			releases = append(releases, r)
		case r.Kind == recordFinish:
			finishes = append(finishes, r)
		}
	}
	l.releases = append(releases, l.releases...)
	l.finishes = append(finishes, l.finishes...)
	l.pending = append(p.claims, l.pending...)
}

// clearFailures resets the failure count after a call to which the service responded.
func (l *Log) clearFailures() {
	l.failures = 0
	l.lastErr = nil
}
