package claim

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// selfOwner is the owner number of the store's own writer id.
const selfOwner = 0

// segmentUnwritten is the segment of a response that is not in the log yet.
const segmentUnwritten = ^uint32(0)

// entry is the state of a claimed key. A store holds one for each key within the retention, so its size matters.
type entry struct {
	key Key
	// lastClaimMS is the timestamp of the last batch that claimed the key, successfully or not.
	lastClaimMS int64
	// fingerprint is the request's fingerprint, folded to 32 bits.
	fingerprint uint32
	// sequence is the low half of the owner's sequence number for the batch that claimed the key. Two claims of one key by one
	// writer are never 2^32 batches apart within the retention.
	sequence uint32
	// owner is the number of the writer that claimed the key.
	owner uint32
	// segment is the number of the segment that holds the response.
	segment uint32
	status  uint16
	code    result.Code

	finished  bool
	truncated bool
	// hasBody is set if the response has a body that is stored.
	hasBody bool
	// abandoned is set if the store itself owns the key, was not and will not be granted it, and will release it.
	abandoned bool
	// ambiguous is set if this store granted the key while the call of an earlier grant, older than the retention, was
	// unfinished. A response cannot be attributed to one of the two, so none is stored.
	ambiguous bool
}

// index is the state of each key according to the log, up to some position in it.
type index struct {
	retentionMS int64
	entries     table
	owners      map[WriterID]uint32
}

func newIndex(retention time.Duration, writer WriterID) index {
	return index{
		retentionMS: retention.Milliseconds(),
		entries:     newTable(),
		owners:      map[WriterID]uint32{writer: selfOwner},
	}
}

// claimedEntry returns the entry of a key if a claim at time atMS would find it claimed, else nil.
func (x *index) claimedEntry(key Key, atMS int64) *entry {
	e := x.entries.get(key)
	if e == nil || e.lastClaimMS <= atMS-x.retentionMS {
		return nil
	}
	return e
}

// applyClaim applies a claim in the log and returns the entry if the claim owns the key, else nil. A claim that does not own
// its key extends the time for which the key is remembered. Whether a key is free then depends only on the records of the last
// retention. Otherwise a store that starts to read after the owner's claim would take the next claim for the owner's, and free
// the key too early.
func (x *index) applyClaim(r *record, b *batch, owner uint32) *entry {
	if e := x.claimedEntry(r.Key, b.TimeMS); e != nil {
		if b.TimeMS > e.lastClaimMS {
			extended := *e
			extended.lastClaimMS = b.TimeMS
			x.entries.remove(r.Key)
			x.entries.add(extended)
		}
		return nil
	}
	x.entries.remove(r.Key)
	return x.entries.add(entry{key: r.Key, fingerprint: foldFingerprint(r.Fingerprint), lastClaimMS: b.TimeMS, sequence: uint32(b.Sequence), owner: owner})
}

// setOwned applies a claim of this store that owns its key and lies beyond the read position. It replaces whatever the index
// holds for the key.
func (x *index) setOwned(r *record, b *batch) *entry {
	x.entries.remove(r.Key)
	return x.applyClaim(r, b, selfOwner)
}

// ownedEntry returns the entry of the claim that a release or response refers to, or nil if that claim does not own the key.
func (x *index) ownedEntry(r *record, owner uint32) *entry {
	e := x.entries.get(r.Key)
	if e == nil || e.owner != owner || e.sequence != uint32(r.Claim) {
		return nil
	}
	return e
}

// applyRelease applies a release in the log.
func (x *index) applyRelease(r *record, owner uint32) {
	if x.ownedEntry(r, owner) != nil {
		x.entries.remove(r.Key)
	}
}

// applyFinish applies a response in the log and reports whether it belongs to the claim that owns the key.
func (x *index) applyFinish(r *record, owner uint32, segment uint64) bool {
	e := x.ownedEntry(r, owner)
	if e == nil {
		return false
	}
	e.setResponse(r)
	e.segment = uint32(segment)
	return true
}

func (e *entry) setResponse(r *record) {
	e.finished = true
	e.segment = segmentUnwritten
	e.code = result.Code(r.Code)
	e.status = r.Status
	e.truncated = r.Truncated
	e.hasBody = len(r.Body) > 0
}

// ownerNumber returns the number of a writer, assigning the next one to a new writer.
func (x *index) ownerNumber(writer WriterID) uint32 {
	owner, ok := x.owners[writer]
	if !ok {
		owner = uint32(len(x.owners))
		x.owners[writer] = owner
	}
	return owner
}

// foldFingerprint reduces a fingerprint to 32 bits. Two different requests with one key compare equal in one of 2^32 cases.
func foldFingerprint(fingerprint uint64) uint32 { return uint32(fingerprint ^ fingerprint>>32) }

// expire drops the oldest entries that no claim at horizonMS or later would find claimed. It stops at the first entry that is
// still needed.
func (x *index) expire(horizonMS int64) {
	oldestMS := horizonMS - x.retentionMS
	for e := x.entries.oldest(); e != nil && e.lastClaimMS <= oldestMS; e = x.entries.oldest() {
		x.entries.remove(e.key)
	}
}
