package entry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rules"
)

func rulesOf(t must.T, lines string) *config.Accepted {
	set, faults := rules.Parse("rules", []byte("service s kind=model versions=v1 # a: b\n"+lines))
	must.SliceEmpty(t, faults)
	return &config.Accepted{Rules: set}
}

func instancesOf(n int) []services.Instance {
	instances := make([]services.Instance, n)
	for i := range instances {
		instances[i] = services.Instance{ID: fmt.Sprintf("press-%05d", i), DataCentre: fmt.Sprint("dc-", i%23), Service: "s", Version: "v1"}
	}
	return instances
}

// The view must be rebuilt when drains or the sidecar list change, and reused when a rule change affects neither.
func TestNextRouting(t *testing.T) {
	instances := instancesOf(46)
	before := nextRouting(&routingTable{}, &node.Snapshot{Config: rulesOf(t, ""), Sidecars: instances}, "")
	must.MapLen(t, 46, before.sidecars)
	team := nextRouting(before, &node.Snapshot{Config: rulesOf(t, "team a # a: b\n"), Sidecars: instances}, "")
	must.True(t, team.view == before.view)
	drained := &node.Snapshot{Config: rulesOf(t, "drain datacentre dc-3 # a: b\n"), Sidecars: instances}
	next := nextRouting(team, drained, "")
	must.MapLen(t, 44, next.sidecars)
	commented := &node.Snapshot{Config: rulesOf(t, "# x\ndrain datacentre dc-3 # a: c\n"), Sidecars: instances}
	must.True(t, nextRouting(next, commented, "").view == next.view)
	must.MapLen(t, 44, nextRouting(next, &node.Snapshot{Config: rulesOf(t, "drain datacentre dc-4 # a: b\n"), Sidecars: instances}, "").sidecars)
	must.MapLen(t, 46, nextRouting(next, &node.Snapshot{Config: rulesOf(t, ""), Sidecars: instances}, "").sidecars)
	must.MapLen(t, 45, nextRouting(before, &node.Snapshot{Config: rulesOf(t, ""), Sidecars: instances[:45]}, "").sidecars)
}

// Measures a routing update at the design scale (docs/CAPACITY.md) of 10,000 sidecars for a rule change that does not affect drains.
func BenchmarkPublishTeamChange(b *testing.B) {
	instances, accepted := instancesOf(10_000), rulesOf(b, "team a # a: b\n")
	current := nextRouting(&routingTable{}, &node.Snapshot{Config: rulesOf(b, ""), Sidecars: instances}, "")
	for b.Loop() {
		current = nextRouting(current, &node.Snapshot{Config: accepted, Sidecars: instances}, "")
	}
}

// Measures filtering 10,000 sidecars. nextRouting avoids this cost if the drains are unchanged.
func BenchmarkReachable(b *testing.B) {
	snapshot := &node.Snapshot{Config: rulesOf(b, ""), Sidecars: instancesOf(10_000)}
	previous := reachableSidecars(snapshot, "")
	for b.Loop() {
		if next := reachableSidecars(snapshot, ""); len(next) != len(previous) {
			b.Fatal("a sidecar is missing")
		}
	}
}
