package rules

import (
	"slices"
	"strings"
)

// finish resolves the references between rules and completes the set after all lines are parsed.
func (p *parser) finish() {
	for _, ref := range p.serviceRefs {
		if !p.declaredServices[ref.name] {
			p.faultAtPosition(ref.at, "unknown service "+ref.name, p.knownServices())
		}
	}
	for i := range p.set.services {
		p.applyServiceRules(&p.set.services[i])
	}
	for _, ref := range p.routeRefs {
		p.resolveIdempotent(ref)
	}
	for _, ref := range p.shiftRefs {
		p.checkShift(ref)
	}
	p.addDrains()
}

// knownServices describes what a reference to an unknown service should be, with the first declared names.
func (p *parser) knownServices() string {
	const maxListed = 10
	if len(p.set.services) == 0 {
		return "a service rule for it"
	}
	var names []string
	for _, s := range p.set.services[:min(maxListed, len(p.set.services))] {
		names = append(names, s.Name)
	}
	return "a service rule for it, or one of " + strings.Join(names, ", ")
}

// applyServiceRules replaces the defaults of a service by its bound and coldstart rules.
func (p *parser) applyServiceRules(s *Service) {
	if b, found := p.bounds[s.Name]; found {
		s.Bound = b
	}
	if c, found := p.coldStarts[s.Name]; found {
		s.ColdStart = c
	}
}

// resolveIdempotent sets whether a route's calls are idempotent, by default from the kind of its service. Calls to plain services
// are not idempotent by default, because a repeated call could, for example, charge a card twice.
func (p *parser) resolveIdempotent(ref routeRef) {
	r := &p.set.routes[ref.route]
	r.Idempotent = ref.idempotent == 1
	if ref.idempotent != unset {
		return
	}
	service, _ := p.set.Service(r.Service)
	r.Idempotent = service.Kind == Model
}

// checkShift reports faults for versions and guards that the service of a shift does not have.
func (p *parser) checkShift(ref shiftRef) {
	service, found := p.set.Service(ref.shift.Service)
	if !found {
		return
	}
	want := "one of " + strings.Join(service.Versions, ", ")
	if !slices.Contains(service.Versions, ref.shift.From) {
		p.faultAtPosition(ref.from, "service "+service.Name+" has no version "+ref.shift.From, want)
	}
	if !slices.Contains(service.Versions, ref.shift.To) {
		p.faultAtPosition(ref.to, "service "+service.Name+" has no version "+ref.shift.To, want)
	}
	for _, g := range ref.guards {
		i, found := p.set.routeIndex[g.path]
		if !found || p.set.routes[i].Service != service.Name {
			p.faultAtPosition(g.at, "service "+service.Name+" has no route "+g.path, "the path of a route rule with service="+service.Name)
		}
	}
}
