package claim

import "encoding/binary"

// chunkEntries is the number of entries that are allocated and freed together.
const chunkEntries = 1024

// removed is the owner of an entry that was taken out of the table and is not at the front yet.
const removed = ^uint32(0)

// minSlots is the size of an empty table.
const minSlots = 64

// table holds the entries in the order in which they were added, with an open-addressed hash index over them. It takes 48 bytes for
// the entry and 5 to 11 for the index of each key; a map of pointers takes twice as much.
type table struct {
	// chunks hold the entries from position first on; position head is the oldest entry, next the one to be added.
	chunks            []*[chunkEntries]entry
	first, head, next uint64
	// slots hold one more than the low half of a position, zero if free. Their number is a power of two.
	slots []uint32
	len   int
}

func newTable() table { return table{slots: make([]uint32, minSlots)} }

// at returns the entry at a position from head on.
func (t *table) at(position uint64) *entry {
	offset := position - t.first
	return &t.chunks[offset/chunkEntries][offset%chunkEntries]
}

// position returns the position in a slot that is not free.
func (t *table) position(slot uint32) uint64 { return t.head + uint64(slot-1-uint32(t.head)) }

// home is the first slot for a key. The halves of a key are hashes, of which one has chosen the shard.
func (t *table) home(key *Key) int {
	hash := (binary.BigEndian.Uint64(key[:8]) ^ binary.BigEndian.Uint64(key[8:])) * highSeed
	return int(hash>>32) & (len(t.slots) - 1)
}

// find returns the slot of a key, or the free slot where it belongs.
func (t *table) find(key *Key) int {
	for i := t.home(key); ; i = (i + 1) & (len(t.slots) - 1) {
		if t.slots[i] == 0 || t.at(t.position(t.slots[i])).key == *key {
			return i
		}
	}
}

// get returns the entry of a key or nil. It is valid until its key is removed.
func (t *table) get(key Key) *entry {
	if slot := t.slots[t.find(&key)]; slot != 0 {
		return t.at(t.position(slot))
	}
	return nil
}

// add adds an entry whose key is not in the table and returns it.
func (t *table) add(e entry) *entry {
	if 4*(t.len+1) > 3*len(t.slots) {
		t.resize(2 * len(t.slots))
	}
	if uint32(t.next)+1 == 0 {
		// Its slot would look free.
		t.push(entry{owner: removed})
		t.trim()
	}
	t.slots[t.find(&e.key)] = uint32(t.next) + 1
	t.len++
	return t.push(e)
}

func (t *table) push(e entry) *entry {
	if t.next-t.first == uint64(len(t.chunks))*chunkEntries {
		t.chunks = append(t.chunks, new([chunkEntries]entry))
	}
	t.next++
	added := t.at(t.next - 1)
	*added = e
	return added
}

// remove takes a key out of the table if it is there.
func (t *table) remove(key Key) {
	i := t.find(&key)
	if t.slots[i] == 0 {
		return
	}
	t.at(t.position(t.slots[i])).owner = removed
	t.len--
	t.free(i)
	t.trim()
}

// free frees a slot and moves later keys up that would not be found behind it.
func (t *table) free(i int) {
	mask := len(t.slots) - 1
	for j := (i + 1) & mask; t.slots[j] != 0; j = (j + 1) & mask {
		home := t.home(&t.at(t.position(t.slots[j])).key)
		if (j-home)&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = 0
}

// trim drops the removed entries at the front, and the index's memory when most of it is free.
func (t *table) trim() {
	for t.head < t.next && t.at(t.head).owner == removed {
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
		if e := t.at(position); e.owner != removed {
			t.slots[t.find(&e.key)] = uint32(position) + 1
		}
	}
}

// oldest returns the entry that was added first, or nil.
func (t *table) oldest() *entry {
	if t.head == t.next {
		return nil
	}
	return t.at(t.head)
}
