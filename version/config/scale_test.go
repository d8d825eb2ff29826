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

// designScaleText returns a text of the design scale: 46,000 teams, each with a different comment.
func designScaleText() string {
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

// At the design scale, values must not exceed the platform's limit and messages must not exceed the frame limit. A change of one line
// must not write or read the whole text again, readers with an earlier version must not read the text, and a change of all lines
// must be possible.
func TestScale(t *testing.T) {
	t.Parallel()
	kv := newFakeKV(1)
	text := designScaleText()
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
		lines := SplitLines(text)
		lines[9321*(i+1)] += " again"
		text = JoinLines(lines)
		_, err := s.propose(t.Context(), proposal(uint64(i+1), fmt.Sprint("c", i+1), text))
		must.NoError(t, err)
	}
	// A change writes the head, one audit record and one part, or two parts if the line was the last one of its part.
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
	checkAnswerFrames(t, reader)
	checkChangeOfAllLines(t, kv, changes+1, text)
}

// The insertion of a line must not change all parts after it.
func TestSplitTextIsLocal(t *testing.T) {
	lines := SplitLines(designScaleText())[:10_000]
	old := newFakeKV(0).values
	for _, chunk := range defaultLayout.splitText(JoinLines(lines)) {
		old[string(newPart(chunk).id)] = nil
	}
	inserted := "# " + strings.Repeat("x", 3000)
	for _, at := range []int{0, 1, 777, 5000, 9999} {
		changed := 0
		for _, chunk := range defaultLayout.splitText(JoinLines(slices.Insert(slices.Clone(lines), at, inserted))) {
			if _, found := old[string(newPart(chunk).id)]; !found {
				changed++
			}
		}
		// A part that grows may be split, and the next part may start at another line.
		must.LessEq(t, 3, changed)
	}
}

// checkAnswerFrames checks that answers fit frames and logs their size.
func checkAnswerFrames(t *testing.T, source *State) {
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

// checkChangeOfAllLines proposes a change of all lines. Its audit record holds the old and the new text.
func checkChangeOfAllLines(t *testing.T, kv *fakeKV, base uint64, text string) {
	_, err := newStore(kv).propose(t.Context(), proposal(base, "all", strings.ReplaceAll(text, "weight=", "weight=1")))
	must.NoError(t, err)
	for key, all := range kv.values {
		must.LessEq(t, services.MaxValueBytes, len(all[len(all)-1].Value), must.Sprint(key))
	}
	before, err := TextAt(t.Context(), kv, base)
	must.NoError(t, err)
	must.True(t, before == text)
}
