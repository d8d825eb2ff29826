package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
)

// manyTeams is the design scale: 46,000 teams, each with a comment of its own.
func manyTeams() string {
	var b strings.Builder
	b.WriteString(serviceLine)
	for i := range 46_000 {
		fmt.Fprintf(&b, "team team-%05d-%x weight=%d limit=%d  # person%d: asked in ticket %x\n",
			i, i*7919, 1+i%9, 1+i%500, i%300, uint32(i)*2654435761)
	}
	return b.String()
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against values above the platform's limit, one-line changes that rewrite or reread the whole text, readers that fetch
// the text although they have the version before, messages above the frame limit, and a change of all lines that cannot be
// stored, at the design scale.
func TestScale(t *testing.T) {
	t.Parallel()
	kv := newFakeKV(1)
	text := manyTeams()
	s := newStore(kv)
	_, err := s.propose(t.Context(), proposal(0, "c0", text))
	must.NoError(t, err)
	reader := New(DefaultConfig())
	h, err := ReadHead(t.Context(), kv, nil)
	must.NoError(t, err)
	_, err = reader.AdoptHead(h)
	must.NoError(t, err)
	const changes = 4
	reads, writes, bytes := sum(kv.reads), sum(kv.writes), 0
	for i := range changes {
		lines := Lines(text)
		lines[9321*(i+1)] += " again"
		text = Join(lines)
		_, err := s.propose(t.Context(), proposal(uint64(i+1), fmt.Sprint("c", i+1), text))
		must.NoError(t, err)
	}
	// A change writes the head, one audit record and one part, or two if the line was the last one of its part.
	must.LessEq(t, 4*changes, sum(kv.writes)-writes)
	must.LessEq(t, 3*changes, sum(kv.reads)-reads)
	for key, all := range kv.values {
		for _, value := range all {
			must.LessEq(t, 64<<10, len(value.Value), must.Sprint(key))
			bytes = max(bytes, len(value.Value))
		}
	}
	t.Logf("%d bytes of text; largest value %d bytes; per change %.1f writes and %.1f reads", len(text), bytes,
		float64(sum(kv.writes)-writes)/changes, float64(sum(kv.reads)-reads)/changes)
	reads = sum(kv.reads)
	h, err = ReadHead(t.Context(), kv, reader.Current())
	must.NoError(t, err)
	must.EqOp(t, 1, sum(kv.reads)-reads, must.Sprint("a reader four versions behind reads only the head"))
	_, err = reader.AdoptHead(h)
	must.NoError(t, err)
	must.EqOp(t, text, reader.Current().Text)
	checkPushes(t, reader)
	checkReplaced(t, kv, changes+1, text)
}

// Guards against parts that all change when a line is inserted before them.
func TestCutIsLocal(t *testing.T) {
	lines := Lines(manyTeams())[:10_000]
	old := newFakeKV(0).values
	for _, piece := range defaultLayout.cut(Join(lines)) {
		old[string(newPart(piece).id)] = nil
	}
	inserted := "# " + strings.Repeat("x", 3000)
	for _, at := range []int{0, 1, 777, 5000, 9999} {
		changed := 0
		for _, piece := range defaultLayout.cut(Join(slices.Insert(slices.Clone(lines), at, inserted))) {
			if _, found := old[string(newPart(piece).id)]; !found {
				changed++
			}
		}
		// A part that grows may be split, and the part behind it may start elsewhere.
		must.LessEq(t, 3, changed)
	}
}

func checkPushes(t *testing.T, source *State) {
	for _, since := range []uint64{0, 1, 3} {
		total := 0
		for _, push := range source.Answer(wire.ConfigPull{Since: since}) {
			frame, err := wire.Encode(wire.ControlStream, &push)
			must.NoError(t, err)
			total += len(frame)
		}
		t.Logf("answer to a peer at version %d of %d: %d bytes", since, source.Version(), total)
	}
}

// checkReplaced changes all lines at once, whose record holds the old and the new text.
func checkReplaced(t *testing.T, kv *fakeKV, base uint64, text string) {
	_, err := newStore(kv).propose(t.Context(), proposal(base, "all", strings.ReplaceAll(text, "weight=", "weight=1")))
	must.NoError(t, err)
	for key, all := range kv.values {
		must.LessEq(t, services.MaxValueBytes, len(all[len(all)-1].Value), must.Sprint(key))
	}
	before, err := TextAt(t.Context(), kv, base)
	must.NoError(t, err)
	must.True(t, before == text)
}
