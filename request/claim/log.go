package claim

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jayridge/jayridge/process/services"
)

// Reasons for which a claim is unavailable, besides the errors of the key-value service.
var (
	// ErrClosed means that the store is closed.
	ErrClosed = errors.New("claim store is closed")
	// ErrCanceled means that the claim's context ended before the claim was decided.
	ErrCanceled = errors.New("claim ended before it was decided")
	// ErrTooLate means that the claim's write was settled only after the retention.
	ErrTooLate = errors.New("claim was decided after the retention")
)

// patience is the number of calls in a row that must fail before waiting claims are refused. The first failure may be one
// broken connection.
const patience = 2

// Log is the state machine of one shard in one store. It has at most one Read or Write in progress.
type Log struct {
	cfg    Config
	writer WriterID
	random *rand.Rand
	out    []Effect

	// now is the latest time seen; it never decreases.
	now time.Time

	// The position: every batch before active's end in the log has been applied to index.
	segment  uint64
	revision services.Revision
	active   []byte
	timeMS   int64
	index    index

	// started says that a claim has arrived; located that the first segment to read is known, which search finds; synced that no
	// later batch than the position is known to exist.
	started bool
	located bool
	search  *search
	synced  bool
	fault   error

	// lastOp numbers reads and writes; fresh is the last one that reached the end of the log.
	lastOp    uint64
	fresh     uint64
	op        uint64
	probing   uint64
	flight    flight
	write     *pendingWrite
	sequence  uint64
	nextWrite time.Time
	// atOnce lets the write after a conflict go ahead of nextWrite: a store with few claims would seldom get one in if each
	// attempt had to wait for its turn. nextWrite still moves on by an interval, so the rate holds in the long run.
	atOnce bool
	pace   pace
	// conflicts counts the writes in a row that conflicted.
	conflicts int

	// handed are the own batches that other stores were asked to append, lost those of which it is not known whether they have.
	// No own batch with new records of the same calls exists beside them.
	handed   []*part
	lost     []*part
	lastHand uint64
	// handAfter is when batches may be handed over again after a failure.
	handAfter   time.Time
	followUntil time.Time
	// received are other stores' batches for the next write.
	received  []*part
	sequences map[uint32]*sequences
	// addresses are those of other writers, by owner number. addressIn is one more than the last segment that has the own address.
	addresses map[uint32]string
	addressIn uint64

	// freshAt is when fresh was set.
	freshAt  time.Time
	retryAt  time.Time
	failures int
	lastErr  error

	waiters map[uint64]*waiter
	pending []*waiter
	stale   []*waiter
	// held counts the grants of each key that are not finished; more than one is possible only across the retention.
	held      map[Key]int
	releases  []record
	finishes  []record
	finishDue time.Time
	closing   bool

	bodies  *simplelru.LRU[Key, []byte]
	fetches map[uint64][]*waiter
}

// flight is what kind of call is in progress.
type flight uint8

const (
	flightNone flight = iota
	flightRead
	flightProbe
	flightWrite
)

// NewLog returns the state machine of one shard. writer is unique to this run of the process. random draws the waits after
// failures; the log is its only user.
func NewLog(cfg Config, writer WriterID, random *rand.Rand) (*Log, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	bodies, err := simplelru.NewLRU[Key, []byte](cfg.CachedBodies, nil)
	if err != nil {
		return nil, err
	}
	return &Log{
		cfg:     cfg,
		writer:  writer,
		random:  random,
		index:   newIndex(cfg.Retention, writer),
		pace:    newPace(cfg.writeInterval()),
		waiters: map[uint64]*waiter{},
		held:    map[Key]int{},
		bodies:  bodies,
		fetches: map[uint64][]*waiter{},

		sequences: map[uint32]*sequences{},
		addresses: map[uint32]string{},
	}, nil
}

// Step takes an event and returns what is to be done about it. The effects are valid until the next call.
func (l *Log) Step(now time.Time, ev Event) []Effect {
	l.out = l.out[:0]
	if now.After(l.now) {
		l.now = now
	}
	switch ev := ev.(type) {
	case ClaimSubmitted:
		l.submit(ev)
	case ClaimCanceled:
		l.cancel(ev.ID)
	case FinishSubmitted:
		l.finish(ev)
	case ReadResult:
		l.readResult(ev)
	case WriteResult:
		l.writeResult(ev)
	case BodyResult:
		l.bodyResult(ev)
	case HandOverResult:
		l.handOverResult(ev)
	case BatchReceived:
		l.receive(ev)
	case Closing:
		l.close()
	case Tick:
	}
	// No batch that is still to be applied is older than the log at the position. This store's clock does not tell: another store
	// with a slower one may append a batch of this store.
	l.index.expire(l.timeMS)
	l.advance()
	return l.out
}

// Idle says whether the log has nothing left to write, or can write nothing because its segments are not readable.
func (l *Log) Idle() bool {
	return l.fault != nil || l.flight == flightNone && l.write == nil &&
		len(l.releases)+len(l.finishes)+len(l.handed)+len(l.lost)+len(l.received) == 0
}

// Settled says whether no write is in doubt.
func (l *Log) Settled() bool { return l.write == nil || !l.write.lost }

func (l *Log) emit(e Effect) { l.out = append(l.out, e) }

// nextMS is the earliest time of the batch that the log would write next.
func (l *Log) nextMS() int64 { return max(l.now.UnixMilli(), l.timeMS) }

// advance starts the next call to the key-value service if one is wanted and allowed.
func (l *Log) advance() {
	l.handOver()
	if l.flight != flightNone {
		return
	}
	if !l.wanted() {
		if l.following() {
			l.emit(Wake{At: l.followAt()})
		}
		return
	}
	if l.now.Before(l.retryAt) {
		l.emit(Wake{At: l.retryAt})
		return
	}
	switch {
	case l.write != nil && !l.write.resend:
		l.startRead()
	case l.write != nil:
		l.paced(l.sendWrite)
	case !l.synced || l.following() && !l.now.Before(l.followAt()):
		l.startRead()
	case l.writable() && l.overtaken():
		l.startRead()
	case l.writable():
		l.paced(l.startWrite)
	case len(l.stale) > 0:
		l.startRead()
	default:
		l.emit(Wake{At: l.finishDue})
	}
}

// wanted says whether there is anything to call the service for. Reading a shard goes on once it has begun, even if the claims
// that began it have given up, so that a long log is read in the end.
func (l *Log) wanted() bool {
	return l.fault == nil && (l.started && !l.synced && !l.closing || l.write != nil ||
		l.following() && !l.now.Before(l.followAt()) ||
		len(l.pending)+len(l.stale)+len(l.releases)+len(l.finishes)+len(l.lost)+len(l.received) > 0)
}

// writable says whether a batch should be written as soon as the rate allows. Responses alone wait for FlushInterval.
func (l *Log) writable() bool {
	return len(l.pending)+len(l.releases)+len(l.lost)+len(l.received) > 0 ||
		len(l.finishes) > 0 && (l.closing || !l.now.Before(l.finishDue))
}

// paced runs start if the rate allows a write now, else asks to be woken when it does.
func (l *Log) paced(start func()) {
	if !l.mayWrite() {
		l.emit(Wake{At: l.nextWrite})
		return
	}
	interval := l.pace.interval(l.now, len(l.pending))
	from := l.now
	if l.atOnce && l.nextWrite.After(from) {
		from = l.nextWrite
	}
	l.nextWrite = from.Add(interval)
	if limit := l.now.Add(paceLongest * l.pace.base); l.nextWrite.After(limit) {
		l.nextWrite = limit
	}
	l.atOnce = false
	start()
}

func (l *Log) mayWrite() bool { return l.atOnce || !l.now.Before(l.nextWrite) }

// overtaken says whether another store has probably written since the log was last read, when the rate allows a write. A read
// then costs less than a write that conflicts.
func (l *Log) overtaken() bool {
	since := l.now.Sub(l.freshAt)
	return l.mayWrite() && since >= l.pace.base && l.pace.expected(l.now, since) >= 0.5
}

func (l *Log) startFlight(kind flight) uint64 {
	l.lastOp++
	l.op = l.lastOp
	l.flight = kind
	return l.op
}

func (l *Log) close() {
	l.closing = true
	l.endAll(ErrClosed)
	l.refuseReceived(ErrClosed)
}
