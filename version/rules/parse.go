package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// parser is the state of one parse: of a whole text in Parse, or of single lines in Compile.
type parser struct {
	file   string
	line   line
	faults Faults
	set    *Set
	// declaredServices holds the names of all service rules, including invalid ones, so that a reference to an invalid service is
	// not reported as a second fault.
	declaredServices map[string]bool
	// bounds and coldStarts are merged into their services after all lines are parsed, because a rule may precede the service
	// that it refers to.
	bounds     map[string]Bound
	coldStarts map[string]ColdStart
	// serviceRefs, routeRefs and shiftRefs are resolved after all lines are parsed for the same reason.
	serviceRefs  []serviceRef
	routeRefs    []routeRef
	shiftRefs    []shiftRef
	drainChanges map[drainKey]drainChange
	// otherRules are the indices of the chunk's lines with non-team rules; see parseTeamLine.
	otherRules []int32
}

// Parse compiles the text of a rules file. If it returns any fault, the Set is nil. The name is used only in faults.
func Parse(name string, text []byte) (*Set, Faults) { return parseText(name, string(text)) }

// ParseString is like Parse, but the Set keeps the text instead of a copy of it.
func ParseString(name, text string) (*Set, Faults) { return parseText(name, text) }

// newParser returns a parser whose set has room for the given number of teams.
func newParser(name string, teams int) *parser {
	return &parser{
		file: name, set: newSet(teams),
		declaredServices: map[string]bool{},
		bounds:           map[string]Bound{}, coldStarts: map[string]ColdStart{},
		drainChanges: map[drainKey]drainChange{},
	}
}

func parseText(name, text string) (*Set, Faults) {
	p := newParser(name, strings.Count(text, "\n"+teamKeyword+" "))
	p.set.text, p.set.chunks = text, splitChunks(text)
	p.set.numberLines()
	for i, c := range p.set.chunks {
		p.parseChunk(c, int32(i))
	}
	p.finish()
	if len(p.faults) > 0 {
		p.faults.sort()
		return nil, p.faults
	}
	return p.set, nil
}

// parseChunk parses all lines of a chunk.
func (p *parser) parseChunk(c *chunk, index int32) {
	first := p.set.firstLine[index]
	for i, text := range c.lines {
		if !p.scanLine(first+i, text) {
			continue
		}
		if p.line.fields[0].text != teamKeyword {
			c.otherRules = append(c.otherRules, int32(i))
			p.parseRule()
			continue
		}
		if t, ok := p.parseTeam(); ok {
			t.chunk = index
			if p.addTeam(t) {
				c.teams[i] = t
			}
		}
	}
}

// parseRule parses the rule in p.line, which must not be a team rule.
func (p *parser) parseRule() {
	keyword := p.line.fields[0]
	switch keyword.text {
	case "service":
		p.parseService()
	case "route":
		p.parseRoute()
	case "bound":
		p.parseBound()
	case "coldstart":
		p.parseColdStart()
	case "drain":
		p.parseDrain(true)
	case "undrain":
		p.parseDrain(false)
	case "shift":
		p.parseShift()
	default:
		p.faultAtField(keyword, "unknown rule "+quote(keyword.text), "service, route, team, bound, coldstart, drain, undrain or shift")
	}
}

// faultAtOffset reports a fault at a byte offset in the current line.
func (p *parser) faultAtOffset(offset int, text, want string) {
	column := utf8.RuneCountInString(p.line.text[:offset]) + 1
	p.faults = append(p.faults, Fault{File: p.file, Line: p.line.number, Column: column, Text: text, Want: want})
}

func (p *parser) faultAtField(f field, text, want string) { p.faultAtOffset(f.offset, text, want) }

// position is the line and column of a value that is checked after the whole file has been parsed.
type position struct {
	line, column int
}

func (p *parser) position(f field) position {
	return position{line: p.line.number, column: utf8.RuneCountInString(p.line.text[:f.offset]) + 1}
}

func (p *parser) faultAtPosition(at position, text, want string) {
	p.faults = append(p.faults, Fault{File: p.file, Line: at.line, Column: at.column, Text: text, Want: want})
}

// args returns the first n fields after the rule's keyword. It reports a fault and returns false if there are fewer.
func (p *parser) args(n int, usage string) ([]field, bool) {
	if len(p.line.fields) < n+1 {
		p.faultAtOffset(p.line.end, "the rule is incomplete", usage)
		return nil, false
	}
	return p.line.fields[1 : n+1], true
}

// noMoreArgs reports a fault and returns false if more than n fields follow the rule's keyword.
func (p *parser) noMoreArgs(n int, usage string) bool {
	if len(p.line.fields) <= n+1 {
		return true
	}
	extra := p.line.fields[n+1]
	p.faultAtField(extra, "unexpected "+quote(extra.text), usage)
	return false
}

// option is the value of a "key=value" field; offset zero means that the option is missing.
type option = field

// parseOptions parses the fields after the first n arguments as "key=value" and returns the values in the order of keys. It reports
// every fault and returns false if there is any.
func (p *parser) parseOptions(n int, keys []string, usage string) (values [4]option, ok bool) {
	ok = true
	for _, f := range p.line.fields[n+1:] {
		key, value, found := strings.Cut(f.text, "=")
		i := indexOf(keys, key)
		switch {
		case !found || i < 0:
			p.faultAtField(f, "unexpected "+quote(f.text), usage)
		case values[i].offset > 0:
			p.faultAtField(f, key+" is given twice", "one "+key+"=")
		case value == "":
			p.faultAtField(f, key+" has no value", usage)
		default:
			values[i] = option{text: value, offset: f.offset + len(key) + 1}
			continue
		}
		ok = false
	}
	return values, ok
}

// requireOption reports a fault and returns false if an option is missing.
func (p *parser) requireOption(o option, key, usage string) bool {
	if o.offset > 0 {
		return true
	}
	p.faultAtOffset(p.line.end, key+"= is missing", usage)
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

// quote returns a word of the file as a quoted string for use in a fault, shortened if it is long.
func quote(word string) string {
	const maxQuotedBytes = 80
	if len(word) > maxQuotedBytes {
		word = strings.ToValidUTF8(word[:maxQuotedBytes], "") + "..."
	}
	return fmt.Sprintf("%q", word)
}
