package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rules"
)

const serviceLine = "service m kind=model versions=v1,v2  # ops: the model\n"

// smallLayout stores even texts of a few hundred bytes in parts.
var smallLayout = layout{maxInlineBytes: 100, meanPartLines: 4, minPartBytes: 60, maxPartBytes: 400, maxHeadChanges: 3, maxHeadChangeBytes: 2000}

// testStore returns a store that does not wait between attempts.
func testStore(kv services.KV, l layout) *store {
	return &store{kv: kv, layout: l, wait: func(ctx context.Context, _ int) error { return ctx.Err() }}
}

func teamLine(name string, weight int) string {
	return fmt.Sprintf("team %s weight=%d  # ops: share of %s\n", name, weight, name)
}

func proposal(base uint64, id, text string) Proposal {
	return Proposal{File: "f", Text: text, Base: base, ChangeID: id, Author: "author of " + id, Time: time.UnixMilli(1000)}
}

// A proposal must not be lost, accepted twice, accepted as a new version without a change, or overwrite a concurrent change.
func TestPropose(t *testing.T) {
	kv := newFakeKV(1)
	one := serviceLine + teamLine("a", 1)
	two := serviceLine + teamLine("a", 2)

	got, err := Propose(t.Context(), kv, proposal(0, "c1", one))
	must.NoError(t, err)
	must.Eq(t, Outcome{Version: 1, Head: 1}, got)

	got, err = Propose(t.Context(), kv, proposal(1, "c2", one))
	must.NoError(t, err)
	must.Eq(t, Outcome{Version: 1, Unchanged: true, Head: 1}, got)

	got, err = Propose(t.Context(), kv, proposal(1, "c3", two))
	must.NoError(t, err)
	must.Eq(t, Outcome{Version: 2, Head: 2}, got)

	got, err = Propose(t.Context(), kv, proposal(1, "c3", two))
	must.NoError(t, err, must.Sprint("repeated with the same change id"))
	must.Eq(t, Outcome{Version: 2, Head: 2}, got)

	_, err = Propose(t.Context(), kv, proposal(1, "c4", serviceLine+teamLine("a", 9)))
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, 2, conflict.Head)
	must.StrContains(t, conflict.Diff, "-"+teamLine("a", 1)+"+"+teamLine("a", 2))

	_, err = Propose(t.Context(), kv, proposal(1, "c3", serviceLine))
	must.ErrorIs(t, err, ErrInvalidProposal, must.Sprint("a change id that was already used for another text"))

	must.MapLen(t, 2, kv.values, must.Sprint("the head and one audit record"))
	// Two changes, and one proposal of the accepted text, which writes the same head again.
	must.Len(t, 3, kv.values[HeadKey])
}

// staleKV returns the first revision of the head for the first reads.
type staleKV struct {
	*fakeKV
	stale int
}

func (s *staleKV) Get(ctx context.Context, key string) (services.KeyValue, error) {
	if key == HeadKey && s.stale > 0 {
		s.stale--
		return s.values[HeadKey][0], nil
	}
	return s.fakeKV.Get(ctx, key)
}

// A stale read must not make Propose report that the proposed text is already in effect. Otherwise a drain that was reverted and is
// proposed again would never take effect.
func TestPropose_StaleReadIsNotUnchanged(t *testing.T) {
	one, two := serviceLine+teamLine("a", 1), serviceLine+teamLine("a", 2)
	kv := &staleKV{fakeKV: newFakeKV(1)}
	for base, text := range []string{one, two} {
		_, err := Propose(t.Context(), kv, proposal(uint64(base), text, text))
		must.NoError(t, err)
	}
	kv.stale = 2
	_, err := Propose(t.Context(), kv, proposal(1, "again", one))
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
	must.Eq(t, 2, conflict.Head)
}

// Proposals without a change id or an author, or whose text is too large or invalid, must be rejected. So must those without a
// service rule, because they would stop all traffic.
func TestProposeRejectsInvalid(t *testing.T) {
	kv := newFakeKV(1)
	for _, p := range []Proposal{
		proposal(0, "c", ""),
		proposal(0, "c", "# only a comment\n"),
		proposal(0, "", serviceLine),
		{Text: serviceLine, ChangeID: "c"},
		proposal(0, "c", serviceLine+strings.Repeat("#", MaxTextBytes)),
	} {
		_, err := Propose(t.Context(), kv, p)
		must.ErrorIs(t, err, ErrInvalidProposal)
	}
	_, err := Propose(t.Context(), kv, proposal(0, "c", "team a\nteam b\n"))
	var faults rules.Faults
	must.True(t, errors.As(err, &faults))
	must.Len(t, 2, faults)
	must.MapEmpty(t, kv.values)
}

// A write that took effect, or may have, must not be reported as failed. A write that was not sent must not be reported as unknown.
func TestProposeWithPlatformFailures(t *testing.T) {
	p := proposal(0, "c1", serviceLine)

	kv := newFakeKV(1)
	kv.loseResponse = 1
	got, err := testStore(kv, defaultLayout).propose(t.Context(), p)
	must.NoError(t, err, must.Sprint("after a lost response the change id shows that the write succeeded"))
	must.Eq(t, Outcome{Version: 1, Head: 1}, got)

	kv = newFakeKV(1)
	kv.delayWrite = 1
	_, err = testStore(kv, defaultLayout).propose(t.Context(), p)
	must.ErrorIs(t, err, services.ErrOutcomeUnknown)

	kv = newFakeKV(1)
	kv.unavailable = 1
	_, err = testStore(kv, defaultLayout).propose(t.Context(), p)
	must.ErrorIs(t, err, services.ErrUnavailable)
	must.False(t, errors.Is(err, services.ErrOutcomeUnknown))

	kv = newFakeKV(1)
	_, err = testStore(kv, defaultLayout).propose(t.Context(), proposal(3, "c1", serviceLine))
	must.ErrorIs(t, err, ErrStaleRead)

	ctx, cancel := context.WithCancel(t.Context())
	kv = newFakeKV(1)
	kv.beforeCall = func() {
		if kv.reads[HeadKey] == 1 {
			cancel()
		}
	}
	_, err = testStore(kv, defaultLayout).propose(ctx, p)
	must.ErrorIs(t, err, services.ErrOutcomeUnknown)
}

// Audit records must include every version, removed and added line and comment, and allow every earlier text to be restored.
func TestAudit(t *testing.T) {
	for _, l := range []layout{defaultLayout, smallLayout} {
		kv := newFakeKV(1)
		s := testStore(kv, l)
		var texts []string
		for i := range 12 {
			var text strings.Builder
			text.WriteString(serviceLine)
			for j := range 20 + i {
				text.WriteString(teamLine(fmt.Sprint("t", j), 1+(i*j)%7))
			}
			texts = append(texts, text.String())
			_, err := s.propose(t.Context(), proposal(uint64(i), fmt.Sprint("c", i+1), text.String()))
			must.NoError(t, err)
		}
		records, err := ReadAuditRecords(t.Context(), kv, 0)
		must.NoError(t, err)
		must.Len(t, 12, records)
		for i, r := range records {
			version := len(texts) - i
			must.Eq(t, uint64(version), r.Version)
			must.Eq(t, fmt.Sprint("c", version), r.ChangeID)
			must.Eq(t, "author of "+r.ChangeID, r.Author)
			must.Eq(t, time.UnixMilli(1000).UTC(), r.Time)
			text, err := TextAt(t.Context(), kv, r.Version)
			must.NoError(t, err)
			must.EqOp(t, texts[version-1], text)
		}
		added := records[0].Added()
		last := added[len(added)-1]
		test.Eq(t, rules.Comment{Requester: "ops", Reason: "share of t30"}, last.Comment)
		must.Len(t, len(added)-1, records[0].Removed())
		head, err := s.head(t.Context())
		must.NoError(t, err)
		must.NoError(t, s.loadText(t.Context(), &head, ""))
		kv.stale, kv.unavailable = 0.4, 0.1
		text, err := s.textAt(t.Context(), &head, 1)
		must.NoError(t, err, must.Sprint("stale reads (key not found) are retried"))
		must.EqOp(t, texts[0], text)
		kv.clearFaults()
		records, err = ReadAuditRecords(t.Context(), kv, 3)
		must.NoError(t, err)
		must.Len(t, 3, records)
	}
}
