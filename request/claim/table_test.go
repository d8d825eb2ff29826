package claim

import (
	"encoding/binary"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// tableKey returns a key that shares its first slot with three others.
func tableKey(i int) Key {
	half := binary.BigEndian.AppendUint64(nil, uint64(i))
	other := binary.BigEndian.AppendUint64(nil, uint64(i)^uint64(i/4))
	return Key(append(half, other...))
}

// No key may be lost, or still be found after its removal, when keys collide, the index grows and shrinks, and positions exceed
// 32 bits. A lost key would be granted again.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, want := newTable(), map[Key]uint32{}
		start := rapid.SampledFrom([]uint64{0, 1<<32 - 1500}).Draw(t, "start")
		table.first, table.head, table.next = start, start, start
		keyRange := rapid.SampledFrom([]int{3, 200, 5000}).Draw(t, "key range")
		for range rapid.IntRange(1, 4000).Draw(t, "steps") / 10 {
			first := rapid.IntRange(0, keyRange).Draw(t, "key")
			adding := rapid.IntRange(0, 2).Draw(t, "adding") > 0
			for i := range 10 {
				key := tableKey(first + i)
				table.remove(key)
				delete(want, key)
				if adding {
					want[key] = uint32(first + i)
					table.add(entry{key: key, sequence: want[key]})
				}
			}
		}
		must.Eq(t, len(want), table.len)
		for i := range keyRange + 10 {
			key := tableKey(i)
			sequence, ok := want[key]
			e := table.get(key)
			must.Eq(t, ok, e != nil)
			if ok {
				must.Eq(t, sequence, e.sequence)
			}
		}
		for e := table.oldest(); e != nil; e = table.oldest() {
			table.remove(e.key)
		}
		must.Zero(t, table.len)
		must.LessEq(t, minSlots, len(table.slots))
	})
}
