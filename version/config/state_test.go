package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// smallConfig keeps few changes and divides texts of a few hundred bytes into several parts.
var smallConfig = Config{MaxHistoryChanges: 3, MaxHistoryBytes: 1000, MaxPushBytes: 400, PartBytes: 150, MaxAssemblies: 2}

// proposer simulates the tool of one operator.
type proposer struct {
	store  *store
	number int
	count  int
}

// proposalResult is a proposal and its result, which the test checks at the end.
type proposalResult struct {
	Proposal
	outcome Outcome
	err     error
}

// propose changes the text of the version that the proposer reads, or proposes it unchanged.
func (p *proposer) propose(t *rapid.T, kv *fakeKV) proposalResult {
	head, err := p.store.head(t.Context())
	if err != nil || p.store.loadText(t.Context(), &head, "") != nil {
		return proposalResult{err: errUnused}
	}
	p.count++
	lines := SplitLines(head.Text)
	if head.Version == 0 {
		lines = SplitLines(serviceLine)
	}
	last := len(lines) - 1
	at := rapid.IntRange(1, last).Draw(t, "line")
	name := fmt.Sprintf("p%d-%d", p.number, p.count)
	switch rapid.IntRange(0, 3).Draw(t, "edit") {
	case 0:
		lines = slices.Insert(slices.Clone(lines), at, strings.TrimSuffix(teamLine(name, 1), "\n"))
	case 1:
		lines = slices.Insert(slices.Clone(lines), at, "# "+name, "", "")
	case 2:
		lines = slices.Delete(slices.Clone(lines), at, min(at+2, last))
	}
	w := proposalResult{Proposal: proposal(head.Version, name, JoinLines(lines))}
	w.outcome, w.err = p.store.propose(t.Context(), w.Proposal)
	return w
}

// With concurrent proposers and readers and a failing platform, accepted changes must not be lost, each accepted text must be the
// proposed one, and each reported outcome must be true. Readers must not revert to an older version or adopt another text, and
// must catch up in the end.
func TestProposersAndReaders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV(rapid.Uint64().Draw(t, "seed"))
		kv.loseResponse, kv.delayWrite, kv.applyDelayed, kv.unavailable, kv.stale = 0.1, 0.1, 0.3, 0.05, 0.2
		proposers := make([]*proposer, 3)
		for i := range proposers {
			proposers[i] = &proposer{store: testStore(kv, smallLayout), number: i}
		}
		readers := []*State{New(DefaultConfig()), New(smallConfig), New(smallConfig)}
		var log []proposalResult
		var nested bool
		kv.beforeCall = func() {
			// Another proposer acts between two calls of the current one.
			if nested || kv.random.IntN(12) > 0 {
				return
			}
			nested = true
			log = append(log, proposers[kv.random.IntN(len(proposers))].propose(t, kv))
			nested = false
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "propose") {
				nested = false
				log = append(log, proposers[rapid.IntRange(0, 2).Draw(t, "proposer")].propose(t, kv))
				continue
			}
			syncReaders(t, kv, readers)
		}
		kv.clearFaults()
		texts := checkAccepted(t, kv, log)
		for range 20 {
			syncReaders(t, kv, readers)
		}
		for _, r := range readers {
			must.EqOp(t, len(texts), int(r.Version()))
			if len(texts) > 0 {
				must.EqOp(t, texts[len(texts)-1], r.Current().Text)
			}
		}
	})
}

// syncReaders lets each reader learn from the head or from the other readers, whose messages are duplicated, reordered or lost.
func syncReaders(t *rapid.T, kv *fakeKV, readers []*State) {
	for i, r := range readers {
		before := r.Version()
		if rapid.Bool().Draw(t, "head") {
			if h, err := ReadHead(t.Context(), kv, r.Current()); err == nil && h.Version > 0 {
				_, err := r.AdoptHead(h)
				must.NoError(t, err)
			}
		} else {
			receiveFromPeers(t, r, readers[(i+1)%len(readers)], readers[(i+2)%len(readers)])
		}
		must.True(t, r.Version() >= before, must.Sprint("a version never reverts"))
		if r.Current() != nil {
			must.EqOp(t, acceptedText(t, kv, r.Version()), r.Current().Text)
		}
	}
}

// receiveFromPeers applies the answers from peers, each twice and in random order.
func receiveFromPeers(t *rapid.T, r *State, peers ...*State) {
	var pushes []wire.ConfigPush
	for _, p := range peers {
		pushes = append(pushes, p.Answer(wire.ConfigPull{Since: r.Version(), AcceptsDeltas: rapid.Bool().Draw(t, "accepts deltas")})...)
	}
	pushes = append(pushes, pushes...)
	for _, push := range rapid.Permutation(pushes).Draw(t, "order") {
		before := r.Version()
		changed, err := r.ApplyPush(push)
		if err != nil {
			must.ErrorIs(t, err, ErrVersionGap)
		}
		must.EqOp(t, changed, r.Version() > before)
		must.True(t, r.Version() >= before, must.Sprint("a version never reverts"))
	}
}

// acceptedHeads returns the values of the head, one for each version. A proposal of the accepted text writes the same value again.
func acceptedHeads(kv *fakeKV) [][]byte {
	var values [][]byte
	for _, revision := range kv.values[HeadKey] {
		if len(values) == 0 || !bytes.Equal(values[len(values)-1], revision.Value) {
			values = append(values, revision.Value)
		}
	}
	return values
}

// acceptedText returns the text of a version from the revisions of the head.
func acceptedText(t *rapid.T, kv *fakeKV, version uint64) string {
	h, err := DecodeHead(acceptedHeads(kv)[version-1])
	must.NoError(t, err)
	must.EqOp(t, version, h.Version)
	faultless := newFakeKV(0)
	faultless.values = kv.values
	must.NoError(t, testStore(faultless, smallLayout).loadText(t.Context(), &h, ""))
	return h.Text
}

// checkAccepted compares the accepted versions with the proposals and their reported outcomes, and returns the accepted texts.
func checkAccepted(t *rapid.T, kv *fakeKV, log []proposalResult) []string {
	byID := map[string]proposalResult{}
	for _, w := range log {
		byID[w.ChangeID] = w
	}
	records, err := ReadAuditRecords(t.Context(), kv, 0)
	must.NoError(t, err)
	must.Len(t, len(acceptedHeads(kv)), records)
	accepted := map[string]uint64{}
	texts := make([]string, len(records))
	for i, r := range records {
		w, found := byID[r.ChangeID]
		must.True(t, found)
		must.EqOp(t, uint64(len(records)-i), r.Version)
		must.EqOp(t, r.Version, w.Base+1)
		texts[r.Version-1] = acceptedText(t, kv, r.Version)
		must.EqOp(t, w.Text, texts[r.Version-1])
		accepted[r.ChangeID] = r.Version
	}
	must.MapLen(t, len(records), accepted, must.Sprint("each change is accepted once"))
	for _, w := range log {
		checkOutcome(t, w, accepted[w.ChangeID], texts)
	}
	return texts
}

// checkOutcome compares the reported outcome of a proposal with its accepted version, which is zero if it was not accepted.
func checkOutcome(t *rapid.T, w proposalResult, version uint64, texts []string) {
	switch {
	case w.err == nil && w.outcome.Unchanged:
		must.EqOp(t, w.Text, texts[w.outcome.Version-1])
	case w.err == nil:
		must.EqOp(t, w.outcome.Version, version)
	case version > 0:
		must.StrContains(t, w.err.Error(), "outcome unknown", must.Sprint("an accepted change is not reported as failed"))
	}
}

// Snapshots, changes and heads must all result in the same version, and the counters must be correct.
func TestStateSources(t *testing.T) {
	kv := newFakeKV(1)
	text := serviceLine
	source := New(DefaultConfig())
	must.SliceEmpty(t, source.Answer(wire.ConfigPull{}))
	for i := range 6 {
		text += teamLine(fmt.Sprint("t", i), 1)
		_, err := Propose(t.Context(), kv, proposal(uint64(i), fmt.Sprint("c", i), text))
		must.NoError(t, err)
		h, err := ReadHead(t.Context(), kv, source.Current())
		must.NoError(t, err)
		changed, err := source.AdoptHead(h)
		must.NoError(t, err)
		must.True(t, changed)
		changed, err = source.AdoptHead(h)
		must.NoError(t, err)
		must.False(t, changed)
	}
	must.Eq(t, Stats{Adopted: 6, Ignored: 6}, source.Stats())
	follower := New(smallConfig)
	for _, push := range source.Answer(wire.ConfigPull{}) {
		must.NotNil(t, push.Snapshot)
		_, err := follower.ApplyPush(push)
		must.NoError(t, err)
	}
	must.Eq(t, source.Current().TextHash, follower.Current().TextHash)
	must.Eq(t, source.Current().Time, follower.Current().Time)
	must.SliceEmpty(t, source.Answer(wire.ConfigPull{Since: 6}))
	pushes := source.Answer(wire.ConfigPull{Since: 2})
	must.Len(t, 1, pushes)
	must.Len(t, 4, pushes[0].Changes)
	steps, _ := source.history.since(0)
	all, _ := changes(steps)
	mixed := append(slices.Clone(all), all...)
	slices.Reverse(mixed)
	changed, err := New(smallConfig).ApplyPush(wire.ConfigPush{Changes: mixed})
	must.NoError(t, err, must.Sprint("changes in reverse order, each twice"))
	must.True(t, changed)
}

// A process that skipped versions must not answer with changes that have a gap.
func TestAnswerAfterSkippedVersions(t *testing.T) {
	adopt := func(s *State, version uint64, changes ...uint64) {
		text := serviceLine + teamLine("a", int(version))
		h := Head{Version: version, Text: text, Loaded: true, TextHash: Hash(text)}
		for _, v := range changes {
			h.Changes = append(h.Changes, wire.ConfigChange{Version: v, TextHash: v})
		}
		_, err := s.AdoptHead(h)
		must.NoError(t, err)
	}
	s := New(smallConfig)
	adopt(s, 2, 1, 2)
	adopt(s, 9, 8, 9)
	must.NotNil(t, s.Answer(wire.ConfigPull{Since: 2})[0].Snapshot)
	must.NotNil(t, s.Answer(wire.ConfigPull{Since: 6})[0].Snapshot)
	must.Len(t, 2, s.Answer(wire.ConfigPull{Since: 7})[0].Changes)
	adopt(s, 11, 9, 10, 11)
	must.Len(t, 3, s.Answer(wire.ConfigPull{Since: 8})[0].Changes)
	must.NotNil(t, s.Answer(wire.ConfigPull{Since: 7})[0].Snapshot, must.Sprint("only three changes are kept"))
	adopt(s, 12)
	must.NotNil(t, s.Answer(wire.ConfigPull{Since: 11})[0].Snapshot, must.Sprint("the head brought no changes"))
}

// Parts of different texts must not be combined, and an incomplete snapshot must not block others.
func TestSnapshotsInterleaved(t *testing.T) {
	source := func(weight int, version uint64) []wire.ConfigPush {
		text := serviceLine + strings.Repeat("# filler\n", 20) + teamLine("a", weight)
		return snapshotPushes(&Accepted{Version: version, Text: text, TextHash: Hash(text)}, smallConfig.PartBytes)
	}
	s := New(smallConfig)
	one, other, later := source(1, 3), source(2, 3), source(3, 4)
	for _, push := range []wire.ConfigPush{one[0], other[0], later[0], one[0], other[1]} {
		changed, err := s.ApplyPush(push)
		must.NoError(t, err)
		must.False(t, changed)
	}
	for _, push := range append(later[1:], later...) {
		_, err := s.ApplyPush(push)
		must.NoError(t, err)
	}
	must.EqOp(t, 4, s.Version())
	must.SliceEmpty(t, s.assemblies)
}

// An invalid push must not change the state.
func TestStateRejectsInvalidPushes(t *testing.T) {
	s := New(DefaultConfig())
	base := serviceLine + teamLine("a", 1)
	head := Head{Version: 5, Text: base, Loaded: true, TextHash: Hash(base)}
	_, err := s.AdoptHead(head)
	must.NoError(t, err)
	was := s.Current()
	change := func(version uint64, line uint32, added string) wire.ConfigPush {
		text := serviceLine + added + "\n"
		edits := []wire.LineEdit{{Line: line, Removed: 1, Added: []string{added}}}
		return wire.ConfigPush{Changes: []wire.ConfigChange{{Version: version, Edits: edits, TextHash: Hash(text)}}}
	}
	comment := "# nothing"
	wrongHash := change(6, 1, comment)
	wrongHash.Changes[0].TextHash++
	snapshot := wire.ConfigSnapshotPart{Version: 6, Parts: 1, TextHash: 1, Data: compress([]byte(base))}
	tooMany := snapshot
	tooMany.Part = 1
	var faults rules.Faults
	for _, c := range []struct {
		push wire.ConfigPush
		want error
	}{
		{wrongHash, ErrHashMismatch},
		{change(7, 1, comment), ErrVersionGap},
		{change(6, 9, comment), ErrInvalidEdits},
		{wire.ConfigPush{Snapshot: &snapshot}, ErrHashMismatch},
		{wire.ConfigPush{Snapshot: &tooMany}, ErrMalformedPush},
		{wire.ConfigPush{Snapshot: &wire.ConfigSnapshotPart{Version: 6, Parts: 1}}, ErrInvalidFormat},
	} {
		_, err := s.ApplyPush(c.push)
		must.ErrorIs(t, err, c.want)
	}
	for range 2 {
		_, err = s.ApplyPush(change(6, 1, "newrule x"))
		must.True(t, errors.As(err, &faults))
	}
	_, err = s.AdoptHead(Head{Version: 9})
	must.ErrorIs(t, err, ErrTextNotLoaded)
	must.True(t, s.Current() == was)
	must.SliceEmpty(t, s.assemblies, must.Sprint("an invalid snapshot is not kept"))
	must.Eq(t, Stats{Adopted: 1, Rejected: 9}, s.Stats())
	changed, err := s.ApplyPush(change(6, 1, comment))
	must.NoError(t, err)
	must.True(t, changed, must.Sprint("a valid push is still accepted"))
}
