// Package config holds the accepted configuration: numbered versions of the rules file, the changes between them, their spread
// from process to process, and the writing of new versions by compare-and-swap.
//
// State is a pure state machine, one per process. Propose, ReadHead, Complete, Audit and TextAt block on the platform and are
// called by workers, never by a control goroutine.
package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// Errors of State besides rules.Faults, which mean that a newer program accepted a text that this one cannot read.
var (
	// ErrGap means that changes do not connect to the current version; the caller pulls again from the current version.
	ErrGap = errors.New("changes do not connect to the current version")
	// ErrNeedText means that a head's changes do not connect and its text was not loaded; the caller completes the head.
	ErrNeedText = errors.New("the head's text is not loaded")
	// ErrHash means that changes or a snapshot do not give the text that they announce; the caller pulls from another peer,
	// with Since zero if it happens again.
	ErrHash = errors.New("the text does not match its hash")
	// ErrMessage means that a push is malformed.
	ErrMessage = errors.New("malformed configuration push")
)

// Config has the settings of a State. Its limits apply to what the process sends and keeps; a peer may have others.
type Config struct {
	// HistoryChanges is the number of changes kept for peers that pull; default 4096, those of seven hours at 13,000 a day, so that a
	// region that was cut off for an hour need not pull the whole text. Zero answers every pull with the whole text.
	HistoryChanges int
	// HistoryBytes bounds the size of those changes with the lines that they removed, in bytes; default 2 MiB. Zero is like zero
	// HistoryChanges.
	HistoryBytes int
	// PushBytes is the largest size of one push of changes, in bytes; default 256 KiB. Zero is invalid.
	PushBytes int
	// PartBytes is the size of one part of a snapshot before compression, in bytes; default 512 KiB. It must be the same in
	// all processes for a receiver to use parts from several peers. Zero is invalid.
	PartBytes int
	// Assemblies is the number of snapshots that may be received at the same time; default 4. Zero is invalid.
	Assemblies int
}

// maxPayloadBytes leaves room in a frame for the fields around the payload and for the overhead of incompressible data.
const maxPayloadBytes = wire.MaxFrameBytes - 64<<10

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		HistoryChanges: 4096,
		HistoryBytes:   2 << 20,
		PushBytes:      256 << 10,
		PartBytes:      512 << 10,
		Assemblies:     4,
	}
}

// Validate names the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.HistoryChanges < 0:
		return fmt.Errorf("config.HistoryChanges is %d, want at least 0", c.HistoryChanges)
	case c.HistoryBytes < 0:
		return fmt.Errorf("config.HistoryBytes is %d, want at least 0", c.HistoryBytes)
	case c.PushBytes < 1 || c.PushBytes > maxPayloadBytes:
		return fmt.Errorf("config.PushBytes is %d, want 1 to %d", c.PushBytes, maxPayloadBytes)
	case c.PartBytes < 1 || c.PartBytes > maxPayloadBytes:
		return fmt.Errorf("config.PartBytes is %d, want 1 to %d", c.PartBytes, maxPayloadBytes)
	case c.Assemblies < 1:
		return fmt.Errorf("config.Assemblies is %d, want at least 1", c.Assemblies)
	}
	return nil
}

// Accepted is one accepted version. It is immutable and may be read by any goroutine.
type Accepted struct {
	Version          uint64
	ChangeID, Author string
	// Comment is known only if the version was adopted from the head; messages between processes do not carry it.
	Comment  string
	Time     time.Time
	Text     string
	TextHash uint64
	Rules    *rules.Set
}

// Stats counts what a State did.
type Stats struct {
	// Adopted counts versions that came into effect.
	Adopted uint64
	// Ignored counts heads, changes and snapshot parts of a version that is not newer than the current one.
	Ignored uint64
	// Refused counts heads and pushes that returned an error.
	Refused uint64
}

// State is the accepted configuration of one process. It only ever moves to a higher version. One goroutine uses it.
type State struct {
	cfg     Config
	current *Accepted
	history history
	// assemblies are snapshots of newer versions that have not been received completely, the one used last at the end.
	assemblies []*assembly
	// snapshot caches the parts of the current version, which many peers ask for after an outage.
	snapshot []wire.ConfigPush
	// lastRun is the last answer with a run; its Version is zero before there is one.
	lastRun wire.ConfigRun
	// unreadable is the last text that could not be parsed, so that peers that send it again cost no second parse.
	unreadable unreadable
	stats      Stats
}

type unreadable struct {
	hash   uint64
	faults rules.Faults
}

// New returns a State without an accepted version. It panics if cfg is not valid.
func New(cfg Config) *State {
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	return &State{cfg: cfg}
}

// Current returns the accepted version, or nil before there is any.
func (s *State) Current() *Accepted { return s.current }

// Version returns the number of the accepted version, or zero before there is any.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// candidate is a newer version that is not checked yet.
type candidate struct {
	Accepted
	// draft is the text as edits of the current one; nil if the text was received as a whole.
	draft *rules.Draft
	// steps are those that led to the version, as far as they are known.
	steps []step
}

// adopt makes a candidate the current version if its text has the right hash and no faults.
func (s *State) adopt(c candidate) error {
	if Hash(c.Text) != c.TextHash {
		return fmt.Errorf("%w: version %d", ErrHash, c.Version)
	}
	set, faults := s.parse(c)
	if len(faults) > 0 {
		return fmt.Errorf("version %d cannot be read by this program: %w", c.Version, faults)
	}
	c.Rules = set
	accepted := c.Accepted
	s.current, s.snapshot = &accepted, nil
	s.history.extend(c.Version, c.steps, s.cfg)
	s.dropAssemblies()
	s.stats.Adopted++
	return nil
}

func (s *State) parse(c candidate) (*rules.Set, rules.Faults) {
	if len(s.unreadable.faults) > 0 && s.unreadable.hash == c.TextHash {
		return nil, s.unreadable.faults
	}
	set, faults := c.compile()
	if len(faults) > 0 {
		s.unreadable = unreadable{hash: c.TextHash, faults: faults}
	}
	return set, faults
}

// compile costs what changed, or the whole text if it was received as a whole.
func (c candidate) compile() (*rules.Set, rules.Faults) {
	name := fmt.Sprintf("version %d", c.Version)
	if c.draft != nil {
		return c.draft.Compile(name, c.Text)
	}
	return rules.ParseString(name, c.Text)
}

// result counts the end of a call.
func (s *State) result(before uint64, err error) (bool, error) {
	if err != nil {
		s.stats.Refused++
	}
	return s.Version() > before, err
}
