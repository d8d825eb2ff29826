package claim

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// self is the owner number of the store's own writer id.
const self = 0

// notWritten is the segment of a response that is not yet in the log.
const notWritten = ^uint32(0)

// entry is the state of a claimed key. A writer holds one for each key of the retention, so its size counts.
type entry struct {
	key Key
	// atMS is the time of the last batch that claimed the key, with or without success.
	atMS int64
	// fingerprint is the folded fingerprint of the request.
	fingerprint uint32
	// sequence is the low half of the number of the batch that claimed the key among those of owner. Two claims of one key by one
	// writer are never 2^32 batches apart within the retention.
	sequence uint32
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
	entries     table
	owners      map[WriterID]uint32
}

func newIndex(retention time.Duration, writer WriterID) index {
	return index{
		retentionMS: retention.Milliseconds(),
		entries:     newTable(),
		owners:      map[WriterID]uint32{writer: self},
	}
}

// live returns the entry of a key if a claim at time atMS would find it claimed, else nil.
func (x *index) live(key Key, atMS int64) *entry {
	e := x.entries.get(key)
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
			extended := *e
			extended.atMS = b.TimeMS
			x.entries.remove(r.Key)
			x.entries.add(extended)
		}
		return nil
	}
	x.entries.remove(r.Key)
	return x.entries.add(entry{key: r.Key, fingerprint: fold(r.Fingerprint), atMS: b.TimeMS, sequence: uint32(b.Sequence), owner: owner})
}

// own takes an own claim that is in the log beyond what was read and owns its key, whatever the part before says of the key.
func (x *index) own(r *record, b *batch) *entry {
	x.entries.remove(r.Key)
	return x.claim(r, b, self)
}

// owned returns the entry of the claim that a release or response names, or nil if that claim does not own the key.
func (x *index) owned(r *record, owner uint32) *entry {
	e := x.entries.get(r.Key)
	if e == nil || e.owner != owner || e.sequence != uint32(r.Claim) {
		return nil
	}
	return e
}

// release takes a release in the log.
func (x *index) release(r *record, owner uint32) {
	if x.owned(r, owner) != nil {
		x.entries.remove(r.Key)
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

// fold halves a fingerprint. Two requests with one key look alike in one of 2^32 cases.
func fold(fingerprint uint64) uint32 { return uint32(fingerprint ^ fingerprint>>32) }

// expire drops the keys that no claim at horizonMS or later would find claimed, as far as no later one was added before them.
func (x *index) expire(horizonMS int64) {
	oldestMS := horizonMS - x.retentionMS
	for e := x.entries.oldest(); e != nil && e.atMS <= oldestMS; e = x.entries.oldest() {
		x.entries.remove(e.key)
	}
}
