package config

import (
	"context"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// maxUndo bounds the audit records that are read to show an operator what has changed since a base version.
const maxUndo = 200

func wireChange(a *attempt, version uint64, edits []wire.LineEdit) wire.ConfigChange {
	return wire.ConfigChange{
		Version: version, ChangeID: a.ChangeID, Author: a.Author, UnixMS: a.Time.UnixMilli(), Edits: edits, TextHash: a.hash,
	}
}

// settle decides a proposal when the head is newer than its base. Versions count up by one, so the proposal was accepted exactly
// if the version after its base carries its change id.
func (s *store) settle(ctx context.Context, a *attempt, head *Head) (Outcome, bool, error) {
	successor, err := s.identity(ctx, head, a.Base+1)
	if err != nil {
		return Outcome{}, false, err
	}
	if successor.changeID == a.ChangeID {
		return s.settleOwn(a, head, successor)
	}
	if err := s.loadText(ctx, head, a.Text); err != nil {
		return Outcome{}, false, err
	}
	if head.Text == a.Text {
		return s.confirm(ctx, head)
	}
	return Outcome{}, true, s.conflict(ctx, a, head)
}

func (s *store) settleOwn(a *attempt, head *Head, successor identity) (Outcome, bool, error) {
	if successor.textHash != a.hash {
		return Outcome{}, true, fmt.Errorf("%w: change id %s was used for another text in version %d", ErrProposal, a.ChangeID, a.Base+1)
	}
	return Outcome{Version: a.Base + 1, Head: head.Version}, true, nil
}

// identity tells a change from others.
type identity struct {
	changeID string
	textHash uint64
}

// identity returns what is known of a version up to the head's.
func (s *store) identity(ctx context.Context, head *Head, version uint64) (identity, error) {
	if version == head.Version {
		return identity{head.ChangeID, head.TextHash}, nil
	}
	for _, c := range head.Changes {
		if c.Version == version {
			return identity{c.ChangeID, c.TextHash}, nil
		}
	}
	value, err := s.get(ctx, AuditKey(version))
	if err != nil {
		return identity{}, err
	}
	r, _, err := decodeRecord(value)
	return identity{r.ChangeID, r.TextHash}, err
}

// conflict describes what the head has that the proposal's base did not have.
func (s *store) conflict(ctx context.Context, a *attempt, head *Head) error {
	c := &ConflictError{Base: a.Base, Head: head.Version, Author: head.Author, Time: time.UnixMilli(head.UnixMS).UTC()}
	if head.Version-a.Base > maxUndo {
		return c
	}
	// The diff is help for the operator; without it, the conflict stands.
	base, err := s.textAt(ctx, head, a.Base)
	if err == nil {
		c.Diff = Unified(fmt.Sprintf("version %d", a.Base), fmt.Sprintf("version %d", head.Version), base, head.Text)
	}
	return c
}

// textAt returns the text of an earlier version by undoing the changes between it and the head.
func (s *store) textAt(ctx context.Context, head *Head, version uint64) (string, error) {
	lines := Lines(head.Text)
	want := Hash("")
	err := s.walk(ctx, head, func(r Record) (more bool, err error) {
		if r.Version == version {
			want = r.TextHash
			return false, nil
		}
		lines, err = Patch(lines, r.undo())
		return true, err
	})
	if err != nil {
		return "", err
	}
	text := Join(lines)
	if Hash(text) != want {
		return "", fmt.Errorf("%w: the audit records do not lead from version %d back to %d", ErrFormat, head.Version, version)
	}
	return text, nil
}

// walk calls visit with the records from the head's version downwards until visit returns false or an error.
func (s *store) walk(ctx context.Context, head *Head, visit func(Record) (bool, error)) error {
	value := head.record
	for version := head.Version; version > 0; version-- {
		if version < head.Version {
			var err error
			if value, err = s.get(ctx, AuditKey(version)); err != nil {
				return err
			}
		}
		r, err := s.record(ctx, value)
		if err != nil {
			return err
		}
		if r.Version != version {
			return fmt.Errorf("%w: %s holds version %d", ErrFormat, AuditKey(version), r.Version)
		}
		if more, err := visit(r); !more || err != nil {
			return err
		}
	}
	return nil
}
