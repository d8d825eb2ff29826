package config

import (
	"slices"

	"github.com/jayridge/jayridge/connection/wire"
)

// step holds the edits from one version to a later one. The later version is the next one, unless the step was received as a delta.
type step struct {
	from   uint64
	change wire.ConfigChange
	// removed holds the lines that each edit removes; nil if they are unknown.
	removed [][]string
}

// maxLines is an upper bound of the number of lines in a text.
const maxLines = 1 << 31

// segment is a range of lines in an edited text. If count is positive, it is count lines of the original text, the text before all
// steps, from line start; otherwise it is the added lines.
type segment struct {
	start, count int
	added        []string
}

func (p segment) lineCount() int { return p.count + len(p.added) }

// split divides a segment before its line at.
func (p segment) split(at int) (segment, segment) {
	if p.count > 0 {
		return segment{start: p.start, count: at}, segment{start: p.start + at, count: p.count - at}
	}
	return segment{added: p.added[:at:at]}, segment{added: p.added[at:]}
}

// merger combines consecutive steps into a single one.
type merger struct {
	segments []segment
	// originalLines holds the removed lines of the original text by line number.
	originalLines map[int]string
}

// merge returns edits that have the same effect as all steps together, and the lines that they remove. A line that several steps
// changed occurs once, or not at all if its final content is the original one. It returns false if the removed lines of a step are
// unknown.
func merge(steps []step) ([]wire.LineEdit, [][]string, bool) {
	m := &merger{segments: []segment{{count: maxLines}}, originalLines: map[int]string{}}
	for _, s := range steps {
		if len(s.removed) != len(s.change.Edits) {
			return nil, nil, false
		}
		for i, e := range slices.Backward(s.change.Edits) {
			m.replace(e, s.removed[i])
		}
	}
	edits, removed := m.edits()
	return edits, removed, true
}

// splitAt makes a segment begin at a line of the edited text and returns the index of that segment.
func (m *merger) splitAt(line int) int {
	for i, p := range m.segments {
		if line == 0 {
			return i
		}
		if line < p.lineCount() {
			head, tail := p.split(line)
			m.segments = slices.Replace(m.segments, i, i+1, head, tail)
			return i + 1
		}
		line -= p.lineCount()
	}
	return len(m.segments)
}

// replace applies an edit and keeps the original lines that it removes.
func (m *merger) replace(e wire.LineEdit, removed []string) {
	start := m.splitAt(int(e.Line))
	end := m.splitAt(int(e.Line) + int(e.Removed))
	for _, p := range m.segments[start:end] {
		for i := range p.count {
			m.originalLines[p.start+i] = removed[i]
		}
		removed = removed[p.lineCount():]
	}
	var added []segment
	if len(e.Added) > 0 {
		added = []segment{{added: e.Added}}
	}
	m.segments = slices.Replace(m.segments, start, end, added...)
}

// edits returns the segments as edits of the original text, with the lines that they remove.
func (m *merger) edits() (edits []wire.LineEdit, removed [][]string) {
	next := 0
	var added []string
	for _, p := range m.segments {
		if p.count == 0 {
			added = append(added, p.added...)
			continue
		}
		edits, removed = m.appendEdits(next, p.start, added, edits, removed)
		next, added = p.start+p.count, nil
	}
	return edits, removed
}

// appendEdits appends the edits that replace the original lines from start to end by the added ones. Lines that are equal on both
// sides are not edited.
func (m *merger) appendEdits(start, end int, added []string, edits []wire.LineEdit, removed [][]string) ([]wire.LineEdit, [][]string) {
	replaced := make([]string, 0, end-start)
	for i := start; i < end; i++ {
		replaced = append(replaced, m.originalLines[i])
	}
	for _, r := range changedRanges(replaced, added) {
		edits = append(edits, wire.LineEdit{
			Line: uint32(start + r.oldStart), Removed: uint32(r.oldEnd - r.oldStart), Added: added[r.newStart:r.newEnd:r.newEnd],
		})
		removed = append(removed, replaced[r.oldStart:r.oldEnd])
	}
	return edits, removed
}
