package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// AdoptHead adopts the head's version if it is newer, and reports whether it did. A head that is not newer, as returned by a stale
// read, is ignored and counted. After an error the state is unchanged. After ErrTextNotLoaded, ErrHashMismatch or ErrInvalidEdits
// the caller calls CompleteHead without a current version, which loads the whole text, and tries again.
func (s *State) AdoptHead(h Head) (bool, error) {
	before := s.Version()
	if h.Version <= before {
		s.stats.Ignored++
		return false, nil
	}
	changed, err := s.countResult(before, s.adoptHead(&h))
	return changed, trace.Wrap(err)
}

func (s *State) adoptHead(h *Head) error {
	if !h.Loaded {
		return s.adoptHeadChanges(h)
	}
	return s.adopt(candidate{
		Accepted: Accepted{
			Version: h.Version, ChangeID: h.ChangeID, Author: h.Author, Comment: h.Comment,
			Time: time.UnixMilli(h.UnixMS).UTC(), Text: h.Text, TextHash: h.TextHash,
		},
		steps: stepsFromChanges(h.Changes),
	})
}

// adoptHeadChanges adopts a head whose text is not loaded by applying its changes to the current text.
func (s *State) adoptHeadChanges(h *Head) error {
	if s.current == nil || !h.reachesBackTo(s.current.Version) {
		return fmt.Errorf("%w: version %d, current %d", ErrTextNotLoaded, h.Version, s.Version())
	}
	c, err := s.applyChanges(h.Changes)
	if err != nil {
		return err
	}
	if c.Version != h.Version || c.TextHash != h.TextHash {
		return fmt.Errorf("%w: the changes end at version %d, the head is version %d", ErrHashMismatch, c.Version, h.Version)
	}
	c.Comment = h.Comment
	return s.adopt(c)
}

// ApplyPush adopts the version of a peer's push if it is newer and completely received, and reports whether it did. Changes,
// deltas and snapshot parts that are not newer are ignored and counted. The delta, the snapshot part and the changes of a push
// are applied in this order; an error in one does not undo those before it, so the version can have changed also if an error is
// returned.
func (s *State) ApplyPush(push wire.ConfigPush) (bool, error) {
	before := s.Version()
	changed, err := s.countResult(before, s.applyPush(push))
	return changed, trace.Wrap(err)
}

func (s *State) applyPush(push wire.ConfigPush) error {
	if push.Delta != nil {
		if err := s.applyDelta(push.Delta); err != nil {
			return err
		}
	}
	if push.Snapshot != nil {
		if err := s.receivePart(push.Snapshot); err != nil {
			return err
		}
	}
	changes := s.newerChanges(push.Changes)
	if len(changes) == 0 {
		return nil
	}
	c, err := s.applyChanges(changes)
	if err != nil {
		return err
	}
	return s.adopt(c)
}

// newerChanges returns the changes that are newer than the current version in ascending order, without duplicates.
func (s *State) newerChanges(changes []wire.ConfigChange) []wire.ConfigChange {
	var list []wire.ConfigChange
	for _, c := range changes {
		if c.Version > s.Version() {
			list = append(list, c)
		}
	}
	s.stats.Ignored += uint64(len(changes) - len(list))
	slices.SortStableFunc(list, func(a, b wire.ConfigChange) int { return cmp.Compare(a.Version, b.Version) })
	return slices.CompactFunc(list, func(a, b wire.ConfigChange) bool { return a.Version == b.Version })
}

// applyChanges applies consecutive changes to the current text and skips those that are not newer. If there is no version yet, the
// changes apply to an empty text.
func (s *State) applyChanges(changes []wire.ConfigChange) (candidate, error) {
	base := emptyRules
	if s.current != nil {
		base = s.current.Rules
	}
	draft := base.Edit()
	version := s.Version()
	var last wire.ConfigChange
	var steps []step
	for _, c := range changes {
		if c.Version <= version {
			continue
		}
		if c.Version != version+1 {
			return candidate{}, fmt.Errorf("%w: change to version %d follows version %d", ErrVersionGap, c.Version, version)
		}
		removed := removedLines(draft, c.Edits)
		if err := applyChange(draft, c); err != nil {
			return candidate{}, err
		}
		steps = append(steps, step{from: version, change: c, removed: removed})
		version, last = c.Version, c
	}
	next := s.candidate(draft, last)
	next.steps = steps
	return next, nil
}

// applyChange applies the edits of a change to a draft and checks the size of the result.
func applyChange(draft *rules.Draft, c wire.ConfigChange) error {
	if err := draft.Apply(ruleEdits(c.Edits)); err != nil {
		return fmt.Errorf("version %d: %w: %v", c.Version, ErrInvalidEdits, err)
	}
	if draft.Bytes() > MaxTextBytes+1 {
		return fmt.Errorf("%w: version %d has a text of %d bytes", ErrMalformedPush, c.Version, draft.Bytes())
	}
	return nil
}

// removedLines returns the lines that each edit removes. If an edit extends beyond the end of the text, its list is shorter than
// edit.Removed.
func removedLines(draft *rules.Draft, edits []wire.LineEdit) [][]string {
	removed := make([][]string, len(edits))
	for i, e := range edits {
		removed[i] = draft.Lines(int(e.Line), int(e.Removed))
	}
	return removed
}

// emptyRules is the parsed empty text, to which the change to version 1 applies.
var emptyRules = func() *rules.Set {
	set, _ := rules.Parse("", nil)
	return set
}()

// ruleEdits converts edits to the type of package rules.
func ruleEdits(edits []wire.LineEdit) []rules.Edit {
	list := make([]rules.Edit, len(edits))
	for i, e := range edits {
		list[i] = rules.Edit{Line: e.Line, Removed: e.Removed, Added: e.Added}
	}
	return list
}
