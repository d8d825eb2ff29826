package rules

const usageRoute = "route PATH service=NAME deadline=DURATION priority=high|normal|low idempotent=yes|no"

var (
	routeOptions    = []string{"service", "deadline", "priority", "idempotent"}
	priorityNames   = []string{"low", "normal", "high"}
	idempotentNames = []string{"no", "yes"}
)

// unresolved marks a route without idempotent=, whose value follows from the kind of its service.
const unresolved = -1

// routeRef remembers what of a route depends on its service.
type routeRef struct {
	route      int32
	idempotent int
}

func (p *parser) route() {
	words, ok := p.words(1, usageRoute)
	if !ok {
		return
	}
	pathOK := p.path(words[0])
	values, ok := p.options(1, routeOptions, usageRoute)
	if !ok || !p.required(values[0], "service", usageRoute) {
		return
	}
	serviceOK := p.name(values[0], "service")
	deadline, deadlineOK := p.deadline(values[1])
	priority, priorityOK := p.choice(values[2], "a priority", priorityNames, 1)
	idempotent, idempotentOK := p.choice(values[3], "a choice", idempotentNames, unresolved)
	if !serviceOK {
		return
	}
	p.refer(values[0])
	if !pathOK || !deadlineOK || !priorityOK || !idempotentOK {
		return
	}
	p.addRoute(words[0], Route{
		Path: words[0].text, Service: values[0].text, Deadline: deadline, Priority: Low + Priority(priority),
		Origin: p.line.origin(),
	}, idempotent)
}

func (p *parser) addRoute(f field, route Route, idempotent int) {
	if first, found := p.set.routeIndex[route.Path]; found {
		p.duplicate(f, "route", p.set.routes[first].Line)
		return
	}
	i := int32(len(p.set.routes))
	p.set.routeIndex[route.Path] = i
	p.set.longestRoute = max(p.set.longestRoute, len(route.Path))
	p.set.routes = append(p.set.routes, route)
	p.routeRefs = append(p.routeRefs, routeRef{route: i, idempotent: idempotent})
}
