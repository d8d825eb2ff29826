package rules

import "fmt"

const (
	usageService   = "service NAME kind=model|plain versions=v1,v2"
	usageBound     = "bound SERVICE FACTOR"
	usageColdStart = "coldstart SERVICE initial=N limit=N"
)

var (
	serviceOptions   = []string{"kind", "versions"}
	coldStartOptions = []string{"initial", "limit"}
	kindNames        = []string{"model", "plain"}
)

// serviceRef is a reference to a service and its position.
type serviceRef struct {
	name string
	at   position
}

// addServiceRef records a reference to a service, which is checked after all lines are parsed.
func (p *parser) addServiceRef(f field) {
	p.serviceRefs = append(p.serviceRefs, serviceRef{name: f.text, at: p.position(f)})
}

// faultDuplicate reports a second rule for the name in f; kind is the kind of rule and first the line of the first one.
func (p *parser) faultDuplicate(f field, kind string, first int) {
	p.faultAtField(f, fmt.Sprintf("%s %s already has a rule in line %d", kind, f.text, first), "one rule for each "+kind)
}

func (p *parser) parseService() {
	args, ok := p.args(1, usageService)
	if !ok {
		return
	}
	nameOK := p.checkName(args[0], "service")
	p.declaredServices[args[0].text] = true
	values, ok := p.parseOptions(1, serviceOptions, usageService)
	hasKind := p.requireOption(values[0], "kind", usageService)
	hasVersions := p.requireOption(values[1], "versions", usageService)
	kind, kindOK := p.parseChoice(values[0], "a kind", kindNames, unset)
	versions, versionsOK := p.parseVersions(values[1])
	if !ok || !nameOK || !hasKind || !hasVersions || !kindOK || !versionsOK {
		return
	}
	service := Service{Name: args[0].text, Kind: Model + Kind(kind), Versions: versions, Origin: p.line.origin()}
	if first, found := p.set.serviceIndex[service.Name]; found {
		p.faultDuplicate(args[0], "service", p.set.services[first].Line)
		return
	}
	p.set.serviceIndex[service.Name] = int32(len(p.set.services))
	p.set.services = append(p.set.services, service.withDefaults())
}

func (s Service) withDefaults() Service {
	s.Bound = Bound{Factor: DefaultBound}
	if s.Kind == Model {
		s.ColdStart = ColdStart{Initial: DefaultColdInitial, Limit: DefaultColdLimit}
	}
	return s
}

func (p *parser) parseVersions(o option) ([]string, bool) {
	if o.offset == 0 {
		return nil, true
	}
	fields := p.splitList(o)
	names := make([]string, 0, len(fields))
	ok := true
	for _, f := range fields {
		switch {
		case !p.checkName(f, "version"):
			ok = false
		case indexOf(names, f.text) >= 0:
			p.faultAtField(f, "version "+f.text+" is listed twice", "each version once")
			ok = false
		default:
			names = append(names, f.text)
		}
	}
	return names, ok
}

func (p *parser) parseBound() {
	args, ok := p.args(2, usageBound)
	if !ok {
		return
	}
	ok = p.noMoreArgs(2, usageBound)
	nameOK := p.checkName(args[0], "service")
	if nameOK {
		p.addServiceRef(args[0])
	}
	factor, factorOK := p.parseFactor(args[1])
	if !ok || !nameOK || !factorOK {
		return
	}
	if first, found := p.bounds[args[0].text]; found {
		p.faultDuplicate(args[0], "bound of service", first.Line)
		return
	}
	p.bounds[args[0].text] = Bound{Factor: factor, Origin: p.line.origin()}
}

func (p *parser) parseColdStart() {
	args, ok := p.args(1, usageColdStart)
	if !ok {
		return
	}
	nameOK := p.checkName(args[0], "service")
	if nameOK {
		p.addServiceRef(args[0])
	}
	values, ok := p.parseOptions(1, coldStartOptions, usageColdStart)
	initial, initialOK := p.parseCount(values[0], DefaultColdInitial)
	limit, limitOK := p.parseCount(values[1], DefaultColdLimit)
	if !ok || !nameOK || !initialOK || !limitOK {
		return
	}
	if initial > limit {
		p.faultAtField(args[0], fmt.Sprintf("initial %d is above limit %d", initial, limit), "initial at most limit")
		return
	}
	if first, found := p.coldStarts[args[0].text]; found {
		p.faultDuplicate(args[0], "coldstart of service", first.Line)
		return
	}
	p.coldStarts[args[0].text] = ColdStart{Initial: initial, Limit: limit, Origin: p.line.origin()}
}
