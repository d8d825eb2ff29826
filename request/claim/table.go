package claim

import "encoding/binary"

// chunkEntries is the number of entries that are allocated and freed together.
const chunkEntries = 1024

// removed is the owner of an entry that was removed from the table but is not at the front yet.
const removed = ^uint32(0)

// minSlots is the number of slots in an empty table.
const minSlots = 64

// table holds entries in insertion order, with an open-addressed hash index over them. Each key takes 48 bytes for the entry
// and 5 to 11 for the index; a map of pointers takes twice as much.
type table struct {
	// chunks hold the entries from position first on. head is the position of the oldest entry, next that of the next entry to
	// be added.
	chunks            []*[chunkEntries]entry
	first, head, next uint64
	// slots hold one more than the low half of a position, or zero if free. Their number is a power of two.
	slots []uint32
	len   int
}

func newTable() table { return table{slots: make([]uint32, minSlots)} }

// entryAt returns the entry at a position, which must be first or later.
func (t *table) entryAt(position uint64) *entry {
	offset := position - t.first
	return &t.chunks[offset/chunkEntries][offset%chunkEntries]
}

// position returns the position stored in a slot that is not free.
func (t *table) position(slot uint32) uint64 { return t.head + uint64(slot-1-uint32(t.head)) }

// homeSlot returns the first slot to probe for a key. Both halves of a key are hashes; since one of them has selected the
// shard, both are mixed here.
func (t *table) homeSlot(key *Key) int {
	hash := (binary.BigEndian.Uint64(key[:8]) ^ binary.BigEndian.Uint64(key[8:])) * highSeed
	return int(hash>>32) & (len(t.slots) - 1)
}

// slotOf returns the slot of a key, or the free slot where it belongs.
func (t *table) slotOf(key *Key) int {
	for i := t.homeSlot(key); ; i = (i + 1) & (len(t.slots) - 1) {
		if t.slots[i] == 0 || t.entryAt(t.position(t.slots[i])).key == *key {
			return i
		}
	}
}

// get returns the entry of a key, or nil. The entry is valid until its key is removed.
func (t *table) get(key Key) *entry {
	if slot := t.slots[t.slotOf(&key)]; slot != 0 {
		return t.entryAt(t.position(slot))
	}
	return nil
}

// add inserts an entry whose key is not in the table and returns it.
func (t *table) add(e entry) *entry {
	if 4*(t.len+1) > 3*len(t.slots) {
		t.resize(2 * len(t.slots))
	}
	if uint32(t.next)+1 == 0 {
		// The value of this slot would be zero, which means free. Skip the position.
		t.push(entry{owner: removed})
		t.trim()
	}
	t.slots[t.slotOf(&e.key)] = uint32(t.next) + 1
	t.len++
	return t.push(e)
}

func (t *table) push(e entry) *entry {
	if t.next-t.first == uint64(len(t.chunks))*chunkEntries {
		t.chunks = append(t.chunks, new([chunkEntries]entry))
	}
	t.next++
	added := t.entryAt(t.next - 1)
	*added = e
	return added
}

// remove deletes a key if it is in the table.
func (t *table) remove(key Key) {
	i := t.slotOf(&key)
	if t.slots[i] == 0 {
		return
	}
	t.entryAt(t.position(t.slots[i])).owner = removed
	t.len--
	t.freeSlot(i)
	t.trim()
}

// freeSlot frees a slot and moves back later keys that a lookup would no longer reach past it.
func (t *table) freeSlot(i int) {
	mask := len(t.slots) - 1
	for j := (i + 1) & mask; t.slots[j] != 0; j = (j + 1) & mask {
		home := t.homeSlot(&t.entryAt(t.position(t.slots[j])).key)
		if (j-home)&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = 0
}

// trim drops removed entries at the front, and shrinks the index when most of it is free.
func (t *table) trim() {
	for t.head < t.next && t.entryAt(t.head).owner == removed {
		t.head++
	}
	for t.head-t.first >= chunkEntries {
		t.chunks[0] = nil
		t.chunks = t.chunks[1:]
		t.first += chunkEntries
	}
	if len(t.slots) > minSlots && 8*t.len < len(t.slots) {
		t.resize(len(t.slots) / 2)
	}
}

func (t *table) resize(slots int) {
	t.slots = make([]uint32, slots)
	for position := t.head; position < t.next; position++ {
		if e := t.entryAt(position); e.owner != removed {
			t.slots[t.slotOf(&e.key)] = uint32(position) + 1
		}
	}
}

// oldest returns the entry that was added first, or nil.
func (t *table) oldest() *entry {
	if t.head == t.next {
		return nil
	}
	return t.entryAt(t.head)
}
