package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	blanks        = " \t"
	byteOrderMark = "\ufeff"
	wantComment   = `"# name: reason" at the end of the rule, with who asked for it and why`
)

// field is a word of a rule and its byte offset in the line.
type field struct {
	text   string
	offset int
}

// line is one line of the file that holds a rule.
type line struct {
	number int
	text   string
	fields []field
	// end is the offset just behind the last field, where something that is missing belongs.
	end     int
	comment Comment
}

func (l *line) origin() Origin { return Origin{Line: l.number, Comment: l.comment} }

// CommentOf returns the comment of a line that holds a rule. It returns false if the line has none of the required form.
func CommentOf(text string) (Comment, bool) {
	rule, comment, found := strings.Cut(text, "#")
	if !found || strings.Trim(rule, blanks) == "" {
		return Comment{}, false
	}
	return parseComment(comment)
}

func parseComment(text string) (Comment, bool) {
	who, why, found := strings.Cut(text, ":")
	c := Comment{Who: strings.TrimSpace(who), Why: strings.TrimSpace(why)}
	return c, found && c.Who != "" && c.Why != ""
}

// read splits a line into the parser's line buffer. It returns false if the line holds no rule that can be looked at.
func (p *parser) read(number int, text string) bool {
	text = strings.TrimSuffix(text, "\r")
	p.line.number, p.line.text, p.line.end, p.line.comment = number, text, 0, Comment{}
	p.line.fields = p.line.fields[:0]
	if !p.checkCharacters(text) {
		return false
	}
	rule, comment, found := strings.Cut(text, "#")
	p.split(rule)
	if len(p.line.fields) == 0 {
		return false
	}
	p.readComment(len(rule), comment, found)
	return true
}

func (p *parser) readComment(offset int, comment string, found bool) {
	if !found {
		p.fault(p.line.end, "the rule has no comment", wantComment)
		return
	}
	c, ok := parseComment(comment)
	if !ok {
		p.fault(offset, "the comment does not name who asked and why", wantComment)
		return
	}
	p.line.comment = c
}

// split appends the words of a rule to the line's fields.
func (p *parser) split(rule string) {
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

// checkCharacters refuses lines that an operator could not read as they are, such as ones with control characters, text
// direction marks or broken encoding.
func (p *parser) checkCharacters(text string) bool {
	if len(text) > MaxLineBytes {
		p.fault(0, fmt.Sprintf("the line has %d bytes", len(text)), fmt.Sprintf("at most %d", MaxLineBytes))
		return false
	}
	i := badCharacter(text)
	if i < 0 {
		return true
	}
	r, size := utf8.DecodeRuneInString(text[i:])
	switch {
	case r == utf8.RuneError && size == 1:
		p.fault(i, fmt.Sprintf("byte 0x%02x is not UTF-8 text", text[i]), "a file in UTF-8")
	case strings.HasPrefix(text[i:], byteOrderMark):
		p.fault(i, "byte order mark", "a file in UTF-8 without a byte order mark")
	default:
		p.fault(i, fmt.Sprintf("character %U cannot be seen", r), "visible characters, spaces and tabs")
	}
	return false
}

// badCharacter returns the offset of the first character that is not allowed, or -1.
func badCharacter(text string) int {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c >= utf8.RuneSelf {
			return badRune(text, i)
		}
		if c < ' ' && c != '\t' || c == 0x7f {
			return i
		}
	}
	return -1
}

func badRune(text string, start int) int {
	for i, r := range text[start:] {
		if r == '\t' || unicode.IsPrint(r) && (r != utf8.RuneError || strings.HasPrefix(text[start+i:], "\ufffd")) {
			continue
		}
		return start + i
	}
	return -1
}
