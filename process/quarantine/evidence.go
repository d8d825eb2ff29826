package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// evidence holds which parts were in flight at which crashes.
type evidence struct {
	config PartConfig
	// crashes are the crashes by upstream process, order their keys in the order of receipt.
	crashes map[uint64]*crashRecord
	order   []uint64
	parts   map[Part]*partRecord
	// dropped are crashes that were dropped, so that late reports do not bring them back.
	dropped *simplelru.LRU[uint64, struct{}]
	// pairs is the number of pairs of a crash and a part.
	pairs int
}

type crashRecord struct {
	at    time.Time
	parts map[Part]struct{}
}

type partRecord struct {
	// crashes are the crashes at which the part was in flight, by upstream process.
	crashes map[uint64]*partCrash
	// counted is the number of counted crashes.
	counted int
}

// partCrash is one crash at which a part was in flight.
type partCrash struct {
	// started is when the latest of the requests with the part was sent.
	started time.Time
	counted bool
}

// maxDropped is the maximum number of dropped crashes that are remembered.
const maxDropped = 4096

func newEvidence(config PartConfig) evidence {
	dropped, err := simplelru.NewLRU[uint64, struct{}](maxDropped, nil)
	if err != nil {
		panic(err) // the size is valid
	}
	return evidence{config: config, crashes: make(map[uint64]*crashRecord), parts: make(map[Part]*partRecord), dropped: dropped}
}

// earliest returns the earlier of a time and the known time of a crash.
func (e *evidence) earliest(upstream uint64, at time.Time) time.Time {
	if c := e.crashes[upstream]; c != nil && c.at.Before(at) {
		return c.at
	}
	return at
}

func (e *evidence) empty() bool { return len(e.parts) == 0 }

func (e *evidence) count(part Part) int {
	if r := e.parts[part]; r != nil {
		return r.counted
	}
	return 0
}

// add records a crash and returns the IDs of the parts that are new for it.
func (e *evidence) add(now time.Time, crash PartCrash) []uint64 {
	if now.Sub(crash.At) >= e.config.SuspectFor || e.dropped.Contains(crash.Upstream) {
		return nil
	}
	c := e.crashes[crash.Upstream]
	if c == nil {
		c = &crashRecord{parts: make(map[Part]struct{})}
		e.crashes[crash.Upstream] = c
		e.order = append(e.order, crash.Upstream)
	}
	c.at = crash.At
	var fresh []uint64
	for _, id := range crash.IDs {
		part := Part{crash.Service, id}
		r := e.parts[part]
		if r == nil {
			r = &partRecord{crashes: make(map[uint64]*partCrash)}
			e.parts[part] = r
		}
		if _, known := c.parts[part]; !known {
			c.parts[part] = struct{}{}
			r.crashes[crash.Upstream] = &partCrash{}
			e.pairs++
			fresh = append(fresh, id)
		}
		if in := r.crashes[crash.Upstream]; crash.Started.After(in.started) {
			in.started = crash.Started
			e.recount(r)
		}
	}
	for e.pairs > e.config.MaxEvidence && len(e.order) > 1 {
		e.dropOldest()
	}
	return fresh
}

// latest returns the crashes received last, with about max parts in all.
func (e *evidence) latest(max int) []PartCrash {
	type group struct {
		service uint64
		started time.Time
	}
	var crashes []PartCrash
	n := 0
	for _, upstream := range slices.Backward(e.order) {
		c := e.crashes[upstream]
		if n += len(c.parts); n > max {
			break
		}
		groups := make(map[group][]uint64)
		for part := range c.parts {
			g := group{part.Service, e.parts[part].crashes[upstream].started}
			groups[g] = append(groups[g], part.ID)
		}
		for g, ids := range groups {
			crashes = append(crashes, PartCrash{Service: g.service, Upstream: upstream, Started: g.started, At: c.at, IDs: ids})
		}
	}
	return crashes
}

// recount counts the crashes of a part. A crash counts only if a request with the part was sent after the previous counted crash: if
// several upstreams fail at the same moment, a part that was in flight at all of them is not the cause.
func (e *evidence) recount(r *partRecord) {
	upstreams := slices.SortedFunc(maps.Keys(r.crashes), func(a, b uint64) int {
		return cmp.Or(e.crashes[a].at.Compare(e.crashes[b].at), cmp.Compare(a, b))
	})
	r.counted = 0
	var previous time.Time
	for _, u := range upstreams {
		in := r.crashes[u]
		if in.counted = in.started.After(previous); in.counted {
			r.counted++
			previous = e.crashes[u].at
		}
	}
}

// clear removes a part from the crashes until a time and reports whether there were any.
func (e *evidence) clear(part Part, until time.Time) bool {
	r := e.parts[part]
	if r == nil {
		return false
	}
	cleared := false
	for u := range r.crashes {
		if c := e.crashes[u]; !c.at.After(until) {
			e.unlink(part, u)
			cleared = true
		}
	}
	return cleared
}

// unlink removes a part from a crash.
func (e *evidence) unlink(part Part, upstream uint64) {
	r := e.parts[part]
	delete(r.crashes, upstream)
	delete(e.crashes[upstream].parts, part)
	e.pairs--
	if len(r.crashes) == 0 {
		delete(e.parts, part)
		return
	}
	e.recount(r)
}

func (e *evidence) expire(now time.Time) {
	for len(e.order) > 0 && now.Sub(e.crashes[e.order[0]].at) >= e.config.SuspectFor {
		e.dropOldest()
	}
}

// dropOldest removes the crash that was received first.
func (e *evidence) dropOldest() {
	upstream := e.order[0]
	for part := range e.crashes[upstream].parts {
		e.unlink(part, upstream)
	}
	delete(e.crashes, upstream)
	e.dropped.Add(upstream, struct{}{})
	e.order = e.order[1:]
}

// knownParts tells which parts need no further suspicion.
type knownParts struct {
	// isQuarantined reports whether a part is quarantined; it explains the crashes at which it was in flight.
	isQuarantined func(Part) bool
	// isProtected reports whether a part was answered recently; it needs more crashes than others.
	isProtected func(Part) bool
}

// culprits returns the parts that are the most likely cause of enough crashes to be quarantined. Each crash is attributed to the part that was
// in flight at the most crashes.
func (e *evidence) culprits(known knownParts) []QuarantinedPart {
	// Only the crashes of parts that were in flight at enough of them matter.
	relevant := make(map[uint64]struct{})
	for part, r := range e.parts {
		if r.counted < e.config.Crashes || known.isQuarantined(part) || !e.isSuspect(part, known) {
			continue
		}
		for upstream := range r.crashes {
			relevant[upstream] = struct{}{}
		}
	}
	alone, tied := make(map[Part]int), make(map[Part]int)
	for upstream := range relevant {
		leaders := e.leaders(e.crashes[upstream], known)
		for _, part := range leaders {
			if !e.parts[part].crashes[upstream].counted {
				continue
			}
			if tied[part]++; len(leaders) == 1 {
				alone[part]++
			}
		}
	}
	return e.choose(alone, tied, known)
}

func (e *evidence) isSuspect(part Part, known knownParts) bool {
	return e.parts[part].counted >= e.config.AnsweredCrashes || !known.isProtected(part)
}

// isExplained reports whether a quarantined part was in flight at a crash.
func (c *crashRecord) isExplained(known knownParts) bool {
	for part := range c.parts {
		if known.isQuarantined(part) {
			return true
		}
	}
	return false
}

// leaders returns the parts to which a crash is attributed.
func (e *evidence) leaders(c *crashRecord, known knownParts) []Part {
	if c.isExplained(known) {
		return nil
	}
	top := 0
	var leaders []Part
	for part := range c.parts {
		n := e.parts[part].counted
		if n < top || !e.isSuspect(part, known) {
			continue
		}
		if n > top {
			top, leaders = n, leaders[:0]
		}
		leaders = append(leaders, part)
	}
	return leaders
}

// choose returns the parts to quarantine, given the number of crashes of which each is the only leader and one of the leaders. Of tied parts it
// returns at most MaxTied, the same at all entries.
func (e *evidence) choose(alone, tied map[Part]int, known knownParts) []QuarantinedPart {
	var found []QuarantinedPart
	for part, n := range tied {
		if n >= e.config.TiedCrashes || alone[part] >= e.config.Crashes && e.isInMostCrashes(part, known) {
			found = append(found, e.quarantine(part))
		}
	}
	slices.SortFunc(found, func(a, b QuarantinedPart) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part.Service, b.Part.Service), cmp.Compare(a.Part.ID, b.Part.ID))
	})
	return found[:min(len(found), e.config.MaxTied)]
}

// isInMostCrashes reports whether a part was in flight at half or more of the unexplained crashes since the first one at which it was. Where
// upstreams crash often for other reasons, a part may be in flight at some of the crashes by chance.
func (e *evidence) isInMostCrashes(part Part, known knownParts) bool {
	r := e.parts[part]
	var first time.Time
	for upstream := range r.crashes {
		if at := e.crashes[upstream].at; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	others := 0
	for upstream, c := range e.crashes {
		if r.crashes[upstream] == nil && !c.at.Before(first) && !c.isExplained(known) {
			others++
		}
	}
	return len(r.crashes) >= others
}

func (e *evidence) quarantine(part Part) QuarantinedPart {
	r := e.parts[part]
	q := QuarantinedPart{Part: part, Crashes: r.counted}
	for u := range r.crashes {
		q.At = later(q.At, e.crashes[u].at)
	}
	return q
}
