package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	whitespace    = " \t"
	byteOrderMark = "\ufeff"
	wantComment   = `"# name: reason" at the end of the rule, with who asked for it and why`
)

// field is a whitespace-separated word of a rule and its byte offset in the line.
type field struct {
	text   string
	offset int
}

// line is a line of the file that holds a rule, split into fields.
type line struct {
	number int
	text   string
	fields []field
	// end is the offset just after the last field, at which missing arguments are reported.
	end     int
	comment Comment
}

func (l *line) origin() Origin { return Origin{Line: l.number, Comment: l.comment} }

// ParseLineComment returns the comment of a line that holds a rule. It returns false if the line holds no rule or its comment does not
// have the form "# name: reason".
func ParseLineComment(text string) (Comment, bool) {
	rule, comment, found := strings.Cut(text, "#")
	if !found || strings.Trim(rule, whitespace) == "" {
		return Comment{}, false
	}
	return parseComment(comment)
}

// parseComment parses the text after the "#" as "name: reason".
func parseComment(text string) (Comment, bool) {
	requester, reason, found := strings.Cut(text, ":")
	c := Comment{Requester: strings.TrimSpace(requester), Reason: strings.TrimSpace(reason)}
	return c, found && c.Requester != "" && c.Reason != ""
}

// scanLine splits a line into the parser's line buffer. It returns false if the line holds no rule or its text is invalid.
func (p *parser) scanLine(number int, text string) bool {
	text = strings.TrimSuffix(text, "\r")
	p.line.number, p.line.text, p.line.end, p.line.comment = number, text, 0, Comment{}
	p.line.fields = p.line.fields[:0]
	if !p.checkText(text) {
		return false
	}
	rule, comment, found := strings.Cut(text, "#")
	p.splitFields(rule)
	if len(p.line.fields) == 0 {
		return false
	}
	p.scanComment(len(rule), comment, found)
	return true
}

// scanComment parses the comment that starts at a byte offset of the line. It reports a fault if the comment is missing or malformed.
func (p *parser) scanComment(offset int, comment string, found bool) {
	if !found {
		p.faultAtOffset(p.line.end, "the rule has no comment", wantComment)
		return
	}
	c, ok := parseComment(comment)
	if !ok {
		p.faultAtOffset(offset, "the comment does not name who asked and why", wantComment)
		return
	}
	p.line.comment = c
}

// splitFields appends the words of a rule to the line's fields.
func (p *parser) splitFields(rule string) {
	for i := 0; i < len(rule); {
		if rule[i] == ' ' || rule[i] == '\t' {
			i++
			continue
		}
		start := i
		for i < len(rule) && rule[i] != ' ' && rule[i] != '\t' {
			i++
		}
		p.line.fields = append(p.line.fields, field{text: rule[start:i], offset: start})
		p.line.end = i
	}
}

// checkText reports a fault and returns false for lines that are too long, are not valid UTF-8, or have non-printable characters
// such as control characters and marks of text direction, which can make a line display differently from how it is parsed.
func (p *parser) checkText(text string) bool {
	if len(text) > MaxLineBytes {
		p.faultAtOffset(0, fmt.Sprintf("the line has %d bytes", len(text)), fmt.Sprintf("at most %d", MaxLineBytes))
		return false
	}
	i := indexInvalidChar(text)
	if i < 0 {
		return true
	}
	r, size := utf8.DecodeRuneInString(text[i:])
	switch {
	case r == utf8.RuneError && size == 1:
		p.faultAtOffset(i, fmt.Sprintf("byte 0x%02x is not UTF-8 text", text[i]), "a file in UTF-8")
	case strings.HasPrefix(text[i:], byteOrderMark):
		p.faultAtOffset(i, "byte order mark", "a file in UTF-8 without a byte order mark")
	default:
		p.faultAtOffset(i, fmt.Sprintf("character %U is not printable", r), "printable characters, spaces and tabs")
	}
	return false
}

// indexInvalidChar returns the byte offset of the first character that is not allowed, or -1.
func indexInvalidChar(text string) int {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c >= utf8.RuneSelf {
			return indexInvalidRune(text, i)
		}
		if c < ' ' && c != '\t' || c == 0x7f {
			return i
		}
	}
	return -1
}

// indexInvalidRune is indexInvalidChar for the text from start on, and also handles characters outside ASCII.
func indexInvalidRune(text string, start int) int {
	for i, r := range text[start:] {
		if r == '\t' || unicode.IsPrint(r) && (r != utf8.RuneError || strings.HasPrefix(text[start+i:], "\ufffd")) {
			continue
		}
		return start + i
	}
	return -1
}
