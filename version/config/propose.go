package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rules"
)

// Errors returned by Propose. It also returns errors of the platform, rules.Faults and *ConflictError.
var (
	// ErrInvalidProposal means that the proposal is incomplete or too large, has no service rule, or reuses the change id of another
	// text.
	ErrInvalidProposal = errors.New("invalid proposal")
	// ErrStaleRead means that the platform returned only heads older than the proposal's base. Nothing was written.
	ErrStaleRead = errors.New("the platform returned an older configuration than the proposal's base")
)

// Proposal is a new text of the rules file, with the version that it is based on.
type Proposal struct {
	// File is the name of the text in faults.
	File string
	Text string
	// Base is the version that the operator edited; zero if there was none.
	Base uint64
	// ChangeID identifies the change. A proposal that is repeated with the same ChangeID is accepted at most once.
	ChangeID string
	Author   string
	// Comment is optional; each rule has its own comment.
	Comment string
	// Time is when the operator made the proposal. It is stored with millisecond precision.
	Time time.Time
}

// Outcome is the result of a successful proposal.
type Outcome struct {
	// Version is the version that has the proposal's text.
	Version uint64
	// Unchanged means that the proposed text was already the accepted one. Its version stays in effect.
	Unchanged bool
	// Head is the latest accepted version when Propose returned. It is higher than Version if others have changed the
	// configuration since.
	Head uint64
}

// ConflictError means that others changed the configuration after the proposal's base. The proposal was not accepted.
type ConflictError struct {
	// Base is the version that the proposal is based on, Head the accepted one. They are equal if the accepted version is not
	// known; Author, Time and Diff are then empty.
	Base, Head uint64
	// Author and Time are those of Head.
	Author string
	Time   time.Time
	// Diff is the unified diff from Base to Head. It is also empty if the changes could not be read or if there are more than
	// maxDiffVersions of them.
	Diff string
}

// Error names the conflicting versions; it does not include the diff.
func (e *ConflictError) Error() string {
	if e.Head == e.Base {
		return fmt.Sprintf("the configuration was changed after version %d", e.Base)
	}
	return fmt.Sprintf("the proposal is based on version %d, but version %d by %s is accepted", e.Base, e.Head, e.Author)
}

// Propose publishes a new text as the version after p.Base. It retries failed calls to the platform, with waits of at most a few
// seconds in total. If the text cannot be parsed, the error is rules.Faults; if another change was accepted after p.Base and the
// accepted text is not the proposed one, it is a *ConflictError. After an error that wraps services.ErrOutcomeUnknown the
// proposal may have been accepted; repeating it with the same ChangeID determines whether it was. After any other error this call
// has not changed the accepted configuration.
func Propose(ctx context.Context, kv services.KV, p Proposal) (Outcome, error) {
	outcome, err := newStore(kv).propose(ctx, p)
	return outcome, trace.Wrap(err)
}

// check rejects proposals that are invalid whatever the current head is.
func (p *Proposal) check() error {
	switch {
	case p.ChangeID == "":
		return fmt.Errorf("%w: no change id", ErrInvalidProposal)
	case p.Author == "":
		return fmt.Errorf("%w: no author", ErrInvalidProposal)
	case len(p.Text) > MaxTextBytes:
		return fmt.Errorf("%w: text of %d bytes exceeds %d", ErrInvalidProposal, len(p.Text), MaxTextBytes)
	}
	set, faults := rules.Parse(p.File, []byte(p.Text))
	if len(faults) > 0 {
		return faults
	}
	if len(set.Services()) == 0 {
		// Without this check, a file that was emptied by accident would stop all traffic.
		return fmt.Errorf("%w: %s has no service rule", ErrInvalidProposal, p.File)
	}
	return nil
}

// attempt is the state of one proposal across retries.
type attempt struct {
	Proposal
	hash uint64
	// outcomeUnknown means that the response to a write was lost, so that the proposal may have been accepted or may still be.
	outcomeUnknown bool
}

func (s *store) propose(ctx context.Context, p Proposal) (Outcome, error) {
	if err := p.check(); err != nil {
		return Outcome{}, err
	}
	a := &attempt{Proposal: p, hash: Hash(p.Text)}
	var err error
	for i := range maxAttempts {
		var outcome Outcome
		var done bool
		outcome, done, err = s.tryOnce(ctx, a)
		if done {
			return outcome, err
		}
		if waitErr := s.wait(ctx, i); waitErr != nil {
			return Outcome{}, a.finalError(waitErr)
		}
	}
	return Outcome{}, a.finalError(err)
}

// finalError returns the error of a proposal whose last attempt failed with err.
func (a *attempt) finalError(err error) error {
	if a.outcomeUnknown {
		return fmt.Errorf("%w: change %s: %v", services.ErrOutcomeUnknown, a.ChangeID, err)
	}
	if errors.Is(err, services.ErrConflict) {
		return &ConflictError{Base: a.Base, Head: a.Base}
	}
	return err
}

// tryOnce reads the head and makes one attempt. It returns false if the outcome is still open and another attempt may be made.
func (s *store) tryOnce(ctx context.Context, a *attempt) (Outcome, bool, error) {
	head, err := s.head(ctx)
	if err != nil {
		return Outcome{}, !a.outcomeUnknown && !errors.Is(err, services.ErrUnavailable), err
	}
	if head.Version < a.Base {
		return Outcome{}, false, fmt.Errorf("%w: version %d, base %d", ErrStaleRead, head.Version, a.Base)
	}
	if head.Version > a.Base {
		return s.resolve(ctx, a, &head)
	}
	if err := s.loadText(ctx, &head, a.Text); err != nil {
		return Outcome{}, !a.outcomeUnknown, err
	}
	if head.Text == a.Text {
		return s.confirmUnchanged(ctx, &head)
	}
	value, err := s.writeReferenced(ctx, a, &head)
	if err != nil {
		return Outcome{}, !a.outcomeUnknown, err
	}
	return s.swapHead(ctx, a, head.revision, value)
}

// confirmUnchanged reports a proposal as unchanged if the head that was read, which has the proposed text, is still the accepted
// one. It writes the same value again at the same revision, which fails if the read was stale. Without that check, an operator
// could be told that a text is in effect which a later change has replaced.
func (s *store) confirmUnchanged(ctx context.Context, head *Head) (Outcome, bool, error) {
	if _, err := s.kv.CompareAndSwap(ctx, HeadKey, head.revision, head.value, 0); err != nil {
		return Outcome{}, false, err
	}
	return Outcome{Version: head.Version, Unchanged: true, Head: head.Version}, true, nil
}

// writeReferenced writes all values that the next head refers to and returns the encoded head.
func (s *store) writeReferenced(ctx context.Context, a *attempt, old *Head) ([]byte, error) {
	next, err := s.buildNext(ctx, a, old)
	if err != nil {
		return nil, err
	}
	value, parts, err := next.encode(s.layout)
	if err != nil {
		return nil, err
	}
	if err := s.createParts(ctx, parts, old.parts); err != nil {
		return nil, err
	}
	if old.Version > 0 {
		err = s.createIfAbsent(ctx, AuditKey(old.Version), old.record)
	}
	return value, err
}

// swapHead replaces the head at a revision. After a lost response the same value is written again at the same revision; at most
// one of these writes can take effect.
func (s *store) swapHead(ctx context.Context, a *attempt, revision services.Revision, value []byte) (Outcome, bool, error) {
	_, err := s.kv.CompareAndSwap(ctx, HeadKey, revision, value, 0)
	switch {
	case err == nil:
		return Outcome{Version: a.Base + 1, Head: a.Base + 1}, true, nil
	case errors.Is(err, services.ErrConflict), errors.Is(err, services.ErrUnavailable):
		return Outcome{}, false, err
	case errors.Is(err, services.ErrTooLarge):
		return Outcome{}, !a.outcomeUnknown, err
	default:
		// After any other error, such as an expired context, the write may have taken effect.
		a.outcomeUnknown = true
		return Outcome{}, false, err
	}
}

// buildNext returns the head that follows old with the proposed text, after writing the parts of its audit record.
func (s *store) buildNext(ctx context.Context, a *attempt, old *Head) (*Head, error) {
	oldLines := SplitLines(old.Text)
	edits := Diff(oldLines, SplitLines(a.Text))
	version := a.Base + 1
	record, parts, err := AuditRecord{
		Version: version, ChangeID: a.ChangeID, Author: a.Author, Comment: a.Comment, Time: a.Time, TextHash: a.hash,
		Edits: recordEdits(oldLines, edits),
	}.encode(s.layout)
	if err != nil {
		return nil, err
	}
	if err := s.createParts(ctx, parts, nil); err != nil {
		return nil, err
	}
	change := wireChange(a, version, edits)
	return &Head{
		Version: version, ChangeID: a.ChangeID, Author: a.Author, Comment: a.Comment, UnixMS: a.Time.UnixMilli(),
		Text: a.Text, Loaded: true, TextHash: a.hash,
		Changes: s.layout.newestChanges(append(old.Changes[:len(old.Changes):len(old.Changes)], change)),
		record:  record,
	}, nil
}
