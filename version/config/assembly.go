package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// maxParts limits the number of parts of a snapshot, so that an invalid message cannot allocate much memory.
const maxParts = 1 << 14

// assembly is a snapshot of which some parts have been received.
type assembly struct {
	first   wire.ConfigSnapshotPart
	content []string
	have    []bool
	missing int
	bytes   int
}

// matches reports whether a part belongs to the snapshot.
func (a *assembly) matches(p *wire.ConfigSnapshotPart) bool {
	return a.first.Version == p.Version && a.first.TextHash == p.TextHash && a.first.Parts == p.Parts
}

// receivePart stores a part of a snapshot and adopts the snapshot once it is complete.
func (s *State) receivePart(p *wire.ConfigSnapshotPart) error {
	if p.Version <= s.Version() {
		s.stats.Ignored++
		return nil
	}
	if p.Part >= p.Parts || p.Parts > maxParts {
		return fmt.Errorf("%w: part %d of %d", ErrMalformedPush, p.Part, p.Parts)
	}
	content, err := decompress(p.Data, maxPayloadBytes)
	if err != nil {
		return err
	}
	a := s.assemblyFor(p)
	if err := a.add(p.Part, string(content)); err != nil {
		s.removeAssembly(a)
		return err
	}
	if a.missing > 0 {
		return nil
	}
	s.removeAssembly(a)
	return s.adoptSnapshot(a)
}

// assemblyFor returns the assembly that a part belongs to. If there is none, it creates one, which replaces the least recently used
// one if there are MaxAssemblies.
func (s *State) assemblyFor(p *wire.ConfigSnapshotPart) *assembly {
	i := slices.IndexFunc(s.assemblies, func(a *assembly) bool { return a.matches(p) })
	if i >= 0 {
		a := s.assemblies[i]
		s.assemblies = append(slices.Delete(s.assemblies, i, i+1), a)
		return a
	}
	if len(s.assemblies) == s.cfg.MaxAssemblies {
		s.assemblies = slices.Delete(s.assemblies, 0, 1)
	}
	a := &assembly{first: *p, content: make([]string, p.Parts), have: make([]bool, p.Parts), missing: int(p.Parts)}
	a.first.Data = nil
	s.assemblies = append(s.assemblies, a)
	return a
}

// add stores a part. It replaces an earlier copy of the part, so that another answer can correct a wrong one.
func (a *assembly) add(part uint32, content string) error {
	a.bytes += len(content) - len(a.content[part])
	a.content[part] = content
	if !a.have[part] {
		a.have[part] = true
		a.missing--
	}
	if a.bytes > MaxTextBytes {
		return fmt.Errorf("%w: snapshot of version %d has more than %d bytes", ErrMalformedPush, a.first.Version, MaxTextBytes)
	}
	return nil
}

// adoptSnapshot adopts the text of a complete snapshot.
func (s *State) adoptSnapshot(a *assembly) error {
	text := strings.Join(a.content, "")
	return s.adopt(candidate{
		Accepted: Accepted{
			Version: a.first.Version, ChangeID: a.first.ChangeID, Author: a.first.Author,
			Time: time.UnixMilli(a.first.UnixMS).UTC(), Text: text, TextHash: a.first.TextHash,
		},
	})
}

func (s *State) removeAssembly(a *assembly) {
	s.assemblies = slices.DeleteFunc(s.assemblies, func(other *assembly) bool { return other == a })
}

// removeObsoleteAssemblies removes the snapshots that are not newer than the current version.
func (s *State) removeObsoleteAssemblies() {
	s.assemblies = slices.DeleteFunc(s.assemblies, func(a *assembly) bool { return a.first.Version <= s.Version() })
}
