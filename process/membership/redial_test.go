package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
)

// unreachableTable returns a table with perDataCentre unreachable instances in each data centre.
func unreachableTable(now time.Time, perDataCentre int, dataCentres ...string) *Table {
	var rows []services.Instance
	for _, dc := range dataCentres {
		for i := range perDataCentre {
			rows = append(rows, services.Instance{ID: fmt.Sprintf("%s-%d", dc, i), Role: "sidecar", DataCentre: dc, State: services.InstanceLive})
		}
	}
	table := New(DefaultConfig())
	table.ApplyList(rows)
	for _, row := range rows {
		table.Disconnected(now, row.ID)
	}
	return table
}

// Every unreachable instance must be redialed. The attempts must stay within the control budget and be spread evenly over the instances.
func TestRedial_RoundRobinWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 50, "suva", "nadi")
	tried := map[string]int{}
	for second := range 41 {
		due := table.DueRedials(now.Add(time.Duration(second) * time.Second))
		must.LessEq(t, 5, len(due))
		for _, i := range due {
			tried[i.ID]++
			table.Disconnected(now, i.ID)
		}
	}
	must.MapLen(t, 100, tried)
	for _, n := range tried {
		must.Between(t, 2, n, 3)
	}
	must.Len(t, 1, unreachableTable(now, 1, "suva").DueRedials(now))
}

// After a data centre has become reachable again, its instances must be redialed faster than at RedialPerSecond.
func TestRedial_DataCentreReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 435, "suva", "nadi")
	back := 0
	for second := range 30 {
		for _, i := range table.DueRedials(now.Add(time.Duration(second) * time.Second)) {
			if i.DataCentre != "nadi" {
				table.Disconnected(now, i.ID)
				continue
			}
			table.Connected(i)
			back++
		}
		if second == 0 {
			// The first redials go to suva only. A request may connect to an instance of nadi before a redial does.
			table.Connected(services.Instance{ID: "nadi-0"})
			back++
		}
	}
	must.Eq(t, 435, back)
}

// Instances that are leaving, removed or connected must not be redialed. An instance that left and was replaced by one with the same id and
// address must be redialed, although the list shows no change.
func TestRedial_OnlyUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 4, "suva")
	table.Connected(services.Instance{ID: "suva-0"})
	table.ApplyChanges([]services.Instance{{ID: "suva-3", DataCentre: "suva", State: services.InstanceLeaving}}, []string{"suva-1"})
	must.Eq(t, []string{"suva-2"}, ids(table.DueRedials(now)))
	table.Leaving(now, "suva-0")
	table.Connected(services.Instance{ID: "suva-2"})
	must.Eq(t, []string{}, ids(table.DueRedials(now.Add(time.Second))))
	// An instance that announced its leave may have been replaced once its connection has ended.
	table.Disconnected(now.Add(time.Second), "suva-0")
	must.Eq(t, []string{"suva-0"}, ids(table.DueRedials(now.Add(2*time.Second))))
}
