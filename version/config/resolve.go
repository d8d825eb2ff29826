package config

import (
	"context"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// maxDiffVersions is the maximum number of versions between the base and the head for which a ConflictError has a diff. The diff
// needs the audit record of each of them.
const maxDiffVersions = 200

// wireChange returns the change for a proposal that becomes the given version.
func wireChange(a *attempt, version uint64, edits []wire.LineEdit) wire.ConfigChange {
	return wire.ConfigChange{
		Version: version, ChangeID: a.ChangeID, Author: a.Author, UnixMS: a.Time.UnixMilli(), Edits: edits, TextHash: a.hash,
	}
}

// resolve determines the outcome of a proposal whose base is older than the head. Versions are consecutive, so the proposal was
// accepted if and only if the version after its base has its change id.
func (s *store) resolve(ctx context.Context, a *attempt, head *Head) (Outcome, bool, error) {
	successor, err := s.identityOf(ctx, head, a.Base+1)
	if err != nil {
		return Outcome{}, false, err
	}
	if successor.changeID == a.ChangeID {
		return s.resolveAccepted(a, head, successor)
	}
	if err := s.loadText(ctx, head, a.Text); err != nil {
		return Outcome{}, false, err
	}
	if head.Text == a.Text {
		return s.confirmUnchanged(ctx, head)
	}
	return Outcome{}, true, s.conflictError(ctx, a, head)
}

// resolveAccepted returns the outcome of a proposal whose change id was accepted, or an error if it was accepted for another text.
func (s *store) resolveAccepted(a *attempt, head *Head, successor changeIdentity) (Outcome, bool, error) {
	if successor.textHash != a.hash {
		return Outcome{}, true, fmt.Errorf("%w: change id %s was used for another text in version %d", ErrInvalidProposal, a.ChangeID, a.Base+1)
	}
	return Outcome{Version: a.Base + 1, Head: head.Version}, true, nil
}

// changeIdentity is the id of an accepted change and the hash of the resulting text.
type changeIdentity struct {
	changeID string
	textHash uint64
}

// identityOf returns the identity of the change that created a version, which must be at most head.Version. It reads the audit
// record if the head does not have the change.
func (s *store) identityOf(ctx context.Context, head *Head, version uint64) (changeIdentity, error) {
	if version == head.Version {
		return changeIdentity{head.ChangeID, head.TextHash}, nil
	}
	for _, c := range head.Changes {
		if c.Version == version {
			return changeIdentity{c.ChangeID, c.TextHash}, nil
		}
	}
	value, err := s.getExisting(ctx, AuditKey(version))
	if err != nil {
		return changeIdentity{}, err
	}
	r, _, err := decodeRecord(value)
	return changeIdentity{r.ChangeID, r.TextHash}, err
}

// conflictError returns a ConflictError with the differences between the proposal's base and the head.
func (s *store) conflictError(ctx context.Context, a *attempt, head *Head) error {
	c := &ConflictError{Base: a.Base, Head: head.Version, Author: head.Author, Time: time.UnixMilli(head.UnixMS).UTC()}
	if head.Version-a.Base > maxDiffVersions {
		return c
	}
	// The diff only helps the operator, so the ConflictError is returned without it if reading fails.
	base, err := s.textAt(ctx, head, a.Base)
	if err == nil {
		c.Diff = UnifiedDiff(fmt.Sprintf("version %d", a.Base), fmt.Sprintf("version %d", head.Version), base, head.Text)
	}
	return c
}

// textAt returns the text of an earlier version by reverting the changes between it and the head.
func (s *store) textAt(ctx context.Context, head *Head, version uint64) (string, error) {
	lines := SplitLines(head.Text)
	want := Hash("")
	err := s.walkRecords(ctx, head, func(r AuditRecord) (more bool, err error) {
		if r.Version == version {
			want = r.TextHash
			return false, nil
		}
		lines, err = Patch(lines, r.inverse())
		return true, err
	})
	if err != nil {
		return "", err
	}
	text := JoinLines(lines)
	if Hash(text) != want {
		return "", fmt.Errorf("%w: the audit records do not lead from version %d back to %d", ErrInvalidFormat, head.Version, version)
	}
	return text, nil
}

// walkRecords calls visit with the audit records in descending order of version, starting at the head, until visit returns false or
// an error.
func (s *store) walkRecords(ctx context.Context, head *Head, visit func(AuditRecord) (bool, error)) error {
	value := head.record
	for version := head.Version; version > 0; version-- {
		if version < head.Version {
			var err error
			if value, err = s.getExisting(ctx, AuditKey(version)); err != nil {
				return err
			}
		}
		r, err := s.loadRecord(ctx, value)
		if err != nil {
			return err
		}
		if r.Version != version {
			return fmt.Errorf("%w: %s holds version %d", ErrInvalidFormat, AuditKey(version), r.Version)
		}
		if more, err := visit(r); !more || err != nil {
			return err
		}
	}
	return nil
}
