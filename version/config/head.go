package config

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
)

// HeadKey is the key under which the head, the accepted configuration, is stored.
const HeadKey = "config/head"

// headFormat is the format version of stored heads and audit records. Other versions are rejected.
const headFormat = 1

// ErrInvalidFormat is wrapped by errors about values and payloads that cannot be decoded.
var ErrInvalidFormat = errors.New("bad stored configuration")

// Head is the value of HeadKey: the accepted configuration and its most recent changes.
type Head struct {
	Version                   uint64
	ChangeID, Author, Comment string
	UnixMS                    int64
	// Text is the whole text; it is set only if Loaded is true. A large text is stored in parts, which CompleteHead loads.
	Text     string
	Loaded   bool
	TextHash uint64
	// Changes are the most recent changes, of consecutive versions; the last one, if any, created Version.
	Changes []wire.ConfigChange

	parts []partID
	// record is the encoded audit record of Version. The proposer of the next version stores it unmodified, so that all writers
	// of that record write the same bytes.
	record []byte
	// value is the encoded head as it was read, and revision the revision of its key.
	value    []byte
	revision services.Revision
}

// storedHead is the encoding of a Head.
type storedHead struct {
	Format   uint8               `msgpack:"f"`
	Version  uint64              `msgpack:"v"`
	ChangeID string              `msgpack:"id"`
	Author   string              `msgpack:"au"`
	Comment  string              `msgpack:"co,omitempty"`
	UnixMS   int64               `msgpack:"ts"`
	TextHash uint64              `msgpack:"h"`
	Text     []byte              `msgpack:"t,omitempty"`
	Parts    []partID            `msgpack:"p,omitempty"`
	Changes  []wire.ConfigChange `msgpack:"c,omitempty"`
	Record   []byte              `msgpack:"r"`
}

// DecodeHead decodes the value of HeadKey. A text that is stored in parts is not loaded. Errors wrap ErrInvalidFormat.
func DecodeHead(value []byte) (Head, error) {
	var s storedHead
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return Head{}, fmt.Errorf("%w: head: %v", ErrInvalidFormat, err)
	}
	if s.Format != headFormat {
		return Head{}, fmt.Errorf("%w: head has format %d, this program reads %d", ErrInvalidFormat, s.Format, headFormat)
	}
	h := Head{
		Version: s.Version, ChangeID: s.ChangeID, Author: s.Author, Comment: s.Comment, UnixMS: s.UnixMS,
		TextHash: s.TextHash, Changes: s.Changes, parts: s.Parts, record: s.Record,
	}
	if len(s.Parts) > 0 {
		return h, nil
	}
	text, err := decompress(s.Text, MaxTextBytes)
	if err != nil {
		return Head{}, err
	}
	err = h.setText(string(text))
	return h, err
}

// setText sets the text after checking it against TextHash.
func (h *Head) setText(text string) error {
	if Hash(text) != h.TextHash {
		return fmt.Errorf("%w: the text of version %d does not match its hash", ErrInvalidFormat, h.Version)
	}
	h.Text, h.Loaded = text, true
	return nil
}

// reachesBackTo reports whether the changes include all those between a version and the head.
func (h *Head) reachesBackTo(version uint64) bool {
	return version < h.Version && len(h.Changes) > 0 && h.Changes[0].Version <= version+1
}

// encode returns the stored value of a head and the parts of its text; there are none if the text is stored inline.
func (h *Head) encode(l layout) ([]byte, []part, error) {
	text, parts := l.inlineOrParts([]byte(h.Text), l.splitText(h.Text))
	s := storedHead{
		Format: headFormat, Version: h.Version, ChangeID: h.ChangeID, Author: h.Author, Comment: h.Comment,
		UnixMS: h.UnixMS, TextHash: h.TextHash, Text: text, Parts: partIDs(parts), Changes: h.Changes, Record: h.record,
	}
	value, err := msgpack.Marshal(&s)
	if err != nil {
		return nil, nil, err
	}
	if len(value) > services.MaxValueBytes {
		return nil, nil, fmt.Errorf("%w: head of %d bytes", services.ErrTooLarge, len(value))
	}
	return value, parts, nil
}

// newestChanges returns the most recent changes that fit the limits of the layout.
func (l layout) newestChanges(changes []wire.ConfigChange) []wire.ConfigChange {
	bytes := 0
	start := len(changes)
	for start > 0 && len(changes)-start < l.maxHeadChanges {
		bytes += changeBytes(changes[start-1])
		if bytes > l.maxHeadChangeBytes {
			break
		}
		start--
	}
	return changes[start:]
}

// changeBytes returns an upper estimate of the encoded size of a change.
func changeBytes(c wire.ConfigChange) int {
	const fixed, perEdit, perLine = 80, 24, 5
	bytes := fixed + len(c.ChangeID) + len(c.Author)
	for _, e := range c.Edits {
		bytes += perEdit
		for _, line := range e.Added {
			bytes += perLine + len(line)
		}
	}
	return bytes
}
