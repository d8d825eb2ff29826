package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// errNotReady means that the store was asked to append another store's batch and has not read the shard yet.
var errNotReady = fmt.Errorf("%w: this store has not read the shard", services.ErrUnavailable)

// errMayBeInLog means that another store's batch may be in the log already.
var errMayBeInLog = errors.New("a batch with this sequence number may be in the log")

// sequenceWindow tracks which batches of one writer are in the log, for the latest sequence numbers. Batches that the writer
// appends and batches that it forwards may arrive slightly out of order.
type sequenceWindow struct {
	last uint64
	// Bit i of window is set if batch last-i is in the log.
	window uint64
	// highest is the highest sequence number seen in the log or in a forwarded batch.
	highest uint64
}

// windowBits is the number of sequence numbers that a window covers.
const windowBits = 64

// add records a batch in the log.
func (s *sequenceWindow) add(sequence uint64) {
	s.highest = max(s.highest, sequence)
	switch {
	case sequence > s.last:
		s.window = s.window<<min(sequence-s.last, windowBits) | 1
		s.last = sequence
	case s.last-sequence < windowBits:
		s.window |= 1 << (s.last - sequence)
	}
}

// countSkipped records a forwarded batch and returns how many sequence numbers its writer has used for other batches since the
// last one. Most of these were writes that conflicted.
func (s *sequenceWindow) countSkipped(sequence uint64) uint64 {
	if sequence <= s.highest {
		return 0
	}
	n := sequence - s.highest - 1
	s.highest = sequence
	return n
}

// missing reports whether a batch is certainly not in the part of the log that was read.
func (s *sequenceWindow) missing(sequence uint64) bool {
	return sequence > s.last || s.last-sequence < windowBits && s.window>>(s.last-sequence)&1 == 0
}

// queueReceived queues another store's batch for the next write.
func (l *Log) queueReceived(ev BatchReceived) {
	batches, err := decodeBatches(ev.Batch)
	switch {
	case err != nil || len(batches) != 1 || batches[0].Writer == l.writer || batches[0].size() > l.cfg.SegmentBytes:
		l.emit(BatchResult{ID: ev.ID, Err: fmt.Errorf("%w: expected exactly one valid batch of another store", services.ErrUnavailable)})
	case l.closing || l.fatalErr != nil || !l.located || !l.synced || l.refusing():
		l.emit(BatchResult{ID: ev.ID, Err: errNotReady})
	default:
		skipped := l.sequenceWindowOf(batches[0].Writer).countSkipped(batches[0].Sequence)
		l.delayNextWrite(min(skipped, maxDelayWrites))
		// A store that forwards its batches makes no writes of its own, so it gets no share of the rate.
		l.pacer.dropWriter(l.index.ownerNumber(batches[0].Writer))
		l.received = append(l.received, &pendingBatch{batch: batches[0], receivedID: ev.ID, deadline: l.now.Add(l.cfg.ForwardTimeout)})
	}
}

// maxDelayWrites limits how many writes of another store delayNextWrite makes up for at once.
const maxDelayWrites = 2

// delayNextWrite delays the next write to make up for writes of other stores. The rate limit applies to the shard as a whole,
// and the store that makes most of its writes loses the least by waiting.
func (l *Log) delayNextWrite(writes uint64) {
	if most, _ := l.pacer.busiestWriter(l.now); most == selfOwner {
		l.nextWriteAt = l.nextWriteAt.Add(time.Duration(writes) * l.pacer.baseInterval)
	}
}

// addReceived adds other stores' batches to a write. It leaves out a batch that may be in the log already: without a reply in
// time, the store that owns it appends it itself. A write that takes effect after this check makes this store's write fail with
// a conflict.
func (l *Log) addReceived(w *pendingWrite, space int) int {
	var remaining []*pendingBatch
	for _, p := range l.received {
		size := p.batch.size()
		switch {
		case l.now.After(p.deadline) || !l.sequenceWindowOf(p.batch.Writer).missing(p.batch.Sequence) || w.contains(&p.batch):
			l.emit(BatchResult{ID: p.receivedID, Err: errMayBeInLog})
		case size > space && len(w.batches) > 0:
			remaining = append(remaining, p)
		default:
			space -= size
			w.batches = append(w.batches, p)
		}
	}
	l.received = remaining
	return space
}

func (w *pendingWrite) contains(b *batch) bool { return findPending(w.batches, b) != nil }

func (l *Log) sequenceWindowOf(writer WriterID) *sequenceWindow {
	owner := l.index.ownerNumber(writer)
	s := l.sequenceWindows[owner]
	if s == nil {
		s = &sequenceWindow{}
		l.sequenceWindows[owner] = s
	}
	return s
}

// refuseReceived refuses the received batches that are in no write.
func (l *Log) refuseReceived(err error) {
	for _, p := range l.received {
		l.emit(BatchResult{ID: p.receivedID, Err: fmt.Errorf("%w: %v", services.ErrUnavailable, err)})
	}
	l.received = nil
}

// addAddress adds the store's address to its first batch in a segment, where stores that read the log find it.
func (l *Log) addAddress(p *pendingBatch, space int) int {
	if l.cfg.Address == "" || l.nextAddressSegment == l.segment+1 {
		return space
	}
	r := addressRecord(l.cfg.Address)
	p.batch.Records = append(p.batch.Records, r)
	return space - r.size()
}

// setAddress records an address found in the log.
func (l *Log) setAddress(owner uint32, address string) {
	if owner == selfOwner {
		l.nextAddressSegment = l.segment + 1
		return
	}
	l.addresses[owner] = address
}

// findPending returns the pending batch with the same writer and sequence number as b, or nil.
func findPending(parts []*pendingBatch, b *batch) *pendingBatch {
	for _, p := range parts {
		if p.batch.Sequence == b.Sequence && p.batch.Writer == b.Writer {
			return p
		}
	}
	return nil
}
