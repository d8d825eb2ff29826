package claim

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// self is the owner number of the store's own writer id.
const self = 0

// notWritten is the segment of a response that is not yet in the log.
const notWritten = ^uint32(0)

// expiryBuckets is the number of groups in which keys are dropped; a key is kept up to 1/expiryBuckets longer than needed.
const expiryBuckets = 16

// entry is the state of a claimed key.
type entry struct {
	fingerprint uint64
	// atMS is the time of the last batch that claimed the key, with or without success.
	atMS int64
	// sequence numbers the batch that claimed the key among those of owner.
	sequence uint64
	// owner numbers the writer that claimed the key.
	owner uint32
	// segment holds the response.
	segment uint32
	status  uint16
	code    result.Code

	finished  bool
	truncated bool
	// hasBody says that the response has a body that is kept.
	hasBody bool
	// abandoned says that the store itself owns the key, was not and will not be granted it, and will release it.
	abandoned bool
	// ambiguous says that this store granted the key while a call from an earlier grant, older than the retention, was not
	// finished. A response cannot be told to be of the one or the other, so none is stored.
	ambiguous bool
}

// index is what a log says about each key, up to some position in it.
type index struct {
	retentionMS int64
	entries     map[Key]*entry
	owners      map[WriterID]uint32
	// buckets hold the keys by the time of their claim, oldest first.
	buckets []bucket
}

type bucket struct {
	startMS int64
	keys    []Key
}

func newIndex(retention time.Duration, writer WriterID) index {
	return index{
		retentionMS: retention.Milliseconds(),
		entries:     map[Key]*entry{},
		owners:      map[WriterID]uint32{writer: self},
	}
}

// live returns the entry of a key if a claim at time atMS would find it claimed, else nil.
func (x *index) live(key Key, atMS int64) *entry {
	e := x.entries[key]
	if e == nil || e.atMS <= atMS-x.retentionMS {
		return nil
	}
	return e
}

// claim takes a claim in the log and returns the entry if the claim owns the key, else nil. A claim that does not own its key
// extends the time for which the key is remembered. Whether a key is free then depends on the records of the last retention alone:
// a store that starts to read after the owner's claim takes the next one for the owner's, and would free the key too early.
func (x *index) claim(r *record, b *batch, owner uint32) *entry {
	if e := x.live(r.Key, b.TimeMS); e != nil {
		if b.TimeMS > e.atMS {
			e.atMS = b.TimeMS
			x.remember(r.Key, b.TimeMS)
		}
		return nil
	}
	e := &entry{fingerprint: r.Fingerprint, atMS: b.TimeMS, sequence: b.Sequence, owner: owner}
	x.entries[r.Key] = e
	x.remember(r.Key, b.TimeMS)
	return e
}

// own takes an own claim that is in the log beyond what was read and owns its key, whatever the part before says of the key.
func (x *index) own(r *record, b *batch) *entry {
	delete(x.entries, r.Key)
	return x.claim(r, b, self)
}

// owned returns the entry of the claim that a release or response names, or nil if that claim does not own the key.
func (x *index) owned(r *record, owner uint32) *entry {
	e := x.entries[r.Key]
	if e == nil || e.owner != owner || e.sequence != r.Claim {
		return nil
	}
	return e
}

// release takes a release in the log.
func (x *index) release(r *record, owner uint32) {
	if x.owned(r, owner) != nil {
		delete(x.entries, r.Key)
	}
}

// finish takes a response in the log and says whether it counts.
func (x *index) finish(r *record, owner uint32, segment uint64) bool {
	e := x.owned(r, owner)
	if e == nil {
		return false
	}
	e.respond(r)
	e.segment = uint32(segment)
	return true
}

func (e *entry) respond(r *record) {
	e.finished = true
	e.segment = notWritten
	e.code = result.Code(r.Code)
	e.status = r.Status
	e.truncated = r.Truncated
	e.hasBody = len(r.Body) > 0
}

func (x *index) ownerOf(writer WriterID) uint32 {
	owner, ok := x.owners[writer]
	if !ok {
		owner = uint32(len(x.owners))
		x.owners[writer] = owner
	}
	return owner
}

func (x *index) remember(key Key, atMS int64) {
	last := len(x.buckets) - 1
	if last < 0 || atMS >= x.buckets[last].startMS+x.bucketMS() {
		x.buckets = append(x.buckets, bucket{startMS: atMS})
		last++
	}
	x.buckets[last].keys = append(x.buckets[last].keys, key)
}

func (x *index) bucketMS() int64 { return max(1, x.retentionMS/expiryBuckets) }

// expire drops the keys that no claim at horizonMS or later would find claimed.
func (x *index) expire(horizonMS int64) {
	oldestMS := horizonMS - x.retentionMS
	for len(x.buckets) > 0 && x.buckets[0].startMS+x.bucketMS() <= oldestMS {
		for _, key := range x.buckets[0].keys {
			if e := x.entries[key]; e != nil && e.atMS <= oldestMS {
				delete(x.entries, key)
			}
		}
		x.buckets[0].keys = nil
		x.buckets = x.buckets[1:]
	}
}
