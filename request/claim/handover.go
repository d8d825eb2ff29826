package claim

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

const (
	// leaderShare is how many times as many claims as this store another one must have written lately for this store to hand
	// its batches over. With less the stores share the rate as equals.
	leaderShare = 2
	// followFor is how long a store goes on following the log after its last hand-over.
	followFor = time.Minute
)

// leader returns the address of the store that writes most of the shard's claims, or nothing if this store should write itself.
func (l *Log) leader() string {
	owner, claims := l.pace.most(l.now)
	own := l.pace.claims[self] + float64(len(l.pending))
	if owner == self || claims <= leaderShare*own {
		return ""
	}
	return l.addresses[owner]
}

// handOver gives what is to be written to the shard's leader, which appends it with its own. A second writer would cost writes of
// its own and conflicts. Nothing is handed over while an own write or a lost hand-over is open.
func (l *Log) handOver() {
	for l.located && l.fault == nil && l.write == nil && len(l.lost) == 0 && l.writable() && !l.now.Before(l.handAfter) {
		to := l.leader()
		if to == "" || !l.handOne(to) {
			return
		}
	}
}

// handOne hands one batch over, or returns false if there is nothing in it.
func (l *Log) handOne(to string) bool {
	p := &part{batch: batch{Format: formatVersion, Writer: l.writer, Sequence: l.sequence + 1}, handed: true}
	// A quarter of a segment leaves the leader room for its own batch in the same write.
	room := max(l.cfg.SegmentBytes/4-batchOverhead, recordOverhead)
	// A body may be larger than that; it then goes alone.
	if len(l.releases) == 0 && len(l.finishes) > 0 {
		room = max(room, l.finishes[0].size())
	}
	room = l.takeReleases(p, room)
	room = l.takeFinishes(p, room)
	l.takeClaims(p, room)
	encoded, err := encodeBatch(&p.batch)
	if len(p.batch.Records) == 0 || err != nil {
		l.takeBack(p)
		return false
	}
	l.sequence++
	l.lastHand++
	p.op = l.lastHand
	l.handed = append(l.handed, p)
	l.pace.saw(l.now, self, len(p.claims))
	l.followUntil = l.now.Add(followFor)
	l.emit(HandOver{Op: p.op, To: to, Batch: encoded})
	return true
}

// handOverResult takes the answer to a hand-over, unless the batch was found in the log meanwhile.
func (l *Log) handOverResult(ev HandOverResult) {
	p := l.takeHanded(ev.Op)
	switch {
	case p == nil:
	case ev.Err == nil && len(ev.Appended.Owned) == len(p.claims):
		l.appended(p, ev.Appended)
	case errors.Is(ev.Err, services.ErrUnavailable):
		l.handAfter = l.now.Add(l.cfg.HandOverRetry)
		l.takeBack(p)
		l.placeAll()
	default:
		// The other store may append the batch as long as it is not in the log. This store reads, and appends it with the
		// same sequence number if it is not there; whichever write comes second fails by its revision.
		l.handAfter = l.now.Add(l.cfg.HandOverRetry)
		l.lost = append(l.lost, p)
		l.synced = false
	}
}

func (l *Log) takeHanded(op uint64) *part {
	for i, p := range l.handed {
		if p.op == op {
			l.handed = append(l.handed[:i:i], l.handed[i+1:]...)
			return p
		}
	}
	return nil
}

// appended decides the claims of a batch that another store has appended. That store had seen the whole log before the batch, so
// what it says of a key holds even if this store has read less.
func (l *Log) appended(p *part, a Appended) {
	p.batch.TimeMS = a.TimeMS
	for i, w := range p.claims {
		if !a.Owned[i] {
			l.taken(w)
			continue
		}
		r := record{Kind: recordClaim, Key: w.key, Fingerprint: w.fingerprint}
		l.decide(w, l.index.own(&r, &p.batch))
	}
}

// taken queues a claim of a key that another claim owns, according to a part of the log that this store has not read yet.
func (l *Log) taken(w *waiter) {
	w.after, w.taken = l.lastOp, true
	l.place(w)
}

// takeLost puts lost hand-overs into a write.
func (l *Log) takeLost(w *pendingWrite, room int) int {
	for len(l.lost) > 0 && (len(w.parts) == 0 || l.lost[0].batch.size() <= room) {
		p := l.lost[0]
		l.lost = l.lost[1:]
		room -= p.batch.size()
		w.parts = append(w.parts, p)
	}
	return room
}

// following says whether the store reads the log only in order to keep up with it.
func (l *Log) following() bool { return l.now.Before(l.followUntil) && !l.closing && l.fault == nil }

// followAt is when a following store reads next.
func (l *Log) followAt() time.Time { return l.freshAt.Add(l.cfg.FollowInterval) }
