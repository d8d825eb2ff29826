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

// shiftRef holds the positions of the versions and routes that a shift refers to.
type shiftRef struct {
	shift    Shift
	from, to position
	guards   []guardRef
}

type guardRef struct {
	path string
	at   position
}

func (p *parser) parseShift() {
	args, ok := p.args(6, usageShift)
	if !ok || !p.expectLiteral(args[2], "->") || !p.expectLiteral(args[4], "by") {
		return
	}
	serviceOK := p.checkName(args[0], "service")
	if serviceOK {
		p.addServiceRef(args[0])
	}
	fromOK, toOK := p.checkName(args[1], "version"), p.checkName(args[3], "version")
	by, byOK := p.parseTime(args[5])
	values, ok := p.parseOptions(6, shiftOptions, usageShift)
	share, shareOK := p.parsePercentage(values[0])
	guards, guardsOK := p.parseGuards(values[1])
	if !serviceOK || !fromOK || !toOK || !byOK || !ok || !shareOK || !guardsOK {
		return
	}
	if args[1].text == args[3].text {
		p.faultAtField(args[3], "the shift goes from "+args[1].text+" to itself", "two versions")
		return
	}
	p.addShift(args, Shift{
		Service: args[0].text, From: args[1].text, To: args[3].text,
		Deadline: by, MaxCanaryShare: share, Origin: p.line.origin(),
	}, guards)
}

// expectLiteral reports a fault and returns false if a field is not the wanted literal.
func (p *parser) expectLiteral(f field, want string) bool {
	if f.text == want {
		return true
	}
	p.faultAtField(f, "unexpected "+quote(f.text), usageShift)
	return false
}

// parseGuards parses a comma-separated list of paths and records their positions.
func (p *parser) parseGuards(o option) ([]guardRef, bool) {
	if o.offset == 0 {
		return nil, true
	}
	var guards []guardRef
	ok := true
	for _, f := range p.splitList(o) {
		if !p.checkPath(f) {
			ok = false
			continue
		}
		if slices.ContainsFunc(guards, func(g guardRef) bool { return g.path == f.text }) {
			p.faultAtField(f, "guard "+f.text+" is listed twice", "each guard once")
			ok = false
			continue
		}
		guards = append(guards, guardRef{path: f.text, at: p.position(f)})
	}
	return guards, ok
}

func (p *parser) addShift(args []field, shift Shift, guards []guardRef) {
	if first, found := p.set.shiftIndex[shift.Service]; found {
		p.faultDuplicate(args[0], "shift of service", p.set.shifts[first].Line)
		return
	}
	for _, g := range guards {
		shift.Guards = append(shift.Guards, g.path)
	}
	slices.Sort(shift.Guards)
	shift.ID = shiftID(shift)
	p.set.shiftIndex[shift.Service] = int32(len(p.set.shifts))
	p.set.shifts = append(p.set.shifts, shift)
	p.shiftRefs = append(p.shiftRefs, shiftRef{shift: shift, from: p.position(args[1]), to: p.position(args[3]), guards: guards})
}

// shiftID returns an ID made of the readable names of the service and its versions, and a hash of all values of the rule.
func shiftID(s Shift) string {
	content := strings.Join([]string{
		s.Service, s.From, s.To,
		s.Deadline.Format(time.RFC3339Nano),
		strconv.FormatFloat(s.MaxCanaryShare, 'g', -1, 64),
		strings.Join(s.Guards, ","),
	}, " ")
	return fmt.Sprintf("%s.%s-%s.%016x", s.Service, s.From, s.To, xxhash.Sum64String(content))
}
