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

// Errors of Propose besides those of the platform, rules.Faults and *ConflictError.
var (
	// ErrProposal means that the proposal itself is incomplete or too large.
	ErrProposal = errors.New("invalid proposal")
	// ErrStale means that the platform only returned heads older than the proposal's base; nothing was written.
	ErrStale = errors.New("the platform returned an older configuration than the proposal's base")
)

// Proposal is a new text of the rules file and what it was made from.
type Proposal struct {
	// File names the text in faults.
	File string
	Text string
	// Base is the version that the operator edited; zero when there was none.
	Base uint64
	// ChangeID is unique to this change. A proposal that is repeated with the same ChangeID is accepted at most once.
	ChangeID string
	Author   string
	// Comment may be empty; each rule has its own.
	Comment string
	// Time is when the operator made the proposal; it is stored in milliseconds.
	Time time.Time
}

// Outcome says how a proposal without an error ended.
type Outcome struct {
	// Version is the version that has the proposal's text.
	Version uint64
	// Unchanged means that the accepted text was already the proposed one. Its version stays in force.
	Unchanged bool
	// Head is the version that was accepted last when Propose returned; it is higher than Version if others have changed
	// the configuration since.
	Head uint64
}

// ConflictError means that others changed the configuration after the proposal's base. Nothing was accepted.
type ConflictError struct {
	// Base is the version that the proposal was made from, Head the accepted one.
	Base, Head uint64
	// Author and Time are those of Head.
	Author string
	Time   time.Time
	// Diff shows what has changed from Base to Head, in unified format. It is empty if the changes could not be read.
	Diff string
}

// Error says which versions conflict, without the diff.
func (e *ConflictError) Error() string {
	if e.Head == e.Base {
		return fmt.Sprintf("the configuration was changed after version %d", e.Base)
	}
	return fmt.Sprintf("the proposal is based on version %d, but version %d by %s is accepted", e.Base, e.Head, e.Author)
}

// Propose writes a new text as the version after p.Base. It blocks on the platform for at most a few seconds besides the calls
// themselves. If the text has faults, the error is rules.Faults; if others were first, it is a *ConflictError. After an error
// that wraps services.ErrOutcomeUnknown the proposal may have been accepted; repeating it with the same ChangeID settles that.
// After any other error this call has changed nothing that is in effect.
func Propose(ctx context.Context, kv services.KV, p Proposal) (Outcome, error) {
	outcome, err := newStore(kv).propose(ctx, p)
	return outcome, trace.Wrap(err)
}

// check refuses proposals that no head could accept.
func (p *Proposal) check() error {
	switch {
	case p.ChangeID == "":
		return fmt.Errorf("%w: no change id", ErrProposal)
	case p.Author == "":
		return fmt.Errorf("%w: no author", ErrProposal)
	case len(p.Text) > MaxTextBytes:
		return fmt.Errorf("%w: text of %d bytes exceeds %d", ErrProposal, len(p.Text), MaxTextBytes)
	}
	set, faults := rules.Parse(p.File, []byte(p.Text))
	if len(faults) > 0 {
		return faults
	}
	if len(set.Services()) == 0 {
		// A file that was emptied by accident would otherwise stop all traffic.
		return fmt.Errorf("%w: %s has no service rule", ErrProposal, p.File)
	}
	return nil
}

// attempt is the progress of one proposal through repeated reads and writes of the head.
type attempt struct {
	Proposal
	hash uint64
	// pending means that the answer to a write was lost, so that the proposal may have been accepted already or may still be.
	pending bool
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
		outcome, done, err = s.try(ctx, a)
		if done {
			return outcome, err
		}
		if waitErr := s.wait(ctx, i); waitErr != nil {
			return Outcome{}, a.unsettled(waitErr)
		}
	}
	return Outcome{}, a.unsettled(err)
}

// unsettled returns the error for a proposal whose attempts have ended with err.
func (a *attempt) unsettled(err error) error {
	if a.pending {
		return fmt.Errorf("%w: change %s: %v", services.ErrOutcomeUnknown, a.ChangeID, err)
	}
	if errors.Is(err, services.ErrConflict) {
		return &ConflictError{Base: a.Base, Head: a.Base}
	}
	return err
}

// try reads the head and acts on it once. It returns false if the proposal is not decided and may be tried again.
func (s *store) try(ctx context.Context, a *attempt) (Outcome, bool, error) {
	head, err := s.head(ctx)
	if err != nil {
		return Outcome{}, !a.pending && !errors.Is(err, services.ErrUnavailable), err
	}
	if head.Version < a.Base {
		return Outcome{}, false, fmt.Errorf("%w: version %d, base %d", ErrStale, head.Version, a.Base)
	}
	if head.Version > a.Base {
		return s.settle(ctx, a, &head)
	}
	if err := s.loadText(ctx, &head, a.Text); err != nil {
		return Outcome{}, !a.pending, err
	}
	if head.Text == a.Text {
		return s.confirm(ctx, &head)
	}
	value, err := s.prepare(ctx, a, &head)
	if err != nil {
		return Outcome{}, !a.pending, err
	}
	return s.swap(ctx, a, head.revision, value)
}

// confirm reports a proposal as unchanged if the head, which has the proposed text, is the accepted one and no stale answer: only then can
// the same value replace it. Otherwise an operator would take a change for accepted that another one has undone.
func (s *store) confirm(ctx context.Context, head *Head) (Outcome, bool, error) {
	if _, err := s.kv.CompareAndSwap(ctx, HeadKey, head.revision, head.value, 0); err != nil {
		return Outcome{}, false, err
	}
	return Outcome{Version: head.Version, Unchanged: true, Head: head.Version}, true, nil
}

// prepare writes everything that the next head refers to and returns the value of that head.
func (s *store) prepare(ctx context.Context, a *attempt, old *Head) ([]byte, error) {
	next, err := s.next(ctx, a, old)
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
		err = s.create(ctx, AuditKey(old.Version), old.record)
	}
	return value, err
}

// swap writes the head in place of the one at a revision. After a lost answer the same value is written again at the same
// revision, of which at most one write can take effect.
func (s *store) swap(ctx context.Context, a *attempt, revision services.Revision, value []byte) (Outcome, bool, error) {
	_, err := s.kv.CompareAndSwap(ctx, HeadKey, revision, value, 0)
	switch {
	case err == nil:
		return Outcome{Version: a.Base + 1, Head: a.Base + 1}, true, nil
	case errors.Is(err, services.ErrConflict), errors.Is(err, services.ErrUnavailable):
		return Outcome{}, false, err
	case errors.Is(err, services.ErrTooLarge):
		return Outcome{}, !a.pending, err
	default:
		// Any other error, such as an expired context, leaves open whether the write took effect.
		a.pending = true
		return Outcome{}, false, err
	}
}

// next returns the head that follows old with the proposed text, and writes the parts of its record.
func (s *store) next(ctx context.Context, a *attempt, old *Head) (*Head, error) {
	oldLines := Lines(old.Text)
	edits := Diff(oldLines, Lines(a.Text))
	version := a.Base + 1
	record, parts, err := Record{
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
		Changes: s.layout.recent(append(old.Changes[:len(old.Changes):len(old.Changes)], change)),
		record:  record,
	}, nil
}
