package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// errNotReady means that the store was asked to append another store's batch and has not read the shard yet.
var errNotReady = fmt.Errorf("%w: this store has not read the shard", services.ErrUnavailable)

// errPassed means that another store's batch may be in the log already.
var errPassed = errors.New("a batch with this sequence number may be in the log")

// sequences tells which batches of one writer are in the log, as a window over the latest sequence numbers. Batches that are handed
// over on several ways come a little out of order.
type sequences struct {
	last uint64
	// window has bit i set if last-i is in the log.
	window uint64
	// counted is the highest number that was seen in the log or in a batch that was handed over.
	counted uint64
}

// windowBits is the number of sequence numbers in a window.
const windowBits = 64

// saw notes a batch in the log.
func (s *sequences) saw(sequence uint64) {
	s.counted = max(s.counted, sequence)
	switch {
	case sequence > s.last:
		s.window = s.window<<min(sequence-s.last, windowBits) | 1
		s.last = sequence
	case s.last-sequence < windowBits:
		s.window |= 1 << (s.last - sequence)
	}
}

// skipped notes a batch that was handed over and returns how many numbers its writer has used for other batches since the last one:
// most of them writes that conflicted.
func (s *sequences) skipped(sequence uint64) uint64 {
	if sequence <= s.counted {
		return 0
	}
	n := sequence - s.counted - 1
	s.counted = sequence
	return n
}

// missing says whether a batch is certainly not in the part of the log that was seen.
func (s *sequences) missing(sequence uint64) bool {
	return sequence > s.last || s.last-sequence < windowBits && s.window>>(s.last-sequence)&1 == 0
}

// receive queues another store's batch for the next write.
func (l *Log) receive(ev BatchReceived) {
	batches, err := decodeBatches(ev.Batch)
	switch {
	case err != nil || len(batches) != 1 || batches[0].Writer == l.writer || batches[0].size() > l.cfg.SegmentBytes:
		l.emit(BatchDone{ID: ev.ID, Err: fmt.Errorf("%w: not one batch of another store", services.ErrUnavailable)})
	case l.closing || l.fault != nil || !l.located || !l.synced || l.refusing():
		l.emit(BatchDone{ID: ev.ID, Err: errNotReady})
	default:
		skipped := l.sequencesOf(batches[0].Writer).skipped(batches[0].Sequence)
		l.yield(min(skipped, maxYield))
		// A store that hands its batches over makes no writes that the rate is to be shared with.
		l.pace.forget(l.index.ownerOf(batches[0].Writer))
		l.received = append(l.received, &part{batch: batches[0], received: ev.ID, until: l.now.Add(l.cfg.HandOverTimeout)})
	}
}

// maxYield bounds what is made up for at once, in writes.
const maxYield = 2

// yield delays the next write for the writes of other stores. The rate is the shard's, and the store that writes most of it is the one
// that can wait.
func (l *Log) yield(writes uint64) {
	if most, _ := l.pace.most(l.now); most == self {
		l.nextWrite = l.nextWrite.Add(time.Duration(writes) * l.pace.base)
	}
}

// takeReceived puts other stores' batches into a write. One that may be in the log already is left to its store: it appends a batch
// itself when it gets no answer in time. Between this look at the log and the write no other write can come, by its revision.
func (l *Log) takeReceived(w *pendingWrite, room int) int {
	var left []*part
	for _, p := range l.received {
		size := p.batch.size()
		switch {
		case l.now.After(p.until) || !l.sequencesOf(p.batch.Writer).missing(p.batch.Sequence) || w.has(&p.batch):
			l.emit(BatchDone{ID: p.received, Err: errPassed})
		case size > room && len(w.parts) > 0:
			left = append(left, p)
		default:
			room -= size
			w.parts = append(w.parts, p)
		}
	}
	l.received = left
	return room
}

func (w *pendingWrite) has(b *batch) bool { return findPart(w.parts, b) != nil }

func (l *Log) sequencesOf(writer WriterID) *sequences {
	owner := l.index.ownerOf(writer)
	s := l.sequences[owner]
	if s == nil {
		s = &sequences{}
		l.sequences[owner] = s
	}
	return s
}

// refuseReceived refuses the batches that are in no write.
func (l *Log) refuseReceived(err error) {
	for _, p := range l.received {
		l.emit(BatchDone{ID: p.received, Err: fmt.Errorf("%w: %v", services.ErrUnavailable, err)})
	}
	l.received = nil
}

// takeAddress puts the store's address into its first batch in a segment, where others that follow the log find it.
func (l *Log) takeAddress(p *part, room int) int {
	if l.cfg.Address == "" || l.addressIn == l.segment+1 {
		return room
	}
	r := addressRecord(l.cfg.Address)
	p.batch.Records = append(p.batch.Records, r)
	return room - r.size()
}

// noteAddress takes an address in the log.
func (l *Log) noteAddress(owner uint32, address string) {
	if owner == self {
		l.addressIn = l.segment + 1
		return
	}
	l.addresses[owner] = address
}

// findPart returns the part with a batch of the same writer and sequence number, or nil.
func findPart(parts []*part, b *batch) *part {
	for _, p := range parts {
		if p.batch.Sequence == b.Sequence && p.batch.Writer == b.Writer {
			return p
		}
	}
	return nil
}
