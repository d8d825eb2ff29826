package rules

const usageRoute = "route PATH service=NAME deadline=DURATION priority=high|normal|low idempotent=yes|no"

var (
	routeOptions    = []string{"service", "deadline", "priority", "idempotent"}
	priorityNames   = []string{"low", "normal", "high"}
	idempotentNames = []string{"no", "yes"}
)

// routeRef remembers what of a route depends on its service.
type routeRef struct {
	route int32
	// idempotent is the index of idempotentNames, or unstated if it follows from the kind of the service.
	idempotent int
}

func (p *parser) route() {
	words, ok := p.words(1, usageRoute)
	if !ok {
		return
	}
	pathOK := p.path(words[0])
	values, ok := p.options(1, routeOptions, usageRoute)
	serviceOK := p.required(values[0], "service", usageRoute) && p.name(values[0], "service")
	if serviceOK {
		p.refer(values[0])
	}
	deadline, deadlineOK := p.deadline(values[1])
	priority, priorityOK := p.choice(values[2], "a priority", priorityNames, 1)
	idempotent, idempotentOK := p.choice(values[3], "a choice", idempotentNames, unstated)
	if !ok || !pathOK || !serviceOK || !deadlineOK || !priorityOK || !idempotentOK {
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
