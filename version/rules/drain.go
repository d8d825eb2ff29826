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

// scopeNames are in the order of the scopes.
var scopeNames = []string{"datacentre", "upstream"}

type drainKey struct {
	scope Scope
	name  string
}

// drainChange is the last drain or undrain rule so far for a data centre or an upstream.
type drainChange struct {
	origin  Origin
	drained bool
}

// parseDrain parses a drain rule, or an undrain rule if drained is false.
func (p *parser) parseDrain(drained bool) {
	usage := usageUndrain
	if drained {
		usage = usageDrain
	}
	args, ok := p.args(2, usage)
	if !ok || !p.noMoreArgs(2, usage) {
		return
	}
	scope, scopeOK := p.parseChoice(args[0], "something that can be drained", scopeNames, 0)
	if !p.checkName(args[1], "data centre or upstream") || !scopeOK {
		return
	}
	p.recordDrain(args[1], drainKey{DataCentre + Scope(scope), args[1].text}, drained)
}

// recordDrain records a drain or undrain and reports a fault if it changes nothing. With two drains of the same name, one undrain
// would also end the drain that has another reason. An undrain of something that is not drained is most likely a misspelt name.
func (p *parser) recordDrain(f field, key drainKey, drained bool) {
	last, found := p.drainChanges[key]
	switch {
	case drained && last.drained:
		p.faultAtField(f, fmt.Sprintf("%s %s is already drained in line %d", key.scope, key.name, last.origin.Line), "one drain until it is undrained")
	case !drained && !found:
		p.faultAtField(f, fmt.Sprintf("no line above drains %s %s", key.scope, key.name), "the name of a drain in a line above")
	case !drained && !last.drained:
		p.faultAtField(f, fmt.Sprintf("%s %s is already undrained in line %d", key.scope, key.name, last.origin.Line), "one undrain for each drain")
	default:
		p.drainChanges[key] = drainChange{origin: p.line.origin(), drained: drained}
	}
}

// addDrains adds the drains in force to the set.
func (p *parser) addDrains() {
	for key, change := range p.drainChanges {
		if change.drained {
			p.set.drains = append(p.set.drains, Drain{Scope: key.scope, Name: key.name, Origin: change.origin})
		}
	}
	slices.SortFunc(p.set.drains, func(a, b Drain) int { return cmp.Compare(a.Line, b.Line) })
	for i, d := range p.set.drains {
		if d.Scope == DataCentre {
			p.set.drainedDataCentres[d.Name] = int32(i)
		} else {
			p.set.drainedUpstreams[d.Name] = int32(i)
		}
	}
}
