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

// serviceRef is a reference to a service by the rule at a place.
type serviceRef struct {
	name string
	at   place
}

func (p *parser) refer(f field) {
	p.serviceRefs = append(p.serviceRefs, serviceRef{name: f.text, at: p.place(f)})
}

// duplicate reports that the thing in f already has a rule in another line.
func (p *parser) duplicate(f field, what string, first int) {
	p.faultAt(f, fmt.Sprintf("%s %s already has a rule in line %d", what, f.text, first), "one rule for each "+what)
}

func (p *parser) service() {
	words, ok := p.words(1, usageService)
	if !ok {
		return
	}
	named := p.name(words[0], "service")
	p.declared[words[0].text] = true
	values, ok := p.options(1, serviceOptions, usageService)
	hasKind := p.required(values[0], "kind", usageService)
	hasVersions := p.required(values[1], "versions", usageService)
	kind, kindOK := p.choice(values[0], "a kind", kindNames, unstated)
	versions, versionsOK := p.versions(values[1])
	if !ok || !named || !hasKind || !hasVersions || !kindOK || !versionsOK {
		return
	}
	service := Service{Name: words[0].text, Kind: Model + Kind(kind), Versions: versions, Origin: p.line.origin()}
	if first, found := p.set.serviceIndex[service.Name]; found {
		p.duplicate(words[0], "service", p.set.services[first].Line)
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

func (p *parser) versions(o option) ([]string, bool) {
	if o.offset == 0 {
		return nil, true
	}
	fields := p.list(o)
	names := make([]string, 0, len(fields))
	ok := true
	for _, f := range fields {
		switch {
		case !p.name(f, "version"):
			ok = false
		case indexOf(names, f.text) >= 0:
			p.faultAt(f, "version "+f.text+" is listed twice", "each version once")
			ok = false
		default:
			names = append(names, f.text)
		}
	}
	return names, ok
}

func (p *parser) bound() {
	words, ok := p.words(2, usageBound)
	if !ok {
		return
	}
	ok = p.noMore(2, usageBound)
	named := p.name(words[0], "service")
	if named {
		p.refer(words[0])
	}
	factor, factorOK := p.factor(words[1])
	if !ok || !named || !factorOK {
		return
	}
	if first, found := p.bounds[words[0].text]; found {
		p.duplicate(words[0], "bound of service", first.Line)
		return
	}
	p.bounds[words[0].text] = Bound{Factor: factor, Origin: p.line.origin()}
}

func (p *parser) coldStart() {
	words, ok := p.words(1, usageColdStart)
	if !ok {
		return
	}
	named := p.name(words[0], "service")
	if named {
		p.refer(words[0])
	}
	values, ok := p.options(1, coldStartOptions, usageColdStart)
	initial, initialOK := p.count(values[0], DefaultColdInitial)
	limit, limitOK := p.count(values[1], DefaultColdLimit)
	if !ok || !named || !initialOK || !limitOK {
		return
	}
	if initial > limit {
		p.faultAt(words[0], fmt.Sprintf("initial %d is above limit %d", initial, limit), "initial at most limit")
		return
	}
	if first, found := p.coldStarts[words[0].text]; found {
		p.duplicate(words[0], "coldstart of service", first.Line)
		return
	}
	p.coldStarts[words[0].text] = ColdStart{Initial: initial, Limit: limit, Origin: p.line.origin()}
}
