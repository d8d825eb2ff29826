package config

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// minDeltaChanges is the number of changes from which a delta is sent instead of them. A single change is smaller than its delta.
const minDeltaChanges = 4

// encodeDelta encodes edits for a receiver that has the removed lines. An added line is encoded as the lengths of the prefix and
// suffix that it shares with the removed line at the same position and the characters between them, because most edits change a few
// characters of a line. All numbers precede all characters, which compresses better than mixing the two.
func encodeDelta(edits []wire.LineEdit, removed [][]string) []byte {
	var numbers, text []byte
	number := func(n int) { numbers = binary.AppendUvarint(numbers, uint64(n)) }
	next := 0
	for i, e := range edits {
		number(int(e.Line) - next)
		number(int(e.Removed))
		number(len(e.Added))
		next = int(e.Line + e.Removed)
		for j, line := range e.Added {
			prefix, suffix := commonEnds(counterpart(removed[i], j), line)
			number(prefix)
			number(suffix)
			number(len(line) - prefix - suffix)
			text = append(text, line[prefix:len(line)-suffix]...)
		}
	}
	content := binary.AppendUvarint(nil, uint64(len(numbers)))
	content = append(content, numbers...)
	return compress(append(content, text...))
}

// counterpart returns the removed line that the added line j is encoded against; it is empty if there is none.
func counterpart(removed []string, j int) string {
	if j < len(removed) {
		return removed[j]
	}
	return ""
}

// commonEnds returns the lengths of the common prefix and suffix of two lines, which do not overlap.
func commonEnds(a, b string) (prefix, suffix int) {
	n := min(len(a), len(b))
	for prefix < n && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < n-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// deltaReader decodes the content of a delta. After an error it returns only zeros.
type deltaReader struct {
	numbers, text []byte
	err           error
}

var errMalformedDelta = errors.New("malformed delta")

func newDeltaReader(data []byte) (*deltaReader, error) {
	content, err := decompress(data, maxPayloadBytes)
	if err != nil {
		return nil, err
	}
	size, n := binary.Uvarint(content)
	if n <= 0 || size > uint64(len(content)-n) {
		return nil, errMalformedDelta
	}
	content = content[n:]
	return &deltaReader{numbers: content[:size], text: content[size:]}, nil
}

// number returns the next number. It is an error if the number exceeds limit.
func (r *deltaReader) number(limit int) int {
	v, n := binary.Uvarint(r.numbers)
	if n <= 0 || v > uint64(limit) {
		r.err, r.numbers = errMalformedDelta, nil
		return 0
	}
	r.numbers = r.numbers[n:]
	return int(v)
}

// line returns the next added line, decoded against its counterpart.
func (r *deltaReader) line(base string) string {
	prefix := r.number(len(base))
	suffix := r.number(len(base) - prefix)
	n := r.number(len(r.text))
	line := base[:prefix] + string(r.text[:n]) + base[len(base)-suffix:]
	r.text = r.text[n:]
	return line
}

// decodeDelta returns the edits of a delta and the lines of the draft that they remove.
func decodeDelta(data []byte, draft *rules.Draft) ([]wire.LineEdit, [][]string, error) {
	r, err := newDeltaReader(data)
	if err != nil {
		return nil, nil, err
	}
	var edits []wire.LineEdit
	var removed [][]string
	next := 0
	for len(r.numbers) > 0 {
		line := next + r.number(maxLines)
		e := wire.LineEdit{Line: uint32(line), Removed: uint32(r.number(maxLines))}
		old := draft.Lines(line, int(e.Removed))
		// Each line takes three numbers of at least one byte, so the remaining bytes bound this loop even if the message is
		// invalid.
		for j := range r.number(len(r.numbers)) {
			e.Added = append(e.Added, r.line(counterpart(old, j)))
		}
		if r.err != nil || len(old) != int(e.Removed) {
			return nil, nil, errMalformedDelta
		}
		edits, removed = append(edits, e), append(removed, old)
		next = line + len(old)
	}
	return edits, removed, nil
}

// applyDelta adopts the version of a delta that starts at the current version.
func (s *State) applyDelta(delta *wire.ConfigDelta) error {
	if delta.Version <= s.Version() {
		s.stats.Ignored++
		return nil
	}
	if s.current == nil || delta.From != s.current.Version {
		return fmt.Errorf("%w: delta from version %d, current version %d", ErrVersionGap, delta.From, s.Version())
	}
	draft := s.current.Rules.Edit()
	edits, removed, err := decodeDelta(delta.Data, draft)
	if err != nil {
		return fmt.Errorf("%w: delta from version %d to %d: %v", ErrMalformedPush, delta.From, delta.Version, err)
	}
	change := wire.ConfigChange{
		Version: delta.Version, ChangeID: delta.ChangeID, Author: delta.Author, UnixMS: delta.UnixMS, TextHash: delta.TextHash,
		Edits: edits,
	}
	if err := applyChange(draft, change); err != nil {
		return err
	}
	c := s.candidate(draft, change)
	c.steps = []step{{from: delta.From, change: change, removed: removed}}
	return s.adopt(c)
}

// candidate returns the draft as the version that the last change created.
func (s *State) candidate(draft *rules.Draft, last wire.ConfigChange) candidate {
	return candidate{
		Accepted: Accepted{
			Version: last.Version, ChangeID: last.ChangeID, Author: last.Author, Time: time.UnixMilli(last.UnixMS).UTC(),
			Text: draft.Text(), TextHash: last.TextHash,
		},
		draft: draft,
	}
}

// delta returns the difference between a version and the current one as a push. It returns false if the removed lines of a step are
// unknown or the delta exceeds MaxPushBytes. The last delta is cached, because many peers ask from the same version after an outage.
func (s *State) delta(from uint64, steps []step) (wire.ConfigPush, bool) {
	if s.lastDelta.From == from && s.lastDelta.Version == s.current.Version {
		delta := s.lastDelta
		return wire.ConfigPush{Delta: &delta}, true
	}
	edits, removed, ok := merge(steps)
	if !ok {
		return wire.ConfigPush{}, false
	}
	data := encodeDelta(edits, removed)
	if len(data) > s.cfg.MaxPushBytes {
		return wire.ConfigPush{}, false
	}
	a := s.current
	// Each delta is a new value, because earlier pushes that have not been sent yet refer to theirs.
	delta := wire.ConfigDelta{
		From: from, Version: a.Version, ChangeID: a.ChangeID, Author: a.Author, UnixMS: a.Time.UnixMilli(),
		TextHash: a.TextHash, Data: data,
	}
	s.lastDelta = delta
	return wire.ConfigPush{Delta: &delta}, true
}
