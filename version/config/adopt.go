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

// AdoptHead moves to the head's version if that is higher, and says whether it did. An older or equal head, as a stale read
// returns, is ignored and counted. With an error the state stays as it was. After ErrNeedText, ErrHash or ErrPatch the caller
// completes the head as for a process that has nothing, which loads the whole text, and tries again.
func (s *State) AdoptHead(h Head) (bool, error) {
	before := s.Version()
	if h.Version <= before {
		s.stats.Ignored++
		return false, nil
	}
	changed, err := s.result(before, s.adoptHead(&h))
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
		steps: stepsOf(h.Changes),
	})
}

func (s *State) adoptHeadChanges(h *Head) error {
	if s.current == nil || !h.connects(s.current.Version) {
		return fmt.Errorf("%w: version %d, current %d", ErrNeedText, h.Version, s.Version())
	}
	c, err := s.follow(h.Changes)
	if err != nil {
		return err
	}
	if c.Version != h.Version || c.TextHash != h.TextHash {
		return fmt.Errorf("%w: the changes end at version %d, the head is version %d", ErrHash, c.Version, h.Version)
	}
	c.Comment = h.Comment
	return s.adopt(c)
}

// ApplyPush moves to the version of a peer's push if that is higher and the push completes it, and says whether it did. What is
// not newer is ignored and counted. With an error the state stays as it was.
func (s *State) ApplyPush(push wire.ConfigPush) (bool, error) {
	before := s.Version()
	changed, err := s.result(before, s.applyPush(push))
	return changed, trace.Wrap(err)
}

func (s *State) applyPush(push wire.ConfigPush) error {
	if push.Run != nil {
		if err := s.applyRun(push.Run); err != nil {
			return err
		}
	}
	if push.Snapshot != nil {
		if err := s.receive(push.Snapshot); err != nil {
			return err
		}
	}
	changes := s.newer(push.Changes)
	if len(changes) == 0 {
		return nil
	}
	c, err := s.follow(changes)
	if err != nil {
		return err
	}
	return s.adopt(c)
}

// newer returns the changes above the current version in ascending order, each version once.
func (s *State) newer(changes []wire.ConfigChange) []wire.ConfigChange {
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

// follow applies consecutive changes to the current text; those that are not newer are skipped. Before there is a version, the
// changes start from an empty text.
func (s *State) follow(changes []wire.ConfigChange) (candidate, error) {
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
			return candidate{}, fmt.Errorf("%w: version %d follows %d", ErrGap, c.Version, version)
		}
		removed := removedLines(draft, c.Edits)
		if err := apply(draft, c); err != nil {
			return candidate{}, err
		}
		steps = append(steps, step{from: version, change: c, removed: removed})
		version, last = c.Version, c
	}
	next := s.candidate(draft, last)
	next.steps = steps
	return next, nil
}

// apply makes the edits of a change.
func apply(draft *rules.Draft, c wire.ConfigChange) error {
	if err := draft.Apply(ruleEdits(c.Edits)); err != nil {
		return fmt.Errorf("version %d: %w: %v", c.Version, ErrPatch, err)
	}
	if draft.Bytes() > MaxTextBytes+1 {
		return fmt.Errorf("%w: version %d has a text of %d bytes", ErrMessage, c.Version, draft.Bytes())
	}
	return nil
}

// removedLines returns the lines that each edit removes; fewer if an edit does not fit the text.
func removedLines(draft *rules.Draft, edits []wire.LineEdit) [][]string {
	removed := make([][]string, len(edits))
	for i, e := range edits {
		removed[i] = draft.Lines(int(e.Line), int(e.Removed))
	}
	return removed
}

// emptyRules is the set of the text that version 1 changes.
var emptyRules = func() *rules.Set {
	set, _ := rules.Parse("", nil)
	return set
}()

func ruleEdits(edits []wire.LineEdit) []rules.Edit {
	list := make([]rules.Edit, len(edits))
	for i, e := range edits {
		list[i] = rules.Edit{Line: e.Line, Removed: e.Removed, Added: e.Added}
	}
	return list
}
