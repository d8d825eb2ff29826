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

// checkName reports a fault and returns false if a field is not a valid name. kind says in the fault what is named.
func (p *parser) checkName(f field, kind string) bool {
	if validName(f.text) {
		return true
	}
	p.faultAtField(f, quote(f.text)+" cannot name a "+kind, wantName)
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

// validSegment rejects "." and "..", because HTTP clients and servers resolve them.
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

// checkPath reports a fault and returns false if a field is not a valid path.
func (p *parser) checkPath(f field) bool {
	if validPath(f.text) {
		return true
	}
	p.faultAtField(f, quote(f.text)+" is not a path", wantPath)
	return false
}

// splitList splits a comma-separated value into fields.
func (p *parser) splitList(o option) []field {
	var fields []field
	offset := o.offset
	for item := range strings.SplitSeq(o.text, ",") {
		fields = append(fields, field{text: item, offset: offset})
		offset += len(item) + 1
	}
	return fields
}

// parseCount parses an integer from 1 to MaxCount; defaultValue applies if the option is missing.
func (p *parser) parseCount(o option, defaultValue int) (int, bool) {
	if o.offset == 0 {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(o.text, 10, 32)
	if err != nil || n < 1 || n > MaxCount {
		p.faultAtField(o, quote(o.text)+" is not a count", wantCount)
		return 0, false
	}
	return int(n), true
}

// parseDecimal parses a number of digits and at most one decimal point; it rejects exponents, signs, infinity and NaN.
func parseDecimal(text string) (float64, bool) {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// parseRate parses a limit in requests per second; a missing option means zero, which is no limit.
func (p *parser) parseRate(o option) (float64, bool) {
	if o.offset == 0 {
		return 0, true
	}
	v, ok := parseDecimal(o.text)
	if !ok || v < 1e-6 || v > MaxCount {
		p.faultAtField(o, quote(o.text)+" is not a limit", "requests a second, above 0 and at most 1000000, or no limit= for no limit")
		return 0, false
	}
	return v, true
}

// parseFactor parses the factor of a bound rule.
func (p *parser) parseFactor(f field) (float64, bool) {
	v, ok := parseDecimal(f.text)
	if !ok || v <= 1 || v > MaxBound {
		p.faultAtField(f, quote(f.text)+" is not a bound", "a multiple of the mean load above 1 and at most 100, such as 1.25")
		return 0, false
	}
	return v, true
}

// parsePercentage parses a percentage and returns it as a fraction; a missing option means DefaultMaxCanaryShare.
func (p *parser) parsePercentage(o option) (float64, bool) {
	if o.offset == 0 {
		return DefaultMaxCanaryShare, true
	}
	digits, found := strings.CutSuffix(o.text, "%")
	v, ok := parseDecimal(digits)
	if !found || !ok || v < 1e-4 || v > 100 {
		p.faultAtField(o, quote(o.text)+" is not a share", "a percentage above 0% and at most 100%, such as 5%")
		return 0, false
	}
	return v / 100, true
}

// parseDeadline parses a duration in whole milliseconds; a missing option means DefaultDeadline.
func (p *parser) parseDeadline(o option) (time.Duration, bool) {
	if o.offset == 0 {
		return DefaultDeadline, true
	}
	d, err := time.ParseDuration(o.text)
	if err != nil || d < time.Millisecond || d > MaxDeadline || d%time.Millisecond != 0 {
		p.faultAtField(o, quote(o.text)+" is not a deadline", "a duration from 1ms to 24h in whole milliseconds, such as 5s or 1m30s")
		return 0, false
	}
	return d, true
}

// parseTime parses an RFC 3339 time and returns it in UTC.
func (p *parser) parseTime(f field) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, f.text)
	if err != nil {
		p.faultAtField(f, quote(f.text)+" is not a time", "a time with its zone, such as 2026-12-05T18:00:00Z")
		return time.Time{}, false
	}
	return t.UTC(), true
}

// unset is the default index of a choice without a default value.
const unset = -1

// parseChoice returns the index of the option's value in values, or defaultIndex if the option is missing. description says in
// the fault what a valid value is.
func (p *parser) parseChoice(o option, description string, values []string, defaultIndex int) (int, bool) {
	if o.offset == 0 {
		return defaultIndex, true
	}
	if i := indexOf(values, o.text); i >= 0 {
		return i, true
	}
	last := len(values) - 1
	want := fmt.Sprintf("%s or %s", strings.Join(values[:last], ", "), values[last])
	p.faultAtField(o, quote(o.text)+" is not "+description, want)
	return 0, false
}
