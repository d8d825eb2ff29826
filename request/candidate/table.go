package candidate

import (
	"math"
	"slices"
)

const (
	// SlotCount is the number of slots of a table. A chat maps to one slot.
	SlotCount = 1 << 16
	// SlotDepth is the number of upstreams that a slot lists.
	SlotDepth = 4
	// MaxTableUpstreams bounds the upstreams of one service version in one data centre; Build leaves out those after it in
	// ascending order of ID. An index into the members fits into 16 bits, which halves the memory of a table.
	MaxTableUpstreams = noMember
)

// noMember marks an unused place of a slot.
const noMember = math.MaxUint16

// member is one upstream of a table.
type member struct {
	id     string
	hash   uint64
	weight float64
}

// table lists the first upstreams of each slot for one service version in one data centre. It is immutable.
type table struct {
	dataCentre string
	// members are in ascending order of id.
	members []member
	// slots holds SlotDepth indexes into members for each slot, the best first, then noMember.
	slots []uint16
}

// ranking holds the best members of one slot while it is computed.
type ranking struct {
	index [SlotDepth]uint16
	cost  [SlotDepth]float64
}

func emptyRanking() ranking {
	r := ranking{}
	for i := range r.index {
		r.index[i], r.cost[i] = noMember, math.Inf(1)
	}
	return r
}

// offer inserts a member unless the ranking is full of better ones.
func (r *ranking) offer(index uint16, m *member, slotHash uint64) {
	hash := combine(slotHash, m.hash)
	if mayBeat(hash, m.weight, r.cost[SlotDepth-1]) {
		r.insert(index, cost(hash, m.weight))
	}
}

// insert puts a member at its place. Equal costs are ordered by index, so that the result does not depend on the order of the
// calls.
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

// buildTable ranks all members for all slots.
func buildTable(dataCentre string, members []member, slotCount int) *table {
	t := newTable(dataCentre, members, slotCount)
	for slot := range slotCount {
		t.rankSlot(slot)
	}
	return t
}

func (t *table) slot(slot int) []uint16 {
	return t.slots[slot*SlotDepth : (slot+1)*SlotDepth]
}

// slotHash is the slot's part of the rendezvous hashes.
func slotHash(slot int) uint64 { return hashPair(uint64(slot), slotSeed) }

func (t *table) rankSlot(slot int) {
	r, hash := emptyRanking(), slotHash(slot)
	for i := range t.members {
		m := &t.members[i]
		// The same as offer, which the compiler does not inline: a build of 435 members took 1.5 times as long with the call.
		if h := combine(hash, m.hash); mayBeat(h, m.weight, r.cost[SlotDepth-1]) {
			r.insert(uint16(i), cost(h, m.weight))
		}
	}
	copy(t.slot(slot), r.index[:])
}

// change describes how the members of a table differ from those of an earlier one.
type change struct {
	// newIndex maps an earlier index to the present one, noMember for a member that left or changed its weight.
	newIndex []uint16
	// left counts the noMember entries of newIndex.
	left int
	// joined are the present indexes of members that are new or changed their weight.
	joined []uint16
}

// small says whether an update of a table that now has n members costs fewer scores than a build. A join costs one score for
// each slot, a leave all n scores of the SlotDepth/n of the slots that list the member.
func (c change) small(n int) bool { return len(c.joined)+SlotDepth*c.left < n }

// diff compares two ascending lists of members.
func diff(prev, next []member) change {
	c := change{newIndex: make([]uint16, len(prev))}
	at := 0
	for i, m := range prev {
		for at < len(next) && next[at].id < m.id {
			c.joined = append(c.joined, uint16(at))
			at++
		}
		same := at < len(next) && next[at].id == m.id && next[at].weight == m.weight
		if same {
			c.newIndex[i] = uint16(at)
			at++
			continue
		}
		c.newIndex[i] = noMember
		c.left++
	}
	for ; at < len(next); at++ {
		c.joined = append(c.joined, uint16(at))
	}
	return c
}

// updateTable returns the table of members. It reuses prev, which may be nil and has the same number of slots: unchanged members give prev itself, and a small
// change recomputes only the slots that it touches.
func updateTable(prev *table, dataCentre string, members []member, slotCount int) *table {
	if prev == nil {
		return buildTable(dataCentre, members, slotCount)
	}
	c := diff(prev.members, members)
	if c.left == 0 && len(c.joined) == 0 {
		return prev
	}
	if !c.small(len(members)) {
		return buildTable(dataCentre, members, slotCount)
	}
	t := newTable(dataCentre, members, slotCount)
	for slot := range slotCount {
		t.updateSlot(prev, slot, c)
	}
	return t
}

func (t *table) updateSlot(prev *table, slot int, c change) {
	from, to := prev.slot(slot), t.slot(slot)
	for i, old := range from {
		to[i] = noMember
		if old == noMember {
			continue
		}
		to[i] = c.newIndex[old]
		if to[i] == noMember {
			t.rankSlot(slot)
			return
		}
	}
	if t.anyBeatsLast(slot, c.joined) {
		t.mergeSlot(slot, c.joined)
	}
}

// anyBeatsLast says whether one of the members may belong into the slot.
func (t *table) anyBeatsLast(slot int, indexes []uint16) bool {
	if len(indexes) == 0 {
		return false
	}
	hash, limit := slotHash(slot), math.Inf(1)
	if last := t.slot(slot)[SlotDepth-1]; last != noMember {
		m := &t.members[last]
		limit = cost(combine(hash, m.hash), m.weight)
	}
	return slices.ContainsFunc(indexes, func(i uint16) bool {
		m := &t.members[i]
		return mayBeat(combine(hash, m.hash), m.weight, limit)
	})
}

// mergeSlot ranks the members that the slot lists together with the given ones.
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

// appendSlot appends at most n candidates of a slot to dst, within its capacity.
func (t *table) appendSlot(dst []Candidate, slot, n int) []Candidate {
	for _, i := range t.slot(slot)[:n] {
		if i == noMember || len(dst) == cap(dst) {
			break
		}
		dst = append(dst, Candidate{ID: t.members[i].id, DataCentre: t.dataCentre})
	}
	return dst
}
