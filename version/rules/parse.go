package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// parser holds the state of one Parse call.
type parser struct {
	file   string
	line   line
	faults Faults
	set    *Set
	// declared has the names of all service rules, including faulty ones, so that one fault is not reported again by every
	// reference to the service.
	declared map[string]bool
	// bounds and coldStarts are merged into their services at the end, because a rule may come before the one it refers to.
	bounds     map[string]Bound
	coldStarts map[string]ColdStart
	// serviceRefs, routeRefs and shiftRefs are checked at the end for the same reason.
	serviceRefs []serviceRef
	routeRefs   []routeRef
	shiftRefs   []shiftRef
	drains      map[drainKey]drainChange
	// others are the lines of a chunk that hold no team rule; see teamOn.
	others []int32
}

// Parse compiles the text of a rules file. If it returns any fault, the Set is nil. The name is used in faults only.
func Parse(name string, text []byte) (*Set, Faults) { return parseText(name, string(text)) }

// ParseString is Parse for a text that the Set may refer to, which spares a copy.
func ParseString(name, text string) (*Set, Faults) { return parseText(name, text) }

func newParser(name string, teams int) *parser {
	return &parser{
		file: name, set: newSet(teams),
		declared: map[string]bool{},
		bounds:   map[string]Bound{}, coldStarts: map[string]ColdStart{},
		drains: map[drainKey]drainChange{},
	}
}

func parseText(name, text string) (*Set, Faults) {
	p := newParser(name, strings.Count(text, "\n"+teamRule+" "))
	p.set.text, p.set.chunks = text, cut(text)
	p.set.number()
	for i, c := range p.set.chunks {
		p.chunk(c, int32(i))
	}
	p.finish()
	if len(p.faults) > 0 {
		p.faults.sort()
		return nil, p.faults
	}
	return p.set, nil
}

// chunk parses all lines of a chunk.
func (p *parser) chunk(c *chunk, index int32) {
	first := p.set.firstLine[index]
	for i, text := range c.lines {
		if !p.read(first+i, text) {
			continue
		}
		if p.line.fields[0].text != teamRule {
			c.others = append(c.others, int32(i))
			p.rule()
			continue
		}
		if t, ok := p.team(); ok {
			t.chunk = index
			if p.addTeam(t) {
				c.teams[i] = t
			}
		}
	}
}

// rule parses the rule in the line buffer, which is no team rule.
func (p *parser) rule() {
	word := p.line.fields[0]
	switch word.text {
	case "service":
		p.service()
	case "route":
		p.route()
	case "bound":
		p.bound()
	case "coldstart":
		p.coldStart()
	case "drain":
		p.drain(true)
	case "undrain":
		p.drain(false)
	case "shift":
		p.shift()
	default:
		p.faultAt(word, "unknown rule "+quote(word.text), "service, route, team, bound, coldstart, drain, undrain or shift")
	}
}

// fault reports a fault at a byte offset of the current line.
func (p *parser) fault(offset int, text, want string) {
	column := utf8.RuneCountInString(p.line.text[:offset]) + 1
	p.faults = append(p.faults, Fault{File: p.file, Line: p.line.number, Column: column, Text: text, Want: want})
}

func (p *parser) faultAt(f field, text, want string) { p.fault(f.offset, text, want) }

// place is where a rule stated something that can be checked only after the whole file has been read.
type place struct {
	line, column int
}

func (p *parser) place(f field) place {
	return place{line: p.line.number, column: utf8.RuneCountInString(p.line.text[:f.offset]) + 1}
}

func (p *parser) faultIn(at place, text, want string) {
	p.faults = append(p.faults, Fault{File: p.file, Line: at.line, Column: at.column, Text: text, Want: want})
}

// words returns the n fields behind the rule's own word. It reports a fault and returns false if there are fewer.
func (p *parser) words(n int, usage string) ([]field, bool) {
	if len(p.line.fields) < n+1 {
		p.fault(p.line.end, "the rule is incomplete", usage)
		return nil, false
	}
	return p.line.fields[1 : n+1], true
}

// noMore reports the fields behind the first n as a fault.
func (p *parser) noMore(n int, usage string) bool {
	if len(p.line.fields) <= n+1 {
		return true
	}
	extra := p.line.fields[n+1]
	p.faultAt(extra, "unexpected "+quote(extra.text), usage)
	return false
}

// option is the value of a "key=value" field; offset zero means that the rule does not have it.
type option = field

// options parses the fields behind the first n as "key=value". The result has the values in the order of keys. Every fault is
// reported; the result is false if there was any.
func (p *parser) options(n int, keys []string, usage string) (values [4]option, ok bool) {
	ok = true
	for _, f := range p.line.fields[n+1:] {
		key, value, found := strings.Cut(f.text, "=")
		i := indexOf(keys, key)
		switch {
		case !found || i < 0:
			p.faultAt(f, "unexpected "+quote(f.text), usage)
		case values[i].offset > 0:
			p.faultAt(f, key+" is given twice", "one "+key+"=")
		case value == "":
			p.faultAt(f, key+" has no value", usage)
		default:
			values[i] = option{text: value, offset: f.offset + len(key) + 1}
			continue
		}
		ok = false
	}
	return values, ok
}

// required reports a missing option.
func (p *parser) required(o option, key, usage string) bool {
	if o.offset > 0 {
		return true
	}
	p.fault(p.line.end, key+"= is missing", usage)
	return false
}

func indexOf(keys []string, key string) int {
	for i, k := range keys {
		if k == key {
			return i
		}
	}
	return -1
}

// quote shows a word of the file in a fault, shortened if it is long.
func quote(word string) string {
	const longest = 80
	if len(word) > longest {
		word = strings.ToValidUTF8(word[:longest], "") + "..."
	}
	return fmt.Sprintf("%q", word)
}
