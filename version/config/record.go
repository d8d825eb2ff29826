package config

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// auditPrefix heads the keys of audit records.
const auditPrefix = "config/audit/"

// AuditKey returns the key of the audit record of a version.
func AuditKey(version uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, version) }

// Record is the audit record of one accepted version.
type Record struct {
	Version                   uint64
	ChangeID, Author, Comment string
	Time                      time.Time
	// TextHash is the hash of the text of Version.
	TextHash uint64
	// Edits lead from the version before to this one, in ascending order of line.
	Edits []RecordEdit
}

// RecordEdit replaces the removed lines at Line, counted from zero in the text before, by the added ones.
type RecordEdit struct {
	Line    uint32   `msgpack:"l"`
	Removed []string `msgpack:"r,omitempty"`
	Added   []string `msgpack:"a,omitempty"`
}

// AuditLine is a line that a version removed or added. Comment is empty for lines that hold no rule.
type AuditLine struct {
	Text    string
	Comment rules.Comment
}

// Removed returns the lines that the version removed, in the order of the text before.
func (r Record) Removed() []AuditLine {
	return r.lines(func(e RecordEdit) []string { return e.Removed })
}

// Added returns the lines that the version added, in the order of its text.
func (r Record) Added() []AuditLine {
	return r.lines(func(e RecordEdit) []string { return e.Added })
}

func (r Record) lines(side func(RecordEdit) []string) []AuditLine {
	var lines []AuditLine
	for _, e := range r.Edits {
		for _, text := range side(e) {
			comment, _ := rules.CommentOf(text)
			lines = append(lines, AuditLine{Text: text, Comment: comment})
		}
	}
	return lines
}

// undo returns the edits that lead from the version's text back to the one before.
func (r Record) undo() []wire.LineEdit {
	edits := make([]wire.LineEdit, len(r.Edits))
	shift := 0
	for i, e := range r.Edits {
		edits[i] = wire.LineEdit{Line: uint32(int(e.Line) + shift), Removed: uint32(len(e.Added)), Added: e.Removed}
		shift += len(e.Added) - len(e.Removed)
	}
	return edits
}

// recordEdits adds the removed lines to the edits of a change.
func recordEdits(old []string, edits []wire.LineEdit) []RecordEdit {
	list := make([]RecordEdit, len(edits))
	for i, e := range edits {
		end := int(e.Line) + int(e.Removed)
		list[i] = RecordEdit{Line: e.Line, Removed: old[e.Line:end:end], Added: e.Added}
	}
	return list
}

// storedRecord is the encoding of a Record. Edits is compressed; a large one is stored in parts.
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

func (r Record) encode(l layout) ([]byte, []part, error) {
	raw, err := msgpack.Marshal(r.Edits)
	if err != nil {
		return nil, nil, err
	}
	edits, parts := l.store(raw, l.chop(raw))
	value, err := msgpack.Marshal(&storedRecord{
		Format: headFormat, Version: r.Version, ChangeID: r.ChangeID, Author: r.Author, Comment: r.Comment,
		UnixMS: r.Time.UnixMilli(), TextHash: r.TextHash, Edits: edits, Parts: ids(parts),
	})
	return value, parts, err
}

// decodeRecord decodes a record without the edits that are stored in parts.
func decodeRecord(value []byte) (Record, storedRecord, error) {
	var s storedRecord
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return Record{}, s, fmt.Errorf("%w: audit record: %v", ErrFormat, err)
	}
	if s.Format != headFormat {
		return Record{}, s, fmt.Errorf("%w: audit record has format %d, this program reads %d", ErrFormat, s.Format, headFormat)
	}
	r := Record{
		Version: s.Version, ChangeID: s.ChangeID, Author: s.Author, Comment: s.Comment,
		Time: time.UnixMilli(s.UnixMS).UTC(), TextHash: s.TextHash,
	}
	if len(s.Parts) > 0 {
		return r, s, nil
	}
	raw, err := decompress(s.Edits, maxEditsBytes)
	if err != nil {
		return Record{}, s, err
	}
	err = r.setEdits(raw)
	return r, s, err
}

// maxEditsBytes bounds the edits of a record, which hold at most an old and a new text and the overhead of each line.
const maxEditsBytes = 4 * MaxTextBytes

func (r *Record) setEdits(raw []byte) error {
	if err := msgpack.Unmarshal(raw, &r.Edits); err != nil {
		return fmt.Errorf("%w: edits of version %d: %v", ErrFormat, r.Version, err)
	}
	return nil
}
