package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/process/services"
)

var start = time.Unix(1_700_000_000, 0)

func instance(id string, state services.InstanceState) services.Instance {
	return services.Instance{ID: id, Role: "sidecar", Address: "127.0.0.1:1", State: state}
}

func ids(instances []services.Instance) []string {
	names := []string{}
	for _, i := range instances {
		names = append(names, i.ID)
	}
	return names
}

// Each case checks one way in which a lagging source could make an instance eligible or ineligible wrongly.
func TestTable_MergesSources(t *testing.T) {
	live := []services.Instance{instance("a", services.InstanceLive), instance("b", services.InstanceLive)}
	onlyA := live[:1]
	cases := []struct {
		name  string
		steps func(*Table)
		after time.Duration
		want  []string
	}{
		{"listed instances are eligible", func(*Table) {}, 0, []string{"a", "b"}},
		{"leaving in the list takes effect immediately", func(m *Table) {
			m.Connected(instance("b", services.InstanceLive))
			m.ApplyList([]services.Instance{instance("a", services.InstanceLive), instance("b", services.InstanceLeaving)})
		}, 0, []string{"a"}},
		{"missing from the list but connected stays", func(m *Table) {
			m.Connected(instance("b", services.InstanceLive))
			m.ApplyList(onlyA)
		}, time.Hour, []string{"a", "b"}},
		{"missing from the list and disconnected is removed", func(m *Table) {
			m.Connected(instance("b", services.InstanceLive))
			m.ApplyList(onlyA)
			m.Disconnected(start, "b")
		}, 0, []string{"a"}},
		{"a short interruption keeps the instance eligible", func(m *Table) { m.Disconnected(start, "b") }, 4 * time.Second, []string{"a", "b"}},
		{"a long interruption makes it ineligible", func(m *Table) { m.Disconnected(start, "b") }, 5 * time.Second, []string{"a"}},
		{"repeated failures do not extend the grace period", func(m *Table) {
			m.Disconnected(start, "b")
			m.Disconnected(start.Add(4*time.Second), "b")
		}, 5 * time.Second, []string{"a"}},
		{"an announcement overrides a lagging list", func(m *Table) {
			m.Leaving(start, "b")
			m.ApplyList(live)
		}, 30 * time.Second, []string{"a"}},
		{"a replacement with the same id is eligible immediately", func(m *Table) {
			m.Leaving(start, "b")
			m.Connected(instance("b", services.InstanceLive))
		}, 0, []string{"a", "b"}},
		{"an incremental update affects only its instances and ids", func(m *Table) {
			m.Connected(instance("a", services.InstanceLive))
			m.ApplyChanges([]services.Instance{instance("c", services.InstanceLive), instance("d", services.InstanceLeaving)}, []string{"a", "b", "x"})
		}, 0, []string{"a", "c"}},
		{"an empty list is ignored", func(m *Table) { m.ApplyList(nil) }, 0, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(DefaultConfig())
			table.ApplyList(live)
			c.steps(table)
			must.Eq(t, c.want, ids(table.Eligible(start.Add(c.after), "sidecar")))
		})
	}
}

// Changed must report an expiry although no input to the table coincides with it.
func TestChanged_SeesExpiry(t *testing.T) {
	table := New(DefaultConfig())
	table.ApplyList([]services.Instance{instance("a", services.InstanceLive)})
	table.Disconnected(start, "a")
	must.True(t, table.Changed(start))
	must.False(t, table.Changed(start.Add(time.Second)))
	must.True(t, table.Changed(start.Add(5*time.Second)))
	must.False(t, table.Changed(start.Add(6*time.Second)))
}

// Connected instances that the list has dropped must be reported, so that they are probed. Otherwise a dead one would stay eligible,
// because its idle connection would not be probed.
func TestUnlisted(t *testing.T) {
	table := New(DefaultConfig())
	table.ApplyList([]services.Instance{instance("a", services.InstanceLive), instance("b", services.InstanceLive), instance("c", services.InstanceLive)})
	table.Connected(instance("a", services.InstanceLive))
	table.Connected(instance("b", services.InstanceLive))
	must.SliceEmpty(t, table.ConnectedUnlisted())
	table.ApplyList([]services.Instance{instance("a", services.InstanceLive)})
	must.Eq(t, []string{"b"}, table.ConnectedUnlisted())
}

// After any sequence of inputs, Changed must report every difference between successive results of Eligible. An expiry would be missed if
// its member had been removed from Table.expiring.
func TestChanged_AgreesWithEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(DefaultConfig()), start
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		var before []string
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := names.Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				table.Connected(instance(name, services.InstanceLive))
			case 1:
				table.Disconnected(now, name)
			case 2:
				table.Leaving(now, name)
			case 3:
				table.ApplyList([]services.Instance{instance(name, services.InstanceLive)})
			case 4:
				table.ApplyChanges([]services.Instance{instance(name, services.InstanceLive)}, []string{names.Draw(t, "gone")})
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "seconds")) * time.Second)
			}
			changed := table.Changed(now)
			after := ids(table.Eligible(now, "sidecar"))
			if !slices.Equal(before, after) {
				must.True(t, changed)
			}
			before = after
		}
	})
}
