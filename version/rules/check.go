package rules

import (
	"slices"
	"strings"
)

// finish checks the references between rules and completes the set.
func (p *parser) finish() {
	for _, ref := range p.serviceRefs {
		if !p.declared[ref.name] {
			p.faultIn(ref.at, "unknown service "+ref.name, p.knownServices())
		}
	}
	for i := range p.set.services {
		p.complete(&p.set.services[i])
	}
	for _, ref := range p.routeRefs {
		p.resolveRoute(ref)
	}
	for _, ref := range p.shiftRefs {
		p.checkShift(ref)
	}
	p.addDrains()
}

func (p *parser) knownServices() string {
	const most = 10
	if len(p.set.services) == 0 {
		return "a service rule for it"
	}
	var names []string
	for _, s := range p.set.services[:min(most, len(p.set.services))] {
		names = append(names, s.Name)
	}
	return "a service rule for it, or one of " + strings.Join(names, ", ")
}

// complete puts the bound and the cold start of a service in place of the defaults.
func (p *parser) complete(s *Service) {
	if b, found := p.bounds[s.Name]; found {
		s.Bound = b
	}
	if c, found := p.coldStarts[s.Name]; found {
		s.ColdStart = c
	}
}

// resolveRoute completes a route that does not say whether its calls are idempotent. Calls to a plain service are taken to be
// unsafe to repeat, because a wrong guess there could charge a card twice.
func (p *parser) resolveRoute(ref routeRef) {
	r := &p.set.routes[ref.route]
	r.Idempotent = ref.idempotent == 1
	if ref.idempotent != unstated {
		return
	}
	service, _ := p.set.Service(r.Service)
	r.Idempotent = service.Kind == Model
}

func (p *parser) checkShift(ref shiftRef) {
	service, found := p.set.Service(ref.shift.Service)
	if !found {
		return
	}
	want := "one of " + strings.Join(service.Versions, ", ")
	if !slices.Contains(service.Versions, ref.shift.From) {
		p.faultIn(ref.from, "service "+service.Name+" has no version "+ref.shift.From, want)
	}
	if !slices.Contains(service.Versions, ref.shift.To) {
		p.faultIn(ref.to, "service "+service.Name+" has no version "+ref.shift.To, want)
	}
	for _, g := range ref.guards {
		i, found := p.set.routeIndex[g.path]
		if !found || p.set.routes[i].Service != service.Name {
			p.faultIn(g.at, "service "+service.Name+" has no route "+g.path, "the path of a route rule with service="+service.Name)
		}
	}
}
