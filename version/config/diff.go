package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
)

// ErrInvalidEdits is wrapped by errors about edits that overlap, are out of order or extend beyond the end of the text.
var ErrInvalidEdits = errors.New("edits do not fit the text")

// SplitLines splits a text at its newlines. JoinLines is its exact inverse, so a text that ends in a newline has an empty last line.
func SplitLines(text string) []string { return strings.Split(text, "\n") }

// JoinLines is the inverse of SplitLines.
func JoinLines(lines []string) string { return strings.Join(lines, "\n") }

// Hash returns the hash of a text as it is carried by changes, deltas and snapshots.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Diff returns edits that turn old into new, in ascending order of line. It runs in O(n log n) for n lines. The edits are short but
// not always minimal.
func Diff(old, new []string) []wire.LineEdit {
	var edits []wire.LineEdit
	for _, r := range changedRanges(old, new) {
		edits = append(edits, wire.LineEdit{
			Line:    uint32(r.oldStart),
			Removed: uint32(r.oldEnd - r.oldStart),
			Added:   new[r.newStart:r.newEnd:r.newEnd],
		})
	}
	return edits
}

// Patch returns the result of applying edits to lines, which it does not modify.
func Patch(lines []string, edits []wire.LineEdit) ([]string, error) {
	size, err := checkEdits(len(lines), edits)
	if err != nil {
		return nil, err
	}
	patched := make([]string, 0, size)
	next := 0
	for _, e := range edits {
		patched = append(patched, lines[next:e.Line]...)
		patched = append(patched, e.Added...)
		next = int(e.Line) + int(e.Removed)
	}
	return append(patched, lines[next:]...), nil
}

// checkEdits returns the number of lines after the edits, or an error if the edits overlap, are out of order or extend beyond the
// end of the text.
func checkEdits(lines int, edits []wire.LineEdit) (int, error) {
	size := int64(lines)
	next := int64(0)
	for i, e := range edits {
		end := int64(e.Line) + int64(e.Removed)
		if int64(e.Line) < next || end > int64(lines) {
			return 0, fmt.Errorf("%w: edit %d covers lines %d to %d of %d, after line %d", ErrInvalidEdits, i, e.Line, end, lines, next)
		}
		size += int64(len(e.Added)) - int64(e.Removed)
		next = end
	}
	return int(size), nil
}
