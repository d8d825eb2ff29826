package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
)

// adoptText makes a state adopt a whole text as a version.
func adoptText(t must.T, s *State, version uint64, text string) {
	_, err := s.AdoptHead(Head{Version: version, ChangeID: "first", Text: text, Loaded: true, TextHash: Hash(text)})
	must.NoError(t, err)
}

// pushText makes a state adopt lines as its next version by a push of one change.
func pushText(t must.T, s *State, lines []string) {
	pushEdits(t, s, lines, Diff(SplitLines(s.Current().Text), lines))
}

// pushEdits makes a state adopt the next version by a push of edits that result in lines.
func pushEdits(t must.T, s *State, lines []string, edits []wire.LineEdit) {
	pushChanges(t, s, lines, []wire.ConfigChange{changeOf(s.Version()+1, edits)})
}

func changeOf(v uint64, edits []wire.LineEdit) wire.ConfigChange {
	return wire.ConfigChange{
		Version: v, ChangeID: fmt.Sprintf("change-%016x", v*7919), Author: "losana", UnixMS: 1_800_000_000_000 + int64(v)*6650, Edits: edits,
		TextHash: v * 0x9e3779b97f4a7c15,
	}
}

// pushChanges makes a state adopt changes that result in lines.
func pushChanges(t must.T, s *State, lines []string, changes []wire.ConfigChange) {
	changes[len(changes)-1].TextHash = Hash(JoinLines(lines))
	_, err := s.ApplyPush(wire.ConfigPush{Changes: changes})
	must.NoError(t, err)
}

// A delta must give the same text as its changes one by one. A process must be able to pass on changes that it received as a delta.
// A delta must not be applied to a version other than the one it starts at.
func TestDeltaEqualsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		for i := range 90 {
			lines = append(lines, fmt.Sprintf("team t%d # ops: %d", i, i))
		}
		source, behind, later := New(DefaultConfig()), New(DefaultConfig()), New(DefaultConfig())
		adoptText(t, source, 1, JoinLines(lines))
		adoptText(t, behind, 1, JoinLines(lines))
		adoptText(t, later, 1, JoinLines(lines))
		for range rapid.IntRange(minDeltaChanges, 12).Draw(t, "changes") {
			at := rapid.IntRange(0, len(lines)-1).Draw(t, "at")
			lines = slices.Clone(lines)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				lines = slices.Insert(lines, at, "# ops", "# more")
			case 1:
				lines = slices.Delete(lines, at, min(at+rapid.IntRange(1, 9).Draw(t, "n"), len(lines)-1))
			case 2:
				lines[at] = strings.TrimSuffix(lines[at]+" again", " again again")
			default:
				lines[at], lines[0] = lines[0], lines[at]
			}
			pushText(t, source, lines)
		}
		pushes := source.Answer(wire.ConfigPull{Since: 1, AcceptsDeltas: true})
		must.Len(t, 1, pushes)
		must.NotNil(t, pushes[0].Delta)
		_, err := behind.ApplyPush(pushes[0])
		must.NoError(t, err)
		must.Eq(t, source.Current().Text, behind.Current().Text)
		must.EqOp(t, source.Current().ChangeID, behind.Current().ChangeID)
		pushText(t, behind, append(lines, "# last"))
		_, err = New(DefaultConfig()).ApplyPush(pushes[0])
		must.ErrorIs(t, err, ErrVersionGap)
		onward := behind.Answer(wire.ConfigPull{Since: 1, AcceptsDeltas: true})
		must.NotNil(t, onward[0].Delta)
		_, err = later.ApplyPush(onward[0])
		must.NoError(t, err)
		must.Eq(t, behind.Current().Text, later.Current().Text)
		must.NotNil(t, behind.Answer(wire.ConfigPull{Since: 1})[0].Snapshot, must.Sprint("a peer that does not read deltas"))
	})
}

// An invalid delta from a peer must not crash the process, take long or change the version.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("\x04\x00\x01\x01\x01"))
	f.Add([]byte("\x06\x00\x01\x01\x01\x01\x01x"))
	f.Add([]byte("\xff\xff\xff\xff\x0f"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s := New(smallConfig)
		adoptText(t, s, 1, serviceLine+teamLine("a", 1))
		delta := wire.ConfigDelta{From: 1, Version: 9, TextHash: 1, Data: compress(content)}
		changed, err := s.ApplyPush(wire.ConfigPush{Delta: &delta})
		must.Error(t, err)
		must.False(t, changed)
		must.EqOp(t, 1, s.Version())
	})
}

// hourOfChanges pushes the 542 changes of an hour. If distinct is set, each of them changes another team. Otherwise
//   - every third change is to one of 50 teams that are changed often,
//   - of the others, 16 in 20 are to a random team and the rest add a team or a drain.
func hourOfChanges(t *testing.T, s *State, distinct bool) {
	random := rand.New(rand.NewPCG(1, 1))
	lines := SplitLines(s.Current().Text)
	var changes []wire.ConfigChange
	for i := range 542 {
		at, removed := len(lines)-1, 0
		added := fmt.Sprintf("drain upstream press-%05d  # ops: ticket %x", i, random.Uint32())
		switch {
		case distinct:
			at, removed = 1+i*83, 1
		case i%3 == 0:
			at, removed = 1+i%50*900, 1
		case i%20 < 16:
			at, removed = 1+random.IntN(46_000), 1
		case i%20 < 19:
			added = fmt.Sprintf("team new-%d weight=2  # person%d: asked in ticket %x", i, i%300, random.Uint32())
		}
		if removed > 0 {
			head, _, _ := strings.Cut(lines[at], " weight=")
			added = fmt.Sprintf("%s weight=%d limit=%d  # person%d: asked in ticket %x", head, 1+random.IntN(9), 1+random.IntN(500),
				random.IntN(300), random.Uint32())
		}
		lines = slices.Replace(lines, at, at+removed, added)
		edits := []wire.LineEdit{{Line: uint32(at), Removed: uint32(removed), Added: []string{added}}}
		changes = append(changes, changeOf(s.Version()+uint64(i)+1, edits))
	}
	pushChanges(t, s, lines, changes)
}

// Catching up after a partition of an hour must fit the control budget of an entry, 2,000 B/s for a minute. An entry sends the
// changes to 12.7 sidecars of a region on average.
func TestCatchUpAfterPartitionFitsBudget(t *testing.T) {
	text := designScaleText()
	for _, distinct := range []bool{false, true} {
		source, behind := New(DefaultConfig()), New(DefaultConfig())
		adoptText(t, source, 1, text)
		adoptText(t, behind, 1, text)
		hourOfChanges(t, source, distinct)
		size := func(pull wire.ConfigPull) (bytes int) {
			for _, push := range source.Answer(pull) {
				frame, err := wire.Encode(wire.ControlStream, &push)
				must.NoError(t, err)
				bytes += len(frame)
			}
			return bytes
		}
		deltaBytes := size(wire.ConfigPull{Since: 1, AcceptsDeltas: true})
		t.Logf("542 changes, each of another line: %t: %d bytes as a delta, %d as changes, %d as the whole text; history of %d bytes",
			distinct, deltaBytes, size(wire.ConfigPull{Since: 1}), size(wire.ConfigPull{}), source.history.bytes)
		const budget, share = 2000 * 60, 12.7
		must.LessEq(t, budget, int(share*float64(deltaBytes)))
		_, err := behind.ApplyPush(source.Answer(wire.ConfigPull{Since: 1, AcceptsDeltas: true})[0])
		must.NoError(t, err)
		must.True(t, source.Current().Text == behind.Current().Text)
	}
}

// partitionRecovery simulates, in steps of a second, the return of a region after a partition. At first, 113 entries and 1,430
// sidecars are behind and the other entries of the fleet have the newest version. In each second:
//   - An entry with the newest version sends requests that wait for that version to up to 64 sidecars that are behind, the burst of
//     the node's sampler, until its pacer is exhausted.
//   - Each entry gossips with a random entry. Pulls of entries are urgent after 3 s.
//   - A sidecar without requests learns of the version from a random entry.
//
// Only the first reachable entries are connected to the sidecars: all entries, or with the setting region those of the region.
type partitionRecovery struct {
	reachable int
	random    *rand.Rand
	pushes    []wire.ConfigPush
	pacers    []*Pacer
	upToDate  []bool
	sent      []int
}

const (
	entryCount, regionEntryCount, sidecarCount = 790, 113, 1430
	// idleSidecarCount is the number of sidecars without requests.
	idleSidecarCount = sidecarCount / 5
)

// pull makes process to pull from process from, if it is behind and the other is not.
func (h *partitionRecovery) pull(now time.Time, to, from int, urgent bool) {
	if from == to || !h.upToDate[from] || h.upToDate[to] {
		return
	}
	if h.pacers[from].Allow(now, wire.ConfigPull{Since: 1, AcceptsDeltas: true, Urgent: urgent}, h.pushes) {
		h.upToDate[to] = true
		h.sent[from] += answerBytes(h.pushes)
	}
}

// step simulates one second.
func (h *partitionRecovery) step(now time.Time, urgent bool) {
	for entry := range entryCount {
		h.pull(now, h.random.IntN(entryCount), entry, urgent)
		if other := h.random.IntN(entryCount); h.upToDate[other] {
			h.pull(now, entry, other, urgent)
		}
		for range 64 {
			if entry >= h.reachable || h.pacers[entry].Exhausted(now) {
				break
			}
			h.pull(now, entryCount+idleSidecarCount+h.random.IntN(sidecarCount-idleSidecarCount), entry, true)
		}
	}
	for sidecar := range idleSidecarCount {
		h.pull(now, entryCount+sidecar, h.random.IntN(h.reachable), false)
	}
}

// countBehind returns the number of processes in a range that do not have the newest version.
func (h *partitionRecovery) countBehind(from, to int) (n int) {
	for _, upToDate := range h.upToDate[from:to] {
		if !upToDate {
			n++
		}
	}
	return n
}

// After a partition, entries must have the newest version within 13 s, as must sidecars with requests if all entries reach them. The
// answers must be spread over the entries, so that none exceeds its control budget.
func TestCatchUpIsSpreadOverEntries(t *testing.T) {
	source := New(DefaultConfig())
	adoptText(t, source, 1, designScaleText())
	hourOfChanges(t, source, true)
	pushes := source.Answer(wire.ConfigPull{Since: 1, AcceptsDeltas: true})
	n := entryCount + sidecarCount
	for _, reachable := range []int{entryCount, regionEntryCount} {
		h := &partitionRecovery{reachable: reachable, random: rand.New(rand.NewPCG(1, 2)), pushes: pushes, upToDate: make([]bool, n), sent: make([]int, n)}
		for i := range entryCount {
			h.pacers = append(h.pacers, NewPacer())
			h.upToDate[i] = i >= regionEntryCount
		}
		entries, busy, all, sent := 0, 0, 0, 0
		for second := 1; second <= 3600 && all == 0; second++ {
			h.step(time.Unix(int64(1_800_000_000+second), 0), second > 3)
			recordFirst := func(at *int, behind int) {
				if *at == 0 && behind == 0 {
					*at = second
				}
			}
			recordFirst(&entries, h.countBehind(0, entryCount))
			recordFirst(&busy, h.countBehind(0, entryCount)+h.countBehind(entryCount+idleSidecarCount, n))
			recordFirst(&all, h.countBehind(0, n))
			if second <= 60 {
				sent = slices.Max(h.sent)
			}
		}
		t.Logf("%d entries reach the sidecars: entries after %d s, sidecars with requests after %d s, all after %d s; an entry sends at most %d bytes in the first minute",
			reachable, entries, busy, all, sent)
		must.Between(t, 1, entries, 13)
		must.Positive(t, all)
		// The other control traffic of an entry takes 1,593 B/s of its budget of 2,000 B/s.
		must.LessEq(t, (2000-1593)*60, sent)
		if reachable == entryCount {
			must.Between(t, 1, busy, 13)
		}
	}
}

// Urgent pulls and those of peers without a configuration or with an older program must always be answered. Other large answers must
// stay within the control budget.
func TestPacer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	large := []wire.ConfigPush{{Delta: &wire.ConfigDelta{Data: make([]byte, 6000)}}}
	small := []wire.ConfigPush{{Delta: &wire.ConfigDelta{Data: make([]byte, 500)}}}
	idle := wire.ConfigPull{Since: 1, AcceptsDeltas: true}
	p := NewPacer()
	sent := 0
	for second := range 60 {
		if p.Allow(now.Add(time.Duration(second)*time.Second), idle, large) {
			sent += 6000
		}
	}
	must.LessEq(t, 400*60, sent)
	must.Positive(t, sent)
	now = now.Add(time.Minute)
	for range 10 {
		must.True(t, p.Allow(now, wire.ConfigPull{Since: 1, AcceptsDeltas: true, Urgent: true}, large))
		must.True(t, p.Allow(now, wire.ConfigPull{AcceptsDeltas: true}, large))
		must.True(t, p.Allow(now, wire.ConfigPull{Since: 1}, large))
		must.True(t, p.Allow(now, idle, small))
		must.False(t, p.Allow(now, idle, large))
		must.True(t, p.Exhausted(now))
	}
	must.False(t, p.Exhausted(now.Add(3*time.Minute)))
}
