package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const usageShift = "shift SERVICE FROM -> TO by 2026-12-05T18:00:00Z cap=PERCENT guard=/path,/path"

var shiftOptions = []string{"cap", "guard"}

// shiftRef remembers the places of what a shift refers to.
type shiftRef struct {
	shift    Shift
	from, to place
	guards   []guardRef
}

type guardRef struct {
	path string
	at   place
}

func (p *parser) shift() {
	words, ok := p.words(6, usageShift)
	if !ok || !p.literal(words[2], "->") || !p.literal(words[4], "by") {
		return
	}
	serviceOK := p.name(words[0], "service")
	if serviceOK {
		p.refer(words[0])
	}
	fromOK, toOK := p.name(words[1], "version"), p.name(words[3], "version")
	by, byOK := p.time(words[5])
	values, ok := p.options(6, shiftOptions, usageShift)
	share, shareOK := p.share(values[0])
	guards, guardsOK := p.guards(values[1])
	if !serviceOK || !fromOK || !toOK || !byOK || !ok || !shareOK || !guardsOK {
		return
	}
	if words[1].text == words[3].text {
		p.faultAt(words[3], "the shift goes from "+words[1].text+" to itself", "two versions")
		return
	}
	p.addShift(words, Shift{
		Service: words[0].text, From: words[1].text, To: words[3].text,
		By: by, Cap: share, Origin: p.line.origin(),
	}, guards)
}

func (p *parser) literal(f field, want string) bool {
	if f.text == want {
		return true
	}
	p.faultAt(f, "unexpected "+quote(f.text), usageShift)
	return false
}

func (p *parser) guards(o option) ([]guardRef, bool) {
	if o.offset == 0 {
		return nil, true
	}
	var guards []guardRef
	ok := true
	for _, f := range p.list(o) {
		if !p.path(f) {
			ok = false
			continue
		}
		if slices.ContainsFunc(guards, func(g guardRef) bool { return g.path == f.text }) {
			p.faultAt(f, "guard "+f.text+" is listed twice", "each guard once")
			ok = false
			continue
		}
		guards = append(guards, guardRef{path: f.text, at: p.place(f)})
	}
	return guards, ok
}

func (p *parser) addShift(words []field, shift Shift, guards []guardRef) {
	if first, found := p.set.shiftIndex[shift.Service]; found {
		p.duplicate(words[0], "shift of service", p.set.shifts[first].Line)
		return
	}
	for _, g := range guards {
		shift.Guards = append(shift.Guards, g.path)
	}
	slices.Sort(shift.Guards)
	shift.ID = shiftID(shift)
	p.set.shiftIndex[shift.Service] = int32(len(p.set.shifts))
	p.set.shifts = append(p.set.shifts, shift)
	p.shiftRefs = append(p.shiftRefs, shiftRef{shift: shift, from: p.place(words[1]), to: p.place(words[3]), guards: guards})
}

// shiftID names the service and the versions for readers, and hashes the other values.
func shiftID(s Shift) string {
	content := strings.Join([]string{
		s.Service, s.From, s.To,
		s.By.Format(time.RFC3339Nano),
		strconv.FormatFloat(s.Cap, 'g', -1, 64),
		strings.Join(s.Guards, ","),
	}, " ")
	return fmt.Sprintf("%s.%s-%s.%016x", s.Service, s.From, s.To, xxhash.Sum64String(content))
}
