package config

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// auditPrefix is the key prefix of audit records.
const auditPrefix = "config/audit/"

// AuditKey returns the key of the audit record of a version.
func AuditKey(version uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, version) }

// AuditRecord is the audit record of one accepted version.
type AuditRecord struct {
	Version                   uint64
	ChangeID, Author, Comment string
	Time                      time.Time
	// TextHash is the hash of the text of Version.
	TextHash uint64
	// Edits turn the text of the previous version into that of Version, in ascending order of line.
	Edits []AuditEdit
}

// AuditEdit replaces the Removed lines at Line, counted from zero in the previous text, by the Added ones.
type AuditEdit struct {
	Line    uint32   `msgpack:"l"`
	Removed []string `msgpack:"r,omitempty"`
	Added   []string `msgpack:"a,omitempty"`
}

// AuditLine is a line that a version removed or added. Comment is empty for lines without a rule.
type AuditLine struct {
	Text    string
	Comment rules.Comment
}

// Removed returns the lines that the version removed, in the order of the previous text.
func (r AuditRecord) Removed() []AuditLine {
	return r.auditLines(func(e AuditEdit) []string { return e.Removed })
}

// Added returns the lines that the version added, in the order of its text.
func (r AuditRecord) Added() []AuditLine {
	return r.auditLines(func(e AuditEdit) []string { return e.Added })
}

// auditLines returns the lines of one side of each edit.
func (r AuditRecord) auditLines(side func(AuditEdit) []string) []AuditLine {
	var lines []AuditLine
	for _, e := range r.Edits {
		for _, text := range side(e) {
			comment, _ := rules.ParseLineComment(text)
			lines = append(lines, AuditLine{Text: text, Comment: comment})
		}
	}
	return lines
}

// inverse returns the edits that turn the version's text back into the previous one.
func (r AuditRecord) inverse() []wire.LineEdit {
	edits := make([]wire.LineEdit, len(r.Edits))
	shift := 0
	for i, e := range r.Edits {
		edits[i] = wire.LineEdit{Line: uint32(int(e.Line) + shift), Removed: uint32(len(e.Added)), Added: e.Removed}
		shift += len(e.Added) - len(e.Removed)
	}
	return edits
}

// recordEdits returns the edits of a change with the lines of the old text that they remove.
func recordEdits(old []string, edits []wire.LineEdit) []AuditEdit {
	list := make([]AuditEdit, len(edits))
	for i, e := range edits {
		end := int(e.Line) + int(e.Removed)
		list[i] = AuditEdit{Line: e.Line, Removed: old[e.Line:end:end], Added: e.Added}
	}
	return list
}

// storedRecord is the encoding of an AuditRecord. Edits holds the compressed edits; large ones are stored in parts instead.
type storedRecord struct {
	Format   uint8    `msgpack:"f"`
	Version  uint64   `msgpack:"v"`
	ChangeID string   `msgpack:"id"`
	Author   string   `msgpack:"au"`
	Comment  string   `msgpack:"co,omitempty"`
	UnixMS   int64    `msgpack:"ts"`
	TextHash uint64   `msgpack:"h"`
	Edits    []byte   `msgpack:"e,omitempty"`
	Parts    []partID `msgpack:"p,omitempty"`
}

// encode returns the stored value of a record and the parts of its edits; there are none if the edits are stored inline.
func (r AuditRecord) encode(l layout) ([]byte, []part, error) {
	raw, err := msgpack.Marshal(r.Edits)
	if err != nil {
		return nil, nil, err
	}
	edits, parts := l.inlineOrParts(raw, l.splitFixed(raw))
	value, err := msgpack.Marshal(&storedRecord{
		Format: headFormat, Version: r.Version, ChangeID: r.ChangeID, Author: r.Author, Comment: r.Comment,
		UnixMS: r.Time.UnixMilli(), TextHash: r.TextHash, Edits: edits, Parts: partIDs(parts),
	})
	return value, parts, err
}

// decodeRecord decodes a record. Edits that are stored in parts are not loaded.
func decodeRecord(value []byte) (AuditRecord, storedRecord, error) {
	var s storedRecord
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return AuditRecord{}, s, fmt.Errorf("%w: audit record: %v", ErrInvalidFormat, err)
	}
	if s.Format != headFormat {
		return AuditRecord{}, s, fmt.Errorf("%w: audit record has format %d, this program reads %d", ErrInvalidFormat, s.Format, headFormat)
	}
	r := AuditRecord{
		Version: s.Version, ChangeID: s.ChangeID, Author: s.Author, Comment: s.Comment,
		Time: time.UnixMilli(s.UnixMS).UTC(), TextHash: s.TextHash,
	}
	if len(s.Parts) > 0 {
		return r, s, nil
	}
	raw, err := decompress(s.Edits, maxEditsBytes)
	if err != nil {
		return AuditRecord{}, s, err
	}
	err = r.setEdits(raw)
	return r, s, err
}

// maxEditsBytes bounds the decoded edits of a record: at most the old and the new text, and the encoding overhead of each line.
const maxEditsBytes = 4 * MaxTextBytes

func (r *AuditRecord) setEdits(raw []byte) error {
	if err := msgpack.Unmarshal(raw, &r.Edits); err != nil {
		return fmt.Errorf("%w: edits of version %d: %v", ErrInvalidFormat, r.Version, err)
	}
	return nil
}
