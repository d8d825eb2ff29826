package bufferbudget

import (
	"math"
	"time"
)

// ledger decides who may reserve bytes and who has to give some back. It does no I/O and has no clock and no locks.
type ledger struct {
	limit  int64
	total  int64
	byUse  [uses]int64
	owners [uses]map[string]*owner
	// promised is the number of bytes that evicted reservations still hold, promised to the reservations that wait for them.
	promised int64
	// waiting is the number of reservations that wait for promised bytes.
	waiting int
}

// wait records that a reservation begins to wait for promised bytes, or ends to if n is -1.
func (l *ledger) wait(r *Reservation, n int) {
	l.waiting += n
	l.owners[r.use][r.owner].waiting += n
}

// owner is the sum of the reservations of one team, caller or upstream for one use.
type owner struct {
	bytes int64
	// promised is the part of bytes that evicted reservations hold.
	promised int64
	// waiting is the number of its reservations that wait for promised bytes.
	waiting      int
	reservations map[*Reservation]struct{}
}

// decision is the answer to a request for more bytes.
type decision uint8

const (
	// granted means that the bytes are reserved.
	granted decision = iota
	// refused means that there is no room, and that none is being made.
	refused
	// pending means that evicted reservations will make room.
	pending
)

func newLedger(limit int64) *ledger {
	l := &ledger{limit: limit}
	for i := range l.owners {
		l.owners[i] = make(map[string]*owner)
	}
	return l
}

// maxUseShare is the largest part of the limit for one use. The rest is left for the others, so that bodies of requests that wait for their answers
// leave room for the answers.
const maxUseShare = 0.75

// maxUpstreamShare is the largest part of the room for answers that one upstream may take: its answers are never evicted.
const maxUpstreamShare = 0.5

// capacity returns how many bytes all reservations for a use may hold together now.
func (l *ledger) capacity(u Use) int64 {
	return min(int64(maxUseShare*float64(l.limit)), l.limit-(l.total-l.byUse[u]))
}

// fairShare returns the part of the capacity to which each owner that holds or wants bytes is entitled.
func (l *ledger) fairShare(r *Reservation) int64 {
	active := 1
	for name, o := range l.owners[r.use] {
		if (o.bytes > 0 || o.waiting > 0) && name != r.owner {
			active++
		}
	}
	return l.capacity(r.use) / int64(active)
}

// open adds a reservation without bytes.
func (l *ledger) open(r *Reservation) {
	o := l.owners[r.use][r.owner]
	if o == nil {
		o = &owner{reservations: make(map[*Reservation]struct{})}
		l.owners[r.use][r.owner] = o
	}
	o.reservations[r] = struct{}{}
}

// stalledAfter is the time without growth after which a reservation may be evicted whatever its owner holds. A body that arrives at 32 KB a second
// grows more often.
const stalledAfter = 2 * time.Second

// reserve adds n bytes to a reservation if there is room. Otherwise an owner within its fair share gets room from those that exceed theirs: the
// returned reservations are to be evicted. An owner that exceeds its share grows only while nobody waits for room. If that makes no room, reservations
// that have stalled are evicted: of any owner for one within its share, else of the same owner.
func (l *ledger) reserve(now time.Time, r *Reservation, n int64) (decision, []*Reservation) {
	if r.evicted || n > l.limit {
		return refused, nil
	}
	o := l.owners[r.use][r.owner]
	free := l.capacity(r.use) - l.byUse[r.use]
	if r.use == Answering && float64(o.bytes+n) > maxUpstreamShare*float64(l.capacity(r.use)) {
		return refused, nil
	}
	fair := o.bytes+n <= l.fairShare(r)
	if n <= free && (fair || l.waiting == 0) {
		r.progress = now
		l.add(r, o, n)
		return granted, nil
	}
	if r.use != Receiving || !fair && n <= free {
		return refused, nil
	}
	missing := n - free - l.promised
	if missing <= 0 {
		return pending, nil
	}
	if fair {
		share := l.fairShare(r)
		if victims := l.victims(missing, func() *Reservation { return l.overShare(r.use, share) }); victims != nil {
			return pending, victims
		}
	}
	if victims := l.victims(missing, func() *Reservation { return l.stalled(r, fair, now.Add(-stalledAfter)) }); victims != nil {
		return pending, victims
	}
	return refused, nil
}

func (l *ledger) add(r *Reservation, o *owner, n int64) {
	r.bytes += n
	o.bytes += n
	l.byUse[r.use] += n
	l.total += n
}

// victims marks reservations as evicted that next returns one after the other, until they hold at least the missing bytes. It returns nil if there
// are not enough.
func (l *ledger) victims(missing int64, next func() *Reservation) []*Reservation {
	var chosen []*Reservation
	for missing > 0 {
		victim := next()
		if victim == nil {
			for _, c := range chosen {
				l.unmark(c)
			}
			return nil
		}
		l.mark(victim, l.owners[victim.use][victim.owner])
		chosen = append(chosen, victim)
		missing -= victim.bytes
	}
	return chosen
}

// overShare returns the largest reservation of the owner that holds most beyond a share, or nil.
func (l *ledger) overShare(u Use, share int64) *Reservation {
	most, victim := int64(math.MinInt64), (*Reservation)(nil)
	for _, o := range l.owners[u] {
		held := o.bytes - o.promised
		if held <= share || held <= most {
			continue
		}
		if v := o.largest(func(*Reservation) bool { return true }); v != nil {
			most, victim = held, v
		}
	}
	return victim
}

// stalled returns the largest reservation besides r that has not grown since a time, of any owner or of that of r, or nil.
func (l *ledger) stalled(r *Reservation, ofAny bool, since time.Time) *Reservation {
	var largest *Reservation
	for name, o := range l.owners[r.use] {
		if !ofAny && name != r.owner {
			continue
		}
		v := o.largest(func(v *Reservation) bool { return v != r && v.progress.Before(since) })
		if v != nil && (largest == nil || v.bytes > largest.bytes) {
			largest = v
		}
	}
	return largest
}

// largest returns the largest reservation that may be evicted and for which condition holds, or nil.
func (o *owner) largest(condition func(*Reservation) bool) *Reservation {
	var largest *Reservation
	for r := range o.reservations {
		evictable := r.evict != nil && !r.evicted && r.bytes > 0 && condition(r)
		if evictable && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	return largest
}

func (l *ledger) mark(r *Reservation, o *owner) {
	r.evicted = true
	o.promised += r.bytes
	l.promised += r.bytes
}

func (l *ledger) unmark(r *Reservation) {
	r.evicted = false
	l.owners[r.use][r.owner].promised -= r.bytes
	l.promised -= r.bytes
}

// assign moves a reservation to another owner.
func (l *ledger) assign(r *Reservation, name string) {
	bytes, evicted := r.bytes, r.evicted
	l.close(r)
	r.owner = name
	l.open(r)
	o := l.owners[r.use][name]
	l.add(r, o, bytes)
	if evicted {
		l.mark(r, o)
	}
}

// close removes a reservation with its bytes.
func (l *ledger) close(r *Reservation) {
	o := l.owners[r.use][r.owner]
	if r.evicted {
		l.unmark(r)
	}
	l.add(r, o, -r.bytes)
	delete(o.reservations, r)
	if len(o.reservations) == 0 {
		delete(l.owners[r.use], r.owner)
	}
}
