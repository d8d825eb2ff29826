// Package load tracks the load of upstreams and estimates its mean.
//
// The load bound is relative to the mean load of the upstreams that are supposed to serve load: cold upstreams are not counted,
// upstreams that are drained or deregistered must be removed, and upstreams of different versions belong to different groups while
// traffic shifts between them. Counting an idle upstream would lower the bound of the others just when they serve its work: with
// half of the upstreams idle, a bound of 1.25 would make the other half refuse work at any load.
//
// An entry keeps the latest report of each upstream in a Table, computes the mean load of each load group from it, and decides
// which Open frames include that mean as a hint. A sidecar merges the hints of many entries in a MeanEstimator. Both do no I/O and do
// not read the clock: callers pass the current time. Neither is safe for concurrent use.
//
// The design scale in the comments is 790 entries and 10,000 sidecars in 23 data centres; see docs/design.md, section 1.3.
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

// Upstream identifies an upstream, its data centre and its load group.
type Upstream struct {
	ID, DataCentre string
	// Group is the name of the load group, whose upstreams share a mean: a service, or a service version while traffic shifts
	// between versions, since upstreams that receive a small part of the traffic would lower the mean of the others.
	Group string
}

// record is the latest report of one upstream.
type record struct {
	Upstream
	report wire.LoadReport
	at     time.Time
	// weight is the weight of the report in the sums of its data centre.
	weight float64
	// element is the record's element in the list of its data centre; nil if its report has expired.
	element *list.Element
	// hintMean and hintAt describe the last hint to the upstream; hintMean is zero if there was none.
	hintMean uint32
	hintAt   time.Time
}

// counted reports whether the report counts towards the mean. A cold upstream gets little work by design; counting it would lower
// the bound of the warm upstreams while they have to serve its work.
func (r *record) counted() bool { return !r.report.Cold }

// summary is the gossiped load of one group in another data centre.
type summary struct {
	work      uint64
	upstreams uint32
	// at is when the figures were computed, by this process's clock.
	at time.Time
}

// group holds the load of one load group by data centre.
type group struct {
	dataCentres map[string]*dataCentreLoad
	summaries   map[string]summary
}

// Table holds the latest load report of each upstream.
type Table struct {
	cfg           Config
	ownDataCentre string
	records       map[string]*record
	groups        map[string]*group
	// hintBudget is the byte budget of all hints, changeBudget an additional one for hints of a changed mean.
	hintBudget, changeBudget *rate.Limiter
	// removed holds the most recently removed upstreams, whose late reports are ignored.
	removed *simplelru.LRU[string, struct{}]
	// digestCount is the number of calls of Digest, from which the rotation of summaries is derived.
	digestCount int
}

// maxRemoved is the maximum number of removed upstreams that are remembered, so that memory does not grow as instances are replaced.
// It is nine times the number of upstreams of a data centre at the design scale.
const maxRemoved = 4096

// NewTable returns an empty table of an entry in ownDataCentre. cfg must be valid.
func NewTable(ownDataCentre string, cfg Config) *Table {
	// NewLRU fails only for sizes below 1.
	removed, _ := simplelru.NewLRU[string, struct{}](maxRemoved, nil)
	return &Table{
		removed:       removed,
		cfg:           cfg,
		ownDataCentre: ownDataCentre,
		records:       make(map[string]*record),
		groups:        make(map[string]*group),
		hintBudget:    rate.NewLimiter(rate.Limit(cfg.HintBytesPerSecond), cfg.HintBurstBytes),
		changeBudget:  rate.NewLimiter(rate.Limit(cfg.ChangeBytesPerSecond), cfg.ChangeBurstBytes),
	}
}

func (t *Table) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{dataCentres: make(map[string]*dataCentreLoad), summaries: make(map[string]summary)}
		t.groups[name] = g
	}
	return g
}

func (t *Table) dataCentreLoad(u Upstream) *dataCentreLoad {
	g := t.group(u.Group)
	s := g.dataCentres[u.DataCentre]
	if s == nil {
		s = newDataCentreLoad()
		g.dataCentres[u.DataCentre] = s
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
		t.deleteRecord(r)
		r = nil
	}
	s := t.dataCentreLoad(u)
	t.expire(now, s)
	if r == nil {
		r = &record{Upstream: u}
		t.records[u.ID] = r
	}
	if r.element == nil {
		r.element = s.records.PushBack(r)
	} else {
		s.subtract(r)
		s.records.MoveToBack(r.element)
	}
	r.report, r.at = report, now
	s.add(r, t.cfg.ReportDecay)
}

// Remove drops an upstream that was deregistered or drained, or receives no work for another lasting reason, so that it does not lower the
// mean of the others. Requests that it still completes cause late reports of a falling load, which are ignored.
func (t *Table) Remove(id string) {
	t.removed.Add(id, struct{}{})
	if r := t.records[id]; r != nil {
		t.deleteRecord(r)
	}
}

func (t *Table) deleteRecord(r *record) {
	delete(t.records, r.ID)
	t.detach(r)
}

// detach removes a record's report from the sums of its data centre.
func (t *Table) detach(r *record) {
	if r.element == nil {
		return
	}
	s := t.dataCentreLoad(r.Upstream)
	s.subtract(r)
	s.records.Remove(r.element)
	r.element = nil
}

// expire drops the reports older than ReportMaxAge. Their records stay until Remove, since they hold the last hint.
func (t *Table) expire(now time.Time, s *dataCentreLoad) {
	for front := s.records.Front(); front != nil; front = s.records.Front() {
		r := front.Value.(*record)
		if now.Sub(r.at) <= t.cfg.ReportMaxAge {
			return
		}
		t.detach(r)
	}
}

// Latest returns an upstream's latest report and its age, and whether there is one that has not expired.
func (t *Table) Latest(now time.Time, id string) (wire.LoadReport, time.Duration, bool) {
	r := t.records[id]
	if r == nil || r.element == nil {
		return wire.LoadReport{}, 0, false
	}
	age := now.Sub(r.at)
	if age > t.cfg.ReportMaxAge {
		return wire.LoadReport{}, 0, false
	}
	return r.report, age, true
}

// MergeSummaries records summaries of other data centres. A summary only replaces one with older figures, since gossip may arrive late over
// several paths. Summaries of the table's own data centre are ignored.
func (t *Table) MergeSummaries(now time.Time, summaries []wire.LoadSummary) {
	for _, s := range summaries {
		if s.DataCentre == t.ownDataCentre {
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

// Summaries returns the summaries to gossip: the table's own of its data centre, and those of other data centres that have not
// expired. The service of a summary is the name of the group. The order is undefined.
func (t *Table) Summaries(now time.Time) []wire.LoadSummary {
	var all []wire.LoadSummary
	for name, g := range t.groups {
		if s := g.dataCentres[t.ownDataCentre]; s != nil {
			t.expire(now, s)
			if s.upstreams > 0 {
				all = append(all, wire.LoadSummary{DataCentre: t.ownDataCentre, Service: name, WorkUnits: s.work(), Upstreams: s.upstreams})
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

// Digest returns at most limit summaries to gossip: the table's own, since no other process has newer ones, and a rotating selection
// of the others.
func (t *Table) Digest(now time.Time, limit int) []wire.LoadSummary {
	all := t.Summaries(now)
	slices.SortFunc(all, func(a, b wire.LoadSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	others := slices.DeleteFunc(slices.Clone(all), func(s wire.LoadSummary) bool { return s.DataCentre == t.ownDataCentre })
	ownSummaries := slices.DeleteFunc(all, func(s wire.LoadSummary) bool { return s.DataCentre != t.ownDataCentre })
	t.digestCount++
	// Up to half of the digest is reserved for other data centres, so that summaries also spread through third data centres.
	digest := appendRotating(nil, ownSummaries, t.digestCount, max(limit-min(len(others), limit/2), 0))
	return appendRotating(digest, others, t.digestCount, limit-len(digest))
}

// appendRotating appends n of the summaries, starting at a different offset in each round so that all are eventually included.
func appendRotating(dst, summaries []wire.LoadSummary, round, n int) []wire.LoadSummary {
	n = min(n, len(summaries))
	for i := range n {
		dst = append(dst, summaries[(round*n+i)%len(summaries)])
	}
	return dst
}

// Mean returns the mean work of a group's upstreams in work units, rounded down but at least 1, and whether any load is known. It is
// the total work divided by the number of upstreams. For other data centres an unexpired summary is used; without one, and for the own
// data centre, the reports that this entry received.
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
	for dataCentre, s := range g.dataCentres {
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

// Hint returns the mean to attach to an Open frame to an upstream now, or zero for none. A hint is due if the mean changed or the
// last hint to this upstream is old, and it is sent if a byte budget permits. After Hint the reports
// of a removed upstream are accepted again.
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
	// The budgets are checked last, since bytes that were taken cannot be returned.
	if !t.hintDue(now, r, mean) || !t.takeHintBytes(now, r, mean) {
		return 0
	}
	r.hintMean, r.hintAt = mean, now
	return mean
}

func (t *Table) hintDue(now time.Time, r *record, mean uint32) bool {
	return r.hintMean == 0 || now.Sub(r.hintAt) >= t.cfg.HintMaxAge || t.meanChanged(r, mean)
}

// meanChanged reports whether the mean differs from the last hint to the upstream by more than HintChange.
func (t *Table) meanChanged(r *record, mean uint32) bool {
	difference := math.Abs(float64(mean) - float64(r.hintMean))
	return r.hintMean != 0 && difference > t.cfg.HintChange*float64(r.hintMean)
}

// takeHintBytes takes the bytes of a hint from hintBudget, or from changeBudget if that is used up and the mean changed.
func (t *Table) takeHintBytes(now time.Time, r *record, mean uint32) bool {
	return t.hintBudget.AllowN(now, t.cfg.HintBytes) || t.meanChanged(r, mean) && t.changeBudget.AllowN(now, t.cfg.HintBytes)
}
