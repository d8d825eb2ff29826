// Package load holds what a process knows of the load of upstreams.
//
// The mean load, to which the load bound refers, is that of the upstreams that are meant to carry load: cold upstreams do not
// count, drained and departed ones must be removed, and upstreams of different versions belong to different groups while
// traffic shifts between them. An idle upstream that counts would lower the bound of the others just when they carry its
// work: with half of the upstreams idle, a bound of 1.25 would stop the other half at any load.
//
// An entry keeps the latest report of each upstream in a Table, computes the mean load of each load group from it, and
// decides which Open frames carry that mean as a hint. A sidecar merges the hints of many entries in a MeanEstimator. Both are
// plain state machines: the current time is an argument, and neither is safe for concurrent use.
package load

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/connection/wire"
)

// Upstream names an upstream and its place.
type Upstream struct {
	ID, DataCentre string
	// Group names the upstreams that share a mean: a service, or a service version while a shift between versions is under
	// way, since upstreams that receive a small share of the traffic would lower the mean of the others.
	Group string
}

// record is the latest report of one upstream.
type record struct {
	Upstream
	report wire.LoadReport
	at     time.Time
	// scale is the report's part in the sums of its site.
	scale float64
	// place is the record's place in its site's list.
	place *list.Element
	// hintMean and hintAt are the last hint to the upstream; hintMean is zero if there was none.
	hintMean uint32
	hintAt   time.Time
}

// counted says whether the report counts towards the mean. A cold upstream is kept at little work on purpose; counting it
// would lower the bound of the warm upstreams when they have to carry its work.
func (r *record) counted() bool { return !r.report.Cold }

// summary is what gossip said of one group in another data centre.
type summary struct {
	work      uint64
	upstreams uint32
	// at is when the figures were true, by this process's clock.
	at time.Time
}

// group holds the data centres of one load group.
type group struct {
	sites     map[string]*site
	summaries map[string]summary
}

// Table holds the latest load report of each upstream.
type Table struct {
	cfg     Config
	own     string
	records map[string]*record
	groups  map[string]*group
	// hints is the budget of all hints, changes an additional one of hints that tell of a changed mean.
	hints, changes *rate.Limiter
	// removed are the latest removed upstreams, whose late reports do not count.
	removed *simplelru.LRU[string, struct{}]
	// turn counts the digests.
	turn int
}

// maxRemoved bounds the removed upstreams that are kept, so that replaced instances do not use memory for good. It is nine
// times the upstreams of a data centre at the design scale.
const maxRemoved = 4096

// NewTable returns an empty table of an entry in the data centre own. cfg must be valid.
func NewTable(own string, cfg Config) *Table {
	// The only error is that of a size below 1.
	removed, _ := simplelru.NewLRU[string, struct{}](maxRemoved, nil)
	return &Table{
		removed: removed,
		cfg:     cfg,
		own:     own,
		records: make(map[string]*record),
		groups:  make(map[string]*group),
		hints:   rate.NewLimiter(rate.Limit(cfg.HintBytesPerSecond), cfg.HintBurstBytes),
		changes: rate.NewLimiter(rate.Limit(cfg.ChangeBytesPerSecond), cfg.ChangeBurstBytes),
	}
}

func (t *Table) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{sites: make(map[string]*site), summaries: make(map[string]summary)}
		t.groups[name] = g
	}
	return g
}

func (t *Table) site(u Upstream) *site {
	g := t.group(u.Group)
	s := g.sites[u.DataCentre]
	if s == nil {
		s = newSite()
		g.sites[u.DataCentre] = s
	}
	return s
}

// Report records the latest report of an upstream. Its record stays until Remove. Reports of a removed upstream are ignored
// until the next Hint to it.
func (t *Table) Report(now time.Time, u Upstream, report wire.LoadReport) {
	if t.removed.Contains(u.ID) {
		return
	}
	r := t.records[u.ID]
	if r != nil && r.Upstream != u {
		t.forget(r)
		r = nil
	}
	s := t.site(u)
	t.expire(now, s)
	if r == nil {
		r = &record{Upstream: u}
		t.records[u.ID] = r
	}
	if r.place == nil {
		r.place = s.records.PushBack(r)
	} else {
		s.subtract(r)
		s.records.MoveToBack(r.place)
	}
	r.report, r.at = report, now
	s.add(r, t.cfg.ReportDecay)
}

// Remove forgets an upstream that left, was drained, or takes no work for another lasting reason, so that it does not lower
// the mean of the others. The requests that it still finishes bring late reports of a falling load, which do not count.
func (t *Table) Remove(id string) {
	t.removed.Add(id, struct{}{})
	if r := t.records[id]; r != nil {
		t.forget(r)
	}
}

func (t *Table) forget(r *record) {
	delete(t.records, r.ID)
	t.detach(r)
}

// detach takes a record's report out of its site.
func (t *Table) detach(r *record) {
	if r.place == nil {
		return
	}
	s := t.site(r.Upstream)
	s.subtract(r)
	s.records.Remove(r.place)
	r.place = nil
}

// expire drops the reports of a site that are too old. The records stay for their hints until Remove.
func (t *Table) expire(now time.Time, s *site) {
	for front := s.records.Front(); front != nil; front = s.records.Front() {
		r := front.Value.(*record)
		if now.Sub(r.at) <= t.cfg.ReportMaxAge {
			return
		}
		t.detach(r)
	}
}

// Latest returns an upstream's latest report and its age, and whether there is one that is not too old.
func (t *Table) Latest(now time.Time, id string) (wire.LoadReport, time.Duration, bool) {
	r := t.records[id]
	if r == nil || r.place == nil {
		return wire.LoadReport{}, 0, false
	}
	age := now.Sub(r.at)
	if age > t.cfg.ReportMaxAge {
		return wire.LoadReport{}, 0, false
	}
	return r.report, age, true
}

// Gossip records summaries of other data centres. A summary replaces one with older figures only, since gossip arrives by
// several ways. Summaries of the table's own data centre are ignored.
func (t *Table) Gossip(now time.Time, summaries []wire.LoadSummary) {
	for _, s := range summaries {
		if s.DataCentre == t.own {
			continue
		}
		next := summary{work: s.WorkUnits, upstreams: s.Upstreams, at: now.Add(-time.Duration(s.AgeMS) * time.Millisecond)}
		if now.Sub(next.at) > t.cfg.SummaryMaxAge {
			continue
		}
		g := t.group(s.Service)
		if prev, found := g.summaries[s.DataCentre]; !found || next.at.After(prev.at) {
			g.summaries[s.DataCentre] = next
		}
	}
}

// Summaries returns the table's own figures of its data centre and the fresh ones of the others, to be gossiped on. The
// service of a summary is the group's name. The order is not defined.
func (t *Table) Summaries(now time.Time) []wire.LoadSummary {
	var all []wire.LoadSummary
	for name, g := range t.groups {
		if s := g.sites[t.own]; s != nil {
			t.expire(now, s)
			if s.upstreams > 0 {
				all = append(all, wire.LoadSummary{DataCentre: t.own, Service: name, WorkUnits: s.work(), Upstreams: s.upstreams})
			}
		}
		for dataCentre, s := range g.summaries {
			age := now.Sub(s.at)
			if age > t.cfg.SummaryMaxAge {
				delete(g.summaries, dataCentre)
				continue
			}
			all = append(all, wire.LoadSummary{
				DataCentre: dataCentre, Service: name, WorkUnits: s.work, Upstreams: s.upstreams, AgeMS: uint32(age.Milliseconds()),
			})
		}
	}
	return all
}

// Digest returns at most limit summaries to be gossiped on: the table's own ones, which nobody has fresher, and others in turn.
func (t *Table) Digest(now time.Time, limit int) []wire.LoadSummary {
	all := t.Summaries(now)
	slices.SortFunc(all, func(a, b wire.LoadSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	others := slices.DeleteFunc(slices.Clone(all), func(s wire.LoadSummary) bool { return s.DataCentre == t.own })
	own := slices.DeleteFunc(all, func(s wire.LoadSummary) bool { return s.DataCentre != t.own })
	t.turn++
	// Half of the places are kept for the others, so that summaries also travel by way of third data centres.
	digest := inTurn(nil, own, t.turn, max(limit-min(len(others), limit/2), 0))
	return inTurn(digest, others, t.turn, limit-len(digest))
}

// inTurn appends n of the rows, other ones at each turn until all had theirs.
func inTurn(dst, rows []wire.LoadSummary, turn, n int) []wire.LoadSummary {
	n = min(n, len(rows))
	for i := range n {
		dst = append(dst, rows[(turn*n+i)%len(rows)])
	}
	return dst
}

// Mean returns the mean work of a group's upstreams in work units, rounded down but at least 1, and whether there is any figure.
// It is the sum of the work over the number of upstreams: a data centre counts with its summary if that is fresh, else, as the own one does,
// with the reports that this entry received.
func (t *Table) Mean(now time.Time, groupName string) (uint32, bool) {
	g := t.groups[groupName]
	if g == nil {
		return 0, false
	}
	var work, upstreams uint64
	for dataCentre, s := range g.summaries {
		if now.Sub(s.at) > t.cfg.SummaryMaxAge {
			delete(g.summaries, dataCentre)
			continue
		}
		work += s.work
		upstreams += uint64(s.upstreams)
	}
	for dataCentre, s := range g.sites {
		if _, found := g.summaries[dataCentre]; found {
			continue
		}
		t.expire(now, s)
		work += s.work()
		upstreams += uint64(s.upstreams)
	}
	if upstreams == 0 {
		return 0, false
	}
	return uint32(min(max(work/upstreams, 1), math.MaxUint32)), true
}

// Hint returns the mean to attach to an Open to an upstream now, or zero for none. The upstream counts again if it was removed. A hint is due if the mean changed or the
// last hint to this upstream is old, and it is sent if a byte budget allows it.
func (t *Table) Hint(now time.Time, u Upstream) uint32 {
	t.removed.Remove(u.ID)
	mean, found := t.Mean(now, u.Group)
	if !found {
		return 0
	}
	r := t.records[u.ID]
	if r == nil {
		r = &record{Upstream: u}
		t.records[u.ID] = r
	}
	// The budgets come last, since their bytes are not given back.
	if !t.due(now, r, mean) || !t.allow(now, r, mean) {
		return 0
	}
	r.hintMean, r.hintAt = mean, now
	return mean
}

func (t *Table) due(now time.Time, r *record, mean uint32) bool {
	return r.hintMean == 0 || now.Sub(r.hintAt) >= t.cfg.HintMaxAge || t.changed(r, mean)
}

// changed says whether the mean is no longer the one of the last hint to the upstream.
func (t *Table) changed(r *record, mean uint32) bool {
	difference := math.Abs(float64(mean) - float64(r.hintMean))
	return r.hintMean != 0 && difference > t.cfg.HintChange*float64(r.hintMean)
}

// allow takes the bytes of a hint out of the usual budget, or out of the other one if the hint tells of a change.
func (t *Table) allow(now time.Time, r *record, mean uint32) bool {
	return t.hints.AllowN(now, t.cfg.HintBytes) || t.changed(r, mean) && t.changes.AllowN(now, t.cfg.HintBytes)
}
