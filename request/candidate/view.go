// Package candidate decides which upstreams may serve a chat, in order.
//
// Weighted rendezvous hashing ranks the data centres in reach for the chat, and a slot table per data centre and service
// version gives the chat's upstreams within each. Both depend on names only, so that all entries with the same members choose
// the same upstreams, and a member that leaves moves only its own chats. A View is immutable and may be shared between
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
	// ID is unique within a data centre, service and version; Build keeps the first of several.
	ID, DataCentre, Service, Version string
	// Weight is the upstream's share of its data centre's chats relative to the others. Zero counts as 1. An upstream with a
	// negative or infinite weight, or one that is not a number, is left out.
	Weight float64
}

// Candidate is an upstream that may serve a chat.
type Candidate struct {
	ID, DataCentre string
}

// Reach is the set of data centres that an entry may use, such as those of its region. The empty set means all.
type Reach map[string]struct{}

// NewReach returns the set of the given data centres.
func NewReach(dataCentres ...string) Reach {
	r := make(Reach, len(dataCentres))
	for _, name := range dataCentres {
		r[name] = struct{}{}
	}
	return r
}

// Contains says whether a data centre is in reach.
func (r Reach) Contains(dataCentre string) bool {
	if len(r) == 0 {
		return true
	}
	_, found := r[dataCentre]
	return found
}

type groupKey struct {
	service, version string
}

// site is one data centre of a group.
type site struct {
	name   string
	hash   uint64
	level  level
	weight float64
	table  *table
}

// group is a service version. Its sites are in ascending order of name.
type group struct {
	sites []site
}

func (g *group) site(name string) *site {
	if g == nil {
		return nil
	}
	at, found := slices.BinarySearchFunc(g.sites, name, func(s site, name string) int { return cmp.Compare(s.name, name) })
	if !found {
		return nil
	}
	return &g.sites[at]
}

// View holds the candidates of all chats for one set of upstreams. A nil View has no candidates.
type View struct {
	cfg Config
	// slotCount is a power of two up to SlotCount.
	slotCount int
	groups    map[groupKey]*group
}

type siteKey struct {
	groupKey
	dataCentre string
}

// Build returns the view of the given upstreams. It reuses the tables of prev, which may be nil, and holds the data-centre
// weights of prev against single departures. cfg must be valid. Build does not keep ups.
func Build(prev *View, ups []Upstream, cfg Config) *View {
	return build(prev, ups, cfg, SlotCount)
}

// build is Build with smaller tables, which tests use to save time; prev must have the same number of slots.
func build(prev *View, ups []Upstream, cfg Config, slotCount int) *View {
	v := &View{cfg: cfg, slotCount: slotCount, groups: make(map[groupKey]*group)}
	for key, members := range collect(ups) {
		g := v.groups[key.groupKey]
		if g == nil {
			g = &group{}
			v.groups[key.groupKey] = g
		}
		g.sites = append(g.sites, v.buildSite(prev.site(key), key.dataCentre, normalise(members)))
	}
	for _, g := range v.groups {
		slices.SortFunc(g.sites, func(a, b site) int { return cmp.Compare(a.name, b.name) })
	}
	return v
}

func (v *View) site(key siteKey) *site {
	if v == nil {
		return nil
	}
	return v.groups[key.groupKey].site(key.dataCentre)
}

// collect sorts the usable upstreams into tables.
func collect(ups []Upstream) map[siteKey][]member {
	bySite := make(map[siteKey][]member)
	for _, u := range ups {
		weight := u.Weight
		if weight == 0 {
			weight = 1
		}
		if !(weight > 0) || math.IsInf(weight, 1) {
			continue
		}
		key := siteKey{groupKey{u.Service, u.Version}, u.DataCentre}
		bySite[key] = append(bySite[key], member{id: u.ID, hash: xxhash.Sum64String(u.ID), weight: weight})
	}
	return bySite
}

// normalise orders members by ID, drops repeated ones and bounds their number.
func normalise(members []member) []member {
	byID := func(a, b member) int { return cmp.Compare(a.id, b.id) }
	if !slices.IsSortedFunc(members, byID) {
		slices.SortStableFunc(members, byID)
	}
	members = slices.CompactFunc(members, func(a, b member) bool { return a.id == b.id })
	return members[:min(len(members), MaxTableUpstreams)]
}

func (v *View) buildSite(prev *site, dataCentre string, members []member) site {
	s := site{name: dataCentre, hash: xxhash.Sum64String(dataCentre)}
	var prevLevel level
	var prevTable *table
	if prev != nil {
		prevLevel, prevTable = prev.level, prev.table
	}
	s.level = nextLevel(prevLevel, len(members), v.cfg)
	s.weight = s.level.weight()
	s.table = updateTable(prevTable, dataCentre, members, v.slotCount)
	return s
}
