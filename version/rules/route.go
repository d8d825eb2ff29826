package rules

const usageRoute = "route PATH service=NAME deadline=DURATION priority=high|normal|low idempotent=yes|no"

var (
	routeOptions    = []string{"service", "deadline", "priority", "idempotent"}
	priorityNames   = []string{"low", "normal", "high"}
	idempotentNames = []string{"no", "yes"}
)

// routeRef is a route whose idempotency is resolved after its service is known.
type routeRef struct {
	// route is the index of the route in the set.
	route int32
	// idempotent is an index into idempotentNames, or unset if the kind of the service determines it.
	idempotent int
}

func (p *parser) parseRoute() {
	args, ok := p.args(1, usageRoute)
	if !ok {
		return
	}
	pathOK := p.checkPath(args[0])
	values, ok := p.parseOptions(1, routeOptions, usageRoute)
	serviceOK := p.requireOption(values[0], "service", usageRoute) && p.checkName(values[0], "service")
	if serviceOK {
		p.addServiceRef(values[0])
	}
	deadline, deadlineOK := p.parseDeadline(values[1])
	priority, priorityOK := p.parseChoice(values[2], "a priority", priorityNames, 1)
	idempotent, idempotentOK := p.parseChoice(values[3], "a value of idempotent", idempotentNames, unset)
	if !ok || !pathOK || !serviceOK || !deadlineOK || !priorityOK || !idempotentOK {
		return
	}
	p.addRoute(args[0], Route{
		Path: args[0].text, Service: values[0].text, Deadline: deadline, Priority: Low + Priority(priority),
		Origin: p.line.origin(),
	}, idempotent)
}

func (p *parser) addRoute(f field, route Route, idempotent int) {
	if first, found := p.set.routeIndex[route.Path]; found {
		p.faultDuplicate(f, "route", p.set.routes[first].Line)
		return
	}
	i := int32(len(p.set.routes))
	p.set.routeIndex[route.Path] = i
	p.set.maxRouteBytes = max(p.set.maxRouteBytes, len(route.Path))
	p.set.routes = append(p.set.routes, route)
	p.routeRefs = append(p.routeRefs, routeRef{route: i, idempotent: idempotent})
}
