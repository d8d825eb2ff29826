package rules

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	usageDrain   = "drain datacentre|upstream NAME"
	usageUndrain = "undrain datacentre|upstream NAME"
)

var scopeNames = []string{"datacentre", "upstream"}

type drainKey struct {
	scope Scope
	name  string
}

// drainChange is the latest line about a data centre or an upstream.
type drainChange struct {
	origin  Origin
	drained bool
}

// drain parses a drain rule, or with drained false an undrain rule.
func (p *parser) drain(drained bool) {
	usage := usageUndrain
	if drained {
		usage = usageDrain
	}
	words, ok := p.words(2, usage)
	if !ok || !p.noMore(2, usage) {
		return
	}
	scope, scopeOK := p.choice(words[0], "something that can be drained", scopeNames, 0)
	if !p.name(words[1], "data centre or upstream") || !scopeOK {
		return
	}
	p.changeDrain(words[1], drainKey{DataCentre + Scope(scope), words[1].text}, drained)
}

// changeDrain refuses a line that changes nothing. A second drain would carry a reason that the next undrain silently lifts, and
// an undrain of something that is not drained is most likely a misspelt name.
func (p *parser) changeDrain(f field, key drainKey, drained bool) {
	last, found := p.drains[key]
	switch {
	case drained && last.drained:
		p.faultAt(f, fmt.Sprintf("%s %s is already drained in line %d", key.scope, key.name, last.origin.Line), "one drain until it is undrained")
	case !drained && !found:
		p.faultAt(f, fmt.Sprintf("no line above drains %s %s", key.scope, key.name), "the name of a drain in a line above")
	case !drained && !last.drained:
		p.faultAt(f, fmt.Sprintf("%s %s is already undrained in line %d", key.scope, key.name, last.origin.Line), "one undrain for each drain")
	default:
		p.drains[key] = drainChange{origin: p.line.origin(), drained: drained}
	}
}

// addDrains puts the drains in force into the set.
func (p *parser) addDrains() {
	for key, change := range p.drains {
		if change.drained {
			p.set.drains = append(p.set.drains, Drain{Scope: key.scope, Name: key.name, Origin: change.origin})
		}
	}
	slices.SortFunc(p.set.drains, func(a, b Drain) int { return cmp.Compare(a.Line, b.Line) })
	for i, d := range p.set.drains {
		if d.Scope == DataCentre {
			p.set.dataCentres[d.Name] = int32(i)
		} else {
			p.set.upstreams[d.Name] = int32(i)
		}
	}
}
