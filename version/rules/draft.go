package rules

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrEdit is wrapped by errors about edits that do not fit the text they are applied to.
var ErrEdit = errors.New("edits do not fit the text")

// Edit replaces Removed lines at Line, counted from zero in the text before the edits, by Added. Added lines have no newline.
type Edit struct {
	Line, Removed uint32
	Added         []string
}

// Draft is an edited text of a Set that has not been checked. It shares what the edits leave alone with the Set, which it does
// not modify. One goroutine uses it.
type Draft struct {
	base   *Set
	chunks []*chunk
	lines  int
	bytes  int
	// changed are the indices of the chunks that are this draft's own.
	changed map[int]bool
}

// Edit returns a draft with the text of the set.
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

// Text returns the text. Runs of chunks that did not change are copied from the text of the set at once.
func (d *Draft) Text() string {
	var b strings.Builder
	b.Grow(d.bytes + 1)
	// The bytes from copied to next of the set's text are still to be copied.
	copied, next := 0, 0
	for i, c := range d.chunks {
		was := d.base.chunks[i]
		if c != was {
			writeRange(&b, d.base.text, copied, next)
			writeLines(&b, c.lines)
			copied = next + was.bytes
		}
		next += was.bytes
	}
	writeRange(&b, d.base.text, copied, next)
	return b.String()[:d.bytes]
}

// writeRange writes a range of a text with a newline at its end, which a chunk counts and the text does not have.
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

// Apply makes edits, which are in ascending order of line and do not overlap. The error wraps ErrEdit; the draft then stays as
// it was.
func (d *Draft) Apply(edits []Edit) error {
	if err := d.check(edits); err != nil {
		return err
	}
	// From the last one, so that the lines of the others keep their numbers.
	for _, e := range slices.Backward(edits) {
		d.replace(e)
	}
	return nil
}

func (d *Draft) check(edits []Edit) error {
	next, lines := int64(0), int64(d.lines)
	for i, e := range edits {
		end := int64(e.Line) + int64(e.Removed)
		if int64(e.Line) < next || end > int64(d.lines) {
			return fmt.Errorf("%w: edit %d covers lines %d to %d of %d, after line %d", ErrEdit, i, e.Line, end, d.lines, next)
		}
		for _, line := range e.Added {
			if strings.Contains(line, "\n") {
				return fmt.Errorf("%w: edit %d adds a line with a newline in it", ErrEdit, i)
			}
		}
		lines += int64(len(e.Added)) - int64(e.Removed)
		next = end
	}
	if lines < 1 {
		return fmt.Errorf("%w: no line is left", ErrEdit)
	}
	return nil
}

// replace makes one edit that fits.
func (d *Draft) replace(e Edit) {
	i, at := 0, int(e.Line)
	for i+1 < len(d.chunks) && at >= len(d.chunks[i].lines) {
		at -= len(d.chunks[i].lines)
		i++
	}
	added := make([]string, len(e.Added))
	for j, line := range e.Added {
		// A copy, because the line may be a part of a message that is otherwise not kept.
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

// splice replaces lines of one chunk.
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

// Lines returns copies of up to n lines from a line, counted from zero; fewer if the text ends before. Copies do not keep the whole
// text in memory.
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
