// Package candidate computes the ordered list of upstreams that may serve a chat.
//
// Weighted rendezvous hashing ranks the allowed data centres for the chat, and a slot table per data centre and service version
// ranks the upstreams within each. Both depend on names only, so that all entries with the same members choose the same
// upstreams, and removing a member moves only the chats of that member. A View is immutable and may be shared between
// goroutines; a control goroutine builds the next one from it.
package candidate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one member of a view.
type Upstream struct {
	// ID is unique within a data centre, service and version; Build keeps the first of several upstreams with the same ID.
	ID, DataCentre, Service, Version string
	// Weight is relative: the chats of a data centre are divided among its upstreams in proportion to their weights. Zero counts
	// as 1. An upstream whose weight is negative, infinite or NaN is ignored.
	Weight float64
}

// Candidate is an upstream that may serve a chat.
type Candidate struct {
	ID, DataCentre string
}

// DataCentreSet is the set of data centres that an entry may use, such as those of its region. The empty set allows all.
type DataCentreSet map[string]struct{}

// NewDataCentreSet returns the set of the given data centres.
func NewDataCentreSet(dataCentres ...string) DataCentreSet {
	set := make(DataCentreSet, len(dataCentres))
	for _, name := range dataCentres {
		set[name] = struct{}{}
	}
	return set
}

// Contains reports whether the set allows a data centre.
func (s DataCentreSet) Contains(dataCentre string) bool {
	if len(s) == 0 {
		return true
	}
	_, found := s[dataCentre]
	return found
}

type serviceVersionKey struct {
	service, version string
}

// dataCentre holds the weight and the slot table of one service version in one data centre.
type dataCentre struct {
	name   string
	hash   uint64
	level  weightLevel
	weight float64
	table  *table
}

// serviceVersion holds the data centres of one service version in ascending order of name.
type serviceVersion struct {
	dataCentres []dataCentre
}

// find returns the data centre with the given name, or nil. sv may be nil.
func (sv *serviceVersion) find(name string) *dataCentre {
	if sv == nil {
		return nil
	}
	at, found := slices.BinarySearchFunc(sv.dataCentres, name, func(d dataCentre, name string) int { return cmp.Compare(d.name, name) })
	if !found {
		return nil
	}
	return &sv.dataCentres[at]
}

// View holds the candidates of all chats for one set of upstreams. A nil View has no candidates.
type View struct {
	cfg Config
	// slotCount is a power of two up to SlotCount.
	slotCount int
	versions  map[serviceVersionKey]*serviceVersion
}

// tableKey identifies a slot table.
type tableKey struct {
	serviceVersionKey
	dataCentre string
}

// Build returns the view of the given upstreams. It reuses the tables of prev, which may be nil, and keeps a data-centre weight
// of prev if the count fell by no more than the hysteresis below its level. cfg must be valid. Build does not retain ups.
func Build(prev *View, ups []Upstream, cfg Config) *View {
	return build(prev, ups, cfg, SlotCount)
}

// build is Build with a variable table size, so that tests can use smaller tables. prev must have the same number of slots.
func build(prev *View, ups []Upstream, cfg Config, slotCount int) *View {
	v := &View{cfg: cfg, slotCount: slotCount, versions: make(map[serviceVersionKey]*serviceVersion)}
	for key, members := range membersByTable(ups) {
		sv := v.versions[key.serviceVersionKey]
		if sv == nil {
			sv = &serviceVersion{}
			v.versions[key.serviceVersionKey] = sv
		}
		sv.dataCentres = append(sv.dataCentres, v.buildDataCentre(prev.find(key), key.dataCentre, normalise(members)))
	}
	for _, sv := range v.versions {
		slices.SortFunc(sv.dataCentres, func(a, b dataCentre) int { return cmp.Compare(a.name, b.name) })
	}
	return v
}

// find returns the data centre that holds the table of a key, or nil. v may be nil.
func (v *View) find(key tableKey) *dataCentre {
	if v == nil {
		return nil
	}
	return v.versions[key.serviceVersionKey].find(key.dataCentre)
}

// membersByTable groups the upstreams with a valid weight by table.
func membersByTable(ups []Upstream) map[tableKey][]member {
	byTable := make(map[tableKey][]member)
	for _, u := range ups {
		weight := u.Weight
		if weight == 0 {
			weight = 1
		}
		if !(weight > 0) || math.IsInf(weight, 1) {
			continue
		}
		key := tableKey{serviceVersionKey{u.Service, u.Version}, u.DataCentre}
		byTable[key] = append(byTable[key], member{id: u.ID, hash: xxhash.Sum64String(u.ID), weight: weight})
	}
	return byTable
}

// normalise sorts members by ID, removes duplicate IDs and truncates the list to MaxTableUpstreams.
func normalise(members []member) []member {
	byID := func(a, b member) int { return cmp.Compare(a.id, b.id) }
	if !slices.IsSortedFunc(members, byID) {
		slices.SortStableFunc(members, byID)
	}
	members = slices.CompactFunc(members, func(a, b member) bool { return a.id == b.id })
	return members[:min(len(members), MaxTableUpstreams)]
}

// buildDataCentre returns the next state of a data centre. prev is its earlier state, or nil.
func (v *View) buildDataCentre(prev *dataCentre, name string, members []member) dataCentre {
	d := dataCentre{name: name, hash: xxhash.Sum64String(name)}
	var prevLevel weightLevel
	var prevTable *table
	if prev != nil {
		prevLevel, prevTable = prev.level, prev.table
	}
	d.level = nextWeightLevel(prevLevel, len(members), v.cfg)
	d.weight = d.level.weight()
	d.table = updateTable(prevTable, name, members, v.slotCount)
	return d
}
