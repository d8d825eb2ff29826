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

// refuseAfterFailures is the number of consecutive failed calls after which waiting claims are refused. A single failure may
// be one broken connection.
const refuseAfterFailures = 2

// Log is the state machine of one shard in one store. It has at most one Read or Write in flight.
type Log struct {
	cfg     Config
	writer  WriterID
	random  *rand.Rand
	effects []Effect

	// now is the latest time seen; it never decreases.
	now time.Time

	// The read position: index reflects every batch before segment and the batches of segment that are in active.
	segment  uint64
	revision services.Revision
	active   []byte
	timeMS   int64
	index    index

	// started is set once a claim has arrived, located once the first segment to read is known (search finds it), and synced
	// while no batch after the read position is known to exist.
	started bool
	located bool
	search  *search
	synced  bool
	// fatalErr is set once a segment could not be read; all claims are refused from then on.
	fatalErr error

	// lastOp numbers reads and writes. lastSyncOp is the last one that reached the end of the log.
	lastOp       uint64
	lastSyncOp   uint64
	currentOp    uint64
	probeSegment uint64
	inFlight     callKind
	write        *pendingWrite
	sequence     uint64
	nextWriteAt  time.Time
	// retryImmediately lets the write after a conflict start before nextWriteAt. A store with few claims would rarely succeed
	// if each attempt had to wait until then. nextWriteAt still advances by an interval, so the long-run rate is kept.
	retryImmediately bool
	pacer            pacer
	// conflicts counts consecutive writes that conflicted.
	conflicts int

	// forwarded holds this store's batches that were forwarded to another store and have no reply yet, unresolved those for
	// which it is unknown whether they were appended. The records in them are in no other batch.
	forwarded     []*pendingBatch
	unresolved    []*pendingBatch
	lastForwardOp uint64
	// forwardAllowedAt is when batches may be forwarded again after a failure.
	forwardAllowedAt time.Time
	followUntil      time.Time
	// received holds batches forwarded by other stores, to be appended by the next write.
	received        []*pendingBatch
	sequenceWindows map[uint32]*sequenceWindow
	// addresses holds the addresses of other writers by owner number. nextAddressSegment is one more than the last segment
	// that has the store's own address.
	addresses          map[uint32]string
	nextAddressSegment uint64

	// lastSyncAt is when lastSyncOp was set.
	lastSyncAt time.Time
	retryAt    time.Time
	failures   int
	lastErr    error

	waiters      map[uint64]*waiter
	pending      []*waiter
	awaitingRead []*waiter
	// openGrants counts the grants of each key that Finish was not called for yet. More than one is possible only if the
	// retention passed between them.
	openGrants    map[Key]int
	releases      []record
	finishes      []record
	finishFlushAt time.Time
	closing       bool

	bodyCache   *simplelru.LRU[Key, []byte]
	bodyWaiters map[uint64][]*waiter
}

// callKind is the kind of the call in flight.
type callKind uint8

const (
	callNone callKind = iota
	callRead
	callProbe
	callWrite
)

// NewLog returns the state machine of one shard. writer must be unique to this run of the process. random is the source of
// jitter for the waits after failures and conflicts, and must not be used elsewhere.
func NewLog(cfg Config, writer WriterID, random *rand.Rand) (*Log, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	bodies, err := simplelru.NewLRU[Key, []byte](cfg.CachedBodies, nil)
	if err != nil {
		return nil, err
	}
	return &Log{
		cfg:         cfg,
		writer:      writer,
		random:      random,
		index:       newIndex(cfg.Retention, writer),
		pacer:       newPacer(cfg.writeInterval()),
		waiters:     map[uint64]*waiter{},
		openGrants:  map[Key]int{},
		bodyCache:   bodies,
		bodyWaiters: map[uint64][]*waiter{},

		sequenceWindows: map[uint32]*sequenceWindow{},
		addresses:       map[uint32]string{},
	}, nil
}

// Step handles an event and returns the effects to carry out. They are valid until the next call.
func (l *Log) Step(now time.Time, ev Event) []Effect {
	l.effects = l.effects[:0]
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
		l.handleReadResult(ev)
	case WriteResult:
		l.handleWriteResult(ev)
	case BodyResult:
		l.handleBodyResult(ev)
	case ForwardResult:
		l.handleForwardResult(ev)
	case BatchReceived:
		l.queueReceived(ev)
	case Closing:
		l.close()
	case Tick:
	}
	// Expires by the log's time at the read position: batches that are still to be applied are not older than that. The
	// store's own clock would be wrong here, because another store with a slower clock may append a batch of this store.
	l.index.expire(l.timeMS)
	l.advance()
	return l.effects
}

// Idle reports whether the log has nothing left to write, or can write nothing because a segment is unreadable.
func (l *Log) Idle() bool {
	return l.fatalErr != nil || l.inFlight == callNone && l.write == nil &&
		len(l.releases)+len(l.finishes)+len(l.forwarded)+len(l.unresolved)+len(l.received) == 0
}

// Settled reports whether no write has an unknown outcome.
func (l *Log) Settled() bool { return l.write == nil || !l.write.uncertain }

func (l *Log) emit(e Effect) { l.effects = append(l.effects, e) }

// nextBatchTimeMS is the earliest timestamp of the next batch that the log would write.
func (l *Log) nextBatchTimeMS() int64 { return max(l.now.UnixMilli(), l.timeMS) }

// advance starts the next call to the key-value service if one is needed and allowed.
func (l *Log) advance() {
	l.forwardBatches()
	if l.inFlight != callNone {
		return
	}
	if !l.hasWork() {
		if l.following() {
			l.emit(Wake{At: l.nextFollowRead()})
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
		l.rateLimited(l.sendWrite)
	case !l.synced || l.following() && !l.now.Before(l.nextFollowRead()):
		l.startRead()
	case l.writeDue() && l.probablyBehind():
		l.startRead()
	case l.writeDue():
		l.rateLimited(l.startWrite)
	case len(l.awaitingRead) > 0:
		l.startRead()
	default:
		l.emit(Wake{At: l.finishFlushAt})
	}
}

// hasWork reports whether a call to the service is needed. Reading a shard continues once begun, even if the claims that
// started it have ended, so that a long log is eventually read.
func (l *Log) hasWork() bool {
	return l.fatalErr == nil && (l.started && !l.synced && !l.closing || l.write != nil ||
		l.following() && !l.now.Before(l.nextFollowRead()) ||
		len(l.pending)+len(l.awaitingRead)+len(l.releases)+len(l.finishes)+len(l.unresolved)+len(l.received) > 0)
}

// writeDue reports whether a batch should be written as soon as the rate allows. Responses alone wait for FlushInterval.
func (l *Log) writeDue() bool {
	return len(l.pending)+len(l.releases)+len(l.unresolved)+len(l.received) > 0 ||
		len(l.finishes) > 0 && (l.closing || !l.now.Before(l.finishFlushAt))
}

// rateLimited runs start if the rate allows a write now, and otherwise schedules a Wake for when it does.
func (l *Log) rateLimited(start func()) {
	if !l.writeAllowed() {
		l.emit(Wake{At: l.nextWriteAt})
		return
	}
	interval := l.pacer.interval(l.now, len(l.pending))
	from := l.now
	if l.retryImmediately && l.nextWriteAt.After(from) {
		from = l.nextWriteAt
	}
	l.nextWriteAt = from.Add(interval)
	if limit := l.now.Add(maxIntervalFactor * l.pacer.baseInterval); l.nextWriteAt.After(limit) {
		l.nextWriteAt = limit
	}
	l.retryImmediately = false
	start()
}

func (l *Log) writeAllowed() bool { return l.retryImmediately || !l.now.Before(l.nextWriteAt) }

// probablyBehind reports whether a write is allowed now and another store has probably written since the last read. A read is
// then cheaper than a write that conflicts.
func (l *Log) probablyBehind() bool {
	since := l.now.Sub(l.lastSyncAt)
	return l.writeAllowed() && since >= l.pacer.baseInterval && l.pacer.expectedClaims(l.now, since) >= 0.5
}

func (l *Log) startCall(kind callKind) uint64 {
	l.lastOp++
	l.currentOp = l.lastOp
	l.inFlight = kind
	return l.currentOp
}

func (l *Log) close() {
	l.closing = true
	l.endAllClaims(ErrClosed)
	l.refuseReceived(ErrClosed)
}
