package rules

import (
	"maps"
	"slices"
)

// Compile returns what Parse returns for the draft's text, at the cost of the lines that changed and of the rules that are not
// team rules. If it finds a fault, or if the edits grew the text far beyond the shape in which it is shared, it parses the whole
// text, which must be that of Text. The name is used in faults only. The draft must not be used afterwards.
func (d *Draft) Compile(name, text string) (*Set, Faults) {
	if set := d.incremental(text); set != nil {
		return set, nil
	}
	return parseText(name, text)
}

// incremental returns nil if the whole text is to be parsed.
func (d *Draft) incremental(text string) *Set {
	var removed, added []*team
	// The order decides only which of two equal names would be refused, and then the whole text is parsed.
	for _, i := range slices.Sorted(maps.Keys(d.changed)) {
		out, in, ok := d.compileChunk(i)
		if !ok {
			return nil
		}
		removed, added = append(removed, out...), append(added, in...)
	}
	next := *d.base
	index, ok := d.base.index.with(removed, added)
	if !ok {
		return nil
	}
	next.index, next.chunks, next.text = index, d.chunks, text
	next.number()
	if d.othersMoved(&next) && !next.compileOthers() {
		return nil
	}
	return &next
}

// compileChunk completes a changed chunk. Teams of lines that it has in common with the chunk before are kept. It returns the
// teams that are gone and those that are new, and false if a line has a fault.
func (d *Draft) compileChunk(i int) (removed, added []*team, ok bool) {
	was, c := d.base.chunks[i], d.chunks[i]
	if len(c.lines) > maxChunkLines {
		return nil, nil, false
	}
	head, tail := common(was.lines, c.lines)
	oldEnd, end := len(was.lines)-tail, len(c.lines)-tail
	c.teams = make([]*team, len(c.lines))
	copy(c.teams, was.teams[:head])
	copy(c.teams[end:], was.teams[oldEnd:])
	p := newParser("", 0)
	for j := head; j < end; j++ {
		c.teams[j] = p.teamOn(j, c.lines[j], int32(i))
	}
	c.others = otherLines(was.others, head, oldEnd, end, p.others)
	return present(was.teams[head:oldEnd]), present(c.teams[head:end]), len(p.faults) == 0
}

// common returns the numbers of equal lines at the start and at the end of two runs of lines.
func common(a, b []string) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	for tail < n-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

// otherLines returns the lines of other rules after the lines from head to oldEnd were replaced by those from head to end, which
// hold the rules of between.
func otherLines(was []int32, head, oldEnd, end int, between []int32) []int32 {
	var list []int32
	for _, j := range was {
		if int(j) < head {
			list = append(list, j)
		}
	}
	list = append(list, between...)
	for _, j := range was {
		if int(j) >= oldEnd {
			list = append(list, j+int32(end-oldEnd))
		}
	}
	return list
}

func present(teams []*team) []*team {
	var list []*team
	for _, t := range teams {
		if t != nil {
			list = append(list, t)
		}
	}
	return list
}

// teamOn parses a line of a chunk. It returns nil and notes the line if it holds another rule, which is parsed later.
func (p *parser) teamOn(line int, text string, chunk int32) *team {
	if !p.read(line+1, text) {
		return nil
	}
	if p.line.fields[0].text != teamRule {
		p.others = append(p.others, int32(line))
		return nil
	}
	t, ok := p.team()
	if !ok {
		return nil
	}
	t.chunk = chunk
	return t
}

// othersMoved says whether a rule that is no team rule has another text or another line number than before.
func (d *Draft) othersMoved(next *Set) bool {
	for i, c := range next.chunks {
		was := d.base.chunks[i]
		if len(c.others)+len(was.others) == 0 || c == was && next.firstLine[i] == d.base.firstLine[i] {
			continue
		}
		if next.firstLine[i] != d.base.firstLine[i] || !slices.Equal(c.others, was.others) {
			return true
		}
		for _, j := range c.others {
			if c.lines[j] != was.lines[j] {
				return true
			}
		}
	}
	return false
}

// compileOthers parses the rules that are not team rules. It returns false if there is a fault. Team rules neither refer to
// others nor are referred to.
func (s *Set) compileOthers() bool {
	p := newParser("", 0)
	for i, c := range s.chunks {
		for _, j := range c.others {
			if p.read(s.firstLine[i]+int(j), c.lines[j]) {
				p.rule()
			}
		}
	}
	p.finish()
	if len(p.faults) > 0 {
		return false
	}
	others := p.set
	others.text, others.chunks, others.firstLine, others.index = s.text, s.chunks, s.firstLine, s.index
	*s = *others
	return true
}
