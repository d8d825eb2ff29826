package config

import (
	"slices"

	"github.com/jayridge/jayridge/connection/wire"
)

// step is the edits from one version to a later one, which is the next one unless the step was received as a run.
type step struct {
	from   uint64
	change wire.ConfigChange
	// removed are the lines that each edit removes; nil if they are not known.
	removed [][]string
}

// allLines is more lines than a text has.
const allLines = 1 << 31

// piece is a part of a text that steps have edited: count lines of the text before them from line start, or if it has no count,
// added lines.
type piece struct {
	start, count int
	added        []string
}

func (p piece) lines() int { return p.count + len(p.added) }

// split divides a piece.
func (p piece) split(at int) (piece, piece) {
	if p.count > 0 {
		return piece{start: p.start, count: at}, piece{start: p.start + at, count: p.count - at}
	}
	return piece{added: p.added[:at:at]}, piece{added: p.added[at:]}
}

// merger combines consecutive steps into one.
type merger struct {
	pieces []piece
	// original are the removed lines of the text before all steps, by number.
	original map[int]string
}

// merge returns the edits that have the same effect as all steps, and the lines that they remove. A line that many steps changed
// is in them once, and not at all if it ends as it began. It returns false if the removed lines of a step are not known.
func merge(steps []step) ([]wire.LineEdit, [][]string, bool) {
	m := &merger{pieces: []piece{{count: allLines}}, original: map[int]string{}}
	for _, s := range steps {
		if len(s.removed) != len(s.change.Edits) {
			return nil, nil, false
		}
		for i, e := range slices.Backward(s.change.Edits) {
			m.replace(e, s.removed[i])
		}
	}
	edits, removed := m.result()
	return edits, removed, true
}

// cut makes a piece begin at a line of the present text and returns its index.
func (m *merger) cut(line int) int {
	for i, p := range m.pieces {
		if line == 0 {
			return i
		}
		if line < p.lines() {
			head, tail := p.split(line)
			m.pieces = slices.Replace(m.pieces, i, i+1, head, tail)
			return i + 1
		}
		line -= p.lines()
	}
	return len(m.pieces)
}

func (m *merger) replace(e wire.LineEdit, removed []string) {
	start := m.cut(int(e.Line))
	end := m.cut(int(e.Line) + int(e.Removed))
	for _, p := range m.pieces[start:end] {
		for i := range p.count {
			m.original[p.start+i] = removed[i]
		}
		removed = removed[p.lines():]
	}
	var added []piece
	if len(e.Added) > 0 {
		added = []piece{{added: e.Added}}
	}
	m.pieces = slices.Replace(m.pieces, start, end, added...)
}

// result turns the pieces into edits of the text before all steps.
func (m *merger) result() (edits []wire.LineEdit, removed [][]string) {
	next := 0
	var added []string
	for _, p := range m.pieces {
		if p.count == 0 {
			added = append(added, p.added...)
			continue
		}
		edits, removed = m.gap(next, p.start, added, edits, removed)
		next, added = p.start+p.count, nil
	}
	return edits, removed
}

// gap appends the edits that replace the lines from start to end by the added ones. Lines that are the same on both sides stay.
func (m *merger) gap(start, end int, added []string, edits []wire.LineEdit, removed [][]string) ([]wire.LineEdit, [][]string) {
	was := make([]string, 0, end-start)
	for i := start; i < end; i++ {
		was = append(was, m.original[i])
	}
	for _, r := range changedRanges(was, added) {
		edits = append(edits, wire.LineEdit{
			Line: uint32(start + r.oldStart), Removed: uint32(r.oldEnd - r.oldStart), Added: added[r.newStart:r.newEnd:r.newEnd],
		})
		removed = append(removed, was[r.oldStart:r.oldEnd])
	}
	return edits, removed
}
