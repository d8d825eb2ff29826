package claim

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// part is one batch of a write or of a hand-over.
type part struct {
	batch batch
	// claims are those of this store in the batch, in order.
	claims []*waiter
	// received numbers a batch of another store; zero for this store's.
	received uint64
	// until is when another store stops to wait for its batch.
	until time.Time
	// handed says that another store was asked to append the batch and may do so at any time. Until the batch is in the log, no
	// other batch may have its records.
	handed bool
	// op numbers the hand-over.
	op    uint64
	found bool
}

// pendingWrite is what one write appends, from the time it is first sent until it is known whether it is in the log.
type pendingWrite struct {
	parts   []*part
	segment uint64
	prev    services.Revision
	timeMS  int64
	value   []byte
	// lost says that an attempt may have taken effect, or may yet do so.
	lost bool
	// passed says that the segment is known to have a later revision than prev.
	passed bool
	// resend says that the segment was read since the last attempt and did not settle the write.
	resend bool
}

// startWrite puts as much as fits into a write and sends it.
func (l *Log) startWrite() {
	w := &pendingWrite{segment: l.segment, prev: l.revision, timeMS: l.nextMS()}
	room := l.cfg.SegmentBytes
	room = l.takeLost(w, room)
	room = l.takeReceived(w, room)
	if own := l.takeOwn(room); len(own.batch.Records) > 0 || len(w.parts) == 0 {
		w.parts = append(w.parts, own)
	}
	batches := make([]*batch, len(w.parts))
	for i, p := range w.parts {
		p.batch.TimeMS = w.timeMS
		batches[i] = &p.batch
	}
	value, err := appendBatches(l.active, batches, l.cfg.SegmentBytes)
	if err != nil {
		l.fail(err)
		return
	}
	w.value = value
	l.write = w
	l.sendWrite()
}

// takeOwn returns a new batch of what this store has to write.
func (l *Log) takeOwn(room int) *part {
	l.sequence++
	p := &part{batch: batch{Format: formatVersion, Writer: l.writer, Sequence: l.sequence}}
	room -= batchOverhead
	room = l.takeAddress(p, room)
	room = l.takeReleases(p, room)
	room = l.takeFinishes(p, room)
	l.takeClaims(p, room)
	return p
}

// takeReleases comes first, so that a claim of a released key in the same batch finds it free. If some do not fit, neither does
// any claim.
func (l *Log) takeReleases(p *part, room int) int {
	n := min(len(l.releases), max(0, room)/recordOverhead)
	p.batch.Records = append(p.batch.Records, l.releases[:n]...)
	l.releases = l.releases[n:]
	return room - n*recordOverhead
}

func (l *Log) takeFinishes(p *part, room int) int {
	n := 0
	for i := range l.finishes {
		size := l.finishes[i].size()
		if size > room {
			break
		}
		room -= size
		n++
	}
	p.batch.Records = append(p.batch.Records, l.finishes[:n]...)
	l.finishes = l.finishes[n:]
	return room
}

// takeClaims leaves out claims of a key that is already in the batch: what becomes of the first one decides them.
func (l *Log) takeClaims(p *part, room int) {
	var left []*waiter
	taken := map[Key]bool{}
	for _, c := range l.pending {
		switch {
		case c.done:
		case taken[c.key] || room < recordOverhead:
			left = append(left, c)
		default:
			taken[c.key] = true
			room -= recordOverhead
			p.claims = append(p.claims, c)
			p.batch.Records = append(p.batch.Records, record{Kind: recordClaim, Key: c.key, Fingerprint: c.fingerprint})
		}
	}
	l.pending = left
}

// sendWrite sends the write, or sends it again unchanged.
func (l *Log) sendWrite() {
	w := l.write
	w.resend = false
	l.emit(Write{Op: l.startFlight(flightWrite), Segment: w.segment, Prev: w.prev, Value: w.value})
}

func (l *Log) writeResult(ev WriteResult) {
	if l.flight != flightWrite || ev.Op != l.op {
		return
	}
	l.flight = flightNone
	w := l.write
	switch {
	case ev.Err == nil:
		l.succeed()
		l.conflicts = 0
		l.fresh, l.freshAt = ev.Op, l.now
		l.apply(w.value, ev.Revision, true)
		l.placeAll()
	case errors.Is(ev.Err, services.ErrConflict):
		// An earlier attempt of the same write may be what it conflicts with, so reading decides.
		l.succeed()
		l.conflicted()
		w.passed = true
	case !w.lost && (errors.Is(ev.Err, services.ErrUnavailable) || errors.Is(ev.Err, services.ErrTooLarge)):
		l.discardWrite()
		l.fail(ev.Err)
	default:
		if !w.lost && !errors.Is(ev.Err, services.ErrUnavailable) {
			w.lost = true
			l.pace.saw(l.now, self, w.claims())
		}
		l.fail(ev.Err)
	}
}

// conflicted delays the next call at random after a second conflict in a row. Without that a store whose attempts take as long as the
// interval of another one's writes would lose each of them.
func (l *Log) conflicted() {
	l.conflicts++
	if l.conflicts > 1 {
		l.retryAt = l.now.Add(time.Duration(l.random.Int64N(int64(l.pace.base))))
	}
}

// claims returns the number of claims in the write.
func (w *pendingWrite) claims() int {
	n := 0
	for _, p := range w.parts {
		n += p.batch.claims()
	}
	return n
}

// discardWrite takes back what is not in the log by a write that is not and never will be.
func (l *Log) discardWrite() {
	w := l.write
	l.write = nil
	var received, lost []*part
	for _, p := range w.parts {
		switch {
		case p.found:
		case p.received != 0:
			received = append(received, p)
		case p.handed:
			lost = append(lost, p)
		default:
			l.takeBack(p)
		}
	}
	l.received = append(received, l.received...)
	l.lost = append(lost, l.lost...)
}

// takeBack takes back the records of an own batch that is not and never will be in the log.
func (l *Log) takeBack(p *part) {
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

func (l *Log) succeed() {
	l.failures = 0
	l.lastErr = nil
}
