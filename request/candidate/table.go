package candidate

import (
	"math"
	"slices"
)

const (
	// SlotCount is the number of slots of a table. A chat maps to one slot.
	SlotCount = 1 << 16
	// SlotDepth is the maximum number of upstreams in a slot.
	SlotDepth = 4
	// MaxTableUpstreams limits the upstreams of one service version in one data centre; in ascending order of ID, Build ignores
	// those beyond the limit. It lets a member index fit into 16 bits, which halves the memory of a table.
	MaxTableUpstreams = noMember
)

// noMember marks an unused position of a slot.
const noMember = math.MaxUint16

// member is one upstream of a table.
type member struct {
	id     string
	hash   uint64
	weight float64
}

// table lists the best-ranked upstreams of each slot for one service version in one data centre. It is immutable.
type table struct {
	dataCentre string
	// members are in ascending order of id.
	members []member
	// slots holds SlotDepth indexes into members for each slot, the best one first. Unused positions hold noMember.
	slots []uint16
}

// ranking collects the best members of one slot.
type ranking struct {
	index [SlotDepth]uint16
	cost  [SlotDepth]float64
}

// emptyRanking returns a ranking without members.
func emptyRanking() ranking {
	r := ranking{}
	for i := range r.index {
		r.index[i], r.cost[i] = noMember, math.Inf(1)
	}
	return r
}

// offer inserts a member unless the ranking is full and all its members cost less.
func (r *ranking) offer(index uint16, m *member, slotHash uint64) {
	hash := combineHashes(slotHash, m.hash)
	if mayCostLess(hash, m.weight, r.cost[SlotDepth-1]) {
		r.insert(index, rendezvousCost(hash, m.weight))
	}
}

// insert adds a member in order of cost. Members of equal cost are ordered by index, so that the result does not depend on the
// order of the calls.
func (r *ranking) insert(index uint16, c float64) {
	at := SlotDepth
	for at > 0 && (c < r.cost[at-1] || c == r.cost[at-1] && index < r.index[at-1]) {
		at--
	}
	if at == SlotDepth {
		return
	}
	copy(r.index[at+1:], r.index[at:])
	copy(r.cost[at+1:], r.cost[at:])
	r.index[at], r.cost[at] = index, c
}

// newTable returns a table with empty slots.
func newTable(dataCentre string, members []member, slotCount int) *table {
	return &table{dataCentre: dataCentre, members: members, slots: make([]uint16, slotCount*SlotDepth)}
}

// buildTable returns a table with all members ranked in every slot.
func buildTable(dataCentre string, members []member, slotCount int) *table {
	t := newTable(dataCentre, members, slotCount)
	for slot := range slotCount {
		t.rankSlot(slot)
	}
	return t
}

// slot returns the member indexes of a slot.
func (t *table) slot(slot int) []uint16 {
	return t.slots[slot*SlotDepth : (slot+1)*SlotDepth]
}

// slotHash returns the hash of a slot, which is combined with the hashes of the members.
func slotHash(slot int) uint64 { return hashPair(uint64(slot), slotSeed) }

// rankSlot ranks all members in a slot.
func (t *table) rankSlot(slot int) {
	r, hash := emptyRanking(), slotHash(slot)
	for i := range t.members {
		m := &t.members[i]
		// Duplicates offer, which the compiler does not inline: with the call, a build of 435 members takes 1.5 times as long.
		if h := combineHashes(hash, m.hash); mayCostLess(h, m.weight, r.cost[SlotDepth-1]) {
			r.insert(uint16(i), rendezvousCost(h, m.weight))
		}
	}
	copy(t.slot(slot), r.index[:])
}

// memberDiff describes how the members of a table differ from those of an earlier table.
type memberDiff struct {
	// newIndex maps a previous index to the current one, or to noMember if the member left or changed its weight.
	newIndex []uint16
	// removed is the number of noMember elements in newIndex.
	removed int
	// added holds the current indexes of members that are new or changed their weight.
	added []uint16
}

// cheaperThanBuild reports whether an update of a table that now has n members computes fewer costs than a build. An added member
// takes one cost computation in each slot; a removed one takes n computations in each slot that lists it, which is a share of
// SlotDepth/n of all slots.
func (d memberDiff) cheaperThanBuild(n int) bool { return len(d.added)+SlotDepth*d.removed < n }

// diffMembers compares two lists of members in ascending order of id.
func diffMembers(prev, next []member) memberDiff {
	d := memberDiff{newIndex: make([]uint16, len(prev))}
	at := 0
	for i, m := range prev {
		for at < len(next) && next[at].id < m.id {
			d.added = append(d.added, uint16(at))
			at++
		}
		same := at < len(next) && next[at].id == m.id && next[at].weight == m.weight
		if same {
			d.newIndex[i] = uint16(at)
			at++
			continue
		}
		d.newIndex[i] = noMember
		d.removed++
	}
	for ; at < len(next); at++ {
		d.added = append(d.added, uint16(at))
	}
	return d
}

// updateTable returns the table of the given members. prev is an earlier table with the same number of slots, or nil. If the
// members are unchanged, updateTable returns prev itself; after a small change it recomputes only the affected slots.
func updateTable(prev *table, dataCentre string, members []member, slotCount int) *table {
	if prev == nil {
		return buildTable(dataCentre, members, slotCount)
	}
	d := diffMembers(prev.members, members)
	if d.removed == 0 && len(d.added) == 0 {
		return prev
	}
	if !d.cheaperThanBuild(len(members)) {
		return buildTable(dataCentre, members, slotCount)
	}
	t := newTable(dataCentre, members, slotCount)
	for slot := range slotCount {
		t.updateSlot(prev, slot, d)
	}
	return t
}

// updateSlot derives a slot from that of an earlier table.
func (t *table) updateSlot(prev *table, slot int, d memberDiff) {
	from, to := prev.slot(slot), t.slot(slot)
	for i, old := range from {
		to[i] = noMember
		if old == noMember {
			continue
		}
		to[i] = d.newIndex[old]
		if to[i] == noMember {
			t.rankSlot(slot)
			return
		}
	}
	if t.anyMayRank(slot, d.added) {
		t.mergeSlot(slot, d.added)
	}
}

// anyMayRank reports whether one of the given members may rank among the first SlotDepth of the slot.
func (t *table) anyMayRank(slot int, indexes []uint16) bool {
	if len(indexes) == 0 {
		return false
	}
	hash, limit := slotHash(slot), math.Inf(1)
	if last := t.slot(slot)[SlotDepth-1]; last != noMember {
		m := &t.members[last]
		limit = rendezvousCost(combineHashes(hash, m.hash), m.weight)
	}
	return slices.ContainsFunc(indexes, func(i uint16) bool {
		m := &t.members[i]
		return mayCostLess(combineHashes(hash, m.hash), m.weight, limit)
	})
}

// mergeSlot ranks the given members together with those already in the slot.
func (t *table) mergeSlot(slot int, indexes []uint16) {
	r, hash := emptyRanking(), slotHash(slot)
	for _, i := range t.slot(slot) {
		if i != noMember {
			r.offer(i, &t.members[i], hash)
		}
	}
	for _, i := range indexes {
		r.offer(i, &t.members[i], hash)
	}
	copy(t.slot(slot), r.index[:])
}

// appendSlot appends up to n candidates of a slot to dst without exceeding its capacity.
func (t *table) appendSlot(dst []Candidate, slot, n int) []Candidate {
	for _, i := range t.slot(slot)[:n] {
		if i == noMember || len(dst) == cap(dst) {
			break
		}
		dst = append(dst, Candidate{ID: t.members[i].id, DataCentre: t.dataCentre})
	}
	return dst
}
