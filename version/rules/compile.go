package rules

import (
	"maps"
	"slices"
)

// Compile returns the same result as Parse for the draft's text, but parses only the changed lines and, if necessary, the
// non-team rules. It parses the whole text if it finds a fault, or if a chunk or the team index has grown too large. The text
// must be the result of Text. The name is used only in faults. The draft must not be used afterwards.
func (d *Draft) Compile(name, text string) (*Set, Faults) {
	if set := d.compileIncremental(text); set != nil {
		return set, nil
	}
	return parseText(name, text)
}

// compileIncremental compiles the changed chunks. It returns nil if the whole text must be parsed.
func (d *Draft) compileIncremental(text string) *Set {
	var removed, added []*team
	// The order of the chunks only determines which of two equal names is rejected, and the whole text is parsed in that case.
	for _, i := range slices.Sorted(maps.Keys(d.changed)) {
		out, in, ok := d.compileChunk(i)
		if !ok {
			return nil
		}
		removed, added = append(removed, out...), append(added, in...)
	}
	next := *d.base
	index, ok := d.base.index.update(removed, added)
	if !ok {
		return nil
	}
	next.index, next.chunks, next.text = index, d.chunks, text
	next.numberLines()
	if d.otherRulesChanged(&next) && !next.compileOtherRules() {
		return nil
	}
	return &next
}

// compileChunk parses a changed chunk. It reuses the teams of the leading and trailing lines that did not change. It returns the
// removed and the added teams, and false if a line has a fault or the chunk has too many lines.
func (d *Draft) compileChunk(i int) (removed, added []*team, ok bool) {
	old, c := d.base.chunks[i], d.chunks[i]
	if len(c.lines) > maxChunkLines {
		return nil, nil, false
	}
	head, tail := commonLines(old.lines, c.lines)
	oldEnd, end := len(old.lines)-tail, len(c.lines)-tail
	c.teams = make([]*team, len(c.lines))
	copy(c.teams, old.teams[:head])
	copy(c.teams[end:], old.teams[oldEnd:])
	p := newParser("", 0)
	for j := head; j < end; j++ {
		c.teams[j] = p.parseTeamLine(j, c.lines[j], int32(i))
	}
	c.otherRules = spliceOtherRules(old.otherRules, head, oldEnd, end, p.otherRules)
	return nonNil(old.teams[head:oldEnd]), nonNil(c.teams[head:end]), len(p.faults) == 0
}

// commonLines returns the lengths of the common prefix and the common suffix of two lists of lines; they do not overlap.
func commonLines(a, b []string) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	for tail < n-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

// spliceOtherRules returns the indices of the lines with non-team rules after the lines from head to oldEnd were replaced by the
// lines from head to end, where added are the indices in the new lines.
func spliceOtherRules(old []int32, head, oldEnd, end int, added []int32) []int32 {
	var list []int32
	for _, j := range old {
		if int(j) < head {
			list = append(list, j)
		}
	}
	list = append(list, added...)
	for _, j := range old {
		if int(j) >= oldEnd {
			list = append(list, j+int32(end-oldEnd))
		}
	}
	return list
}

// nonNil returns the teams that are not nil.
func nonNil(teams []*team) []*team {
	var list []*team
	for _, t := range teams {
		if t != nil {
			list = append(list, t)
		}
	}
	return list
}

// parseTeamLine parses a line of a chunk and returns its team rule, or nil if it has none or a fault. A line with a non-team rule
// is added to otherRules and parsed later.
func (p *parser) parseTeamLine(line int, text string, chunk int32) *team {
	if !p.scanLine(line+1, text) {
		return nil
	}
	if p.line.fields[0].text != teamKeyword {
		p.otherRules = append(p.otherRules, int32(line))
		return nil
	}
	t, ok := p.parseTeam()
	if !ok {
		return nil
	}
	t.chunk = chunk
	return t
}

// otherRulesChanged reports whether the text or the line number of any non-team rule changed.
func (d *Draft) otherRulesChanged(next *Set) bool {
	for i, c := range next.chunks {
		old := d.base.chunks[i]
		if len(c.otherRules)+len(old.otherRules) == 0 || c == old && next.firstLine[i] == d.base.firstLine[i] {
			continue
		}
		if next.firstLine[i] != d.base.firstLine[i] || !slices.Equal(c.otherRules, old.otherRules) {
			return true
		}
		for _, j := range c.otherRules {
			if c.lines[j] != old.lines[j] {
				return true
			}
		}
	}
	return false
}

// compileOtherRules parses the non-team rules. It returns false if there is a fault. It needs no team rules, because team rules
// and non-team rules do not refer to each other.
func (s *Set) compileOtherRules() bool {
	p := newParser("", 0)
	for i, c := range s.chunks {
		for _, j := range c.otherRules {
			if p.scanLine(s.firstLine[i]+int(j), c.lines[j]) {
				p.parseRule()
			}
		}
	}
	p.finish()
	if len(p.faults) > 0 {
		return false
	}
	parsed := p.set
	parsed.text, parsed.chunks, parsed.firstLine, parsed.index = s.text, s.chunks, s.firstLine, s.index
	*s = *parsed
	return true
}
