package entry

import (
	"slices"

	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/version/rules"
)

// routingTable is the immutable data used to select upstreams for requests.
type routingTable struct {
	view     *candidate.View
	sidecars map[string]services.Instance
	// reachable lists the sidecars from which the view was built.
	reachable []services.Instance
	// listed and drains are the inputs from which reachable was computed.
	listed  []services.Instance
	drains  []rules.Drain
	entries int
}

// nextRouting returns the routing table of a snapshot and reuses the unchanged parts of the previous one. Most rule changes do not
// affect drains. Filtering all sidecars for every change would take milliseconds, and rebuilding the view tens of milliseconds.
func nextRouting(previous *routingTable, snapshot *node.Snapshot, region string) *routingTable {
	next := *previous
	next.entries = max(1, len(snapshot.Entries))
	next.listed, next.drains = snapshot.Sidecars, activeDrains(snapshot)
	if sameSlice(previous.listed, next.listed) && slices.EqualFunc(previous.drains, next.drains, sameDrain) && previous.view != nil {
		return &next
	}
	next.reachable = reachableSidecars(snapshot, region)
	if previous.view == nil || !slices.Equal(previous.reachable, next.reachable) {
		next.build(previous)
	}
	return &next
}

// sameSlice reports whether a and b share the same backing array. Published lists are never modified, so identity implies equality.
func sameSlice(a, b []services.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sameDrain(a, b rules.Drain) bool { return a.Scope == b.Scope && a.Name == b.Name }

func activeDrains(snapshot *node.Snapshot) []rules.Drain {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Rules.Drains()
}

// build creates the view of the reachable sidecars and reuses unchanged parts of the previous one.
func (r *routingTable) build(previous *routingTable) {
	r.sidecars = make(map[string]services.Instance, len(r.reachable))
	upstreams := make([]candidate.Upstream, 0, len(r.reachable))
	for _, i := range r.reachable {
		r.sidecars[i.ID] = i
		upstreams = append(upstreams, candidate.Upstream{ID: i.ID, DataCentre: i.DataCentre, Service: i.Service, Version: i.Version})
	}
	r.view = candidate.Build(previous.view, upstreams, candidate.DefaultConfig())
}

// serviceVersion identifies a group of interchangeable upstreams.
type serviceVersion struct{ service, version string }

// reachableSidecars returns the sidecars that are not drained and are in the given region. Sidecars of other regions are included only
// for service versions with no sidecar in the region. An empty region matches all sidecars.
func reachableSidecars(snapshot *node.Snapshot, region string) []services.Instance {
	isLocal := func(i services.Instance) bool { return region == "" || i.Region == "" || i.Region == region }
	inRegion := map[serviceVersion]bool{}
	var open []services.Instance
	for _, i := range snapshot.Sidecars {
		if isDrained(snapshot, i) {
			continue
		}
		open = append(open, i)
		if isLocal(i) {
			inRegion[serviceVersion{i.Service, i.Version}] = true
		}
	}
	return slices.DeleteFunc(open, func(i services.Instance) bool {
		return !isLocal(i) && inRegion[serviceVersion{i.Service, i.Version}]
	})
}

func isDrained(snapshot *node.Snapshot, i services.Instance) bool {
	if snapshot.Config == nil {
		return false
	}
	_, drained := snapshot.Config.Rules.Drained(i.DataCentre, i.ID)
	return drained
}
