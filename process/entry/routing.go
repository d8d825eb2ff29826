package entry

import (
	"slices"

	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/version/rules"
)

// routing is what a request needs to find an upstream. It is immutable.
type routing struct {
	view     *candidate.View
	sidecars map[string]services.Instance
	// reachable are the sidecars that the tables were built from.
	reachable []services.Instance
	// listed and drains are what reachable follows from.
	listed  []services.Instance
	drains  []rules.Drain
	entries int
}

// nextRouting shares with the previous routing what the snapshot does not change. Most changes of the rules drain nothing; looking at
// all sidecars for each of them would cost milliseconds, and building the tables again tens of milliseconds.
func nextRouting(previous *routing, snapshot *node.Snapshot, region string) *routing {
	next := *previous
	next.entries = max(1, len(snapshot.Entries))
	next.listed, next.drains = snapshot.Sidecars, drains(snapshot)
	if sameList(previous.listed, next.listed) && slices.EqualFunc(previous.drains, next.drains, sameDrain) && previous.view != nil {
		return &next
	}
	next.reachable = reachable(snapshot, region)
	if previous.view == nil || !slices.Equal(previous.reachable, next.reachable) {
		next.build(previous)
	}
	return &next
}

// sameList says whether two published lists, which are never modified, are the same one.
func sameList(a, b []services.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sameDrain(a, b rules.Drain) bool { return a.Scope == b.Scope && a.Name == b.Name }

func drains(snapshot *node.Snapshot) []rules.Drain {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Rules.Drains()
}

// build makes the tables of the reachable sidecars, reusing those of the previous routing.
func (r *routing) build(previous *routing) {
	r.sidecars = make(map[string]services.Instance, len(r.reachable))
	upstreams := make([]candidate.Upstream, 0, len(r.reachable))
	for _, i := range r.reachable {
		r.sidecars[i.ID] = i
		upstreams = append(upstreams, candidate.Upstream{ID: i.ID, DataCentre: i.DataCentre, Service: i.Service, Version: i.Version})
	}
	r.view = candidate.Build(previous.view, upstreams, candidate.DefaultConfig())
}

// serviceVersion names the upstreams that are interchangeable.
type serviceVersion struct{ service, version string }

// reachable returns the sidecars that are not drained: those of the region, and of other regions those whose service version has none in
// the region. An empty region reaches all.
func reachable(snapshot *node.Snapshot, region string) []services.Instance {
	near := func(i services.Instance) bool { return region == "" || i.Region == "" || i.Region == region }
	inRegion := map[serviceVersion]bool{}
	var open []services.Instance
	for _, i := range snapshot.Sidecars {
		if drained(snapshot, i) {
			continue
		}
		open = append(open, i)
		if near(i) {
			inRegion[serviceVersion{i.Service, i.Version}] = true
		}
	}
	return slices.DeleteFunc(open, func(i services.Instance) bool {
		return !near(i) && inRegion[serviceVersion{i.Service, i.Version}]
	})
}

func drained(snapshot *node.Snapshot, i services.Instance) bool {
	if snapshot.Config == nil {
		return false
	}
	_, is := snapshot.Config.Rules.Drained(i.DataCentre, i.ID)
	return is
}
