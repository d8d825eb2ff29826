package claim

import (
	"errors"

	"github.com/jayridge/jayridge/platform"
)

// pendingWrite is a batch from the time it is first sent until it is known whether it is in the log.
type pendingWrite struct {
	batch   batch
	claims  []*waiter
	segment uint64
	prev    platform.Revision
	value   []byte
	// lost says that an attempt may have taken effect, or may yet do so.
	lost bool
	// passed says that the segment is known to have a later revision than prev.
	passed bool
	// resend says that the segment was read since the last attempt and did not settle the write.
	resend bool
	found  bool
}

// startWrite puts as much as fits into a batch and sends it.
func (l *Log) startWrite() {
	w := &pendingWrite{segment: l.segment, prev: l.revision}
	room := l.cfg.SegmentBytes - batchOverhead
	room = l.takeReleases(w, room)
	room = l.takeFinishes(w, room)
	l.takeClaims(w, room)
	l.sequence++
	w.batch.Format = formatVersion
	w.batch.Writer = l.writer
	w.batch.Sequence = l.sequence
	w.batch.TimeMS = l.nextMS()
	value, err := appendBatch(l.active, &w.batch, l.cfg.SegmentBytes)
	if err != nil {
		l.fail(err)
		return
	}
	w.value = value
	l.write = w
	l.sendWrite()
}

// takeReleases comes first, so that a claim of a released key in the same batch finds it free. If some do not fit, neither does
// any claim.
func (l *Log) takeReleases(w *pendingWrite, room int) int {
	n := min(len(l.releases), room/recordOverhead)
	w.batch.Records = append(w.batch.Records, l.releases[:n]...)
	l.releases = l.releases[n:]
	return room - n*recordOverhead
}

func (l *Log) takeFinishes(w *pendingWrite, room int) int {
	n := 0
	for _, r := range l.finishes {
		size := recordOverhead + len(r.Body)
		if size > room {
			break
		}
		room -= size
		n++
	}
	w.batch.Records = append(w.batch.Records, l.finishes[:n]...)
	l.finishes = l.finishes[n:]
	return room
}

// takeClaims leaves out claims of a key that is already in the batch: what becomes of the first one decides them.
func (l *Log) takeClaims(w *pendingWrite, room int) {
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
			w.claims = append(w.claims, c)
			w.batch.Records = append(w.batch.Records, record{Kind: recordClaim, Key: c.key, Fingerprint: c.fingerprint})
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
		l.fresh, l.freshAt = ev.Op, l.now
		l.apply(w.value, ev.Revision)
		l.placeAll()
	case errors.Is(ev.Err, platform.ErrConflict):
		// An earlier attempt of the same write may be what it conflicts with, so reading decides.
		l.succeed()
		w.passed = true
	case !w.lost && (errors.Is(ev.Err, platform.ErrUnavailable) || errors.Is(ev.Err, platform.ErrTooLarge)):
		l.discardWrite()
		l.fail(ev.Err)
	default:
		w.lost = w.lost || !errors.Is(ev.Err, platform.ErrUnavailable)
		l.fail(ev.Err)
	}
}

// discardWrite takes back a batch that is not and never will be in the log.
func (l *Log) discardWrite() {
	w := l.write
	l.write = nil
	var releases, finishes []record
	for _, r := range w.batch.Records {
		switch r.Kind {
		case recordRelease:
			releases = append(releases, r)
		case recordFinish:
			finishes = append(finishes, r)
		}
	}
	l.releases = append(releases, l.releases...)
	l.finishes = append(finishes, l.finishes...)
	l.pending = append(w.claims, l.pending...)
}

func (l *Log) succeed() {
	l.failures = 0
	l.lastErr = nil
}
