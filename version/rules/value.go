package rules

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	wantName  = "letters, digits and \"._-\", at most 64, with a letter or digit first"
	wantPath  = "a path such as /chat/long, of letters, digits and \"._~-\", without a slash at its end"
	wantCount = "a whole number from 1 to 1000000"
)

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !isAlphanumeric(name[0]) {
		return false
	}
	for i := 1; i < len(name); i++ {
		if c := name[i]; !isAlphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// name checks a field that names something; what is used in the fault.
func (p *parser) name(f field, what string) bool {
	if validName(f.text) {
		return true
	}
	p.faultAt(f, quote(f.text)+" cannot name a "+what, wantName)
	return false
}

func validPath(path string) bool {
	if path == "/" {
		return true
	}
	if len(path) > MaxPathBytes || !strings.HasPrefix(path, "/") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if !validSegment(segment) {
			return false
		}
	}
	return true
}

// validSegment refuses "." and "..", because HTTP clients and servers resolve them.
func validSegment(segment string) bool {
	if segment == "" || segment == "." || segment == ".." {
		return false
	}
	for i := range len(segment) {
		if c := segment[i]; !isAlphanumeric(c) && c != '.' && c != '_' && c != '~' && c != '-' {
			return false
		}
	}
	return true
}

func (p *parser) path(f field) bool {
	if validPath(f.text) {
		return true
	}
	p.faultAt(f, quote(f.text)+" is not a path", wantPath)
	return false
}

// list splits a comma-separated value into fields.
func (p *parser) list(o option) []field {
	var fields []field
	offset := o.offset
	for item := range strings.SplitSeq(o.text, ",") {
		fields = append(fields, field{text: item, offset: offset})
		offset += len(item) + 1
	}
	return fields
}

func (p *parser) count(o option, byDefault int) (int, bool) {
	if o.offset == 0 {
		return byDefault, true
	}
	n, err := strconv.ParseUint(o.text, 10, 32)
	if err != nil || n < 1 || n > MaxCount {
		p.faultAt(o, quote(o.text)+" is not a count", wantCount)
		return 0, false
	}
	return int(n), true
}

// decimal parses a number written with digits and at most one point; it refuses exponents, signs, infinity and NaN.
func decimal(text string) (float64, bool) {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

func (p *parser) rate(o option) (float64, bool) {
	if o.offset == 0 {
		return 0, true
	}
	v, ok := decimal(o.text)
	if !ok || v < 1e-6 || v > MaxCount {
		p.faultAt(o, quote(o.text)+" is not a limit", "requests a second, above 0 and at most 1000000, or no limit= for no limit")
		return 0, false
	}
	return v, true
}

func (p *parser) factor(f field) (float64, bool) {
	v, ok := decimal(f.text)
	if !ok || v <= 1 || v > MaxBound {
		p.faultAt(f, quote(f.text)+" is not a bound", "a multiple of the mean load above 1 and at most 100, such as 1.25")
		return 0, false
	}
	return v, true
}

// share parses a percentage into a fraction.
func (p *parser) share(o option) (float64, bool) {
	if o.offset == 0 {
		return DefaultCap, true
	}
	digits, found := strings.CutSuffix(o.text, "%")
	v, ok := decimal(digits)
	if !found || !ok || v < 1e-4 || v > 100 {
		p.faultAt(o, quote(o.text)+" is not a share", "a percentage above 0% and at most 100%, such as 5%")
		return 0, false
	}
	return v / 100, true
}

func (p *parser) deadline(o option) (time.Duration, bool) {
	if o.offset == 0 {
		return DefaultDeadline, true
	}
	d, err := time.ParseDuration(o.text)
	if err != nil || d < time.Millisecond || d > MaxDeadline || d%time.Millisecond != 0 {
		p.faultAt(o, quote(o.text)+" is not a deadline", "a duration from 1ms to 24h in whole milliseconds, such as 5s or 1m30s")
		return 0, false
	}
	return d, true
}

func (p *parser) time(f field) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, f.text)
	if err != nil {
		p.faultAt(f, quote(f.text)+" is not a time", "a time with its zone, such as 2026-12-05T18:00:00Z")
		return time.Time{}, false
	}
	return t.UTC(), true
}

// unstated is the index of a choice that the rule does not state.
const unstated = -1

// choice returns the index of the option's value in values, or byDefault if the rule does not have the option.
func (p *parser) choice(o option, what string, values []string, byDefault int) (int, bool) {
	if o.offset == 0 {
		return byDefault, true
	}
	if i := indexOf(values, o.text); i >= 0 {
		return i, true
	}
	last := len(values) - 1
	want := fmt.Sprintf("%s or %s", strings.Join(values[:last], ", "), values[last])
	p.faultAt(o, quote(o.text)+" is not "+what, want)
	return 0, false
}
