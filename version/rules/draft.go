package rules

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalidEdit is wrapped by errors about edits that cannot be applied to the text.
var ErrInvalidEdit = errors.New("edits cannot be applied to the text")

// Edit replaces Removed lines from Line on by the lines Added. Line is counted from zero in the text before all edits. Added lines
// have no newline.
type Edit struct {
	Line, Removed uint32
	Added         []string
}

// Draft is an edited copy of the text of a Set that is not compiled yet. It shares unchanged chunks with the Set and does not
// modify it. A Draft is not safe for concurrent use.
type Draft struct {
	base   *Set
	chunks []*chunk
	lines  int
	bytes  int
	// changed holds the indices of the chunks that the draft has copied and may modify.
	changed map[int]bool
}

// Edit returns a draft that starts with the text of the set.
func (s *Set) Edit() *Draft {
	d := &Draft{base: s, chunks: slices.Clone(s.chunks), changed: map[int]bool{}, bytes: -1}
	for _, c := range d.chunks {
		d.lines += len(c.lines)
		d.bytes += c.bytes
	}
	return d
}

// Bytes returns the size of the text.
func (d *Draft) Bytes() int { return d.bytes }

// Text returns the text. Each run of unchanged chunks is copied from the text of the set in one piece.
func (d *Draft) Text() string {
	var b strings.Builder
	b.Grow(d.bytes + 1)
	// The bytes of the set's text from copied to next are still to be written.
	copied, next := 0, 0
	for i, c := range d.chunks {
		old := d.base.chunks[i]
		if c != old {
			writeRange(&b, d.base.text, copied, next)
			writeLines(&b, c.lines)
			copied = next + old.bytes
		}
		next += old.bytes
	}
	writeRange(&b, d.base.text, copied, next)
	return b.String()[:d.bytes]
}

// writeRange writes text[start:end]. end may be one past the end of the text, for the newline that the size of the last chunk
// includes and the text does not have; it is written as well.
func writeRange(b *strings.Builder, text string, start, end int) {
	if start == end {
		return
	}
	if end <= len(text) {
		b.WriteString(text[start:end])
		return
	}
	b.WriteString(text[start:])
	b.WriteByte('\n')
}

func writeLines(b *strings.Builder, lines []string) {
	for _, line := range lines {
		b.WriteString(line)
		b.WriteByte('\n')
	}
}

// Apply applies edits, which must be in ascending order of line and must not overlap. If it returns an error, the error wraps
// ErrInvalidEdit and the draft is unchanged.
func (d *Draft) Apply(edits []Edit) error {
	if err := d.check(edits); err != nil {
		return err
	}
	// Backward, so that an edit does not change the line numbers of those still to be applied.
	for _, e := range slices.Backward(edits) {
		d.replace(e)
	}
	return nil
}

// check returns an error if the edits are out of order, overlap, extend beyond the end of the text, add a newline, or remove all
// lines.
func (d *Draft) check(edits []Edit) error {
	next, lines := int64(0), int64(d.lines)
	for i, e := range edits {
		end := int64(e.Line) + int64(e.Removed)
		if int64(e.Line) < next || end > int64(d.lines) {
			return fmt.Errorf("%w: edit %d replaces lines %d to %d, outside of the allowed lines %d to %d", ErrInvalidEdit, i, e.Line, end, next, d.lines)
		}
		for _, line := range e.Added {
			if strings.Contains(line, "\n") {
				return fmt.Errorf("%w: edit %d adds a line that contains a newline", ErrInvalidEdit, i)
			}
		}
		lines += int64(len(e.Added)) - int64(e.Removed)
		next = end
	}
	if lines < 1 {
		return fmt.Errorf("%w: they remove all lines", ErrInvalidEdit)
	}
	return nil
}

// replace applies one edit that check has accepted.
func (d *Draft) replace(e Edit) {
	i, at := 0, int(e.Line)
	for i+1 < len(d.chunks) && at >= len(d.chunks[i].lines) {
		at -= len(d.chunks[i].lines)
		i++
	}
	added := make([]string, len(e.Added))
	for j, line := range e.Added {
		// A clone, because the line may share the memory of a whole message that would otherwise stay in memory.
		added[j] = strings.Clone(line)
	}
	remaining := int(e.Removed)
	for {
		end := min(at+remaining, len(d.chunks[i].lines))
		remaining -= end - at
		if end > at || len(added) > 0 {
			d.splice(i, at, end, added)
		}
		if remaining == 0 {
			return
		}
		i, at, added = i+1, 0, nil
	}
}

// splice replaces the lines from start to end of chunk i. It copies the chunk before its first change.
func (d *Draft) splice(i, start, end int, added []string) {
	if !d.changed[i] {
		d.changed[i] = true
		d.chunks[i] = &chunk{lines: slices.Clone(d.chunks[i].lines), bytes: d.chunks[i].bytes}
	}
	c := d.chunks[i]
	before := c.bytes
	for _, line := range c.lines[start:end] {
		c.bytes -= len(line) + 1
	}
	for _, line := range added {
		c.bytes += len(line) + 1
	}
	c.lines = slices.Replace(c.lines, start, end, added...)
	d.bytes += c.bytes - before
	d.lines += len(added) - (end - start)
}

// Lines returns up to n lines starting at a line counted from zero, or fewer if the text ends before that. The lines are copies, so
// they do not keep the whole text in memory.
func (d *Draft) Lines(line, n int) []string {
	var lines []string
	for _, c := range d.chunks {
		if n <= 0 {
			break
		}
		if line >= len(c.lines) {
			line -= len(c.lines)
			continue
		}
		end := min(line+n, len(c.lines))
		for _, text := range c.lines[line:end] {
			lines = append(lines, strings.Clone(text))
		}
		n -= end - line
		line = 0
	}
	return lines
}
