package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/platform"
)

// unreachableTable has perDataCentre unreachable instances in each data centre.
func unreachableTable(now time.Time, perDataCentre int, dataCentres ...string) *Table {
	var rows []platform.Instance
	for _, dc := range dataCentres {
		for i := range perDataCentre {
			rows = append(rows, platform.Instance{ID: fmt.Sprintf("%s-%d", dc, i), Role: "sidecar", DataCentre: dc, State: platform.InstanceLive})
		}
	}
	table := New(DefaultConfig())
	table.ApplyList(rows)
	for _, row := range rows {
		table.Disconnected(now, row.ID)
	}
	return table
}

// Guards against unreachable instances that are never tried again, and against attempts that exceed the control budget or favour some of
// the instances.
func TestRedial_TakesTurnsWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 50, "suva", "nadi")
	tried := map[string]int{}
	for second := range 41 {
		due := table.Redial(now.Add(time.Duration(second) * time.Second))
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
	must.Len(t, 1, unreachableTable(now, 1, "suva").Redial(now))
}

// Guards against a data centre that returns as slowly as unreachable instances are looked for.
func TestRedial_DataCentreReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 435, "suva", "nadi")
	back := 0
	for second := range 30 {
		for _, i := range table.Redial(now.Add(time.Duration(second) * time.Second)) {
			if i.DataCentre != "nadi" {
				table.Disconnected(now, i.ID)
				continue
			}
			table.Connected(i)
			back++
		}
		if second == 0 {
			// The first attempts reach suva only; a request may reach an instance first.
			table.Connected(platform.Instance{ID: "nadi-0"})
			back++
		}
	}
	must.Eq(t, 435, back)
}

// Guards against attempts to reach instances that left, went, or are connected again.
func TestRedial_OnlyUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := unreachableTable(now, 3, "suva")
	table.Connected(platform.Instance{ID: "suva-0"})
	table.ApplyChanges(nil, []string{"suva-1"})
	due := table.Redial(now)
	must.Len(t, 1, due)
	must.Eq(t, "suva-2", due[0].ID)
}
