package bench

import (
	"fmt"
	"time"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// size describes a fleet whose control traffic is measured.
type size struct {
	name                                        string
	entries, sidecars, dataCentres, models      int
	teams                                       int
	requestsPerSecond, changesPerDay, restarts  float64
	leavingSidecars, leavingEntries, shiftRoute int
	// window is the setting rollout.window_ms of the fleet's entries.
	window time.Duration
	// regional says that entries reach the runners of their region only. The measured entry is in the largest region.
	regional bool
}

const secondsPerDay = 24 * 3600.0

// smallFleet is one of the two deployments of today; designFleet is the scale of section 1.3 of docs/design.md. Restarts are per day
// and include failures. The leaving instances are those of one data centre.
var (
	smallFleet = size{
		name: "12 runners", entries: 3, sidecars: 12, dataCentres: 3, models: 1, teams: 10,
		requestsPerSecond: 204, changesPerDay: 13_000, restarts: 5, leavingSidecars: 4, leavingEntries: 1, shiftRoute: 4, window: 5 * time.Second,
	}
	designFleet = size{
		name: "10,000 runners", entries: 790, sidecars: 10_000, dataCentres: 23, models: 3, teams: 46_000,
		requestsPerSecond: 170_000, changesPerDay: 13_000, restarts: 3_860, leavingSidecars: 435, leavingEntries: 34, shiftRoute: 4, window: 30 * time.Second,
	}
)

// regions is the number of regions over which dataCentre spreads the data centres.
const regions = 7

// inRegion returns the fleet with entries that reach their region only.
func (s size) inRegion() size {
	s.name += " with region"
	s.regional = true
	return s
}

// reaches says whether the measured entry, which is in data centre 0, sends requests to a data centre.
func (s size) reaches(dataCentre int) bool { return !s.regional || dataCentre%regions == 0 }

// reached returns the numbers of the data centres that the measured entry sends requests to.
func (s size) reached() []int {
	var numbers []int
	for i := range s.dataCentres {
		if s.reaches(i) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// reachedSidecars returns the numbers of the sidecars that the measured entry is connected to.
func (s size) reachedSidecars() []int {
	var numbers []int
	for i := range s.sidecars {
		if s.reaches(i % s.dataCentres) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// reach is the share of the sidecars that an entry is connected to, and of the entries that are connected to a sidecar.
func (s size) reach() float64 { return float64(len(s.reachedSidecars())) / float64(s.sidecars) }

// sidecarsPerEntry is the ratio by which what one sidecar exchanges with entries follows from what one entry exchanges with sidecars.
func (s size) sidecarsPerEntry() float64 { return float64(s.sidecars) / float64(s.entries) }

func (s size) requestsPerEntry() float64 { return s.requestsPerSecond / float64(s.entries) }

func (s size) changesPerSecond() float64 { return s.changesPerDay / secondsPerDay }

// version is a configuration version after two years of changes.
func (s size) version() uint64 { return uint64(s.changesPerDay * 2 * 365) }

func (s size) dataCentre(i int) string { return fmt.Sprintf("region-%d-%c", i%regions, 'a'+i/regions) }

func (s size) model(i int) string { return fmt.Sprintf("press-model-%d/v1", i%s.models) }

func (s size) sidecar(i int) services.Instance {
	return services.Instance{
		ID: fmt.Sprintf("press-%05d", i), Role: settings.RoleSidecar, DataCentre: s.dataCentre(i % s.dataCentres),
		Address: fmt.Sprintf("10.%d.%d.%d:7000", i%s.dataCentres, i/250, i%250), Service: fmt.Sprintf("press-model-%d", i%s.models), Version: "v1",
		State: services.InstanceLive,
	}
}

func (s size) entry(i int) services.Instance {
	return services.Instance{
		ID: fmt.Sprintf("entry-%04d", i), Role: settings.RoleEntry, DataCentre: s.dataCentre(i % s.dataCentres),
		Address: fmt.Sprintf("10.%d.0.%d:7000", 100+i%s.dataCentres, i%250), State: services.InstanceLive,
	}
}

// instances returns the rows of the instance list.
func (s size) instances() []services.Instance {
	rows := make([]services.Instance, 0, s.sidecars+s.entries)
	for i := range s.sidecars {
		rows = append(rows, s.sidecar(i))
	}
	for i := range s.entries {
		rows = append(rows, s.entry(i))
	}
	return rows
}
