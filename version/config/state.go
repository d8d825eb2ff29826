// Package config manages the accepted configuration: the numbered versions of the rules file, the changes between them, their
// replication between processes, and the publication of new versions by compare-and-swap.
//
// State is a state machine without I/O; each process has one. Propose, ReadHead, CompleteHead, ReadAuditRecords and TextAt block
// on calls to the platform, so workers call them and control goroutines must not.
package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// Errors returned by State. It also returns rules.Faults if a newer program accepted a text that this program cannot parse.
var (
	// ErrVersionGap means that changes do not start at the current version. The caller pulls again from the current version.
	ErrVersionGap = errors.New("changes do not connect to the current version")
	// ErrTextNotLoaded means that a head's changes do not reach back to the current version and its text was not loaded. The
	// caller calls CompleteHead.
	ErrTextNotLoaded = errors.New("the head's text is not loaded")
	// ErrHashMismatch means that the text that results from changes or a snapshot does not have the declared hash. The caller
	// pulls from another peer, and with Since zero if it happens again.
	ErrHashMismatch = errors.New("the text does not match its hash")
	// ErrMalformedPush means that a push violates the message format or its limits.
	ErrMalformedPush = errors.New("malformed configuration push")
)

// Config holds the settings of a State. The limits apply to what the process sends and keeps; those of a peer may differ.
type Config struct {
	// MaxHistoryChanges is the number of changes kept to answer pulls. The default, 4096, covers seven hours at 13,000 changes a
	// day, so that a region that was partitioned for an hour need not pull the whole text. With zero, every pull is answered with
	// the whole text.
	MaxHistoryChanges int
	// MaxHistoryBytes bounds the size of those changes and of the lines that they removed, in bytes; default 2 MiB. Zero has the
	// same effect as zero MaxHistoryChanges.
	MaxHistoryBytes int
	// MaxPushBytes is the maximum size of one push of changes, in bytes; default 256 KiB. It must be positive.
	MaxPushBytes int
	// PartBytes is the size of one part of a snapshot before compression, in bytes; default 512 KiB. It must be positive. A
	// receiver can combine the parts of several peers only if they use the same size.
	PartBytes int
	// MaxAssemblies is the number of snapshots that can be received at the same time; default 4. It must be positive.
	MaxAssemblies int
}

// maxPayloadBytes leaves room in a frame for the other fields of a message and for the gzip overhead of incompressible data.
const maxPayloadBytes = wire.MaxFrameBytes - 64<<10

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxHistoryChanges: 4096,
		MaxHistoryBytes:   2 << 20,
		MaxPushBytes:      256 << 10,
		PartBytes:         512 << 10,
		MaxAssemblies:     4,
	}
}

// Validate returns an error that names the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.MaxHistoryChanges < 0:
		return fmt.Errorf("config.MaxHistoryChanges is %d, want at least 0", c.MaxHistoryChanges)
	case c.MaxHistoryBytes < 0:
		return fmt.Errorf("config.MaxHistoryBytes is %d, want at least 0", c.MaxHistoryBytes)
	case c.MaxPushBytes < 1 || c.MaxPushBytes > maxPayloadBytes:
		return fmt.Errorf("config.MaxPushBytes is %d, want 1 to %d", c.MaxPushBytes, maxPayloadBytes)
	case c.PartBytes < 1 || c.PartBytes > maxPayloadBytes:
		return fmt.Errorf("config.PartBytes is %d, want 1 to %d", c.PartBytes, maxPayloadBytes)
	case c.MaxAssemblies < 1:
		return fmt.Errorf("config.MaxAssemblies is %d, want at least 1", c.MaxAssemblies)
	}
	return nil
}

// Accepted is an accepted version of the configuration. It is immutable and safe for concurrent use.
type Accepted struct {
	Version          uint64
	ChangeID, Author string
	// Comment is set only if the version was adopted from the head; messages between processes do not carry it.
	Comment  string
	Time     time.Time
	Text     string
	TextHash uint64
	Rules    *rules.Set
}

// Stats holds the counters of a State.
type Stats struct {
	// Adopted counts versions that became the current one.
	Adopted uint64
	// Ignored counts heads, changes, deltas and snapshot parts of versions that are not newer than the current one.
	Ignored uint64
	// Rejected counts heads and pushes for which an error was returned.
	Rejected uint64
}

// State is the accepted configuration of one process. Its version never decreases. It is not safe for concurrent use.
type State struct {
	cfg     Config
	current *Accepted
	history history
	// assemblies are the incomplete snapshots of newer versions, in order of use; the most recently used one is last.
	assemblies []*assembly
	// snapshot caches the snapshot pushes of the current version, because many peers ask for them after an outage.
	snapshot []wire.ConfigPush
	// lastDelta caches the delta of the last answer that had one. Its Version is zero if there is none.
	lastDelta wire.ConfigDelta
	// unreadable caches the last text that could not be parsed, so that it is not parsed again when other peers send it.
	unreadable unreadable
	stats      Stats
}

// unreadable identifies a text by its hash and holds the faults that its parse returned.
type unreadable struct {
	hash   uint64
	faults rules.Faults
}

// New returns a State without an accepted version. It panics if cfg is invalid.
func New(cfg Config) *State {
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	return &State{cfg: cfg}
}

// Current returns the accepted version, or nil if there is none yet.
func (s *State) Current() *Accepted { return s.current }

// Version returns the number of the accepted version, or zero if there is none yet.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Stats returns a copy of the counters.
func (s *State) Stats() Stats { return s.stats }

// candidate is a newer version whose text has not been validated yet.
type candidate struct {
	Accepted
	// draft holds the text as edits of the current one. It is nil if the whole text was received.
	draft *rules.Draft
	// steps are the known steps that end at the version.
	steps []step
}

// adopt makes a candidate the current version if its text matches its hash and parses without faults.
func (s *State) adopt(c candidate) error {
	if Hash(c.Text) != c.TextHash {
		return fmt.Errorf("%w: version %d", ErrHashMismatch, c.Version)
	}
	set, faults := s.parse(c)
	if len(faults) > 0 {
		return fmt.Errorf("version %d cannot be read by this program: %w", c.Version, faults)
	}
	c.Rules = set
	accepted := c.Accepted
	s.current, s.snapshot = &accepted, nil
	s.history.extend(c.Version, c.steps, s.cfg)
	s.removeObsoleteAssemblies()
	s.stats.Adopted++
	return nil
}

// parse compiles a candidate, unless its text is the one whose faults are cached.
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

// compile parses only the changed lines if the candidate has a draft, and the whole text otherwise.
func (c candidate) compile() (*rules.Set, rules.Faults) {
	name := fmt.Sprintf("version %d", c.Version)
	if c.draft != nil {
		return c.draft.Compile(name, c.Text)
	}
	return rules.ParseString(name, c.Text)
}

// countResult counts a rejected call and reports whether the version has increased since before.
func (s *State) countResult(before uint64, err error) (bool, error) {
	if err != nil {
		s.stats.Rejected++
	}
	return s.Version() > before, err
}
